"""Hostile internal messages are dropped, counted and logged without a crash."""

import asyncio
import logging
import socket
from typing import NamedTuple

import pytest
import zmq
from hypothesis import given
from hypothesis import strategies as st

from hostile import LoopThread, fuzz
from jasminewharf.interfaces.local import LocalOptions, open_local_system
from jasminewharf.messages import decode, encode
from jasminewharf.messages.codec import MESSAGE_TYPES
from jasminewharf.messages.link import Hello, Welcome
from jasminewharf.messages.log import BatchHeader
from jasminewharf.services.link import pack, pack_header, unpack
from support import call, chat

WORDS = st.sampled_from(["fleet", "accounts", "entry-1", "agent-1", "control-1", ""])
st.register_type_strategy(int, st.integers(-(2**63), 2**63 - 1))
st.register_type_strategy(str, WORDS | st.text(max_size=6))
# None is sent with the tool role, whose messages change the system on purpose.
MESSAGES = st.one_of(
    [st.from_type(entry.message_type) for entry in MESSAGE_TYPES.values()]
)


class Target(NamedTuple):
    name: str
    role: str
    address: str
    kernel: object


class Local:
    def __init__(self):
        self.thread = LoopThread()
        self._manager = open_local_system(LocalOptions(port=0))
        self.system = self.thread.run(self._manager.__aenter__())
        self.kernels = {k.settings.node: k for k in self.system._kernels}
        self.context = zmq.Context()
        self.control = self.kernels["control-1"].find("control")
        self.agent = self.kernels["agent-1"].find("backends")

    def connect(self, address, role, node="intruder", incarnation=5):
        link = self.context.socket(zmq.DEALER)
        link.linger = 0
        link.rcvtimeo = 3000
        link.connect(f"tcp://{address}")
        if role:
            link.send(pack(bytes(8), Hello(node, role, "z", incarnation)))
        return link

    def address_of(self, name):
        if name == "control":
            return self.control.address
        if name == "peer":
            return self.kernels["control-1"].settings.control[0].peer_address
        return self.kernels["agent-1"].find("reports").address

    def check_alive(self):
        """Check that every process is running and a call is answered."""
        assert all(kernel.failure is None for kernel in self.kernels.values())
        key = self.system.key
        request = call(self.system.address, "POST", "/v1/chat/completions", key, chat())
        status, _, content = asyncio.run(request)
        assert status == 200, content

    def close(self):
        self.context.destroy(linger=0)
        self.thread.run(self._manager.__aexit__(None, None, None))
        self.thread.close()


@pytest.fixture(scope="module")
def local():
    system = Local()
    yield system
    system.close()


def ask(link, message, number=7):
    correlation = number.to_bytes(8, "big")
    link.send(pack(correlation, message))
    while True:
        for answered, data in unpack(link.recv()):
            if answered == correlation:
                return decode(data)


def receive(link):
    """Return the first message of the next payload."""
    return decode(next(unpack(link.recv()))[1])


@pytest.mark.parametrize(
    ("target", "role"), [("agent", "agent"), ("agent", "tool"), ("agent", "control")]
)
def test_wrong_role_is_refused_and_counted(local, target, role):
    server = local.agent._server
    before = server.refused_count
    with local.connect(local.address_of(target), role) as link:
        assert receive(link).error == "Forbidden"
    assert server.refused_count == before + 1


@pytest.mark.parametrize("role", ["entry", "agent", "control", "unknown"])
def test_only_the_tool_may_order_and_read(local, role):
    from jasminewharf.messages.commands import WithdrawKey
    from jasminewharf.messages.control import (
        AddMember,
        FetchMembers,
        FetchStatus,
        Propose,
        ReadState,
        RemoveMember,
    )

    key_id = local.system.key.split("_")[1]
    with local.connect(local.address_of("control"), role) as link:
        link.recv_multipart()
        for message in (
            Propose("fleet", encode(WithdrawKey("s", key_id))),
            ReadState("fleet"),
            FetchStatus(),
            FetchMembers(),
            AddMember("fleet", "x", "127.0.0.1:1"),
            RemoveMember("fleet", "control-1"),
        ):
            assert ask(link, message).error == "Forbidden"
    local.check_alive()


