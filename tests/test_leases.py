"""Tests of leases: single rules, and a randomized test of all rules together."""

import itertools

import pytest
from hypothesis.stateful import run_state_machine_as_test

from cassiamount.lease_state import Lease
from cassiamount.leases import LeaseCandidate, LeaseHolder
from cassiamount.records import ClaimLease, RegisterVm, ReleaseLease, RenewLease
from cassiamount.timing import (
    EXTENSION_LIMIT_MS,
    LEASE_MS,
    MAX_CLOCK_DRIFT,
    ORPHAN_TIMEOUT_MS,
    SERVER_SHUTDOWN_MS,
)
from cassiamount.zone_state import ZoneState
from tests.machines import proof_settings
from tests.machines.lease_machine import LeaseMachine

LEASE = "budget/0"
HELD = Lease("h@1", 5, 7, {"h@1", "a@1", "b@1"}, {"h@1", "a@1", "b@1"})
LONG_BEFORE_MS = -10_000.0


def make_candidate(state=HELD, observed_ms=0.0):
    numbers = itertools.count(1)
    candidate = LeaseCandidate("a@1", LEASE, lambda: f"a@1#{next(numbers)}")
    candidate.observe(state, observed_ms)
    return candidate


def make_holder(sent_ms=0.0, extendable=True):
    numbers = itertools.count(1)
    holder = LeaseHolder(
        "h@1", LEASE, 5, sent_ms, lambda: f"h@1#{next(numbers)}", extendable
    )
    holder.observe(HELD)
    return holder


def is_promised(candidate, now_ms=0.0, **overrides):
    arguments = {
        "holder": "h@1",
        "promiser": "a@1",
        "fence": 5,
        "duration_ms": LEASE_MS,
        "log_reached_ms": LONG_BEFORE_MS,
    }
    arguments.update(overrides)
    return candidate.promise(now_ms=now_ms, **arguments).promised


@pytest.mark.parametrize(
    ("overrides", "promised"),
    [
        ({}, True),
        ({"fence": 6}, True),
        ({"promiser": "a@2"}, False),
        ({"fence": 4}, False),
        ({"holder": "x@1"}, False),
        ({"log_reached_ms": -900.0}, False),
        ({"duration_ms": LEASE_MS + 1}, False),
        ({"duration_ms": 0.0}, False),
    ],
)
def test_conditions_for_a_promise(overrides, promised):
    """Guards against a promise to a holder that is outdated or must lose the lease."""
    assert is_promised(make_candidate(), **overrides) is promised


def test_no_promise_while_a_claim_may_arrive():
    """Guards against a claim of the VM that reaches the log after its promise.

    A failed append may still store the claim later, so the VM may promise only once it
    has read the claim from the log.
    """
    candidate = make_candidate()
    claim = candidate.claim(5_000.0).record
    assert not is_promised(candidate, 5_000.0)
    candidate.on_claim_failed(claim, maybe_in_log=True)
    # The second append certainly stored nothing; the first may still store the claim.
    candidate.on_claim_failed(claim, maybe_in_log=False)
    assert not is_promised(candidate, 5_000.0)
    candidate.on_claim_read(claim.id)
    assert is_promised(candidate, 5_000.0)


def test_claim_that_is_certainly_absent_allows_a_promise():
    """Guards against a VM that makes no promise any more after one failed append."""
    candidate = make_candidate()
    candidate.on_claim_failed(candidate.claim(5_000.0).record, maybe_in_log=False)
    assert is_promised(candidate, 5_000.0)


def test_no_claim_while_the_promise_lasts():
    """Guards against a claim before the VM's promise has expired."""
    candidate = make_candidate()
    assert is_promised(candidate, 3_000.0)
    end_ms = 3_000.0 + LEASE_MS * (1 + MAX_CLOCK_DRIFT)
    assert candidate.claim(end_ms - 1) is None
    assert candidate.claim(end_ms) is not None


