"""Runs the caller-facing application under uvicorn with limits on heads."""

import asyncio
import contextlib
import functools
import gc
import socket

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .answers import error_body
from .caller import WRITE_PART
from .requests import Refusal

# Longest time from a connection's first byte of a request to the end of its head.
HEAD_TIMEOUT_S = 10.0
# Idle connections are kept this long; longer than common balancers keep theirs idle.
KEEPALIVE_S = 75
BACKLOG = 2_048


class CallerProtocol(HttpToolsProtocol):
    """HTTP/1.1 with limits that uvicorn does not have.

    uvicorn's parser collects heads of any size and waits for them without end, so a
    slow or endless head would hold memory without bound.
    """

    head_bytes = 16 << 10
    max_connections = 10_000
    metrics = None
    head_timeout_s = HEAD_TIMEOUT_S
    caller_limits = None

    def connection_made(self, transport):
        """Accept a connection, or close it if there are too many."""
        super().connection_made(transport)
        self._in_head = True
        self._wire_bytes = 0
        self._stopping = False
        self._timed = False
        self._timer = None
        if len(self.connections) > self.max_connections:
            self._count("connection_limit")
            transport.abort()
            return
        self._start_timer(KEEPALIVE_S)

    def connection_lost(self, exc):
        """Forget the connection."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data):
        """Count the bytes of a head that is not complete yet."""
        if self._in_head:
            self._wire_bytes += len(data)
        super().data_received(data)
        if not self._in_head or self.transport.is_closing():
            return
        if self._wire_bytes > self.head_bytes:
            self._refuse_head()
        elif self._wire_bytes and not self._timed:
            # Most heads arrive in one piece and need no timer.
            self._timed = True
            self._stop_timer()
            self._start_timer(self.head_timeout_s)

    def on_headers_complete(self):
        """Check the size of a head that came in one piece."""
        self._in_head = self._timed = False
        self._stop_timer()
        size = len(self.url)
        for name, value in self.headers:
            size += len(name) + len(value) + 4
        if size > self.head_bytes:
            self._refuse_head()
            return
        super().on_headers_complete()
        # The application's task has not begun yet.
        self.scope[WRITE_PART] = functools.partial(self._write_part, self.cycle)
        if self._stopping:
            self.cycle.keep_alive = False

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
        if self.cycle is not None and not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self):
        """Expect the next head."""
        self._in_head = True
        self._wire_bytes = 0
        if self.cycle is not None and not self.transport.is_closing():
            super().on_message_complete()

    def send_400_response(self, msg):
        """Answer what is no HTTP request."""
        self._count("invalid_http")
        self._answer(Refusal(400, "invalid_http", msg))

    def shutdown(self):
        """Stop after the request whose head is arriving, if any."""
        self._stopping = True
        if self._in_head and self._wire_bytes:
            return
        super().shutdown()

    def _refuse_head(self):
        self._count("header_too_large")
        message = f"the head exceeds {self.head_bytes} bytes"
        self._answer(Refusal(431, "header_too_large", message))

    def _answer(self, refusal):
        body = error_body(refusal)
        phrase = {
            400: "Bad Request",
            408: "Request Timeout",
            431: "Request Header Fields Too Large",
        }
        head = (
            f"HTTP/1.1 {refusal.status} {phrase[refusal.status]}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n"
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
        Bound socket; owned by the server from `start` on.
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
            log_level="critical",
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEPALIVE_S,
            backlog=BACKLOG,
        )
        self._server = _Server(config)
        self._listener = listener
        self._task = None

    async def start(self):
        """Begin to accept connections."""
        self._task = asyncio.create_task(self._server.serve([self._listener]))
        while not self._server.started:
            if self._task.done():
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
        self._server.should_exit = True
        state = self._server.server_state
        done, _ = await asyncio.wait([self._task], timeout=drain_limit_ms / 1000)
        left = len(state.tasks)
        if not done:
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
    """Return a bound TCP socket; port 0 takes a free one."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets that name their protocol; without it
    # the end of each streamed answer waited 40 ms for a delayed acknowledgement.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.setblocking(False)
    return listener