def test_call_for_an_earlier_incarnation_does_not_run(local):
    from jasminewharf.messages.calls import ForwardCall

    with local.connect(local.address_of("agent"), "entry") as link:
        welcome = receive(link)
        assert isinstance(welcome, Welcome)
        fields = {name: kind() for name, kind in empty_fields(ForwardCall).items()}
        fields["request_id"] = "r-1"
        fields["agent_incarnation"] = welcome.incarnation + 1
        link.send(pack(bytes(8), ForwardCall(**fields)))
        answer = receive(link)
        assert type(answer).__name__ == "CallRefused"
        assert answer.not_run is True


def empty_fields(kind):
    hints = kind.__annotations__
    return {name: getattr(hint, "__origin__", hint) for name, hint in hints.items()}


def test_foreign_bytes_on_the_socket_do_not_stop_it(local):
    for name in ("control", "agent", "peer"):
        host, _, port = local.address_of(name).partition(":")
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\x00" * 5000):
            with socket.create_connection((host, int(port)), 3) as link:
                link.sendall(data)
    local.check_alive()


def test_peers_that_never_return_are_forgotten_at_the_limit(local, monkeypatch):
    monkeypatch.setattr("jasminewharf.defaults.LINK_PEERS_LIMIT", 20)
    for _ in range(60):
        with local.connect(local.address_of("control"), "tool") as link:
            link.recv_multipart()
    assert len(local.control._server._peers) <= 21
    local.check_alive()


@fuzz(40)
@given(st.lists(st.lists(st.binary(max_size=20), min_size=1, max_size=5), max_size=6))
def test_malformed_frames_are_counted_and_dropped(local, batches):
    for name, role in (("control", "entry"), ("agent", "entry"), ("peer", "")):
        with local.connect(local.address_of(name), role) as link:
            for frames in batches:
                link.send_multipart(frames)
            link.linger = 200
    local.check_alive()


@fuzz(60)
@given(st.lists(MESSAGES, max_size=8), st.sampled_from(["entry", "agent", "control"]))
def test_typed_messages_from_the_wrong_process_stop_nobody(local, messages, role):
    for name in ("control", "agent"):
        with local.connect(local.address_of(name), role) as link:
            for message in messages:
                link.send(pack(bytes(7) + b"\x01", message))
            link.linger = 200
    local.check_alive()


@fuzz(60)
@given(
    st.lists(MESSAGES, max_size=4),
    st.sampled_from(["127.0.0.1:1", "127.0.0.1:0", "x", "", "[::1]:99999"]),
    st.sampled_from(["stranger/1", "", "control-1/x", "\x00/y"]),
)
def test_foreign_batches_do_not_stop_a_control_host(local, messages, address, sender):
    header = BatchHeader("foreign", sender, "", address)
    with local.connect(local.address_of("peer"), "") as link:
        link.send_multipart([encode(header), *(encode(m) for m in messages)])
        link.send_multipart([encode(message) for message in messages] or [b"x"])
        link.linger = 200
    local.check_alive()


def test_malformed_messages_are_numbered_log_lines(local, caplog):
    caplog.set_level(logging.INFO, "jasminewharf")
    before = local.control._server.malformed_count
    with local.connect(local.address_of("control"), "entry") as link:
        link.recv_multipart()
        junk = b"\xff\xffjunk"
        link.send(pack_header(bytes(8), junk) + junk)
        link.linger = 200
    with local.connect(local.address_of("peer"), "") as link:
        link.send_multipart([b"junk"])
        link.linger = 200
    local.check_alive()
    assert local.control._server.malformed_count == before + 1
    numbers = {record.event.number for record in caplog.records}
    assert {200, 709} <= numbers