@pytest.mark.parametrize(
    ("state", "due_ms", "orphaned"),
    [
        (None, 0.0, False),
        (HELD, LEASE_MS * (1 + MAX_CLOCK_DRIFT), False),
        (Lease("h@1", 5, 7, {"a@1"}, released=True, note={}), 0.0, False),
        (Lease("h@1", 5, 7, {"h@1"}, {"h@1"}), LEASE_MS * (1 + MAX_CLOCK_DRIFT), False),
        (Lease("h@1", 5, 7, {"h@1", "b@1"}), ORPHAN_TIMEOUT_MS, True),
        (Lease("h@1", 5, 7, {"h@1", "a@1"}, {"h@1", "b@1"}), ORPHAN_TIMEOUT_MS, True),
    ],
)
def test_when_a_claim_is_due(state, due_ms, orphaned):
    """Guards against a claim while the holder may still use the lease."""
    candidate = make_candidate(state, 100.0)
    assert candidate.claim(100.0 + due_ms - 1) is None
    assert candidate.claim(100.0 + due_ms).record.orphaned is orphaned


TWO_ROSTERS = {
    "roster": {"h@1", "b@1"},
    "previous_roster": {"h@1", "c@1"},
    "addresses": {"b:1"},
    "previous_addresses": {"c:1"},
}


@pytest.mark.parametrize(
    ("refused", "due_ms"),
    [
        ({}, ORPHAN_TIMEOUT_MS),
        ({"b:1": 500.0}, ORPHAN_TIMEOUT_MS),
        ({"x:1": 500.0, "c:1": 500.0}, ORPHAN_TIMEOUT_MS),
        (
            {"b:1": 500.0, "c:1": 900.0},
            900.0 + (SERVER_SHUTDOWN_MS + LEASE_MS) * (1 + MAX_CLOCK_DRIFT),
        ),
    ],
    ids=["none", "one-roster", "stranger", "both-rosters"],
)
def test_refused_connections_end_the_orphan_wait(refused, due_ms):
    """Guards against a wait of an hour for leases after all VMs were replaced.

    Also guards against a claim that is too early: the holder may have extended the
    lease with the promises of the members in either of the last two rosters.
    """
    candidate = make_candidate(Lease("h@1", 5, 7, **TWO_ROSTERS), 0.0)
    assert candidate.addresses_to_check() == {"b:1", "c:1"}
    for address, refused_ms in refused.items():
        candidate.on_connection_refused(address, refused_ms)
    assert candidate.claim(due_ms - 1) is None
    assert candidate.claim(due_ms).record.orphaned


def test_renewal_counts_from_its_first_sending():
    """Guards against a deadline that runs from a later attempt or from its reply."""
    holder = make_holder()
    first = holder.renew(1_000.0).record
    assert holder.renew(2_000.0).record is first
    holder.observe(Lease("h@1", 5, 9, HELD.roster))
    assert holder.deadline_ms == 1_000.0 + LEASE_MS * (1 - MAX_CLOCK_DRIFT)


def test_claim_counts_from_its_first_sending():
    """Guards against a holder whose deadline runs from a later attempt to claim."""
    candidate = make_candidate(None)
    first = candidate.claim(0.0).record
    assert candidate.claim(1_000.0).record is first
    assert candidate.observe(Lease("a@1", 1, 1, {"a@1"}), 1_500.0) == 0.0


def test_extension_needs_the_promise_of_all():
    """Guards against an extension without the promise of every member."""
    holder = make_holder()
    assert holder.request_promises(1_000.0) is None
    command = holder.request_promises(3_000.0)
    assert command.promisers == ("a@1", "b@1")
    deadline_ms = holder.deadline_ms
    holder.on_promise_reply(command.round_number, "a@1", True)
    holder.on_promise_reply(command.round_number, "a@1", True)
    holder.on_promise_reply(command.round_number, "b@1", False)
    assert holder.deadline_ms == deadline_ms
    holder.on_promise_reply(command.round_number, "b@1", True)
    assert holder.deadline_ms == 3_000.0 + LEASE_MS * (1 - MAX_CLOCK_DRIFT)
    assert holder.extended


def test_answers_to_an_earlier_round_do_not_count():
    """Guards against an earlier promise that counts as if it was made later."""
    holder = make_holder()
    first = holder.request_promises(2_500.0)
    second = holder.request_promises(3_600.0)
    holder.on_promise_reply(first.round_number, "a@1", True)
    holder.on_promise_reply(second.round_number, "b@1", True)
    assert holder.deadline_ms == LEASE_MS * (1 - MAX_CLOCK_DRIFT)


