"""Log lines are bounded and never make the process wait."""

import json
import logging
import math
import os

from jasminewharf import events
from jasminewharf.logs import BoundedHandler, JsonFormatter


def build_logger(descriptor, lines_per_s):
    handler = BoundedHandler(descriptor, lines_per_s)
    handler.setFormatter(JsonFormatter("node"))
    logger = logging.Logger("bounded")
    logger.addHandler(handler)
    return logger, handler


def read_lines(descriptor):
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def emit(logger, event, created, **fields):
    record = logger.makeRecord(logger.name, logging.INFO, "", 0, event.text, None, None)
    record.created = created
    record.event = event
    record.fields = fields
    logger.handle(record)


def test_lines_of_one_event_are_bounded_and_counted():
    """A refused workspace may cause thousands of equal lines a second."""
    reader, writer = os.pipe()
    logger, _ = build_logger(writer, 3)
    for _ in range(10):
        emit(logger, events.RATE_REFUSED, 100.0, workspace="guild")
    emit(logger, events.SERVER_FOUND, 100.1)
    emit(logger, events.RATE_REFUSED, 101.5, workspace="guild")
    lines = read_lines(reader)
    numbers = [line["event"] for line in lines]
    assert numbers.count(events.RATE_REFUSED.number) == 4
    assert events.SERVER_FOUND.number in numbers
    told = next(ln for ln in lines if ln["event"] == events.LINES_LEFT_OUT.number)
    assert told["counts"] == {str(events.RATE_REFUSED.number): 7}


def test_reader_that_does_not_read_never_blocks():
    """A full pipe must cost lines, not requests."""
    reader, writer = os.pipe()
    logger, handler = build_logger(writer, 0)
    for number in range(20_000):
        emit(logger, events.REQUEST_ENDED, float(number), request_id="x" * 100)
    assert handler.dropped > 0
    os.close(reader)
    emit(logger, events.REQUEST_ENDED, 1.0)


def test_fields_are_json_whatever_they_hold():
    """Text of Python in place of a list, or NaN, is read by no other program."""
    reader, writer = os.pipe()
    logger, _ = build_logger(writer, 10)
    fields = {"models": ["m0", ("m1", 2)], "asked_s": math.nan, "left_s": -math.inf}
    emit(logger, events.ENGINE_CHANGED, 100.0, **fields)
    text = os.read(reader, 1 << 20).decode()
    assert "NaN" not in text and "Infinity" not in text
    line = json.loads(text)
    assert line["models"] == ["m0", ["m1", 2]]
    assert line["asked_s"] == "nan"
