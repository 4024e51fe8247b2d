"""Removal of unresponsive log members after their replacement."""

from jasminewharf.decisions.repairs import choose_departed
from jasminewharf.messages.log import MemberRecord


def members(*names, learners=()):
    return tuple(MemberRecord(n, "", n not in learners) for n in names)


def test_silent_member_stays_while_no_successor_votes():
    """Removing it would leave fewer disks than the tolerated losses require."""
    assert choose_departed(members("a", "b", "c"), {"c"}, 3) == ""


def test_silent_member_goes_once_there_is_one_too_many():
    assert choose_departed(members("a", "b", "c", "d"), {"c"}, 3) == "c"


def test_answering_members_are_never_removed():
    assert choose_departed(members("a", "b", "c", "d"), set(), 3) == ""


def test_newcomer_that_went_away_again_is_dropped():
    group = members("a", "b", "c", "d", learners=("d",))
    assert choose_departed(group, {"d"}, 3) == "d"


def test_silent_member_goes_once_a_successor_holds_the_log():
    """The successor never voted: it waited for the silent member to answer."""
    group = members("a", "b", "c", "d", learners=("d",))
    assert choose_departed(group, {"c"}, 3) == ""
    assert choose_departed(group, {"c"}, 3, {"d"}) == "c"
    assert choose_departed(group, set(), 3, {"d"}) == ""
    assert choose_departed(members("a", "b", "c"), {"c"}, 3, set()) == ""
