"""Limits on what a VM keeps of what callers send."""

import asyncio
import contextlib

import pytest

from cassiamount.metrics import Metrics
from cassiamount.request_pieces import HEAD_END, MAX_HEADS, RequestPieces
from cassiamount.serving import (
    EXCESS_LINES_BYTES,
    FREE_HEAD_LINES,
    HEAD_LINE_BYTES,
    MAX_READ_BYTES,
    MAX_WAITING_BYTES,
    CallerProtocol,
    EdgeServer,
    open_listener,
)

REQUESTS = 2_000
TRICKY = b"\r\n\r\n0\r\n\r\nGET /no HTTP/1.1\r\n\r\n"


class CountingProtocol(CallerProtocol):
    """Counts how far the parser gets ahead of the answers."""

    def connection_made(self, transport):
        super().connection_made(transport)
        self.counts = self.caller_limits()
        self.counts["open"] = self

    def on_headers_complete(self):
        super().on_headers_complete()
        self.counts["unanswered"] += 1
        self.counts["most_unanswered"] = max(
            self.counts["most_unanswered"], self.counts["unanswered"]
        )

    def on_response_complete(self):
        self.counts["unanswered"] -= 1
        self.counts["most_waiting"] = max(
            self.counts["most_waiting"], len(self._waiting or b"")
        )
        super().on_response_complete()

    def _parse_piece(self, data):
        self.counts["pieces"] += 1
        super()._parse_piece(data)


