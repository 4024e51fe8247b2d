"""No requests are sent to servers that are leaving or have asked for a pause."""

import math

import pytest

from fleetparts import build_listed, build_report
from jasminewharf import defaults
from jasminewharf.decisions.backpressure import (
    BackpressureTable,
    ServerBackpressure,
    ServerIncarnation,
)
from jasminewharf.decisions.directory import Directory


def test_pause_ends_when_it_was_asked_to():
    backpressure = ServerBackpressure()
    assert backpressure.note_pause(1.5, now=10.0) == 1.5
    assert not backpressure.allows(11.4)
    assert backpressure.allows(11.5)


def test_shorter_pause_does_not_shorten_a_longer_one():
    backpressure = ServerBackpressure()
    backpressure.note_pause(5.0, now=10.0)
    backpressure.note_pause(0.5, now=11.0)
    assert not backpressure.allows(14.9)


@pytest.mark.parametrize("asked", [1e9, math.inf])
def test_absurd_pause_does_not_block_a_server_for_good(asked):
    backpressure = ServerBackpressure()
    assert backpressure.note_pause(asked, now=0.0) == defaults.SERVER_PAUSE_LIMIT_S
    assert backpressure.allows(defaults.SERVER_PAUSE_LIMIT_S)


@pytest.mark.parametrize("asked", [math.nan, -5.0, 0.0, -math.inf])
def test_unreadable_pause_is_none(asked):
    backpressure = ServerBackpressure()
    assert backpressure.note_pause(asked, now=0.0) == 0.0
    assert backpressure.allows(0.0)


def test_leaving_holds_for_good_and_is_news_once():
    backpressure = ServerBackpressure()
    assert backpressure.note_leaving(now=1.0)
    assert not backpressure.note_leaving(now=2.0)
    assert not backpressure.allows(1e9)


def test_server_that_the_list_lacks_for_a_while_is_still_leaving():
    """A server that reappears in the list must not be treated as new."""
    directory = Directory()
    listed = build_listed("i-1")
    directory.take_list([listed], 0.0)
    directory.servers["i-1"].backpressure.note_leaving(0.0)
    directory.take_list([], 1.0)
    directory.take_list([listed], 2.0)
    assert not directory.servers["i-1"].is_open(2.0)
    assert directory.servers["i-1"].is_leaving


def test_new_life_under_a_former_name_or_address_starts_free():
    """A reused address must not inherit the backpressure of its former server."""
    directory = Directory()
    directory.take_list([build_listed("i-1", born_ms=1)], 0.0)
    directory.servers["i-1"].backpressure.note_leaving(0.0)
    directory.take_list([build_listed("i-1", born_ms=2)], 1.0)
    assert directory.servers["i-1"].is_open(1.0)
    directory.take_list([build_listed("i-2", born_ms=3)], 2.0)
    assert directory.servers["i-2"].is_open(2.0)


def test_paused_engine_has_its_models_but_holds_none_for_requests():
    directory = Directory()
    directory.take_list([build_listed("i-1")], 0.0)
    directory.take_report(build_report(models=["m0"]), 0.0)
    server = directory.servers["i-1"]
    server.backpressure.note_pause(1.0, 0.0)
    assert server.has_model("m0", 0.5, 3.0)
    assert not server.holds("m0", 0.5, 3.0)
    assert server.holds("m0", 1.0, 3.0)


def test_backpressure_of_servers_long_gone_is_dropped():
    """Records of former servers must not accumulate."""
    backpressure = BackpressureTable()
    gone, listed = ServerIncarnation("i-1", 1), ServerIncarnation("i-2", 1)
    for incarnation in (gone, listed):
        backpressure.find(incarnation).note_leaving(0.0)
    now = defaults.BACKPRESSURE_RETENTION_S + 1
    backpressure.forget_unlisted({listed}, now)
    assert backpressure.find(gone).allows(now)
    assert not backpressure.find(listed).allows(now)
