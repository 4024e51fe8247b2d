"""Parts of prompts that crash backend servers, on a control host.

Each control host passes what it hears on to the others and to the nodes that follow it.
The leader of the fleet's log gives out the trials of suspected parts.
"""

import asyncio
from typing import ClassVar

from .. import defaults
from ..decisions.poison import PartTable, TrialBook
from ..exceptions import Forbidden, NotLeader, PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.poison import (
    AskTrial,
    PartReport,
    PartReports,
    TrialAnswer,
    TrialEnded,
)
from .control import FLEET_GROUP
from .link import Peer, Preencoded
from .partreports import build_part_report, merge_reports

__all__ = ["PoisonOwner"]

_ENTRY_ROLE = "entry"
_SENDERS = frozenset({_ENTRY_ROLE, "control"})


class PoisonOwner(Service):
    """Spreads what is known of parts of prompts, and gives out trials as the leader."""

    name: ClassVar[str] = "poison-owner"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "log",
        "control",
        "controllers",
        "relay",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._table = PartTable()
        self._trials = TrialBook()
        self._news: set[int] = set()
        self._has_news = asyncio.Event()
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Register the handlers of nodes' messages."""
        control = self.kernel.find("control")
        control.handle(PartReports, self._take_reports)
        control.handle(AskTrial, self._take_ask)
        control.handle(TrialEnded, self._take_end)
        self.kernel.find("relay").listen(self._greet)
        self.spawn(self._share_forever(), essential=True)
        self.spawn(self._tidy_forever(), essential=True)
        self._metrics.watch("suspected_parts", lambda: len(self._table))

    def _take_reports(self, peer: Peer, message: PartReports) -> None:
        if peer.hello is None or peer.hello.role not in _SENDERS:
            raise Forbidden("only an entry may report parts of prompts")
        reports = message.reports[: defaults.POISON_TABLE_LIMIT]
        self._news.update(merge_reports(self._table, reports, _now()))
        if self._news:
            self._has_news.set()

    def _greet(self, peer: Peer) -> None:
        """Tell an entry that begins to follow this host of all parts."""
        if not _is_entry(peer):
            return
        if reports := self._build(set(self._table.parts())):
            peer.send(PartReports(reports))

    def _build(self, parts: set[int]) -> list[PartReport]:
        now = _now()
        known = (self._table.find(part) for part in parts)
        return [build_part_report(item, now) for item in known if item is not None]

    async def _share_forever(self) -> None:
        while True:
            await self._has_news.wait()
            await asyncio.sleep(defaults.POISON_SHARE_S)
            self._has_news.clear()
            news, self._news = self._news, set()
            if reports := self._build(news):
                self._spread(PartReports(reports))

    def _spread(self, message: PartReports) -> None:
        for link in self.kernel.find("controllers").links.values():
            try:
                link.send(message)
            except PeerUnavailable:
                # The nodes repeat what they know.
                self._metrics.count("part_reports_unsent_total")
        encoded = Preencoded(message)
        # Agents follow too; they have no use for the reports and cannot read them.
        for peer in filter(_is_entry, self.kernel.find("relay").followers()):
            peer.send(encoded)

    async def _tidy_forever(self) -> None:
        while True:
            await asyncio.sleep(defaults.POISON_REPEAT_S)
            self._table.forget_old(_now())
            self._trials.forget_old(_now())

    def _take_ask(self, peer: Peer, message: AskTrial) -> TrialAnswer:
        log = self.kernel.find("log")
        if not log.is_leader(FLEET_GROUP):
            raise NotLeader(FLEET_GROUP, log.leader(FLEET_GROUP))
        if not _is_entry(peer):
            raise Forbidden("only an entry may ask for a trial")
        holder = peer.hello.incarnation, message.number
        parts = message.parts[: defaults.POISON_TRIAL_IDENTITIES]
        is_granted = self._trials.take(holder, parts, _now())
        outcome = "granted" if is_granted else "refused"
        self._metrics.count("part_trials_total", outcome=outcome)
        return TrialAnswer(is_granted)

    def _take_end(self, peer: Peer, message: TrialEnded) -> None:
        if peer.hello is not None:
            self._trials.end((peer.hello.incarnation, message.number))


def _is_entry(peer: Peer) -> bool:
    return peer.hello is not None and peer.hello.role == _ENTRY_ROLE


def _now() -> float:
    return asyncio.get_running_loop().time()
