"""Budgets of one team over two zones, with an independent check of every interval."""

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
RATES = (1 - MAX_CLOCK_DRIFT, 1.0, 1 + MAX_CLOCK_DRIFT)
STEPS_MS = (1.0, 90.0, 450.0, 1_900.0, 4_100.0)

zones = st.sampled_from(ZONES)
numbers = st.integers(0, 2)
picks = st.integers(0, 15)
tokens = st.integers(1, 250)


def highest_excess(charges, rate_tokens_per_s):
    """Return the most that any interval of charges has beyond rate x interval.

    `charges` is in order of time.
    """
    worst = excess = 0.0
    last_ms = None
    for at_ms, count in charges:
        if last_ms is not None:
            excess = max(0.0, excess - rate_tokens_per_s * (at_ms - last_ms) / 1000)
        excess += count
        worst = max(worst, excess)
        last_ms = at_ms
    return worst


class Owner:
    """An owner and the clock of its VM."""

    def __init__(self, zone, fence, rate, true_ms, share, note=None):
        self.rate = rate
        now_ms = true_ms * rate
        self.state = BudgetOwner(zone, 0, fence, now_ms, now_ms + at_most_ms(LEASE_MS))
        self.renewed_true_ms = true_ms
        if note is not None:
            self.state.take_over(note, now_ms)
        self.state.set_team(
            TEAM, RATE_TOKENS_PER_S * share, BURST_TOKENS * share, now_ms
        )


