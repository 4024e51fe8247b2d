"""Requests to the control hosts: whom to ask, and what if nobody answers."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from jasminewharf.exceptions import LinkTimeout, QuorumLost
from jasminewharf.services.controllers import Controllers


class FakeLink:
    is_connected = True

    def __init__(self, answer):
        self.answer = answer
        self.asked = 0

    async def request(self, message, timeout_s):
        self.asked += 1
        if self.answer is None:
            raise LinkTimeout("no answer")
        return self.answer


def build_controllers(**links):
    process = SimpleNamespace(random=random.Random(1))
    kernel = SimpleNamespace(find=lambda name: process, settings=None)
    controllers = Controllers(kernel)
    controllers.links = links
    return controllers


def test_only_control_host_without_leadership_has_nobody_to_ask():
    """It must refuse at once, not fail with an unexpected error."""

    async def scenario():
        with pytest.raises(QuorumLost):
            await build_controllers().request("fleet", "x", 0.5)

    asyncio.run(scenario())


def test_silent_host_is_asked_last():
    """A frozen leader keeps its connections; nodes must not wait for it again."""

    async def scenario():
        frozen, live = FakeLink(None), FakeLink("yes")
        controllers = build_controllers(frozen=frozen, live=live)
        controllers._leaders["fleet"] = "frozen"
        with pytest.raises(LinkTimeout):
            await controllers.request("fleet", "x", 0.1)
        for _ in range(20):
            assert await controllers.request("fleet", "x", 0.1) == "yes"
        assert frozen.asked == 1

    asyncio.run(scenario())


def test_host_that_answers_is_the_known_leader():
    """Guards against one-way messages that go nowhere.

    Pattern: the first host that is asked leads. Nobody was redirected, so that no
    leader was known, and tokens that went back to the owner of the rates were dropped.
    """

    async def scenario():
        leader = FakeLink("yes")
        controllers = build_controllers(leader=leader)
        assert controllers.find_leader("fleet") is None
        await controllers.request("fleet", "x", 0.1)
        assert controllers.find_leader("fleet") is leader

    asyncio.run(scenario())
