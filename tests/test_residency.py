"""Load and eviction decisions of one agent under various demand patterns."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fleetparts import (
    WEIGHTS_MB,
    build_engine,
    build_listed,
    build_report,
    build_status,
)
from jasminewharf.decisions.copies import FleetCopies, gather_copies
from jasminewharf.decisions.directory import Directory
from jasminewharf.decisions.residency import Intent, Residency
from jasminewharf.decisions.serverselection import rank_by_hash
from jasminewharf.dialects.fleet import HeldModel
from jasminewharf.exceptions import ImplausibleDemand

MODELS = ("m0", "m1", "m2", "m3")
OTHERS = frozenset({"b", "c"})
COMPLETE = FleetCopies(
    True, {}, dict.fromkeys(MODELS, OTHERS), frozenset({"own"}), "own", 0, True
)


def build_residency(**engine):
    residency = Residency()
    residency.set_engine(build_engine(**engine))
    return residency


def use(residency, name, rate, start, seconds):
    """Report ``rate`` short requests per second."""
    for step in range(int(seconds * 10)):
        now = start + step * 0.1
        residency.note_usage("entry", [(name, 0, max(int(rate / 10), 1))], now)
    return start + seconds


def test_waiting_model_is_loaded_into_free_room():
    residency = build_residency()
    residency.note_demand("entry", "m1", 1, 1.0, 5.0)
    status = build_status(["m0"], on_disk=("m1",))
    intent = residency.choose(status, COMPLETE, 5.0)
    assert (intent.loads, intent.model) == (True, "m1")


def test_nothing_is_ordered_while_an_order_is_carried_out():
    """The engine would reject the order and count it."""
    residency = build_residency()
    residency.note_demand("entry", "m1", 1, 1.0, 5.0)
    residency.note_adapter("m0", "a1", 5.0)
    status = build_status(["m0"], is_busy=True)
    assert residency.choose(status, COMPLETE, 5.0) is None


def test_idle_model_makes_room_before_a_used_one():
    residency = build_residency()
    residency.choose(build_status(["m0", "m1"]), COMPLETE, 0.0)
    now = use(residency, "m0", 10, 1.0, 3.0)
    residency.note_demand("entry", "m2", 1, 1.0, now)
    status = build_status(["m0", "m1"], on_disk=("m2",))
    intent = residency.choose(status, COMPLETE, now)
    assert (intent.loads, intent.model) == (False, "m1")


def test_hot_model_is_not_evicted_for_one_rare_request():
    """Case: a hot model and many rare ones on one engine."""
    residency = build_residency(places=1)
    residency.choose(build_status(["m0"]), COMPLETE, 0.0)
    now = use(residency, "m0", 17, 1.0, 5.0)
    residency.note_demand("entry", "m1", 1, 1.0, now)
    assert residency.choose(build_status(["m0"]), COMPLETE, now + 0.1) is None
    assert residency.room_cost(build_status(["m0"]), now) > 5.0


def test_busy_model_stays_however_long_a_rare_request_waits():
    """Guards against weights that grow with a request's age.

    Such a request evicted the busy model, whose callers then waited and evicted the
    next one.
    """
    residency = build_residency(places=1)
    status = build_status(["m0"], on_disk=("m0", "m1"))
    residency.choose(status, COMPLETE, 0.0)
    for step in range(80):
        now = 1.0 + step * 0.1
        uses = [("m0", 0, 1)] if step % 3 == 0 else []
        residency.note_usage("entry", uses, now)
        residency.note_demand("entry", "m1", 1, 1.0, now)
        assert residency.choose(status, COMPLETE, now) is None


def test_hot_model_that_fell_silent_makes_room():
    """Case: the demand moves to other models."""
    residency = build_residency(places=1)
    residency.choose(build_status(["m0"]), COMPLETE, 0.0)
    now = use(residency, "m0", 17, 1.0, 5.0) + 8.0
    residency.note_demand("entry", "m1", 1, 1.0, now)
    intent = residency.choose(build_status(["m0"], on_disk=("m1",)), COMPLETE, now)
    assert intent.model == "m0"


def test_two_waiting_models_do_not_replace_each_other_unserved():
    """Case: more models wait than fit on the engine.

    A loaded model stays for a grace period in which its waiting requests arrive.
    """
    residency = build_residency(places=1)
    residency.choose(build_status([]), COMPLETE, 0.0)
    residency.note_demand("entry", "m0", 5, 5.0, 0.9)
    residency.note_demand("entry", "m1", 9, 9.0, 0.9)
    assert residency.choose(build_status(["m0"]), COMPLETE, 1.0) is None
    residency.note_usage("entry", [("m0", 1, 1)], 1.1)
    assert residency.choose(build_status(["m0"]), COMPLETE, 1.2) is None


def test_more_urgent_model_is_loaded_first():
    residency = build_residency()
    residency.note_demand("entry-1", "m1", 1, 0.2, 1.0)
    residency.note_demand("entry-1", "m2", 1, 1.0, 1.1)
    residency.note_demand("entry-2", "m2", 1, 1.0, 1.1)
    status = build_status([], on_disk=("m1", "m2"))
    assert residency.choose(status, COMPLETE, 1.2).model == "m2"


def test_engine_loads_what_it_has_at_hand_before_it_fetches():
    """Case: an engine restarts empty, with copies of busy models on its disk.

    The first demand is for a model without a copy. Its load from the store would delay
    models that load from disk within a second.
    """
    residency = build_residency()
    status = build_status([], on_disk=("m1",))
    residency.note_demand("entry-1", "m2", 2, 2.0, 1.0)
    assert residency.choose(status, COMPLETE, 1.0) is None
    residency.note_demand("entry-2", "m1", 1, 1.0, 1.3)
    assert residency.choose(status, COMPLETE, 1.3).model == "m1"


def test_engine_with_nothing_at_hand_fetches_after_a_moment():
    residency = build_residency()
    residency.note_demand("entry", "m2", 1, 1.0, 1.0)
    assert residency.choose(build_status([]), COMPLETE, 1.1) is None
    assert residency.choose(build_status([]), COMPLETE, 1.5).model == "m2"


def test_model_with_many_callers_is_fetched_before_a_swap_for_one():
    """Case: the only engine with a busy model is lost."""
    residency = build_residency()
    status = build_status([], on_disk=("m1",))
    residency.note_demand("entry", "m1", 1, 1.0, 1.0)
    residency.note_demand("entry", "m2", 20, 20.0, 1.0)
    assert residency.choose(status, COMPLETE, 1.6).model == "m2"


def test_decision_names_what_holds_a_load_back():
    """Otherwise the log has no reason for models that are never loaded."""
    residency = build_residency(places=1)
    residency.choose(build_status(["m0"]), COMPLETE, 0.0)
    for name in ("m1", "m2", "m3"):
        residency.note_demand("entry", name, 1, 1.0, 2.0)
    residency.note_usage("entry", [("m0", 1, 1)], 2.0)
    status = build_status(["m0"], on_disk=("m1", "m2"))
    others = COMPLETE._replace(loading=frozenset({"m2"}))
    assert residency.choose(status, others, 2.1) is None
    assert residency.held_back == {
        "m1": "no_room",
        "m2": "loaded_elsewhere",
        "m3": "fetch_pause",
    }
    residency.note_demand("entry", "m3", 1, 1.0, 3.0)
    assert residency.choose(status, others._replace(store_loads=9), 3.0) is None
    assert residency.held_back["m3"] == "store_busy"


def test_want_that_is_not_repeated_is_forgotten():
    """Its callers have left, so that a load would be unused."""
    residency = build_residency()
    residency.note_demand("entry", "m1", 1, 1.0, 1.0)
    assert residency.list_wanted_models(3.0) == []


def test_least_recently_used_adapter_makes_room():
    residency = build_residency()
    held = HeldModel("m0", 1, ("a1", "a2"))
    residency.choose(build_status([held]), COMPLETE, 0.0)
    residency.note_usage("entry", [("m0/a1", 0, 1)], 3.0)
    residency.note_adapter("m0", "a3", 4.0)
    intent = residency.choose(build_status([held]), COMPLETE, 4.0)
    assert (intent.loads, intent.adapter) == (False, "a2")


def test_adapter_in_use_is_not_unloaded():
    residency = build_residency()
    held = HeldModel("m0", 1, ("a1", "a2"))
    residency.choose(build_status([held]), COMPLETE, 0.0)
    residency.note_usage("entry", [("m0/a1", 1, 1), ("m0/a2", 1, 1)], 3.0)
    residency.note_adapter("m0", "a3", 4.0)
    assert residency.choose(build_status([held]), COMPLETE, 4.0) is None


def test_adapters_on_their_way_count_towards_the_slots():
    """An engine that is ordered more adapters than it has slots crashes."""
    residency = build_residency()
    held = HeldModel("m0", 1, ("a1",))
    status = build_status([held], incoming=(("m0", "a2"),))
    residency.choose(status, COMPLETE, 0.0)
    residency.note_adapter("m0", "a3", 1.0)
    intent = residency.choose(status, COMPLETE, 1.0)
    assert intent is None or not intent.loads


def test_missing_copy_is_fetched_only_when_all_engines_were_heard():
    """Case: the fleet restarts.

    The disk caches of other engines are not known yet, and a load from the store blocks
    the engine for seconds.
    """
    residency = build_residency()
    unknown = COMPLETE._replace(places={}, is_complete=False)
    status = build_status([])
    assert residency.choose(status, unknown, 0.0) is None
    known = unknown._replace(is_complete=True)
    assert residency.choose(status, known, 0.0).reason == "copy"


def test_copies_are_not_fetched_while_requests_wait():
    residency = build_residency(places=1)
    copies = COMPLETE._replace(places={"m0": OTHERS})
    residency.choose(build_status(["m0"]), copies, 0.0)
    now = use(residency, "m0", 17, 1.0, 5.0)
    residency.note_demand("entry", "m1", 1, 1.0, now)
    assert residency.choose(build_status(["m0"]), copies, now) is None


def test_model_with_one_copy_is_copied_by_a_calm_engine():
    """Case: the only engine with a copy of a model crashes, or is always busy."""
    residency = build_residency()
    copies = COMPLETE._replace(places={**COMPLETE.places, "m2": frozenset({"b"})})
    intent = residency.choose(build_status([]), copies, 0.0)
    assert (intent.model, intent.reason) == ("m2", "copy")
    elsewhere = copies._replace(idle_engines=frozenset())
    assert residency.choose(build_status([]), elsewhere, 0.0) is None


def test_resident_model_makes_no_room_for_a_copy():
    """Case: engines hold the busiest models before any traffic."""
    residency = build_residency()
    copies = COMPLETE._replace(places={**COMPLETE.places, "m2": frozenset({"b"})})
    status = build_status(["m0", "m1"], on_disk=("m0", "m1"))
    residency.choose(status, copies, 0.0)
    assert residency.choose(status, copies, 60.0) is None


QUIET = COMPLETE._replace(
    places={**COMPLETE.places, "m2": frozenset()}, has_traffic=False
)


def test_first_copy_is_fetched_before_anybody_calls():
    """Guards against a store that is idle until a model without a copy is requested.

    Case: a fleet starts with full engines and some models are on none of them. The
    evicted model is reloaded before the first callers arrive.
    """
    residency = build_residency()
    full = build_status(["m0", "m1"], on_disk=("m0", "m1"))
    unload = residency.choose(full, QUIET, 0.0)
    assert (unload.loads, unload.fetches) == (False, "m2")
    lent, kept = unload.model, ({"m0", "m1"} - {unload.model}).pop()
    made = build_status([kept], on_disk=("m0", "m1"))
    load = residency.choose(made, QUIET, 0.2)
    assert (load.loads, load.model, load.fetches) == (True, "m2", "m2")
    places = {**QUIET.places, "m2": frozenset({"own"})}
    copied = QUIET._replace(places=places)
    held = build_status([kept, "m2"], on_disk=("m0", "m1", "m2"))
    assert residency.choose(held, copied, 8.0)[:2] == (False, "m2")
    made = build_status([kept], on_disk=("m0", "m1", "m2"))
    assert residency.choose(made, copied, 8.2)[:2] == (True, lent)
    back = build_status([kept, lent], on_disk=("m0", "m1", "m2"))
    assert residency.choose(back, copied, 10.0) is None


def test_second_copies_leave_the_store_to_first_ones():
    """Case: a fleet starts, and the store is busy with models that have a copy."""
    residency = build_residency()
    places = {**COMPLETE.places, "m2": frozenset({"b"}), "m3": frozenset()}
    copies = COMPLETE._replace(places=places, idle_engines=frozenset({"own", "b"}))
    rival = next(
        name
        for name in "bcdefgh"
        if rank_by_hash("m3", name) < rank_by_hash("m3", "own")
    )
    copies = copies._replace(idle_engines=frozenset({"own", rival}))
    assert residency.choose(build_status([]), copies, 0.0) is None
    intent = residency.choose(build_status([]), copies, 2.5)
    assert (intent.model, intent.weight) == ("m2", 0.0)


def test_copy_of_an_engine_that_is_found_late_is_not_fetched():
    """Guards against loads from the store of models that have a copy.

    Case: a fleet starts, and the list names the last engine a second after the others.
    Models with copies on that engine only seem to have none until then.
    """
    directory = Directory()
    fleet = [build_listed(f"i-{n}", f"10.0.0.{n}:80") for n in (1, 2, 3, 4)]
    own, early = fleet[0].address, fleet[:2]
    residency = build_residency()
    full = build_status(["m0", "m1"], on_disk=("m0", "m1"))
    for now, listed in ((0.0, early), (1.0, fleet), (2.4, fleet)):
        directory.take_list(listed, now)
        for server in listed:
            names = ["m0", "m1"] if server in early else ["m2", "m3"]
            report = build_report(server.address, names, on_disk=names)
            directory.take_report(report, now)
        for at in (now, now + 0.5, now + 0.9):
            is_complete = directory.knows_all("llm", at, settled_s=1.5, fresh_s=3.0)
            reports = [server.report for server in directory.in_service("llm")]
            copies = gather_copies(reports, own, is_complete)
            assert residency.choose(full, copies, at) is None, at
    assert is_complete


def test_no_model_makes_room_for_a_copy_while_others_are_used():
    """Case: other engines have traffic while this one is idle for a moment."""
    residency = build_residency()
    full = build_status(["m0", "m1"], on_disk=("m0", "m1"))
    assert residency.choose(full, QUIET._replace(has_traffic=True), 0.0) is None
    residency.note_usage("entry", [("m0", 0, 1)], 9.0)
    assert residency.choose(full, QUIET, 10.0) is None
    assert residency.choose(full, QUIET, 12.0).fetches == "m2"


def test_only_copy_makes_no_room_for_a_first_one():
    """Its callers would have to wait for the whole load from the store."""
    residency = build_residency(places=1)
    copies = QUIET._replace(places={**QUIET.places, "m0": frozenset({"own"})})
    status = build_status(["m0"], on_disk=("m0",))
    assert residency.choose(status, copies, 0.0) is None


def test_engine_that_swaps_all_the_time_fetches_what_outweighs_its_swaps():
    """Guards against a store that is idle while a model lacks a copy.

    Case: an engine has copies of all rare models but one, and swaps without a pause.
    """
    residency = build_residency(places=1)
    swapping = build_status([], on_disk=("m1",), is_busy=True)
    lacking = COMPLETE._replace(places={**COMPLETE.places, "m2": frozenset()})
    residency.note_demand("entry", "m2", 20, 20.0, 1.0)
    residency.choose(swapping, lacking, 1.5)
    residency.note_demand("entry", "m1", 1, 1.0, 1.5)
    idle = build_status([], on_disk=("m1",))
    assert residency.choose(idle, lacking, 1.55).fetches == "m2"
    assert residency.choose(idle, COMPLETE, 1.55).model == "m1"


def test_load_from_the_store_waits_for_its_turn():
    """Case: the owner denied a slot; models on disk are loaded meanwhile."""
    residency = build_residency()
    residency.note_demand("entry", "m2", 9, 9.0, 1.0)
    assert residency.choose(build_status([]), COMPLETE, 1.5).fetches == "m2"
    residency.store_retry_at = 2.0
    residency.note_demand("entry", "m1", 1, 1.0, 1.5)
    intent = residency.choose(build_status([], on_disk=("m1",)), COMPLETE, 1.6)
    assert (intent.model, intent.fetches) == ("m1", "")
    assert residency.choose(build_status([]), COMPLETE, 1.6) is None
    assert residency.held_back["m2"] == "store_busy"


def test_slot_is_used_by_the_engine_that_made_room_for_it():
    """Guards against a slot that no engine uses for seconds.

    Case: an engine that was granted a slot evicts a model. Its order makes it look
    busy, so that the entries have asked another engine meanwhile.
    """
    residency = build_residency(places=1)
    residency.store_slot = "m2"
    wanted = COMPLETE._replace(
        places={**COMPLETE.places, "m2": frozenset()}, wanted=frozenset({"m2"})
    )
    intent = residency.choose(build_status([]), wanted, 5.0)
    assert (intent.loads, intent.model, intent.fetches) == (True, "m2", "m2")
    assert residency.choose(build_status(["m0"]), wanted, 5.0) is None
    assert residency.choose(build_status([]), COMPLETE, 5.0) is None
    loaded = wanted._replace(
        places={**COMPLETE.places, "m2": OTHERS}, loading=frozenset({"m2"})
    )
    assert residency.choose(build_status([]), loaded, 5.0) is None


def test_copies_are_not_moved_about():
    """A load that evicts one of two copies of another model gains nothing."""
    residency = build_residency(disk_mb=150_000.0)
    places = {**COMPLETE.places, "m2": frozenset({"b"}), "m0": frozenset({"own", "b"})}
    copies = COMPLETE._replace(places=places)
    status = build_status([], on_disk=("m0", "m1"))
    assert residency.choose(status, copies, 0.0) is None
    places["m0"] = frozenset({"own", "b", "c"})
    assert residency.choose(status, copies, 0.0).model == "m2"


def test_engine_that_swaps_models_fetches_no_copies():
    """Case: rare models alternate. A load from the store blocks the next swap."""
    residency = build_residency()
    copies = COMPLETE._replace(places={**COMPLETE.places, "m2": frozenset({"b"})})
    for number in range(4):
        residency.note_demand("entry", f"m{number}", 1, 1.0, 1.0)
    assert residency.choose(build_status([]), copies, 4.0) is None
    assert residency.choose(build_status([]), copies, 60.0).model == "m2"


def test_agent_that_just_started_learns_what_is_used_first():
    """Case: all processes restart while a hot model serves.

    Its usage is not known yet, and the first rare request would evict it.
    """
    residency = build_residency(places=1)
    residency.note_demand("entry", "m1", 1, 1.0, 0.0)
    assert residency.choose(build_status(["m0"]), COMPLETE, 0.0) is None
    now = use(residency, "m0", 17, 0.1, 1.0)
    residency.note_demand("entry", "m1", 1, 1.0, now)
    assert residency.choose(build_status(["m0"]), COMPLETE, now) is None


def test_engine_that_nobody_uses_makes_room_soon():
    """Case: rare models are demanded at engines without traffic.

    Their agents get no usage reports and kept the first request waiting until its
    caller gave up.
    """
    residency = build_residency(places=1)
    residency.note_demand("entry", "m1", 1, 1.0, 0.0)
    residency.note_demand("entry", "m1", 1, 1.0, 0.9)
    intent = residency.choose(build_status(["m0"]), COMPLETE, 1.0)
    assert intent is not None and (intent.loads, intent.model) == (False, "m0")


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["want", "use", "adapter", "step"]),
            st.integers(0, 3),
            st.integers(0, 3),
        ),
        max_size=80,
    )
)
def test_orders_never_exceed_the_engine(actions):
    """An engine crashes if it is ordered to load more than fits."""
    residency = build_residency()
    models: dict[str, set] = {}
    now = 0.0
    for kind, model, adapter in actions:
        now += 0.4
        name = f"m{model}"
        if kind == "want":
            residency.note_demand("entry", name, 1, 1.0, now)
        elif kind == "use":
            residency.note_usage("entry", [(name, adapter % 2, 1)], now)
        elif kind == "adapter":
            residency.note_adapter(name, f"a{adapter}", now)
        status = build_status(
            [HeldModel(m, 1, tuple(sorted(a))) for m, a in models.items()]
        )
        intent = residency.choose(status, COMPLETE, now)
        if intent is None:
            continue
        if intent.adapter:
            adapters = models[intent.model]
            (adapters.add if intent.loads else adapters.discard)(intent.adapter)
        elif intent.loads:
            models[intent.model] = set()
        else:
            del models[intent.model]
        used = sum(WEIGHTS_MB + 60.0 * len(held) for held in models.values())
        assert used <= residency.spec.weights_mb
        assert sum(map(len, models.values())) <= residency.spec.adapter_slots


def test_model_in_use_does_not_make_room_for_a_new_request():
    """Case: all loaded models are in use. An unload would block other orders."""
    residency = build_residency(places=1)
    residency.choose(build_status(["m0"]), COMPLETE, 0.0)
    residency.note_usage("entry", [("m0", 1, 1)], 2.0)
    residency.note_demand("entry", "m1", 9, 9.0, 2.0)
    assert residency.choose(build_status(["m0"]), COMPLETE, 2.1) is None
    now = 2.0
    while now < 10.0:
        now += 0.5
        residency.note_demand("entry", "m1", 9, 9.0, now)
    assert residency.choose(build_status(["m0"]), COMPLETE, now).model == "m0"


def test_room_that_is_free_costs_less_than_an_idle_model():
    """Otherwise a load moves to an engine with room once the first one unloads."""
    residency = build_residency()
    residency.choose(build_status(["m0", "m1"]), COMPLETE, 0.0)
    assert residency.room_cost(build_status(["m0"]), 5.0) == 0.0
    assert residency.room_cost(build_status(["m0", "m1"]), 5.0) > 0.0


def test_requests_of_a_lost_entry_do_not_hold_a_model_for_ever():
    """A lost entry never reports that its requests have ended."""
    residency = build_residency(places=1)
    residency.choose(build_status(["m0"]), COMPLETE, 0.0)
    residency.note_usage("lost", [("m0", 3, 3)], 1.0)
    assert residency.in_flight("m0", 2.0) == 3
    residency.note_usage("entry", [("m1", 1, 1)], 9.0)
    assert residency.in_flight("m0", 9.0) == 0
    residency.note_demand("entry", "m1", 1, 1.0, 9.0)
    status = build_status(["m0"], on_disk=("m1",))
    assert residency.choose(status, COMPLETE, 9.0).model == "m0"


def test_busiest_model_does_not_make_room_for_a_load_from_the_store():
    """Case: many rare models without copies in the fleet.

    A load from the store blocks all other orders, so that the evicted model stays
    unavailable for as long.
    """
    residency = build_residency(places=1)
    residency.choose(build_status(["m0"]), COMPLETE, 0.0)
    now = use(residency, "m0", 10, 1.0, 3.0)
    residency.note_demand("entry", "m2", 20, 20.0, now)
    assert residency.choose(build_status(["m0"]), COMPLETE, now) is None
    at_hand = build_status(["m0"], on_disk=("m2",))
    assert residency.choose(at_hand, COMPLETE, now).model == "m0"


def test_model_asked_for_in_vain_counts_for_more():
    """Case: a rare model among others with single callers."""
    residency = build_residency(places=1)
    residency.note_demand("entry", "m1", 1, 0.2, 10.0)
    residency.note_demand("entry", "m2", 1, 0.1, 10.0, age_s=11.0)
    status = build_status([], on_disk=("m1",))
    assert residency.choose(status, COMPLETE, 10.5).model == "m2"


def test_models_asked_for_in_vain_have_one_engine_at_a_time():
    """Case: more models without a copy than the store can deliver in a day.

    All of them become starved; if all went first, nothing else would load.
    """
    residency = build_residency()
    residency.note_demand("entry", "m1", 5, 5.0, 10.0)
    residency.note_demand("entry", "m2", 1, 0.1, 10.0, age_s=11.0)
    status = build_status([], on_disk=("m1",))
    others = COMPLETE._replace(store_loads=1)
    assert residency.choose(status, others, 10.5).model == "m1"


def test_model_asked_for_in_vain_does_not_pass_a_hundred_callers():
    """Case: a hundred callers of a busy model compete with one starved model."""
    residency = build_residency(places=1)
    residency.note_demand("entry", "m1", 100, 100.0, 10.0)
    residency.note_demand("entry", "m2", 1, 0.1, 10.0, age_s=11.0)
    assert [model for model, _ in residency.list_wanted_models(10.0)] == ["m1", "m2"]


def test_model_that_made_room_is_not_brought_back_by_old_wants():
    """Case: more rare models than fit.

    Demand from before a load outlived it, and a fifth of all loads reloaded the model
    that had just been evicted.
    """
    residency = build_residency(places=1)
    disk = ("m0", "m1", "m2")
    residency.choose(build_status([], on_disk=disk), COMPLETE, 0.0)
    residency.note_demand("entry", "m1", 1, 1.0, 1.9)
    residency.choose(build_status(["m1"], on_disk=disk), COMPLETE, 2.0)
    residency.note_demand("entry", "m1", 1, 1.0, 2.0)
    residency.note_demand("entry", "m2", 1, 0.2, 2.9)
    intent = residency.choose(build_status(["m1"], on_disk=disk), COMPLETE, 2.9)
    assert (intent.loads, intent.model) == (False, "m1")
    intent = residency.choose(build_status([], on_disk=disk), COMPLETE, 3.0)
    assert (intent.loads, intent.model) == (True, "m2")


def test_model_that_another_engine_loads_is_not_loaded_again():
    """Case: two entries demand a model of two engines at the same time."""
    residency = build_residency()
    status = build_status([], on_disk=("m1",))
    residency.note_demand("entry", "m1", 1, 1.0, 5.0)
    elsewhere = COMPLETE._replace(loading=frozenset({"m1"}))
    assert residency.choose(status, elsewhere, 5.0) is None
    assert residency.choose(status, COMPLETE, 5.0).model == "m1"


def test_model_that_another_engine_has_loaded_is_not_loaded_for_old_wants():
    """Guards against loads whose callers are served by another engine.

    Case: entries demand a model of two engines in turn. The first loads it; the demand
    at the second outlives that by a second. Only later demand is still unserved.
    """
    residency = build_residency()
    status = build_status([])
    residency.note_demand("entry", "m1", 3, 3.0, 5.0)
    loading = COMPLETE._replace(loading=frozenset({"m1"}))
    assert residency.choose(status, loading, 5.5) is None
    held = COMPLETE._replace(held=frozenset({"m1"}))
    assert residency.choose(status, held, 5.6) is None
    assert residency.held_back == {"m1": "held_elsewhere"}
    residency.note_demand("entry", "m1", 3, 3.0, 6.0)
    assert residency.choose(status, held, 6.0) is None
    residency.note_demand("entry", "m1", 3, 3.0, 6.2)
    assert residency.choose(status, held, 6.2).model == "m1"


def test_refused_callers_of_all_entries_count_together():
    """Case: many entries, each with one refused caller of a lost busy model.

    One caller has little weight, so that callers must not be weighed per entry.
    """
    residency = build_residency()
    for number in range(12):
        residency.note_demand(f"entry-{number}", "m1", 0, 0.0, 5.0, returning=1)
    residency.note_demand("entry-0", "m2", 2, 2.0, 5.0)
    assert residency.list_wanted_models(5.0)[0][0] == "m1"
    assert residency.list_wanted_models(5.0)[0][1] > 10


@pytest.mark.parametrize(
    "asked",
    [
        {"requests": -1},
        {"requests": 10**9, "urgency": 1e9},
        {"urgency": math.nan},
        {"urgency": math.inf},
        {"urgency": -1.0},
        {"urgency": 50.0},
        {"returning": -5},
        {"returning": 10**7},
        {"age_s": math.inf},
        {"age_s": -1.0},
    ],
)
def test_demand_that_cannot_be_true_is_dropped(asked):
    """A faulty entry must neither claim all loads nor break their order."""
    residency = build_residency()
    residency.note_demand("entry", "m1", 1, 1.0, 5.0)
    told = {"requests": 1, "urgency": 1.0, "now": 5.0, **asked}
    with pytest.raises(ImplausibleDemand):
        residency.note_demand("faulty", "m2", **told)
    assert residency.list_wanted_models(5.0) == [("m1", 1.0)]


def test_store_is_not_asked_by_more_engines_than_it_serves():
    """Case: rare models on all engines; too many concurrent loads slow down."""
    residency = build_residency()
    residency.note_demand("entry", "m1", 1, 1.0, 5.0)
    full = COMPLETE._replace(store_loads=3)
    assert residency.choose(build_status(["m0"]), full, 5.5) is None
    assert residency.choose(build_status(["m0"]), COMPLETE, 5.5).model == "m1"
    at_hand = build_status(["m0"], on_disk=("m1",))
    assert residency.choose(at_hand, full, 5.0).model == "m1"


def test_model_that_another_engine_fetches_is_not_fetched_again():
    """Case: several entries demand the same cold model of several engines."""
    residency = build_residency()
    residency.note_demand("entry", "m1", 1, 1.0, 5.0)
    fetched = COMPLETE._replace(store_loads=1, loading=frozenset({"m1"}))
    assert residency.choose(build_status(["m0"]), fetched, 5.5) is None
    another = COMPLETE._replace(store_loads=1, loading=frozenset({"m3"}))
    assert residency.choose(build_status(["m0"]), another, 5.5).model == "m1"


def test_model_on_disk_is_loaded_while_another_engine_fetches_it():
    """Guards against callers that wait for the store beside a copy on a disk.

    Case: the engines with a busy model crash, another one begins to fetch it, and one
    of them comes back with its disk.
    """
    residency = build_residency()
    residency.note_demand("entry", "m1", 9, 9.0, 5.0)
    fetched = COMPLETE._replace(
        store_loads=1, loading=frozenset({"m1"}), fetching=frozenset({"m1"})
    )
    back = build_status([], on_disk=("m1",))
    assert residency.choose(back, fetched, 5.5)[:2] == (True, "m1")
    assert residency.choose(build_status([]), fetched, 5.5) is None
    loaded = fetched._replace(fetching=frozenset())
    assert residency.choose(back, loaded, 5.5) is None


def test_model_on_a_crashed_engine_is_not_fetched_while_it_may_return():
    """Guards against a store that is busy with copies that come back by themselves.

    Case: engines crash and start again within seconds. Their models have many callers
    and held up those without a copy.
    """
    residency = build_residency()
    residency.note_demand("entry", "m1", 9, 9.0, 5.0)
    places = {**COMPLETE.places, "m1": frozenset()}
    lost = COMPLETE._replace(places=places, lost={"m1": 4.0})
    assert residency.choose(build_status(["m0"]), lost, 5.5) is None
    assert residency.held_back["m1"] == "copy_lost"
    residency.note_demand("entry", "m1", 9, 9.0, 10.0)
    residency.note_demand("entry", "m1", 9, 9.0, 10.5)
    assert residency.choose(build_status(["m0"]), lost, 10.6).fetches == "m1"


def test_model_with_a_copy_leaves_the_store_to_one_without():
    """Guards against a store that loads what another engine has on its disk.

    Case: the engines of a busy model crash, and one of them comes back with its copy
    before its callers have moved there, while another model has no copy at all.
    """
    residency = build_residency()
    residency.note_demand("entry", "m1", 9, 9.0, 5.0)
    places = {**COMPLETE.places, "m1": frozenset({"b"}), "m2": frozenset()}
    back = COMPLETE._replace(places=places, wanted=frozenset({"m1", "m2"}))
    assert residency.choose(build_status(["m0"]), back, 5.5) is None
    assert residency.held_back == {"m1": "copied_elsewhere"}
    residency.note_demand("entry", "m2", 1, 1.0, 5.5)
    assert residency.choose(build_status(["m0"]), back, 6.0).fetches == "m2"
    held_up_s = residency.model("m1").remote_s
    for now in (6.0, 7.0, 8.0, 9.0, 10.0, 11.0):
        residency.note_demand("entry", "m1", 9, 9.0, now)
    assert residency.choose(build_status(["m0"]), back, 5.0 + held_up_s).fetches == "m1"


def test_callers_at_all_engines_decide_what_is_fetched():
    """Guards against a store that loads for one caller while ten wait for a model.

    Case: entries ask different engines for one model, so that each engine knows of few
    of its callers.
    """
    residency = build_residency()
    residency.note_demand("entry-1", "m1", 2, 2.0, 5.0)
    residency.note_demand("entry-2", "m2", 1, 1.0, 5.0)
    own = build_report("own", wanted=[("m1", 2.0), ("m2", 1.0)])
    others = [build_report(name, wanted=[("m2", 4.5)]) for name in "bc"]
    copies = gather_copies([own, *others], "own", True)
    intent = residency.choose(build_status(["m0"]), copies, 6.0)
    assert (intent.fetches, intent.weight) == ("m2", 10.0)


def test_demand_that_has_moved_to_another_agent_counts_there_only():
    """Guards against models whose entries change their minds outranking others.

    Until the demand expires here, this engine may still be the first that is free to
    load the model. Case: it has to unload another one for that.
    """
    residency = build_residency(places=1)
    residency.choose(build_status(["m0"]), COMPLETE, 3.0)
    residency.note_demand("entry", "m1", 0, 0.0, 5.0, returning=6)
    assert residency.list_wanted_models(5.0) == [("m1", pytest.approx(5.2))]
    residency.note_demand("entry", "m1", 0, 0.0, 5.1)
    assert residency.list_wanted_models(5.1) == [("m1", 0.0)]
    own = build_report("own", wanted=residency.list_wanted_models(5.1))
    busy = {"changing": "m3", "is_loading": True}
    others = [build_report("b", wanted=[("m1", 5.2)], **busy), build_report("c")]
    copies = gather_copies([own, *others], "own", True)
    intent = residency.choose(build_status(["m0"]), copies, 6.0)
    assert (intent.model, intent.fetches, intent.weight) == ("m0", "m1", 5.2)
    assert residency.choose(build_status(["m0"]), copies, 6.3) is None


def test_demand_for_a_model_that_leaves_the_configuration_ends():
    """Guards against a KeyError that ended the agent of an engine with such callers."""
    residency = build_residency()
    residency.note_demand("entry", "m2", 1, 1.0, 5.0)
    residency.note_demand("entry", "m1", 1, 1.0, 5.0)
    offered = residency.spec
    kept = tuple(model for model in offered.models if model.name != "m2")
    residency.set_engine(offered._replace(models=kept))
    assert not residency.note_demand("entry", "m2", 1, 1.0, 5.0)
    status = build_status([], on_disk=("m1", "m2"))
    assert residency.choose(status, COMPLETE, 5.1).model == "m1"
    assert residency.list_wanted_models(5.1) == [("m1", 1.0)]
    residency.set_engine(offered)
    residency.note_demand("entry", "m2", 9, 9.0, 5.2)
    assert residency.choose(status, COMPLETE, 5.2).model == "m2"


@pytest.mark.parametrize("is_known", [True, False])
def test_adapter_of_a_model_that_left_the_configuration_evicts_no_other(is_known):
    """Guards against unloads that make room for a load which is never ordered.

    Callers from before the change may still need the adapter, for which there is room.
    An agent that starts after the change does not know the model.
    """
    residency = build_residency() if is_known else Residency()
    offered = build_engine(adapter_slots=4)
    held = [HeldModel("m0", 1, ()), HeldModel("m1", 1, ("a1",))]
    residency.choose(build_status(held), COMPLETE, 0.0)
    kept = tuple(model for model in offered.models if model.name != "m0")
    residency.set_engine(offered._replace(models=kept))
    residency.choose(build_status(held), COMPLETE, 1.0)
    residency.note_adapter("m0", "a2", 1.0)
    intent = residency.choose(build_status(held), COMPLETE, 1.0)
    assert intent == (Intent(True, "m0", "a2") if is_known else None)


@pytest.mark.parametrize("knows_size", [True, False])
def test_retired_model_takes_the_room_that_it_has(knows_size):
    """Guards against engines that are ordered to hold more than their memory.

    Case: a model twice the size of the others is left out of the configuration and
    stays loaded. An agent that starts after that never hears its size.
    """
    offered = build_engine()
    large = offered.models[0]._replace(weights_mb=2 * WEIGHTS_MB)
    offered = offered._replace(
        models=(large, *offered.models[1:]), weights_mb=3.5 * WEIGHTS_MB
    )
    residency = Residency()
    status = build_status(["m0", "m1"], on_disk=("m2",))
    if knows_size:
        residency.set_engine(offered)
        residency.choose(status, COMPLETE, 1.0)
    residency.set_engine(offered._replace(models=offered.models[1:]))
    residency.choose(status, COMPLETE, 2.0)
    for now in (5.0, 6.0):
        residency.note_demand("entry", "m2", 1, 1.0, now)
    assert residency.choose(status, COMPLETE, 6.0)[:2] == (False, "m0")
    freed = build_status(["m1"], on_disk=("m2",))
    assert residency.choose(freed, COMPLETE, 6.1)[:2] == (True, "m2")


def test_models_that_nobody_waits_for_now_are_fetched_one_at_a_time():
    """Case: many rare models whose callers were all refused.

    Loading all of them would block the engines for callers that wait.
    """
    residency = build_residency()
    residency.note_demand("entry", "m1", 0, 0.1, 5.0, age_s=12.0)
    busy = COMPLETE._replace(store_loads=1)
    assert residency.choose(build_status(["m0"]), busy, 5.5) is None
    assert residency.choose(build_status(["m0"]), COMPLETE, 5.5).model == "m1"


def test_late_requests_do_not_pass_those_in_time():
    """Case: more rare models than an engine can swap in time.

    Served in order of age, all requests would be late.
    """
    residency = build_residency()
    residency.note_demand("entry", "m1", 1, 0.2, 0.0)
    for step in range(1, 10):
        residency.note_demand("entry", "m1", 1, 0.2, step * 1.0)
    residency.note_demand("entry", "m2", 1, 1.0, 9.0)
    assert [model for model, _ in residency.list_wanted_models(9.0)] == ["m2", "m1"]


def test_starved_model_makes_room_at_the_cost_of_a_few_requests():
    """Nobody waits for it now, so that its weight alone would never suffice."""
    residency = build_residency(places=1)
    residency.choose(build_status(["m0"]), COMPLETE, 0.0)
    for now in (1.0, 2.0, 3.0):
        residency.note_usage("entry", [("m0", 0, 1)], now)
    residency.note_demand("entry", "m1", 0, 0.1, now, age_s=5.0)
    assert residency.choose(build_status(["m0"]), COMPLETE, now) is None
    residency.note_demand("entry", "m1", 0, 0.1, now + 0.1, age_s=12.0)
    assert residency.choose(build_status(["m0"]), COMPLETE, now + 0.5).model == "m0"
