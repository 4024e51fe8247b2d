"""Routing balances load and prefers cached prefixes and the caller's zone."""

import random

import pytest

from jasminewharf import defaults
from jasminewharf.decisions.prefixes import (
    CacheEvent,
    PrefixHints,
    hash_prefixes,
    prefix_scope,
)
from jasminewharf.decisions.routing import ROUTERS, Candidate, estimate_load


@pytest.mark.parametrize("name", sorted(ROUTERS))
@pytest.mark.parametrize("size", [1, 2, 3, 7])
def test_idle_candidates_are_all_used(name, size):
    candidates = [Candidate(f"b{number}", "z") for number in range(size)]
    source = random.Random(1)
    chosen = {ROUTERS[name](candidates, "z", source).backend for _ in range(200)}
    assert chosen == {item.backend for item in candidates}


def test_own_calls_are_not_counted_twice_when_a_report_covers_them():
    covered = Candidate("b", "z", 10, own=4, reported=4, own_at_report=4)
    assert estimate_load(covered._replace(report_age_s=0.0)) == 0.4


def test_old_report_says_nothing():
    age_s = 30 * defaults.ROUTING_REPORT_HALF_LIFE_S
    old = Candidate("b", "z", 10, own=1, reported=100, report_age_s=age_s)
    assert estimate_load(old) == pytest.approx(0.1)


def choose(candidates, zone="z1", times=100):
    source = random.Random(1)
    return [
        ROUTERS["two_choices"](candidates, zone, source).backend for _ in range(times)
    ]


def test_own_zone_is_used_until_it_is_full():
    near = Candidate("near", "z1", 10, own=9)
    far = Candidate("far", "z2", 10, own=0)
    assert set(choose([near, far])) == {"near"}
    assert set(choose([near._replace(own=10), far])) == {"far"}


def test_cached_prefix_wins_unless_its_server_is_loaded():
    cached = Candidate("cached", "z1", 10, own=4, cached_share=1.0)
    others = [Candidate(f"b{number}", "z1", 10) for number in range(5)]
    assert set(choose([cached, *others])) == {"cached"}
    assert "cached" not in choose([cached._replace(own=9), *others])


def test_hints_count_only_an_unbroken_prefix():
    hints = PrefixHints()
    hashes = hash_prefixes("w/m", b"x" * 1024)
    hints.note_route("b", hashes, 0.0)
    hints.apply("b", CacheEvent(1, "evicted", hashes[1]), 0.0)
    assert hints.cached_share("b", hashes, 0.0) == 0.25


def test_prompts_of_different_models_and_adapters_share_no_hash():
    """A prefix cached for one adapter cannot be used by another."""
    scopes = [prefix_scope("m", ""), prefix_scope("m", "a"), prefix_scope("n", "a")]
    hashes = [hash_prefixes(scope, b"x" * 1024) for scope in scopes]
    assert len(hashes[0]) == 4
    assert len({block for item in hashes for block in item}) == 12


def test_late_and_repeated_events_are_dropped_and_gaps_counted():
    hints = PrefixHints()
    hints.apply("b", CacheEvent(5, "stored", 1), 0.0)
    hints.apply("b", CacheEvent(4, "evicted", 1), 0.0)
    hints.apply("b", CacheEvent(9, "stored", 2), 0.0)
    assert hints.cached_share("b", [1, 2], 0.0) == 1.0
    assert hints.gaps == 1


def test_restarted_server_loses_its_hints_and_its_events_count_again():
    hints = PrefixHints()
    hints.apply("b", CacheEvent(500, "stored", 1), 0.0)
    hints.apply("other", CacheEvent(500, "stored", 1), 0.0)
    hints.apply("b", CacheEvent(1, "stored", 2), 0.0)
    assert hints.cached_share("b", [1], 0.0) == 0.0
    assert hints.cached_share("b", [2], 0.0) == 1.0
    assert hints.cached_share("other", [1], 0.0) == 1.0


def test_hints_are_bounded_and_expire():
    hints = PrefixHints(limit=10, max_age_s=5.0)
    hints.note_route("b", range(100), 0.0)
    assert len(hints) == 10
    assert hints.cached_share("b", [99], 5.0) == 1.0
    assert hints.cached_share("b", [99], 5.1) == 0.0
