"""A deployment on virtual time: VMs, owners, holders, engines, callers, failures."""

import random

from bench.clockwork import Clockwork
from bench.deployments import DEPLOYMENTS, configuration_of
from bench.holder import Holder
from bench.serving import ServingEngine, WeightStore
from bench.tally import Tally
from bench.vm import Vm
from cassiamount.budget import BudgetOwner
from cassiamount.load_report import Resident
from cassiamount.placement_view import home_zones
from cassiamount.records import IntendOrder

VMS_PER_ZONE = 2
POLL_MS = 1_000.0
REPORT_LAG_MS = 100.0
LEASE_WAIT_MS = 4_100.0
WARM_UP_MS = 11_000.0
RETRIES = 4


class Policies:
    """Which policy of each kind a run uses."""

    __slots__ = ("placement", "routing", "admission")

    def __init__(self, placement="demand", routing="wait", admission="fair"):
        self.placement = placement
        self.routing = routing
        self.admission = admission


class Failures:
    """Rates and moments of failures."""

    __slots__ = ("order_loss", "order_late", "crash_ms", "cut_ms", "owner_ms")

    def __init__(
        self, order_loss=0.0, order_late=0.0, crash_ms=(), cut_ms=None, owner_ms=None
    ):
        self.order_loss = order_loss
        self.order_late = order_late
        self.crash_ms = crash_ms
        # (from, until) during which the last zone is cut off from the others.
        self.cut_ms = cut_ms
        self.owner_ms = owner_ms


