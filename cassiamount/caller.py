"""The caller's side of one request: reading the body, sending the answer."""

import asyncio

import structlog

from .answers import CallerGone, error_body
from .body_budget import BodyBudget
from .json_cost import parsed_bytes
from .memory_plan import FREE_BYTES
from .requests import Refusal

# A longer part of an answer is written piece by piece, so that no more of it than the
# connection's write buffer is held a second time.
MAX_WRITE_BYTES = 8 << 10
# Key in the scope of a function that writes a part of an answer at once, and returns
# False if the part has to go through the send channel; servers may leave it out.
WRITE_PART = "cassiamount.write_part"
# Key in the scope of a function that tells whether a pipelined request follows.
IS_FOLLOWED = "cassiamount.is_followed"
# Key in the scope of a function that tells whether the caller has closed its
# connection, also if the server has not read that yet.
HAS_LEFT = "cassiamount.has_left"

log = structlog.get_logger()


def _never(data):
    return False


def _no_request_follows():
    return False


def has_not_left():
    """Return False, for servers that can't tell."""
    return False


async def _discard_message(message):
    pass


class RefusedError(Exception):
    """Ends the handling of a request with a refusal.

    Parameters
    ----------
    refusal : Refusal
    param : str, optional
        Name of the field at fault.
    """

    def __init__(self, refusal, param=None):
        super().__init__(refusal.code)
        self.refusal = refusal
        self.param = param


def refuse(status, code, message, param=None, retry_after_s=None):
    """Return the exception for a request that was not run."""
    refusal = Refusal(status, code, message, retry_after_s=retry_after_s)
    return RefusedError(refusal, param)


