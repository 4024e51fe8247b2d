"""The example deployment as processes: operators' tasks, and no leaked secret."""

import asyncio
import json
import re
import shutil
import signal
import socket
import time
from pathlib import Path

import pytest

from certificates import read_name, write_certificate
from deployment import AGENT_TOKEN, ENVIRONMENT, HASH_SECRET, NODES, Deployment
from support import call, chat

LEASE_S = 3
DOCS = Path(__file__).parent.parent / "docs"
OPERATIONS = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
ENTRY = "127.0.0.21:8080"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    deployment = Deployment(tmp_path_factory.mktemp("fleet"))
    try:
        deployment.start()
        deployment.key = deployment.set_up()
        yield deployment
    finally:
        deployment.close()


def send(fleet, method, target, key, body=None, headers=()):
    address = fleet.address(ENTRY)
    status, head, content = asyncio.run(
        call(address, method, target, key, body, headers)
    )
    return status, head, content


def edit(fleet, old, new, name="edited.yaml"):
    text = (fleet.folder / "translation.yaml").read_text()
    assert old in text
    (fleet.folder / name).write_text(text.replace(old, new))
    return name


def test_document_is_submitted_once_and_conflicts_change_nothing(fleet):
    current = fleet.read("config", "history", "translation")[0]["version"]
    edited = edit(fleet, "burst_tokens: 5000", "burst_tokens: 6000")
    assert "-    burst_tokens: 5000" in fleet.tool(
        "config", "diff", "translation", edited, code=10
    )
    options = ["config", "submit", edited, "--expect-version", str(current)]
    options += ["--submission", "f" * 32]
    first = fleet.read(*options, "--wait")
    assert (first["version"], first["in_force"]) == (current + 1, True)
    assert fleet.read(*options)["version"] == current + 1
    run = fleet.run_tool(*options[:-1], "e" * 32, "--output", "json")
    assert run.returncode == 4
    assert json.loads(run.stderr)["error"]["type"] == "VersionConflict"
    assert fleet.read("config", "history", "translation")[0]["version"] == current + 1
    assert "burst_tokens: 6000" in fleet.tool("config", "get", "translation")
    fleet.tool("config", "get", "translation", "--version", "99", code=9)


def test_error_in_a_document_names_file_line_path_and_changes_nothing(fleet):
    before = fleet.read("status")["version"]
    bad = edit(fleet, "kind: model", "kind: modle", "bad.yaml")
    for command in ("check", "submit"):
        run = fleet.run_tool("config", command, bad)
        assert run.returncode == 3
        text = run.stdout + run.stderr
        assert "bad.yaml:3: kind: 'modle' is not one of: model, plain" in text
    assert fleet.read("status")["version"] == before
    fleet.tool("config", "check", "entry-1.yaml", "--kind", "settings")


def test_withdrawn_key_is_refused_and_unknown_ones_are_not_found(fleet):
    key = fleet.read("key", "grant", "hanoi-kitchens")
    deadline = time.monotonic() + 5
    while send(fleet, "GET", "/v1/models", key["key"])[0] != 200:
        assert time.monotonic() < deadline
    fleet.tool("key", "withdraw", key["key_id"], "--wait")
    status, _, content = send(fleet, "GET", "/v1/models", key["key"])
    assert (status, json.loads(content)["error"]["type"]) == (401, "unauthorized")
    states = {item["key_id"]: item["state"] for item in fleet.read("key", "list")}
    assert states[key["key_id"]] == "withdrawn"
    fleet.tool("key", "withdraw", "00" * 6, code=9)


def test_trace_draws_the_spans_of_a_call_below_the_entry(fleet):
    status, head, _ = send(
        fleet, "POST", "/v1/chat/completions", fleet.key, chat(max_tokens=2)
    )
    assert status == 200
    request_id = head["x-request-id"]
    time.sleep(1)
    tree = fleet.read("trace", request_id)
    assert tree["name"] == "entry"
    assert tree["attributes"]["request_id"] == request_id
    assert tree["children"], "the agent's spans are missing"
    assert "└─ " in fleet.tool("trace", request_id)
    fleet.tool("trace", "0" * 16, code=9)


