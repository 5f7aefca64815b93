"""State machine of one team's budget in two zones; checks each interval's charges."""

import itertools
import random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cassiamount.budget import BudgetOwner
from cassiamount.budget_holder import BudgetHolder
from cassiamount.budget_messages import Grant
from cassiamount.timing import LEASE_MS, MAX_CLOCK_DRIFT, at_least_ms, at_most_ms

TEAM = "team"
ZONES = ("za", "zb")
RATE_TOKENS_PER_S = 100.0
BURST_TOKENS = 200
CLOCK_RATES = (1 - MAX_CLOCK_DRIFT, 1.0, 1 + MAX_CLOCK_DRIFT)
STEPS_MS = (1.0, 90.0, 450.0, 1_900.0, 4_100.0)

zones = st.sampled_from(ZONES)
holder_numbers = st.integers(0, 2)
indexes = st.integers(0, 15)
tokens = st.integers(1, 250)


def highest_excess(charges, rate_tokens_per_s):
    """Return the maximum over all intervals of charged tokens minus rate x duration.

    `charges` are (time, tokens) pairs in order of time.
    """
    worst = excess = 0.0
    last_ms = None
    for at_ms, charged_tokens in charges:
        if last_ms is not None:
            excess = max(0.0, excess - rate_tokens_per_s * (at_ms - last_ms) / 1000)
        excess += charged_tokens
        worst = max(worst, excess)
        last_ms = at_ms
    return worst


class OwnerVm:
    """A budget owner and the clock of its VM, which runs at `clock_rate`."""

    def __init__(self, zone, fence, clock_rate, true_ms, fraction, note=None):
        self.clock_rate = clock_rate
        now_ms = true_ms * clock_rate
        self.budget_owner = BudgetOwner(
            zone, 0, fence, now_ms, now_ms + at_most_ms(LEASE_MS)
        )
        self.renewed_true_ms = true_ms
        if note is not None:
            self.budget_owner.take_over(note, now_ms)
        self.budget_owner.set_team(
            TEAM, RATE_TOKENS_PER_S * fraction, BURST_TOKENS * fraction, now_ms
        )


