"""Tests of the lease that allows orders to engines."""

import pytest

from cassiamount.metadata_store import LeaseReply
from cassiamount.order_lease import LEASE_MS, OrderLease, PeerSummary

NO_PEERS = PeerSummary(0, 0, 0)
ALL_HEARD = PeerSummary(6, 6, 0)
COOLDOWN_MS = 3_000.0


def make_holder(now_ms=0.0, generation=5):
    lease = OrderLease(COOLDOWN_MS, now_ms)
    lease.on_answer(LeaseReply(generation, True), now_ms, now_ms)
    assert lease.may_order(now_ms + 1, ALL_HEARD)
    return lease


@pytest.mark.parametrize(
    ("peers", "allowed"),
    [
        (PeerSummary(6, 6, 0), True),
        (PeerSummary(3, 6, 0), True),
        (PeerSummary(2, 6, 0), False),
        (PeerSummary(0, 0, 0), False),
        (PeerSummary(6, 6, 6), False),
        (PeerSummary(6, 6, 4), True),
    ],
    ids=["all-heard", "half", "fewer", "alone", "newer-holder", "older-holder"],
)
def test_active_holder_while_the_store_is_unreachable(peers, allowed):
    """Guards against a gap in the orders when only the holder loses the store."""
    lease = make_holder()
    assert lease.may_order(LEASE_MS + 5_000, peers) is allowed


def test_successor_waits_while_the_previous_holder_is_active():
    """Guards against two VMs that send orders at the same time."""
    lease = OrderLease(COOLDOWN_MS, 0.0)
    lease.on_answer(LeaseReply(7, True), 0.0, 1.0)
    assert not lease.may_order(10.0, PeerSummary(6, 6, 5))
    assert lease.may_order(20.0, ALL_HEARD)


def test_lease_term_starts_when_the_renewal_is_sent():
    """Guards against orders after the store has granted the lease to another VM."""
    lease = OrderLease(COOLDOWN_MS, 0.0)
    lease.on_answer(LeaseReply(7, True), 0.0, LEASE_MS - 1)
    assert not lease.may_order(LEASE_MS, ALL_HEARD)


def test_resumed_holder_sends_no_orders():
    """Guards against orders of a VM that was suspended and has no reports yet."""
    lease = make_holder()
    assert not lease.may_order(LEASE_MS + 4_000, PeerSummary(0, 6, 0))
    assert not lease.may_order(LEASE_MS + 4_001, ALL_HEARD)


def test_holder_that_lost_the_lease_waits_out_the_cooldown():
    """Guards against orders of a VM that lost the lease and regained it at once."""
    lease = make_holder()
    lease.on_answer(LeaseReply(6, False), 500.0, 500.0)
    lease.on_answer(LeaseReply(7, True), 1_000.0, 1_000.0)
    assert not lease.may_order(1_001.0, ALL_HEARD)
    lease.on_answer(LeaseReply(7, True), 3_400.0, 3_400.0)
    assert lease.may_order(500.0 + COOLDOWN_MS, ALL_HEARD)


def test_fenced_holder_stays_inactive_until_a_higher_generation():
    """Guards against orders with a fencing token that an engine has refused."""
    lease = make_holder()
    lease.on_fenced(5, 100.0)
    lease.on_answer(LeaseReply(5, True), 4_000.0, 4_000.0)
    assert not lease.may_order(4_001.0, ALL_HEARD)
    lease.on_answer(LeaseReply(8, True), 4_100.0, 4_100.0)
    assert lease.may_order(4_101.0, ALL_HEARD)


def test_generation_never_decreases():
    """Guards against a fencing token lower than one used before."""
    lease = make_holder(generation=9)
    lease.on_answer(LeaseReply(4, True), 10.0, 10.0)
    assert lease.generation == 9
