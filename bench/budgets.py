"""Refusals and overspend of three ways to share a budget over VMs.

``python -m bench.budgets --seed 1 --json`` drives the pure objects on a virtual
clock. A request counts as within the rate if one central bucket with the team's whole
rate and burst, which sees every charge and refund at once, would admit it.
"""

import argparse
import heapq
import itertools
import json
import random

from cassiamount.budget_holder import BudgetHolder
from cassiamount.budget_messages import Grant, Shortage, TokenRequest
from cassiamount.timing import LEASE_MS, at_least_ms, at_most_ms
from cassiamount.token_bucket import TokenBucket

from .budget_zone import TEAM, Zone

ZONES = ("za", "zb", "zc")
METHODS = ("static", "each-request", "blocks")
CONDITIONS = (
    "even",
    "skew",
    "owner-death",
    "zone-cut",
    "log-outage",
    "skew+owner-death",
    "skew+zone-cut",
    "skew+log-outage",
)
DURATION_MS = 30_000.0
# A fault lasts from the first to the second of these times.
FAULT_MS = (8_000.0, 20_000.0)
ONE_WAY_MS = 0.5
TICK_MS = 50.0
# As in the dispatcher.
MAX_BUDGET_WAIT_MS = 200.0
MAX_ASKS = 3
COST_TOKENS = (100, 900)
USED_SHARE = 0.6
REQUEST_LASTS_MS = (200.0, 3_000.0)
LOAD_SHARE = 0.8
# Burst in seconds of the rate, as in the example of the design page.
BURST_S = 2.0
REQUESTS_PER_S = {7: 50.0, 400: 1_000.0}


class Request:
    __slots__ = ("arrived_ms", "cost_tokens", "lasts_ms", "within_rate", "asks")

    def __init__(self, arrived_ms, cost_tokens, lasts_ms, within_rate):
        self.arrived_ms = arrived_ms
        self.cost_tokens = cost_tokens
        self.lasts_ms = lasts_ms
        self.within_rate = within_rate
        self.asks = 0


class Vm:
    __slots__ = ("name", "zone", "holder", "bucket", "waiting", "asked")

    def __init__(self, name, zone, bucket, burst_tokens):
        self.name = name
        self.zone = zone
        self.bucket = bucket
        self.holder = BudgetHolder(name)
        self.holder.set_team(TEAM, burst_tokens, 0.0)
        self.waiting = []
        self.asked = False


