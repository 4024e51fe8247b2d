"""Selection of servers for requests and of engines for model loads."""

import random

from fleetparts import build_engine, build_model, build_server
from jasminewharf.decisions.serverlimits import LimitReading
from jasminewharf.decisions.serverselection import (
    RequestBacklog,
    RequestTarget,
    choose_engine,
    choose_least_loaded_server,
    choose_load_placement,
    count_excess_requests,
    order_by_limit,
    split_by_limit,
    sum_urgency,
)
from jasminewharf.dialects.fleet import HeldModel

NOW = 10.0
ONE = RequestBacklog(1, 1.0)
# Two copies fit on each engine's disk.
ENGINE = build_engine(("m5", "m6", "m7", "m8"), disk_mb=150_000.0)


def servers_with(models, count=3, **report):
    return [build_server(f"i-{n}", models, NOW, **report) for n in range(1, count + 1)]


def test_requests_for_one_model_are_packed():
    """Case: a hot model on many engines. Its other copies can be evicted."""
    servers = servers_with(["m0"])
    wanted = RequestTarget("m0", "")
    chosen = {choose_engine(servers, wanted).name for _ in range(10)}
    assert len(chosen) == 1


def test_packing_ends_where_the_slots_do():
    """Case: one model has more requests than one engine can run."""
    servers = servers_with(["m0"])
    wanted = RequestTarget("m0", "")
    first = choose_engine(servers, wanted)
    first.note_load(40, 0, NOW)
    assert choose_engine(servers, wanted) is not first


def test_overload_goes_to_the_least_loaded():
    servers = servers_with(["m0"])
    for load, server in zip((48, 45, 60), servers, strict=True):
        server.note_load(load, 0, NOW)
    assert choose_engine(servers, RequestTarget("m0", "")).load == 45


def test_loaded_adapter_is_preferred():
    held = HeldModel("m0", 1, ("a1",))
    servers = [*servers_with(["m0"]), build_server("i-9", [held], NOW)]
    assert choose_engine(servers, RequestTarget("m0", "a1")).name == "i-9"


def test_adapter_avoids_an_engine_whose_models_change():
    """An engine rejects adapter orders for the seconds that a model load takes."""
    changing = build_server("i-1", ["m0"], NOW, changing="m7", is_loading=True)
    calm = build_server("i-2", ["m0"], NOW)
    for adapter in ("a1", "a2", "a3", "a4", "a5", "a6"):
        chosen = choose_engine([changing, calm], RequestTarget("m0", adapter))
        assert chosen is calm


def test_plain_request_stays_in_its_zone_while_that_has_room():
    far, near = servers_with([], count=2)
    far.listed = far.listed._replace(zone="zone-b", slots=6)
    near.listed = near.listed._replace(zone="zone-a", slots=6)
    near.note_load(2, 0, NOW)
    assert choose_least_loaded_server([far, near], "zone-a", 0.0) is near
    near.note_load(6, 0, NOW)
    assert choose_least_loaded_server([far, near], "zone-a", 0.0) is far


def test_copy_at_hand_decides_where_a_rare_model_is_loaded():
    """Case: one engine has a rare model on its disk."""
    servers = servers_with([], count=3)
    servers[1].report = servers[1].report._replace(on_disk=["m5"])
    place = choose_load_placement(servers, ENGINE, build_model("m5"), ONE, NOW)
    assert place.server is servers[1]
    assert place.ready_s == 1.2


def test_load_under_way_is_waited_for():
    """Two entries that demand one model must not have it loaded twice."""
    servers = servers_with([], count=2)
    servers[0].report = servers[0].report._replace(
        changing="m5", is_loading=True, ready_ms=4_000
    )
    servers[1].report = servers[1].report._replace(on_disk=["m5"], room_cost=50.0)
    place = choose_load_placement(servers, ENGINE, build_model("m5"), ONE, NOW)
    assert place.server is servers[0]


def test_engine_of_a_hot_model_is_spared():
    """Case: rare requests beside a hot model, whose eviction costs more."""
    hot, busy = servers_with([], count=2)
    hot.report = hot.report._replace(on_disk=["m5"], room_cost=14.0)
    busy.report = busy.report._replace(on_disk=["m5"], ready_ms=1_500, room_cost=0.1)
    assert (
        choose_load_placement([hot, busy], ENGINE, build_model("m5"), ONE, NOW).server
        is busy
    )


def test_unreachable_engine_loads_nothing():
    dead, live = servers_with([], count=2)
    dead.report = dead.report._replace(is_reachable=False, on_disk=["m5"])
    assert (
        choose_load_placement([dead, live], ENGINE, build_model("m5"), ONE, NOW).server
        is live
    )


def test_urgent_model_passes_those_that_are_late_already():
    """Case: demand moves to a model that no engine holds.

    Its many requests would be refused at once if late ones were counted before them.
    """
    queue = [("m6", 0.2), ("m7", 0.4)]
    copies = ["m5", "m6", "m7"]
    server = build_server("i-1", [], NOW, on_disk=copies, wanted=queue)
    place = choose_load_placement(
        [server], ENGINE, build_model("m5"), RequestBacklog(9, 9.0), NOW
    )
    assert place.ready_s == 1.2
    place = choose_load_placement(
        [server], ENGINE, build_model("m5"), RequestBacklog(1, 0.2), NOW
    )
    assert place.ready_s > 3.0


