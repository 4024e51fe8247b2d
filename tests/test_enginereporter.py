"""Tests of the reports that an agent sends about its engine."""

import asyncio
from types import SimpleNamespace

from fleetparts import build_report
from jasminewharf.dialects.fleet import HeldModel
from jasminewharf.exceptions import PeerUnavailable
from jasminewharf.messages.servers import EngineLoad, EngineReport, FollowEngines
from jasminewharf.metrics import Metrics
from jasminewharf.services.enginereporter import EngineReporter

BUSY = [HeldModel("m0", 1, ()), HeldModel("m1", 1, ())]


class _Link:
    def __init__(self, routing_id=b""):
        self.routing_id = routing_id
        self.sent = []
        self.is_lost = False

    def send(self, message):
        if self.is_lost:
            raise PeerUnavailable("no link")
        self.sent.append(message)

    def take(self):
        sent, self.sent = self.sent, []
        return [type(message) for message in sent]


class _Kernel:
    def __init__(self, hosts):
        self.services = {
            "controllers": SimpleNamespace(links=hosts),
            "feed": SimpleNamespace(source=next(iter(hosts))),
            "process": SimpleNamespace(metrics=Metrics()),
        }

    def find(self, name):
        return self.services[name]


def run(scenario):
    """Run a scenario with a reporter, two control hosts, a peer and a follower."""

    async def main():
        hosts = {"c1": _Link(), "c2": _Link()}
        kernel = _Kernel(hosts)
        news = EngineReporter(kernel)
        linked, follower = _Link(b"l"), _Link(b"f")
        news.peers = lambda: [linked, follower]
        news.publish(build_report(models=["m0"]))
        news.add_follower(follower, FollowEngines())
        for link in (*hosts.values(), linked, follower):
            link.take()
        await scenario(news, kernel, linked, follower)

    asyncio.run(main())


def test_linked_nodes_hear_only_of_what_decides_where_a_request_goes():
    """Wanted models change with every request and must not load all linked entries."""

    async def scenario(news, kernel, linked, follower):
        news.publish(build_report(models=["m0"], wanted=[("m3", 1.0)]))
        assert linked.take() == []
        assert follower.take() == [EngineReport]
        assert kernel.find("controllers").links["c1"].take() == [EngineReport]
        news.publish(build_report(models=BUSY, wanted=[("m3", 1.0)]))
        assert linked.take() == [EngineReport]

    run(scenario)


def test_followers_hear_of_loads():
    async def scenario(news, kernel, linked, follower):
        await asyncio.sleep(0.3)
        news.publish(build_report(models=["m0"], running=5))
        assert linked.take() == []
        assert follower.take() == [EngineLoad]

    run(scenario)


def test_small_changes_of_a_weight_are_no_news():
    """Each message of an entry slightly changes the weight of the models it wants."""

    async def scenario(news, kernel, linked, follower):
        news.publish(build_report(models=["m0"], wanted=[("m3", 1.1)]))
        follower.take()
        news.publish(build_report(models=["m0"], wanted=[("m3", 1.2)]))
        assert follower.take() == []

    run(scenario)


def test_control_host_that_feeds_now_gets_the_whole_report():
    """A new feed source has no report of this agent that load updates could amend."""

    async def scenario(news, kernel, linked, follower):
        hosts = kernel.find("controllers").links
        kernel.find("feed").source = "c2"
        news.publish(build_report(models=["m0"]))
        assert hosts["c2"].take() == [EngineReport]
        hosts["c2"].is_lost = True
        news.publish(build_report(models=BUSY))
        hosts["c2"].is_lost = False
        news.publish(build_report(models=BUSY))
        assert hosts["c2"].take() == [EngineReport]

    run(scenario)


def test_engine_that_fell_silent_is_told_at_once():
    async def scenario(news, kernel, linked, follower):
        news.publish_unreachable()
        assert not linked.sent[0].is_reachable
        assert linked.sent[0].models == []

    run(scenario)
