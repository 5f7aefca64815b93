"""Limit on the bodies of all requests that a VM holds at once."""

import asyncio
import contextlib
import types

import pytest

from cassiamount.arrival import EdgeLimits
from cassiamount.backend_client import AttemptBroken, BackendResponse
from cassiamount.body_budget import (
    PROGRESS_BYTES,
    STALLED_MS,
    BodyBudget,
    HeldAnswer,
    HeldBody,
)
from cassiamount.caller import BodyReader
from cassiamount.clock import SystemClock
from cassiamount.fleet import CallerLimits
from cassiamount.fleet_edge import FleetEdge, FleetProtocol
from cassiamount.memory_plan import (
    CALLER_BYTES,
    FREE_BYTES,
    PROCESS_BYTES,
    MemoryPlan,
)
from cassiamount.metrics import Metrics
from cassiamount.platform.headers import decode_request
from cassiamount.process_delay import ProcessDelay
from cassiamount.request_timeouts import RequestTimeouts
from cassiamount.service_calls import ServiceCalls
from cassiamount.serving import EdgeServer, open_listener

BODY_BYTES = 1 << 20


@pytest.mark.parametrize(
    ("parts", "fits", "held_bytes"),
    [
        ([("a", 10), ("b", 10), ("c", 10)], [True] * 3, 0),
        ([("a", 60), ("b", 61)], [True, False], 101),
        ([("a", 110), ("b", 10), ("b", 1)], [True, True, False], 101),
        ([("a", 5), ("a", 105), ("a", 1), ("b", 10)], [True, True, False, True], 101),
    ],
    ids=["small", "two", "small-beside-large", "in-parts"],
)
def test_bodies_share_a_budget(parts, fits, held_bytes):
    """Guards against bodies that together take up more than the VM's memory."""
    budget = BodyBudget(100, 10)
    held = {"a": HeldBody(), "b": HeldBody(), "c": HeldBody()}
    assert [budget.take(held[name], size) for name, size in parts] == fits
    assert budget.held_bytes == held_bytes
    for body in held.values():
        budget.release(body)
        budget.release(body)
    assert budget.held_bytes == 0


@pytest.mark.parametrize("memory_mb", [128, 200, 300, 1_000, 4_000])
def test_all_bounds_fit_into_the_memory(memory_mb):
    """Guards against bounds that hold one by one and exceed the memory together."""
    plan = MemoryPlan(memory_mb)
    shared_bytes = PROCESS_BYTES + 2 * plan.body_bytes + plan.answer_bytes
    assert plan.callers > 1
    assert shared_bytes + plan.callers * CALLER_BYTES <= memory_mb << 20


def test_budget_follows_what_is_held():
    """Guards against memory that is counted after its answer was taken."""
    budget = BodyBudget(100, 10)
    first, second = HeldAnswer(budget), HeldAnswer(budget)
    assert first.hold(90) and not second.hold(40)
    assert second.hold(20) and budget.held_bytes == 90
    assert first.hold(5) and second.hold(110) and budget.held_bytes == 100
    first.release()
    second.release()
    assert budget.held_bytes == 0


class Relay:
    """Answers all requests when it may."""

    def __init__(self):
        self.go = asyncio.Event()
        self.held = 0

    async def serve(self, inbound):
        self.held += 1
        await self.go.wait()
        await inbound.caller.send_response(200, [], b"%d" % len(inbound.body))


class State:
    """What the edge needs of a VM's state."""

    stopping = False
    configuration = None

    @staticmethod
    def now_ms():
        return 0.0


