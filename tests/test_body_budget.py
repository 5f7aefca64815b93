"""Limit on the bodies of all requests that a VM holds at once."""

import asyncio

import pytest

from cassiamount import fleet_edge
from cassiamount.body_budget import BodyBudget, HeldBody
from cassiamount.clock import SystemClock
from cassiamount.fleet import CallerLimits
from cassiamount.fleet_edge import FleetEdge, FleetProtocol
from cassiamount.metrics import Metrics
from cassiamount.platform.headers import decode_request
from cassiamount.request_timeouts import RequestTimeouts
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


@pytest.mark.parametrize("chunked", [False, True])
async def test_bodies_beyond_the_budget_are_refused_unrun(monkeypatch, chunked):
    """Guards against callers with large bodies for whom the VM is killed."""
    monkeypatch.setattr(fleet_edge, "MAX_BODY_BYTES", 4 * BODY_BYTES)
    relay = Relay()
    edge = FleetEdge(State(), relay, decode_request, RequestTimeouts(SystemClock()))
    listener = open_listener("127.0.0.1", 0)
    port = listener.getsockname()[1]
    server = EdgeServer(
        edge,
        listener,
        Metrics(),
        base_protocol=FleetProtocol,
        caller_limits=CallerLimits,
    )
    await server.start()
    try:
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
    finally:
        await server.stop(1_000)
