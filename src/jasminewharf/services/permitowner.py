"""Owner of the permits of backend servers that name a limit, on a control host.

Each control host passes readings of limits on to the others and to the nodes that
follow it. The leader of the fleet's log issues the permits.
"""

import asyncio
import math
from typing import ClassVar

from .. import defaults
from ..decisions.backpressure import ServerIncarnation
from ..decisions.permits import (
    LimitFall,
    PermitKey,
    PermitQueue,
    PermitRequest,
    Verdict,
)
from ..decisions.sendbounds import SendBound, split_budget
from ..decisions.serverlimits import ServerLimit, ServerLimitTable
from ..exceptions import Forbidden, NotLeader, PeerUnavailable
from ..kernel import Kernel, Service
from ..messages.servers import (
    AskColdPermits,
    AskPermits,
    ColdPermitAnswers,
    PermitAnswer,
    PermitAnswers,
    PermitAsk,
    PermitUnused,
    ServerLimitReports,
)
from .control import FLEET_GROUP
from .limitreports import build_report, is_plausible, read_report
from .link import Peer, Preencoded

__all__ = ["PermitOwner"]

_SENDERS = frozenset({"entry", "agent"})


class PermitOwner(Service):
    """Spreads what servers say of their limits, and issues permits as the leader."""

    name: ClassVar[str] = "permit-owner"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "log",
        "control",
        "controllers",
        "relay",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._table = ServerLimitTable()
        self._queues: dict[ServerIncarnation, PermitQueue] = {}
        # By name, as a server may start again under its former one.
        self._bounds: dict[str, SendBound] = {}
        # When this host was first seen to lead; it may have done so for longer.
        self._leads_since: float | None = None
        # Kept on all control hosts, as each may own the permits next.
        self._falls: dict[ServerIncarnation, LimitFall] = {}
        self._peers: dict[PermitKey, Peer] = {}
        self._news: set[ServerIncarnation] = set()
        self._repeated_at = -math.inf
        # Set while there is something to do, so that an idle owner does not wake.
        self._has_news = asyncio.Event()
        self._has_asks = asyncio.Event()
        self._metrics = kernel.find("process").metrics

    async def start(self) -> None:
        """Register the handlers of nodes' messages."""
        control = self.kernel.find("control")
        control.handle(AskPermits, self._take_asks)
        control.handle(AskColdPermits, self._take_cold_asks)
        control.handle(PermitUnused, self._take_back)
        control.handle(ServerLimitReports, self._take_reports)
        self.kernel.find("relay").listen(self._greet)
        self.spawn(self._share_forever(), essential=True)
        self.spawn(self._issue_forever(), essential=True)
        self.spawn(self._watch_lead(), essential=True)
        self._metrics.watch("limited_servers", lambda: len(self._table))
        self._metrics.watch(
            "permits_waiting", lambda: sum(len(q) for q in self._queues.values())
        )
        self._metrics.watch("permit_askers", lambda: len(self._peers))

    # Readings of limits.

    def _take_reports(self, peer: Peer, message: ServerLimitReports) -> None:
        if peer.hello is None or peer.hello.role not in (*_SENDERS, "control"):
            raise Forbidden("only a node of the fleet may report limits")
        self._apply(message.reports)

    def _apply(self, reports: list) -> None:
        now = _now()
        for report in reports:
            if not is_plausible(report):
                self._metrics.count("limit_reports_dropped_total")
                continue
            server, reading = read_report(report, now)
            before = self._table.find_rate(server)
            if self._table.apply(server, reading):
                self._news.add(server)
                self._has_news.set()
                self._note_fall(self._table.find(server), before, now)
                self._update_queue(self._table.find(server), now)

    def _update_queue(self, limit: ServerLimit, now: float) -> None:
        """Begin, change or end the queue of a server with its limit."""
        if limit.per_s is None:
            self._end_limit(limit.server, now)
        elif queue := self._queues.get(limit.server):
            queue.set_limit(limit.per_s, now)
        elif self.kernel.find("log").is_leader(FLEET_GROUP):
            self._queues[limit.server] = self._begin_queue(limit.server, now)

    def _end_limit(self, server: ServerIncarnation, now: float) -> None:
        """End a queue whose requests may all go: their nodes hear of the end.

        That of a server that can turn cold goes on by its bound.
        """
        queue = self._queues.get(server)
        if queue is not None and queue.bound is not None:
            queue.set_limit(None, now)
        else:
            self._queues.pop(server, None)

    def _note_fall(self, limit: ServerLimit, before: float | None, now: float) -> None:
        if limit.per_s is None:
            self._falls.pop(limit.server, None)
        elif before is not None and limit.per_s < before:
            last = self._falls.get(limit.server)
            if last is not None and now - last.at < defaults.LIMIT_WINDOW_S:
                before = max(before, last.before_per_s)
            self._falls[limit.server] = LimitFall(before, now)

    def _begin_queue(self, server: ServerIncarnation, now: float) -> PermitQueue:
        per_s = self._table.find_rate(server)
        return PermitQueue(per_s or 0.0, now, self._falls.get(server))

    def _greet(self, peer: Peer) -> None:
        """Tell a node that begins to follow this host of all limits."""
        if reports := self._build({limit.server for limit in self._table.named()}):
            peer.send(ServerLimitReports(reports))

    def _build(self, servers: set[ServerIncarnation]) -> list:
        now = _now()
        limits = map(self._table.find, servers)
        return [build_report(limit, now) for limit in limits if limit.reading]

    async def _share_forever(self) -> None:
        while True:
            await self._has_news.wait()
            await asyncio.sleep(defaults.LIMIT_SHARE_S)
            for limit in self._table.end_unconfirmed(_now()):
                self._end_limit(limit.server, _now())
                self._falls.pop(limit.server, None)
            news, self._news = self._news, set()
            if _now() - self._repeated_at >= defaults.LIMIT_REPEAT_S:
                self._repeated_at = _now()
                news = {limit.server for limit in self._table.named()}
                self._table.forget_unlisted(news, _now())
                self._falls = {s: f for s, f in self._falls.items() if s in news}
                if not news:
                    self._has_news.clear()
            if reports := self._build(news):
                self._spread(ServerLimitReports(reports))

    def _spread(self, message: ServerLimitReports) -> None:
        for link in self.kernel.find("controllers").links.values():
            try:
                link.send(message)
            except PeerUnavailable:
                # It is told again at the next repeat.
                self._metrics.count("limit_reports_unsent_total")
        encoded = Preencoded(message)
        for peer in self.kernel.find("relay").followers():
            peer.send(encoded)

    # Permits.

    def _check_leads(self) -> None:
        """Check that this host owns the permits.

        Raises:
            NotLeader: If it does not; permits of an earlier term are forgotten.
        """
        log = self.kernel.find("log")
        if not log.is_leader(FLEET_GROUP):
            self._forget_term()
            raise NotLeader(FLEET_GROUP, log.leader(FLEET_GROUP))
        if self._leads_since is None:
            self._leads_since = _now()

    async def _watch_lead(self) -> None:
        """See early that this host leads, so that the first request need not wait."""
        while True:
            if self.kernel.find("log").is_leader(FLEET_GROUP):
                self._check_leads()
            elif self._leads_since is not None:
                self._forget_term()
            await asyncio.sleep(defaults.COLD_LEAD_POLL_S)

    def _forget_term(self) -> None:
        self._queues.clear()
        self._bounds.clear()
        self._leads_since = None
        self._peers.clear()

    def _take_asks(self, peer: Peer, message: AskPermits) -> PermitAnswers:
        self._check_asker(peer)
        self._apply(message.reports)
        now = _now()
        answers = []
        asked: dict[ServerIncarnation, PermitQueue] = {}
        for ask in message.asks:
            server = ServerIncarnation(ask.server, ask.born_ms)
            per_s = self._table.find_rate(server)
            if per_s is None:
                # The node has not yet heard that the limit has ended.
                answers.append(PermitAnswer(ask.number, ask.renewal, True, 0))
                continue
            queue = self._queues.get(server)
            if queue is None:
                queue = self._queues[server] = self._begin_queue(server, now)
            asked[server] = queue
            answers += self._enter(peer, queue, ask, now)
        answers += self._decide(peer, asked, now)
        return PermitAnswers(answers)

    def _check_asker(self, peer: Peer) -> None:
        """Check that a node may ask, and this host.

        Raises:
            Forbidden: If the node may not.
            NotLeader: If this host does not own the permits.
        """
        if peer.hello is None or peer.hello.role not in _SENDERS:
            raise Forbidden("only an entry or an agent may ask for permits")
        self._check_leads()

    def _enter(
        self, peer: Peer, queue: PermitQueue, ask: PermitAsk, now: float
    ) -> list[PermitAnswer]:
        """Let a request wait in a queue; return the answer that is known already."""
        assert peer.hello is not None
        key = PermitKey(peer.hello.incarnation, ask.number)
        self._peers[key] = peer
        verdict = queue.request(_build_request(key, ask, now), now)
        return [] if verdict is None else [self._conclude(verdict)]

    def _decide(
        self, peer: Peer, asked: dict[ServerIncarnation, PermitQueue], now: float
    ) -> list[PermitAnswer]:
        """Issue what is free in queues; return the answers for a node that asks now."""
        answers = []
        for queue in asked.values():
            for verdict in queue.decide(now):
                if self._peers.get(verdict.request.key) is peer:
                    answers.append(self._conclude(verdict))
                else:
                    self._deliver(verdict)
        self._has_asks.set()
        return answers

    def _take_cold_asks(self, peer: Peer, message: AskColdPermits) -> ColdPermitAnswers:
        self._check_asker(peer)
        self._apply(message.reports)
        now = _now()
        held_s = self._find_held_until() - now
        if held_s > 0:
            self._metrics.count("cold_asks_held_total", len(message.asks))
            return ColdPermitAnswers([], max(int(held_s * defaults.MS_PER_S), 1))
        answers = []
        asked: dict[ServerIncarnation, PermitQueue] = {}
        for ask, per_s in message.asks:
            if not (math.isfinite(per_s) and per_s > 0):
                self._metrics.count("cold_asks_dropped_total")
                continue
            server = ServerIncarnation(ask.server, ask.born_ms)
            queue = asked[server] = self._find_bound_queue(server, per_s, now)
            answers += self._enter(peer, queue, ask, now)
        answers += self._decide(peer, asked, now)
        return ColdPermitAnswers(answers)

    def issues_cold_permits(self) -> bool:
        """Return whether this host issues permits to servers that can turn cold."""
        return self._leads_since is not None and _now() >= self._find_held_until()

    def _find_held_until(self) -> float:
        """Return until when an earlier owner's permits may be under way."""
        held_s = defaults.COLD_COUNTED_S + defaults.COLD_OVERLAP_S
        return (self._leads_since or 0.0) + held_s

    def _find_bound_queue(
        self, server: ServerIncarnation, per_s: float, now: float
    ) -> PermitQueue:
        """Return the queue of a server that can turn cold."""
        bounds = self.kernel.settings.fleet.bounds
        budget = split_budget(per_s, bounds.cold_overrun, bounds.cold_slack)
        bound = self._bounds.get(server.server)
        if bound is None:
            bound = SendBound(budget.permits, self._find_held_until())
            self._bounds[server.server] = bound
        bound.permits = budget.permits
        queue = self._queues.get(server)
        if queue is None:
            limit_per_s = self._table.find_rate(server)
            fall = self._falls.get(server)
            queue = PermitQueue(limit_per_s, now, fall, bound)
            self._queues[server] = queue
        queue.bound = bound
        return queue

    def _conclude(self, verdict: Verdict) -> PermitAnswer:
        self._peers.pop(verdict.request.key, None)
        outcome = "granted" if verdict.is_granted else "refused"
        self._metrics.count("permits_total", outcome=outcome)
        return PermitAnswer(
            verdict.request.key.number,
            verdict.request.renewal,
            verdict.is_granted,
            int(verdict.wait_s * defaults.MS_PER_S),
        )

    def _deliver(self, verdict: Verdict) -> None:
        peer = self._peers.get(verdict.request.key)
        answer = self._conclude(verdict)
        if peer is not None:
            peer.send(PermitAnswers([answer]))

    def _take_back(self, peer: Peer, unused: PermitUnused) -> None:
        if peer.hello is None:
            return
        server = ServerIncarnation(unused.server, unused.born_ms)
        key = PermitKey(peer.hello.incarnation, unused.number)
        self._peers.pop(key, None)
        if queue := self._queues.get(server):
            queue.cancel(key, _now())
            self._metrics.count("permits_returned_total")

    async def _issue_forever(self) -> None:
        """Issue permits to waiting requests as they become free."""
        while True:
            if not self._queues:
                await self._has_asks.wait()
            now = _now()
            due_s = min(
                (queue.next_due(now) for queue in self._queues.values()),
                default=math.inf,
            )
            self._has_asks.clear()
            try:
                async with asyncio.timeout(min(due_s, defaults.PERMIT_SILENT_S)):
                    await self._has_asks.wait()
            except TimeoutError:
                pass
            if self._queues and not self.kernel.find("log").is_leader(FLEET_GROUP):
                self._forget_term()
            self._issue(_now())

    def _issue(self, now: float) -> None:
        for queue in self._queues.values():
            for verdict in queue.decide(now):
                self._deliver(verdict)
        self._forget_peers()
        self._forget_idle(now)

    def _forget_idle(self, now: float) -> None:
        """Forget servers that can turn cold and have no requests any more."""
        idle = [
            server
            for server, queue in self._queues.items()
            if queue.limit_per_s is None
            and not len(queue)
            and (queue.bound is None or queue.bound.is_idle(now))
        ]
        for server in idle:
            del self._queues[server]
        used = {server.server for server in self._queues}
        self._bounds = {
            name: bound
            for name, bound in self._bounds.items()
            if name in used or not bound.is_idle(now)
        }

    def _forget_peers(self) -> None:
        """Forget who asked for what no longer waits: their nodes may be gone."""
        if len(self._peers) > 2 * sum(len(queue) for queue in self._queues.values()):
            self._peers = {
                key: peer
                for key, peer in self._peers.items()
                if any(key in queue for queue in self._queues.values())
            }


def _build_request(key: PermitKey, ask: PermitAsk, now: float) -> PermitRequest:
    return PermitRequest(
        key,
        ask.workspace,
        ask.priority,
        now - ask.waited_ms / defaults.MS_PER_S,
        now + ask.patience_ms / defaults.MS_PER_S,
        ask.renewal,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
