"""Forwards the response of a backend server to the caller."""

from .backend_messages import BodyChunk, ResponseComplete, ResponseFailed
from .event_framing import EventFramer
from .relayed_request import AttemptFailure, BrokenStream
from .requests import FIRST_BYTE

# Bodies up to this size are buffered, so that the request can still be retried if the
# response breaks off.
MAX_BUFFERED_BODY_BYTES = 1 << 20


class ResponseForwarder:
    """Receives the response to an attempt and forwards it to the caller.

    Parameters
    ----------
    codec : object
        Has `response_headers`, which selects the headers that the caller gets.
    clock : SystemClock or ManualClock
    """

    def __init__(self, codec, clock):
        self._codec = codec
        self._clock = clock

    async def forward(self, request, connection):
        """Forward the response to one attempt.

        Parameters
        ----------
        request : RelayedRequest
        connection : BackendConnection

        Returns
        -------
        int or AttemptFailure
            The HTTP status sent to the caller, or why the attempt failed.

        Raises
        ------
        BrokenStream
            If the caller got part of the response and the rest is lost.
        """
        message = await connection.receive()
        if isinstance(message, ResponseFailed):
            request.may_have_run = True
            return AttemptFailure(message.reason)
        metadata = message.metadata
        if metadata.not_run:
            await self._discard_body(connection)
            return AttemptFailure(
                "not run",
                status=metadata.status,
                not_run=True,
                connection_reusable=True,
            )
        request.may_have_run = True
        success = 200 <= metadata.status < 300
        if success and (
            not metadata.signed or not metadata.request_id or metadata.content_encoded
        ):
            return AttemptFailure("answer without the marks of its backend server")
        if success and (request.route.streamed or metadata.event_stream):
            return await self._forward_event_stream(request, connection, message)
        return await self._forward_body(request, connection, message)

    async def _discard_body(self, connection):
        while True:
            message = await connection.receive()
            if isinstance(message, (ResponseComplete, ResponseFailed)):
                return

    async def _forward_body(self, request, connection, head):
        """Forward a response with a plain body, which is buffered if it is small."""
        chunks = []
        size = 0
        while True:
            message = await connection.receive()
            if isinstance(message, BodyChunk):
                chunks.append(message.data)
                size += len(message.data)
                if size > MAX_BUFFERED_BODY_BYTES:
                    return await self._forward_large_body(
                        request, connection, head, chunks
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

    async def _forward_large_body(self, request, connection, head, chunks):
        request.response_started = True
        caller = request.inbound.caller
        await caller.start(
            head.metadata.status, self._codec.response_headers(head.headers)
        )
        for chunk in chunks:
            await caller.send_chunk(chunk)
        while True:
            message = await connection.receive()
            if isinstance(message, BodyChunk):
                await caller.send_chunk(message.data)
            elif isinstance(message, ResponseComplete):
                await caller.finish()
                return head.metadata.status
            else:
                raise BrokenStream(message.reason)

    async def _forward_event_stream(self, request, connection, head):
        """Forward events as they arrive, but only complete ones."""
        framer = EventFramer()
        caller = request.inbound.caller
        while True:
            message = await connection.receive()
            if isinstance(message, BodyChunk):
                try:
                    events = framer.feed(message.data)
                except ValueError as error:
                    return self._stream_failure(request, str(error))
                if not events:
                    continue
                if request.first_event_ms is None:
                    request.first_event_ms = self._clock.monotonic_ms()
                if not request.response_started:
                    request.response_started = True
                    request.state.transition_to(FIRST_BYTE)
                    headers = self._codec.response_headers(head.headers)
                    await caller.start(head.metadata.status, headers)
                await caller.send_chunk(events)
                request.last_event_id = framer.last_event_id
            elif isinstance(message, ResponseComplete):
                if framer.has_partial_event:
                    return self._stream_failure(request, "ends within an event")
                if not request.response_started:
                    request.response_started = True
                    headers = self._codec.response_headers(head.headers)
                    await caller.start(head.metadata.status, headers)
                await caller.finish()
                return head.metadata.status
            else:
                return self._stream_failure(request, message.reason)

    def _stream_failure(self, request, reason):
        if request.response_started and not (
            request.route.resumable and request.last_event_id
        ):
            raise BrokenStream(reason)
        return AttemptFailure(reason)
