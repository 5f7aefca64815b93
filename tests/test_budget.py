"""Tests of budget owners, token buckets and budget holders."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from cassiamount.budget import BLOCK_LIFETIME_MS, BudgetOwner
from cassiamount.budget_holder import BudgetHolder
from cassiamount.budget_messages import Grant, NotOwner, Refund, Shortage, Use
from cassiamount.errors import InvariantViolation
from cassiamount.timing import LEASE_MS, MAX_CLOCK_DRIFT
from cassiamount.token_bucket import TokenBucket
from tests.machines import proof_settings
from tests.machines.budget_machine import BudgetMachine

FOREVER_MS = 1e9


def make_owner(rate=0.0, burst=100, level=100, deadline_ms=FOREVER_MS):
    owner = BudgetOwner("za", 0, 7, 0.0, deadline_ms)
    owner.take_over({"team": [level, 0]}, 0.0)
    owner.set_team("team", rate, burst, 0.0)
    return owner


def total_tokens(owner):
    return sum(owner.levels()["team"])


def test_new_bucket_is_empty():
    """Guards against a new owner that grants the burst again without a note."""
    owner = BudgetOwner("za", 0, 7, 0.0, FOREVER_MS)
    owner.set_team("team", 10.0, 100, 0.0)
    assert isinstance(owner.grant("team", "vm@1", 5, 1, 0.0), Shortage)


def test_outstanding_tokens_count_against_the_burst():
    """Guards against a refill that replaces lent tokens before they are used."""
    owner = make_owner(rate=1000.0)
    grant = owner.grant("team", "vm@1", 60, 1, 0.0)
    assert grant.tokens == 60
    assert owner.grant("team", "vm@2", 100, 1, 1000.0).tokens == 40


@pytest.mark.parametrize(
    ("now_ms", "answer"), [(0.0, Grant), (3979.0, Grant), (3990.0, NotOwner)]
)
def test_no_block_outlives_the_lease(now_ms, answer):
    """Guards against blocks that are still valid under the next owner's lease."""
    owner = make_owner(deadline_ms=4000.0)
    grant = owner.grant("team", "vm@1", 10, 1, now_ms)
    assert isinstance(grant, answer)
    if answer is Grant:
        assert now_ms + grant.lifetime_ms * (1 + MAX_CLOCK_DRIFT) <= 4000.0 + 1e-6


def test_repeated_report_is_applied_once():
    """Guards against a report sent twice that returns outstanding tokens twice."""
    owner = make_owner()
    grant = owner.grant("team", "vm@1", 60, 1, 0.0)
    uses = [Use(grant.grant_id, 20, 10)]
    assert owner.report("vm@1", 1, uses, [], 10.0)
    assert not owner.report("vm@1", 1, uses, [], 20.0)
    assert owner.levels()["team"] == (50, 30)


def test_report_of_another_holder_is_ignored():
    """Guards against a VM that returns tokens of a block it does not hold."""
    owner = make_owner()
    grant = owner.grant("team", "vm@1", 60, 1, 0.0)
    owner.report("vm@2", 1, [Use(grant.grant_id, 0, 60)], [], 10.0)
    assert owner.levels()["team"] == (40, 60)


def test_expired_block_counts_as_used_and_its_rest_is_refunded():
    """Guards against a late report that adds tokens used in its block to the level."""
    owner = make_owner()
    grant = owner.grant("team", "vm@1", 60, 1, 0.0)
    after_expiry_ms = BLOCK_LIFETIME_MS * 2.0
    owner.expire_blocks(after_expiry_ms)
    assert owner.levels()["team"] == (40, 0)
    owner.report("vm@1", 1, [Use(grant.grant_id, 20, 40)], [], after_expiry_ms)
    assert owner.levels()["team"] == (80, 0)


def test_refund_is_limited_by_the_peak_since_the_charge():
    """Guards against a refund of tokens that the bucket would have overflowed."""
    bucket = TokenBucket(10.0, 100, 0.0, 100)
    bucket.lend(50, 0.0)
    event = bucket.use(50, 0.0)
    bucket.refill(4040.0)
    assert bucket.level_tokens == pytest.approx(90)
    bucket.lend(80, 4040.0)
    bucket.use(80, 4040.0)
    assert bucket.refund(50, event, 4040.0) == pytest.approx(10)


def test_second_refund_accounts_for_the_first():
    """Guards against two refunds that claim the same headroom below the burst."""
    bucket = TokenBucket(0.0, 100, 0.0, 100)
    bucket.lend(20, 0.0)
    event = bucket.use(20, 0.0)
    bucket.lend(50, 0.0)
    bucket.use(50, 0.0)
    assert bucket.refund(15, event, 0.0) + bucket.refund(15, event, 0.0) == 20


def test_handover_note_restores_levels_and_outstanding_blocks():
    """Guards against a takeover that ignores valid blocks of the previous owner."""
    owner = make_owner()
    owner.grant("team", "vm@1", 60, 1, 0.0)
    note = owner.hand_over(1.0)
    assert isinstance(owner.grant("team", "vm@1", 1, 1, 1.0), NotOwner)
    successor = BudgetOwner("za", 0, 9, 5.0, FOREVER_MS)
    successor.take_over(note, 5.0)
    successor.set_team("team", 1000.0, 100, 5.0)
    assert successor.levels()["team"] == (40, 60)
    successor.expire_blocks(5.0 + LEASE_MS)
    assert successor.levels()["team"][1] == 60
    successor.expire_blocks(6.0 + LEASE_MS * (1 + MAX_CLOCK_DRIFT))
    assert successor.levels()["team"][1] == 0


