"""HTTP requests to the platform with time and size limits."""

import aiohttp
import orjson

CONNECT_TIMEOUT_MS = 500
REQUEST_TIMEOUT_MS = 2000
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
READ_CHUNK_BYTES = 256 * 1024


class NothingSent(Exception):
    """The connection failed before any part of the request was sent."""


class ResponseLost(Exception):
    """No usable response arrived; the request may have taken effect."""


class ResponseTooLarge(ResponseLost):
    """The response exceeds the size limit.

    Parameters
    ----------
    message : str
    status : int
    beginning : bytes
        The first bytes of the body.
    """

    def __init__(self, message, status, beginning):
        super().__init__(message)
        self.status = status
        self.beginning = beginning


class UnreadableBody(Exception):
    """The body exceeds the size limit or is encoded.

    Parameters
    ----------
    message : str
    beginning : bytes
        The first bytes of the body.
    """

    def __init__(self, message, beginning):
        super().__init__(message)
        self.beginning = beginning


async def read_body(response, max_bytes):
    """Return the whole body of an aiohttp response.

    Raises
    ------
    UnreadableBody
    """
    if response.headers.get("Content-Encoding", "identity") != "identity":
        raise UnreadableBody("the body is encoded", b"")
    chunks = []
    size_bytes = 0
    async for chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            raise UnreadableBody(
                f"the response is longer than {max_bytes} bytes",
                chunks[0] if chunks else chunk,
            )
        chunks.append(chunk)
    return b"".join(chunks)


class PlatformResponse:
    """Status and body of a response.

    Parameters
    ----------
    status : int
    body : bytes
    """

    __slots__ = ("status", "body")

    def __init__(self, status, body):
        self.status = status
        self.body = body

    def json(self):
        """Return the parsed body, or None if it is not JSON."""
        try:
            return orjson.loads(self.body)
        except ValueError:
            return None


class PlatformHttp:
    """A connection pool to one service of the platform.

    Parameters
    ----------
    base_url : str
        For example ``http://127.0.0.1:9000``.
    connect_timeout_ms, request_timeout_ms : float
        The request timeout includes the connect timeout.
    max_response_bytes : int
    """

    __slots__ = (
        "base_url",
        "_connect_timeout_ms",
        "_request_timeout_ms",
        "_max_response_bytes",
        "_session",
    )

    def __init__(
        self,
        base_url,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        request_timeout_ms=REQUEST_TIMEOUT_MS,
        max_response_bytes=MAX_RESPONSE_BYTES,
    ):
        self.base_url = base_url.rstrip("/")
        self._connect_timeout_ms = connect_timeout_ms
        self._request_timeout_ms = request_timeout_ms
        self._max_response_bytes = max_response_bytes
        self._session = None

    async def request(self, method, path, params=None, body=None, wait_ms=0):
        """Send one request and read its whole response.

        Parameters
        ----------
        method, path : str
        params : dict, optional
        body : bytes, optional
            JSON.
        wait_ms : float
            Time that the service may take on purpose, added to the timeout.

        Returns
        -------
        PlatformResponse

        Raises
        ------
        NothingSent, ResponseLost
        """
        # Connecting must time out before the whole request does; a timeout of the
        # request then always means that something may have been sent.
        timeout = aiohttp.ClientTimeout(
            total=(self._connect_timeout_ms + self._request_timeout_ms + wait_ms)
            / 1000,
            connect=self._connect_timeout_ms / 1000,
        )
        headers = {} if body is None else {"Content-Type": "application/json"}
        try:
            async with self._open_session().request(
                method,
                self.base_url + path,
                params=params,
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return PlatformResponse(response.status, await self._read(response))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise NothingSent(f"{method} {path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ResponseLost(f"{method} {path}: {error!r}") from error

    async def _read(self, response):
        try:
            return await read_body(response, self._max_response_bytes)
        except UnreadableBody as error:
            raise ResponseTooLarge(
                str(error), response.status, error.beginning
            ) from error

    def _open_session(self):
        if self._session is None:
            # The response must arrive as it is; a compressed one could be far
            # larger than the size limit once it is unpacked.
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=("Accept-Encoding",),
            )
        return self._session

    async def close(self):
        """Close the pool's connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None