class Caller:
    """Sends one answer over ASGI.

    Parameters
    ----------
    send : callable
        ASGI send channel.
    request_id : str
    stall_s : float
        A caller that reads nothing for this long is treated as gone; what is held
        for it meanwhile is bounded by the connection's write buffer.
    write_part, is_followed, has_left : callable, optional
        The values of `WRITE_PART`, `IS_FOLLOWED` and `HAS_LEFT` in the scope.
    """

    __slots__ = (
        "request_id",
        "status",
        "code",
        "started",
        "finished",
        "close",
        "writes",
        "has_left",
        "_is_followed",
        "_writing",
        "_write_part",
        "_send",
        "_stall_s",
        "_events",
    )

    def __init__(
        self,
        send,
        request_id,
        stall_s,
        write_part=None,
        is_followed=None,
        has_left=None,
    ):
        self.has_left = has_left or has_not_left
        self.request_id = request_id
        self.status = 0
        self.code = ""
        self.started = False
        self.finished = False
        # Set to ask the caller to open a new connection for its next request.
        self.close = False
        self._is_followed = is_followed or _no_request_follows
        self.writes = 0
        self._writing = False
        self._send = send
        self._write_part = write_part or _never
        self._stall_s = stall_s
        self._events = False

    async def start(self, status, headers):
        """Send the head of an answer."""
        self.started = True
        self.status = status
        sent = [*headers, (b"x-request-id", self.request_id.encode())]
        # A request that follows has been read, and so has the body of this one.
        if self.close and not self._is_followed():
            sent.append((b"connection", b"close"))
        self._events = any(
            value.startswith(b"text/event-stream") for _, value in headers
        )
        await self._send(
            {"type": "http.response.start", "status": status, "headers": sent}
        )

    async def write(self, data):
        """Send a part of the body, at the speed of the caller.

        Raises
        ------
        CallerGone
        """
        for start in range(0, len(data), MAX_WRITE_BYTES):
            await self._write(data[start : start + MAX_WRITE_BYTES])

    async def _write(self, data):
        self.writes += 1
        if self._write_part(data):
            return
        self._writing = True
        try:
            await self._send(
                {"type": "http.response.body", "body": data, "more_body": True}
            )
        except OSError as error:
            raise CallerGone("the connection failed") from error
        finally:
            self._writing = False

    async def end(self):
        """End the answer."""
        await self._last(b"")
        self.finished = True

    async def respond(self, status, headers, body):
        """Send a whole answer."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        if len(body) > MAX_WRITE_BYTES:
            await self.write(body)
            body = b""
        await self._last(body)
        self.finished = True

    async def refuse(self, refusal, param=None):
        """Send a refusal, or break the answer off if it has begun.

        A broken-off event stream ends with an event that carries the error. The
        connection is closed without the end of the body, so that no caller takes a
        part for the whole.
        """
        self.code = refusal.code
        if self.finished:
            return
        if self.started:
            if self._events:
                event = b"data: " + error_body(refusal, param) + b"\n\n"
                await self.write(event)
            raise CallerGone("the answer was broken off")
        headers = [(b"content-type", b"application/json")]
        if refusal.retry_after_s is not None:
            seconds = max(1, int(-(-refusal.retry_after_s // 1)))
            headers.append((b"retry-after", str(seconds).encode()))
        if refusal.status == 401:
            headers.append((b"www-authenticate", b"Bearer"))
        await self.respond(refusal.status, headers, error_body(refusal, param))

    async def _last(self, data):
        self._writing = True
        try:
            await self._send({"type": "http.response.body", "body": data})
        except OSError as error:
            raise CallerGone("the connection failed") from error
        finally:
            self._writing = False

    def detach(self):
        """Drop what is still sent; the answer was completed or broken off."""
        self.finished = True
        self._send = _discard_message
        self._write_part = _never

    def watch(self, on_stall):
        """Call `on_stall` once if a write is held up for `stall_s` or longer.

        One timer for each answer costs much less than a timeout for each write. A
        caller is given one to two times `stall_s`.

        Returns
        -------
        callable
            Ends the watch.
        """
        loop = asyncio.get_running_loop()
        timer, writes_before = None, -1

        def look():
            nonlocal timer, writes_before
            if self._writing and self.writes == writes_before:
                on_stall()
                return
            writes_before = self.writes
            timer = loop.call_later(self._stall_s, look)

        look()
        return lambda: timer.cancel()


class BodyReader:
    """Reads request bodies within limits shared by all requests.

    Parameters
    ----------
    limits : EdgeLimits
    clock : SystemClock or ManualClock
    metrics : Metrics
    """

    __slots__ = ("limits", "_budget", "_metrics")

    def __init__(self, limits, clock, metrics):
        self.limits = limits
        self._metrics = metrics
        self._budget = BodyBudget(
            limits.held_body_bytes, FREE_BYTES, clock.monotonic_ms, metrics
        )

    @property
    def held_bytes(self):
        """Bytes of the bodies of all current requests."""
        return self._budget.held_bytes

    def check_length(self, length):
        """Refuse a declared length over the limit before anything is read.

        Parameters
        ----------
        length : bytes or None
            Value of Content-Length.
        """
        if length is not None and length.isdigit():
            if len(length) > 18 or int(length) > self.limits.body_bytes:
                raise self._too_large()

    async def read(self, receive, held):
        """Return the body.

        Parameters
        ----------
        receive : callable
            ASGI receive channel.
        held : HeldBody
            Counts the bytes, which the request gives back with `release` at its end.

        Raises
        ------
        RefusedError, CallerGone
        """
        # Parts in a list would take many times their size if each has a few bytes.
        body = bytearray()
        task = asyncio.current_task()

        def displace():
            body.clear()
            task.cancel()

        held.on_displaced = displace
        try:
            message = await self._message(receive)
            body += self._part(message, held)
            if message.get("more_body"):
                await self._read_rest(receive, held, body)
        except asyncio.CancelledError:
            if not held.is_displaced or task.uncancel() > 0:
                raise
            raise self._no_room(
                "the body made no progress while others needed its memory"
            ) from None
        finally:
            self._budget.complete(held)
        whole = bytes(body)
        body.clear()
        return whole

    async def _read_rest(self, receive, held, body):
        try:
            async with asyncio.timeout(self.limits.body_timeout_ms / 1000):
                message = None
                while message is None or message.get("more_body"):
                    message = await receive()
                    body += self._part(message, held)
        except TimeoutError:
            raise refuse(408, "body_timeout", "the body arrives too slowly") from None

    async def _message(self, receive):
        try:
            async with asyncio.timeout(self.limits.body_timeout_ms / 1000):
                return await receive()
        except TimeoutError:
            raise refuse(408, "body_timeout", "the body arrives too slowly") from None

    def check_parsed(self, body, held):
        """Count what a body takes once it is parsed, or refuse the request.

        Parameters
        ----------
        body : bytes
        held : HeldBody
            Gives it back with the body.

        Raises
        ------
        RefusedError
        """
        cost_bytes = parsed_bytes(body)
        limit_bytes = self._budget.limit_bytes
        if len(body) + cost_bytes > limit_bytes + FREE_BYTES:
            self._metrics.count("bodies_refused_total", reason="parsed")
            log.info(
                "body_refused",
                bound="held_body_bytes",
                limit_bytes=limit_bytes,
                body_bytes=len(body),
                parsed_bytes=cost_bytes,
            )
            raise refuse(
                413, "body_too_large", "the body's values exceed the VM's memory"
            )
        if not self._budget.take(held, cost_bytes):
            raise self._no_room()

    def drop_parsed(self, body, held):
        """Give back what `check_parsed` counted; only the body is held further."""
        self._budget.resize(held, len(body))

    def _part(self, message, held):
        if message["type"] == "http.disconnect":
            raise CallerGone("the caller disconnected while sending")
        part = message.get("body", b"")
        if held.size_bytes + len(part) > self.limits.body_bytes:
            raise self._too_large()
        if not self._budget.take(held, len(part)):
            raise self._no_room()
        return part

    def _no_room(self, message=None):
        self._metrics.count("bodies_refused_total", reason="budget")
        log.info(
            "body_refused",
            bound="held_body_bytes",
            limit_bytes=self._budget.limit_bytes,
            held_bytes=self._budget.held_bytes,
        )
        message = message or (
            "the bodies of current requests take up all memory set aside for them"
        )
        return refuse(503, "not_run", message, retry_after_s=1)

    def release(self, held):
        """Give back the bytes of a request that ended."""
        self._budget.release(held)

    def _too_large(self):
        limit = self.limits.body_bytes
        return refuse(413, "body_too_large", f"the body exceeds {limit} bytes")
