"""Tests of splitting a stream into server-sent events."""

import random

import pytest

from cassiamount.event_framing import MAX_EVENT_BYTES, EventFramer
from cassiamount.event_stream import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: \xc3\xa9\n\n"


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("line_ending", [b"\n", b"\r\n"])
def test_any_split_gives_the_same_bytes(seed, line_ending):
    """Guards against losing or repeating bytes, however the stream is split."""
    rng = random.Random(seed)
    data = STREAM.replace(b"\n", line_ending)
    framer = EventFramer()
    out = b""
    while data:
        size = rng.randint(1, 9)
        out += framer.feed(data[:size])
        data = data[size:]
    assert out == STREAM.replace(b"\n", line_ending)
    assert framer.last_event_id == "3"
    assert not framer.has_partial_event


def test_partial_event_is_buffered():
    """Guards against sending the caller part of an event when a stream breaks off."""
    framer = EventFramer()
    assert framer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert framer.last_event_id == "1"
    assert framer.has_partial_event


def test_oversized_event_is_rejected():
    """Guards against unbounded memory use for an event that never ends."""
    with pytest.raises(ValueError, match="too large"):
        EventFramer().feed(b"x" * (MAX_EVENT_BYTES + 1))


class CountingBuffer(bytearray):
    """Counts the bytes that searches cover."""

    searched_bytes = 0

    def rfind(self, sought, start=0):
        CountingBuffer.searched_bytes += len(self) - start
        return super().rfind(sought, start)

    def find(self, sought, start=0):
        CountingBuffer.searched_bytes += len(self) - start
        return super().find(sought, start)


@pytest.mark.parametrize("parser_class", [EventFramer, EventSplitter])
@pytest.mark.parametrize("piece_bytes", [1, 64, 1_000])
def test_cost_of_an_event_does_not_grow_with_its_pieces(
    parser_class, piece_bytes, monkeypatch
):
    """Guards against one long event that holds up everything else on its VM."""
    monkeypatch.setattr(CountingBuffer, "searched_bytes", 0)
    parser = parser_class()
    parser._buffer = CountingBuffer()
    event = b"id: 1\ndata: " + b"x" * 100_000 + b"\n\n"
    out = b""
    for start in range(0, len(event), piece_bytes):
        found = parser.feed(event[start : start + piece_bytes])
        out += found if parser_class is EventFramer else b"".join(found)
    assert out.rstrip() == event.rstrip()
    assert 0 < CountingBuffer.searched_bytes <= 8 * len(event)


@pytest.mark.parametrize("seed", range(20))
def test_any_split_gives_the_same_events_of_a_completion(seed):
    """Guards against events of an engine that are lost, or joined, in some split."""
    rng = random.Random(seed)
    data = STREAM.replace(b"\n", rng.choice([b"\n", b"\r\n"])) + b"\n\nid: 4\n"
    splitter = EventSplitter()
    events = []
    while data:
        size = rng.randint(1, 9)
        events += splitter.feed(data[:size])
        data = data[size:]
    assert events == STREAM.strip().split(b"\n\n")
