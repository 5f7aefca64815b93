"""ASGI application that serves callers on a VM in front of a fleet."""

import asyncio

import structlog

from .answers import CallerGone, error_body
from .body_budget import HeldBody
from .caller import (
    HAS_LEFT,
    IS_FOLLOWED,
    MAX_WRITE_BYTES,
    WRITE_PART,
    has_not_left,
)
from .graceful_stop import stop_refusal
from .relayed_request import InboundRequest
from .replica_selection import clamp_retry_after_ms
from .requests import Refusal
from .serving import CallerProtocol

# ASGI scope key of the request target, path and query as the caller sent them.
TARGET = "cassiamount.target"
# ASGI scope key of the connection's transport.
TRANSPORT = "cassiamount.transport"
# A refused body is still read up to these limits: closing a connection with unread
# data resets it, and the caller might not get the refusal.
MAX_DISCARD_MS = 2_000.0
MAX_DISCARD_BYTES = 64 << 20

log = structlog.get_logger()


class FleetProtocol(CallerProtocol):
    """HTTP protocol that applies the configured limits and extends the ASGI scope."""

    def connection_made(self, transport):
        """Apply the caller limits that are in force when the connection opens."""
        limits = self.caller_limits()
        self.head_bytes = limits.header_bytes
        self.head_timeout_s = limits.header_timeout_ms / 1000
        super().connection_made(transport)

    def on_headers_complete(self):
        """Add the request target and the transport to the scope."""
        super().on_headers_complete()
        if self.scope is not None:
            self.scope[TARGET] = bytes(self.url)
            self.scope[TRANSPORT] = self.transport

    def _head_timeout(self):
        """Respond with 408 to a slow request head; close an idle connection."""
        if self._in_head and self._wire_bytes and not self.transport.is_closing():
            self._timer = None
            self._count("head_timeout")
            message = f"the head took longer than {self.head_timeout_s} s"
            self._answer(Refusal(408, "header_timeout", message))
            return
        super()._head_timeout()


class ResponseWriter:
    """Sends one response to a caller over ASGI.

    Parameters
    ----------
    scope : dict
    send : callable
    is_closing : callable
        Returns whether this VM is stopping.
    """

    __slots__ = (
        "_scope",
        "_send",
        "_is_closing",
        "started",
        "finished",
        "is_unread",
        "has_left",
        "_write_part",
    )

    def __init__(self, scope, send, is_closing):
        self._scope = scope
        self._send = send
        self._is_closing = is_closing
        self._write_part = scope.get(WRITE_PART)
        self.has_left = scope.get(HAS_LEFT, has_not_left)
        self.started = False
        self.finished = False
        # Whether a whole answer was sent before the whole request had arrived.
        self.is_unread = False

    async def send_response(self, status, headers, body):
        """Send a complete response."""
        headers = [item for item in headers if item[0] != b"content-length"]
        headers.append((b"content-length", b"%d" % len(body)))
        await self.start(status, headers)
        if len(body) > MAX_WRITE_BYTES:
            await self.send_chunk(body)
            body = b""
        self.finished = True
        await self._send({"type": "http.response.body", "body": body})

    async def start(self, status, headers):
        """Send the response head."""
        self.started = True
        is_followed = self._scope.get(IS_FOLLOWED)
        if self._is_closing() and not (is_followed and is_followed()):
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    def write_at_once(self, data):
        """Write a chunk if the connection accepts it without waiting.

        Returns
        -------
        bool
            Whether it was written.
        """
        return (
            len(data) <= MAX_WRITE_BYTES
            and self._write_part is not None
            and self._write_part(data)
        )

    async def send_chunk(self, data):
        """Send a chunk of the response body, at the speed of the caller."""
        for start in range(0, len(data), MAX_WRITE_BYTES):
            part = data[start : start + MAX_WRITE_BYTES]
            if not self.write_at_once(part):
                await self._send(
                    {"type": "http.response.body", "body": part, "more_body": True}
                )

    async def finish(self):
        """End the response body."""
        self.finished = True
        await self._send({"type": "http.response.body", "body": b""})

    def abort(self):
        """Close the connection, so that a partial response does not look complete."""
        transport = self._scope.get(TRANSPORT)
        if transport is not None:
            transport.abort()
        self.finished = True

    async def refuse(self, refusal, close=False):
        """Send an error response for a refused request."""
        headers = _refusal_headers(refusal)
        if close:
            headers.append((b"connection", b"close"))
        await self.send_response(refusal.status, headers, error_body(refusal))

    async def refuse_unread(self, refusal):
        """Refuse a request whose body is still arriving.

        The connection must then be read until the caller closes it.
        """
        body = error_body(refusal)
        headers = _refusal_headers(refusal)
        headers.append((b"content-length", b"%d" % len(body)))
        headers.append((b"connection", b"close"))
        await self.start(refusal.status, headers)
        await self.send_chunk(body)
        transport = self._scope.get(TRANSPORT)
        if transport is not None and transport.can_write_eof():
            transport.write_eof()
        self.is_unread = True


def _refusal_headers(refusal):
    headers = [(b"content-type", b"application/json")]
    if refusal.retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % refusal.retry_after_s))
    return headers


