"""Real processes under faults: every promise must hold over the whole history.

The trials run one after the other, since they use many processes.
"""

import asyncio
import time

import pytest

from jasminewharf.exceptions import JasminewharfError
from jasminewharf.interfaces.operator import OperatorClient
from jasminewharf.trials.cluster import ClusterSpec
from jasminewharf.trials.runner import TrialOptions, run_trial

pytestmark = [pytest.mark.timeout(180)]

SPEC = ClusterSpec(with_proxies=True)


def assert_kept(report, least_calls=50):
    broken = {name: found for name, found in report["violations"].items() if found}
    assert not broken
    assert report["calls"] >= least_calls


@pytest.mark.parametrize(
    ("faults", "pairs"),
    [
        (("kill-leader", "kill-agent"), True),
        (("isolate-leader", "kill-entry"), True),
        (("stop-entry", "stop-agent", "stop-leader"), False),
        (("kill-engine", "slow-engines"), True),
    ],
)
def test_promises_hold_under_faults(tmp_path, faults, pairs):
    options = TrialOptions(
        seed=7, duration_s=8.0, callers=8, faults=faults, pairs=pairs, spec=SPEC
    )
    assert_kept(asyncio.run(run_trial(options, tmp_path)))


def test_withdrawal_and_drain_take_effect_in_time(tmp_path):
    async def act(trial):
        loop = asyncio.get_running_loop()
        running = asyncio.ensure_future(trial.run())
        await asyncio.sleep(2.0)
        host = sorted(trial.cluster.engines)[0]
        async with OperatorClient(trial.cluster.tool_settings) as operator:
            await operator.withdraw_key(trial.keys[0].key_id)
            trial.withdrawals[trial.keys[0].key_id] = loop.time()
            await operator.set_draining(host, True)
            trial.drains[host] = time.monotonic()
        await running

    options = TrialOptions(seed=3, duration_s=9.0, callers=8, spec=SPEC)
    report = asyncio.run(run_trial(options, tmp_path, act))
    assert_kept(report)
    assert report["outcomes"]["unauthorized"] > 0


def test_state_survives_kill_of_every_process(tmp_path):
    """Documents and keys must be on disk before they are acknowledged."""

    async def act(trial):
        cluster = trial.cluster
        key = trial.keys[0]
        assert (await trial.callers.chat(key, "model-0")).whole
        for node in cluster.nodes:
            cluster.kill(node)
        for node in cluster.nodes:
            cluster.spawn(node)
        await cluster.wait_ready(cluster.entry_addresses)
        started = time.monotonic()
        assert (await trial.callers.chat(key, "model-1")).whole
        assert time.monotonic() - started < 10

    options = TrialOptions(seed=5, spec=SPEC)
    assert_kept(asyncio.run(run_trial(options, tmp_path, act)), least_calls=1)


def test_without_a_quorum_nothing_is_promised_and_nothing_runs(tmp_path):
    """Entries refuse as not run once their lease has ended; then all recovers."""

    async def act(trial):
        cluster = trial.cluster
        key = trial.keys[0]
        assert (await trial.callers.chat(key, "model-0")).whole
        for name in ("control-1", "control-2"):
            cluster.kill(name)
        lease_s = cluster.spec.timing.freshness_lease_s
        await asyncio.sleep(lease_s + 0.5)
        refused = await trial.callers.chat(key, "model-0")
        assert refused.error == "configuration_unconfirmed"
        assert refused.not_run
        async with OperatorClient(
            cluster.tool_settings._replace(timeout_s=1.0)
        ) as operator:
            with pytest.raises(JasminewharfError):
                await operator.withdraw_key(key.key_id)
        for name in ("control-1", "control-2"):
            cluster.spawn(name)
        await cluster.wait_ready(cluster.entry_addresses)

    options = TrialOptions(seed=5, spec=SPEC)
    assert_kept(asyncio.run(run_trial(options, tmp_path, act)), least_calls=1)


def test_daemon_stops_cleanly_on_sigterm(tmp_path):
    async def act(trial):
        await trial.callers.chat(trial.keys[0], "model-0")
        for node in reversed(trial.cluster.nodes):
            assert await trial.cluster.terminate(node) == 0, node

    options = TrialOptions(seed=5, spec=SPEC._replace(controls=1, entries=1))
    assert_kept(asyncio.run(run_trial(options, tmp_path, act)), least_calls=1)
