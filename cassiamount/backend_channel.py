"""One HTTP/1.1 connection to a backend server."""

import asyncio
import socket

import httptools

from .backend_messages import AnswerBroken, AnswerEnd, AnswerHead, AnswerPart

# A peer that acknowledges nothing for this long is taken for gone.
SILENCE_MS = 1_500
# Reading pauses while this many messages wait for the relay.
MESSAGES_LIMIT = 256
# A request on a connection that was idle for longer than this share of the stated time
# could cross the backend server's close.
IDLE_SHARE = 0.7
# Idle time of a connection whose backend server states none.
DEFAULT_IDLE_MS = 2_000.0
MAX_IDLE_MS = 20_000.0
# Longest head of a response.
MAX_HEAD_BYTES = 65_536


class BackendChannel(asyncio.Protocol):
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

    def __init__(self, address, decode_answer, clock):
        self.address = address
        self.idle_since_ms = clock.monotonic_ms()
        self.idle_limit_ms = DEFAULT_IDLE_MS
        self.messages = None
        self.on_idle_closed = None
        self._decode_answer = decode_answer
        self._clock = clock
        self._transport = None
        self._parser = None
        self._request_id = ""
        self._busy = False
        self._closed = False
        self._ended_cleanly = False
        self._paused = False
        self._reset_response()

    @property
    def usable(self):
        """Whether a request may be sent on this connection now."""
        idle_ms = self._clock.monotonic_ms() - self.idle_since_ms
        return (
            not self._closed
            and not self._busy
            and not self._transport.is_closing()
            and idle_ms < self.idle_limit_ms * IDLE_SHARE
        )

    def connection_made(self, transport):
        """Set the limits of the new connection."""
        self._transport = transport
        raw = transport.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _set_silence_limit(raw)

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
        if self._paused and self.messages.qsize() < MESSAGES_LIMIT // 2:
            self._paused = False
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
        if self._busy and self.messages.qsize() > MESSAGES_LIMIT and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def eof_received(self):
        """Note that the connection ended without a reset."""
        self._ended_cleanly = True

    def connection_lost(self, exc):
        """End the current answer."""
        self._closed = True
        if not self._busy:
            self._idle_closed()
            return
        if (
            exc is None
            and self._ended_cleanly
            and self._in_body
            and self._own
            and self._until_close
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
        facts = self._decode_answer(status, self._headers)
        self._facts = facts
        self._in_body = True
        values = dict(self._headers)
        length = values.get(b"content-length")
        chunked = b"chunked" in values.get(b"transfer-encoding", b"").lower()
        self._until_close = length is None and not chunked and status not in (204, 304)
        self._own = facts.request_id in ("", self._request_id)
        if self._own and self._busy:
            size = None if length is None or chunked else int(length)
            self.messages.put_nowait(AnswerHead(facts, self._headers, size))

    def on_body(self, data):
        """Pass a part of the body on."""
        if self._own and self._busy:
            self.messages.put_nowait(AnswerPart(data))

    def on_message_complete(self):
        """End the answer, or pass over the end of a foreign one."""
        own, facts = self._own, self._facts
        self._in_body = False
        if facts is None:
            return
        if self._busy and own:
            if facts.closes or self._until_close:
                self._closed = True
            if facts.idle_ms is not None:
                self.idle_limit_ms = min(facts.idle_ms, MAX_IDLE_MS)
            self._finish()

    def _finish(self):
        self.idle_since_ms = self._clock.monotonic_ms()
        self._busy = False
        self.messages.put_nowait(AnswerEnd())
        if self._closed:
            self._transport.close()

    def _fail(self, reason):
        if self._busy:
            self._busy = False
            self.messages.put_nowait(AnswerBroken(reason, True))
        self.abort()

    def _idle_closed(self):
        if self.on_idle_closed is not None:
            self.on_idle_closed(self)

    def _reset_response(self):
        self._headers = []
        self._head_bytes = 0
        self._facts = None
        self._own = False
        self._in_body = False
        self._until_close = False


def _set_silence_limit(raw):
    for name, value in (
        ("TCP_USER_TIMEOUT", SILENCE_MS),
        ("TCP_KEEPIDLE", 1),
        ("TCP_KEEPINTVL", 1),
        ("TCP_KEEPCNT", 2),
    ):
        option = getattr(socket, name, None)
        if option is not None:
            try:
                raw.setsockopt(socket.IPPROTO_TCP, option, value)
            except OSError:
                # Not every kernel offers each option; the others still hold.
                continue
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


class ChannelPool:
    """Idle connections to backend servers, newest first.

    Parameters
    ----------
    decode_answer : callable
    clock : SystemClock or ManualClock
    """

    # A connection that is not up after this long will hardly be.
    CONNECT_TIMEOUT_MS = 400
    # Idle connections kept for each address.
    IDLE_LIMIT = 16

    def __init__(self, decode_answer, clock):
        self._decode_answer = decode_answer
        self._clock = clock
        self._idle = {}
        self.opened = 0

    def take_idle(self, address):
        """Return an idle connection, or None."""
        idle = self._idle.get(address)
        while idle:
            channel = idle.pop()
            channel.on_idle_closed = None
            if channel.usable:
                return channel
            channel.abort()
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
                _, channel = await loop.create_connection(
                    lambda: BackendChannel(address, self._decode_answer, self._clock),
                    host,
                    int(port),
                )
        except TimeoutError as error:
            raise OSError(f"no connection to {address} in time") from error
        return channel

    def give_back(self, channel):
        """Keep a connection whose answer is complete."""
        if not channel.usable:
            channel.abort()
            return
        idle = self._idle.setdefault(channel.address, [])
        if len(idle) >= self.IDLE_LIMIT:
            idle.pop(0).abort()
        channel.on_idle_closed = self._drop
        idle.append(channel)

    def _drop(self, channel):
        idle = self._idle.get(channel.address, [])
        if channel in idle:
            idle.remove(channel)

    def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for channel in idle:
                channel.on_idle_closed = None
                channel.abort()
        self._idle.clear()
