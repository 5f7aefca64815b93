"""Memory of VM processes under clients that keep to no limit.

The clients send without end, or large bodies of legal size whose ends stay away. The
bounds are the targets: the memory and descriptors of the smallest VM.
"""

import asyncio
import contextlib
import itertools
import socket

import pytest

from tests.client_load import (
    PIECE_BYTES,
    Client,
    ClientLoad,
    ProcessMemory,
    ask,
    exchange,
)
from tests.fleet_fixtures import HOST, KEY, Fleet, configuration
from tests.process_deployment import MODEL, Deployment
from tests.process_harness import ProcessHarness
from tests.soak import VmProcess

pytestmark = pytest.mark.memory

# The smallest VM.
MEMORY_MB = 160
DESCRIPTORS = 3_075
BODY_BYTES = 4 << 20
HEADER_BYTES = 16 << 10
# One of so many clients sends its body whole; the others stop short of its end.
WHOLE_SHARE = 4


class FleetStack:
    """A VM on the users' platform."""

    def __init__(self, folder):
        self._folder = folder
        self._fleet = Fleet()
        self._vm = None

    async def start(self):
        fleet = self._fleet
        await fleet.start()
        document = configuration()
        document["Limits"]["MaxBodyBytes"] = BODY_BYTES
        fleet.store.put("keyed.op", "config", document)
        await fleet.add_replica("e1", "llm", {"m1": []})
        await fleet.add_replica("s1", "shop")
        self._vm = VmProcess("v1", 0, fleet.store_port, self._folder)
        with self._vm.settings_file.open("a") as file:
            limits = f"{{MemoryMb: {MEMORY_MB}, MaxFds: {DESCRIPTORS}}}"
            file.write(f"\nLimits: {limits}\n")
        await self._vm.start()
        self.address = "127.0.0.1", self._vm.ports[0]
        self.memory = ProcessMemory(self._vm.process.pid)
        self.ordinary = self.head("/look/1", "GET", "ordinary") + b"\r\n"

    async def stop(self):
        if self._vm is not None and self._vm.process.returncode is None:
            await self._vm.end("kill")
        await self._fleet.stop()

    @property
    def running(self):
        return self._vm.process.returncode is None

    def output(self):
        return self._vm.log_file.read_text()[-2_000:]

    def add_server(self, name, service, address):
        self._fleet.store.put(
            "keyed.servers",
            name,
            {
                "Service": service,
                "Address": address,
                "Zone": "z1",
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "Models": [],
                "Seq": 1,
                "born": 1,
            },
        )

    def remove_server(self, name):
        self._fleet.remove_replica(name)

    def head(self, path="/look/1", method="POST", name="client"):
        """Return a head without its empty line."""
        return (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Cassiamount-Request-Id: {name}\r\nAuthorization: Bearer {KEY}\r\n"
        ).encode()


class OwnStack:
    """A VM with the own interface."""

    def __init__(self, folder):
        self._harness = ProcessHarness(folder)
        self._deployment = Deployment(self._harness)
        self._daemon = None

    async def start(self):
        await self._harness.__aenter__()
        await self._deployment.start()
        self._daemon = await self._deployment.start_daemon(
            "vm-1",
            memory_mb=MEMORY_MB,
            max_body_bytes=BODY_BYTES,
            max_header_bytes=HEADER_BYTES,
        )
        host, _, port = self._daemon.settings["listen_address"].rpartition(":")
        self.address = host, int(port)
        self.memory = ProcessMemory(self._daemon.pid)
        self.ordinary = self.head("/services/orders/stock", "GET") + b"\r\n"

    async def stop(self):
        await self._deployment.close()
        if self._daemon is not None and self._daemon.running:
            await self._daemon.kill()
        await self._harness.__aexit__()

    @property
    def running(self):
        return self._daemon.running

    def output(self):
        return self._daemon.log_tail(2_000)

    def head(self, path="/v1/completions", method="POST", name="client"):
        """Return a head without its empty line."""
        key = self._deployment.keys["team-a"]
        return (
            f"{method} {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n"
        ).encode()


