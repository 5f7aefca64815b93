"""HTTP/1.1 connections to backend servers, and a pool of idle ones."""

import asyncio
import socket

import httptools

from .backend_messages import BodyChunk, ResponseComplete, ResponseFailed, ResponseHead
from .connection_end import reset

# The kernel drops the connection if sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 1_500
# Reading pauses while more messages than this wait for the relay.
MAX_QUEUED_MESSAGES = 256
# The same for the bytes of these messages.
MAX_QUEUED_BYTES = 16 << 10
# What a queued message takes beside its bytes.
MESSAGE_BYTES = 200
# Most bytes that one read takes in.
MAX_READ_BYTES = 16 << 10
# Idle connections are reused only for this fraction of the keep-alive time; after that
# the backend server may close the connection while the request is on its way.
KEEP_ALIVE_FRACTION = 0.7
# Used if the backend server sends no Keep-Alive header.
DEFAULT_KEEP_ALIVE_MS = 2_000.0
MAX_KEEP_ALIVE_MS = 20_000.0
# Bytes without content that a response may hold in one place: its head with the interim
# responses before it, a chunk's size with extensions, or trailers.
MAX_HEAD_BYTES = 65_536
# An upgrade that nobody asked for is no answer either.
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class BackendConnection(asyncio.Protocol):
    """A connection that carries one request at a time and queues its response.

    A backend server may send a second response to an earlier request. Responses with
    the ID of another request are discarded, and one without an ID is accepted only on
    a connection that has carried no earlier request.

    Parameters
    ----------
    address : str
    decode_response : callable
        ``(status, headers) -> ResponseMetadata``.
    clock : SystemClock or ManualClock
    """

    def __init__(self, address, decode_response, clock):
        self.address = address
        self.idle_since_ms = clock.monotonic_ms()
        self.keep_alive_ms = DEFAULT_KEEP_ALIVE_MS
        self.messages = None
        # Takes the pieces of the body instead of `messages`, if set; it saves a change
        # of task for each event of a stream. Reset at the end of the response.
        self.body_sink = None
        # Called with the memory that `messages` takes, in bytes, when that exceeds its
        # bound; returns whether to read on. Reset at the next request.
        self.read_ahead = None
        self.on_idle_closed = None
        self._decode_response = decode_response
        self._clock = clock
        self._transport = None
        self._parser = None
        self._request_id = ""
        self._sends = 0
        self._busy = False
        self._closed = False
        # Whether the backend server ended it, or the network.
        self.was_lost = False
        self._eof_received = False
        self._reading_paused = False
        self._queued_bytes = 0
        # Pieces of the body that came with the current read.
        self._pieces = []
        # Received since the request or since the last bytes of a body.
        self._bytes_without_content = 0
        self._reset_response()

    @property
    def usable(self):
        """Whether the connection is open, idle and unlikely to be closed soon."""
        idle_ms = self._clock.monotonic_ms() - self.idle_since_ms
        return (
            not self._closed
            and not self._busy
            and not self._transport.is_closing()
            and idle_ms < self.keep_alive_ms * KEEP_ALIVE_FRACTION
        )

    @property
    def queued_cost_bytes(self):
        """What the messages that wait take of the memory."""
        return self._queued_bytes + MESSAGE_BYTES * self.messages.qsize()

    def connection_made(self, transport):
        """Set the socket options of the new connection."""
        self._transport = transport
        transport.max_size = MAX_READ_BYTES
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _set_tcp_timeouts(sock)

    def send(self, data, request_id):
        """Send a request; its response is queued in `messages`."""
        self._busy = True
        self._sends += 1
        self.body_sink = None
        self.read_ahead = None
        self._request_id = request_id
        self.messages = asyncio.Queue()
        self._queued_bytes = 0
        self._pieces.clear()
        self._bytes_without_content = 0
        self._parser = httptools.HttpResponseParser(self)
        self._reset_response()
        self._transport.write(data)

    def abort(self):
        """Close the connection at once; the backend server sees a reset."""
        self._closed = True
        if self._transport is None:
            return
        if self._busy:
            reset(self._transport)
        else:
            self._transport.abort()

    async def receive(self):
        """Wait for the next message of the current response."""
        message = await self.messages.get()
        if isinstance(message, BodyChunk):
            self._queued_bytes -= len(message.data)
        if (
            self.body_sink is None
            and self.messages.qsize() < MAX_QUEUED_MESSAGES // 2
            and self._queued_bytes < MAX_QUEUED_BYTES // 2
        ):
            self.resume_reading()
        return message

    def pause_reading(self):
        """Read no more of the response until `resume_reading`."""
        if not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self):
        """Read on after `pause_reading`."""
        if self._reading_paused:
            self._reading_paused = False
            if not self._closed:
                self._transport.resume_reading()

    def data_received(self, data):
        """Parse received bytes; without a request in flight, close the connection."""
        if not self._busy:
            # No request is in flight, so this is not a response to one.
            self.abort()
            self._idle_closed()
            return
        self._bytes_without_content += len(data)
        try:
            self._parser.feed_data(data)
            self._hand_over_body()
        except (*PARSER_ERRORS, ValueError) as error:
            self._fail(f"no HTTP response: {_reason(error)}")
        if self._busy and self._bytes_without_content > MAX_HEAD_BYTES:
            place = "chunk size or trailers" if self._in_body else "head"
            self._fail(_too_large(place, self._bytes_without_content))
        if self._busy and (
            self.messages.qsize() > MAX_QUEUED_MESSAGES
            or self._queued_bytes > MAX_QUEUED_BYTES
        ):
            if not (self.read_ahead and self.read_ahead(self.queued_cost_bytes)):
                self.pause_reading()
        elif self._has_excess_bytes:
            self.abort()

    def eof_received(self):
        """Record that the backend server closed its side without a reset."""
        self._eof_received = True

    def connection_lost(self, exc):
        """Complete or fail the response that is being received."""
        self.was_lost = not self._closed
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

    # Callbacks of the httptools parser.

    def on_message_begin(self):
        """Reset the state of the previous response."""
        self._reset_response()
        self._has_excess_bytes = not self._busy

    def on_header(self, name, value):
        """Store a header of the response; trailers are dropped.

        Raises
        ------
        ValueError
            If the headers are larger than `MAX_HEAD_BYTES`.
        """
        if self._in_body:
            return
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError(_too_large("head", self._head_bytes))
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Queue the response head if it belongs to the current request."""
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        self._bytes_without_content = 0
        metadata = self._decode_response(status, self._headers)
        self._metadata = metadata
        self._in_body = True
        values = dict(self._headers)
        length = values.get(b"content-length")
        chunked = b"chunked" in values.get(b"transfer-encoding", b"").lower()
        self._read_until_close = (
            length is None and not chunked and status not in (204, 304)
        )
        self._matches_request = self._answers_request(metadata.request_id)
        if not self._matches_request and not metadata.request_id:
            self._fail("response without an ID on a kept connection")
        if self._matches_request and self._busy:
            content_length = None if length is None or chunked else int(length)
            self.messages.put_nowait(
                ResponseHead(metadata, self._headers, content_length)
            )

    def _answers_request(self, response_id):
        """Return whether a response with this ID belongs to the current request."""
        if self._sends == 1 and not (response_id and self._request_id):
            return True
        return response_id == self._request_id != ""

    def on_body(self, data):
        """Take a piece of the body if it belongs to the current request."""
        self._bytes_without_content = 0
        if self._matches_request and self._busy:
            self._pieces.append(data)

    def _hand_over_body(self):
        """Hand over at once what one read has brought of the body.

        A body in chunks of a few bytes would take many times its size as messages.
        """
        if not self._pieces:
            return
        data = b"".join(self._pieces)
        self._pieces.clear()
        if self.body_sink is not None:
            self.body_sink(data)
        else:
            self._queued_bytes += len(data)
            self.messages.put_nowait(BodyChunk(data))

    def on_message_complete(self):
        """Complete the response if it belongs to the current request."""
        matches_request, metadata = self._matches_request, self._metadata
        self._in_body = False
        if metadata is None:
            return
        self._bytes_without_content = 0
        if self._busy and matches_request:
            if metadata.closes_connection or self._read_until_close:
                self._closed = True
            if metadata.keep_alive_ms is not None:
                self.keep_alive_ms = min(metadata.keep_alive_ms, MAX_KEEP_ALIVE_MS)
            self._finish()

    def _finish(self):
        self._hand_over_body()
        self.idle_since_ms = self._clock.monotonic_ms()
        self._busy = False
        self.body_sink = None
        self.messages.put_nowait(ResponseComplete())
        if self._closed:
            self._transport.close()

    def _fail(self, reason):
        if self._busy:
            self._busy = False
            self.body_sink = None
            self._pieces.clear()
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
        # Whether bytes of another message followed the response.
        self._has_excess_bytes = False


def _reason(error):
    # A reference to the exception in the frame that has caught it would keep both, and
    # what the response holds, until the next garbage collection.
    cause = error if isinstance(error, ValueError) else error.__context__
    return str(cause) if isinstance(cause, ValueError) else type(error).__name__


def _too_large(place, size_bytes):
    return f"{place} too large: {size_bytes} of {MAX_HEAD_BYTES} bytes"


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
                # Some kernels reject single options; the others still apply.
                continue
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


class ConnectionPool:
    """Idle connections by address; the most recently used one is reused first.

    Parameters
    ----------
    decode_response : callable
    clock : SystemClock or ManualClock
    """

    # A backend server that has not accepted the connection by then rarely does later.
    CONNECT_TIMEOUT_MS = 400
    MAX_IDLE_PER_ADDRESS = 16

    def __init__(self, decode_response, clock):
        self._decode_response = decode_response
        self._clock = clock
        self._idle = {}
        self.opened = 0
        # Called with the address when an idle connection is lost and no other one to
        # the address is left.
        self.on_last_idle_lost = None

    def acquire_idle(self, address, request_id):
        """Return a usable idle connection for a request, or None if there is none.

        A request without an ID needs a new connection, where no answer to an earlier
        request can be taken for one to it.
        """
        idle = self._idle.get(address) if request_id else None
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
            If connecting fails or times out. No request was sent.
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
            raise OSError(f"connecting to {address} timed out") from error
        return connection

    def release(self, connection):
        """Return a connection after its response; close it if it cannot be reused."""
        if not connection.usable:
            connection.abort()
            return
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= self.MAX_IDLE_PER_ADDRESS:
            idle.pop(0).abort()
        connection.on_idle_closed = self._on_idle_closed
        idle.append(connection)

    def _on_idle_closed(self, connection):
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        if not idle and self.on_last_idle_lost is not None:
            self.on_last_idle_lost(connection.address)

    def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.on_idle_closed = None
                connection.abort()
        self._idle.clear()
