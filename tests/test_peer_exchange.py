"""Tests of the exchange of reports with one peer."""

import asyncio

import pytest

from cassiamount import peer_exchange
from cassiamount.change_counter import ChangeCounter
from cassiamount.clock import ManualClock
from cassiamount.fleet_reports import encode_report
from cassiamount.interval_stats import IntervalStats
from cassiamount.metrics import Metrics
from cassiamount.peer_exchange import PeerExchange
from cassiamount.peer_table import PeerTable
from cassiamount.peer_topology import VmPlace
from cassiamount.processor_time import ProcessorTime
from cassiamount.vm_state import VmState
from tests.test_fleet_state import VmPair

pytestmark = pytest.mark.usefixtures("quiet_logs")


class Transport:
    """Channels that answer each report with the next of some replies."""

    def __init__(self, replies):
        self.replies = replies
        self.calls = 0
        self.answered = asyncio.Event()

    def connect(self, address):
        return self

    async def call(self, data, timeout_ms):
        await asyncio.sleep(0)
        self.calls += 1
        if len(self.replies) == 1:
            self.answered.set()
            return self.replies[0]
        return self.replies.pop(0)

    async def close(self, grace_s=0):
        return None


def report_with(**changes):
    pair = VmPair()
    report = pair.other.build_report("v1")
    for name, value in changes.items():
        setattr(report, name, value)
    return encode_report(report)


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        b"not a report",
        b"[]",
        report_with(states=[VmState("v3", "z1", "v3:1", None, None)]),
        report_with(running=[1]),
        report_with(waiting=None),
        report_with(version="7"),
    ],
    ids=["empty", "text", "list", "state", "running", "waiting", "version"],
)
async def test_malformed_reply_does_not_end_the_link(reply):
    """Guards against a VM that hears nothing of a peer after one bad message."""
    pair = VmPair()
    # Known, so that a malformed state is compared with it.
    known = VmState("v3", "z1", "v3:1", 1)
    pair.holder.peers.apply_states([known], "v2", 0.0)
    transport = Transport([reply, report_with()])
    peers = PeerTable(VmState("v1", "z1", "v1:1", 1), ChangeCounter())
    peers.add_place(VmPlace("v2", "v2:1", "z1"))
    exchange = PeerExchange(
        "v1:1",
        transport,
        peers,
        pair.holder.build_report,
        pair.holder.on_report,
        ManualClock(),
        IntervalStats(),
        ProcessorTime(Metrics()),
    )
    task = asyncio.create_task(exchange.run())
    async with asyncio.timeout(20):
        await transport.answered.wait()
        while "v2" not in pair.holder.peers.links:
            await asyncio.sleep(0.01)
    task.cancel()
    await exchange.close()


@pytest.mark.parametrize("part", ["next_report_ms", "on_outcome"])
async def test_failure_beside_an_exchange_does_not_end_the_link(monkeypatch, part):
    """Guards against a link that ends for good, and is not opened again."""
    monkeypatch.setattr(peer_exchange, "QUICK_RETRY_MS", 1.0)
    pair = VmPair()
    transport = Transport([report_with(), report_with()])
    peers = PeerTable(VmState("v1", "z1", "v1:1", 1), ChangeCounter())
    peers.add_place(VmPlace("v2", "v2:1", "z1"))
    exchange = PeerExchange(
        "v1:1",
        transport,
        peers,
        pair.holder.build_report,
        pair.holder.on_report,
        ManualClock(),
        IntervalStats(),
        ProcessorTime(Metrics()),
    )
    failures = [TypeError("of another type")] * 3
    sound = getattr(PeerExchange, part)

    def fail_at_first(self, *arguments):
        if failures:
            raise failures.pop()
        return sound(self, *arguments)

    monkeypatch.setattr(PeerExchange, part, fail_at_first)
    task = asyncio.create_task(exchange.run())
    async with asyncio.timeout(20):
        while failures or "v2" not in pair.holder.peers.links:
            await asyncio.sleep(0.01)
            exchange.exchange_soon()
    task.cancel()
    await exchange.close()