def test_copy_at_hand_passes_models_that_come_from_the_store():
    """Case: rare models without a copy wait at the engine that restarted first.

    An engine loads the model with the highest weight per second first. An estimate
    that counts the others refuses callers who would be served within a second.
    """
    queue = [("m6", 1.0), ("m7", 1.0)]
    server = build_server("i-1", [], NOW, on_disk=["m5"], wanted=queue)
    place = choose_load_placement([server], ENGINE, build_model("m5"), ONE, NOW)
    assert place.ready_s == 1.2
    place = choose_load_placement([server], ENGINE, build_model("m4"), ONE, NOW)
    assert place.ready_s > 12.0


def test_callers_at_all_entries_decide_where_a_model_is_loaded():
    """Case: a busy model is queued behind a load from the store for one caller.

    Each entry alone has too few of its callers to outweigh the swaps of other models.
    """
    fetching = build_server(
        "i-1", [], NOW, changing="m6", is_loading=True, ready_ms=6_000,
        wanted=[("m5", 40.0)],
    )  # fmt: skip
    swapping = build_server("i-2", [], NOW, blocked_rate=1.0, on_disk=["m7"])
    servers = [fetching, swapping]
    assert sum_urgency(servers, "m5") == 40.0
    model = build_model("m5")
    few = choose_load_placement(servers, ENGINE, model, RequestBacklog(3, 3.0), NOW)
    all_callers = choose_load_placement(
        servers, ENGINE, model, RequestBacklog(40, 40.0), NOW
    )
    assert few.server is fetching
    assert all_callers.server is swapping


def test_load_under_way_is_not_told_ready_before_it_is():
    """Case: a hot model is loaded from the store after its last holder crashed.

    Callers who would give up before it is ready are refused at once.
    """
    server = build_server(
        "i-1", [], NOW, changing="m5", is_loading=True, ready_ms=5_000
    )
    place = choose_load_placement([server], ENGINE, build_model("m5"), ONE, NOW + 1.0)
    assert place.ready_s == 4.0


def test_load_from_the_store_avoids_the_engine_whose_orders_others_need():
    """Case: rare models without a copy, beside swaps of other rare models.

    A load from the store blocks other orders for seconds.
    """
    calm, needed = servers_with([], count=2)
    needed.report = needed.report._replace(blocked_rate=0.5)
    calm.report = calm.report._replace(room_cost=3.0)
    place = choose_load_placement([calm, needed], ENGINE, build_model("m5"), ONE, NOW)
    assert place.server is calm


def test_load_from_the_store_does_not_displace_the_last_copy_of_another_model():
    """Case: few copies. Each evicted last copy causes another load from the store.

    The least recently loaded copy is evicted.
    """
    last, spare, other = servers_with([], count=3)
    last.report = last.report._replace(on_disk=["m6", "m8"])
    spare.report = spare.report._replace(on_disk=["m7", "m8"], room_cost=2.0)
    other.report = other.report._replace(on_disk=["m7", "m8"], room_cost=20.0)
    servers = [last, spare, other]
    place = choose_load_placement(servers, ENGINE, build_model("m5"), ONE, NOW)
    assert place.server is spare


def test_busy_model_does_not_displace_the_last_copy_of_another_one():
    """Guards against loads from the store that bring the fleet no model more.

    The callers of the other model are then as many, and wait as long.
    """
    last, spare = servers_with([], count=2)
    last.report = last.report._replace(on_disk=["m6", "m8"])
    spare.report = spare.report._replace(on_disk=["m7", "m8"], room_cost=30.0)
    other = build_server("i-9", [], NOW, on_disk=["m7"], room_cost=99.0)
    waiting = RequestBacklog(6, 6.0)
    place = choose_load_placement(
        [last, spare, other], ENGINE, build_model("m5"), waiting, NOW
    )
    assert place.server is spare


def test_full_engines_ask_for_another_copy():
    """Case: a burst on a hot model that one engine holds."""
    server = build_server("i-1", ["m0"], NOW)
    server.note_load(20, 0, NOW)
    assert count_excess_requests([server]) == 0
    server.note_load(48, 12, NOW)
    assert count_excess_requests([server]) == 24
    second = build_server("i-2", ["m0"], NOW)
    assert count_excess_requests([server, second]) == 0


def name_limit(server, per_s):
    reading = LimitReading(per_s, 0.0, 0.0, 1, 1)
    assert server.limit.apply(reading)
    return server


def test_servers_with_a_limit_are_told_from_those_without():
    free, limited = build_server("i-1"), name_limit(build_server("i-2"), 0.0)
    assert split_by_limit([limited, free]) == ([free], [limited])


def test_limited_servers_come_first_in_proportion_to_their_limits():
    """Equal turns would leave the higher limit unused and overfill the lower one."""
    low = name_limit(build_server("i-1"), 1.0)
    high = name_limit(build_server("i-2"), 3.0)
    source = random.Random(1)
    first = [order_by_limit([low, high], source.random)[0] for _ in range(4_000)]
    assert 0.72 <= first.count(high) / len(first) <= 0.78


def test_load_goes_past_an_engine_with_an_overdue_order():
    """Case: two engines have a model on disk, one of them in a slow load."""
    slow, free = servers_with([], count=2, on_disk=["m5"])
    slow.note_report(
        slow.report._replace(changing="m6", is_loading=True, ready_ms=1_000), NOW - 9
    )
    free.report = free.report._replace(room_cost=0.5)
    model = build_model("m5")
    assert choose_load_placement([slow, free], ENGINE, model, ONE, NOW).server is free
