"""Tests of connections to backend servers and of their pool."""

import asyncio
import socket
import struct

import pytest

from cassiamount.backend_client import AttemptBroken, BackendClient
from cassiamount.backend_connection import (
    MAX_QUEUED_BYTES,
    MAX_READ_BYTES,
    ConnectionPool,
)
from cassiamount.backend_messages import (
    BodyChunk,
    ResponseComplete,
    ResponseFailed,
    ResponseHead,
)
from cassiamount.clock import ManualClock
from cassiamount.metrics import Metrics
from cassiamount.platform.headers import decode_response


def response(request_id, body, status=200, extra=b""):
    return (
        b"HTTP/1.1 %d X\r\nX-Cassiamount-Request-Id: %b\r\n%bContent-Length: %d\r\n\r\n"
        b"%b" % (status, request_id, extra, len(body), body)
    )


CHUNKED = (
    b"HTTP/1.1 200 X\r\nX-Cassiamount-Request-Id: r1\r\nTransfer-Encoding: chunked"
)
READ_UNTIL_CLOSE = b"HTTP/1.1 200 X\r\nX-Cassiamount-Request-Id: r1\r\n\r\nabc"


class ScriptedServer:
    """A server that runs the next script of bytes, closes and resets per request."""

    def __init__(self):
        self.scripts = []
        self.requests = []
        self.connections = 0
        self.server = None
        self._handlers = {}

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        self.connections += 1
        self._handlers[writer] = asyncio.current_task()
        try:
            while self.scripts:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                for step in self.scripts.pop(0):
                    if step == "reset":
                        sock = writer.transport.get_extra_info("socket")
                        linger = struct.pack("ii", 1, 0)
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                        writer.transport.abort()
                        return
                    if step == "close":
                        writer.close()
                        return
                    writer.write(step)
                    await writer.drain()
                    await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    async def stop(self):
        """Close all connections; a writer must not outlive its event loop."""
        self.server.close()
        for writer in self._handlers:
            writer.transport.abort()
        await asyncio.gather(*self._handlers.values())


@pytest.fixture
async def backend():
    backend = ScriptedServer()
    await backend.start()
    yield backend
    await backend.stop()


