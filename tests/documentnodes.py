"""An entry and an agent of a fleet run by documents, without their other services."""

import asyncio
from types import SimpleNamespace

import zmq

from jasminewharf.decisions.evacuations import EvacuationTable
from jasminewharf.messages.feed import BackendReport, NodeReport
from jasminewharf.metrics import Metrics
from jasminewharf.services.answers import CallPlan
from jasminewharf.services.link import Identity, LinkClient
from jasminewharf.settings import (
    BackendSettings,
    PolicySettings,
    TimingSettings,
)


class Node:
    """A kernel with what an entry's and an agent's services ask of the others."""

    def __init__(self, role):
        self.context = zmq.Context()
        self.identity = Identity(f"{role}-1", role, "zone-a", 1)
        self.metrics = Metrics()
        self.security = None
        self.settings = SimpleNamespace(
            zone="zone-a",
            backends=[BackendSettings("desk-1", "desk", "127.0.0.1:9")],
            policy=PolicySettings(),
            timing=TimingSettings(drain_timeout_s=5.0),
            host_name="host-1",
            listen="127.0.0.1:0",
        )
        self.state = SimpleNamespace(
            draining=(), all_documents=list, evacuations=EvacuationTable()
        )
        self.digest = {}
        self.address = ""
        self.listener = None
        self.sink = SimpleNamespace(add=lambda span: None)

    def find(self, name):
        return self

    def listen(self, listener):
        self.listener = listener

    def is_fresh(self):
        return True

    def leave(self):
        pass

    def connect(self, role, node, address, handlers):
        return LinkClient(self.identity, self.context, address, handlers)


def build_plan(number):
    deadline = asyncio.get_running_loop().time() + 5.0
    return CallPlan(
        f"call-{number}",
        "guild",
        "desk",
        "desk",
        "",
        "",
        "POST",
        "/orders",
        [],
        b"",
        deadline,
        1,
        "normal",
        False,
        False,
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    )


def build_report(address):
    backend = BackendReport("desk-1", "desk", "plain", True, 0, 0, 0, 0.0, [], [])
    return NodeReport(
        "agent-1",
        "agent",
        "host-1",
        "zone-a",
        1,
        1,
        1,
        address,
        0,
        False,
        [backend],
        [],
    )
