"""Which models and adapters the engines of a fleet should hold, decided by one VM."""

import heapq
import math

from .engine_belief import AdapterChange, Change, EngineBelief
from .fleet_orders import target_of
from .invariants import MEMORY_NOT_OVERCOMMITTED, require
from .model_demand import ADAPTER_IDLE_MS, NOT_ASKED, STREAM_MS, ModelDemand
from .store_loads import StoreLoads

# Share of an engine's slots that one model's requests should use at most.
COPY_SHARE = 0.5
# A model with this many running and waiting requests gets a second copy, so that the
# loss of an engine does not stop it.
SECOND_COPY_LOAD = 6.0
# A model that nobody asked for since then needs no copy.
IDLE_MS = 4_000.0
# A request without a copy that was asked for this long counts twice, and so on.
AGING_MS = 4_000.0
# A model stays this long after its load, so that two models do not take turns.
STAY_MS = 1_500.0
# A change must gain this many times what the models that make way lose.
GAIN_RATIO = 1.5
# A model whose callers expect an answer sooner than a load takes is kept, though nobody
# may ask for it now, unless others gain this many requests per second.
KEPT_LOSS_PER_S = 3.0
# Share of the requests for adapters that find theirs missing at an engine.
ADAPTER_MISS_SHARE = 0.5
# Gain of a copy of a model that nobody asks for now but whose callers do not wait for a
# load, and of one that nobody has asked for yet.
KEPT_GAIN_PER_S = 1.0
UNKNOWN_GAIN_PER_S = 0.1
# Gain of a load that only brings a first copy to some engine's disk.
PREFETCH_GAIN_PER_S = 0.05
# A model with fewer copies than this makes no way for a prefetch.
PREFETCH_KEEPS_COPIES = 2
# A model asked for less often than this is a rarely asked one, and the share of the
# engines that changes for such models may occupy at the same time.
RARE_PER_S = 2.0
RARE_CHANGES_SHARE = 0.34
# Time that running requests need to end before a model can be unloaded.
DRAIN_MS = 1_500.0
# Time within which an unload without running requests is done and known.
UNLOAD_MS = 200.0
# Cost of a second copy in a zone that has one.
SAME_ZONE_COST_MS = 300.0
# Cost of each request that runs on the engine.
RUNNING_COST_MS = 15.0
# Time that each change takes beside the load: notice, unload, reports.
CHANGE_MS = 300.0
# Models and engines that one decision weighs at most, so that its time does not grow
# with the fleet; more than today's sites have.
MODELS_WEIGHED = 24
ENGINES_WEIGHED = 12
# A failed change of an engine is not tried again sooner.
RETRY_MS = 300.0


