"""A zone of the benchmark of budgets: an owner that keeps or extends its lease."""

import itertools

from cassiamount.budget import BudgetOwner
from cassiamount.lease_commands import RequestPromises
from cassiamount.lease_state import Lease
from cassiamount.leases import LeaseHolder

TEAM = "team"


class Zone:
    """A zone's owner, with its lease."""

    def __init__(self, name, fence, now_ms, rate, burst, level):
        self.name = name
        numbers = itertools.count()
        self.lease = LeaseHolder(
            f"{name}-owner", "budget/0", fence, now_ms, lambda: next(numbers), True
        )
        self.roster = frozenset(f"{name}-{number}" for number in range(3))
        self.seen_offset = fence
        self.owner = BudgetOwner(name, 0, fence, now_ms, self.lease.deadline_ms)
        if level is not None:
            self.owner.take_over({TEAM: [level, 0]}, now_ms)
        self.owner.set_team(TEAM, rate, burst, now_ms)
        self.alive = True

    def drive(self, now_ms, log_up):
        if not self.alive:
            return
        command = self.lease.renew(now_ms) if log_up else None
        if command is not None:
            self.seen_offset += 1
        self.lease.observe(
            Lease(self.lease.vm, self.lease.fence, self.seen_offset, self.roster)
        )
        ask = self.lease.request_promises(now_ms)
        if isinstance(ask, RequestPromises):
            for promiser in ask.promisers:
                self.lease.on_promise_reply(ask.round_number, promiser, True)
        self.owner.lease_deadline_ms = self.lease.deadline_ms
        self.owner.expire_blocks(now_ms)