class World:
    """One run."""

    def __init__(self, deployment, policies, failures, seed, retrying=False):
        self.deployment = DEPLOYMENTS[deployment]
        self.policies = policies
        self.failures = failures
        self.retrying = retrying
        self.rng = random.Random(seed)
        self.clock = Clockwork()
        self.configuration = configuration_of(self.deployment)
        self.tally = Tally(self.configuration)
        self.offset = 0
        self.intents = {}
        self.open_requests = 0
        self.owner_fence = 0
        store = WeightStore()
        fleet = []
        for backend in self.configuration.backends.values():
            fleet.append(
                ServingEngine(
                    self.clock,
                    backend.zone,
                    backend.name,
                    backend.memory_mb,
                    backend.checks_fence,
                    store.load_ms,
                    fleet,
                )
            )
        self.engines = {engine.name: engine for engine in fleet}
        self._preload()
        self.owners = {}
        for zone in self.deployment.zones:
            self._new_owner(zone)
        self.vms = [
            Vm(self, f"vm-{zone}-{number}", zone)
            for zone in self.deployment.zones
            for number in range(VMS_PER_ZONE)
        ]
        self.holders = {zone: Holder(self, zone, 1) for zone in self.deployment.zones}
        self._plan_events()

    def run(self, offers, duration_ms):
        """Serve the offers and return the tally."""
        for offer in offers:
            self.tally.on_offer(offer)
            self.open_requests += 1
            self.clock.after(
                WARM_UP_MS + offer.at_ms + self.deployment.client_ms,
                self._offer,
                offer,
                0,
            )
        self.clock.run(WARM_UP_MS + duration_ms)
        while self.open_requests and self.clock.now_ms < WARM_UP_MS + 3 * duration_ms:
            self.clock.run(self.clock.now_ms + 1_000.0)
        self.tally.loads = sum(engine.loads for engine in self.engines.values())
        self.tally.broken = [v for e in self.engines.values() for v in e.violations]
        return self.tally

    def delay_ms(self, from_zone, to_zone):
        return 0.1 if from_zone == to_zone else self.deployment.zone_ms

    def zones_by_distance(self, zone):
        return [zone, *(z for z in self.deployment.zones if z != zone)]

    def connected(self, one, other):
        cut = self.failures.cut_ms
        last = self.deployment.zones[-1]
        if cut is None or one == other or last not in (one, other):
            return True
        return not cut[0] <= self.clock.now_ms - WARM_UP_MS < cut[1]

    def append(self, zone, order):
        self.offset += 1
        record = IntendOrder(
            order.order_id,
            zone,
            order.order_id,
            order.engine,
            order.action,
            order.name,
            order.version,
            order.memory_mb,
            1,
        )
        self.intents[order.order_id] = (zone, self.offset, record)
        return self.offset

    def settle(self, zone, order):
        self.intents.pop(order.order_id, None)

    def update_draining(self):
        for vm in self.vms:
            holder = self.holders[vm.zone]
            vm.router.set_draining(holder.ledger.draining())

    def on_use(self, team, charged_ms, tokens):
        self.tally.on_use(team, charged_ms, tokens)

    def on_end(self, offer, result, attempt):
        self.open_requests -= 1
        self.tally.on_end(offer, result, attempt, self.deployment.client_ms)
        if self.retrying and result not in ("served", "broken"):
            tries = self.tally.tries[offer.request_info.request_id]
            if tries < RETRIES:
                delay_ms = self.rng.uniform(200, 1_000)
                self.open_requests += 1
                self.clock.after(delay_ms, self._offer, offer, tries)

    def _offer(self, offer, tries):
        request_info = offer.request_info
        self.tally.tries[request_info.request_id] = tries + 1
        patience_ms = request_info.deadline_ms - request_info.arrived_ms
        request_info.arrived_ms = self.clock.now_ms
        request_info.deadline_ms = self.clock.now_ms + patience_ms
        self.rng.choice(self.vms).submit(offer)

    def _preload(self):
        """Start with every model once in its home zone, then second copies."""
        homes = home_zones(self.configuration)
        order = sorted(
            self.configuration.models.values(), key=lambda m: (-m.memory_mb, m.name)
        )
        for copy in (0, 1):
            for model in order:
                engines = [
                    engine
                    for engine in self.engines.values()
                    if (engine.zone == homes[model.name]) == (copy == 0)
                    and engine.capacity_mb - engine.used_mb >= model.memory_mb + 1_600
                ]
                if engines:
                    engine = min(engines, key=lambda engine: engine.used_mb)
                    self._load_at_start(engine, model, "")
        for adapter in self.configuration.adapters.values():
            for engine in self.engines.values():
                if engine.ready(adapter.base):
                    self._load_at_start(engine, adapter, adapter.base)

    def _load_at_start(self, engine, artifact, base):
        if engine.capacity_mb - engine.used_mb < artifact.memory_mb:
            return
        kind = "adapter" if base else "model"
        resident = Resident(
            artifact.name, kind, artifact.version, "ready", artifact.memory_mb
        )
        engine.residents[(artifact.name, artifact.version)] = (resident, 0.0, "")

    def _new_owner(self, zone):
        self.owner_fence += 1
        owner = BudgetOwner(zone, 0, self.owner_fence, self.clock.now_ms, float("inf"))
        zones = len(self.deployment.zones)
        for team in self.configuration.teams.values():
            owner.set_team(
                team.name,
                team.rate_tokens_per_s / zones,
                team.burst_tokens / zones,
                self.clock.now_ms,
            )
        self.owners[zone] = owner

    def _plan_events(self):
        clock = self.clock
        clock.every(POLL_MS, self._poll)
        clock.every(POLL_MS, self._tell_demand)
        clock.every(50.0, self._tick_vms)
        clock.every(100.0, self._advance_holders)
        clock.every(1_000.0, self._plan_holders)
        clock.every(250.0, self._report_use)
        failures = self.failures
        for at_ms in failures.crash_ms:
            clock.after(WARM_UP_MS + at_ms, self._crash)
        if failures.owner_ms is not None:
            clock.after(WARM_UP_MS + failures.owner_ms, self._owner_dies)

    def _poll(self):
        for engine in self.engines.values():
            report = engine.load_report()
            for vm in self.vms:
                if self.connected(vm.zone, engine.zone):
                    lag_ms = REPORT_LAG_MS + self.rng.uniform(0, 400)
                    self.clock.after(lag_ms, self._report_to_vm, vm, report)
            for zone in self.holders:
                if self.connected(zone, engine.zone):
                    self.clock.after(
                        REPORT_LAG_MS, self._report_to_holder, zone, report
                    )

    def _report_to_vm(self, vm, report):
        vm.router.on_report(report, self.clock.now_ms)
        vm.pump()

    def _report_to_holder(self, zone, report):
        self.holders[zone].ledger.on_report(report, self.clock.now_ms)

    def _tell_demand(self):
        for zone, holder in self.holders.items():
            waiting = {}
            for vm in self.vms:
                if self.connected(vm.zone, zone):
                    holder.demand.on_totals(vm.name, vm.totals)
                    for route, count in vm.queue.waiting_by_route().items():
                        waiting[route] = waiting.get(route, 0) + count
            for engine in self.engines.values():
                # Routers that do not wait for a free replica queue at the engines.
                for queue in engine.waiting.values():
                    for attempt in queue:
                        model = attempt.offer.request_info.model
                        waiting[model] = waiting.get(model, 0) + 1
            if self.policies.placement == "lru":
                holder.policy.waiting = waiting
                holder.policy.last_used_ms = self._last_used_ms

    def _last_used_ms(self, engine, name):
        return self.engines[engine].last_used_ms.get(name, 0.0)

    def _tick_vms(self):
        for vm in self.vms:
            vm.tick()

    def _advance_holders(self):
        for holder in self.holders.values():
            holder.advance()

    def _plan_holders(self):
        for holder in self.holders.values():
            holder.plan()

    def _report_use(self):
        for vm in self.vms:
            vm.report_use()

    def _crash(self):
        self.rng.choice(list(self.engines.values())).crash()

    def _owner_dies(self):
        """The VM that owns a zone's budget and placement dies."""
        zone = self.deployment.zones[0]
        self.owners[zone] = None
        self.holders[zone].active = False
        self.clock.after(LEASE_WAIT_MS, self._successor, zone)

    def _successor(self, zone):
        self._new_owner(zone)
        unsettled = [(o, r) for z, o, r in self.intents.values() if z == zone]
        self.holders[zone] = Holder(self, zone, 2, unsettled)
