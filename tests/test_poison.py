"""Requests with a part in their prompts that crashes each engine they reach."""

import asyncio

import pytest

from crashingengines import Play
from fleets import run_with_fleet

# The bounds of the platform's pages are several seconds; here all is on one machine.
CONTACT_S = 1.0
BAD = "bad0bad0:64"
DURATION_S = 11.0


def play(tmp_path, bad_parts, *, place=1, seed=1, duration_s=DURATION_S, entries=4):
    """Play a load and return it with the time at which it began."""
    load = Play(bad_parts)
    began = []

    async def scenario(fleet):
        began.append(asyncio.get_running_loop().time())
        await load.run(
            fleet, duration_s, per_s=40, bad_share=0.15, seed=seed, place=place
        )

    run_with_fleet(scenario, tmp_path, entries=entries, engines=load.engines, desks=[])
    return load, began[0]


def check(load, began):
    """Check what the platform's rules ask: few late arrivals, sound ones served."""
    assert load.ends
    assert load.count_late(CONTACT_S) <= 3
    first, fifth = load.ends[0][0], load.ends[:5][-1][0]
    before = load.measure_served(began, first)
    after = load.measure_served(fifth + 2 * CONTACT_S, began + DURATION_S)
    assert after >= before / 2


@pytest.mark.parametrize("place", [0, 1, 2])
def test_part_that_crashes_engines_is_kept_from_them(tmp_path, place):
    """Each entry went on sending such requests until no engine was left."""
    check(*play(tmp_path, [BAD], place=place))


def test_several_parts_that_crash_engines_are_kept_from_them(tmp_path):
    """The ends of one part hid those of the others."""
    check(*play(tmp_path, [BAD, "bad1bad1:64", "bad2bad2:64"]))