def test_status_tells_loaded_cold_and_draining(fleet):
    send(fleet, "POST", "/v1/chat/completions", fleet.key, chat(max_tokens=2))
    fleet.tool("drain", "engine-host-2", "--wait")
    status = fleet.read("status")
    assert any(
        (item["model"], item["phase"]) == ("menu-vi-en", "loaded")
        for item in status["replicas"]
    )
    assert [item["model"] for item in status["cold"]] == ["allergen-notes"]
    assert status["draining"] == ["engine-host-2"]
    leaving = {node["node"] for node in status["nodes"] if node["leaving"]}
    assert leaving == {"agent-2"}
    fleet.tool("drain", "engine-host-2", "--undo", "--wait")
    fleet.tool("drain", "no-such-host", code=9)


def test_wait_lasts_until_the_lease_of_a_paused_node_has_ended(fleet):
    version = fleet.read("config", "history", "orders")[0]["version"]
    options = ["config", "submit", "orders.yaml", "--expect-version", str(version)]
    agent = fleet.processes["agent-3"]
    agent.send_signal(signal.SIGSTOP)
    paused = time.monotonic()
    try:
        fleet.tool(*options, "--wait")
        assert time.monotonic() - paused >= LEASE_S
        node = next(n for n in fleet.read("status")["nodes"] if n["node"] == "agent-3")
        assert node["lease_ended"]
        assert node["behind"] > 0
    finally:
        agent.send_signal(signal.SIGCONT)


def test_drain_that_is_not_over_in_time_has_its_exit_code(fleet):
    body = json.dumps(chat(stream=True, max_tokens=8000, ignore_eos=True)).encode()
    host, _, port = fleet.address(ENTRY).partition(":")
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {fleet.key}\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), 30) as link:
        link.sendall(head.encode() + body)
        assert b" 200 " in link.recv(4096)
        busy = []
        while not busy:
            nodes = fleet.read("status")["nodes"]
            busy = [n["host"] for n in nodes for b in n["backends"] if b["running"]]
        run = fleet.run_tool("drain", busy[0], "--wait", "--wait-timeout", "2")
    assert run.returncode == 8, run.stderr
    assert "calls run or wait on" in run.stderr
    fleet.tool("drain", busy[0], "--undo", "--wait")


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_shell_completion_is_generated_and_completes(fleet, shell, monkeypatch):
    monkeypatch.setitem(ENVIRONMENT, "SHELL", f"/bin/{shell}")
    assert "COMPLETION_LINE" in fleet.tool("--completion", "generate")
    monkeypatch.setitem(ENVIRONMENT, "COMPLETION_LINE", "jasminewharf config s")
    monkeypatch.setitem(ENVIRONMENT, "COMPLETION_LOCATION", "2")
    assert "submit" in fleet.tool("--completion", "complete")


def test_address_in_use_ends_with_its_exit_code_and_names_the_address(fleet):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = str(taken.getsockname()[1])
        run = fleet.run_tool("run", "--port", port)
    assert run.returncode == 11
    assert f"cannot listen on 127.0.0.1:{port}" in run.stderr
    assert "Traceback" not in run.stderr


def test_control_host_with_an_empty_disk_is_added_and_removed(fleet):
    fleet.stop("control-3")
    shutil.rmtree(fleet.folder / "data" / "control-3")
    fleet.start_daemon("control-3")
    address = fleet.address("127.0.0.13:7200")
    fleet.tool("member", "add", "control-3", address)
    fleet.tool("member", "add", "control-3", address)
    members = fleet.read("member", "list")
    assert all(item["voter"] for item in members)
    assert len(members) == 12
    fleet.tool("member", "remove", "control-3")
    assert len(fleet.read("member", "list")) == 8
    fleet.tool("member", "remove", "control-3", code=9)
    fleet.tool("member", "add", "control-3", address)


