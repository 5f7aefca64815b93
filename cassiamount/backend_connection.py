"""One HTTP/1.1 connection to a backend server."""

import asyncio
import socket

import httptools

from .backend_messages import BodyChunk, ResponseComplete, ResponseFailed, ResponseHead

# A peer that acknowledges nothing for this long is taken for gone.
TCP_USER_TIMEOUT_MS = 1_500
# Reading pauses while this many messages wait for the relay.
MAX_QUEUED_MESSAGES = 256
# A request on a connection that was idle for longer than this share of the stated time
# could cross the backend server's close.
KEEP_ALIVE_FRACTION = 0.7
# Idle time of a connection whose backend server states none.
DEFAULT_KEEP_ALIVE_MS = 2_000.0
MAX_KEEP_ALIVE_MS = 20_000.0
# Longest head of a response.
MAX_HEAD_BYTES = 65_536


class BackendConnection(asyncio.Protocol):
    """Carries one request at a time and queues what comes back.

    A response that names another request is passed over: a backend server may send a
    second answer to an earlier one.

    Parameters
    ----------
    address : str
    decode_answer : callable
        ``(status, headers) -> AnswerFacts``.
    clock : SystemClock or ManualClock
    """

    def __init__(self, address, decode_response, clock):
        self.address = address
        self.idle_since_ms = clock.monotonic_ms()
        self.keep_alive_ms = DEFAULT_KEEP_ALIVE_MS
        self.messages = None
        self.on_idle_closed = None
        self._decode_response = decode_response
        self._clock = clock
        self._transport = None
        self._parser = None
        self._request_id = ""
        self._busy = False
        self._closed = False
        self._eof_received = False
        self._reading_paused = False
        self._reset_response()

    @property
    def usable(self):
        """Whether a request may be sent on this connection now."""
        keep_alive_ms = self._clock.monotonic_ms() - self.idle_since_ms
        return (
            not self._closed
            and not self._busy
            and not self._transport.is_closing()
            and keep_alive_ms < self.keep_alive_ms * KEEP_ALIVE_FRACTION
        )

    def connection_made(self, transport):
        """Set the limits of the new connection."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _set_tcp_timeouts(sock)

    def send(self, data, request_id):
        """Send a request; its answer arrives in `messages`."""
        self._busy = True
        self._request_id = request_id
        self.messages = asyncio.Queue()
        self._parser = httptools.HttpResponseParser(self)
        self._reset_response()
        self._transport.write(data)

    def abort(self):
        """Close at once; the backend server sees a reset."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    async def receive(self):
        """Wait for the next message of the current answer."""
        message = await self.messages.get()
        if self._reading_paused and self.messages.qsize() < MAX_QUEUED_MESSAGES // 2:
            self._reading_paused = False
            if not self._closed:
                self._transport.resume_reading()
        return message

    def data_received(self, data):
        """Parse what the backend server sends."""
        if not self._busy:
            # These bytes belong to no request.
            self.abort()
            self._idle_closed()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            self._fail(f"no HTTP response: {type(error).__name__}")
        if (
            self._busy
            and self.messages.qsize() > MAX_QUEUED_MESSAGES
            and not self._reading_paused
        ):
            self._reading_paused = True
            self._transport.pause_reading()

    def eof_received(self):
        """Note that the connection ended without a reset."""
        self._eof_received = True

    def connection_lost(self, exc):
        """End the current answer."""
        self._closed = True
        if not self._busy:
            self._idle_closed()
            return
        if (
            exc is None
            and self._eof_received
            and self._in_body
            and self._matches_request
            and self._read_until_close
        ):
            self._finish()
            return
        self._fail("connection lost" if exc is None else f"connection lost: {exc}")

    # Callbacks of the parser.

    def on_message_begin(self):
        """Begin the next response."""
        self._reset_response()

    def on_header(self, name, value):
        """Collect a header."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError("head too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Pass the head on if it answers the current request."""
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        metadata = self._decode_response(status, self._headers)
        self._metadata = metadata
        self._in_body = True
        values = dict(self._headers)
        length = values.get(b"content-length")
        chunked = b"chunked" in values.get(b"transfer-encoding", b"").lower()
        self._read_until_close = (
            length is None and not chunked and status not in (204, 304)
        )
        self._matches_request = metadata.request_id in ("", self._request_id)
        if self._matches_request and self._busy:
            content_length = None if length is None or chunked else int(length)
            self.messages.put_nowait(
                ResponseHead(metadata, self._headers, content_length)
            )

    def on_body(self, data):
        """Pass a part of the body on."""
        if self._matches_request and self._busy:
            self.messages.put_nowait(BodyChunk(data))

    def on_message_complete(self):
        """End the answer, or pass over the end of a foreign one."""
        matches_request, metadata = self._matches_request, self._metadata
        self._in_body = False
        if metadata is None:
            return
        if self._busy and matches_request:
            if metadata.closes_connection or self._read_until_close:
                self._closed = True
            if metadata.keep_alive_ms is not None:
                self.keep_alive_ms = min(metadata.keep_alive_ms, MAX_KEEP_ALIVE_MS)
            self._finish()

    def _finish(self):
        self.idle_since_ms = self._clock.monotonic_ms()
        self._busy = False
        self.messages.put_nowait(ResponseComplete())
        if self._closed:
            self._transport.close()

    def _fail(self, reason):
        if self._busy:
            self._busy = False
            self.messages.put_nowait(ResponseFailed(reason, True))
        self.abort()

    def _idle_closed(self):
        if self.on_idle_closed is not None:
            self.on_idle_closed(self)

    def _reset_response(self):
        self._headers = []
        self._head_bytes = 0
        self._metadata = None
        self._matches_request = False
        self._in_body = False
        self._read_until_close = False


