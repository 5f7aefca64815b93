"""Fake engine for orders: accounts for its own memory and notes broken invariants."""

from cassiamount.engine_orders import (
    ACCEPTED,
    LOAD_ACTIONS,
    MAX_REPORT_AGE_MS,
    MAX_REPORT_LAG_MS,
    NOT_ACCEPTED,
    STALE_FENCE,
    STATE_DONE,
    STATE_RUNNING,
    STATE_UNKNOWN,
    UNLOAD_MODEL,
)
from cassiamount.load_report import LIVE, LoadReport, Resident


class FakeEngine:
    """An engine that does whatever it is ordered to do.

    It does not protect itself: a load that exceeds its memory is carried out and
    noted as a violation, and so is the removal of a model's last ready copy.

    Parameters
    ----------
    name : str
    capacity_mb : int
    checks_fence : bool
    load_ms : callable
        Duration of the load of an order.
    fleet : list
        All engines, to see whether a copy was the last one.
    """

    def __init__(self, name, capacity_mb, checks_fence, load_ms, fleet):
        self.name = name
        self.capacity_mb = capacity_mb
        self.checks_fence = checks_fence
        self.load_ms = load_ms
        self.fleet = fleet
        self.incarnation = 0
        self.residents = {}
        self.orders = {}
        self.highest_fence = 0
        self.violations = []
        self.loads = 0
        self.unloads = 0
        # Model -> time at which a restart last destroyed a ready copy.
        self.lost_ms = {}

    def settle(self, now_ms):
        """Finish the loads that are due."""
        for resident, done_ms, order_id in self.residents.values():
            if resident.state == "loading" and done_ms <= now_ms:
                resident.state = "ready"
                self.orders[order_id] = STATE_DONE

    def restart(self, now_ms):
        """Lose everything."""
        for resident, _, _ in self.residents.values():
            if resident.state == "ready":
                self.lost_ms[resident.name] = now_ms
        self.incarnation += 1
        self.residents = {}
        self.orders = {}
        self.highest_fence = 0

    def receive(self, order, sent_ms, now_ms):
        """Carry out a copy of an order that was sent at `sent_ms`."""
        self.settle(now_ms)
        if self.checks_fence:
            if order.fence < self.highest_fence:
                return STALE_FENCE
            if order.order_id in self.orders:
                return ACCEPTED
            self.highest_fence = order.fence
        if order.action in LOAD_ACTIONS:
            return self._load(order, now_ms)
        self._unload(order, sent_ms)
        return ACCEPTED

    def order_state(self, order_id, now_ms):
        self.settle(now_ms)
        return self.orders.get(order_id, STATE_UNKNOWN)

    def report(self, now_ms, running=0, waiting=0, state=LIVE):
        self.settle(now_ms)
        residents = [
            Resident(r.name, r.kind, r.version, r.state, r.memory_mb)
            for r, _, _ in self.residents.values()
        ]
        return LoadReport(
            self.name,
            f"{self.name}/{self.incarnation}",
            running,
            waiting,
            memory_used_mb=self.used_mb,
            memory_capacity_mb=self.capacity_mb,
            residents=residents,
            checks_fence=self.checks_fence,
            highest_fence=self.highest_fence,
            as_of_ms=now_ms + 1e6,
            state=state,
        )

    @property
    def used_mb(self):
        return sum(resident.memory_mb for resident, _, _ in self.residents.values())

    def ready(self, name):
        return any(
            resident.name == name and resident.state == "ready"
            for resident, _, _ in self.residents.values()
        )

    def _load(self, order, now_ms):
        self.orders[order.order_id] = STATE_RUNNING
        held = self.residents.get(order.key)
        if held is not None:
            if held[0].state == "ready":
                self.orders[order.order_id] = STATE_DONE
            return ACCEPTED
        if order.base and not self.ready(order.base):
            del self.orders[order.order_id]
            return NOT_ACCEPTED
        kind = "adapter" if order.base else "model"
        resident = Resident(order.name, kind, order.version, "loading", order.memory_mb)
        done_ms = now_ms + self.load_ms(order, now_ms)
        self.residents[order.key] = (resident, done_ms, order.order_id)
        self.loads += not order.base
        if self.used_mb > self.capacity_mb:
            self.violations.append(("memory", self.name, self.used_mb, order))
        return ACCEPTED

    def _unload(self, order, sent_ms):
        self.orders[order.order_id] = STATE_DONE
        held = self.residents.pop(order.key, None)
        if held is None or order.action != UNLOAD_MODEL:
            return
        self.unloads += 1
        if held[0].state != "ready":
            return
        if any(engine.ready(order.name) for engine in self.fleet):
            return
        # A restart that no report could have shown when the order was sent.
        unseen_ms = sent_ms - MAX_REPORT_LAG_MS - MAX_REPORT_AGE_MS
        lost_ms = max(e.lost_ms.get(order.name, -1e9) for e in self.fleet)
        if lost_ms < unseen_ms:
            self.violations.append(("last copy", self.name, order))
