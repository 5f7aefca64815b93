"""Forwards the response of a backend server to the caller."""

from .backend_messages import (
    BodyChunk,
    EventsWaiting,
    ResponseComplete,
    ResponseFailed,
)
from .body_budget import HeldAnswer
from .event_framing import EventFramer
from .relayed_request import AttemptFailure, BrokenStream
from .requests import FIRST_BYTE, NOT_RUN_STATUSES

# Bodies up to this size are buffered, so that the request can still be retried if the
# response breaks off.
MAX_BUFFERED_BODY_BYTES = 1 << 20
# While this many bytes wait for a slow caller, reading goes on only within the shared
# budget of answers. A backend server cuts off an answer that stays unread for seconds.
MAX_WAITING_BYTES = 16 << 10
# Waiting events are joined up to this size, so that small ones take little more.
MAX_JOINED_BYTES = 8 << 10
# A body that nobody needs is read up to this size, to use its connection again.
MAX_DISCARDED_BYTES = 64 << 10


class EventSink:
    """Writes the events of one response to the caller as they arrive.

    Parameters
    ----------
    request : RelayedRequest
    connection : BackendConnection
    framer : EventFramer
    answer : HeldAnswer
    """

    __slots__ = (
        "_request",
        "_connection",
        "_framer",
        "_answer",
        "_waiting",
        "_waiting_bytes",
    )

    def __init__(self, request, connection, framer, answer):
        self._request = request
        self._connection = connection
        self._framer = framer
        self._answer = answer
        # Events that wait for the caller's connection, each with the ID of its last.
        self._waiting = []
        self._waiting_bytes = 0

    def feed(self, data):
        """Take a piece of the response body.

        Raises
        ------
        ValueError
            If an event is too large.
        """
        events = self._framer.feed(data)
        self._answer.check_event(self._waiting_bytes + len(events), self._framer)
        if not events:
            return
        last_event_id = self._framer.last_event_id
        if not self._waiting and self._request.inbound.caller.write_at_once(events):
            self._request.last_event_id = last_event_id
            return
        if not self._waiting:
            self._connection.messages.put_nowait(EventsWaiting())
        self._add(events, last_event_id)
        if (
            self._waiting_bytes > MAX_WAITING_BYTES
            and not self._answer.may_read_ahead()
        ):
            self._connection.pause_reading()

    def _add(self, events, last_event_id):
        self._waiting_bytes += len(events)
        # The first entry is perhaps being sent.
        if len(self._waiting) > 1:
            last, _ = self._waiting[-1]
            if len(last) + len(events) <= MAX_JOINED_BYTES:
                self._waiting[-1] = (last + events, last_event_id)
                return
        self._waiting.append((events, last_event_id))

    async def drain(self):
        """Send what waits, at the speed of the caller."""
        while self._waiting:
            events, last_event_id = self._waiting[0]
            await self._request.inbound.caller.send_chunk(events)
            self._request.last_event_id = last_event_id
            del self._waiting[0]
            self._waiting_bytes -= len(events)
            self._answer.hold(self._waiting_bytes + self._framer.held_bytes)
        self._connection.resume_reading()


