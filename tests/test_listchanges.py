"""Applying the differences between two server lists yields the newer list."""

from hypothesis import given
from hypothesis import strategies as st

from fleetparts import build_listed
from jasminewharf.decisions.listchanges import apply_changes, compare_lists

LISTS = st.lists(
    st.builds(
        lambda number, leaving, born: build_listed(
            f"i-{number}", is_leaving=leaving, born_ms=born
        ),
        st.integers(0, 6),
        st.booleans(),
        st.integers(1, 3),
    ),
    max_size=8,
    unique_by=lambda listed: listed.server,
)


@given(LISTS, LISTS)
def test_changes_lead_from_one_list_to_the_other(old, new):
    changed, gone = compare_lists(old, new)
    assert sorted(apply_changes(old, changed, gone)) == sorted(new)


def test_unchanged_entries_are_not_sent():
    """Sending the full list of a large fleet every second saturated the links."""
    old = [build_listed(f"i-{number}") for number in range(50)]
    new = [*old[:-1], old[-1]._replace(is_leaving=True)]
    assert compare_lists(old, new) == ([new[-1]], [])