async def send(port, size, chunked=False):
    """Send a request with a body; return the status and the whole answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = b"POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    if chunked:
        head += b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % size
        data = head + b"x" * size + b"\r\n0\r\n\r\n"
    else:
        data = head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    writer.write(data)
    async with asyncio.timeout(60):
        answer = await reader.read()
    writer.close()
    return int(answer.split()[1]), answer


@contextlib.asynccontextmanager
async def serving(relay, budget):
    """Serve callers on a port, which is yielded."""
    edge = FleetEdge(
        State(),
        relay,
        decode_request,
        RequestTimeouts(SystemClock()),
        budget,
        ProcessDelay(SystemClock()),
    )
    listener = open_listener("127.0.0.1", 0)
    server = EdgeServer(
        edge,
        listener,
        Metrics(),
        base_protocol=FleetProtocol,
        caller_limits=CallerLimits,
    )
    port = listener.getsockname()[1]
    await server.start()
    try:
        yield port
    finally:
        await server.stop(1_000)


@pytest.mark.parametrize("chunked", [False, True])
async def test_bodies_beyond_the_budget_are_refused_unrun(chunked):
    """Guards against callers with large bodies for whom the VM is killed."""
    relay = Relay()
    budget = BodyBudget(4 * BODY_BYTES, FREE_BYTES)
    async with serving(relay, budget) as port:
        held = [asyncio.create_task(send(port, BODY_BYTES, chunked)) for _ in range(4)]
        while relay.held < 4:
            await asyncio.sleep(0.01)
        for _ in range(20):
            status, answer = await send(port, BODY_BYTES, chunked)
            assert status == 503 and b'"not_run":true' in answer
            assert b"\r\nretry-after: " in answer
        small = asyncio.create_task(send(port, 1_000, chunked))
        while relay.held < 5:
            await asyncio.sleep(0.01)
        relay.go.set()
        assert [status for status, _ in await asyncio.gather(small, *held)] == [200] * 5
        assert (await send(port, BODY_BYTES, chunked))[0] == 200


class Response(BackendResponse):
    """A response whose body has arrived."""

    def __init__(self, parts):
        self._parts = parts

    async def chunk(self):
        return self._parts.pop(0) if self._parts else b""


@pytest.mark.parametrize(("limit_bytes", "fits"), [(100_000, True), (30_000, False)])
async def test_whole_answers_of_engines_share_a_budget(limit_bytes, fits):
    """Guards against large completions for which a VM of the own stack is killed."""
    budget = BodyBudget(limit_bytes, FREE_BYTES)
    answer = HeldAnswer(budget)
    response = Response([b"x" * 20_000] * 4)
    if fits:
        assert await response.body(answer) == b"x" * 80_000
    else:
        with pytest.raises(AttemptBroken, match="no memory"):
            await response.body(answer)
    assert budget.held_bytes <= limit_bytes + 20_000
    answer.release()
    assert budget.held_bytes == 0


class Clock:
    now_ms = 0.0


def arriving(budget, size_bytes, displaced, name):
    """Return a body that is arriving, with a first part."""
    held = HeldBody()
    held.on_displaced = lambda: displaced.append(name)
    assert budget.take(held, size_bytes)
    return held


@pytest.mark.parametrize(
    ("still_ms", "grown_bytes", "fits", "displaced"),
    [
        (STALLED_MS - 1, 0, False, []),
        (STALLED_MS, 0, True, ["a"]),
        # A body that grows by a few bytes makes no progress.
        (STALLED_MS, PROGRESS_BYTES - 1, True, ["a"]),
        (STALLED_MS, PROGRESS_BYTES, True, ["b"]),
    ],
    ids=["too-soon", "still", "trickle", "progress"],
)
def test_bodies_without_progress_make_room(still_ms, grown_bytes, fits, displaced):
    """Guards against bodies whose ends stay away that keep all others out."""
    clock, names = Clock(), []
    budget = BodyBudget(100_000, 0, lambda: clock.now_ms)
    held = arriving(budget, 40_000, names, "a")
    arriving(budget, 40_000, names, "b")
    clock.now_ms = still_ms
    assert budget.take(held, grown_bytes)
    newcomer = HeldBody()
    newcomer.on_displaced = names.append
    assert budget.take(newcomer, 30_000) is fits
    assert names == displaced
    assert budget.held_bytes == 110_000 + grown_bytes - sum(
        40_000 + (grown_bytes if name == "a" else 0) for name in names
    )


def test_bodies_that_do_not_count_are_not_displaced():
    """Guards against the refusal of slow small bodies, which makes no room."""
    clock, names = Clock(), []
    budget = BodyBudget(100_000, FREE_BYTES, lambda: clock.now_ms)
    arriving(budget, FREE_BYTES, names, "small")
    arriving(budget, FREE_BYTES + 1, names, "counted")
    arriving(budget, 90_000, names, "large")
    clock.now_ms = STALLED_MS
    assert arriving(budget, 60_000, names, "newcomer")
    assert names == ["counted", "large"]


def test_complete_bodies_are_not_displaced():
    """Guards against the refusal of a request that may have run already."""
    clock, names = Clock(), []
    budget = BodyBudget(100_000, 0, lambda: clock.now_ms)
    held = arriving(budget, 80_000, names, "a")
    budget.complete(held)
    clock.now_ms = 10 * STALLED_MS
    newcomer = arriving(budget, 20_000, names, "b")
    assert not budget.take(newcomer, 30_000)
    assert names == []


async def test_displaced_body_is_refused_unrun():
    """Guards against a body that is displaced without an answer, or keeps its place."""
    clock, relay = Clock(), Relay()
    relay.go.set()
    budget = BodyBudget(4 * BODY_BYTES, FREE_BYTES, lambda: clock.now_ms)
    async with serving(relay, budget) as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % (4 * BODY_BYTES) + b"x" * (3 * BODY_BYTES))
        while budget.held_bytes < 3 * BODY_BYTES - FREE_BYTES:
            await asyncio.sleep(0.01)
        clock.now_ms = STALLED_MS
        assert (await send(port, 2 * BODY_BYTES))[0] == 200
        async with asyncio.timeout(60):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503 ") and b'"not_run":true' in answer
        assert b"\r\nretry-after: " in answer
        writer.close()
        assert budget.held_bytes == 0 and relay.held == 1


@pytest.mark.parametrize("content", [b'["\\n",1,2,3]', b"\\\xff,,,,"])
async def test_calls_hold_no_memory_for_values_that_are_gone(content):
    """Guards against long calls that keep others out by the cost of a past parse."""
    bodies = BodyReader(EdgeLimits(), SystemClock(), Metrics())
    body = content + b" " * (2 * FREE_BYTES)

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    arrival = types.SimpleNamespace(key="key", headers=[], query="", held=HeldBody())
    assert await bodies.read(receive, arrival.held) == body
    calls = ServiceCalls(types.SimpleNamespace(bodies=bodies), None)
    assert calls._without_key(arrival, "/x", body)[2] == body
    assert bodies.held_bytes == len(body) - FREE_BYTES
    bodies.release(arrival.held)
    assert bodies.held_bytes == 0
