"""HTTP client that sends attempts of requests to backend servers."""

import asyncio
import contextvars
import functools

import aiohttp
import yarl
from aiohttp.client_proto import ResponseHandler

from .connection_end import reset

MAX_HEAD_LINE_BYTES = 8_190
MAX_HEAD_FIELDS = 100
MAX_BODY_BYTES = 8 << 20
# Bytes without content that a response may hold in one place, with interim responses.
MAX_BYTES_WITHOUT_CONTENT = 65_536
# A response is read no further while twice as much of it waits.
READ_BUFFER_BYTES = 16 << 10
CONNECT_TIMEOUT_S = 2.0
CANCEL_TIMEOUT_S = 2.0
KEEPALIVE_TIMEOUT_S = 20.0
REQUEST_ID_HEADER = "X-Request-Id"
NOT_ACCEPTED_HEADER = "X-Not-Accepted"


# The attempt that the current task sends.
_sending = contextvars.ContextVar("sending", default=None)


class NotAccepted(Exception):
    """The backend server certainly ran no part of the request."""


class AttemptBroken(Exception):
    """The attempt failed, and the backend server may have run the request."""


class MismatchedResponse(AttemptBroken):
    """The response carries the identifier of another request."""


class BackendResponse:
    """The response to one attempt, whose head has been received.

    Parameters
    ----------
    response : aiohttp.ClientResponse
    idle_timeout_s : float
        A pause in the body of up to this long is always tolerated.
    """

    __slots__ = (
        "status",
        "headers",
        "_response",
        "_idle_timeout_s",
        "_reads",
        "_reads_at_last_check",
        "_reading",
        "_idle_timer",
    )

    def __init__(self, response, idle_timeout_s):
        self.status = response.status
        self.headers = response.headers
        self._response = response
        self._idle_timeout_s = idle_timeout_s
        self._reads = 0
        self._reads_at_last_check = -1
        self._reading = False
        self._idle_timer = None

    @property
    def content_type(self):
        """Media type with its parameters; empty if the header is absent."""
        return self.headers.get("Content-Type", "")

    @property
    def delimited(self):
        """Whether the end of the body can be told from a broken connection."""
        if self.status in (204, 304):
            return True
        return (
            "Content-Length" in self.headers
            or "chunked" in self.headers.get("Transfer-Encoding", "").lower()
        )

    async def chunk(self):
        """Wait for body bytes and return all that have arrived; empty at the end.

        Raises
        ------
        AttemptBroken
        """
        if self._idle_timer is None:
            self._check_idle()
        self._reads += 1
        self._reading = True
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise AttemptBroken(_describe(error)) from error
        finally:
            self._reading = False

    def _check_idle(self):
        """Fail a read that has been waiting since before the last check.

        One timer for each response costs much less on a stream of many tokens than a
        timeout for each read. A read fails after one to two times `idle_timeout_s`.
        """
        if self._reading and self._reads == self._reads_at_last_check:
            error = TimeoutError("no data from the backend server")
            self._response.content.set_exception(error)
            return
        self._reads_at_last_check = self._reads
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(self._idle_timeout_s, self._check_idle)

    def _stop_idle_timer(self):
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    async def body(self, answer, limit_bytes=MAX_BODY_BYTES):
        """Return the whole body.

        Parameters
        ----------
        answer : HeldAnswer
        limit_bytes : int

        Raises
        ------
        AttemptBroken
            If the body ends early, exceeds the limit, or finds no memory.
        """
        parts, size = [], 0
        while part := await self.chunk():
            size += len(part)
            if size > limit_bytes:
                raise AttemptBroken("response body exceeds the size limit")
            if not answer.hold(size):
                raise AttemptBroken("no memory for the response body")
            parts.append(part)
        return b"".join(parts)

    def release(self):
        """Return the connection for reuse after the body was read to its end."""
        self._stop_idle_timer()
        self._response.release()

    def close(self):
        """Close the connection."""
        self._stop_idle_timer()
        self._response.close()


def _begin():
    pass


class _Sending:
    """One attempt, from its connection to the head of its response.

    Parameters
    ----------
    begin_send : callable
        See `BackendClient.send`.
    """

    __slots__ = ("_begin_send", "_transport")

    def __init__(self, begin_send):
        self._begin_send = begin_send
        self._transport = None

    def begin(self, connection):
        """Ask whether the request may be written to this connection."""
        self._begin_send()
        self._transport = connection.transport

    def abort(self):
        """Take back what the server has not received of the request."""
        if self._transport is not None:
            reset(self._transport)


class _ResponseHandler(ResponseHandler):
    """Ends a connection that brings bytes without content, and no end of them.

    The parser of aiohttp bounds a head, but neither interim responses nor the size and
    the extensions of a chunk.
    """

    _content_bytes = 0
    _bytes_without_content = 0

    def set_response_params(self, **options):
        """Expect the response to another request."""
        self._bytes_without_content = 0
        super().set_response_params(**options)

    def data_received(self, data):
        """Parse received bytes, and count them unless they bring content."""
        super().data_received(data)
        payload = self._payload
        content_bytes = 0 if payload is None else payload.total_bytes
        if content_bytes != self._content_bytes:
            self._content_bytes = content_bytes
            self._bytes_without_content = 0
            return
        self._bytes_without_content += len(data)
        if (
            self._bytes_without_content > MAX_BYTES_WITHOUT_CONTENT
            and self.transport is not None
        ):
            self.transport.abort()