class FleetPlacement:
    """Plans the changes of the engines of one service.

    Parameters
    ----------
    service : str
    engine_rule : EngineRule
    full : bool
        Whether loads from the weight store may begin at once.
    now_ms : float
    """

    def __init__(self, service, engine_rule, full, now_ms):
        self.service = service
        self.rule = engine_rule
        self.engines = {}
        self.store_loads = StoreLoads(full, now_ms)
        self.store_loads.rate_per_s = engine_rule.loads_per_s
        self._demand = {}
        self._adapter_waiting = {}
        self._running = {}
        # Model -> engines with a copy, while one decision is made.
        self._copies = None

    def set_rule(self, rule):
        """Take the service's engine limits of a new configuration."""
        self.rule = rule
        self.store_loads.rate_per_s = rule.loads_per_s

    def set_engines(self, records):
        """Take the platform's list of this service's engines.

        Parameters
        ----------
        records : dict of str to BackendRecord
        """
        for name in set(self.engines) - set(records):
            del self.engines[name]
        for name, record in records.items():
            belief = self.engines.get(name)
            if belief is None or (
                belief.record.started_wall_ms != record.started_wall_ms
            ):
                self.engines[name] = EngineBelief(record)
                continue
            # The list shows residents of seconds ago; the engine itself was asked.
            belief.record = record

    def set_demand(self, running, waiting, asked, now_ms):
        """Take the requests of all VMs.

        Parameters
        ----------
        running : dict of str to dict of str to int
            Engine -> model or adapter -> requests that are there.
        waiting : dict of str to int
            Model or adapter -> requests that wait for it.
        asked : dict of str to AskedCount
            By model.
        """
        self._running = running
        by_model = {}
        adapters_busy = {}
        for engine, targets in running.items():
            belief = self.engines.get(engine)
            for target, count in targets.items():
                model, _, adapter = target.partition("/")
                by_model[model] = by_model.get(model, 0) + count
                if adapter and belief is not None:
                    belief.adapter_used_ms[(model, adapter)] = now_ms
                    adapters_busy[model] = adapters_busy.get(model, 0) + 1
        waits = {}
        self._adapter_waiting = {}
        for target, count in waiting.items():
            model, _, adapter = target.partition("/")
            waits[model] = waits.get(model, 0) + count
            if adapter:
                self._adapter_waiting[(model, adapter)] = count
                adapters_busy[model] = adapters_busy.get(model, 0) + 1
        for name in self.rule.models:
            count = asked.get(name, NOT_ASKED)
            demand = self._demand.get(name)
            if demand is None:
                demand = self._demand[name] = ModelDemand(now_ms - 1, count)
            demand.update(by_model.get(name, 0), waits.get(name, 0), count, now_ms)
            demand.adapters_busy = adapters_busy.get(name, 0)

    def plan(self, now_ms):
        """Return the changes to begin now.

        Returns
        -------
        list of (Change or AdapterChange)
        """
        return self._plan_adapters(now_ms) + self._plan_models(now_ms)

    def queue_due(self, now_ms):
        """Return when models that wait for an engine should be there.

        Returns
        -------
        dict of str to float
            Model -> time. The rarely asked ones share a few engines.
        """
        self._index_copies()
        missing = [
            (self.gain_per_s(name, now_ms), name)
            for name, demand in self._demand.items()
            if now_ms - demand.asked_ms < IDLE_MS and not self.copies(name)
        ]
        live = sum(not belief.record.leaving for belief in self.engines.values())
        parallel = max(1, math.ceil(RARE_CHANGES_SHARE * live))
        queue = {}
        for place, (_, name) in enumerate(sorted(missing, reverse=True)):
            each_ms = self.rule.models[name].disk_load_ms + CHANGE_MS + UNLOAD_MS
            queue[name] = now_ms + each_ms * (1 + place // parallel)
        self._copies = None
        return queue

    def copies(self, model):
        """Return the engines that hold a model or are loading it."""
        if self._copies is not None:
            return self._copies.get(model, [])
        return [
            belief
            for belief in self.engines.values()
            if not belief.record.leaving
            and model not in belief.drained
            and (
                model in belief.ready
                or model in belief.loading
                or (belief.change is not None and belief.change.model == model)
            )
        ]

    def _index_copies(self):
        """Find the copies of all models in one pass, for a decision that asks often."""
        self._copies = {}
        for belief in self.engines.values():
            if belief.record.leaving:
                continue
            models = belief.ready.keys() | belief.loading.keys()
            if belief.change is not None:
                models.add(belief.change.model)
            for model in models - belief.drained:
                self._copies.setdefault(model, []).append(belief)

    def wanted_copies(self, model, now_ms):
        """Return for how many engines the model's demand is enough."""
        demand = self._demand.get(model)
        if demand is None or now_ms - demand.asked_ms > IDLE_MS:
            return 0
        copies = math.ceil(demand.load / (COPY_SHARE * self.rule.slots))
        if self.rule.max_adapters:
            places = demand.adapter_places / self.rule.max_adapters
            copies = max(copies, math.ceil(places))
        if demand.load >= SECOND_COPY_LOAD:
            copies = max(2, copies)
        return max(1, copies)

    def gain_per_s(self, model, now_ms):
        """Return the requests per second that one more copy would serve."""
        demand = self._demand[model]
        if now_ms - demand.asked_ms > IDLE_MS:
            demand.missing_ms = None
            if self.copies(model):
                return 0.0
            if demand.hurried:
                return KEPT_GAIN_PER_S
            if self._prefetched(model, now_ms):
                return PREFETCH_GAIN_PER_S
            return UNKNOWN_GAIN_PER_S if demand.hurried is None else 0.0
        copies = len(self.copies(model))
        if not copies:
            if demand.missing_ms is None:
                demand.missing_ms = now_ms
            aged = 1 + (now_ms - demand.missing_ms) / AGING_MS
            return max(demand.rate_per_s, 0.1) * aged
        demand.missing_ms = None
        wanted = self.wanted_copies(model, now_ms)
        if wanted <= copies:
            return 0.0
        return max(demand.fast_per_s, demand.load * 1000 / STREAM_MS) / wanted

    def loss_per_s(self, model, now_ms):
        """Return the requests per second that one copy serves."""
        # A copy that is only on its way may still fail, and an engine that this VM has
        # not asked yet may hold something else than the list shows.
        copies = sum(
            model in belief.ready and belief.orders is not None
            for belief in self.copies(model)
        )
        if copies > max(1, self.wanted_copies(model, now_ms)):
            return 0.0
        demand = self._demand.get(model)
        rate_per_s = 0.0 if demand is None else demand.rate_per_s
        if copies <= 1 and (demand is None or demand.hurried is not False):
            return max(KEPT_LOSS_PER_S, rate_per_s)
        return rate_per_s / max(1, copies)

    def _plan_models(self, now_ms):
        """Begin the changes that gain most for the time that they take an engine."""
        changes = []
        while True:
            change = self._best_change(now_ms)
            if change is None:
                return changes
            changes.append(self._begin(change, now_ms))

    def _best_change(self, now_ms):
        free = [b for b in self.engines.values() if self._changeable(b, now_ms)]
        if not free:
            return None
        self._index_copies()
        try:
            best = None
            for gain_per_s, model in self._wanted_models(free, now_ms):
                for belief in self._likely_engines(free, model):
                    change, worth = self._change_for(belief, model, gain_per_s, now_ms)
                    if change is not None and (best is None or worth > best[0]):
                        best = (worth, change)
            return None if best is None else best[1]
        finally:
            self._copies = None

    def _wanted_models(self, free, now_ms):
        """Return (gain, model) of those that gain most and can be loaded now."""
        rare_allowed = self._rare_allowed()
        gains = [
            (self.gain_per_s(model, now_ms), model)
            for model in self._demand
            if rare_allowed or not self._rare(model)
        ]
        wanted = [item for item in gains if item[0] > 0]
        if self.store_loads.wait_ms(now_ms) > 0:
            near = set().union(*(b.in_memory | b.on_disk for b in free))
            wanted = [item for item in wanted if item[1] in near]
        return heapq.nlargest(MODELS_WEIGHED, wanted)

    def _likely_engines(self, free, model):
        """Return the engines that are weighed for a model.

        In a large fleet those that load it fastest, then those with few requests.
        """
        if len(free) <= ENGINES_WEIGHED:
            return free

        def cost(belief):
            fast = model in belief.in_memory or model in belief.on_disk
            return (not fast, self._requests(belief))

        return heapq.nsmallest(ENGINES_WEIGHED, free, key=cost)

    def _change_for(self, belief, model, gain_per_s, now_ms):
        """Return a change of one engine and its worth, or None."""
        rule = self.rule.models[model]
        if model in belief.ready:
            return None, 0.0
        victims = self._victims(belief, rule, gain_per_s, now_ms)
        if victims is None:
            return None, 0.0
        load_ms, from_store = self._load_ms(belief, rule)
        if from_store and not self._store_allowed(model, now_ms):
            return None, 0.0
        eta_ms = load_ms
        lost_per_s = 0.0
        for victim in victims:
            running = self._running_of(belief, victim)
            eta_ms += DRAIN_MS if running else UNLOAD_MS
            lost_per_s += self.loss_per_s(victim, now_ms)
        lost_per_s += self._blocked_per_s(belief, victims)
        if lost_per_s >= gain_per_s:
            return None, 0.0
        cost_ms = eta_ms + RUNNING_COST_MS * self._requests(belief)
        if any(copy.record.zone == belief.record.zone for copy in self.copies(model)):
            cost_ms += SAME_ZONE_COST_MS
        change = Change(
            belief.record.name,
            model,
            tuple(victims),
            gain_per_s,
            from_store,
            now_ms + eta_ms,
        )
        return change, (gain_per_s - lost_per_s) / (cost_ms + CHANGE_MS)

    def _blocked_per_s(self, belief, victims):
        """Return the requests for adapters that wait while an engine is changed."""
        blocked = 0.0
        for name in belief.ready:
            demand = self._demand.get(name)
            if demand is None or name in victims:
                continue
            free = sum(copy.change is None for copy in self.copies(name))
            share = 1.0 if free <= 1 else ADAPTER_MISS_SHARE / free
            blocked += share * demand.adapters_per_s
        return blocked

    def _store_allowed(self, model, now_ms):
        """Return whether a model may be loaded from the weight store now.

        A rarely asked model waits for an engine that has it on its disk: a load from
        the store keeps an engine from other changes five times as long.
        """
        if self.store_loads.wait_ms(now_ms) > 0:
            return False
        if not self._rare(model):
            return True
        return not any(
            model in belief.on_disk or model in belief.in_memory
            for belief in self.engines.values()
            if not belief.record.leaving
        )

    def _rare(self, model):
        return self._demand[model].rate_per_s < RARE_PER_S

    def _rare_allowed(self):
        live = [b for b in self.engines.values() if not b.record.leaving]
        rare = sum(
            belief.change is not None and self._rare(belief.change.model)
            for belief in live
        )
        return rare < max(1, RARE_CHANGES_SHARE * len(live))

    def _begin(self, change, now_ms):
        belief = self.engines[change.engine]
        belief.change = change
        belief.drained |= set(change.victims)
        if change.from_store:
            self.store_loads.take(now_ms)
        return change

    def _changeable(self, belief, now_ms):
        return (
            not belief.record.leaving
            and belief.orders is not None
            and belief.change is None
            and now_ms >= belief.retry_ms
        )

    def _prefetched(self, model, now_ms):
        """Return whether to load a model that no engine has even on its disk.

        Only while nobody asks for anything: a load keeps an engine from other orders.
        """
        if any(now_ms - demand.asked_ms < IDLE_MS for demand in self._demand.values()):
            return False
        return not self.copies(model) and not any(
            model in belief.on_disk or model in belief.in_memory
            for belief in self.engines.values()
        )

    def _load_ms(self, belief, rule):
        if rule.name in belief.in_memory:
            return rule.host_load_ms, False
        if rule.name in belief.on_disk:
            return rule.disk_load_ms, False
        return rule.load_ms, True

    def _victims(self, belief, rule, gain_per_s, now_ms):
        """Return what to unload so that a model fits, or None if it is worth more."""
        free_mb = self.rule.memory_mb - belief.held_mb(self.rule.models)
        if free_mb >= rule.memory_mb:
            return []
        ranked = []
        for name in belief.ready:
            if name in belief.drained or name not in self.rule.models:
                continue
            if now_ms - belief.loaded_ms.get(name, -math.inf) < STAY_MS:
                continue
            demand = self._demand.get(name)
            asked_ms = -math.inf if demand is None else demand.asked_ms
            loss = self.loss_per_s(name, now_ms)
            if (
                gain_per_s <= PREFETCH_GAIN_PER_S
                and len(self.copies(name)) <= PREFETCH_KEEPS_COPIES
            ):
                continue
            ranked.append((loss, self._running_of(belief, name), asked_ms, name))
        victims = []
        lost_per_s = 0.0
        for loss, _, _, name in sorted(ranked):
            lost_per_s += loss
            if lost_per_s * GAIN_RATIO > gain_per_s:
                return None
            victims.append(name)
            free_mb += self.rule.models[name].memory_mb
            free_mb += self.rule.models[name].adapter_mb * len(belief.ready[name])
            if free_mb >= rule.memory_mb:
                return victims
        return None

    def _requests(self, belief):
        return sum(self._running.get(belief.record.name, {}).values())

    def _running_of(self, belief, model):
        targets = self._running.get(belief.record.name, {})
        return sum(
            count
            for target, count in targets.items()
            if target.partition("/")[0] == model
        )

    def _plan_adapters(self, now_ms):
        changes = []
        for (model, adapter), waiting in self._adapter_waiting.items():
            if not waiting:
                continue
            change = self._adapter_change(model, adapter, now_ms)
            if change is not None:
                belief = self.engines[change.engine]
                belief.adapters_coming[(model, adapter)] = None
                if change.victim is not None:
                    belief.adapters_leaving.add(change.victim)
                changes.append(change)
        return changes

    def _adapter_change(self, model, adapter, now_ms):
        best = None
        for belief in self.engines.values():
            if belief.record.leaving or model in belief.drained:
                continue
            if (model, adapter) in belief.adapters_coming:
                return None
            if adapter in belief.ready.get(model, ()) and (
                (model, adapter) not in belief.adapters_leaving
            ):
                return None
            # An engine takes no order for an adapter while it carries out another.
            if model not in belief.ready or not self._changeable(belief, now_ms):
                continue
            victim = self._adapter_victim(belief, model, now_ms)
            if victim is None:
                continue
            cost = self._requests(belief) + (10 if victim else 0)
            if best is None or cost < best[0]:
                best = (cost, belief, victim)
        if best is None:
            return None
        _, belief, victim = best
        return AdapterChange(belief.record.name, model, adapter, victim or None)

    def _adapter_victim(self, belief, model, now_ms):
        """Return the adapter to unload, () if none has to, None if none can."""
        rule = self.rule
        held = len(belief.adapters() - belief.adapters_leaving)
        free_mb = rule.memory_mb - belief.held_mb(rule.models)
        needed_mb = rule.models[model].adapter_mb
        if held < rule.max_adapters and free_mb >= needed_mb:
            return ()
        running = self._running.get(belief.record.name, {})
        candidates = [
            (belief.adapter_used_ms.get((name, adapter), -math.inf), name, adapter)
            for name, adapters in belief.ready.items()
            for adapter in adapters
            if not running.get(target_of(name, adapter))
            and (name, adapter) not in belief.adapters_leaving
            and not self._adapter_waiting.get((name, adapter))
        ]
        for used_ms, name, adapter in sorted(candidates):
            if used_ms > now_ms - ADAPTER_IDLE_MS:
                return None
            if free_mb + rule.models[name].adapter_mb >= needed_mb:
                return (name, adapter)
        return None

    def fits(self, belief, model, adapter):
        """Return whether a load fits with all that is there or was ordered."""
        held_mb, adapters = self._with_load(belief, model, adapter)
        return held_mb <= self.rule.memory_mb and (
            not adapter or adapters <= self.rule.max_adapters
        )

    def check_memory(self, belief, model, adapter):
        """Check that a load fits; the last guard before an order is sent."""
        held_mb, adapters = self._with_load(belief, model, adapter)
        require(
            self.fits(belief, model, adapter),
            MEMORY_NOT_OVERCOMMITTED,
            engine=belief.record.name,
            held_mb=held_mb,
            adapters=adapters,
        )

    def _with_load(self, belief, model, adapter):
        rules = self.rule.models
        models = belief.ready.keys() | belief.loading.keys()
        adapters = {
            pair
            for pair in belief.adapters()
            if belief.adapters_coming.get(pair, 0) is not None
        }
        if adapter:
            adapters.add((model, adapter))
        else:
            models |= {model}
        held_mb = sum(rules[name].memory_mb for name in models if name in rules)
        held_mb += sum(rules[name].adapter_mb for name, _ in adapters if name in rules)
        return held_mb, len(adapters)
