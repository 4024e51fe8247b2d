"""Demand for models that an entry sends to agents."""

import asyncio
from types import SimpleNamespace

import pytest

from fleetparts import build_engine, build_listed, build_report
from jasminewharf import defaults
from jasminewharf.decisions.configurations import ServiceSpec
from jasminewharf.decisions.directory import Directory
from jasminewharf.decisions.urgency import WaitingRequest
from jasminewharf.messages.servers import WantModel
from jasminewharf.metrics import Metrics
from jasminewharf.services.demand import DemandService, _Missed, _Waiter

SERVICE = ServiceSpec("llm", 300, build_engine())


class _Kernel:
    def __init__(self, directory, sent):
        self.services = {
            "directory": SimpleNamespace(
                directory=directory,
                send_to_agent=lambda server, message: sent.append(message) or True,
            ),
            "process": SimpleNamespace(metrics=Metrics()),
        }

    def find(self, name):
        return self.services[name]


def ask_for_missed(refused_s_ago):
    """Return the messages of a review for a model whose only caller was refused."""

    async def main():
        now = asyncio.get_running_loop().time()
        directory = Directory()
        directory.take_list([build_listed()], now)
        directory.take_report(build_report(models=["m0"], on_disk=["m2"]), now)
        sent = []
        demand = DemandService(_Kernel(directory, sent))
        missed = _Missed(SERVICE, now - refused_s_ago, now + defaults.MISSED_KEPT_S)
        demand._missed["m2"] = missed
        demand.review()
        demand.review()
        return sent

    return asyncio.run(main())


def test_refused_callers_count_while_others_come():
    """Case: a hundred callers of a lost model, each refused at once.

    The weight of their model is their number, however short their retry times are.
    """

    async def main():
        loop = asyncio.get_running_loop()
        directory = Directory()
        directory.take_list([build_listed()], loop.time())
        directory.take_report(build_report(models=["m0"], on_disk=["m2"]), loop.time())
        sent = []
        demand = DemandService(_Kernel(directory, sent))
        wait = WaitingRequest(loop.time(), 0.5, loop.time() + 2.0)
        for _ in range(20):
            demand._refuse(_Waiter(SERVICE, "m2", wait, loop.create_future()), 0.0)
        await asyncio.sleep(0.4)
        sent.clear()
        demand.review()
        return sent

    assert [want.returning for want in asyncio.run(main())] == [20]


@pytest.mark.parametrize(("deadline_s", "counts_s"), [(12.0, 10.0), (60.0, 40.0)])
def test_refused_caller_counts_while_it_can_come_back(deadline_s, counts_s):
    """Guards against loads for callers whose deadlines have passed.

    Case: the store's queue is long, so that the model is ready in 40 s.
    """

    async def main():
        loop = asyncio.get_running_loop()
        demand = DemandService(_Kernel(Directory(), []))
        now = loop.time()
        wait = WaitingRequest(now, 0.5, now + 9.0)
        waiter = _Waiter(
            SERVICE, "m2", wait, loop.create_future(), deadline=now + deadline_s
        )
        demand._refuse(waiter, 40.0)
        return demand._returning["m2"][0].until - now

    assert asyncio.run(main()) == pytest.approx(counts_s, abs=1.0)


def test_agent_that_is_no_longer_asked_is_told():
    """Guards against demand that counts at two agents, so that it outranks others.

    Case: the best engine for a model gets busy; the entry asks another one's agent.
    """

    async def main():
        loop = asyncio.get_running_loop()
        directory = Directory()
        addresses = ("10.0.0.1:80", "10.0.0.2:80")
        directory.take_list(
            [build_listed(f"i-{n}", address) for n, address in enumerate(addresses)],
            loop.time(),
        )
        sent = []
        demand = DemandService(_Kernel(directory, sent))
        wait = WaitingRequest(loop.time(), 0.5, loop.time() + 2.0)
        demand._refuse(_Waiter(SERVICE, "m2", wait, loop.create_future()), 0.0)
        asked = []
        for idle in (0, 0, 1):
            for n, address in enumerate(addresses):
                busy = {} if n == idle else {"changing": "m3", "ready_ms": 9_000}
                report = build_report(address, on_disk=["m2"], **busy)
                directory.take_report(report, loop.time())
            sent.clear()
            await asyncio.sleep(defaults.WANT_REPEAT_S)
            demand.review()
            asked.append([(want.requests, want.returning) for want in sent])
        return asked

    asked = asyncio.run(main())
    assert asked == [[(0, 1)], [(0, 1)], [(0, 1), (0, 0)]]


def test_engines_are_not_asked_for_callers_who_have_left():
    """Case: a burst on rare models, most of whose callers are refused.

    Loads for them blocked the engines for callers who still waited.
    """
    assert ask_for_missed(refused_s_ago=3.0) == []


def test_model_that_nobody_was_served_of_is_asked_for_once():
    """Otherwise a rare model whose callers are all refused is never loaded."""
    sent = ask_for_missed(refused_s_ago=12.0)
    assert [type(message) for message in sent] == [WantModel]
    assert sent[0].requests == 0
    assert sent[0].age_ms >= 12_000
