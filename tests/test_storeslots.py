"""The client of the weight store's slots."""

import asyncio

from jasminewharf.exceptions import LinkTimeout, PeerUnavailable
from jasminewharf.messages.servers import HoldStore, ReleaseStore, StoreTurn
from jasminewharf.services.storeslots import StoreSlotClient

ADDRESS = "10.0.0.1:80"


class FakeOwner:
    """The controllers and the link to the owner; answers as told, keeps messages."""

    def __init__(self, is_granted):
        self.is_granted = is_granted
        self.sent = []
        self.links = {"control-1": self}
        self.metrics = None

    def find(self, name):
        return self

    async def request_repeatable(self, group, request, *timeouts):
        return StoreTurn(self.is_granted, 2)

    def send(self, message):
        self.sent.append(message)

    def count_releases(self):
        return sum(isinstance(message, ReleaseStore) for message in self.sent)


def refuse(message):
    raise PeerUnavailable("cut off")


async def ask(is_granted, owner=None):
    owner = owner or FakeOwner(is_granted)
    client = StoreSlotClient(owner, ADDRESS)
    assert await client.request_slot("m0", 1.0, 6.0, 0) is is_granted
    return owner, client


def test_request_is_withdrawn_once():
    """Guards against a place in the queue that an engine keeps while it is busy."""

    async def check():
        owner, client = await ask(is_granted=False)
        client.withdraw()
        client.withdraw()
        assert owner.count_releases() == 1

    asyncio.run(check())


def test_unused_slot_is_withdrawn():
    """Guards against a slot that is kept for an engine that loads something else."""

    async def check():
        owner, client = await ask(is_granted=True)
        assert client.unused_slot == "m0"
        client.withdraw()
        assert (client.unused_slot, owner.count_releases()) == ("", 1)

    asyncio.run(check())


def test_slot_in_use_is_kept():
    """Guards against further loads that begin beside one that still runs."""

    async def check():
        owner, client = await ask(is_granted=True)
        client.note_loading()
        client.withdraw()
        assert owner.count_releases() == 0

    asyncio.run(check())


def test_loads_in_progress_are_told_to_an_owner_that_takes_over():
    """Guards against loads beside those that only the former owner knows of.

    Case: the leader is cut off from the others, which elect another one. Engines that
    load ask for nothing, so that nobody tells them of it.
    """

    async def check():
        owner = FakeOwner(is_granted=True)
        links = [FakeOwner(is_granted=False) for _ in range(3)]
        links[0].send = refuse
        owner.links = dict(enumerate([owner, *links]))
        _, client = await ask(True, owner)
        client.note_loading()
        client.release(is_complete=True)
        for link in links[1:]:
            assert [type(message) for message in link.sent] == [
                HoldStore,
                ReleaseStore,
            ]

    asyncio.run(check())


def test_silent_owner_does_not_start_the_loads_of_all_engines(monkeypatch):
    """Guards against loads that all begin in the second that an election takes.

    The store serves them to the end beside each other, so that each one occupies its
    engine for several times its usual time.
    """

    class SilentOwner(FakeOwner):
        async def request_repeatable(self, group, request, *timeouts):
            raise LinkTimeout("no owner")

        def count(self, name):
            pass

    async def check():
        clock = [0.0]
        monkeypatch.setattr("jasminewharf.services.storeslots._now", lambda: clock[0])
        owner = SilentOwner(is_granted=False)
        owner.metrics = owner
        engines = [StoreSlotClient(owner, f"10.0.0.{n}:80") for n in range(20)]
        begun = []
        for clock[0] in (100.0, 100.5, 104.9, 105.5, 106.1):
            allowed = [await e.request_slot("m0", 1.0, 6.0, 2) for e in engines]
            begun.append(sum(allowed))
        assert begun[:3] == [0, 0, 0]
        assert 0 < begun[3] < begun[4] == len(engines)
        idle = StoreSlotClient(owner, ADDRESS)
        await idle.request_slot("m0", 1.0, 6.0, 0)
        clock[0] += 1.0
        assert await idle.request_slot("m0", 1.0, 6.0, 0)

    asyncio.run(check())