def test_without_a_quorum_an_order_is_unconfirmed_and_its_resend_counts_once(fleet):
    version = fleet.read("config", "history", "orders")[0]["version"]
    hosts = {
        item["host"]
        for item in fleet.read("member", "list")
        if (item["group"], item["leader"]) == ("fleet", False)
    }
    for host in hosts:
        fleet.processes[host].send_signal(signal.SIGSTOP)
    try:
        options = ["config", "submit", "orders.yaml", "--expect-version", str(version)]
        run = fleet.run_tool(*options, "--output", "json")
        assert run.returncode == 7, run.stderr
        found = re.search("--submission ([0-9a-f]{32})", run.stderr)
        fleet.tool("status", code=6)
    finally:
        for host in hosts:
            fleet.processes[host].send_signal(signal.SIGCONT)
    resend = [*options, "--submission", found.group(1)]
    assert fleet.read(*resend)["version"] == version + 1
    assert fleet.read("config", "history", "orders")[0]["version"] == version + 1


def test_secret_file_open_to_others_stops_the_daemon_with_file_and_reason(fleet):
    assert fleet.stop("entry-2") == 0
    secret = fleet.folder / "keys" / "hash-secret"
    secret.chmod(0o644)
    try:
        fleet.start_daemon("entry-2")
        assert fleet.processes.pop("entry-2").wait(20) == 3
    finally:
        secret.chmod(0o600)
    assert "keys/hash-secret: has mode 0644; must be 0600" in fleet.logs()
    fleet.start_daemon("entry-2")
    fleet.wait_ready(fleet.address("127.0.0.22:8080"))


def test_control_hosts_restart_one_by_one_and_their_copies_are_restored(fleet):
    """Follows "Upgrade in place" and "Back up and restore" of docs/OPERATIONS.md."""
    hosts = ["control-1", "control-2", "control-3"]
    for host in hosts:
        assert fleet.stop(host) == 0, (host, fleet.logs()[-3000:])
        shutil.copytree(fleet.folder / "data" / host, fleet.folder / f"copy-{host}")
        fleet.start_daemon(host)
        while fleet.run_tool("member", "list").returncode:
            pass
        assert send(fleet, "GET", "/v1/models", fleet.key)[0] == 200
    late = fleet.tool("key", "grant", "hanoi-kitchens").strip()
    for name in reversed(NODES):
        assert fleet.stop(name) == 0, (name, fleet.logs()[-3000:])
    for name in ("engine-1", "engine-2"):
        fleet.stop(name)
    fleet.start_engines()
    for host in hosts:
        shutil.rmtree(fleet.folder / "data" / host)
        shutil.copytree(fleet.folder / f"copy-{host}", fleet.folder / "data" / host)
    for name in NODES:
        fleet.start_daemon(name)
    for number in (1, 2):
        fleet.wait_ready(fleet.address(f"127.0.0.2{number}:8080"))
    assert send(fleet, "GET", "/v1/models", fleet.key)[0] == 200
    assert send(fleet, "GET", "/v1/models", late)[0] == 401


def test_link_keys_are_rotated_while_everything_runs(fleet, tmp_path):
    """Follows "Rotate a link key" of docs/OPERATIONS.md, for every role."""
    keys = fleet.folder / "keys"
    for number, name in enumerate(["control-1", "control-2", "agent-1", "entry-1"]):
        role = name.partition("-")[0]
        fleet.tool("key", "pair", role, name, "--folder", str(tmp_path))
        stem = f"{role}-{name}"
        shutil.copy(tmp_path / f"{stem}.key", keys / f"{stem}.next.key")
        time.sleep(1)
        shutil.copy(tmp_path / f"{stem}.key_secret", keys / f"{stem}.key_secret")
        shutil.copy(tmp_path / f"{stem}.key", keys / f"{stem}.key")
        (keys / f"{stem}.next.key").unlink()
        time.sleep(1)
        version = fleet.read("config", "history", "orders")[0]["version"]
        fleet.tool(
            *("config", "submit", "orders.yaml", "--wait"),
            *("--expect-version", str(version)),
        )
        body = chat(max_tokens=number + 1)
        status, _, _ = send(fleet, "POST", "/v1/chat/completions", fleet.key, body)
        assert status == 200
        assert all(node["state"] == "live" for node in fleet.read("status")["nodes"])
    # Without the third host, the two with new keys must reach each other.
    fleet.processes["control-3"].send_signal(signal.SIGSTOP)
    try:
        fleet.tool(
            "config", "submit", "orders.yaml", "--expect-version", str(version + 1)
        )
    finally:
        fleet.processes["control-3"].send_signal(signal.SIGCONT)