class Run:
    """One method under one condition."""

    def __init__(self, method, condition, vms, seed):
        self.method = method
        self.condition = condition
        self.rng = random.Random(seed)
        # The load is the same for every method.
        self.load_rng = random.Random(seed)
        self.now_ms = 0.0
        self.events = []
        self.order = itertools.count()
        self.requests_per_s = REQUESTS_PER_S[vms]
        mean_tokens = sum(COST_TOKENS) / 2 * USED_SHARE
        self.rate = self.requests_per_s * mean_tokens / LOAD_SHARE
        self.burst = int(self.rate * BURST_S)
        self.central = TokenBucket(self.rate, self.burst, 0.0, self.burst)
        share = self.burst // len(ZONES)
        self.fences = itertools.count(1)
        self.zones = {name: self.make_zone(name, share) for name in ZONES}
        self.vms = []
        for number in range(vms):
            bucket = TokenBucket(self.rate / vms, self.burst / vms, 0.0, self.burst)
            self.vms.append(Vm(f"vm{number}@1", ZONES[number % 3], bucket, share))
        self.charges = []
        self.counts = {"requests": 0, "within_rate": 0, "refused": 0, "messages": 0}
        self.wait_ms = 0.0
        self.served = 0

    def make_zone(self, name, level):
        share = len(ZONES)
        return Zone(
            name, next(self.fences), self.now_ms, self.rate / share,
            self.burst // share, level,
        )  # fmt: skip

    def at(self, at_ms, action, *arguments):
        heapq.heappush(self.events, (at_ms, next(self.order), action, arguments))

    def run(self):
        self.at(0.0, self.arrive)
        self.at(0.0, self.tick)
        if "owner-death" in self.condition:
            self.at(FAULT_MS[0], self.owner_dies)
        while self.events and self.events[0][0] <= DURATION_MS:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.result()

    def faulty(self, condition):
        return condition in self.condition and FAULT_MS[0] <= self.now_ms < FAULT_MS[1]

    def owner_dies(self):
        zone = self.zones["za"]
        zone.alive = False
        self.at(self.now_ms + at_least_ms(LEASE_MS) + 100, self.successor)

    def successor(self):
        self.zones["za"] = self.make_zone("za", None)

    def tick(self):
        for zone in self.zones.values():
            zone.drive(self.now_ms, not self.faulty("log-outage"))
        for vm in self.vms if self.method != "static" else ():
            self.serve_waiting(vm)
            self.ask(vm)
            for report in vm.holder.reports(self.now_ms):
                self.counts["messages"] += 2
                self.at(self.now_ms + ONE_WAY_MS, self.report, vm, report)
        self.report_loans()
        self.at(self.now_ms + TICK_MS, self.tick)

    def choose_vm(self):
        # Half of the load goes to a twentieth of the VMs, as from a balancer that
        # keeps connections.
        few = max(1, len(self.vms) // 20)
        number = self.load_rng.randrange(len(self.vms))
        busy = self.load_rng.random() < 0.5
        return self.vms[number % few if busy and "skew" in self.condition else number]

    def arrive(self):
        self.at(
            self.now_ms + self.load_rng.expovariate(self.requests_per_s / 1000),
            self.arrive,
        )
        cost = self.load_rng.randint(*COST_TOKENS)
        lasts_ms = self.load_rng.uniform(*REQUEST_LASTS_MS)
        self.central.refill(self.now_ms)
        within_rate = self.central.level_tokens >= cost
        if within_rate:
            self.central.lend(cost, self.now_ms)
            event = self.central.use(cost, self.now_ms)
            unused = cost - int(cost * USED_SHARE)
            self.at(self.now_ms + lasts_ms, self.refund_central, unused, event)
        request = Request(self.now_ms, cost, lasts_ms, within_rate)
        self.counts["requests"] += 1
        self.counts["within_rate"] += within_rate
        vm = self.choose_vm()
        if self.method == "static":
            self.admit_static(vm, request)
            return
        if not self.try_charge(vm, request):
            vm.waiting.append((self.now_ms, request))
            self.ask(vm)

    def refund_central(self, tokens, event):
        self.central.refund(tokens, event, self.now_ms)

    def admit_static(self, vm, request):
        vm.bucket.refill(self.now_ms)
        if vm.bucket.level_tokens < request.cost_tokens:
            self.refuse(request)
            return
        vm.bucket.lend(request.cost_tokens, self.now_ms)
        event = vm.bucket.use(request.cost_tokens, self.now_ms)
        used = int(request.cost_tokens * USED_SHARE)
        self.charges.append((self.now_ms, used))
        self.served += 1
        self.at(
            self.now_ms + request.lasts_ms,
            lambda: vm.bucket.refund(request.cost_tokens - used, event, self.now_ms),
        )

    def try_charge(self, vm, request):
        charge = vm.holder.charge(TEAM, request.cost_tokens, self.now_ms)
        if charge is None:
            return False
        used = int(request.cost_tokens * USED_SHARE)
        self.charges.append((self.now_ms, used))
        self.served += 1
        self.wait_ms += self.now_ms - request.arrived_ms
        self.at(
            self.now_ms + request.lasts_ms,
            lambda: vm.holder.settle(charge, used, self.now_ms),
        )
        return True

    def serve_waiting(self, vm):
        vm.waiting = [
            (due_ms, request)
            for due_ms, request in vm.waiting
            if not self.try_charge(vm, request)
        ]

    def ask(self, vm):
        asks = vm.holder.due_token_requests(self.now_ms)
        due = [request for due_ms, request in vm.waiting if due_ms <= self.now_ms]
        if vm.asked:
            return
        left = vm.holder.available(TEAM, self.now_ms)
        costs = [request.cost_tokens for request in due]
        if costs:
            missing = max(1, sum(costs) - left)
            want = missing
            if self.method == "blocks":
                want = vm.holder.next_block_tokens(TEAM, self.now_ms, missing)
            ask = TokenRequest(TEAM, want, max(1, costs[0] - left))
        elif self.method == "blocks" and asks and not vm.waiting:
            ask = asks[0]
        else:
            return
        vm.asked = True
        self.counts["messages"] += 2
        for request in due:
            request.asks += 1
        self.at(self.now_ms + ONE_WAY_MS, self.answer, vm, ask, self.now_ms)

    def answer(self, vm, ask, sent_ms):
        zone = self.zones[vm.zone]
        delay_ms = ONE_WAY_MS
        if zone.alive:
            answer = zone.owner.grant(
                TEAM, vm.name, ask.want_tokens, ask.min_tokens, self.now_ms
            )
            if isinstance(answer, Shortage):
                loan = self.borrow(zone, vm, ask)
                delay_ms += 2 * ONE_WAY_MS
                answer = answer if loan is None else loan
        else:
            answer = None
            for other in self.reachable_from(vm.zone):
                delay_ms += 2 * ONE_WAY_MS
                self.counts["messages"] += 2
                answer = other.owner.grant(
                    TEAM, vm.name, ask.want_tokens, ask.min_tokens, self.now_ms
                )
                if isinstance(answer, Grant):
                    break
        self.at(self.now_ms + delay_ms, self.answered, vm, answer, sent_ms)

    def reachable_from(self, name):
        others = [zone for zone in self.zones.values() if zone.name != name]
        if self.faulty("zone-cut"):
            others = [zone for zone in others if "za" not in (name, zone.name)]
        self.rng.shuffle(others)
        return [zone for zone in others if zone.alive]

    def borrow(self, zone, vm, ask):
        for lender in self.reachable_from(zone.name):
            self.counts["messages"] += 2
            identity = f"zone/{zone.name}/{zone.owner.fence}"
            loan = lender.owner.grant(
                TEAM, identity, ask.want_tokens, ask.min_tokens, self.now_ms
            )
            if isinstance(loan, Grant):
                loan.deadline_ms = self.now_ms + at_most_ms(loan.lifetime_ms)
                source = (lender.name, 0, lender.owner.fence)
                grant = zone.owner.add_loan(TEAM, vm.name, loan, source, self.now_ms)
                return grant if isinstance(grant, Grant) else None
        return None

    def answered(self, vm, answer, sent_ms):
        vm.asked = False
        if isinstance(answer, Grant):
            deadline_ms = sent_ms + at_most_ms(answer.lifetime_ms)
            held = Grant(answer.grant_id, answer.tokens, deadline_ms)
            vm.holder.add_grant(TEAM, held, self.now_ms)
        self.serve_waiting(vm)
        retry_ms = 0.0
        if isinstance(answer, Shortage):
            retry_ms = answer.retry_after_ms
        elif not isinstance(answer, Grant):
            retry_ms = 100.0
        waiting = []
        for due_ms, request in vm.waiting:
            if due_ms <= self.now_ms and request.asks:
                if request.asks >= MAX_ASKS or retry_ms > MAX_BUDGET_WAIT_MS:
                    self.refuse(request)
                    continue
                due_ms = self.now_ms + retry_ms
            waiting.append((due_ms, request))
        vm.waiting = waiting
        self.ask(vm)

    def refuse(self, request):
        self.counts["refused"] += request.within_rate

    def report(self, vm, report):
        zone = self.zones[report.owner[0]]
        if zone.owner.fence == report.owner[2] and zone.alive:
            zone.owner.report(
                vm.name, report.sequence, report.uses, report.refunds, self.now_ms
            )
        vm.holder.report_done(report)

    def report_loans(self):
        for zone in self.zones.values():
            reachable = self.reachable_from(zone.name)
            identity = f"zone/{zone.name}/{zone.owner.fence}"
            for report in zone.owner.loan_reports():
                lender = self.zones[report.owner[0]]
                if lender in reachable and lender.owner.fence == report.owner[2]:
                    self.counts["messages"] += 2
                    parts = (report.sequence, report.uses, report.refunds)
                    lender.owner.report(identity, *parts, self.now_ms)
                    zone.owner.loan_report_done(report)

    def result(self):
        highest = excess = 0.0
        last_ms = 0.0
        for at_ms, tokens in sorted(self.charges):
            excess = max(0.0, excess - self.rate * (at_ms - last_ms) / 1000) + tokens
            highest, last_ms = max(highest, excess), at_ms
        counts = self.counts
        return {
            "vms": len(self.vms),
            "condition": self.condition,
            "method": self.method,
            "requests": counts["requests"],
            "within_rate": counts["within_rate"],
            "refused_within_rate": counts["refused"],
            "refused_share": round(counts["refused"] / counts["within_rate"], 6),
            "overspend_tokens": round(max(0.0, highest - self.burst), 3),
            "mean_wait_ms": round(self.wait_ms / max(1, self.served), 3),
            "messages_per_request": round(counts["messages"] / counts["requests"], 2),
        }


def main():
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--vms", type=int, choices=sorted(REQUESTS_PER_S), default=None)
    arguments = parser.parse_args()
    sizes = [arguments.vms] if arguments.vms else sorted(REQUESTS_PER_S)
    results = [
        Run(method, condition, vms, arguments.seed).run()
        for vms in sizes
        for condition in CONDITIONS
        for method in METHODS
    ]
    if arguments.json:
        print(json.dumps({"seed": arguments.seed, "results": results}, indent=1))
        return
    for result in results:
        print("  ".join(f"{key}={value}" for key, value in result.items()))


if __name__ == "__main__":
    main()
