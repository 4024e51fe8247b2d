"""The planner's index when two agents report the same backend server."""

from jasminewharf.decisions.inventory import Inventory
from jasminewharf.messages.feed import BackendReport, NodeReport


def report(node, pool="p", cached=()):
    backend = BackendReport("b", pool, "plain", True, 0, 0, 0, 0.0, [], list(cached))
    return NodeReport(node, "agent", "h", "z", 1, 1, 1, "", 10, False, [backend], [])


def test_agent_under_a_new_node_name_takes_its_host_over():
    inventory = Inventory()
    old, new = report("old", "p", [("c", "disk")]), report("new", "q", [("c", "odd")])
    inventory.refresh({"old": old})
    inventory.refresh({"old": old, "new": new})
    inventory.refresh({"new": new})
    assert [state.node for state in inventory.backends.values()] == ["new"]
    assert inventory.pools["p"] == set()
    assert len(inventory.pools["q"]) == 1
    assert inventory.best_tier("c") == "remote"
    inventory.refresh({})
    assert not inventory.backends