class ResponseForwarder:
    """Receives the response to an attempt and forwards it to the caller.

    Parameters
    ----------
    codec : object
        Has `response_headers`, which selects the headers that the caller gets.
    clock : SystemClock or ManualClock
    budget : BodyBudget
        Shared by all answers.
    """

    def __init__(self, codec, clock, budget):
        self._codec = codec
        self._clock = clock
        self._budget = budget

    async def forward(self, request, connection, on_head, on_stream):
        """Forward the response to one attempt.

        Parameters
        ----------
        request : RelayedRequest
        connection : BackendConnection
        on_head : callable
            Called with the `ResponseMetadata`, before the body is received.
        on_stream : callable
            Called before the caller gets the head of a stream.

        Returns
        -------
        int or AttemptFailure
            The HTTP status sent to the caller, or why the attempt failed.

        Raises
        ------
        BrokenStream
            If the caller got part of the response and the rest is lost.
        """
        answer = HeldAnswer(self._budget)
        try:
            return await self._forward(request, connection, on_head, on_stream, answer)
        finally:
            connection.read_ahead = None
            answer.release()

    async def _forward(self, request, connection, on_head, on_stream, answer):
        message = await connection.receive()
        if isinstance(message, ResponseFailed):
            request.may_have_run = True
            return AttemptFailure(message.reason)
        metadata = message.metadata
        on_head(metadata)
        if metadata.not_run:
            return AttemptFailure(
                "not run",
                status=metadata.status,
                not_run=True,
                connection_reusable=await self._discard_body(connection),
            )
        request.may_have_run = True
        success = 200 <= metadata.status < 300
        if success and (
            not metadata.signed or not metadata.request_id or metadata.content_encoded
        ):
            return AttemptFailure("answer without the marks of its backend server")
        if success and (request.route.streamed or metadata.event_stream):
            return await self._forward_event_stream(
                request, connection, message, on_stream, answer
            )
        if request.response_started or metadata.status in NOT_RUN_STATUSES:
            # The caller reads a stream, which only further events may continue, or it
            # would understand the status as "not run".
            return AttemptFailure(
                f"status {metadata.status}",
                status=metadata.status,
                connection_reusable=await self._discard_body(connection),
            )
        return await self._forward_body(request, connection, message, answer)

    async def _discard_body(self, connection):
        """Receive a body that is not needed; return whether it has ended well."""
        size = 0
        while size <= MAX_DISCARDED_BYTES:
            message = await connection.receive()
            if isinstance(message, (ResponseComplete, ResponseFailed)):
                return isinstance(message, ResponseComplete)
            size += len(message.data)
        return False

    async def _forward_body(self, request, connection, head, answer):
        """Forward a response with a plain body, which is buffered if it is small."""
        chunks = []
        size = 0
        while True:
            message = await connection.receive()
            if isinstance(message, BodyChunk):
                chunks.append(message.data)
                size += len(message.data)
                if not answer.hold(size) or size > MAX_BUFFERED_BODY_BYTES:
                    return await self._forward_large_body(
                        request, connection, head, chunks, answer
                    )
            elif isinstance(message, ResponseComplete):
                break
            else:
                return AttemptFailure(message.reason)
        status = head.metadata.status
        if (
            status >= 500
            and request.route.retryable
            and request.may_retry(self._clock.monotonic_ms())
        ):
            return AttemptFailure(
                f"status {status}", status=status, connection_reusable=True
            )
        headers = self._codec.response_headers(head.headers)
        request.response_started = True
        await request.inbound.caller.send_response(status, headers, b"".join(chunks))
        return status

    async def _forward_large_body(self, request, connection, head, chunks, answer):
        request.response_started = True
        caller = request.inbound.caller
        unsent_bytes = sum(map(len, chunks))

        def read_ahead(queued_bytes):
            answer.hold(unsent_bytes + queued_bytes)
            return answer.may_read_ahead()

        connection.read_ahead = read_ahead
        await caller.start(
            head.metadata.status, self._codec.response_headers(head.headers)
        )
        chunks.reverse()
        while chunks:
            await caller.send_chunk(chunks[-1])
            unsent_bytes -= len(chunks.pop())
        while True:
            answer.hold(connection.queued_cost_bytes)
            message = await connection.receive()
            if isinstance(message, BodyChunk):
                await caller.send_chunk(message.data)
            elif isinstance(message, ResponseComplete):
                await caller.finish()
                return head.metadata.status
            else:
                raise BrokenStream(message.reason)

    async def _forward_event_stream(self, request, connection, head, on_stream, answer):
        """Forward events as they arrive, but only complete ones."""
        framer = EventFramer()
        sink = EventSink(request, connection, framer, answer)
        while True:
            if request.first_event_ms is not None and connection.messages.empty():
                connection.body_sink = sink.feed
            message = await connection.receive()
            if isinstance(message, EventsWaiting):
                await sink.drain()
            elif isinstance(message, BodyChunk):
                try:
                    events = framer.feed(message.data)
                    answer.check_event(len(events), framer)
                except ValueError as error:
                    return self._stream_failure(request, str(error))
                if events:
                    await self._forward_events(request, head, events, on_stream)
                    request.last_event_id = framer.last_event_id
                    answer.hold(framer.held_bytes)
            elif isinstance(message, ResponseComplete):
                if framer.has_partial_event:
                    return self._stream_failure(request, "ends within an event")
                if not request.response_started:
                    await self._start_stream(request, head, on_stream)
                if framer.rest:
                    # Blank lines belong to the body, which is forwarded unchanged.
                    await request.inbound.caller.send_chunk(framer.rest)
                await request.inbound.caller.finish()
                return head.metadata.status
            else:
                return self._stream_failure(request, message.reason)

    async def _forward_events(self, request, head, events, on_stream):
        if request.first_event_ms is None:
            request.first_event_ms = self._clock.monotonic_ms()
        if not request.response_started:
            request.state.transition_to(FIRST_BYTE)
            await self._start_stream(request, head, on_stream)
        await request.inbound.caller.send_chunk(events)

    async def _start_stream(self, request, head, on_stream):
        on_stream()
        request.response_started = True
        headers = self._codec.response_headers(head.headers)
        await request.inbound.caller.start(head.metadata.status, headers)

    def _stream_failure(self, request, reason):
        if request.response_started and not (
            request.route.resumable and request.last_event_id
        ):
            raise BrokenStream(reason)
        return AttemptFailure(reason)
