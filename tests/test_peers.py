"""Tests of the gRPC service and client over loopback."""

import grpc
import pytest

from cassiamount import peer_pb2 as pb
from cassiamount import peer_wire as wire
from cassiamount.budget_messages import (
    Grant,
    Refund,
    Report,
    Shortage,
    TokenRequest,
    Use,
)
from cassiamount.clock import ManualClock
from cassiamount.errors import AppendOutcomeUnknown, PlatformUnavailable
from cassiamount.lease_commands import PromiseReply, RequestPromises
from cassiamount.peer_client import PeerClient
from cassiamount.peer_messages import (
    PeerUnavailable,
    ProbeInfo,
    StreamPage,
    StreamSnapshot,
)
from cassiamount.peer_pb2_grpc import PeerStub
from cassiamount.peer_service import PeerHandlers, make_server
from cassiamount.timing import MAX_CLOCK_DRIFT, at_most_ms

OWNER = ("za", 0, 7)


class Handlers(PeerHandlers):
    """Answers with fixed values and keeps what it was asked."""

    def __init__(self):
        self.seen = []
        self.error = None

    async def grant(self, holder, asks, forwarded):
        self.seen.append((holder, [ask.team for ask in asks], forwarded))
        if self.error is not None:
            raise self.error
        return {"a": Grant("za/0/7/1", 50, 0.0, 1000.0), "b": Shortage(30.0)}

    async def take_report(self, holder, report, forwarded):
        self.seen.append(report)
        return True

    async def promise(self, holder, promiser, lease, fence, duration_ms):
        return PromiseReply(promiser == "vm@2", "reason")

    async def read_stream(self, stream, from_offset, limit):
        return StreamPage([(from_offset, {"id": "x"})], 0, from_offset + 1)

    async def append(self, stream, values):
        if self.error is not None:
            raise self.error
        return [4]

    async def snapshot(self, stream):
        return StreamSnapshot(9, {"a": 1}) if stream == "config" else None

    async def probe(self):
        return ProbeInfo("vm@2", "za", True, False, {"config": 3}, ["e1"])


@pytest.fixture
async def peer():
    handlers = Handlers()
    server, port = make_server(handlers, "127.0.0.1:0")
    await server.start()
    clock = ManualClock(100.0)
    client = PeerClient(clock, call_timeout_ms=5_000)
    yield handlers, client, f"127.0.0.1:{port}", clock
    await client.close()
    await server.stop(None)


async def test_grant_deadline_counts_from_before_sending(peer):
    """Guards against a block that a slow answer keeps valid for too long."""
    handlers, client, address, clock = peer
    answers = await client.grant(
        address, "vm@1", [TokenRequest("a", 9, 1), TokenRequest("b", 9, 1)]
    )
    assert answers["a"].deadline_ms == 100.0 + 1000.0 * (1 - MAX_CLOCK_DRIFT)
    assert answers["b"].retry_after_ms == 30.0
    assert handlers.seen == [("vm@1", ["a", "b"], False)]


def test_delay_of_an_answer_does_not_move_the_deadline():
    """Guards against a deadline that is counted from the arrival of the answer."""
    reply = wire.grant_reply({"a": Grant("za/0/7/1", 50, 0.0, 1000.0)})
    grant = wire.parse_grant_reply(reply, 100.0, at_most_ms)["a"]
    assert grant.deadline_ms == 100.0 + 1000.0 * (1 - MAX_CLOCK_DRIFT)