def _set_tcp_timeouts(sock):
    for name, value in (
        ("TCP_USER_TIMEOUT", TCP_USER_TIMEOUT_MS),
        ("TCP_KEEPIDLE", 1),
        ("TCP_KEEPINTVL", 1),
        ("TCP_KEEPCNT", 2),
    ):
        option = getattr(socket, name, None)
        if option is not None:
            try:
                sock.setsockopt(socket.IPPROTO_TCP, option, value)
            except OSError:
                # Not every kernel offers each option; the others still hold.
                continue
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


class ConnectionPool:
    """Idle connections to backend servers, newest first.

    Parameters
    ----------
    decode_answer : callable
    clock : SystemClock or ManualClock
    """

    # A connection that is not up after this long will hardly be.
    CONNECT_TIMEOUT_MS = 400
    # Idle connections kept for each address.
    MAX_IDLE_PER_ADDRESS = 16

    def __init__(self, decode_response, clock):
        self._decode_response = decode_response
        self._clock = clock
        self._idle = {}
        self.opened = 0

    def acquire_idle(self, address):
        """Return an idle connection, or None."""
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            connection.on_idle_closed = None
            if connection.usable:
                return connection
            connection.abort()
        return None

    async def open(self, address):
        """Open a connection.

        Raises
        ------
        OSError
            Also if it takes too long; nothing was sent.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self.CONNECT_TIMEOUT_MS / 1000):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(
                        address, self._decode_response, self._clock
                    ),
                    host,
                    int(port),
                )
        except TimeoutError as error:
            raise OSError(f"no connection to {address} in time") from error
        return connection

    def release(self, connection):
        """Keep a connection whose answer is complete."""
        if not connection.usable:
            connection.abort()
            return
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= self.MAX_IDLE_PER_ADDRESS:
            idle.pop(0).abort()
        connection.on_idle_closed = self._forget_idle
        idle.append(connection)

    def _forget_idle(self, connection):
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)

    def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.on_idle_closed = None
                connection.abort()
        self._idle.clear()