def test_entry_serves_tls_and_takes_up_a_new_certificate(fleet):
    assert fleet.stop("entry-2") == 0
    write_certificate(fleet.folder, "first")
    with open(fleet.folder / "entry-2.yaml", "a") as settings:
        settings.write("tls: {certificate_file: tls.crt, key_file: tls.key}\n")
    fleet.start_daemon("entry-2")
    address = fleet.address("127.0.0.22:8080")
    assert read_certificate(address, "CN=first") == "CN=first"
    write_certificate(fleet.folder, "second")
    assert read_certificate(address, "CN=second") == "CN=second"
    assert fleet.stop("entry-2") == 0


def read_certificate(address, wanted):
    deadline = time.monotonic() + 15
    while time.monotonic() < deadline:
        try:
            name = asyncio.run(read_name(address, "/healthz"))
        except OSError:
            name = ""
        if name == wanted:
            break
        time.sleep(0.1)
    return name


def test_status_fields_are_those_documented(fleet):
    section = OPERATIONS.partition("## Fields of the status")[2].partition("\n## ")[0]
    fleet_table, _, node_table = section.partition("| field of a node")
    status = fleet.read("status")
    for table, fields in ((fleet_table, status), (node_table, status["nodes"][0])):
        rows = re.findall(r"^\| (`.*?) \|", table, re.MULTILINE)
        documented = {name for row in rows for name in re.findall("`([a-z_]+)`", row)}
        assert documented == set(fields)


def test_planted_secrets_are_in_no_output(fleet):
    """Guards against keys and secrets in logs, traces, metrics, status or crashes."""
    key = fleet.key
    hidden = key.rpartition("_")[2]
    bad = f"jw_{key.split('_')[1]}_{hidden[::-1]}"
    places = [
        ("GET", f"/services/orders/status?key={key}", "", None, ()),
        ("GET", f"/services/{key}/x", key, None, ()),
        ("POST", "/v1/chat/completions", key, chat(key), ()),
        ("POST", "/v1/chat/completions", key, chat(max_tokens=1), ()),
        ("GET", "/v1/models", bad, None, ()),
        ("POST", "/services/orders/orders", key, {}, [("idempotency-key", key)]),
        ("GET", "/v1/models", key, None, [("traceparent", key)]),
    ]
    for method, target, sent_key, body, headers in places:
        send(fleet, method, target, sent_key, body, headers)
    _, _, metrics = send(fleet, "GET", "/metrics", "")
    fleet.start_daemon("entry-1", name="entry-1-twice")
    assert fleet.processes.pop("entry-1-twice").wait(20) == 11
    outputs = [metrics.decode(), json.dumps(fleet.read("status")), fleet.logs()]
    outputs += [fleet.tool("key", "list"), fleet.tool("member", "list")]
    outputs += [path.read_text() for path in (fleet.folder / "data").glob("*.jsonl")]
    assert any("entry" in text for text in outputs[5:]), "no trace was written"
    secrets = {"caller key": hidden, "wrong key": hidden[::-1]}
    secrets |= {"hash secret": HASH_SECRET, "agent token": AGENT_TOKEN}
    for path in (fleet.folder / "keys").glob("*.key_secret"):
        found = re.search('secret-key = "(.{40})"', path.read_text())
        secrets[path.name] = found.group(1)
    assert len(secrets) == 13
    for name, secret in secrets.items():
        for text in outputs:
            assert secret not in text, f"{name} leaked"