class _Connector(aiohttp.TCPConnector):
    """Asks whether an attempt may begin once there is a connection for it."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(_ResponseHandler, loop=self._loop)

    async def connect(self, req, traces, timeout):
        connection = await super().connect(req, traces, timeout)
        sending = _sending.get()
        if sending is not None:
            try:
                sending.begin(connection)
            except BaseException:
                connection.release()
                raise
        return connection


class BackendClient:
    """HTTP connections to the backend servers.

    Parameters
    ----------
    metrics : Metrics
    max_connections : int
        Limit over all backend servers.
    idle_timeout_s : float
        Longest pause in a response body that is always tolerated.
    """

    def __init__(self, metrics, max_connections=4_000, idle_timeout_s=60.0):
        self._metrics = metrics
        self._idle_timeout_s = idle_timeout_s
        self._max_connections = max_connections
        self._pooled_session = None
        self._single_use_session = None

    async def start(self):
        """Open the client sessions; needs a running event loop."""
        self._pooled_session = self._open_session(force_close=False)
        # A call that must not run twice gets a new connection. On a reused one, a close
        # by the server because it was idle could not be told from a lost response.
        self._single_use_session = self._open_session(force_close=True)

    def _open_session(self, force_close):
        options = {} if force_close else {"keepalive_timeout": KEEPALIVE_TIMEOUT_S}
        connector = _Connector(
            limit=self._max_connections, force_close=force_close, **options
        )
        session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            max_line_size=MAX_HEAD_LINE_BYTES,
            max_field_size=MAX_HEAD_LINE_BYTES,
            max_headers=MAX_HEAD_FIELDS,
            read_bufsize=READ_BUFFER_BYTES,
        )
        # aiohttp by itself retries PUT and DELETE if a reused connection was closed,
        # but only the relay may decide on retries.
        session._retry_connection = False
        return session

    async def probe(self, address):
        """Open a connection to a backend server and close it.

        Raises
        ------
        OSError
            If connecting fails or times out.
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        writer.close()

    async def close(self):
        """Close all connections."""
        for session in (self._pooled_session, self._single_use_session):
            if session is not None:
                await session.close()

    async def send(
        self,
        address,
        method,
        target,
        headers,
        body,
        request_id,
        head_timeout_s,
        new_connection=False,
        begin_send=_begin,
    ):
        """Send one attempt and wait for the response head.

        Parameters
        ----------
        address : str
            ``host:port``.
        method, target : str
            `target` is the path with the query, already encoded.
        headers : list of (str, str)
        body : bytes
        request_id : str
            Sent as ``X-Request-Id``; the response must carry it.
        head_timeout_s : float
            Timeout for the response head.
        new_connection : bool
            Use a new connection, and only for this attempt.
        begin_send : callable, optional
            Called when the request is about to be written to its connection; what it
            raises is raised here, and nothing was sent.

        Returns
        -------
        BackendResponse

        Raises
        ------
        NotAccepted, AttemptBroken
        """
        session = self._single_use_session if new_connection else self._pooled_session
        url = _url(address, target)
        headers = [*headers, (REQUEST_ID_HEADER, request_id)]
        sending = _Sending(begin_send)
        token = _sending.set(sending)
        try:
            async with asyncio.timeout(head_timeout_s):
                response = await session.request(
                    method, url, headers=headers, data=body, allow_redirects=False
                )
        except asyncio.CancelledError:
            sending.abort()
            raise
        except aiohttp.ClientConnectorError as error:
            # No connection was made, so nothing was sent.
            raise NotAccepted(_describe(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                raise NotAccepted(_describe(error)) from error
            sending.abort()
            raise AttemptBroken(_describe(error)) from error
        finally:
            _sending.reset(token)
        if response.headers.get(REQUEST_ID_HEADER) != request_id:
            response.close()
            self._metrics.count("crossed_answers_total")
            raise MismatchedResponse("response carries another request's identifier")
        if (
            response.status == 503
            and response.headers.get(NOT_ACCEPTED_HEADER, "").lower() == "true"
        ):
            response.close()
            raise NotAccepted("backend server did not accept the request")
        return BackendResponse(response, self._idle_timeout_s)

    async def cancel(self, address, request_id):
        """Ask an engine to cancel a request; failures are only counted.

        An engine that cannot be reached notices the closed connection itself.
        """
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                response = await self._pooled_session.delete(
                    _url(address, f"/requests/{request_id}")
                )
                response.close()
        except (aiohttp.ClientError, OSError, TimeoutError):
            self._metrics.count("cancel_failures_total")


def _url(address, target):
    return yarl.URL(f"http://{address}{target}", encoded=True)


def _describe(error):
    return f"{type(error).__name__}: {error}"[:200]