@pytest.mark.parametrize("note", [{}, {"team": [-1, 0]}, {"team": "?"}])
def test_release_without_a_note_waits_for_the_blocks_of_the_predecessor(note):
    """Guards against a new burst while holders still have a dead owner's blocks."""
    owner = BudgetOwner("za", 0, 9, 0.0, FOREVER_MS)
    owner.take_over(note, 0.0)
    owner.set_team("team", 1000.0, 100, 0.0)
    assert isinstance(owner.grant("team", "vm@1", 1, 1, LEASE_MS), Shortage)
    owner.expire_blocks(LEASE_MS * (1 + MAX_CLOCK_DRIFT))
    assert isinstance(owner.grant("team", "vm@1", 1, 1, LEASE_MS + 200), Grant)


def test_loan_is_debited_at_the_lender_and_reported_back():
    """Guards against tokens of a loan that also enter the borrower's bucket."""
    lender, borrower = make_owner(), make_owner(level=0)
    loan = lender.grant("team", "zone/zb/7", 60, 1, 0.0)
    grant = borrower.add_loan("team", "vm@1", loan, ("za", 0, 7), 0.0)
    assert (total_tokens(lender), total_tokens(borrower)) == (100, 0)
    assert grant.deadline_ms <= loan.deadline_ms
    uses = [Use(grant.grant_id, 20, 40)]
    borrower.report("vm@1", 1, uses, [Refund("team", grant.grant_id, 5, 9.0)], 10.0)
    (report,) = borrower.loan_reports()
    lender.report("zone/zb/7", report.sequence, report.uses, report.refunds, 10.0)
    assert (total_tokens(lender), total_tokens(borrower)) == (85, 0)
    borrower.loan_report_done(report)
    assert borrower.loan_reports() == []


def test_reduced_burst_applies_as_blocks_come_back():
    """Guards against returned or unused tokens above a reduced burst."""
    owner = make_owner()
    grant = owner.grant("team", "vm@1", 60, 1, 0.0)
    owner.set_team("team", 0.0, 30, 0.0)
    assert owner.levels()["team"] == (0, 60)
    owner.report("vm@1", 1, [Use(grant.grant_id, 30, 0)], [], 1.0)
    assert owner.levels()["team"] == (0, 30)


def test_bucket_refuses_to_lend_below_zero():
    """Guards against lending more than the level."""
    bucket = TokenBucket(0.0, 100, 0.0, 10)
    with pytest.raises(InvariantViolation):
        bucket.lend(11, 0.0)


def make_holder(*blocks):
    holder = BudgetHolder("vm@1")
    holder.set_team("team", 1000, 0.0)
    for number, (tokens, deadline_ms) in enumerate(blocks, 1):
        holder.add_grant("team", Grant(f"za/0/7/{number}", tokens, deadline_ms), 0.0)
    return holder


@pytest.mark.parametrize(
    ("tokens", "now_ms", "charged"),
    [(50, 0.0, True), (80, 0.0, True), (81, 0.0, False), (31, 1500.0, False)],
)
def test_charge_uses_only_valid_blocks(tokens, now_ms, charged):
    """Guards against a charge to an expired block, or of more than is held."""
    holder = make_holder((50, 1000.0), (30, 2000.0))
    assert (holder.charge("team", tokens, now_ms) is not None) is charged


def test_charge_that_is_settled_before_its_report_stays_in_the_block():
    """Guards against a refund by the owner for a request settled before its report."""
    holder = make_holder((50, 1000.0))
    holder.settle(holder.charge("team", 50, 0.0), 20, 1.0)
    assert holder.available("team", 1.0) == 30
    (report,) = holder.reports(1.0)
    assert [(use.used_tokens, use.returned_tokens) for use in report.uses] == [(20, 0)]


def test_charge_that_is_settled_after_its_report_is_refunded_once():
    """Guards against tokens that are refunded and also usable in their block."""
    holder = make_holder((50, 1000.0))
    charge = holder.charge("team", 50, 0.0)
    (report,) = holder.reports(1.0)
    assert holder.reports(300.0) == [report]
    holder.report_done(report)
    holder.settle(charge, 20, 300.0)
    holder.settle(charge, 0, 300.0)
    assert holder.available("team", 300.0) == 0
    assert holder.reports(310.0) == []
    (report,) = holder.reports(500.0)
    assert [(r.tokens, r.charged_age_ms) for r in report.refunds] == [(30, 500.0)]


def test_idle_and_expired_tokens_are_returned():
    """Guards against idle blocks that other VMs cannot use."""
    holder = make_holder((50, 100.0), (30, 2000.0))
    assert holder.reports(1.0) == []
    (report,) = holder.reports(500.0)
    assert {use.grant_id: use.returned_tokens for use in report.uses} == {
        "za/0/7/1": 50,
        "za/0/7/2": 30,
    }


def test_failed_charge_requests_the_missing_tokens():
    """Guards against a requested block that is too small for the waiting request."""
    holder = make_holder((50, 1000.0))
    assert holder.due_token_requests(0.0) == []
    assert holder.charge("team", 400, 0.0) is None
    (token_request,) = holder.due_token_requests(0.0)
    assert (token_request.want_tokens, token_request.min_tokens) == (350, 350)


def test_block_size_follows_use_up_to_a_fifth_of_the_burst():
    """Guards against one VM that requests the whole burst."""
    holder = make_holder((10_000, 1e9))
    for now_ms in range(0, 2000, 10):
        holder.charge("team", 20, float(now_ms))
    assert holder.next_block_tokens("team", 2000.0) == 200
    assert holder.next_block_tokens("team", 60_000.0) == 1


def test_every_interval_stays_within_rate_and_burst():
    """Guards against overspending through loans, refunds, takeovers or clock drift."""
    run_state_machine_as_test(BudgetMachine, settings=proof_settings())