class BudgetMachine(RuleBasedStateMachine):
    @initialize(
        owner_clock_rates=st.tuples(*[st.sampled_from(CLOCK_RATES)] * 2),
        holder_clock_rates=st.tuples(*[st.sampled_from(CLOCK_RATES)] * 3),
        fraction=st.sampled_from([1.0, 0.5]),
    )
    def start(self, owner_clock_rates, holder_clock_rates, fraction):
        # With the whole share in one zone, the other zone's unused tokens cannot hide
        # overspending.
        self.zone_shares = {"za": fraction, "zb": 1 - fraction}
        self.true_ms = 1_000.0
        self.fences = itertools.count(1)
        self.owner_clock_rates = dict(zip(ZONES, owner_clock_rates, strict=True))
        self.owners = {}
        self.owners_by_id = {}
        for zone in ZONES:
            self.start_owner(
                zone, {TEAM: [int(BURST_TOKENS * self.zone_shares[zone]), 0]}
            )
        self.holder_clock_rates = holder_clock_rates
        self.holders = [BudgetHolder(f"h{n}@1") for n in range(3)]
        for holder_number, holder in enumerate(self.holders):
            holder.set_team(TEAM, BURST_TOKENS, self.local_ms(holder_number))
        self.requests, self.answers, self.reports, self.loan_reports = [], [], [], []
        self.charges = []
        self.unsettled = []

    def start_owner(self, zone, note=None):
        fence = next(self.fences)
        clock_rate, fraction = self.owner_clock_rates[zone], self.zone_shares[zone]
        owner = OwnerVm(zone, fence, clock_rate, self.true_ms, fraction, note)
        self.owners[zone] = owner
        self.owners_by_id[zone, 0, fence] = owner

    def local_ms(self, holder_number):
        return self.true_ms * self.holder_clock_rates[holder_number]

    def owner_ms(self, owner):
        return self.true_ms * owner.clock_rate

    @rule(step_ms=st.sampled_from(STEPS_MS))
    def advance(self, step_ms):
        self.true_ms += step_ms

    @rule(zone=zones)
    def renew_lease(self, zone):
        owner = self.owners[zone]
        now_ms = self.owner_ms(owner)
        if now_ms < owner.budget_owner.lease_deadline_ms:
            owner.budget_owner.lease_deadline_ms = now_ms + at_most_ms(LEASE_MS)
            owner.renewed_true_ms = self.true_ms

    @rule(zone=zones)
    def successor_claims_expired_lease(self, zone):
        # The previous owner still gets messages: it may be paused rather than dead.
        wait_ms = at_least_ms(LEASE_MS) / self.owner_clock_rates[zone]
        due_ms = self.owners[zone].renewed_true_ms + wait_ms
        self.true_ms = max(self.true_ms, due_ms)
        self.start_owner(zone)

    @rule(zone=zones, keep_note=st.booleans())
    def successor_takes_released_lease(self, zone, keep_note):
        note = self.owners[zone].budget_owner.hand_over(
            self.owner_ms(self.owners[zone])
        )
        self.start_owner(zone, note if keep_note else {})

    @rule(holder_number=holder_numbers, choice=indexes, want_tokens=tokens)
    def send_token_request(self, holder_number, choice, want_tokens):
        owners = list(self.owners_by_id.values())
        owner = owners[-1 - choice % len(owners)]
        self.requests.append(
            (holder_number, owner, want_tokens, self.local_ms(holder_number))
        )

    @precondition(lambda self: self.requests)
    @rule(choice=indexes, duplicate=st.booleans())
    def token_request_arrives(self, choice, duplicate):
        index = choice % len(self.requests)
        message = self.requests[index] if duplicate else self.requests.pop(index)
        holder_number, owner, want_tokens, sent_ms = message
        now_ms = self.owner_ms(owner)
        answer = owner.budget_owner.grant(
            TEAM, f"h{holder_number}@1", want_tokens, 1, now_ms
        )
        if isinstance(answer, Grant):
            self.answers.append((holder_number, answer, sent_ms))

    @precondition(lambda self: self.answers)
    @rule(choice=indexes)
    def answer_arrives(self, choice):
        holder_number, grant, sent_ms = self.answers.pop(choice % len(self.answers))
        deadline_ms = sent_ms + at_most_ms(grant.lifetime_ms)
        held = Grant(grant.grant_id, grant.tokens, deadline_ms, grant.lifetime_ms)
        self.holders[holder_number].add_grant(TEAM, held, self.local_ms(holder_number))

    @rule(zone=zones, holder_number=holder_numbers, want_tokens=tokens)
    def borrow(self, zone, holder_number, want_tokens):
        borrower = self.owners[zone]
        lender = self.owners[ZONES[1 - ZONES.index(zone)]]
        identity = f"zone/{zone}/{borrower.budget_owner.fence}"
        sent_ms = self.owner_ms(borrower)
        loan = lender.budget_owner.grant(
            TEAM, identity, want_tokens, 1, self.owner_ms(lender)
        )
        if not isinstance(loan, Grant):
            return
        loan.deadline_ms = sent_ms + at_most_ms(loan.lifetime_ms)
        source = (lender.budget_owner.zone, 0, lender.budget_owner.fence)
        holder = f"h{holder_number}@1"
        answer = borrower.budget_owner.add_loan(TEAM, holder, loan, source, sent_ms)
        if isinstance(answer, Grant):
            self.answers.append((holder_number, answer, self.local_ms(holder_number)))

    @rule(holder_number=holder_numbers, requested_tokens=tokens)
    def charge(self, holder_number, requested_tokens):
        holder = self.holders[holder_number]
        available = holder.available(TEAM, self.local_ms(holder_number))
        requested_tokens = (
            min(requested_tokens, available) if available else requested_tokens
        )
        charge = holder.charge(TEAM, requested_tokens, self.local_ms(holder_number))
        if charge is not None:
            entry = [self.true_ms, requested_tokens]
            self.charges.append(entry)
            self.unsettled.append((holder_number, charge, entry))

    @precondition(lambda self: self.unsettled)
    @rule(choice=indexes, fraction=st.sampled_from([0.0, 0.4, 1.0]))
    def settle(self, choice, fraction):
        holder_number, charge, entry = self.unsettled.pop(choice % len(self.unsettled))
        used = int(charge.tokens * fraction)
        entry[1] = used
        self.holders[holder_number].settle(charge, used, self.local_ms(holder_number))

    @rule(holder_number=holder_numbers)
    def report(self, holder_number):
        for report in self.holders[holder_number].reports(self.local_ms(holder_number)):
            self.reports.append((holder_number, report))

    @precondition(lambda self: self.reports)
    @rule(choice=indexes, duplicate=st.booleans(), acknowledged=st.booleans())
    def report_arrives(self, choice, duplicate, acknowledged):
        index = choice % len(self.reports)
        holder_number, report = (
            self.reports[index] if duplicate else self.reports.pop(index)
        )
        owner = self.owners_by_id[report.owner]
        owner.budget_owner.report(
            f"h{holder_number}@1",
            report.sequence,
            report.uses,
            report.refunds,
            self.owner_ms(owner),
        )
        if acknowledged:
            self.holders[holder_number].report_done(report)

    @rule(zone=zones)
    def loan_report(self, zone):
        borrower = self.owners[zone].budget_owner
        self.loan_reports.extend(
            (borrower, report) for report in borrower.loan_reports()
        )

    @precondition(lambda self: self.loan_reports)
    @rule(choice=indexes, duplicate=st.booleans(), acknowledged=st.booleans())
    def loan_report_arrives(self, choice, duplicate, acknowledged):
        index = choice % len(self.loan_reports)
        borrower, report = (
            self.loan_reports[index] if duplicate else self.loan_reports.pop(index)
        )
        lender = self.owners_by_id[report.owner]
        lender.budget_owner.report(
            f"zone/{borrower.zone}/{borrower.fence}",
            report.sequence,
            report.uses,
            report.refunds,
            self.owner_ms(lender),
        )
        if acknowledged:
            borrower.loan_report_done(report)

    # Rules of several steps, so that full and empty buckets are reached in few rules.

    @rule(
        holder_number=holder_numbers,
        zone=zones,
        want_tokens=tokens,
        delay_ms=st.sampled_from(STEPS_MS),
    )
    def request_and_charge(self, holder_number, zone, want_tokens, delay_ms):
        owner = self.owners[zone]
        self.requests.append(
            (holder_number, owner, want_tokens, self.local_ms(holder_number))
        )
        self.token_request_arrives(-1, False)
        self.true_ms += delay_ms if delay_ms < 1000 else 0
        if self.answers:
            self.answer_arrives(-1)
        self.charge(holder_number, want_tokens)

    @precondition(lambda self: self.unsettled)
    @rule(fraction=st.sampled_from([0.0, 0.4]))
    def settle_all_and_report(self, fraction):
        self.all_reports_arrive()
        while self.unsettled:
            self.settle(0, fraction)
        self.true_ms += 200.0
        self.all_reports_arrive()

    @rule(seed=st.integers(0, 10_000), slots=st.integers(1, 10))
    def traffic(self, seed, slots):
        rng = random.Random(seed)
        duplicate_rate = rng.choice((0.0, 0.3))
        loss_rate = rng.choice((0.0, 0.3))
        for _ in range(slots):
            self.true_ms += rng.choice((1.0, 50.0, 250.0, 1000.0, 2100.0))
            for zone in ZONES:
                if rng.random() < 0.9:
                    self.renew_lease(zone)
            for _ in range(rng.randint(0, 3)):
                zone = "za" if rng.random() < 0.8 else "zb"
                self.request_and_charge(
                    rng.randrange(3), zone, rng.choice((40, 100, 200)), 1.0
                )
            self.every_interval_is_within_rate_and_burst()
            while self.unsettled and rng.random() < 0.4:
                index = rng.randrange(len(self.unsettled))
                self.settle(index, rng.choice((0.0, 0.4, 1.0)))
            if rng.random() < 0.7:
                for holder_number in range(3):
                    self.report(holder_number)
                while self.reports and rng.random() > loss_rate:
                    index = rng.randrange(len(self.reports))
                    duplicate = rng.random() < duplicate_rate
                    self.report_arrives(index, duplicate, rng.random() < 0.8)

    @rule()
    def all_reports_arrive(self):
        for holder_number in range(3):
            self.report(holder_number)
        while self.reports:
            self.report_arrives(0, False, True)
        for zone in ZONES:
            self.loan_report(zone)
        while self.loan_reports:
            self.loan_report_arrives(0, False, True)

    @rule(zone=zones)
    def idle_until_full(self, zone):
        for _ in range(3):
            self.renew_lease(zone)
            self.true_ms += 900.0

    @invariant()
    def every_interval_is_within_rate_and_burst(self):
        excess = highest_excess(getattr(self, "charges", ()), RATE_TOKENS_PER_S)
        assert excess <= BURST_TOKENS + 1e-3, excess
