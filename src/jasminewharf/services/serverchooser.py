"""Choosing the backend server for a request, and the permit to send it there."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Any, ClassVar, NamedTuple, NoReturn

from .. import defaults, events
from ..decisions.attempts import Attempts
from ..decisions.directory import Server
from ..decisions.enginememory import is_too_large
from ..decisions.health import OutlierDetector
from ..decisions.serverselection import (
    RequestTarget,
    choose_engine,
    choose_idle_engine,
    choose_least_loaded_server,
    count_excess_requests,
    is_full,
    order_by_limit,
    split_by_cold,
)
from ..decisions.spreading import Spread
from ..exceptions import (
    HomesUnavailable,
    JasminewharfError,
    LimitReached,
    ModelUnavailable,
    Overloaded,
    ServersEvacuated,
)
from ..kernel import Kernel, Service
from ..messages.servers import EnsureAdapter
from .balance import Balance
from .jobs import Job
from .permits import Permit, PermitWish

__all__ = ["ServerChooser"]

_logger = logging.getLogger(__name__)


class _Choice(NamedTuple):
    """The best server without a limit, if there is one, and those with a limit.

    ``is_busy`` tells that a request would wait at the former.
    """

    server: Server | None
    limited: list[Server]
    is_busy: bool


class ServerChooser(Service):
    """Finds the server for each attempt and watches which ones fail or fall silent."""

    name: ClassVar[str] = "server-chooser"
    requires: ClassVar[tuple[str, ...]] = (
        "process",
        "directory",
        "demand",
        "permits",
    )

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._permits = kernel.find("permits")
        self._directory = kernel.find("directory").directory
        self._demand = kernel.find("demand")
        self._health = OutlierDetector()
        self._balance = Balance(kernel, self._directory)
        self._metrics = kernel.find("process").metrics
        self._random = kernel.find("process").random
        # Services whose lack of servers outside evacuated zones was logged.
        self._emptied: set[str] = set()

    async def start(self) -> None:
        """Watch for servers that have fallen silent."""
        self.spawn(self._watch_silence(), essential=True)

    async def _watch_silence(self) -> None:
        while True:
            due = _now() + defaults.SILENCE_WATCH_S
            await asyncio.sleep(defaults.SILENCE_WATCH_S)
            now = _now()
            known = self._directory.servers.values()
            self._health.retain({server.incarnation for server in known})
            for server in known:
                server.excuse(now - due, now)
                silent_s = server.silent_s(now)
                if silent_s <= defaults.SERVER_SILENT_S:
                    self._readmit(server, now)
                    continue
                server.avoid(now + defaults.SERVER_AVOIDED_S, now)
                if self._health.eject(server.incarnation, now):
                    self._metrics.count("servers_ejected_total")
                    events.emit(
                        _logger,
                        events.SERVER_EJECTED,
                        server=server.name,
                        silent_ms=int(silent_s * defaults.MS_PER_S),
                        in_flight=server.own,
                    )
                    self._demand.review()
            self._balance.review()

    def _readmit(self, server: Server, now: float) -> None:
        """Use a server again that was only silent, and let waiting requests go on."""
        if now >= server.avoided_until or not server.has_spoken:
            return
        server.avoided_until = now
        self._health.readmit(server.incarnation, now)
        self._demand.review()

    def note_result(self, server: Server, succeeded: bool) -> None:
        """Count the outcome of an attempt; eject a server that fails too often."""
        if self._health.record(server.incarnation, succeeded, _now()):
            self._note_ejected(server)

    def note_silent(self, server: Server) -> None:
        """Count an attempt that another server has replaced for its silence."""
        if self._health.record_silence(server.incarnation, _now()):
            self._note_ejected(server)

    def _note_ejected(self, server: Server) -> None:
        self._metrics.count("servers_ejected_total")
        events.emit(
            _logger,
            events.SERVER_EJECTED,
            server=server.name,
            silent_ms=0,
            in_flight=server.own,
        )

    def build_spread(self, service: str) -> Spread | None:
        """Return what a choice by pace depends on; None if the pace does not count."""
        return self._balance.build_spread(service, _now())

    def describe_closed(self, server: Server) -> str:
        """Return why a server gets no requests of this node; empty if it does."""
        now = _now()
        if server.is_leaving:
            return "leaving"
        if server.is_evacuated:
            return "in an evacuated availability zone"
        if not server.is_open(now):
            return "closed, or paused at its own request"
        if server.is_avoided(now):
            return "silent"
        return "ejected" if self._health.is_ejected(server.incarnation, now) else ""

    def _list_usable(self, job: Job) -> list[Server]:
        """Return the servers of a job's service that take its requests."""
        now = _now()
        usable = self._filter_usable(self._directory.in_service(job.service.name), now)
        self._balance.note_usable(job.service.name, usable, now)
        if job.service.homes is None:
            return usable
        return self._filter_usable(self._directory.in_homes(job.service), now)

    def _filter_usable(self, servers: list[Server], now: float) -> list[Server]:
        servers = [server for server in servers if server.is_open(now)]
        kept = set(self._health.usable([s.incarnation for s in servers], now))
        return [server for server in servers if server.incarnation in kept]

    def list_untried(self, job: Job, attempts: Attempts) -> list[Server]:
        """Return the servers that take the request and may be asked."""
        usable = self._list_usable(job)
        limit = job.route.attempts
        return [server for server in usable if attempts.may_ask(server.name, limit)]

    async def admit(self, job: Job, attempts: Attempts) -> tuple[Server, Permit]:
        """Choose a server and take the permit to send the request there.

        Servers without a limit take the work first. One with a limit gets a request if
        the others are busy or if its limit needs to be confirmed.

        Raises:
            Refusal: If no server takes the request in time.
        """
        while True:
            choice = await self._pick(job, attempts)
            admitted = await self._try_limited(choice, job, attempts)
            if admitted is None and choice.server is not None:
                admitted = await self._try_free(choice.server, job, attempts)
            elif admitted is None:
                admitted = await self._wait_limited(choice.limited, job, attempts)
            if admitted is None:
                continue
            server, permit = admitted
            with contextlib.ExitStack() as held:
                held.enter_context(contextlib.closing(permit))
                is_ready = not job.call.adapter
                is_ready = is_ready or await self._ensure_adapter(server, job)
                if is_ready and server.is_open(_now()):
                    held.pop_all()
                    self._balance.note_sent(job.service.name, _now())
                    return server, permit
            if is_ready:
                continue
            attempts.note_rejected(server.name)
            if attempts.rejections > defaults.ADAPTER_ATTEMPTS:
                raise ModelUnavailable(
                    "the adapter could not be loaded",
                    retry_after_ms=defaults.SERVER_BUSY_RETRY_MS,
                )

    async def _try_free(
        self, server: Server, job: Job, attempts: Attempts
    ) -> tuple[Server, Permit] | None:
        """Return a server without a limit, with the permit that it may need.

        One that can turn cold and has no permit for a moment counts as limited then.
        """
        wait_s = 0.0
        if server.limit.cold_per_s is not None:
            wait_s = min(max(job.sent_by - _now(), 0.0), defaults.COLD_ADMIT_WAIT_S)
        wish = self._build_wish(job, attempts, wait_s)
        try:
            return server, await self._permits.acquire(server.limit, wish)
        except LimitReached as error:
            if server.limit.cold_per_s is not None:
                self._metrics.count("cold_bound_reached_total")
                events.emit(
                    _logger,
                    events.COLD_BOUND_REACHED,
                    request_id=job.call.request_id,
                    server=server.name,
                    wait_ms=int(error.wait_s * defaults.MS_PER_S),
                    is_owner_silent=self._permits.is_owner_silent,
                )
                # Without this, the same server would be chosen again at once.
                refused_s = max(error.wait_s, defaults.COLD_REFUSED_S)
                server.limit.cold.note_refused(_now() + refused_s)
            return None

    async def _try_limited(
        self, choice: _Choice, job: Job, attempts: Attempts
    ) -> tuple[Server, Permit] | None:
        """Return a server with a limit that takes the request at once, if one should.

        At most one is asked, as the request has another server.
        """
        if choice.server is None:
            return None
        for server in order_by_limit(choice.limited, self._random.random):
            if choice.is_busy or self._permits.needs_trial(server.limit):
                with contextlib.suppress(LimitReached):
                    wish = self._build_wish(job, attempts, 0.0)
                    return server, await self._permits.acquire(server.limit, wish)
                return None
        return None

    async def _wait_limited(
        self, servers: list[Server], job: Job, attempts: Attempts
    ) -> tuple[Server, Permit] | None:
        """Wait until a server with a limit takes the request.

        Where none does, a model may still be loaded elsewhere in time.

        Returns:
            None if the servers have changed meanwhile, so that it is to be chosen anew.

        Raises:
            Refusal: If no server takes it in time, as soon as that is known.
        """
        began_at = _now()
        if not attempts.may_have_run:
            # Tokens would be missing elsewhere while the request waits.
            job.charge.release()
        waits = []
        with contextlib.ExitStack() as stack:
            stack.callback(lambda: attempts.add_wait(_now() - began_at))
            for server in order_by_limit(servers, self._random.random):
                wish = self._build_wish(job, attempts, job.sent_by - _now())
                review = self._build_review(server, job, attempts, stack)
                try:
                    permit = await self._permits.acquire(server.limit, wish, review)
                except LimitReached as error:
                    waits.append(error.wait_s)
                    if self._is_outdated(server, job, attempts):
                        await self._take_tokens(job, began_at)
                        return None
                    continue
                with contextlib.ExitStack() as held:
                    held.enter_context(contextlib.closing(permit))
                    await self._take_tokens(job, began_at)
                    held.pop_all()
                return server, permit
        # A server is cold for a shorter time than a load takes.
        is_named = any(server.limit.is_limited for server in servers)
        if is_named and job.needs_model and self._demand.can_load_freely(job.service):
            self._demand.note_short(job.call.model)
            try:
                await self._wait_model(job, attempts)
            except ModelUnavailable as error:
                if (error.retry_after_ms or 0) < min(waits) * defaults.MS_PER_S:
                    raise
            else:
                return None
        raise self._refuse_limited(servers, job, min(waits))

    def _build_review(
        self,
        chosen: Server,
        job: Job,
        attempts: Attempts,
        stack: contextlib.ExitStack,
    ) -> Callable[[], bool]:
        """Return what to do now and then while a request waits for a permit.

        From the first time on, it counts as demand for a copy of its model elsewhere.
        """
        is_counted = not job.needs_model or not chosen.limit.is_limited

        def review() -> bool:
            nonlocal is_counted
            if self._is_outdated(chosen, job, attempts):
                return True
            if not is_counted and self._demand.can_load_freely(job.service):
                is_counted = True
                stack.enter_context(self._demand.count_waiting(job))
            return False

        return review

    def _refuse_limited(
        self, servers: list[Server], job: Job, wait_s: float
    ) -> Overloaded:
        """Return the refusal of a request that no server with a limit takes in time."""
        now = _now()
        events.emit(
            _logger,
            events.PERMIT_REFUSED,
            request_id=job.call.request_id,
            servers=[server.name for server in servers],
            per_s=[server.limit.per_s for server in servers],
            age_ms=[
                int(
                    min(server.limit.confirmed_s(now), defaults.AGE_LIMIT_S)
                    * defaults.MS_PER_S
                )
                for server in servers
            ],
            cold_ms=[
                int(server.limit.cold.cold_s(now) * defaults.MS_PER_S)
                if server.limit.cold
                else 0
                for server in servers
            ],
            wait_ms=int(wait_s * defaults.MS_PER_S),
            left_ms=int((job.leaves_at - now) * defaults.MS_PER_S),
            is_owner_silent=self._permits.is_owner_silent,
        )
        wait_ms = int(wait_s * defaults.MS_PER_S)
        return Overloaded(
            "the backend servers take no more requests in time",
            retry_after_ms=max(wait_ms, defaults.SERVER_BUSY_RETRY_MS),
        )

    def _build_wish(
        self, job: Job, attempts: Attempts, patience_s: float
    ) -> PermitWish:
        kind = "repeat" if attempts.sent else "first"
        workspace = job.workspace.name if job.workspace else ""
        return PermitWish(kind, workspace, job.priority, patience_s)

    def _is_outdated(self, chosen: Server, job: Job, attempts: Attempts) -> bool:
        """Return whether a server without a limit is free, or the chosen one is not."""
        if not chosen.is_open(_now()):
            return True
        if job.needs_model:
            servers = self._find_holders(job, attempts)
        else:
            servers = self.list_untried(job, attempts)
        return bool(split_by_cold(servers, _now())[0])

    async def _pick(self, job: Job, attempts: Attempts) -> _Choice:
        if job.needs_model:
            return await self._pick_engine(job, attempts)
        return await self._pick_plain(job, attempts)

    async def _pick_plain(self, job: Job, attempts: Attempts) -> _Choice:
        while True:
            self._check_zones(job)
            usable = self._list_usable(job)
            fresh = self.list_untried(job, attempts)
            if fresh:
                free, limited = split_by_cold(fresh, _now())
                if not free:
                    return _Choice(None, limited, is_busy=True)
                zone = self.kernel.settings.zone
                spread = self._balance.build_spread(job.service.name, _now())
                draw = self._random.random()
                server = choose_least_loaded_server(free, zone, draw, spread)
                return _Choice(server, limited, is_full(server))
            if usable and attempts.avoided:
                await self._pause(job, attempts, attempts.begin_round())
                if not attempts.may_have_run or job.route.is_idempotent:
                    continue
            if not usable:
                self._check_pauses(job)
            await self._demand.wait_change(job.deadline)

    def _check_zones(self, job: Job) -> None:
        """Refuse a request for which evacuations or its homes leave no server.

        Raises:
            ServersEvacuated: If all staying servers are in evacuated zones.
            HomesUnavailable: If none is in the request's homes.
        """
        service = job.service.name
        obstacle = self._directory.find_obstacle(job.service)
        if obstacle == "homes":
            self._metrics.count("requests_without_home_total", service=service)
            raise HomesUnavailable(
                "no backend server is in a region that the request is confined to",
                retry_after_ms=defaults.EVACUATED_RETRY_MS,
            )
        if not obstacle:
            self._emptied.discard(service)
            return
        if service not in self._emptied:
            self._emptied.add(service)
            zones = sorted(self._directory.evacuated)
            events.emit(_logger, events.SERVERS_EVACUATED, service=service, zones=zones)
        self._metrics.count("requests_without_zone_total", service=service)
        raise ServersEvacuated(
            "all backend servers are in evacuated availability zones",
            retry_after_ms=defaults.EVACUATED_RETRY_MS,
        )

    async def _pause(self, job: Job, attempts: Attempts, pause_s: float) -> None:
        """Wait before the servers that have all refused a request are asked again.

        Raises:
            Overloaded: If no answer is expected after that before the caller leaves.
        """
        if not attempts.may_have_run and _now() + pause_s >= job.sent_by:
            raise Overloaded(
                "all backend servers have refused the request",
                retry_after_ms=int(pause_s * defaults.MS_PER_S),
            )
        await asyncio.sleep(pause_s)

    def _check_pauses(self, job: Job) -> None:
        """Refuse a request whose caller leaves before a server takes requests again.

        Raises:
            Overloaded: With the time when the first server does.
        """
        now = _now()
        pauses = [
            server.backpressure.pause_s(now)
            for server in self._directory.in_homes(job.service)
            if not (server.is_leaving or server.is_evacuated)
            and not server.backpressure.allows(now)
        ]
        if pauses and now + min(pauses) > job.leaves_at:
            raise Overloaded(
                "all backend servers have asked for a pause",
                retry_after_ms=int(min(pauses) * defaults.MS_PER_S),
            )

    async def _pick_engine(self, job: Job, attempts: Attempts) -> _Choice:
        wanted = RequestTarget(job.call.model, job.call.adapter)
        if not attempts.may_have_run:
            self._check_size(job)
        while True:
            self._check_zones(job)
            holders = self._find_holders(job, attempts)
            if not holders and attempts.avoided:
                pause_s = attempts.begin_round()
                holders = self._find_holders(job, attempts)
                if holders:
                    await self._pause(job, attempts, pause_s)
            if not holders and attempts.runs >= job.route.attempts:
                # A copy elsewhere would be of no use to it.
                await self._demand.wait_change(job.deadline)
                continue
            if not holders:
                await self._wait_model(job, attempts)
                continue
            fitting = self._list_fitting(holders, job)
            if not fitting:
                await self._wait_memory(job, attempts)
                continue
            free, limited = split_by_cold(fitting, _now())
            if not free:
                return _Choice(None, limited, is_busy=True)
            spread = self._balance.build_spread(job.service.name, _now())
            excess = count_excess_requests(free, spread)
            if excess:
                self._demand.ask_copy(job.service, job.call.model, excess)
            if attempts.is_suspect:
                # Its crash would take the other requests of the engine along.
                engine = choose_idle_engine(free, attempts.contended, spread)
                return _Choice(engine, limited, excess > 0)
            engine = choose_engine(free, wanted, spread)
            return _Choice(engine, limited, excess > 0)

    def _list_fitting(self, holders: list[Server], job: Job) -> list[Server]:
        """Return the engines whose memory has room for a request."""
        tokens = job.call.prompt_tokens + job.call.output_tokens
        now = _now()
        return [server for server in holders if server.memory.fits(tokens, now)]

    def _check_size(self, job: Job) -> None:
        """Refuse a request that is larger than the memory of any engine.

        Raises:
            Overloaded: At once; no engine will ever take it.
        """
        engines = self._directory.in_service(job.service.name)
        tokens = job.call.prompt_tokens + job.call.output_tokens
        if is_too_large(tokens, [server.memory for server in engines]):
            self._metrics.count("requests_larger_than_memory_total")
            raise Overloaded("the request needs more memory than any engine has")

    async def _wait_memory(self, job: Job, attempts: Attempts) -> None:
        """Wait for room in an engine that holds the model.

        Raises:
            Overloaded: If there is none in time.
        """
        self._metrics.count("memory_waits_total")
        self._demand.ask_copy(job.service, job.call.model, 1)
        if not attempts.may_have_run and _now() >= job.sent_by:
            raise Overloaded(
                "the engines that hold the model have no memory left",
                retry_after_ms=defaults.SERVER_BUSY_RETRY_MS,
            )
        await self._demand.wait_change(job.deadline)

    async def _wait_model(self, job: Job, attempts: Attempts) -> None:
        """Wait for the model without the request's tokens, then take them again."""
        began_at = _now()
        if not attempts.may_have_run:
            job.charge.release()
        try:
            await self._demand.wait_model(job, may_return=not attempts.is_second)
        finally:
            attempts.waited_s += _now() - began_at
        await self._take_tokens(job, began_at)

    async def _take_tokens(self, job: Job, began_at: float) -> None:
        """Take the tokens of a request that has waited since ``began_at``."""
        await job.charge.take(job.find_token_patience(_now() - began_at))

    def _find_holders(self, job: Job, attempts: Attempts) -> list[Server]:
        now = _now()
        return [
            server
            for server in self.list_untried(job, attempts)
            if server.holds(job.call.model, now, defaults.AGENT_FRESH_S)
        ]

    def keep_holders(self, job: Job, attempts: Attempts, asked: Server) -> None:
        """Have the holders that may be asked next keep the request's model."""
        if not job.needs_model:
            return
        for server in self._find_holders(job, attempts):
            if server is not asked:
                self._demand.note_expected(server, job.call.model, job.call.adapter)

    async def _ensure_adapter(self, server: Server, job: Job) -> bool:
        call = job.call
        if server.holds_adapter(call.model, call.adapter):
            return True
        agents = self.kernel.find("directory").agents
        wait_s = job.leaves_at - _now()
        if server.busy_s(_now()) >= wait_s:
            self._refuse_adapter(server)
        try:
            answer: Any = await agents.request(
                server.listed.address,
                EnsureAdapter(call.model, call.adapter),
                min(wait_s, defaults.ADAPTER_WAIT_S),
            )
        except JasminewharfError as error:
            self._metrics.count("adapter_requests_failed_total")
            events.emit(
                _logger,
                events.ATTEMPT_FAILED,
                request_id=call.request_id,
                server=server.name,
                error=error,
                attempt=0,
            )
            return False
        return answer.is_loaded

    def _refuse_adapter(self, server: Server) -> NoReturn:
        """Refuse a request whose caller would leave before its adapter is loaded."""
        back_s = server.busy_s(_now()) + defaults.RETURN_MARGIN_S
        raise ModelUnavailable(
            "the adapter is not loaded before the caller leaves",
            retry_after_ms=int(back_s * defaults.MS_PER_S),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