STACKS = {"fleet": FleetStack, "own": OwnStack}


@pytest.fixture(params=list(STACKS))
async def stack(request, tmp_path):
    stack = STACKS[request.param](tmp_path)
    try:
        await stack.start()
        yield stack
    finally:
        await stack.stop()


def document(size, item=b"[],"):
    """Return a legal JSON body of exactly `size` bytes."""
    start = b'{"model":"%s","max_tokens":4,"prompt":"a","user":[' % MODEL.encode()
    end = b"0]}"
    count, rest = divmod(size - len(start) - len(end), len(item))
    return start + item * count + b" " * rest + end


LARGE = document(BODY_BYTES)
SMALL = document(128 << 10)


def chunked(body, chunk_bytes):
    """Return a chunked body without its last chunk."""
    if chunk_bytes == 1:
        return b"".join([b"1\r\n%c\r\n" % byte for byte in body])
    chunks = (body[i : i + chunk_bytes] for i in range(0, len(body), chunk_bytes))
    return b"".join([b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks])


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNKS = chunked(LARGE, 256 << 10)
SMALL_CHUNKS = chunked(SMALL, 1)
LAST_CHUNK = b"0\r\n\r\n"


def pieces(data, size):
    view = memoryview(data)
    return [view[i : i + size] for i in range(0, len(data), size)]


def body_clients(stack, count, body, piece_bytes, whole_share=WHOLE_SHARE):
    """Return clients with a body of declared length; most leave out its last byte."""
    head = stack.head() + b"Content-Length: %d\r\n\r\n" % len(body)
    for number in range(count):
        is_whole = whole_share and number % whole_share == 0
        end = len(body) if is_whole else len(body) - 1
        yield [head, *pieces(body[:end], piece_bytes)]


def chunk_clients(stack, count, chunks):
    """Return clients with a chunked body; most leave out its last chunk."""
    for number in range(count):
        end = [LAST_CHUNK] if number % WHOLE_SHARE == 0 else []
        yield [stack.head() + CHUNKED, *pieces(chunks, PIECE_BYTES), *end]