class FleetEdge:
    """ASGI application that reads requests and passes them to the relay.

    Parameters
    ----------
    state : FleetState
    relay : FleetRelay
    decode_request : callable
        ``(method, target, headers) -> RequestMetadata``; raises ValueError.
    timeouts : RequestTimeouts
    bodies : BodyBudget
        Limits what is held of all bodies.
    delay : ProcessDelay
        Tells how late requests may have been read.
    """

    def __init__(self, state, relay, decode_request, timeouts, bodies, delay):
        self._state = state
        self._relay = relay
        self._decode_request = decode_request
        self._timeouts = timeouts
        self._bodies = bodies
        self._delay = delay
        self.running = 0

    async def __call__(self, scope, receive, send):
        """Handle one request."""
        arrived_ms = self._state.now_ms()
        caller = ResponseWriter(scope, send, lambda: self._state.stopping)
        self.running += 1
        held = HeldBody()
        try:
            inbound = await self._read_request(scope, receive, caller, arrived_ms, held)
            if inbound is not None:
                await self._serve_request(inbound, receive)
        except CallerGone:
            return
        finally:
            self.running -= 1
            self._bodies.release(held)
        if caller.is_unread:
            await self._discard_body(caller, receive)

    async def _read_request(self, scope, receive, caller, arrived_ms, held):
        target = scope.get(TARGET) or scope["raw_path"]
        try:
            metadata = self._decode_request(scope["method"], target, scope["headers"])
        except ValueError as error:
            await caller.refuse(Refusal(400, "invalid_head", str(error)))
            return None
        limit = self._body_limit()
        content_length = dict(scope["headers"]).get(b"content-length")
        if content_length is not None and int(content_length) > limit:
            await self._refuse_body(caller, _body_too_large(limit), True)
            return None
        body = bytearray()
        try:
            async with self._timeouts.limit():
                refusal, more = await self._read_body(receive, body, limit, held)
        except TimeoutError:
            refusal, more = stop_refusal(), True
        finally:
            self._bodies.complete(held)
        if refusal is None:
            whole = bytes(body)
            body.clear()
            return InboundRequest(
                metadata,
                target,
                scope["headers"],
                whole,
                arrived_ms,
                caller,
                self._delay.unread_ms(),
            )
        log.info(
            "request_unread",
            request_id=metadata.request_id,
            code=refusal.code,
            body_bytes=len(body),
            held_bytes=self._bodies.held_bytes,
            took_ms=round(self._state.now_ms() - arrived_ms),
        )
        self._bodies.release(held)
        body.clear()
        await self._refuse_body(caller, refusal, more)
        return None

    async def _read_body(self, receive, body, limit, held):
        """Add the parts of a body.

        Returns
        -------
        (Refusal or None, bool)
            Why it was not read whole, and whether more of it follows.
        """
        task = asyncio.current_task()

        def displace():
            body.clear()
            task.cancel()

        held.on_displaced = displace
        while True:
            try:
                message = await receive()
            except asyncio.CancelledError:
                if not held.is_displaced or task.uncancel() > 0:
                    raise
                return _body_displaced(), True
            if message["type"] == "http.disconnect":
                raise CallerGone
            part = message.get("body", b"")
            more = message.get("more_body", False)
            if len(body) + len(part) > limit:
                return _body_too_large(limit), more
            if not self._bodies.take(held, len(part)):
                return _bodies_full(), more
            body += part
            if not more:
                return None, False

    def _body_limit(self):
        configuration = self._state.configuration
        return (4 << 20) if configuration is None else configuration.limits.body_bytes

    async def _refuse_body(self, caller, refusal, more):
        """Refuse a request for its body; what follows of it is discarded later."""
        if more:
            await caller.refuse_unread(refusal)
        else:
            await caller.refuse(refusal, close=True)

    async def _discard_body(self, caller, receive):
        """Read what follows of a refused body, until its caller closes the connection.

        Closing it with unread data resets it, and the caller might not get its answer.
        """
        remaining_bytes = MAX_DISCARD_BYTES
        try:
            async with asyncio.timeout(MAX_DISCARD_MS / 1000):
                while remaining_bytes > 0:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        return
                    remaining_bytes -= len(message.get("body", b""))
        except TimeoutError:
            pass
        await caller.finish()

    async def _serve_request(self, inbound, receive):
        """Serve a request, and cancel it when its caller disconnects."""
        task = asyncio.current_task()
        watcher = asyncio.create_task(
            self._cancel_on_disconnect(receive, task, inbound.caller)
        )
        try:
            await self._relay.serve(inbound)
        except asyncio.CancelledError:
            if not watcher.done():
                raise
            # The caller disconnected; there is no connection to respond on.
            task.uncancel()
            self._log_caller_left(inbound, "read")
        except CallerGone:
            self._log_caller_left(inbound, "before_attempt")
            inbound.caller.finished = True
            await watcher
        finally:
            watcher.cancel()

    def _log_caller_left(self, inbound, seen):
        log.info(
            "caller_left",
            request_id=inbound.metadata.request_id,
            seen=seen,
            unread_ms=round(inbound.unread_ms),
            held_ms=round(self._state.now_ms() - inbound.arrived_ms),
        )

    async def _cancel_on_disconnect(self, receive, task, caller):
        while (await receive())["type"] != "http.disconnect":
            pass
        if not caller.finished:
            task.cancel()


def _body_too_large(limit):
    return Refusal(413, "body_too_large", f"the body exceeds {limit} bytes")


def _bodies_full():
    return _no_room("the bodies of current requests take up all memory set aside")


def _body_displaced():
    return _no_room("the body made no progress while others needed its memory")


def _no_room(message):
    retry_after_s = clamp_retry_after_ms(None) / 1000
    return Refusal(503, "bodies_full", message, retry_after_s=retry_after_s)