async def test_every_call_round_trips(peer):
    """Guards against a field that is lost between client and service."""
    handlers, client, address, _ = peer
    report = Report(
        OWNER, 3, [Use("za/0/7/1", 4, 5)], [Refund("a", "za/0/7/1", 6, 7.0)]
    )
    assert await client.report(address, "vm@1", report)
    seen = handlers.seen[0]
    assert (seen.owner, seen.sequence) == (OWNER, 3)
    assert (seen.uses[0].used_tokens, seen.uses[0].returned_tokens) == (4, 5)
    assert (seen.refunds[0].tokens, seen.refunds[0].charged_age_ms) == (6, 7.0)
    ask = RequestPromises(1, "vm@1", ("vm@2",), "budget/0", 7, 4000.0)
    assert (await client.promise(address, ask, "vm@2")).promised
    assert not (await client.promise(address, ask, "vm@3")).promised
    page = await client.read_stream(address, "config", 5, 10)
    assert (page.records, page.next_offset) == ([(5, {"id": "x"})], 6)
    assert await client.append(address, "config", [{"id": "y"}]) == [4]
    assert (await client.snapshot(address, "config")).state == {"a": 1}
    assert await client.snapshot(address, "zone-za") is None
    info = await client.probe(address, "vm@1")
    assert (info.vm, info.next_offsets, info.leaving_backends) == (
        "vm@2",
        {"config": 3},
        ("e1",),
    )


@pytest.mark.parametrize(
    ("raised", "expected"),
    [
        (PlatformUnavailable("down"), PlatformUnavailable),
        (AppendOutcomeUnknown("lost"), AppendOutcomeUnknown),
        (ValueError("fault"), AppendOutcomeUnknown),
    ],
)
async def test_failed_append_keeps_its_meaning(peer, raised, expected):
    """Guards against "certainly absent" for a record that may be in the log."""
    handlers, client, address, _ = peer
    handlers.error = raised
    with pytest.raises(expected):
        await client.append(address, "config", [{}])


async def test_silent_peer_is_unavailable():
    """Guards against a call that waits for ever or raises another error."""
    client = PeerClient(ManualClock(), call_timeout_ms=200)
    with pytest.raises(PeerUnavailable):
        await client.probe("127.0.0.1:1", "vm@1")
    with pytest.raises(AppendOutcomeUnknown):
        await client.append("127.0.0.1:1", "config", [{}])
    await client.close()


async def test_fault_in_a_handler_stays_in_its_call(peer):
    """Guards against an error that ends the server's task."""
    handlers, client, address, _ = peer
    handlers.error = RuntimeError("fault")
    with pytest.raises(PeerUnavailable):
        await client.grant(address, "vm@1", [])
    handlers.error = None
    assert await client.grant(address, "vm@1", [])


USE = pb.Use(grant_id="za/0/7/1")


@pytest.mark.parametrize(
    ("method", "message"),
    [
        ("Grant", pb.GrantRequest(holder="")),
        ("Grant", pb.GrantRequest(holder="x" * 600)),
        ("Grant", pb.GrantRequest(holder="h", asks=[pb.GrantAsk(team="")])),
        (
            "Grant",
            pb.GrantRequest(
                holder="h", asks=[pb.GrantAsk(team="a", want_tokens=2**60)]
            ),
        ),
        ("Report", pb.ReportRequest(holder="h", sequence=1)),
        (
            "Report",
            pb.ReportRequest(holder="h", sequence=1, uses=[pb.Use(grant_id="?")]),
        ),
        (
            "Report",
            pb.ReportRequest(
                holder="h", sequence=1, uses=[USE, pb.Use(grant_id="za/0/8/1")]
            ),
        ),
        (
            "Promise",
            pb.PromiseRequest(
                holder="h", promiser="p", lease="l", duration_ms=float("nan")
            ),
        ),
        ("Append", pb.AppendRequest(stream="s", values=[b"{"])),
        ("Append", pb.AppendRequest(stream="s")),
        ("ReadStream", pb.ReadStreamRequest()),
        ("Snapshot", pb.SnapshotRequest()),
        ("Probe", pb.ProbeRequest()),
    ],
)
async def test_bad_message_is_refused(peer, method, message):
    """Guards against messages that reach the decision objects unchecked."""
    _, _, address, _ = peer
    async with grpc.aio.insecure_channel(address) as channel:
        with pytest.raises(grpc.aio.AioRpcError) as raised:
            await getattr(PeerStub(channel), method)(message, timeout=5)
    assert raised.value.code() == grpc.StatusCode.INVALID_ARGUMENT