async def send_request(pool, address, request_id="r1"):
    """Send a request; return ``whole`` or ``broken``, and the body."""
    connection = pool.acquire_idle(address, request_id) or await pool.open(address)
    connection.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", request_id)
    body = b""
    async with asyncio.timeout(20):
        while True:
            message = await connection.receive()
            if isinstance(message, BodyChunk):
                body += message.data
            elif isinstance(message, ResponseComplete):
                pool.release(connection)
                return "whole", body
            elif isinstance(message, ResponseFailed):
                return "broken", body
            else:
                assert isinstance(message, ResponseHead)


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        ([response(b"r1", b"abc")], ("whole", b"abc")),
        ([response(b"old", b"zzz") + response(b"r1", b"abc")], ("whole", b"abc")),
        ([response(b"old", b"z", 500), response(b"r1", b"abc")], ("whole", b"abc")),
        ([b"HTTP/1.1 100 Continue\r\n\r\n", response(b"r1", b"a")], ("whole", b"a")),
        ([CHUNKED + b"\r\n\r\n3\r\nabc\r\n0\r\n\r\n"], ("whole", b"abc")),
        ([CHUNKED + b"\r\n\r\n3\r\nabc\r\n", "close"], ("broken", b"abc")),
        ([READ_UNTIL_CLOSE, "close"], ("whole", b"abc")),
        ([READ_UNTIL_CLOSE, "reset"], ("broken", None)),
        ([response(b"r1", b"abc")[:-1], "close"], ("broken", b"ab")),
        ([response(b"old", b"zzz"), "close"], ("broken", b"")),
        ([b"garbage\r\n\r\n"], ("broken", b"")),
        (["reset"], ("broken", b"")),
        (["close"], ("broken", b"")),
    ],
    ids=[
        "whole",
        "foreign-before",
        "foreign-failure-before",
        "continue",
        "chunked",
        "chunked-cut",
        "until-close",
        "until-close-reset",
        "cut",
        "only-foreign",
        "garbage",
        "reset",
        "closed",
    ],
)
async def test_responses(backend, script, outcome):
    """Guards against accepting truncated, joined or other requests' responses."""
    backend.scripts = [script]
    kind, body = await send_request(
        ConnectionPool(decode_response, ManualClock()), backend.address
    )
    assert kind == outcome[0]
    assert outcome[1] is None or body == outcome[1]


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "again"),
    [
        (b"HTTP/1.1 200 ", b"X" * 1_000),
        (b"HTTP/1.1 200 X\r\nA: ", b"x" * 1_000),
        (b"HTTP/1.1 200 X\r\n", b"x" * 1_000),
        (b"HTTP/1.1 200 X\r\n", b"A: b\r\n" * 200),
        (b"", INTERIM * 25),
        (INTERIM * 25 + b"HTTP/1.1 200 X\r\nA: ", b"x" * 1_000),
        (response(b"old", b"z" * 70_000) + b"HTTP/1.1 200 X\r\nA: ", b"x" * 1_000),
        (CHUNKED + b"\r\n\r\n1;a=", b"x" * 1_000),
        (CHUNKED + b"\r\n\r\n", b"0" * 1_000),
        (CHUNKED + b"\r\n\r\n1\r\na\r\n0\r\nT: ", b"x" * 1_000),
        (CHUNKED + b"\r\n\r\n1\r\na\r\n0\r\n", b"T: u\r\n" * 200),
    ],
    ids=[
        "status-line",
        "header-value",
        "header-name",
        "headers",
        "interim",
        "interim-before",
        "foreign-before",
        "chunk-extension",
        "chunk-size",
        "trailer",
        "trailers",
    ],
)
@pytest.mark.parametrize("pieces", [1, 40], ids=["at-once", "pieces"])
async def test_answer_without_end_is_broken(backend, start, again, pieces):
    """Guards against a VM that is killed for the memory of what a replica sends."""
    backend.scripts = [[start] + [again * (400 // pieces)] * pieces * 2]
    pool = ConnectionPool(decode_response, ManualClock())
    kind, _ = await send_request(pool, backend.address)
    assert kind == "broken"
    assert pool.acquire_idle(backend.address, "r1") is None


@pytest.mark.parametrize("size", [1_000, 4_000_000])
async def test_long_answers_are_no_answers_without_end(backend, size):
    """Guards against a bound on heads that counts bytes of bodies or many answers."""
    body = b"x" * size
    chunks = b"".join(b"1;a=b\r\nx\r\n" for _ in range(20_000))
    scripts = [
        [INTERIM, response(b"r1", body)],
        [response(b"r1", body)],
        [CHUNKED + b"\r\n\r\n", chunks, b"0\r\nT: u\r\n\r\n"],
    ]
    pool = ConnectionPool(decode_response, ManualClock())
    for number, expected in enumerate((body, body, b"x" * 20_000)):
        backend.scripts = [scripts[number]]
        assert await send_request(pool, backend.address) == ("whole", expected)
        pool.close()


async def test_trailers_are_no_headers(backend):
    """Guards against headers that a caller gets from behind the body they describe."""
    trailer = b"\r\n\r\n1\r\na\r\n0\r\nRetry-After: 9\r\n\r\n"
    backend.scripts = [[CHUNKED + trailer]]
    pool = ConnectionPool(decode_response, ManualClock())
    connection = await pool.open(backend.address)
    connection.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "r1")
    head = await connection.receive()
    while not isinstance(await connection.receive(), ResponseComplete):
        pass
    assert b"retry-after" not in dict(head.headers)
    pool.close()


async def test_reading_pauses_while_many_bytes_wait(backend):
    """Guards against bodies that are kept whole for callers that read slowly."""
    backend.scripts = [[response(b"r1", b"x" * 8_000_000)]]
    pool = ConnectionPool(decode_response, ManualClock())
    connection = await pool.open(backend.address)
    connection.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "r1")
    head = await connection.receive()
    assert isinstance(head, ResponseHead)
    size = most = 0
    while not isinstance(message := await connection.receive(), ResponseComplete):
        size += len(message.data)
        await asyncio.sleep(0.005)
        waiting = [getattr(item, "data", b"") for item in connection.messages._queue]
        most = max(most, sum(map(len, waiting)))
    assert size == 8_000_000
    assert most <= MAX_QUEUED_BYTES + MAX_READ_BYTES
    pool.close()


async def test_connection_is_reused(backend):
    """Guards against the cost of a new connection for each request."""
    backend.scripts = [[response(b"r1", b"1")], [response(b"r2", b"2")]]
    pool = ConnectionPool(decode_response, ManualClock())
    assert await send_request(pool, backend.address, "r1") == ("whole", b"1")
    assert await send_request(pool, backend.address, "r2") == ("whole", b"2")
    assert backend.connections == 1


@pytest.mark.parametrize(
    ("first", "idle_ms"),
    [
        (response(b"r1", b"1", extra=b"Connection: close\r\n"), 0),
        (response(b"r1", b"1", extra=b"Keep-Alive: timeout=1\r\n"), 800),
        (response(b"r1", b"1"), 1_500),
    ],
    ids=["close", "stated-idle", "default-idle"],
)
async def test_connection_that_may_close_is_not_reused(backend, first, idle_ms):
    """Guards against a request sent while the backend server closes the connection."""
    clock = ManualClock()
    backend.scripts = [[first], [response(b"r2", b"2")]]
    pool = ConnectionPool(decode_response, clock)
    await send_request(pool, backend.address, "r1")
    clock.advance(idle_ms)
    assert await send_request(pool, backend.address, "r2") == ("whole", b"2")
    assert backend.connections == 2


async def test_bytes_without_a_request_close_the_connection(backend):
    """Guards against taking extra bytes for the next response."""
    late = response(b"r1", b"again")
    backend.scripts = [[response(b"r1", b"1") + late], [response(b"r2", b"2")]]
    pool = ConnectionPool(decode_response, ManualClock())
    assert await send_request(pool, backend.address, "r1") == ("whole", b"1")
    assert await send_request(pool, backend.address, "r2") == ("whole", b"2")


NOT_RUN = b"X-Cassiamount-Not-Executed: 1\r\n"
REFUSAL = response(b"r1", b"full", 503, NOT_RUN)
REFUSAL_WITHOUT_ID = REFUSAL.replace(b"X-Cassiamount-Request-Id: r1\r\n", b"")


@pytest.mark.parametrize("request_id", ["r2", ""], ids=["id", "no-id"])
@pytest.mark.parametrize(
    ("again", "answer"),
    [
        (REFUSAL, ("whole", b"2")),
        (REFUSAL + REFUSAL, ("whole", b"2")),
        (REFUSAL_WITHOUT_ID, ("broken", b"")),
        (response(b"", b"old"), ("broken", b"")),
    ],
    ids=["refusal", "twice", "refusal-without-id", "answer-without-id"],
)
async def test_earlier_answer_once_more(backend, again, answer, request_id):
    """Guards against an earlier refusal that is taken for one of the next request."""
    own = response(request_id.encode(), b"2")
    backend.scripts = [[REFUSAL], [again, own], [own]]
    pool = ConnectionPool(decode_response, ManualClock())
    assert await send_request(pool, backend.address, "r1") == ("whole", b"full")
    result = await send_request(pool, backend.address, request_id)
    if request_id:
        assert result == answer
    else:
        # Answers to a request without an ID are told apart by their connection.
        assert backend.connections == 2


async def test_first_answer_on_a_connection_needs_no_id(backend):
    """Guards against rejecting the answers of servers that get no ID."""
    backend.scripts = [[REFUSAL_WITHOUT_ID]]
    pool = ConnectionPool(decode_response, ManualClock())
    assert await send_request(pool, backend.address, "r1") == ("whole", b"full")


@pytest.mark.parametrize("cut", [1, 20, len(REFUSAL)])
async def test_bytes_beyond_an_answer_close_the_connection(backend, cut):
    """Guards against a next request that gets the rest of an earlier answer."""
    backend.scripts = [[REFUSAL + REFUSAL[:cut]], [response(b"r2", b"2")]]
    pool = ConnectionPool(decode_response, ManualClock())
    assert await send_request(pool, backend.address, "r1") == ("whole", b"full")
    assert pool.acquire_idle(backend.address, "r2") is None


async def test_address_without_a_listener():
    """Guards against counting a request as sent although nothing listens."""
    with pytest.raises(OSError):
        await ConnectionPool(decode_response, ManualClock()).open("127.0.0.1:1")


@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("before", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
async def test_answer_that_ends_within_its_head_is_broken(backend, end, before):
    """Guards against a head that was cut anywhere and counts as a whole answer."""
    pool = ConnectionPool(decode_response, ManualClock())
    heads = [response(b"r1", b""), READ_UNTIL_CLOSE[:-3], CHUNKED + b"\r\n\r\n"]
    for head in heads:
        for length in range(len(head) - 1):
            backend.scripts.append([before + head[:length], end])
            assert await send_request(pool, backend.address) == ("broken", b"")
    pool.close()


async def test_call_of_the_own_stack_whose_head_ends_early_is_broken(backend):
    """Guards against the same in the client of the product's own interface."""
    client = BackendClient(Metrics(), idle_timeout_s=5.0)
    await client.start()
    head = b"HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nContent-Length: 3\r\n\r\n"
    for length in range(len(head)):
        backend.scripts.append([head[:length], "close"])
        with pytest.raises(AttemptBroken):
            await client.send(backend.address, "GET", "/", [], b"", "r1", 5.0, True)
    backend.scripts.append([head + b"abc", "close"])
    answer = await client.send(backend.address, "GET", "/", [], b"", "r1", 5.0, True)
    assert await answer.chunk() == b"abc"
    await client.close()
