"""Runs the caller-facing application under uvicorn with limits on heads."""

import asyncio
import collections
import contextlib
import functools
import gc
import socket

import structlog
import uvicorn
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .answers import error_body
from .body_budget import PROGRESS_BYTES, STALLED_MS, BodyBudget, HeldBody
from .caller import HAS_LEFT, IS_FOLLOWED, WRITE_PART
from .caller_listener import ACCEPTS_AT_ONCE, CallerListener
from .connection_end import has_ended
from .own_ports import open_when_free
from .request_pieces import RequestPieces
from .requests import Refusal

# Longest time from a connection's first byte of a request to the end of its head.
HEAD_TIMEOUT_S = 10.0
# Idle connections are kept this long; longer than common balancers keep theirs idle.
KEEPALIVE_S = 75
# A connection is read no further while so many bytes wait for the answer before them.
MAX_WAITING_BYTES = 16 << 10
# Most bytes that one read of a connection takes in.
MAX_READ_BYTES = 16 << 10
# As an object a line of a head takes some 200 bytes, whatever its length, so those of
# a head of 16 KB can take 600 KB. Lines beyond the first 256 of a head, of which
# clients send fewer than 100, share a budget of all connections: one such head is
# served, many at once are refused.
FREE_HEAD_LINES = 256
HEAD_LINE_BYTES = 200
EXCESS_LINES_BYTES = 4 << 20
# How often a connection that is read no further is asked for its end.
END_CHECK_INTERVAL_S = 0.2
# An answer waits while this many bytes are not sent yet.
MAX_UNSENT_BYTES = 8 << 10

log = structlog.get_logger()


class _HeldFlow(FlowControl):
    """Flow control whose reading the application can't resume while it is held."""

    held = False

    def resume_reading(self):
        if not self.held:
            super().resume_reading()


