"""Tests of requests that come late in a graceful stop, at the callers' sockets."""

import asyncio

import pytest

from cassiamount.fleet_edge import FleetProtocol
from cassiamount.serving import CallerProtocol
from tests.fleet_fixtures import HOST, KEY, TIMEOUT_S, Fleet, configuration
from tests.soak import STREAM, read_response

GRACE_S = 4
# Moments of the stop, in seconds from its begin.
NEW_S = (0.2, 1.2, 2.4)
KEPT_S = 0.3
LATE_S = 3.05
# Kinds of request: not repeatable, repeatable, a stream that may go on, one that not.
KINDS = ("buy", "look", "chat", "talk")
WHOLE, REFUSED, UNKNOWN, BROKEN, NOTHING = (
    "whole",
    "refused",
    "unknown",
    "broken",
    "nothing",
)
ENDS = {429: REFUSED, 503: REFUSED, 502: UNKNOWN, 504: UNKNOWN}


class Callers:
    """Sends requests over plain sockets and notes how each of them ends."""

    def __init__(self, fleet, address):
        self.fleet = fleet
        self.host, _, self.port = address.rpartition(":")
        self.outcomes = {}
        self.phases = {}

    def request(self, kind, phase):
        """Return the ID, the head and the body of a new request."""
        request_id = f"{kind}{len(self.phases)}"
        self.phases[request_id] = phase
        lines = [
            f"POST /{kind}/x HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Bearer {KEY}",
            f"X-Cassiamount-Request-Id: {request_id}",
            "X-Cassiamount-Deadline-Ms: 20000",
            "Content-Length: 2",
        ]
        if kind in ("chat", "talk"):
            lines.append("X-Cassiamount-Model: m1")
        return request_id, "\r\n".join(lines).encode() + b"\r\n\r\n", b"{}"

    async def connect(self):
        return await asyncio.open_connection(self.host, int(self.port))

    async def receive(self, request_id, reader):
        """Read one answer; return whether another one may follow."""
        head = None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                again = asyncio.StreamReader()
                again.feed_data(head)
                status, headers, body = await read_response(_Joined(again, reader))
        except (OSError, asyncio.IncompleteReadError):
            self.outcomes[request_id] = BROKEN if head else NOTHING
            return False
        right = body == STREAM or body.startswith(b"done by")
        self.outcomes[request_id] = WHOLE if right else ENDS[status]
        return headers.get("connection") != "close"

    async def send(self, kind, phase, after_s=0.0):
        """Send a request on a new connection."""
        await asyncio.sleep(after_s)
        request_id, head, body = self.request(kind, phase)
        try:
            reader, writer = await self.connect()
        except OSError:
            del self.phases[request_id]
            return
        writer.write(head + body)
        await self.receive(request_id, reader)
        writer.close()

    async def keep(self, kind, phase, after_s, answered=None):
        """Send a request, and another one on its connection during the stop."""
        reader, writer = await self.connect()
        first, head, body = self.request(kind, f"{phase}-first")
        writer.write(head + body)
        is_kept = await self.receive(first, reader)
        if answered is not None:
            answered.set()
        await asyncio.sleep(after_s)
        if is_kept:
            request_id, head, body = self.request(kind, phase)
            writer.write(head + body)
            await self.receive(request_id, reader)
        writer.close()

    async def pipeline(self):
        reader, writer = await self.connect()
        requests = [self.request(kind, "pipelined") for kind in ("buy", "look", "chat")]
        writer.write(b"".join(head + body for _, head, body in requests))
        for request_id, _, _ in requests:
            self.outcomes[request_id] = NOTHING
        for request_id, _, _ in requests:
            if not await self.receive(request_id, reader):
                break
        writer.close()

    async def send_slowly(self, kind, phase, part, after_s):
        """Send the first bytes of a request now and the others late, or never."""
        reader, writer = await self.connect()
        request_id, head, body = self.request(kind, phase)
        data = head + body
        sent = len(head) // 2 if part == "head" else len(head) + 1
        writer.write(data[:sent])
        if after_s is not None:
            await asyncio.sleep(after_s)
            writer.write(data[sent:])
        await self.receive(request_id, reader)
        writer.close()


