"""Real processes go on while configurations drop what callers wait for.

Models, adapters, engines and whole services leave the configuration and come back in
quick succession. Callers ask for all of them all the time, also for those that have
left. ``JASMINEWHARF_SOAK_SEEDS=10-60`` plays these seeds in place of the fixed one,
``JASMINEWHARF_SOAK_S`` sets the length of a play in seconds.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import random

import pytest

from fleets import KEY, build_body, pick_base
from jasminewharf.exceptions import BackendError
from platformfakes import FakeReplica
from processfleet import ProcessFleet, read_seeds

_FIXED_SEEDS = "1"
_PLAY_S = float(os.environ.get("JASMINEWHARF_SOAK_S", "12"))
_MODELS = tuple(f"m{number}" for number in range(6))
# No change drops this one for good, so that each play ends with callers served.
_KEPT = "m0"
_CALLERS = 20
_CHANGE_S = 0.3
_ANSWERED_S = 20.0
_FAILURES = (BackendError, TimeoutError, OSError)
# A task or a handler that failed for an error nobody foresaw.
_LOG_FAULTS = ("Traceback", '"event": 102', '"event": 204')


def _build_first_body(version=1, names=_MODELS, **engine):
    """Return a configuration that offers some models."""
    first = json.loads(build_body())
    model = first["services"][0]["engine"]["models"][0]
    offered = [{**model, "name": name} for name in names]
    first["services"][0]["engine"].update(models=offered, **engine)
    return build_body(version, services=first["services"])


def _build_changed_body(version, rng):
    """Return a configuration that may lack models, the engine or the service."""
    body = json.loads(
        _build_first_body(
            version,
            rng.sample(_MODELS, rng.randint(0, len(_MODELS))),
            adapterSlots=rng.choice((1, 2, 8)),
            weightsMb=rng.choice((75_000, 150_000)),
        )
    )
    lost = rng.choice(("", "", "", "", "engine", "service"))
    if lost == "engine":
        body["services"][0] = {"name": "llm"}
    elif lost == "service":
        del body["services"][0]
        body["routes"] = [r for r in body["routes"] if r["service"] != "llm"]
    return json.dumps(body).encode()


class ModelChanges:
    """Callers and the operator of one seed."""

    def __init__(self, fleet, seed):
        self.outcomes = collections.Counter()
        self._fleet = fleet
        self._random = random.Random(seed)
        self._ids = itertools.count()

    async def play(self, until):
        """Change the configuration until a time, then offer all models again."""
        callers = [asyncio.create_task(self._call_forever()) for _ in range(_CALLERS)]
        versions = itertools.count(2)
        while asyncio.get_running_loop().time() < until:
            await asyncio.sleep(self._random.uniform(0.2, 1.8) * _CHANGE_S)
            body = _build_changed_body(next(versions), self._random)
            await self._fleet.submit_until_accepted(body)
        body = _build_first_body(next(versions))
        await self._fleet.submit_until_accepted(body)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)

    async def _call_forever(self):
        while True:
            model = self._random.choice(_MODELS)
            if self._random.random() < 0.3:
                model += f"/a{self._random.randrange(4)}"
            status = 0
            with contextlib.suppress(*_FAILURES):
                status = await self.call(model)
            self.outcomes[status] += 1
            await asyncio.sleep(self._random.uniform(0.0, 0.1))

    async def call(self, model):
        """Return the status of the answer to a request for a model."""
        entry = self._random.randrange(len(self._fleet.entries))
        asking = self._fleet.call(
            "/chat/x",
            ("x-model", model),
            ("x-token-counts", "100,20"),
            KEY,
            entry=entry,
            request_id=f"id-{next(self._ids)}",
        )
        async with asyncio.timeout(_ANSWERED_S):
            status, _, _ = await asking
        return status


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", read_seeds(_FIXED_SEEDS))
def test_no_process_ends_by_a_change_that_drops_what_callers_wait_for(tmp_path, seed):
    """Agents ended with an error as soon as a model in demand was left out."""

    async def main():
        engines = [
            FakeReplica("127.0.0.1", f"i-e{number}", "llm", ["m0"]) for number in (1, 2)
        ]
        for engine in engines:
            engine.load_s = 0.3
        fleet = ProcessFleet(
            pick_base(),
            tmp_path / "fleet",
            2,
            engines=engines,
            body=_build_first_body(),
        )
        try:
            await fleet.start()
            soak = ModelChanges(fleet, seed)
            await soak.play(asyncio.get_running_loop().time() + _PLAY_S)
            async with asyncio.timeout(_ANSWERED_S):
                while await soak.call(_KEPT) != 200:
                    await asyncio.sleep(0.2)
            ended = [
                ip
                for ip, process in fleet.processes.items()
                if process.returncode is not None
            ]
        finally:
            await fleet.stop()
        print(f"seed {seed}: {dict(soak.outcomes)}")
        assert not ended
        assert soak.outcomes[200] > 50
        for path in fleet.folder.glob("*.log"):
            text = path.read_text()
            assert not [fault for fault in _LOG_FAULTS if fault in text], path

    asyncio.run(main())