class BudgetMachine(RuleBasedStateMachine):
    @initialize(
        owner_rates=st.tuples(*[st.sampled_from(RATES)] * 2),
        holder_rates=st.tuples(*[st.sampled_from(RATES)] * 3),
        share=st.sampled_from([1.0, 0.5]),
    )
    def start(self, owner_rates, holder_rates, share):
        # With the whole share in one zone, no slack of the other one hides a breach.
        self.shares = {"za": share, "zb": 1 - share}
        self.true_ms = 1_000.0
        self.fences = itertools.count(1)
        self.owner_rates = dict(zip(ZONES, owner_rates, strict=True))
        self.owners = {}
        self.all_owners = {}
        for zone in ZONES:
            self.install(zone, {TEAM: [int(BURST_TOKENS * self.shares[zone]), 0]})
        self.holder_rates = holder_rates
        self.holders = [BudgetHolder(f"h{n}@1") for n in range(3)]
        for number, holder in enumerate(self.holders):
            holder.set_team(TEAM, BURST_TOKENS, self.local_ms(number))
        self.asks, self.answers, self.reports, self.loans = [], [], [], []
        self.charges = []
        self.open = []

    def install(self, zone, note=None):
        fence = next(self.fences)
        rate, share = self.owner_rates[zone], self.shares[zone]
        owner = Owner(zone, fence, rate, self.true_ms, share, note)
        self.owners[zone] = owner
        self.all_owners[zone, 0, fence] = owner

    def local_ms(self, number):
        return self.true_ms * self.holder_rates[number]

    def owner_ms(self, owner):
        return self.true_ms * owner.rate

    @rule(step_ms=st.sampled_from(STEPS_MS))
    def advance(self, step_ms):
        self.true_ms += step_ms

    @rule(zone=zones)
    def renew_lease(self, zone):
        owner = self.owners[zone]
        now_ms = self.owner_ms(owner)
        if now_ms < owner.state.lease_deadline_ms:
            owner.state.lease_deadline_ms = now_ms + at_most_ms(LEASE_MS)
            owner.renewed_true_ms = self.true_ms

    @rule(zone=zones)
    def successor_waits_out_the_lease(self, zone):
        # The old owner stays reachable: it may be paused and not dead.
        wait_ms = at_least_ms(LEASE_MS) / self.owner_rates[zone]
        due_ms = self.owners[zone].renewed_true_ms + wait_ms
        self.true_ms = max(self.true_ms, due_ms)
        self.install(zone)

    @rule(zone=zones, with_note=st.booleans())
    def planned_takeover(self, zone, with_note):
        note = self.owners[zone].state.release_note(self.owner_ms(self.owners[zone]))
        self.install(zone, note if with_note else {})

    @rule(number=numbers, pick=picks, want=tokens)
    def ask(self, number, pick, want):
        owners = list(self.all_owners.values())
        owner = owners[-1 - pick % len(owners)]
        self.asks.append((number, owner, want, self.local_ms(number)))

    @precondition(lambda self: self.asks)
    @rule(pick=picks, keep=st.booleans())
    def ask_arrives(self, pick, keep):
        index = pick % len(self.asks)
        message = self.asks[index] if keep else self.asks.pop(index)
        number, owner, want, sent_ms = message
        now_ms = self.owner_ms(owner)
        answer = owner.state.grant(TEAM, f"h{number}@1", want, 1, now_ms)
        if isinstance(answer, Grant):
            self.answers.append((number, answer, sent_ms))

    @precondition(lambda self: self.answers)
    @rule(pick=picks)
    def answer_arrives(self, pick):
        number, grant, sent_ms = self.answers.pop(pick % len(self.answers))
        deadline_ms = sent_ms + at_most_ms(grant.lifetime_ms)
        held = Grant(grant.grant_id, grant.tokens, deadline_ms, grant.lifetime_ms)
        self.holders[number].add_grant(TEAM, held, self.local_ms(number))

    @rule(zone=zones, number=numbers, want=tokens)
    def loan(self, zone, number, want):
        borrower = self.owners[zone]
        lender = self.owners[ZONES[1 - ZONES.index(zone)]]
        identity = f"zone/{zone}/{borrower.state.fence}"
        sent_ms = self.owner_ms(borrower)
        loan = lender.state.grant(TEAM, identity, want, 1, self.owner_ms(lender))
        if not isinstance(loan, Grant):
            return
        loan.deadline_ms = sent_ms + at_most_ms(loan.lifetime_ms)
        source = (lender.state.zone, 0, lender.state.fence)
        holder = f"h{number}@1"
        answer = borrower.state.add_loan(TEAM, holder, loan, source, sent_ms)
        if isinstance(answer, Grant):
            self.answers.append((number, answer, self.local_ms(number)))

    @rule(number=numbers, count=tokens)
    def charge(self, number, count):
        holder = self.holders[number]
        available = holder.available(TEAM, self.local_ms(number))
        count = min(count, available) if available else count
        charge = holder.charge(TEAM, count, self.local_ms(number))
        if charge is not None:
            entry = [self.true_ms, count]
            self.charges.append(entry)
            self.open.append((number, charge, entry))

    @precondition(lambda self: self.open)
    @rule(pick=picks, share=st.sampled_from([0.0, 0.4, 1.0]))
    def settle(self, pick, share):
        number, charge, entry = self.open.pop(pick % len(self.open))
        used = int(charge.tokens * share)
        entry[1] = used
        self.holders[number].settle(charge, used, self.local_ms(number))

    @rule(number=numbers)
    def report(self, number):
        for report in self.holders[number].reports(self.local_ms(number)):
            self.reports.append((number, report))

    @precondition(lambda self: self.reports)
    @rule(pick=picks, keep=st.booleans(), answered=st.booleans())
    def report_arrives(self, pick, keep, answered):
        index = pick % len(self.reports)
        number, report = self.reports[index] if keep else self.reports.pop(index)
        owner = self.all_owners[report.owner]
        owner.state.report(
            f"h{number}@1",
            report.sequence,
            report.uses,
            report.refunds,
            self.owner_ms(owner),
        )
        if answered:
            self.holders[number].report_done(report)

    @rule(zone=zones)
    def loan_report(self, zone):
        borrower = self.owners[zone].state
        self.loans.extend((borrower, each) for each in borrower.loan_reports())

    @precondition(lambda self: self.loans)
    @rule(pick=picks, keep=st.booleans(), answered=st.booleans())
    def loan_report_arrives(self, pick, keep, answered):
        index = pick % len(self.loans)
        borrower, report = self.loans[index] if keep else self.loans.pop(index)
        lender = self.all_owners[report.owner]
        lender.state.report(
            f"zone/{borrower.zone}/{borrower.fence}",
            report.sequence,
            report.uses,
            report.refunds,
            self.owner_ms(lender),
        )
        if answered:
            borrower.loan_report_done(report)

    # Whole exchanges, so that full and empty buckets are reached in few steps.

    @rule(number=numbers, zone=zones, want=tokens, delay_ms=st.sampled_from(STEPS_MS))
    def ask_and_charge(self, number, zone, want, delay_ms):
        owner = self.owners[zone]
        self.asks.append((number, owner, want, self.local_ms(number)))
        self.ask_arrives(-1, False)
        self.true_ms += delay_ms if delay_ms < 1000 else 0
        if self.answers:
            self.answer_arrives(-1)
        self.charge(number, want)

    @precondition(lambda self: self.open)
    @rule(share=st.sampled_from([0.0, 0.4]))
    def settle_all_and_report(self, share):
        self.all_reports_arrive()
        while self.open:
            self.settle(0, share)
        self.true_ms += 200.0
        self.all_reports_arrive()

    @rule(seed=st.integers(0, 10_000), slots=st.integers(1, 10))
    def traffic(self, seed, slots):
        rng = random.Random(seed)
        repeat = rng.choice((0.0, 0.3))
        lost = rng.choice((0.0, 0.3))
        for _ in range(slots):
            self.true_ms += rng.choice((1.0, 50.0, 250.0, 1000.0, 2100.0))
            for zone in ZONES:
                if rng.random() < 0.9:
                    self.renew_lease(zone)
            for _ in range(rng.randint(0, 3)):
                zone = "za" if rng.random() < 0.8 else "zb"
                self.ask_and_charge(
                    rng.randrange(3), zone, rng.choice((40, 100, 200)), 1.0
                )
            self.every_interval_is_within_rate_and_burst()
            while self.open and rng.random() < 0.4:
                index = rng.randrange(len(self.open))
                self.settle(index, rng.choice((0.0, 0.4, 1.0)))
            if rng.random() < 0.7:
                for number in range(3):
                    self.report(number)
                while self.reports and rng.random() > lost:
                    index = rng.randrange(len(self.reports))
                    keep = rng.random() < repeat
                    self.report_arrives(index, keep, rng.random() < 0.8)

    @rule()
    def all_reports_arrive(self):
        for number in range(3):
            self.report(number)
        while self.reports:
            self.report_arrives(0, False, True)
        for zone in ZONES:
            self.loan_report(zone)
        while self.loans:
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