class _Joined:
    """Reads a head that was read before, and then what follows it."""

    def __init__(self, head, rest):
        self.readexactly = rest.readexactly
        self._readers = [rest, head]

    async def readuntil(self, separator):
        reader = self._readers.pop() if len(self._readers) > 1 else self._readers[0]
        return await reader.readuntil(separator)


@pytest.fixture
async def fleet():
    fleet = Fleet()
    await fleet.start()
    fleet.store.put("keyed.op", "config", configuration())
    for number in (1, 2):
        await fleet.add_replica(f"e{number}", "llm", {"m1": []})
        await fleet.add_replica(f"s{number}", "shop")
    yield fleet
    await fleet.stop()


@pytest.fixture
def read_whole(monkeypatch):
    """IDs of the requests that VMs have read to their last byte."""
    read = set()

    def on_message_complete(self):
        read.add(dict(self.headers).get(b"x-cassiamount-request-id", b"").decode())
        CallerProtocol.on_message_complete(self)

    monkeypatch.setattr(
        FleetProtocol, "on_message_complete", on_message_complete, raising=False
    )
    return read


def slow_down(fleet, work_s, event_s):
    for replica in fleet.replicas.values():
        replica.work_s, replica.event_s = work_s, event_s


def check_outcomes(fleet, callers, read_whole):
    """Nothing that was read ends without an answer, and all answers are true."""
    ran = {i for replica in fleet.replicas.values() for i in replica.ran}
    for request_id, outcome in callers.outcomes.items():
        what = (request_id, callers.phases[request_id], outcome)
        # What waits behind another request has been read, but not parsed.
        is_read = request_id in read_whole or callers.phases[request_id] == "pipelined"
        assert outcome != NOTHING or not is_read, what
        assert outcome != REFUSED or request_id not in ran, what
        if outcome == BROKEN:
            # Only what began early may be cut off, and must not look whole.
            assert request_id in ran, what
            assert callers.phases[request_id] not in ("slow-head", "slow-body"), what


@pytest.mark.parametrize(
    ("work_s", "event_s"),
    [(0.0, 0.005), (0.8, 0.005), (60.0, 0.005), (0.0, 0.9)],
    ids=["quick", "slow", "silent", "long-streams"],
)
async def test_every_request_of_a_stop_gets_an_answer(
    fleet, read_whole, work_s, event_s
):
    """Guards against requests that a stop takes and then cuts off without an answer."""
    node = await fleet.add_vm("v1", grace_s=GRACE_S)
    callers = Callers(fleet, fleet.settings["v1"].caller_address)
    tasks = []
    # The first answers of idle connections come before the replicas get slow.
    answered = [asyncio.Event() for _ in KINDS]
    for kind, event in zip(KINDS, answered, strict=True):
        job = callers.keep(kind, "idle", KEPT_S, event)
        tasks.append(asyncio.create_task(job))
    await asyncio.gather(*(event.wait() for event in answered))
    slow_down(fleet, work_s, event_s)
    jobs = [callers.pipeline()]
    for kind in KINDS:
        jobs.append(callers.keep(kind, "busy", 0.0))
        for part in ("head", "body"):
            jobs.append(callers.send_slowly(kind, f"slow-{part}", part, LATE_S))
        jobs.append(callers.send_slowly(kind, "unfinished", "body", None))
    tasks += [asyncio.create_task(job) for job in jobs]
    await fleet.wait_until(lambda: len(read_whole) >= 2 * len(KINDS) + 1)
    node.request_stop()
    for kind in KINDS:
        for after_s in NEW_S:
            tasks.append(asyncio.create_task(callers.send(kind, "new", after_s)))
    await asyncio.gather(*tasks)
    await fleet.stop_vm("v1")
    check_outcomes(fleet, callers, read_whole)
    unfinished = {i for i, phase in callers.phases.items() if phase == "unfinished"}
    assert {callers.outcomes[i] for i in unfinished} == {REFUSED}