def trailer_clients(stack, count, data, size, piece_bytes, lines=b""):
    """Return clients that send `size` bytes of trailers and no end."""
    data = data * -(-size // len(data))
    start = stack.head() + lines + CHUNKED + b"2\r\n{}\r\n0\r\n"
    if data[:1] == b"x":
        start += b"T: "
    for _ in range(count):
        yield [start, *pieces(data[:size], piece_bytes)]


def head_clients(stack, count, size):
    """Return clients whose heads consist of many short lines and do not end."""
    lines = b"ab: cd\r\n" * (size // 8)
    for _ in range(count):
        yield [stack.head() + lines]


# Trailers of this size stay within what a connection may send of them.
HELD_BYTES = 15 << 10
# Ends of trailers without end, for the clients.
ENDLESS_BYTES = 1 << 20
KINDS = {
    "small-bodies-that-stay": lambda stack: body_clients(
        stack, 400, document(1_000), PIECE_BYTES, whole_share=0
    ),
    "trailer-in-one-line": lambda stack: trailer_clients(
        stack, 120, b"x" * 1024, ENDLESS_BYTES, PIECE_BYTES
    ),
    "trailers-in-many-lines": lambda stack: trailer_clients(
        stack, 240, b"ab:cd\r\n", ENDLESS_BYTES, PIECE_BYTES
    ),
    "trailers-a-byte-at-a-time": lambda stack: trailer_clients(
        stack, 8, b"ab:cd\r\n", 20_000, 1
    ),
    "trailers-that-stay": lambda stack: trailer_clients(
        stack, 240, b"ab:cd\r\n", HELD_BYTES, PIECE_BYTES
    ),
    "heads-and-trailers-that-stay": lambda stack: trailer_clients(
        stack, 240, b"ab:cd\r\n", HELD_BYTES, PIECE_BYTES, b"ab: cd\r\n" * 1_900
    ),
    "heads-that-stay": lambda stack: head_clients(stack, 240, HELD_BYTES),
    "whole-bodies-of-many-values": lambda stack: body_clients(
        stack, 4, LARGE, BODY_BYTES, whole_share=1
    ),
    "bodies-whole": lambda stack: body_clients(stack, 60, LARGE, BODY_BYTES),
    "bodies-piece-by-piece": lambda stack: body_clients(stack, 60, LARGE, PIECE_BYTES),
    "large-chunks": lambda stack: chunk_clients(stack, 60, LARGE_CHUNKS),
    "one-byte-chunks": lambda stack: chunk_clients(stack, 24, SMALL_CHUNKS),
}


def mixed(stack, count):
    """Return `count` clients of all kinds, each kind as often."""
    kinds = [kind(stack) for kind in KINDS.values()]
    rounds = itertools.zip_longest(*kinds)
    clients = [parts for row in rounds for parts in row if parts is not None]
    return itertools.islice(itertools.cycle(clients), count)


async def check_load(stack, clients):
    """Send the clients' load; check the bounds and that an ordinary caller is served.

    It is served while the clients stay, and after they have gone.
    """
    load = ClientLoad(stack.address, clients)
    try:
        await load.send()
        descriptors = stack.memory.descriptors() if stack.running else None
        served = asyncio.create_task(ask(stack.address, stack.ordinary))
        while not served.done() and stack.running:
            await asyncio.wait([served], timeout=0.2)
        assert stack.running, stack.output()
        await served
    finally:
        await load.close()
    await ask(stack.address, stack.ordinary)
    assert stack.running, stack.output()
    peak_mb = stack.memory.peak_mb()
    print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
    assert peak_mb <= MEMORY_MB
    assert descriptors <= DESCRIPTORS


@pytest.mark.parametrize("kind", KINDS)
async def test_clients_of_one_kind(stack, kind):
    """Guards against clients by whose bodies or trailers a VM exceeds its memory."""
    await check_load(stack, [Client(parts) for parts in KINDS[kind](stack)])


@pytest.mark.parametrize(
    ("count", "is_kept"),
    [(24, False), (400, False), (240, True)],
    ids=["few", "many", "kept"],
)
async def test_clients_of_all_kinds(stack, count, is_kept):
    """Guards against kinds of load that are bounded one by one and not together."""
    first = stack.ordinary if is_kept else b""
    await check_load(stack, [Client(parts, first) for parts in mixed(stack, count)])


@pytest.mark.parametrize("chunk_bytes", [None, 256 << 10, 1])
async def test_large_body_is_served_in_calm(stack, chunk_bytes):
    """Guards against a limit that refuses a single request inside the limits."""
    body = document(BODY_BYTES, b"x" * 64 + b"1,").replace(b"x", b" ")
    if chunk_bytes is None:
        request = stack.head() + b"Content-Length: %d\r\n\r\n" % len(body) + body
    else:
        chunks = chunked(body, chunk_bytes) + LAST_CHUNK
        request = stack.head() + CHUNKED + chunks
    assert await exchange(stack.address, request) == 200
    assert stack.memory.peak_mb() <= MEMORY_MB


@pytest.mark.parametrize("stack", ["fleet"], indirect=True)
async def test_bodies_that_a_server_does_not_read(stack):
    """Guards against bodies that are held several times while they are sent on."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    with contextlib.closing(listener):
        stack.add_server("deaf", "shop", f"127.0.0.1:{listener.getsockname()[1]}")
        stack.remove_server("s1")
        head = stack.head("/buy/1") + b"Content-Length: %d\r\n\r\n" % len(LARGE)
        clients = [Client([head, LARGE]) for _ in range(60)]
        stack.ordinary = (
            stack.head("/chat/1", "POST", "ordinary")
            + b"X-Cassiamount-Model: m1\r\nX-Cassiamount-Token-Usage: 1,1\r\n"
            + b"Content-Length: 2\r\n\r\n{}"
        )
        await check_load(stack, clients)