@pytest.mark.parametrize(
    ("roster", "extendable", "now_ms", "asks"),
    [
        ({"h@1", "a@1"}, True, 3_000.0, True),
        ({"h@1"}, True, 3_000.0, False),
        ({"h@1", "a@1"}, False, 3_000.0, False),
        ({"h@1", "a@1"}, True, EXTENSION_LIMIT_MS, False),
    ],
)
def test_which_leases_are_extended(roster, extendable, now_ms, asks):
    """Guards against an extension while another VM may claim the lease as orphaned."""
    holder = make_holder(extendable=extendable)
    holder.observe(Lease("h@1", 5, 7, roster))
    assert (holder.request_promises(now_ms) is not None) is asks


def test_orphan_wait_is_longer_than_any_extension():
    """Guards against an orphan timeout that ends before the longest extension."""
    longest_ms = EXTENSION_LIMIT_MS * (1 - MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
    assert ORPHAN_TIMEOUT_MS / (1 + MAX_CLOCK_DRIFT) > longest_ms


def zone_state_after(*records):
    zone_state = ZoneState("z")
    for name in ("h", "a"):
        zone_state.apply(
            zone_state.next_offset,
            RegisterVm(f"r{name}", f"{name}@1", f"{name}:1", "1"),
        )
    zone_state.apply(2, ClaimLease("c1", "h@1", LEASE, 0, 0))
    for record in records:
        result = zone_state.apply(zone_state.next_offset, record)
    return zone_state, type(result).__name__


RENEWAL = RenewLease("n1", "h@1", LEASE, 3)
LATE_JOINER = RegisterVm("rx", "x@1", "x:1", "1")


@pytest.mark.parametrize(
    ("records", "result"),
    [
        ([RENEWAL], "Applied"),
        ([RenewLease("n1", "a@1", LEASE, 3)], "Rejected"),
        ([ClaimLease("c2", "a@1", LEASE, 3, 3)], "Applied"),
        ([RENEWAL, ClaimLease("c2", "a@1", LEASE, 3, 3)], "Rejected"),
        ([RENEWAL, ClaimLease("c2", "a@1", LEASE, 3, 4)], "Applied"),
        ([ClaimLease("c2", "a@1", LEASE, 0, 0)], "Rejected"),
        ([ClaimLease("c2", "x@1", LEASE, 3, 3)], "Rejected"),
        ([ClaimLease("c2", "x@1", LEASE, 3, 3, True)], "Applied"),
        ([LATE_JOINER, RENEWAL, ClaimLease("c2", "x@1", LEASE, 3, 5)], "Rejected"),
        (
            [
                LATE_JOINER,
                RENEWAL,
                RenewLease("n2", "h@1", LEASE, 3),
                ClaimLease("c2", "x@1", LEASE, 3, 6),
            ],
            "Applied",
        ),
        (
            [
                ReleaseLease("l1", "h@1", LEASE, 3, {"t": [1, 2]}),
                ClaimLease("c2", "x@1", LEASE, 3, 3),
            ],
            "Applied",
        ),
        ([ReleaseLease("l1", "h@1", LEASE, 3), RENEWAL], "Rejected"),
        ([RENEWAL, RENEWAL], "Rejected"),
        # The claimant has the address of a member whose promise the holder needs.
        (
            [
                RegisterVm("ra2", "a@2", "a:1", "2"),
                ClaimLease("c2", "a@2", LEASE, 3, 3),
            ],
            "Applied",
        ),
        (
            [
                RegisterVm("ra2", "a@2", "a:2", "2"),
                ClaimLease("c2", "a@2", LEASE, 3, 3),
            ],
            "Rejected",
        ),
        # The claimant has the holder's address. The holder may still run elsewhere and
        # extend its lease with the promise of the other member.
        (
            [
                RegisterVm("rh2", "h@2", "h:1", "2"),
                ClaimLease("c2", "h@2", LEASE, 3, 3),
            ],
            "Rejected",
        ),
    ],
)
def test_which_lease_records_are_accepted(records, result):
    """Guards against claims made from stale state or by VMs the holder never asked."""
    zone_state, result_name = zone_state_after(*records)
    assert result_name == result
    copy = ZoneState("z")
    copy.load_state(zone_state.next_offset - 1, zone_state.to_state())
    assert copy.digest() == zone_state.digest()


def test_one_vm_at_a_time_uses_a_lease():
    """Guards against two VMs that use one lease at the same true time."""
    run_state_machine_as_test(LeaseMachine, settings=proof_settings())
