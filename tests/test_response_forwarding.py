"""Tests of the way of events from a backend server to a caller."""

import asyncio
import gc
import random
import weakref

import pytest

from cassiamount.backend_connection import BackendConnection
from cassiamount.backend_messages import BodyChunk, ResponseComplete, ResponseHead
from cassiamount.body_budget import BodyBudget, HeldAnswer
from cassiamount.clock import ManualClock
from cassiamount.fleet import RequestMetadata, RouteConfig
from cassiamount.platform import headers
from cassiamount.relayed_request import (
    AttemptFailure,
    BrokenStream,
    InboundRequest,
    RelayedRequest,
)
from cassiamount.requests import ADMITTED, DISPATCHED
from cassiamount.response_forwarding import MAX_WAITING_BYTES, ResponseForwarder

HEAD = (
    b"HTTP/1.1 200 OK\r\nx-cassiamount-request-id: r1\r\n"
    b"x-cassiamount-server-signature: s\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


class Transport:
    """Records whether reading is paused."""

    def __init__(self):
        self.paused = False

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return False

    def write(self, data):
        return None

    def abort(self):
        return None

    def close(self):
        return None

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


class Caller:
    """A caller whose connection accepts data at once only now and then."""

    def __init__(self, rng, blocked_share):
        self._rng = rng
        self._blocked_share = blocked_share
        self.body = b""
        self.finished = False
        self.writable = asyncio.Event()
        self.writable.set()

    async def start(self, status, head):
        await asyncio.sleep(0)

    def write_at_once(self, data):
        if self._rng.random() < self._blocked_share:
            return False
        self.body += data
        return True

    async def send_chunk(self, data):
        if not self.write_at_once(data):
            await asyncio.sleep(0)
            await self.writable.wait()
            self.body += data

    async def send_response(self, status, head, body):
        self.body += body
        self.finished = True

    async def finish(self):
        self.finished = True


def open_stream(caller, budget=None):
    """Return a connection that has sent a request, and the task that forwards."""
    clock = ManualClock()
    connection = BackendConnection("a:1", headers.decode_response, clock)
    transport = Transport()
    connection.connection_made(transport)
    route = RouteConfig("chat", "h", "/", [("s", 1.0)], streamed=True)
    metadata = RequestMetadata("r1", "POST", "h", "/")
    inbound = InboundRequest(metadata, b"/", [], b"", 0.0, caller)
    request = RelayedRequest(inbound, route, "s", False, None, [], 0.0)
    request.state.transition_to(ADMITTED)
    request.state.transition_to(DISPATCHED)
    connection.send(b"", "r1")
    forwarder = ResponseForwarder(headers, clock, budget or BodyBudget(1 << 30))
    task = asyncio.create_task(
        forwarder.forward(request, connection, lambda m: None, lambda: None)
    )
    return connection, transport, request, task


def encode_events(count, rng):
    events = [
        b"id: %d\ndata: %b\n\n" % (number, b"x" * rng.randrange(40))
        for number in range(1, count + 1)
    ]
    return events, b"".join(b"%x\r\n%b\r\n" % (len(e), e) for e in events)


@pytest.mark.parametrize("blocked_share", [0.0, 0.3, 1.0])
@pytest.mark.parametrize("seed", range(10))
async def test_events_arrive_once_and_in_order(seed, blocked_share):
    """Guards against lost, repeated or swapped events when the caller is slow."""
    rng = random.Random(seed)
    caller = Caller(rng, blocked_share)
    connection, _, request, task = open_stream(caller)
    events, body = encode_events(60, rng)
    data = HEAD + body + b"0\r\n\r\n"
    while data:
        size = rng.randrange(1, 200)
        connection.data_received(data[:size])
        data = data[size:]
        for _ in range(rng.randrange(4)):
            await asyncio.sleep(0)
    assert await task == 200
    assert caller.body == b"".join(events)
    assert caller.finished
    assert request.last_event_id == "60"


@pytest.mark.parametrize(
    ("limit_bytes", "least_bytes", "most_bytes"),
    [
        (0, 0, 4 * MAX_WAITING_BYTES),
        # Within the budget it is read on, since a server cuts off what stays unread.
        (1 << 20, (1 << 20) / 8, (1 << 20) / 8 + 4 * MAX_WAITING_BYTES),
    ],
)
async def test_slow_caller_stops_the_reading(limit_bytes, least_bytes, most_bytes):
    """Guards against a stream that fills the memory while its caller reads nothing."""
    caller = Caller(random.Random(0), 0.0)
    budget = BodyBudget(limit_bytes, 1 << 20)
    connection, transport, _, task = open_stream(caller, budget)
    event = b"data: %b\n\n" % (b"x" * 10_000)
    chunk = b"%x\r\n%b\r\n" % (len(event), event)
    connection.data_received(HEAD + chunk)
    await asyncio.sleep(0.01)
    caller._blocked_share = 1.0
    caller.writable.clear()
    sent = 1
    while not transport.paused:
        connection.data_received(chunk)
        await asyncio.sleep(0)
        sent += 1
        assert sent * len(event) < most_bytes
    assert sent * len(event) > least_bytes
    caller.writable.set()
    connection.data_received(b"0\r\n\r\n")
    assert await task == 200
    assert caller.body == event * sent
    assert not transport.paused


async def test_broken_stream_is_not_ended_as_complete():
    """Guards against a part of an event, or an end, after the server broke off."""
    caller = Caller(random.Random(0), 0.0)
    connection, _, request, task = open_stream(caller)
    connection.data_received(HEAD + b"6\r\nid: 1\n\r\n")
    await asyncio.sleep(0)
    connection.connection_lost(ConnectionResetError())
    assert isinstance(await task, AttemptFailure)
    assert not caller.body
    assert not caller.finished
    assert not request.response_started


UNFRAMED_HEAD = (
    b"HTTP/1.1 200 OK\r\nx-cassiamount-request-id: r1\r\n"
    b"x-cassiamount-server-signature: s\r\n"
)
STREAM_HEAD = UNFRAMED_HEAD + b"content-type: text/event-stream\r\n\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


@pytest.mark.parametrize("size", [1, 7, 1_000])
@pytest.mark.parametrize(
    ("data", "error", "delivered", "result"),
    [
        (STREAM_HEAD + EVENTS, None, EVENTS, "complete"),
        (STREAM_HEAD + EVENTS + b"\n", None, EVENTS + b"\n", "complete"),
        (STREAM_HEAD + EVENTS + b"id: 3\nda", None, EVENTS, "broken"),
        (STREAM_HEAD + EVENTS + b"id: 3\ndata: c\n", None, EVENTS, "broken"),
        (STREAM_HEAD + b"id: 1\nda", None, b"", "failed"),
        (STREAM_HEAD + EVENTS, ConnectionResetError(), EVENTS, "broken"),
        (STREAM_HEAD[:-2], None, b"", "failed"),
        (HEAD + b"f\r\n" + EVENTS[:15] + b"\r\n", None, EVENTS[:15], "broken"),
    ],
    ids=[
        "whole-events",
        "blank-line-after",
        "within-a-field",
        "without-the-blank-line",
        "within-the-first-event",
        "reset",
        "within-the-head",
        "chunked-without-the-last-chunk",
    ],
)
async def test_stream_that_ends_with_its_connection(
    data, error, delivered, result, size
):
    """Guards against a broken-off stream that ends as complete, and the reverse."""
    caller = Caller(random.Random(0), 0.5)
    connection, _, _, task = open_stream(caller)
    for start in range(0, len(data), size):
        connection.data_received(data[start : start + size])
        await asyncio.sleep(0)
    if error is None:
        connection.eof_received()
    connection.connection_lost(error)
    outcome = (await asyncio.gather(task, return_exceptions=True))[0]
    expected = {"complete": int, "broken": BrokenStream, "failed": AttemptFailure}
    assert isinstance(outcome, expected[result])
    assert caller.body == delivered
    assert caller.finished is (result == "complete")
    # Even a stream that looks whole may have ended with its server.
    assert connection.was_lost


@pytest.mark.parametrize(
    ("error", "is_complete"), [(None, True), (ConnectionResetError(), False)]
)
async def test_body_that_ends_with_its_connection(error, is_complete):
    """Guards against a body that was reset and is delivered as if it were whole."""
    caller = Caller(random.Random(0), 0.0)
    connection, _, request, task = open_stream(caller)
    request.route = RouteConfig("look", "h", "/", [("s", 1.0)], idempotent=True)
    connection.data_received(UNFRAMED_HEAD + b"\r\nfirst ")
    await asyncio.sleep(0)
    connection.data_received(b"second")
    if error is None:
        connection.eof_received()
    connection.connection_lost(error)
    outcome = await task
    assert isinstance(outcome, int) is is_complete
    assert caller.body == (b"first second" if is_complete else b"")
    assert connection.was_lost


def failure_head(status, extra=b""):
    return (
        b"HTTP/1.1 %d X\r\nx-cassiamount-request-id: r1\r\n"
        b"x-cassiamount-server-signature: s\r\n%bcontent-length: 6\r\n\r\nfailed"
    ) % (status, extra)


@pytest.mark.parametrize(
    "answer",
    [
        failure_head(500),
        failure_head(400),
        failure_head(404),
        failure_head(503),
        failure_head(504),
        failure_head(503, b"x-cassiamount-not-executed: 1\r\n"),
        failure_head(421),
        UNFRAMED_HEAD.replace(b"x-cassiamount-server-signature: s\r\n", b"") + b"\r\nx",
    ],
    ids=["500", "400", "404", "503", "504", "not-run", "421", "no-signature"],
)
@pytest.mark.parametrize("last_event_id", ["1", ""])
async def test_error_that_follows_a_begun_stream(answer, last_event_id):
    """Guards against an error's head or text in a stream that has begun.

    Also against a stream that ends as complete with the error of the next replica.
    """
    caller = Caller(random.Random(0), 0.0)
    connection, _, request, task = open_stream(caller)
    request.route = RouteConfig(
        "chat", "h", "/", [("s", 1.0)], streamed=True, resumable=True, attempts=1
    )
    request.tried = ["a"]
    request.response_started = True
    request.last_event_id = last_event_id
    connection.data_received(answer)
    connection.eof_received()
    connection.connection_lost(None)
    assert isinstance(await task, AttemptFailure)
    assert caller.body == b""
    assert not caller.finished


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("idempotent", [False, True])
async def test_status_that_promises_not_run_needs_the_mark(status, idempotent):
    """Guards against the promise "not run" for a request that its server ran."""
    caller = Caller(random.Random(0), 0.0)
    connection, _, request, task = open_stream(caller)
    request.route = RouteConfig("buy", "h", "/", [("s", 1.0)], idempotent=idempotent)
    connection.data_received(failure_head(status))
    outcome = await task
    assert isinstance(outcome, AttemptFailure)
    assert not outcome.not_run
    assert request.may_have_run
    assert caller.body == b""


def chunked(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


async def test_answers_share_a_budget():
    """Guards against events without end, of many answers, for which a VM is killed."""
    budget = BodyBudget(200_000, 16_384)
    streams = [open_stream(Caller(random.Random(0), 0.0), budget) for _ in range(20)]
    most_bytes = 0
    for _ in range(10):
        for connection, _, _, _ in streams:
            if not connection._closed:
                head = b"" if connection._in_body else HEAD + chunked(b"data: a\n\n")
                connection.data_received(head + chunked(b"x" * 10_000))
                await asyncio.sleep(0)
            most_bytes = max(most_bytes, budget.held_bytes)
    await asyncio.sleep(0)
    going_on = [stream for stream in streams if not stream[3].done()]
    # What exceeds the budget ends at once, and the others go on.
    assert 0 < len(going_on) < len(streams)
    assert most_bytes <= budget.limit_bytes + 10_000
    for connection, _, _, task in going_on:
        connection.data_received(chunked(b"\n\n") + b"0\r\n\r\n")
        assert await task == 200
    outcomes = await asyncio.gather(*(s[3] for s in streams), return_exceptions=True)
    assert {type(outcome) for outcome in outcomes} == {int, BrokenStream}
    assert budget.held_bytes == 0


async def test_small_answers_need_no_budget():
    """Guards against usual streams that large ones keep out."""
    budget = BodyBudget(0, 16_384)
    caller = Caller(random.Random(0), 0.5)
    connection, _, _, task = open_stream(caller, budget)
    connection.data_received(HEAD + chunked(EVENTS) + b"0\r\n\r\n")
    assert await task == 200
    assert caller.body == EVENTS


async def test_body_beyond_the_budget_is_passed_on_as_it_comes():
    """Guards against plain answers that are refused, or held, without memory."""
    budget = BodyBudget(0, 16_384)
    caller = Caller(random.Random(0), 0.0)
    connection, _, request, task = open_stream(caller, budget)
    request.route = RouteConfig("look", "h", "/", [("s", 1.0)], idempotent=True)
    connection.data_received(UNFRAMED_HEAD + b"content-length: 50000\r\n\r\n")
    for _ in range(5):
        connection.data_received(b"x" * 10_000)
        await asyncio.sleep(0)
        assert budget.held_bytes <= 20_000 - budget.free_bytes
    assert await task == 200
    assert caller.body == b"x" * 50_000
    assert caller.finished
    assert budget.held_bytes == 0


@pytest.mark.parametrize(
    ("limit_bytes", "most_bytes"),
    [(0, 4 * MAX_WAITING_BYTES), (1 << 20, (1 << 17) + 4 * MAX_WAITING_BYTES)],
)
async def test_large_body_is_read_ahead_of_a_slow_caller(limit_bytes, most_bytes):
    """Guards against plain answers that are cut off, or held, for a slow caller."""
    budget = BodyBudget(limit_bytes)
    caller = Caller(random.Random(0), 1.0)
    caller.writable.clear()
    connection, transport, request, task = open_stream(caller, budget)
    request.route = RouteConfig("look", "h", "/", [("s", 1.0)], idempotent=True)
    connection.data_received(UNFRAMED_HEAD + b"content-length: 9000000\r\n\r\n")
    # The budget is used up by the buffered part, from which on the caller has to read.
    held = HeldAnswer(budget)
    held.hold(limit_bytes)
    sent_bytes = 0
    while not request.response_started:
        connection.data_received(b"x" * 10_000)
        await asyncio.sleep(0)
        sent_bytes += 10_000
    held.release()
    first_bytes = sent_bytes
    while not transport.paused:
        connection.data_received(b"x" * 10_000)
        await asyncio.sleep(0)
        sent_bytes += 10_000
        assert sent_bytes < first_bytes + most_bytes
    # An eighth, less what the messages take beside their bytes.
    assert sent_bytes > limit_bytes / 10
    caller.writable.set()
    while sent_bytes < 9_000_000:
        connection.data_received(b"x" * 10_000)
        await asyncio.sleep(0)
        sent_bytes += 10_000
    assert await task == 200
    assert caller.body == b"x" * 9_000_000
    assert budget.held_bytes == 0


async def test_failed_response_is_freed_at_once():
    """Guards against large events that live on until a garbage collection."""
    gc.disable()
    try:
        budget = BodyBudget(0, 16_384)
        caller = Caller(random.Random(0), 0.0)
        connection, _, _, task = open_stream(caller, budget)
        connection.data_received(HEAD + chunked(b"data: a\n\n"))
        await asyncio.sleep(0)
        connection.data_received(chunked(b"x" * 20_000))
        await asyncio.gather(task, return_exceptions=True)
        freed = weakref.ref(connection)
        connection._parser = None
        del connection, task
        await asyncio.sleep(0)
        assert freed() is None
    finally:
        gc.enable()


async def test_body_in_small_chunks_takes_one_message_for_each_read():
    """Guards against chunks of a few bytes that take many times their size."""
    connection = BackendConnection("a:1", headers.decode_response, ManualClock())
    connection.connection_made(Transport())
    connection.send(b"", "r1")
    connection.data_received(HEAD + chunked(b"x") * 2_000)
    connection.data_received(chunked(b"y") * 2_000 + b"0\r\n\r\n")
    messages = []
    while not connection.messages.empty():
        messages.append(connection.messages.get_nowait())
    assert [type(message) for message in messages] == [
        ResponseHead,
        BodyChunk,
        BodyChunk,
        ResponseComplete,
    ]
    assert messages[1].data + messages[2].data == b"x" * 2_000 + b"y" * 2_000
