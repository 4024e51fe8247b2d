"""What a control host tells the nodes that follow it of suspected parts."""

import asyncio
from types import SimpleNamespace

from jasminewharf.messages.poison import PartReports
from jasminewharf.services.poisonowner import PoisonOwner


class FakePeer:
    def __init__(self, role):
        self.hello = SimpleNamespace(role=role, incarnation=1)
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class FakeKernel:
    """All services that the owner finds, in one object."""

    def __init__(self, peers):
        self.metrics = self
        self.links = {}
        self._peers = peers

    def find(self, name):
        return self

    def followers(self):
        return self._peers

    def count(self, name, **labels):
        pass


def test_agents_get_no_reports_of_suspected_parts():
    """Guards against messages that agents cannot read.

    Control hosts sent each report to all nodes that follow them. In one play of a
    heavy day agents dropped 17,934 of them as malformed, with a log line for each.
    """

    async def check():
        entry, agent = FakePeer("entry"), FakePeer("agent")
        owner = PoisonOwner(FakeKernel([entry, agent]))
        owner._spread(PartReports([]))
        assert (len(entry.sent), len(agent.sent)) == (1, 0)

    asyncio.run(check())