@pytest.mark.parametrize(
    ("grace_s", "changed_s"),
    [(0, None), (0.3, None), (1, None), (60, 1), (60, 0), (1, 60)],
    ids=["none", "0.3-s", "1-s", "60-s-to-1-s", "60-s-to-none", "1-s-to-60-s"],
)
async def test_short_and_changed_grace_periods_cut_off_nothing(
    fleet, read_whole, grace_s, changed_s
):
    """Guards against a stop that counts on more time than it has until it is killed."""
    node = await fleet.add_vm("v1", grace_s=grace_s)
    callers = Callers(fleet, fleet.settings["v1"].caller_address)
    slow_down(fleet, 60.0, 0.005)
    jobs = [callers.pipeline()]
    for kind in KINDS:
        jobs.append(callers.send(kind, "before"))
        jobs.append(callers.send_slowly(kind, "unfinished", "body", None))
    tasks = [asyncio.create_task(job) for job in jobs]
    replicas = fleet.replicas.values()
    await fleet.wait_until(lambda: sum(len(r.ran) for r in replicas) > len(KINDS))
    await fleet.wait_until(lambda: len(read_whole) >= len(KINDS) + 1)
    node.request_stop()
    node.request_stop()
    await fleet.wait_until(lambda: node.state.stopping)
    if changed_s is not None:
        fleet.settings["v1"].grace_s = changed_s
        node.apply_settings(fleet.settings["v1"])
    async with asyncio.timeout(TIMEOUT_S):
        await asyncio.gather(*tasks)
        await fleet.stop_vm("v1")
    check_outcomes(fleet, callers, read_whole)
    ends = {kind: set() for kind in ("before", "pipelined", "unfinished")}
    for request_id, outcome in callers.outcomes.items():
        ends[callers.phases[request_id]].add(outcome)
    # The first of the pipelined requests was passed on, the others were not.
    assert ends == {
        "before": {UNKNOWN},
        "pipelined": {UNKNOWN, REFUSED},
        "unfinished": {REFUSED},
    }


async def test_stop_during_the_start_ends_the_vm(fleet):
    """Guards against a VM that fails or goes on if it is stopped while it starts."""
    start = asyncio.create_task(fleet.add_vm("v1", grace_s=1))
    await fleet.wait_until(lambda: "v1" in fleet.nodes)
    async with asyncio.timeout(TIMEOUT_S):
        await fleet.stop_vm("v1")
    start.cancel()
    await asyncio.wait([start])


@pytest.mark.parametrize("kind", KINDS)
async def test_request_read_after_its_own_time_limit_is_not_passed_on(fleet, kind):
    """Guards against a request that runs though nobody can get its answer."""
    await fleet.add_vm("v1", grace_s=1)
    callers = Callers(fleet, fleet.settings["v1"].caller_address)
    # An open connection to each replica, on which nothing has to be waited for.
    await asyncio.gather(*(callers.send(kind, "before") for _ in range(6)))
    reader, writer = await callers.connect()
    request_id, head, body = callers.request(kind, "late")
    writer.write(head.replace(b"Deadline-Ms: 20000", b"Deadline-Ms: 50"))
    await asyncio.sleep(0.2)
    writer.write(body)
    await callers.receive(request_id, reader)
    writer.close()
    assert callers.outcomes[request_id] == REFUSED
    seen = [entry for replica in fleet.replicas.values() for entry in replica.seen]
    assert request_id not in [entry["x-cassiamount-request-id"] for entry in seen]