class Site:
    """A server whose application repeats the path and the body of a request."""

    def __init__(self, max_connections=100):
        self.counts = dict.fromkeys(
            ("unanswered", "most_unanswered", "most_waiting", "pieces"), 0
        )
        self.disconnected = asyncio.Event()
        self.go = asyncio.Event()
        self.go.set()
        listener = open_listener("127.0.0.1", 0)
        self.port = listener.getsockname()[1]
        self.server = EdgeServer(
            self.app,
            listener,
            Metrics(),
            max_connections=max_connections,
            base_protocol=CountingProtocol,
            caller_limits=lambda: self.counts,
        )

    async def app(self, scope, receive, send):
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        if scope["path"] == "/headers":
            body = b",".join(name for name, _ in scope["headers"])
        if scope["path"] == "/watch":
            while (await receive())["type"] != "http.disconnect":
                pass
            self.disconnected.set()
            return
        watcher = asyncio.create_task(receive())
        await self.go.wait()
        watcher.cancel()
        answer = scope["path"].encode() + b"=" + body + b";"
        headers = [(b"content-length", b"%d" % len(answer))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": answer})

    async def exchange(self, *parts):
        """Send bytes in parts; return the answers' bodies up to the one to /last."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        sending = asyncio.create_task(_send(writer, parts))
        bodies = []
        try:
            async with asyncio.timeout(60):
                while not bodies or not bodies[-1].startswith(b"/last="):
                    head = await reader.readuntil(b"\r\n\r\n")
                    assert head.startswith(b"HTTP/1.1 200"), head
                    size = head.lower().partition(b"content-length: ")[2].split()[0]
                    bodies.append(await reader.readexactly(int(size)))
        finally:
            sending.cancel()
            writer.close()
        return bodies


async def _send(writer, parts):
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.001)


@pytest.fixture
async def site():
    site = Site()
    await site.server.start()
    yield site
    site.go.set()
    await site.server.stop(2_000)


def encode(path, body=None, chunk_bytes=None):
    """Return a request; its body has a length, or is sent in chunks."""
    head = b"POST %s HTTP/1.1\r\nHost: a\r\n" % path
    if body is None:
        return b"GET %s HTTP/1.1\r\n\r\n" % path
    if chunk_bytes is None:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = [body[i : i + chunk_bytes] for i in range(0, len(body), chunk_bytes)]
    data = b"".join(b"%x;a=b\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + data + b"0\r\nT: u\r\n\r\n"


@pytest.mark.parametrize(
    ("body", "chunk_bytes", "most"),
    [
        (None, None, 1),
        (b"x" * 90, None, 1),
        (TRICKY, None, 1),
        (TRICKY, 7, 1 + MAX_HEADS),
        (TRICKY, 500, 1 + MAX_HEADS),
        (b"", 1, 1 + MAX_HEADS),
    ],
    ids=["plain", "length", "tricky-length", "tricky-chunks", "tricky-chunk", "empty"],
)
async def test_pipelined_requests_wait_as_bytes(site, body, chunk_bytes, most):
    """Guards against a caller that fills the memory with requests ahead of answers."""
    site.go.clear()
    paths = [b"/%d" % number for number in range(REQUESTS)] + [b"/last"]
    data = b"".join(encode(path, body, chunk_bytes) for path in paths)
    answers = asyncio.create_task(site.exchange(data))
    while not site.counts["unanswered"]:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    site.go.set()
    assert await answers == [path + b"=" + (body or b"") + b";" for path in paths]
    assert site.counts["most_unanswered"] <= most
    assert 0 < site.counts["most_waiting"] <= MAX_WAITING_BYTES + MAX_READ_BYTES


def test_pieces_hold_one_end_of_a_head_however_they_arrive():
    """Guards against heads that are parsed ahead as an end came in two reads."""
    data = encode(b"/a") + encode(b"/b", TRICKY) + encode(b"/c") + b"\r\n\r"
    ends = {i + 4 for i in range(len(data)) if data[i : i + 4] == HEAD_END}
    for first in range(len(data) + 1):
        for second in range(first, len(data) + 1, 3):
            pieces = RequestPieces()
            cuts = {0}
            for part in (data[:first], data[first:second], data[second:]):
                start = 0
                base = max(cuts)
                while start < len(part):
                    start = pieces.next_end(part, start, False, 0)
                    cuts.add(base + start)
            assert ends <= cuts, (first, second)


async def test_body_split_at_any_point(site):
    """Guards against bytes that are lost or read twice where a read ends."""
    requests = [encode(b"/a"), encode(b"/b", TRICKY), encode(b"/c", TRICKY, 9)]
    data = b"".join(requests) + encode(b"/last")
    expected = [b"/a=;", b"/b=%b;" % TRICKY, b"/c=%b;" % TRICKY, b"/last=;"]
    for first in range(1, len(data), 2):
        assert await site.exchange(data[:first], data[first:]) == expected


@pytest.mark.parametrize(
    ("chunk_bytes", "most_pieces"), [(None, 100), (1 << 20, 1 << 15)]
)
async def test_body_of_head_ends_costs_few_pieces(site, chunk_bytes, most_pieces):
    """Guards against a body that is slow to parse as each of its lines may end it."""
    body = b"\r\n\r\n" * (1 << 18)
    answers = await site.exchange(encode(b"/last", body, chunk_bytes))
    assert answers == [b"/last=" + body + b";"]
    assert site.counts["pieces"] <= most_pieces


@pytest.mark.parametrize(
    "start",
    [b"1;x=", b"1\r\na\r\n0\r\nTrailer: ", b"1\r\na\r\n0\r\n"],
    ids=["chunk-extension", "trailer", "trailers"],
)
async def test_framing_of_a_body_without_end_is_refused(site, start):
    """Guards against parts of a body that no limit on heads or bodies counts."""
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + start)
    line = b"a: b\r\n" if start.endswith(b"\n") else b"xxxxxx"
    writer.write(line * 40_000)
    async with asyncio.timeout(60):
        assert (await reader.read(100)).startswith(b"HTTP/1.1 431 ")
    writer.close()


async def test_trailers_do_not_become_headers(site):
    """Guards against trailers that a backend server gets as headers of the request."""
    request = encode(b"/headers", b"x", 1) + encode(b"/last")
    answers = await site.exchange(request.replace(b"T: u", b"X-Team: other"))
    assert answers[0] == b"/headers=host,transfer-encoding;"


async def test_heads_of_many_lines_are_refused_only_together(site):
    """Guards against heads that take many times their bytes as objects, and against
    the refusal of one of legal size."""
    head = b"GET /last HTTP/1.1\r\n" + b"a: b\r\n" * 2_000
    assert await site.exchange(head + b"\r\n") == [b"/last=;"]
    most = EXCESS_LINES_BYTES // ((2_000 - FREE_HEAD_LINES) * HEAD_LINE_BYTES)
    writers = []
    async with asyncio.timeout(60):
        for _ in range(most):
            _, writer = await asyncio.open_connection("127.0.0.1", site.port)
            writer.write(head)
            writers.append(writer)
        answer = b""
        while not answer.startswith(b"HTTP/1.1 503 "):
            reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
            writer.write(head)
            writers.append(writer)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    answer = await reader.read(100)
    assert await site.exchange(encode(b"/last")) == [b"/last=;"]
    for writer in writers:
        writer.close()


async def test_bodies_that_stand_still_leave_their_connections_to_others():
    """Guards against clients whose unfinished bodies take all connections for good."""
    site = Site(max_connections=3)
    await site.server.start()
    writers = []
    for _ in range(3):
        _, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx")
        writers.append(writer)
    try:
        async with asyncio.timeout(60):
            while True:
                try:
                    assert await site.exchange(encode(b"/last")) == [b"/last=;"]
                    break
                except (OSError, asyncio.IncompleteReadError):
                    await asyncio.sleep(0.1)
    finally:
        for writer in writers:
            writer.close()
        await site.server.stop(2_000)


async def test_stop_answers_requests_that_wait_as_bytes(site):
    """Guards against a planned stop that drops what had come before it."""
    site.go.clear()
    paths = [b"/%d" % number for number in range(20)] + [b"/last"]
    answers = asyncio.create_task(site.exchange(b"".join(map(encode, paths))))
    while not site.counts["unanswered"]:
        await asyncio.sleep(0.01)
    stopping = asyncio.create_task(site.server.stop(10_000))
    await asyncio.sleep(0.2)
    site.go.set()
    assert len(await answers) == len(paths)
    assert await stopping == 0


async def test_caller_that_leaves_with_requests_waiting_is_noticed(site):
    """Guards against work for a caller that has gone, as its connection is not read."""
    _, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(encode(b"/watch") + encode(b"/a") * 5)
    while not site.counts["unanswered"]:
        await asyncio.sleep(0.01)
    writer.close()
    async with asyncio.timeout(60):
        await site.disconnected.wait()
