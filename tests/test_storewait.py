"""Estimates of the wait for the weight store: rare models beside few store slots."""

from fleetparts import build_engine, build_model, build_server
from jasminewharf.decisions.serverselection import (
    RequestBacklog,
    choose_load_placement,
)
from jasminewharf.decisions.storewait import estimate_store_wait

NOW = 10.0
ENGINE = build_engine(("m5", "m6", "m7", "m8"))
MODELS = {spec.name: spec for spec in ENGINE.models}
LOAD_S = MODELS["m5"].remote_s


def build_engines(*reports):
    return [
        build_server(f"i-{n}", [], NOW, store_at_once=2, **report)
        for n, report in enumerate(reports)
    ]


def build_load(model, ready_ms, **report):
    return {"changing": model, "is_loading": True, "ready_ms": ready_ms, **report}


def test_free_slot_is_not_waited_for():
    engines = build_engines(build_load("m6", 4_000), {"on_disk": ["m7"]})
    assert estimate_store_wait(engines, MODELS, "m5", 1.0, NOW) == 0.0


def test_loads_in_progress_are_waited_for():
    """More loads run than the store serves, which an owner lost for a while allows."""
    engines = build_engines(
        build_load("m6", 1_000), build_load("m7", 3_000), build_load("m8", 5_000), {}
    )
    assert estimate_store_wait(engines, MODELS, "m5", 1.0, NOW) == 3.0


def test_heavier_models_without_a_copy_are_fetched_first():
    """Guards against callers who wait until their deadline for a store that is busy.

    Of 15 models without a copy each was told to be ready after one load, and their
    callers waited 9 s for nothing.
    """
    wanted = [("m6", 3.0), ("m7", 2.0), ("m8", 0.5)]
    engines = build_engines({"wanted": wanted}, build_load("m4", 2_000))
    assert estimate_store_wait(engines, MODELS, "m5", 1.0, NOW) == LOAD_S
    assert estimate_store_wait(engines, MODELS, "m5", 2.5, NOW) == 2.0
    assert estimate_store_wait(engines, MODELS, "m5", 9.0, NOW) == 0.0


def test_model_with_a_copy_at_hand_needs_no_slot():
    engines = build_engines({"wanted": [("m6", 9.0)], "on_disk": ["m6"]})
    engines += build_engines(build_load("m7", 9_000), build_load("m8", 9_000))
    place = choose_load_placement(
        engines, ENGINE, build_model("m6"), RequestBacklog(1, 1.0), NOW
    )
    assert place.ready_s < LOAD_S
    place = choose_load_placement(
        engines, ENGINE, build_model("m5"), RequestBacklog(1, 1.0), NOW
    )
    assert place.ready_s == 9.0 + LOAD_S
