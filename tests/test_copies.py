"""Counting and eviction of cached model copies."""

from fleetparts import build_engine, build_report, build_server
from jasminewharf.decisions.copies import (
    LostCopies,
    count_copies,
    gather_copies,
    list_evicted_copies,
    list_other_reports,
    list_sizes,
)

SIZE_MB = 70_000.0


def test_least_recently_loaded_copy_yields():
    engine = build_engine(disk_mb=2 * SIZE_MB + 1_000)
    sizes = list_sizes(engine)
    assert list_evicted_copies(engine, ["m0", "m1"], SIZE_MB, sizes) == ["m0"]
    assert list_evicted_copies(engine, ["m0"], SIZE_MB, sizes) == []


def test_nothing_is_said_of_a_disk_of_unknown_size():
    assert list_evicted_copies(build_engine(), ["m0", "m1"], SIZE_MB, {}) == []


def test_copies_are_counted_once_an_engine():
    assert count_copies([["m0", "m0"], ["m0", "m1"]]) == {"m0": 2, "m1": 1}


def test_held_and_loading_models_count_as_copies():
    """Otherwise two engines load the same model from the store."""
    reports = [
        build_report("a:1", ["m0"], on_disk=["m0", "m1"]),
        build_report("b:1", [], changing="m2", is_loading=True),
    ]
    copies = gather_copies(reports, "a:1", True)
    assert {name: copies.count(name) for name in ("m0", "m1", "m2", "m3")} == {
        "m0": 1,
        "m1": 1,
        "m2": 1,
        "m3": 0,
    }
    assert (copies.store_loads, copies.idle_engines) == (1, {"a:1"})


def test_model_that_is_loaded_from_a_disk_too_is_not_only_fetched():
    """Guards against a third load of a model that two engines load already."""
    reports = [
        build_report("a:1"),
        build_report("b:1", changing="m1", is_loading=True),
        build_report("c:1", changing="m2", is_loading=True),
        build_report("d:1", changing="m2", is_loading=True, on_disk=["m2"]),
    ]
    copies = gather_copies(reports, "a:1", True)
    assert (copies.loading, copies.fetching) == ({"m1", "m2"}, {"m1"})


def test_copies_of_a_crashed_engine_are_lost_until_it_reports_again():
    """Guards against loads from the store of what a restarting engine has on disk.

    An engine that has left the list takes its copies with it.
    """
    lost = LostCopies()
    crashing = build_report("b:1", on_disk=["m1", "m2"])
    others = [build_report("a:1", on_disk=["m0"])]
    assert lost.update([*others, crashing], {"a:1", "b:1"}, 1.0) == {}
    assert lost.update(others, {"a:1", "b:1"}, 2.0) == {"m1": 2.0, "m2": 2.0}
    assert lost.update(others, {"a:1", "b:1"}, 3.0) == {"m1": 2.0, "m2": 2.0}
    assert lost.update([*others, crashing], {"a:1", "b:1"}, 4.0) == {}
    assert lost.update(others, {"a:1"}, 5.0) == {}
    assert lost.update(others, {"a:1", "b:1"}, 6.0) == {}


def test_copies_of_a_leaving_engine_are_replaced_before_it_is_gone():
    """Guards against a busy model whose only copies leave in one release.

    Both engines that held it were replaced within a second. Their copies counted until
    they were gone, so that nothing was fetched, and callers were refused for 11 s.
    """
    staying = build_server("i-1", ["m0"], 1.0)
    leaving = build_server("i-2", ["m1"], 1.0)
    leaving.listed = leaving.listed._replace(is_leaving=True)
    reports = list_other_reports([staying, leaving], "10.9.9.9:80", 1.0)
    own = build_report("10.9.9.9:80")
    copies = gather_copies([*reports, own], own.address, is_complete=True)
    assert (copies.count("m0"), copies.count("m1")) == (1, 0)
