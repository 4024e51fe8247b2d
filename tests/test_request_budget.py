"""Which requests give way for lack of memory, and how chunks are joined."""

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hostile import fuzz
from jasminewharf.decisions.requestbudget import RequestBudget, compute_budget
from jasminewharf.exceptions import Refusal
from jasminewharf.interfaces.httpreader import TURN_ENDED, RequestReader
from jasminewharf.settings import LimitSettings

MB = 1024 * 1024
TOTAL = 40 * MB


def fill(budget, count, size=4 * MB, address="a", now=0.0):
    shed = []
    for number in range(count):
        shed += budget.hold((address, number), address, size, now)
    return shed


def test_budget_follows_the_memory_of_the_host():
    assert compute_budget(160 * MB) == 40 * MB
    assert compute_budget(440 * MB) == 110 * MB
    # An operator's body of 16 MB fits on the smallest machine.
    assert compute_budget(64 * MB) == 32 * MB


def test_stalled_requests_give_way_to_a_new_one():
    """The newest was refused, so that callers behind a crowd got nothing."""
    budget = RequestBudget(TOTAL)
    for address in "abcdefg":
        assert not budget.hold(address, address, 4 * MB, 0.0)
    shed = budget.hold("new", "n", 4 * MB, 10.0)
    assert shed
    assert "new" not in [surplus.holder for surplus in shed]


def test_one_address_leaves_room_for_another():
    budget = RequestBudget(TOTAL)
    shed = fill(budget, 8, address="a")
    assert {surplus.reason for surplus in shed} == {"address"}
    for surplus in shed:
        budget.release(surplus.holder, 0.0)
    assert not budget.hold("other", "b", 4 * MB, 1.0)


def test_one_workspace_leaves_room_for_another():
    """A crowd from many addresses may use one key, or none that is known."""
    budget = RequestBudget(TOTAL)
    shed = []
    for number in range(8):
        holder = f"c{number}"
        budget.hold(holder, holder, 1, 0.0)
        budget.name_workspace(holder, "")
        shed += budget.hold(holder, holder, 4 * MB, 0.0)
    assert {surplus.reason for surplus in shed} == {"workspace"}


def test_ordinary_requests_have_room_beside_a_crowd_at_their_address():
    """Behind a balancer they have the address of the crowd."""
    budget = RequestBudget(TOTAL)
    for surplus in fill(budget, 20, address="balancer"):
        budget.release(surplus.holder, 0.0)
    for number in range(150):
        assert not budget.hold(number, "balancer", 64 * 1024, 5.0)


def test_whole_requests_do_not_give_way_and_count():
    budget = RequestBudget(TOTAL)
    for number in range(7):
        budget.hold(number, str(number), 4 * MB, 0.0)
        budget.complete(number)
    shed = budget.hold("new", "n", 4 * MB, 10.0)
    assert [surplus.holder for surplus in shed] == ["new"]


def test_answer_that_is_read_never_gives_way():
    budget = RequestBudget(TOTAL)
    for number in range(20):
        shed = budget.hold(number, "", 4 * MB, float(number), is_whole=True)
        assert not shed


def test_single_request_of_any_size_is_read():
    """A deployment may allow bodies that are larger than the budget."""
    budget = RequestBudget(TOTAL)
    assert not budget.hold("one", "a", 3 * TOTAL, 0.0)
    assert not budget.hold("small", "a", 1000, 0.0)


def test_many_small_heads_stay_inside_the_budget():
    budget = RequestBudget(TOTAL)
    for number in range(5_000):
        for surplus in budget.hold(number, "a", 16 * 1024, float(number)):
            budget.release(surplus.holder, float(number))
    assert budget.held_bytes <= TOTAL


def read_with(reader, pieces):
    """Return the bodies of the requests in ``pieces``, or the refusal's kind."""
    bodies = []
    try:
        for piece in pieces:
            reader.ahead += piece
            while True:
                reader.begin_turn()
                item = reader.read()
                if item is None:
                    break
                if isinstance(item, h11.Request):
                    reader.check_head()
                elif isinstance(item, h11.EndOfMessage):
                    bodies.append(reader.take_request("peer").body)
                    reader._h11.send(h11.Response(status_code=200, headers=[]))
                    reader._h11.send(h11.EndOfMessage())
                    reader._h11.start_next_cycle()
                    reader.reset()
                elif item is not TURN_ENDED:
                    return bodies, "closed"
    except (h11.RemoteProtocolError, Refusal):
        return bodies, "refused"
    return bodies, "reading" if reader.head is not None else "waiting"


def parse_whole(data):
    """Return what the parser alone makes of ``data``."""
    parser = h11.Connection(h11.SERVER)
    bodies, body, inside = [], b"", False
    parser.receive_data(data)
    try:
        while (event := parser.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                inside = True
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                bodies.append(body)
                body, inside = b"", False
                parser.send(h11.Response(status_code=200, headers=[]))
                parser.send(h11.EndOfMessage())
                parser.start_next_cycle()
    except h11.RemoteProtocolError:
        return bodies, "refused"
    return bodies, "reading" if inside else "waiting"


def new_reader():
    limits = LimitSettings()
    return RequestReader(h11.Connection(h11.SERVER), lambda: limits)


CHUNKED = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
PARTS = [
    b"1\r\na\r\n",
    b"3;x=y\r\nabc\r\n",
    b"a \r\n0123456789\r\n",
    b"2\r\nab",
    b"\r\n",
    b"0\r\n\r\n",
    b"0;e\r\nt: v\r\n\r\n",
    b"5\nhello\r\n",
    b"zz\r\n",
    b"-1\r\n",
    b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc",
    CHUNKED,
]


@fuzz(400)
@given(st.lists(st.sampled_from(PARTS), max_size=12), st.integers(1, 40))
def test_joined_chunks_are_read_as_the_parser_alone_reads_them(parts, step):
    """Another reading of the framing would let requests be smuggled."""
    data = CHUNKED + b"".join(parts)
    pieces = [data[at : at + step] for at in range(0, len(data), step)]
    read = read_with(new_reader(), pieces)
    whole = parse_whole(data)
    assert read[0] == whole[0]
    assert (read[1] == "refused") == (whole[1] == "refused")


@pytest.mark.parametrize("size", [1, 7, 70_000])
def test_chunked_body_arrives_whole(size):
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    data = CHUNKED + chunk * 20 + b"0\r\n\r\n"
    reader = new_reader()
    pieces = [data[at : at + 5_000] for at in range(0, len(data), 5_000)]
    assert read_with(reader, pieces) == ([b"x" * size * 20], "waiting")
    assert reader.held_bytes == 0


def test_turn_of_the_event_loop_is_bounded():
    """One connection with tiny chunks kept all others from the event loop."""
    reader = new_reader()
    reader.ahead += CHUNKED
    reader.begin_turn()
    assert isinstance(reader.read(), h11.Request)
    reader.ahead += b"1\r\nx\r\n" * 100_000
    reader.begin_turn()
    assert reader.read() is TURN_ENDED
    assert len(reader.ahead) > 500_000
