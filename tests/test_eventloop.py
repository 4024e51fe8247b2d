"""The clock of a process counts the time in which its machine was suspended."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from jasminewharf import eventloop
from jasminewharf.decisions.freshness import FreshnessLease
from jasminewharf.eventloop import EventLoop
from jasminewharf.interfaces import running

SUSPENDED_S = 5.0


@pytest.fixture
def suspend(monkeypatch):
    """Let the clock go on as it does while a machine is suspended."""
    real = time.clock_gettime
    slept = []

    def read(clock):
        is_counted = clock == time.CLOCK_BOOTTIME
        return real(clock) + (sum(slept) if is_counted else 0.0)

    fake = SimpleNamespace(clock_gettime=read)
    monkeypatch.setattr(eventloop, "time", fake)
    return slept.append


def run_as_daemon(monkeypatch, main):
    async def run_process(settings, settings_file):
        await main()

    logs = SimpleNamespace(label="")
    settings = SimpleNamespace(logs=logs, node="a")
    monkeypatch.setattr(running, "load_settings", lambda path: settings)
    monkeypatch.setattr(running, "configure_logging", lambda label, logs: None)
    monkeypatch.setattr(running, "run_process", run_process)
    running.run_daemon("settings.yaml")


def test_lease_of_a_suspended_machine_is_over_when_it_wakes(monkeypatch, suspend):
    """Guards against a machine that wakes and acts on what it held before."""
    seen = []

    async def main():
        loop = asyncio.get_running_loop()
        lease = FreshnessLease(3.0)
        lease.confirm(lease.begin_ping(loop.time()), 1, 1)
        seen.append(lease.is_valid(loop.time()))
        suspend(SUSPENDED_S)
        seen.append(lease.is_valid(loop.time()))

    run_as_daemon(monkeypatch, main)
    assert seen == [True, False]


def test_timer_that_was_due_while_suspended_fires_on_waking(suspend):
    async def main():
        sleeping = asyncio.create_task(asyncio.sleep(SUSPENDED_S))
        await asyncio.sleep(0)
        suspend(SUSPENDED_S)
        await asyncio.wait_for(sleeping, 1)

    with asyncio.Runner(loop_factory=EventLoop) as runner:
        runner.run(main())
