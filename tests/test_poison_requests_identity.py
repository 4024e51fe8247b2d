"""Which requests are the same as one that crashes servers, and which are others."""

import asyncio

import pytest

from crashingservers import (
    CONTACT_S,
    KINDS,
    RESTART_S,
    SAFE,
    UNSAFE,
    Call,
    CrashingServer,
    Record,
    ask,
    build_kinds_body,
    send_chunked,
)
from fleets import run_with_fleet
from platformfakes import send

# At which the answer is the entry's own, without a trial.
_AT_ONCE_S = 0.5
_ACCUSED_S = 12.0
_BACK_S = RESTART_S + CONTACT_S
_TRACE = ("traceparent", f"00-{'a' * 32}-{'b' * 16}-01")


class Accused:
    """Deadly requests that have been found out, and what came after.

    Attributes:
        outcomes: By name, what callers got then, how many sends reached a server and
            the status of a sound request after them.
    """

    def __init__(self):
        self.records = {kind.service: Record() for kind in KINDS}
        self.servers = [
            CrashingServer(f"i-{kind.service}{n}", kind, self.records[kind.service])
            for kind in KINDS
            for n in range(3)
        ]
        self.outcomes = {}
        content = b"x" * 1_000_000
        self.large = Call("POST", "/orders/large", content + b"1")
        self.large_twin = Call("POST", "/orders/large", content + b"2")
        self.deadly = {kind: kind.build_call(0) for kind in KINDS}

    async def run(self, fleet):
        await asyncio.gather(*(self._run_kind(fleet, kind) for kind in KINDS))
        await self._run_large(fleet)

    async def _accuse(self, fleet, kind, call, senders=(send,)):
        """Repeat a request until all entries refuse it for its third end.

        That lasts for some time at most. Sound ones of the same subject come before
        and between.
        """
        record = self.records[kind.service]
        for number in range(3 * len(fleet.entries)):
            await self._ask_sound(fleet, kind, number)
        record.deadly.add(call)
        until = asyncio.get_running_loop().time() + _ACCUSED_S
        refused = number = 0
        while refused < 3 * len(fleet.entries) or len(record.list_ends(call)) < 3:
            if asyncio.get_running_loop().time() > until:
                break
            sender = senders[number // len(fleet.entries) % len(senders)]
            before = len(record.arrivals)
            entry = number % len(fleet.entries)
            outcome = await ask(fleet, call, entry, sender=sender)
            is_kept = outcome.is_refused and len(record.arrivals) == before
            # It is refused for itself if another one is served.
            status = await self._ask_sound(fleet, kind, number)
            refused = refused + 1 if is_kept and status == 200 else 0
            number += 1
            await asyncio.sleep(0.1)

    async def _ask_sound(self, fleet, kind, number):
        call = kind.build_call(f"sound{number}")
        return (await ask(fleet, call, number % len(fleet.entries))).status

    async def _run_kind(self, fleet, kind):
        deadly, record = self.deadly[kind], self.records[kind.service]
        await self._accuse(fleet, kind, deadly)
        # Servers that were ended at last are back.
        await asyncio.sleep(_BACK_S)
        same = {
            "plain": {},
            "deadline": {"deadline_ms": 2_345},
            "trace": {"change": lambda head: [*head, _TRACE, ("tracestate", "a=b")]},
            "order": {"change": lambda head: head[::-1]},
        }
        for name, changes in same.items():
            await self._note((kind, name), kind, fleet, deadly, record, **changes)
        others = {
            "body": deadly._replace(body=deadly.body + b" "),
            "query": deadly._replace(target=f"{deadly.target}&x=1"),
            "caller": deadly._replace(key="key-9"),
        }
        if kind is SAFE:
            del others["body"]
        if kind is UNSAFE:
            others["method"] = deadly._replace(method="PUT")
        if not kind.is_stream:
            others["path"] = deadly._replace(target=f"/{kind.name}/other")
        for name, call in others.items():
            await self._note((kind, name), kind, fleet, call, record)

    async def _run_large(self, fleet):
        record = self.records[UNSAFE.service]
        await self._accuse(fleet, UNSAFE, self.large, (send, send_chunked))
        await asyncio.sleep(_BACK_S)
        framings = {"length": send, "chunked": send_chunked}
        for name, call in (("large twin", self.large_twin), ("large", self.large)):
            for framing, sender in framings.items():
                key = f"{name} {framing}"
                await self._note(key, UNSAFE, fleet, call, record, sender=sender)

    async def _note(self, name, kind, fleet, call, record, **changes):
        """Ask at all entries, and keep what came of it."""
        before = len(record.arrivals)
        outcomes = [
            await ask(fleet, call, entry, **changes)
            for entry in range(len(fleet.entries))
        ]
        arrived = len(record.arrivals) - before
        sound = await self._ask_sound(fleet, kind, 0)
        self.outcomes[name] = outcomes, arrived, sound


@pytest.fixture(scope="module")
def accused(tmp_path_factory):
    accused = Accused()
    engines = [server for server in accused.servers if server.models is not None]
    desks = [server for server in accused.servers if server.models is None]
    folder = tmp_path_factory.mktemp("accused")
    body = build_kinds_body()
    run_with_fleet(accused.run, folder, body=body, engines=engines, desks=desks)
    return accused


def check_kept(outcomes, arrived, sound_status):
    """Check that a request was refused at once, as not run, and reached no server.

    That another one was served tells that it was refused for itself.
    """
    assert [outcome.is_refused for outcome in outcomes] == [True] * len(outcomes)
    assert arrived == 0
    assert max(outcome.duration_s for outcome in outcomes) < _AT_ONCE_S
    assert sound_status == 200


def check_served(outcomes, arrived, _):
    assert [outcome.status for outcome in outcomes] == [200] * len(outcomes)
    assert arrived == 0


@pytest.mark.parametrize("name", ["plain", "deadline", "trace", "order"])
@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.name)
def test_same_request_is_refused_whatever_differs_each_time(accused, kind, name):
    """A retry has another identifier, deadline and trace; it was taken for new."""
    check_kept(*accused.outcomes[kind, name])


@pytest.mark.parametrize(
    ("kind", "name"),
    [
        (kind, name)
        for kind in KINDS
        for name in ("body", "query", "caller", "method", "path")
        if (kind, name) != (SAFE, "body")
        and not (name == "method" and kind is not UNSAFE)
        and not (name == "path" and kind.is_stream)
    ],
    ids=lambda value: getattr(value, "name", value),
)
def test_other_request_is_served(accused, kind, name):
    """Whatever shared a part with a deadly request was refused with it."""
    check_served(*accused.outcomes[kind, name])


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_large_body_is_told_from_one_with_another_last_byte(accused, framing):
    """Only the beginning of a large body was looked at."""
    check_served(*accused.outcomes[f"large twin {framing}"])


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_large_body_is_the_same_in_chunks(accused, framing):
    """The framing of a body made another request of it, or it was not looked at."""
    check_kept(*accused.outcomes[f"large {framing}"])
