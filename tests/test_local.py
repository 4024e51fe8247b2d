"""A whole system in one process: the main paths of a caller and an operator."""

import asyncio
import json
import signal
import subprocess
import sys
import time

import pytest

from jasminewharf.interfaces.local import LocalOptions, open_local_system
from jasminewharf.interfaces.operator import OperatorClient
from signalstorms import send_often
from support import call, chat

_RUN_TOOL = "from jasminewharf.interfaces.tool import main; main()"


def run_with_system(scenario, **options):
    async def main():
        async with open_local_system(LocalOptions(port=0, **options)) as system:
            await scenario(system)

    asyncio.run(main())


def test_cold_model_is_loaded_and_answers():
    async def scenario(system):
        body = chat()
        status, _, content = await call(
            system.address, "POST", "/v1/chat/completions", system.key, body
        )
        assert status == 200
        answer = json.loads(content)
        assert answer["usage"]["completion_tokens"] == 4

    run_with_system(scenario)


def test_stream_ends_in_done_and_names_its_request():
    async def scenario(system):
        body = chat(stream=True)
        status, headers, content = await call(
            system.address, "POST", "/v1/chat/completions", system.key, body
        )
        assert status == 200
        assert headers["x-request-id"]
        assert content.rstrip().endswith(b"data: [DONE]")

    run_with_system(scenario)


def test_order_runs_once_and_a_resend_gets_the_recorded_answer():
    async def scenario(system):
        target = "/services/orders/orders"
        key = [("idempotency-key", "order-1")]
        results = [
            await call(system.address, "POST", target, system.key, {"a": 1}, key)
            for _ in range(3)
        ]
        assert {status for status, _, _ in results} == {201}
        assert len({content for _, _, content in results}) == 1
        assert results[1][1]["idempotency-replayed"] == "true"
        status, _, content = await call(
            system.address, "POST", target, system.key, {"a": 2}, key
        )
        assert status == 409
        assert json.loads(content)["error"]["type"] == "idempotency_conflict"

    run_with_system(scenario)


@pytest.mark.parametrize(
    ("target", "body", "status", "kind"),
    [
        ("/v1/chat/completions", chat("nothing"), 404, "not_found"),
        ("/v1/chat/completions", {"model": 3}, 400, "invalid_request"),
        ("/services/nothing/x", {}, 404, "not_found"),
        ("/other", {}, 404, "not_found"),
    ],
)
def test_refusals_have_the_agreed_form(target, body, status, kind):
    async def scenario(system):
        got, _, content = await call(system.address, "POST", target, system.key, body)
        error = json.loads(content)["error"]
        assert (got, error["type"], error["not_run"]) == (status, kind, True)
        assert error["request_id"]
        assert set(error) == {
            "type",
            "message",
            "not_run",
            "retry_after_ms",
            "request_id",
        }

    run_with_system(scenario)


def test_evacuated_zone_gets_no_calls():
    """Fleets of documents took an evacuation and sent calls there all the same."""

    async def scenario(system):
        async def is_served():
            target = "/v1/chat/completions"
            answer = await call(system.address, "POST", target, system.key, chat())
            assert answer[0] == 200 or b'"servers_evacuated"' in answer[2]
            return answer[0] == 200

        assert await is_served()
        async with OperatorClient(system.tool_settings) as operator:
            for is_evacuated in (True, False):
                await operator.evacuate("local-a", is_evacuated)
                zones = (await operator.fetch_status())["evacuated"]
                assert zones == (["local-a"] if is_evacuated else [])
                async with asyncio.timeout(10):
                    while await is_served() == is_evacuated:
                        await asyncio.sleep(0.05)

    run_with_system(scenario)


def test_withdrawn_key_stops_new_calls_and_open_streams():
    async def scenario(system):
        await call(system.address, "POST", "/v1/chat/completions", system.key, chat())
        slow = chat(stream=True, max_tokens=5000, ignore_eos=True)
        stream = asyncio.ensure_future(
            call(system.address, "POST", "/v1/chat/completions", system.key, slow)
        )
        await asyncio.sleep(0.3)
        started = time.monotonic()
        async with OperatorClient(system.tool_settings) as operator:
            await operator.withdraw_key(system.key.split("_")[1])
        with pytest.raises(Exception, match=r"broke off|closed"):
            await stream
        assert time.monotonic() - started < 2
        status, _, _ = await call(
            system.address, "POST", "/v1/chat/completions", system.key, chat()
        )
        assert status == 401

    run_with_system(scenario)


def test_state_survives_a_restart_on_the_same_folder(tmp_path):
    keys = []

    async def first(system):
        keys.append(system.key)

    async def second(system):
        status, _, _ = await call(
            system.address, "POST", "/v1/chat/completions", keys[0], chat()
        )
        assert status == 200

    run_with_system(first, data_folder=str(tmp_path))
    run_with_system(second, data_folder=str(tmp_path))


def test_run_command_prints_a_curl_line_and_stops_on_sigterm():
    process = subprocess.Popen(
        [sys.executable, "-c", _RUN_TOOL, "run", "--port", "0"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        line = process.stdout.readline()
        assert line.startswith("curl ")
    finally:
        process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0


@pytest.mark.parametrize("kind", [signal.SIGTERM, signal.SIGINT])
def test_run_command_stops_with_code_0_under_repeated_signals(kind):
    """A second signal at the end of the stop ended the process by that signal."""
    with subprocess.Popen(
        [sys.executable, "-c", _RUN_TOOL, "run", "--port", "0"],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            assert process.stdout.readline().startswith("curl ")
            with send_often(process, kind):
                code = process.wait(20)
        finally:
            process.kill()
    assert code == 0
