"""A node's view of the fleet, fed by control hosts that answer, lag or are silent."""

import asyncio
from types import SimpleNamespace

import pytest

from jasminewharf.defaults import FEED_ANSWER_S
from jasminewharf.exceptions import LinkTimeout, QuorumLost
from jasminewharf.messages import encode
from jasminewharf.messages.commands import ReplaceConfiguration
from jasminewharf.messages.feed import (
    ConfirmFreshness,
    FeedChanges,
    FreshnessConfirmed,
    Subscribe,
)
from jasminewharf.services.feed import Feed
from jasminewharf.settings import TimingSettings

# Operators expect each entry to work by a change this long after its acknowledgement.
IN_FORCE_S = 2.0


class Host:
    """A control host at the other end of a link.

    Attributes:
        version: What it has applied, and the quorum has confirmed unless it lags.
        fault: ``silent`` answers nothing, ``lagging`` cannot confirm; else none.
    """

    is_connected = True

    def __init__(self, name, deliver):
        self.name = name
        self.version = 0
        self.fault = ""
        self.welcome = SimpleNamespace(zone="zone-a")
        self.subscriptions = 0
        self.pings = 0
        self._deliver = deliver
        self._subscribed = None

    def send(self, message):
        assert isinstance(message, Subscribe)
        self.subscriptions += 1
        self._subscribed = message.version
        self.push()

    def push(self):
        known = self._subscribed
        if self.fault == "silent" or known is None or known >= self.version:
            return
        body = encode(ReplaceConfiguration(self.version, "highest", b""))
        changes = FeedChanges(known, self.version, [(self.version, body)])
        self._subscribed = self.version
        self._deliver(self.name, changes)

    async def request(self, message, timeout_s):
        assert isinstance(message, ConfirmFreshness)
        self.pings += 1
        if self.fault == "silent":
            await asyncio.sleep(timeout_s)
            raise LinkTimeout("no answer")
        if self.fault == "lagging":
            raise QuorumLost("no leader")
        return FreshnessConfirmed(message.nonce, self.version)


class Control:
    """The control hosts and the kernel that a feed finds them by."""

    def __init__(self, count=3):
        self.handlers = {}
        self.hosts = [Host(f"control-{n}", self._deliver) for n in range(count)]
        self.links = {host.name: host for host in self.hosts}
        self.settings = SimpleNamespace(
            node="entry-1", zone="zone-a", timing=TimingSettings()
        )

    def find(self, name):
        assert name == "controllers"
        return self

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def _deliver(self, host, changes):
        asyncio.get_running_loop().call_soon(self.handlers[FeedChanges], host, changes)

    def commit(self):
        """Commit a change at all hosts that can take part in it."""
        for host in self.hosts:
            if not host.fault:
                host.version += 1
                host.push()


def run_feed(scenario):
    async def main():
        control = Control()
        feed = Feed(control)
        await feed.start()
        assert await feed.wait_fresh(2.0)
        try:
            await scenario(control, feed)
        finally:
            await feed.stop()

    asyncio.run(main())


async def wait_version(feed, version):
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while feed.state.version < version:
        await asyncio.sleep(0.01)
    return loop.time() - began_at


@pytest.mark.parametrize("fault", ["silent", "lagging"])
def test_change_is_in_force_in_time_although_the_feeding_host_fails(fault):
    """An entry kept to the host that fed it, and to the configuration of before."""

    async def scenario(control, feed):
        control.links[feed.source].fault = fault
        control.commit()
        assert await wait_version(feed, 1) < IN_FORCE_S
        assert control.links[feed.source].fault == ""

    run_feed(scenario)


def test_view_stays_confirmed_while_the_feeding_host_is_silent():
    """An entry was taken out of service although two of three hosts confirmed."""

    async def scenario(control, feed):
        control.links[feed.source].fault = "silent"
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + 4.0
        while loop.time() < ends_at:
            assert feed.is_fresh()
            await asyncio.sleep(0.02)

    run_feed(scenario)


def test_source_stays_while_no_host_can_confirm():
    """Without a quorum, a new source costs a subscription and confirms nothing."""

    async def scenario(control, feed):
        source = feed.source
        asked = sum(host.subscriptions for host in control.hosts)
        for host in control.hosts:
            host.fault = "lagging"
        await asyncio.sleep(2.0)
        assert feed.source == source
        assert sum(host.subscriptions for host in control.hosts) == asked
        others = [host for host in control.hosts if host.name != source]
        assert sum(host.pings for host in others) <= 2.0 / FEED_ANSWER_S * len(others)

    run_feed(scenario)


def test_source_whose_link_is_closed_while_it_is_asked_is_left():
    """The task that keeps the configuration fresh ended, and with it the process.

    Another host had taken the place of the one that feeds the node, at another address.
    """

    async def scenario(control, feed):
        gone = feed.source
        control.links[gone].fault = "silent"
        await asyncio.sleep(0.9)
        control.links.pop(gone)
        control.commit()
        assert await wait_version(feed, 1) < IN_FORCE_S
        assert feed.source != gone

    run_feed(scenario)


def run_restarted_feed(scenario, version, stale):
    """Run a feed that only reaches one control host, which cannot confirm anything."""

    async def main():
        control = Control()
        for host in control.hosts:
            host.version = version
            host.is_connected = False
        control.hosts[0].version = stale
        control.hosts[0].fault = "lagging"
        control.hosts[0].is_connected = True
        feed = Feed(control)
        told = []
        feed.listen(lambda applied: told.append(feed.state.version))
        await feed.start()
        try:
            await scenario(control, feed, told)
        finally:
            await feed.stop()

    asyncio.run(main())


def test_restarted_node_does_not_work_by_an_older_state():
    """A restarted agent gave orders with a lower fencing token than in its former life.

    It took the state of a control host that had missed changes and could confirm none.
    """

    async def scenario(control, feed, told):
        await asyncio.sleep(3 * FEED_ANSWER_S)
        assert control.hosts[0].subscriptions
        assert feed.state.version == 0
        assert told == []
        for host in control.hosts[1:]:
            host.is_connected = True
        await wait_version(feed, 6)
        assert told == [6]
        control.hosts[0].fault = ""
        control.commit()
        await wait_version(feed, 7)
        assert told == [6, 7]

    run_restarted_feed(scenario, version=6, stale=3)


def test_restarted_node_works_by_what_the_same_host_confirms_later():
    """What was fed before the confirmation is in force with it, without a change."""

    async def scenario(control, feed, told):
        await asyncio.sleep(FEED_ANSWER_S)
        assert told == []
        control.hosts[0].fault = ""
        await wait_version(feed, 6)
        assert told == [6]

    run_restarted_feed(scenario, version=6, stale=6)
