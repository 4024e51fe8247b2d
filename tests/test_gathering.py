"""Digests to entries: what entries need at once, and load only seldom."""

import asyncio

from jasminewharf import defaults
from jasminewharf.kernel import Kernel
from jasminewharf.messages import encode
from jasminewharf.messages.feed import BackendReport, NodeReport, ReplicaReport
from jasminewharf.services.gathering import Gathering
from jasminewharf.settings import ControlHost, Settings

SETTINGS = Settings(
    "control-1", "control", "a", [ControlHost("control-1", "127.0.0.1:1", "x")]
)


def report(sequence, running=0, state="loaded", version=1):
    replicas = [ReplicaReport(n, f"model-{n}", state, "") for n in range(3)]
    cached = [(f"checkpoint-{n}", "disk") for n in range(10)]
    backend = BackendReport(
        "engine", "p", "openai", True, running, 0, 0, 1.0, replicas, cached
    )
    backends = [backend, backend._replace(backend="engine-2")]
    return NodeReport(
        "agent-1", "agent", "h", "a", 7, sequence, version, "", 0, False, backends, []
    )


def changed(gathering):
    nodes = set(gathering._changed_agents)
    gathering._changed_agents.clear()
    return bool(nodes)


def test_entries_hear_of_replicas_at_once_and_of_load_alone_seldom(monkeypatch):
    async def scenario():
        gathering = Gathering(Kernel(SETTINGS))
        gathering._accept(report(1), 0)
        assert changed(gathering)
        gathering._accept(report(2, version=2), 0)
        assert not changed(gathering), "a heartbeat is no news"
        gathering._accept(report(3, running=5), 0)
        assert not changed(gathering), "load alone waits"
        gathering._accept(report(4, running=5, state="gone"), 0)
        assert changed(gathering), "a replica's state is news"
        monkeypatch.setattr("jasminewharf.defaults.DIGEST_LOAD_INTERVAL_S", 0.0)
        gathering._accept(report(5, running=6, state="gone"), 0)
        assert changed(gathering), "load is told when its interval has passed"

    asyncio.run(scenario())


def test_load_of_all_agents_stays_under_the_control_limit_of_an_entry():
    """307 agents at the target size, 9,000 bytes/s for control."""
    size = len(encode(report(1, running=3)))
    assert 307 * size / defaults.DIGEST_LOAD_INTERVAL_S < 9_000
