"""Servers name and lift limits while processes are killed, stopped and frozen.

Real processes on loopback addresses: control hosts, entries and one agent per engine.
``JASMINEWHARF_SOAK_SEEDS=10-60`` plays these seeds in place of the fixed ones.
"""

import asyncio
import itertools
import random
import signal

import pytest

from fleets import HOST, KEY, pick_base
from jasminewharf.bench.limit_checks import Arrival, find_excess
from jasminewharf.exceptions import BackendError
from jasminewharf.services.client import HttpClient
from processfleet import ProcessFleet, read_seeds

_FIXED_SEEDS = "1-2"
_PLAY_S = 14.0
_PER_ENTRY_S = 5.0
_CONTACT_S = 3.0
_LIMITS = ("0", "0.3", "1.4", "4.6", "12")
_FAULTS = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
# Of a request with a deadline of 4 s, at an entry that may be frozen for 2.5 s.
_ANSWERED_S = 9.0


class Soak:
    """Load, limits and faults of one seed."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._ids = itertools.count()
        self._calls = set()
        # For each server, the times of its changes; and when each life of an entry
        # passed on answers with a limit.
        self.limits = {desk.name: [] for desk in fleet.desks}
        self.told = {desk.name: {} for desk in fleet.desks}
        self.statuses = {}
        self._clients = [HttpClient(address) for address in fleet.entries]
        self._lives = dict.fromkeys(range(len(fleet.entries)), 0)

    async def run(self):
        entries = range(len(self._fleet.entries))
        await asyncio.gather(
            *(self._load(entry) for entry in entries),
            *(self._change_limits(desk) for desk in self._fleet.desks),
            self._strike(),
        )
        await asyncio.gather(*self._calls, return_exceptions=True)

    async def _load(self, entry):
        until = now() + _PLAY_S
        while now() < until:
            call = asyncio.create_task(self._call(entry))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await asyncio.sleep(self._random.expovariate(_PER_ENTRY_S))

    async def _call(self, entry):
        host = f"e{entry}.{self._lives[entry]}"
        request_id = f"{host}-{next(self._ids)}"
        is_order = self._random.random() < 0.3
        request_id += "-order" if is_order else ""
        method, target = ("POST", "/orders/1") if is_order else ("GET", "/status/1")
        head = [HOST, KEY, ("x-attempt-id", request_id), ("x-deadline-ms", "4000")]
        try:
            async with asyncio.timeout(_ANSWERED_S):
                # An open connection is used until its process is gone.
                response = await self._clients[entry].open(
                    method, target, head, b"{}" if is_order else b""
                )
                body = await response.read()
        except (BackendError, TimeoutError):
            # The entry was killed or is frozen.
            return
        self.statuses[request_id] = response.status
        if "server-limit" in dict(response.headers):
            server = body.decode().partition(":")[0]
            self.told[server].setdefault(host, []).append(now())

    async def _change_limits(self, desk):
        until = now() + _PLAY_S
        while now() < until:
            desk.limit = self._random.choice(_LIMITS)
            self.limits[desk.name].append((now(), float(desk.limit)))
            await asyncio.sleep(self._random.uniform(5.0, 9.0))
            if self._random.random() < 0.3:
                desk.limit = ""
                self.limits[desk.name].append((now(), None))
                await asyncio.sleep(self._random.uniform(1.0, 2.0))

    async def _strike(self):
        """Strike in series that overlap, one control host at a time."""
        strikes = []
        until = now() + _PLAY_S - 3.0
        while now() < until:
            await asyncio.sleep(self._random.uniform(0.5, 2.5))
            kind = self._random.choice(_FAULTS)
            if self._random.random() < 0.5:
                entry = self._random.choice(list(self._lives))
                # What it was told it forgets; its later requests belong to a new life.
                self._lives[entry] += 1
                ip = self._fleet.entry_ips[entry]
                strikes.append(asyncio.create_task(self._fleet.strike(ip, kind)))
            else:
                await self._fleet.strike(
                    self._random.choice(self._fleet.controls), kind
                )
        await asyncio.gather(*strikes)


def now():
    return asyncio.get_running_loop().time()


def list_arrivals(replica):
    hosts = [head["x-attempt-id"].partition("-")[0] for head in replica.heads]
    return [Arrival(*pair) for pair in zip(replica.arrivals, hosts, strict=True)]


@pytest.mark.timeout(150)
@pytest.mark.parametrize("seed", read_seeds(_FIXED_SEEDS))
def test_limits_hold_while_processes_are_killed(tmp_path, seed):
    """Owners and entries come and go; no window has more than the limit allows."""

    async def main():
        fleet = ProcessFleet(pick_base(), tmp_path / "fleet", 4)
        try:
            await fleet.start()
            soak = Soak(fleet, seed)
            for desk in fleet.desks:
                desk.heads.clear()
                desk.arrivals.clear()
            await soak.run()
        finally:
            await fleet.stop()
        for desk in fleet.desks:
            excess = find_excess(
                list_arrivals(desk),
                soak.limits[desk.name],
                soak.told[desk.name],
                _CONTACT_S,
            )
            assert excess == []
        runs = [request for desk in fleet.desks for request in desk.runs]
        orders = [request for request in runs if request.endswith("-order")]
        assert len(orders) == len(set(orders)) > 0
        refused = {r for r, status in soak.statuses.items() if status == 503}
        assert not refused & set(runs)
        for path in fleet.folder.glob("*.log"):
            text = path.read_text()
            assert "Traceback" not in text, path
            assert '"event": 102' not in text, path

    asyncio.run(main())