class CallerProtocol(HttpToolsProtocol):
    """HTTP/1.1 with limits that uvicorn does not have.

    uvicorn's parser collects heads of any size and waits for them without end, and
    parses all that it gets while an answer is still due, so a slow or endless head or
    many pipelined requests would hold memory without bound. Here what follows a request
    waits as bytes until its answer is complete.
    """

    head_bytes = 16 << 10
    max_connections = 10_000
    metrics = None
    head_timeout_s = HEAD_TIMEOUT_S
    caller_limits = None
    # Connections of the same server without a request, the longest idle one first.
    idle = collections.OrderedDict()
    # Connections whose body is arriving -> when it made progress, the one longest
    # without progress first.
    arriving = collections.OrderedDict()
    # What the lines beyond `FREE_HEAD_LINES` of all heads of the server take.
    line_budget = BodyBudget(EXCESS_LINES_BYTES)

    def connection_made(self, transport):
        """Accept a connection; if there are too many, close another one or this one.

        A connection without a request costs its caller least: a new one most likely
        carries a request, and a caller must be ready for the end of an idle one. Next
        is one whose body makes no progress.
        """
        super().connection_made(transport)
        self.flow = _HeldFlow(transport)
        transport.max_size = MAX_READ_BYTES
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._pieces = RequestPieces()
        # Received bytes that are not parsed yet; None while all are.
        self._waiting = None
        self._body_left_bytes = 0
        # Bytes of a body of unknown length since the last ones with content.
        self._framing_bytes = 0
        self._in_head = True
        self._excess_lines = HeldBody()
        self._lines_refused = False
        self._wire_bytes = 0
        self._stopping = False
        self._timed = False
        self._timer = None
        self._end_check = None
        # The cycle of the request that runs; others may have been parsed behind it.
        self._running = None
        self._progress_bytes = 0
        if len(self.connections) > self.max_connections:
            if self.idle:
                self._count("idle_connection")
                longest_idle, _ = self.idle.popitem(last=False)
                longest_idle.transport.close()
            elif not self._displace_stalled():
                self._count("connection_limit")
                transport.abort()
                return
        self.idle[self] = True
        self._start_timer(KEEPALIVE_S)

    def connection_lost(self, exc):
        """Forget the connection."""
        self._stop_timer()
        if self._end_check is not None:
            self._end_check.cancel()
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()
        self.idle.pop(self, None)
        self.arriving.pop(self, None)
        self.line_budget.release(self._excess_lines)
        super().connection_lost(exc)

    def data_received(self, data):
        """Parse received bytes, or keep them while the answer before them is due."""
        self.idle.pop(self, None)
        if self._waiting is None:
            self._parse(data)
            self._note_if_idle()
            return
        self._waiting += data
        self._hold_if_much_waits()

    def _displace_stalled(self):
        """Refuse the body longest without progress; return whether there is one."""
        if not self.arriving:
            return False
        connection, progress_s = next(iter(self.arriving.items()))
        still_ms = 1000 * (self.loop.time() - progress_s)
        if still_ms < STALLED_MS:
            return False
        self._count("stalled_body")
        log.info(
            "connection_displaced",
            bound="max_connections",
            limit=self.max_connections,
            still_ms=round(still_ms),
        )
        connection.refuse_stalled()
        return True

    def refuse_stalled(self):
        """Refuse the request whose body makes no progress; close the connection."""
        self.arriving.pop(self, None)
        if self.cycle.response_started or self._running is not self.cycle:
            # Another answer has begun, or is still due before this one.
            self.transport.abort()
            return
        message = "the body made no progress while others needed its connection"
        self._answer(Refusal(503, "not_run", message, retry_after_s=1))

    def _note_progress(self, size_bytes):
        """Note bytes of a body, which count as progress only in larger numbers."""
        self._progress_bytes += size_bytes
        if self._progress_bytes >= PROGRESS_BYTES or self not in self.arriving:
            self._progress_bytes = 0
            self.arriving[self] = self.loop.time()
            self.arriving.move_to_end(self)

    def _start_asgi_task(self, cycle, app):
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def _parse(self, data):
        size = len(data)
        start = 0
        while start < size and not self.transport.is_closing():
            if self._answer_is_due():
                self._waiting = data if isinstance(data, bytearray) else bytearray(data)
                del self._waiting[:start]
                self._hold_if_much_waits()
                return
            end = self._pieces.next_end(
                data, start, not self._in_head, self._body_left_bytes
            )
            self._parse_piece(data[start:end])
            start = end
        if self._stopping and self.cycle is not None and not self._head_has_begun:
            self.cycle.keep_alive = False

    @property
    def is_followed(self):
        """Whether at least a part of a further request has arrived."""
        return bool(self.pipeline) or self._waiting is not None or self._head_has_begun

    @property
    def _head_has_begun(self):
        return self._in_head and self._wire_bytes > 0

    def _answer_is_due(self):
        """Return whether a request came whole and has no whole answer yet."""
        if self.pipeline:
            return True
        cycle = self.cycle
        return self._in_head and cycle is not None and not cycle.response_complete

    def _note_if_idle(self):
        if (
            self._in_head
            and not self._head_has_begun
            and not self._answer_is_due()
            and not self.transport.is_closing()
        ):
            self.idle[self] = True

    def _hold_if_much_waits(self):
        if len(self._waiting) >= MAX_WAITING_BYTES:
            self.flow.held = True
            self.flow.pause_reading()
            if self._end_check is None:
                self._check_end_later()

    def _check_end_later(self):
        self._end_check = self.loop.call_later(END_CHECK_INTERVAL_S, self._check_end)

    def _check_end(self):
        """Close a connection whose end can't be read because reading is paused."""
        self._end_check = None
        if self.flow.held and not self.has_left():
            self._check_end_later()

    def on_response_complete(self):
        """Parse the request that waited for the answer, if any."""
        super().on_response_complete()
        if self._waiting is not None and not self.transport.is_closing():
            data, self._waiting = self._waiting, None
            self._parse(data)
        if self.cycle.response_complete and not self._head_has_begun:
            self.line_budget.release(self._excess_lines)
        if self.transport.is_closing():
            self._waiting = None
            return
        if self._waiting is None or len(self._waiting) < MAX_WAITING_BYTES:
            self.flow.held = False
            self.flow.resume_reading()
        if self.cycle.response_complete:
            self._limit_head_time()
            self._note_if_idle()
        if self._stopping and self.cycle.response_complete:
            self.shutdown()

    def _parse_piece(self, data):
        """Parse bytes; count those of a head that is not complete yet."""
        if self._in_head:
            self._wire_bytes += len(data)
        else:
            self._framing_bytes += len(data)
        super().data_received(data)
        if self.transport.is_closing():
            return
        if not self._in_head:
            self._note_progress(len(data))
            if self._framing_bytes > self.head_bytes and not self._body_left_bytes:
                self._refuse_framing()
        elif self._wire_bytes > self.head_bytes or self._lines_refused:
            self._refuse_head()
        elif not self._answer_is_due():
            self._limit_head_time()

    def _limit_head_time(self):
        # Most heads arrive in one piece and need no timer.
        if self._head_has_begun and not self._timed:
            self._timed = True
            self._stop_timer()
            self._start_timer(self.head_timeout_s)

    def on_message_begin(self):
        """Note that a head has begun, also behind the end of a body."""
        self._wire_bytes = max(1, self._wire_bytes)
        super().on_message_begin()

    def on_header(self, name, value):
        """Keep a line of a head; drop trailers.

        uvicorn would add trailers to the headers of the request that is being read: a
        backend server would get them as such, and they would take memory.
        """
        if not self._in_head:
            return
        if len(self.headers) < FREE_HEAD_LINES or (
            not self._lines_refused
            and self.line_budget.take(self._excess_lines, HEAD_LINE_BYTES)
        ):
            super().on_header(name, value)
        else:
            self._lines_refused = True

    def on_headers_complete(self):
        """Check the size of a head that came in one piece."""
        self._in_head = self._timed = False
        self._stop_timer()
        size = len(self.url)
        self._body_left_bytes = self._framing_bytes = 0
        for name, value in self.headers:
            size += len(name) + len(value) + 4
            if name == b"content-length":
                self._body_left_bytes = int(value)
        if size > self.head_bytes or self._lines_refused:
            self._refuse_head()
            return
        super().on_headers_complete()
        # The application's task has not begun yet.
        self.scope[WRITE_PART] = functools.partial(self._write_part, self.cycle)
        self.scope[IS_FOLLOWED] = lambda: self.is_followed
        self.scope[HAS_LEFT] = self.has_left

    def has_left(self):
        """Return whether the caller has closed the connection; if so, close it too."""
        if not has_ended(self.transport):
            return False
        self.transport.abort()
        return True

    def _write_part(self, cycle, data):
        """Write a part of a chunked answer if that needs no waiting.

        The server's own send channel is a coroutine that takes a message and checks it
        anew, which was a tenth of the cost of a streamed token.

        Returns
        -------
        bool
            False if the part has to go through the send channel.
        """
        if (
            not cycle.chunked_encoding
            or cycle.response_complete
            or cycle.disconnected
            or self.flow.write_paused
            or not data
        ):
            return False
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        return True

    def on_body(self, body):
        """Take in a part of a body; none follows a refused head."""
        self._framing_bytes = 0
        self._body_left_bytes = max(0, self._body_left_bytes - len(body))
        if self.cycle is not None and not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self):
        """Expect the next head."""
        self.arriving.pop(self, None)
        self._in_head = True
        self._wire_bytes = self._body_left_bytes = 0
        if self.cycle is not None and not self.transport.is_closing():
            super().on_message_complete()

    def send_400_response(self, msg):
        """Answer what is no HTTP request."""
        self._count("invalid_http")
        self._answer(Refusal(400, "invalid_http", msg))

    def shutdown(self):
        """Stop after the requests that have come, at least in part."""
        self._stopping = True
        if self._waiting is not None or self._head_has_begun:
            return
        super().shutdown()

    def _refuse_head(self):
        if self._lines_refused:
            self._count("head_lines")
            log.info(
                "head_refused",
                bound="EXCESS_LINES_BYTES",
                limit_bytes=EXCESS_LINES_BYTES,
                held_bytes=self.line_budget.held_bytes,
            )
            message = "heads of many lines take up all memory set aside for them"
            self._answer(Refusal(503, "not_run", message, retry_after_s=1))
            return
        self._count("header_too_large")
        message = f"the head exceeds {self.head_bytes} bytes"
        self._answer(Refusal(431, "header_too_large", message))

    def _refuse_framing(self):
        self._count("framing_too_large")
        if self.cycle.response_started:
            self.transport.abort()
            return
        message = f"chunk extensions or trailers exceed {self.head_bytes} bytes"
        self._answer(Refusal(431, "header_too_large", message))

    def _answer(self, refusal):
        body = error_body(refusal)
        phrase = {
            400: "Bad Request",
            408: "Request Timeout",
            431: "Request Header Fields Too Large",
            503: "Service Unavailable",
        }
        retry_after = ""
        if refusal.retry_after_s is not None:
            retry_after = f"retry-after: {refusal.retry_after_s}\r\n"
        head = (
            f"HTTP/1.1 {refusal.status} {phrase[refusal.status]}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n"
            f"{retry_after}"
            "connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()

    def _start_timer(self, seconds):
        self._timer = self.loop.call_later(seconds, self._head_timeout)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _head_timeout(self):
        self._timer = None
        if self._in_head and not self.transport.is_closing():
            self._count("head_timeout")
            self.transport.abort()

    def _count(self, reason):
        if self.metrics is not None:
            self.metrics.count("connections_refused_total", reason=reason)


class EdgeServer:
    """One listening socket with its uvicorn server.

    Parameters
    ----------
    application : object
        ASGI application.
    listener : socket.socket
        Listening socket; owned by the server from `start` on.
    metrics : Metrics
    head_bytes : int
    max_connections : int
    base_protocol : type
        `CallerProtocol` or a class derived from it.
    caller_limits : callable, optional
        Returns the `CallerLimits` in force, for a protocol that follows them.
    """

    def __init__(
        self,
        application,
        listener,
        metrics,
        head_bytes=16 << 10,
        max_connections=10_000,
        base_protocol=CallerProtocol,
        caller_limits=None,
    ):
        protocol = type(
            "BoundCallerProtocol",
            (base_protocol,),
            {
                "head_bytes": head_bytes,
                "max_connections": max_connections,
                "metrics": metrics,
                "idle": collections.OrderedDict(),
                "arriving": collections.OrderedDict(),
                "line_budget": BodyBudget(EXCESS_LINES_BYTES),
                "caller_limits": staticmethod(caller_limits),
            },
        )
        config = uvicorn.Config(
            application,
            http=protocol,
            ws="none",
            loop="asyncio",
            lifespan="off",
            interface="asgi3",
            access_log=False,
            log_config=None,
            log_level="error",
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEPALIVE_S,
            backlog=max(1, min(ACCEPTS_AT_ONCE, max_connections // 4)),
        )
        self._server = _Server(config)
        self._listener = listener
        self._task = None

    async def start(self):
        """Begin to accept connections."""
        self._task = asyncio.create_task(self._server.serve([self._listener]))
        while not self._server.started:
            if self._task.done():
                self._listener.close()
                await self._task
                raise RuntimeError("the listener could not be started")
            await asyncio.sleep(0.005)
        # What was loaded so far lives as long as the process; without this each full
        # collection walks it, which holds up all streams at once.
        gc.collect()
        gc.freeze()

    async def stop(self, drain_limit_ms):
        """Finish the current requests and stop.

        Parameters
        ----------
        drain_limit_ms : float

        Returns
        -------
        int
            Requests that were cut off because the limit passed; 0 normally.
        """
        self.begin_stop()
        await self.wait_stopped(drain_limit_ms)
        return await self.cut_off()

    def begin_stop(self):
        """Accept no more connections, and close each one after its requests."""
        self._server.should_exit = True

    async def wait_stopped(self, timeout_ms):
        """Wait until all connections are closed; return whether they are."""
        done, _ = await asyncio.wait([self._task], timeout=timeout_ms / 1000)
        return bool(done)

    async def cut_off(self):
        """Close what is still open; return the number of requests cut off by this."""
        state = self._server.server_state
        left = len(state.tasks)
        if not self._task.done():
            self._server.force_exit = True
            for task in list(state.tasks):
                task.cancel()
            for connection in list(state.connections):
                connection.transport.abort()
            await asyncio.wait([self._task], timeout=5)
        return left


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


def open_listener(host, port):
    """Return a TCP socket that listens; port 0 takes a free one.

    Raises
    ------
    OSError
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets that name their protocol; without it
    # the end of each streamed answer waited 40 ms for a delayed acknowledgement.
    listener = CallerListener(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        # Two sockets can be bound to a port, and only one of them can listen.
        listener.listen()
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


async def open_server(name, address, application, metrics, **options):
    """Return an `EdgeServer`, not started yet, that has its port, once that is free.

    Parameters
    ----------
    name : str
        What the port is for, in logs.
    address : str
        ``IP:port``.
    application, metrics : object
    **options
        Of `EdgeServer`.
    """
    host, _, port = address.rpartition(":")
    listener = await open_when_free(
        name, address, lambda: open_listener(host.strip("[]"), int(port))
    )
    return EdgeServer(application, listener, metrics, **options)
