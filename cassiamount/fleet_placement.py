"""Placement policy: plans which models and adapters each engine of a service holds."""

import heapq
import math

from .engine_state import AdapterChange, EngineState, ModelChange
from .fleet_orders import target_name
from .invariants import MEMORY_NOT_OVERCOMMITTED, require
from .model_demand import ADAPTER_IDLE_MS, REQUEST_DURATION_MS, ModelDemand
from .request_rates import RequestRate
from .store_load_limiter import StoreLoadLimiter

# Fraction of an engine's slots that requests for one model should use at most; higher
# demand calls for another copy.
TARGET_SLOT_FRACTION = 0.5
# A model with this many running and waiting requests gets a second copy, so that it
# stays available when an engine fails.
SECOND_COPY_CONCURRENCY = 6.0
# A model without requests for this long needs no copy.
MODEL_IDLE_MS = 4_000.0
# The gain of a requested model without a copy grows by its request rate for each such
# period, so that rarely requested models do not starve.
AGING_MS = 4_000.0
# Minimum time between the load and the eviction of a model, so that two models do not
# keep evicting each other.
MIN_RESIDENCE_MS = 1_500.0
# A model change must gain this many times what the evicted models lose.
MIN_GAIN_RATIO = 1.5
# Minimum loss of evicting the last copy of a model whose callers expect a response
# sooner than it can be loaded again. It applies also while the model has no requests.
LAST_COPY_LOSS_PER_S = 3.0
# Estimated fraction of adapter requests whose adapter is not loaded at the engine.
ADAPTER_MISS_FRACTION = 0.5
# Gain of the first copy of an idle model whose callers do not wait for a load, and of a
# model that has not been requested yet.
STANDBY_GAIN_PER_S = 1.0
NEVER_REQUESTED_GAIN_PER_S = 0.1
# Gain of a prefetch: a load that only brings a first copy to some engine's disk.
PREFETCH_GAIN_PER_S = 0.05
# A prefetch evicts no model with this many copies or fewer.
PREFETCH_MIN_COPIES = 2
# Models with a lower request rate are rare. Concurrent changes for rare models may
# occupy this fraction of the engines, so that the others stay free for hot models.
RARE_RATE_PER_S = 2.0
RARE_CHANGE_ENGINE_FRACTION = 0.34
# Estimated time until the running requests of a model end and it can be unloaded.
DRAIN_MS = 1_500.0
# Time until a model without running requests is unloaded and a report shows it.
UNLOAD_CONFIRMED_MS = 200.0
# Cost of another copy in an availability zone that already has one.
SAME_ZONE_COST_MS = 300.0
# Cost of a change for each request that runs on the engine.
RUNNING_REQUEST_COST_MS = 15.0
# Time that a change takes in addition to the load: the notice to other VMs, the unload
# and the reports of the engine.
CHANGE_OVERHEAD_MS = 300.0
# Models and engines considered for one decision at most, so that its time does not grow
# with the fleet. Today's sites have fewer.
MAX_CANDIDATE_MODELS = 24
MAX_CANDIDATE_ENGINES = 12
# Delay before the next change of an engine whose last change failed.
CHANGE_RETRY_MS = 300.0


class FleetPlacement:
    """Plans the model and adapter changes of one service's engines.

    Runs only on the VM that holds the order lease. A model change loads a model and, if
    the engine's memory requires it, evicts others first. Its gain and its loss are the
    requests per second that can be served in addition or no longer.

    Parameters
    ----------
    service : str
    engine_rule : EngineConfig
    burst_available : bool
        Whether the full burst of loads from the weight store may start at once.
    now_ms : float
    """

    def __init__(self, service, engine_rule, burst_available, now_ms):
        self.service = service
        self.rule = engine_rule
        self.engines = {}
        self.store_limiter = StoreLoadLimiter(burst_available, now_ms)
        self.store_limiter.rate_per_s = engine_rule.loads_per_s
        self._demand = {}
        self._adapter_waiting = {}
        self._running = {}
        # Model -> engines with a copy; None unless `_index_copies` has just filled it.
        self._copies = None

    def set_rule(self, rule):
        """Replace the engine limits after a configuration change."""
        self.rule = rule
        self.store_limiter.rate_per_s = rule.loads_per_s

    def set_engines(self, records):
        """Update the engines from the platform's list of backend servers.

        Parameters
        ----------
        records : dict of str to BackendRecord
        """
        for name in set(self.engines) - set(records):
            del self.engines[name]
        for name, record in records.items():
            engine = self.engines.get(name)
            if engine is None or (
                engine.record.started_wall_ms != record.started_wall_ms
            ):
                self.engines[name] = EngineState(record)
                continue
            # The list is seconds old, so the residents from the engine's reports stay.
            engine.record = record

    def set_demand(self, running, waiting, rates, now_ms):
        """Update the demand from the requests of all VMs.

        Parameters
        ----------
        running : dict of str to dict of str to int
            Engine -> model or adapter -> requests that run there.
        waiting : dict of str to int
            Model or adapter -> requests that wait for it.
        rates : dict of str to RequestRate
            By model, over all VMs.
        """
        self._running = running
        running_by_model = {}
        adapters_in_use = {}
        for engine_name, targets in running.items():
            engine = self.engines.get(engine_name)
            for target, count in targets.items():
                model, _, adapter = target.partition("/")
                running_by_model[model] = running_by_model.get(model, 0) + count
                if adapter and engine is not None:
                    engine.adapter_used_ms[(model, adapter)] = now_ms
                    adapters_in_use[model] = adapters_in_use.get(model, 0) + 1
        waiting_by_model = {}
        self._adapter_waiting = {}
        for target, count in waiting.items():
            model, _, adapter = target.partition("/")
            waiting_by_model[model] = waiting_by_model.get(model, 0) + count
            if adapter:
                self._adapter_waiting[(model, adapter)] = count
                adapters_in_use[model] = adapters_in_use.get(model, 0) + 1
        no_requests = RequestRate(as_of_ms=now_ms)
        for name in self.rule.models:
            demand = self._demand.get(name)
            if demand is None:
                demand = self._demand[name] = ModelDemand()
            demand.update(
                running_by_model.get(name, 0),
                waiting_by_model.get(name, 0),
                rates.get(name, no_requests),
                now_ms,
            )
            demand.adapters_in_use = adapters_in_use.get(name, 0)

    def plan(self, now_ms):
        """Return the changes to start now and mark their engines as changing.

        Returns
        -------
        list of (ModelChange or AdapterChange)
        """
        return self._plan_adapters(now_ms) + self._plan_models(now_ms)

    def queued_ready_times(self, now_ms):
        """Estimate when requested models without a copy will be ready.

        Returns
        -------
        dict of str to float
            Model -> time, assuming that a few engines load them in order of gain.
        """
        self._index_copies()
        missing = [
            (self.gain_per_s(name, now_ms), name)
            for name, demand in self._demand.items()
            if now_ms - demand.last_request_ms < MODEL_IDLE_MS and not self.copies(name)
        ]
        live = sum(not engine.record.leaving for engine in self.engines.values())
        concurrent_changes = max(1, math.ceil(RARE_CHANGE_ENGINE_FRACTION * live))
        ready_times = {}
        for position, (_, name) in enumerate(sorted(missing, reverse=True)):
            change_ms = (
                self.rule.models[name].disk_load_ms
                + CHANGE_OVERHEAD_MS
                + UNLOAD_CONFIRMED_MS
            )
            ready_times[name] = now_ms + change_ms * (
                1 + position // concurrent_changes
            )
        self._copies = None
        return ready_times

    def status(self, now_ms):
        """Return counts of engines, changes and missing models, for the log."""
        missing = [
            now_ms - demand.missing_since_ms
            for demand in self._demand.values()
            if demand.missing_since_ms is not None
        ]
        engines = self.engines.values()
        return {
            "engines": len(engines),
            "engines_unknown": sum(e.accepted_orders is None for e in engines),
            "engines_changing": sum(e.change is not None for e in engines),
            "models_missing": len(missing),
            "longest_missing_ms": round(max(missing, default=0.0)),
            "adapters_waited_for": len(self._adapter_waiting),
            "store_wait_ms": round(self.store_limiter.wait_ms(now_ms)),
        }

    def copies(self, model):
        """Return the engines that hold or load a model and do not drain it."""
        if self._copies is not None:
            return self._copies.get(model, [])
        return [
            engine
            for engine in self.engines.values()
            if not engine.record.leaving
            and model not in engine.drained
            and (
                model in engine.ready
                or model in engine.loading
                or (engine.change is not None and engine.change.model == model)
            )
        ]

    def _index_copies(self):
        """Cache the copies of all models, because a decision looks them up often."""
        self._copies = {}
        for engine in self.engines.values():
            if engine.record.leaving:
                continue
            models = engine.ready.keys() | engine.loading.keys()
            if engine.change is not None:
                models.add(engine.change.model)
            for model in models - engine.drained:
                self._copies.setdefault(model, []).append(engine)

    def wanted_copies(self, model, now_ms):
        """Return the number of copies that a model's demand calls for."""
        demand = self._demand.get(model)
        if demand is None or now_ms - demand.last_request_ms > MODEL_IDLE_MS:
            return 0
        copies = math.ceil(
            demand.concurrency / (TARGET_SLOT_FRACTION * self.rule.slots)
        )
        if self.rule.max_adapters:
            adapter_copies = demand.adapter_slots / self.rule.max_adapters
            copies = max(copies, math.ceil(adapter_copies))
        if demand.concurrency >= SECOND_COPY_CONCURRENCY:
            copies = max(2, copies)
        return max(1, copies)

    def gain_per_s(self, model, now_ms):
        """Return the requests per second that one more copy of a model would serve."""
        demand = self._demand[model]
        if now_ms - demand.last_request_ms > MODEL_IDLE_MS:
            demand.missing_since_ms = None
            if self.copies(model):
                return 0.0
            if demand.latency_sensitive:
                return STANDBY_GAIN_PER_S
            if self._should_prefetch(model, now_ms):
                return PREFETCH_GAIN_PER_S
            return (
                NEVER_REQUESTED_GAIN_PER_S if demand.latency_sensitive is None else 0.0
            )
        copies = len(self.copies(model))
        if not copies:
            if demand.missing_since_ms is None:
                demand.missing_since_ms = now_ms
            aging_factor = 1 + (now_ms - demand.missing_since_ms) / AGING_MS
            return max(demand.rate_per_s, 0.1) * aging_factor
        demand.missing_since_ms = None
        wanted = self.wanted_copies(model, now_ms)
        if wanted <= copies:
            return 0.0
        return (
            max(demand.fast_rate_per_s, demand.concurrency * 1000 / REQUEST_DURATION_MS)
            / wanted
        )

    def loss_per_s(self, model, now_ms):
        """Return the requests per second that are lost if one copy is evicted."""
        # A load under way may still fail, and an engine that has not reported to this
        # VM yet may hold other models than the platform's list shows.
        copies = sum(
            model in engine.ready and engine.accepted_orders is not None
            for engine in self.copies(model)
        )
        if copies > max(1, self.wanted_copies(model, now_ms)):
            return 0.0
        demand = self._demand.get(model)
        rate_per_s = 0.0 if demand is None else demand.rate_per_s
        if copies <= 1 and (demand is None or demand.latency_sensitive is not False):
            return max(LAST_COPY_LOSS_PER_S, rate_per_s)
        return rate_per_s / max(1, copies)

    def _plan_models(self, now_ms):
        """Start the model changes that gain most for the engine time that they take."""
        changes = []
        while True:
            change = self._best_change(now_ms)
            if change is None:
                return changes
            changes.append(self._start_change(change, now_ms))

    def _best_change(self, now_ms):
        available = [
            candidate
            for candidate in self.engines.values()
            if self._accepts_change(candidate, now_ms)
        ]
        if not available:
            return None
        self._index_copies()
        try:
            best = None
            for gain_per_s, model in self._candidate_models(available, now_ms):
                for engine in self._candidate_engines(available, model):
                    change, score = self._evaluate_change(
                        engine, model, gain_per_s, now_ms
                    )
                    if change is not None and (best is None or score > best[0]):
                        best = (score, change)
            return None if best is None else best[1]
        finally:
            self._copies = None

    def _candidate_models(self, available, now_ms):
        """Return (gain, model) of the loadable models with the highest gains."""
        rare_allowed = self._rare_change_allowed()
        gains = [
            (self.gain_per_s(model, now_ms), model)
            for model in self._demand
            if rare_allowed or not self._is_rare(model)
        ]
        wanted = [item for item in gains if item[0] > 0]
        if self.store_limiter.wait_ms(now_ms) > 0:
            cached = set().union(
                *(candidate.in_memory | candidate.on_disk for candidate in available)
            )
            wanted = [item for item in wanted if item[1] in cached]
        return heapq.nlargest(MAX_CANDIDATE_MODELS, wanted)

    def _candidate_engines(self, available, model):
        """Return the engines to consider for a model.

        A large fleet is reduced to those that have the model in host memory or on disk
        and then to those with the fewest requests.
        """
        if len(available) <= MAX_CANDIDATE_ENGINES:
            return available

        def cost(engine):
            is_cached = model in engine.in_memory or model in engine.on_disk
            return (not is_cached, self._request_count(engine))

        return heapq.nsmallest(MAX_CANDIDATE_ENGINES, available, key=cost)

    def _evaluate_change(self, engine, model, gain_per_s, now_ms):
        """Return the change that loads a model at an engine, or None, and its score."""
        rule = self.rule.models[model]
        if model in engine.ready:
            return None, 0.0
        victims = self._select_victims(engine, rule, gain_per_s, now_ms)
        if victims is None:
            return None, 0.0
        load_ms, from_store = self._load_ms(engine, rule)
        if from_store and not self._store_load_allowed(model, now_ms):
            return None, 0.0
        eta_ms = load_ms
        lost_per_s = 0.0
        for victim in victims:
            running = self._running_for_model(engine, victim)
            eta_ms += DRAIN_MS if running else UNLOAD_CONFIRMED_MS
            lost_per_s += self.loss_per_s(victim, now_ms)
        lost_per_s += self._blocked_per_s(engine, victims)
        if lost_per_s >= gain_per_s:
            return None, 0.0
        cost_ms = eta_ms + RUNNING_REQUEST_COST_MS * self._request_count(engine)
        if any(copy.record.zone == engine.record.zone for copy in self.copies(model)):
            cost_ms += SAME_ZONE_COST_MS
        change = ModelChange(
            engine.record.name,
            model,
            tuple(victims),
            gain_per_s,
            from_store,
            now_ms + eta_ms,
        )
        return change, (gain_per_s - lost_per_s) / (cost_ms + CHANGE_OVERHEAD_MS)

    def _blocked_per_s(self, engine, victims):
        """Return the adapter requests per second that a change of an engine delays."""
        blocked = 0.0
        for name in engine.ready:
            demand = self._demand.get(name)
            if demand is None or name in victims:
                continue
            available = sum(copy.change is None for copy in self.copies(name))
            share = 1.0 if available <= 1 else ADAPTER_MISS_FRACTION / available
            blocked += share * demand.adapter_rate_per_s
        return blocked

    def _store_load_allowed(self, model, now_ms):
        """Return whether a model may be loaded from the weight store now.

        A rare model waits for an engine that has it in host memory or on disk: a load
        from the store keeps an engine from other changes five times as long.
        """
        if self.store_limiter.wait_ms(now_ms) > 0:
            return False
        if not self._is_rare(model):
            return True
        return not any(
            model in engine.on_disk or model in engine.in_memory
            for engine in self.engines.values()
            if not engine.record.leaving
        )

    def _is_rare(self, model):
        return self._demand[model].rate_per_s < RARE_RATE_PER_S

    def _rare_change_allowed(self):
        live = [
            candidate
            for candidate in self.engines.values()
            if not candidate.record.leaving
        ]
        rare = sum(
            engine.change is not None and self._is_rare(engine.change.model)
            for engine in live
        )
        return rare < max(1, RARE_CHANGE_ENGINE_FRACTION * len(live))

    def _start_change(self, change, now_ms):
        engine = self.engines[change.engine]
        engine.change = change
        engine.drained |= set(change.victims)
        if change.from_store:
            self.store_limiter.record_load(now_ms)
        return change

    def _accepts_change(self, engine, now_ms):
        return (
            not engine.record.leaving
            and engine.accepted_orders is not None
            and engine.change is None
            and now_ms >= engine.retry_at_ms
        )

    def _should_prefetch(self, model, now_ms):
        """Return whether to load a model of which no engine has a copy, even on disk.

        Only while no model has requests: a load keeps an engine from other orders.
        """
        if any(
            now_ms - demand.last_request_ms < MODEL_IDLE_MS
            for demand in self._demand.values()
        ):
            return False
        return not self.copies(model) and not any(
            model in engine.on_disk or model in engine.in_memory
            for engine in self.engines.values()
        )

    def _load_ms(self, engine, rule):
        if rule.name in engine.in_memory:
            return rule.host_load_ms, False
        if rule.name in engine.on_disk:
            return rule.disk_load_ms, False
        return rule.load_ms, True

    def _select_victims(self, engine, rule, gain_per_s, now_ms):
        """Return the models to evict for a new one.

        None if the new one cannot fit or the evictions would lose too much.
        """
        free_mb = self.rule.memory_mb - engine.held_mb(self.rule.models)
        if free_mb >= rule.memory_mb:
            return []
        ranked = []
        for name in engine.ready:
            if name in engine.drained or name not in self.rule.models:
                continue
            if now_ms - engine.loaded_ms.get(name, -math.inf) < MIN_RESIDENCE_MS:
                continue
            demand = self._demand.get(name)
            last_request_ms = -math.inf if demand is None else demand.last_request_ms
            loss = self.loss_per_s(name, now_ms)
            if (
                gain_per_s <= PREFETCH_GAIN_PER_S
                and len(self.copies(name)) <= PREFETCH_MIN_COPIES
            ):
                continue
            ranked.append(
                (loss, self._running_for_model(engine, name), last_request_ms, name)
            )
        victims = []
        lost_per_s = 0.0
        for loss, _, _, name in sorted(ranked):
            lost_per_s += loss
            if lost_per_s * MIN_GAIN_RATIO > gain_per_s:
                return None
            victims.append(name)
            free_mb += self.rule.models[name].memory_mb
            free_mb += self.rule.models[name].adapter_mb * len(engine.ready[name])
            if free_mb >= rule.memory_mb:
                return victims
        return None

    def _request_count(self, engine):
        return sum(self._running.get(engine.record.name, {}).values())

    def _running_for_model(self, engine, model):
        targets = self._running.get(engine.record.name, {})
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
                engine = self.engines[change.engine]
                engine.adapters_loading[(model, adapter)] = None
                if change.victim is not None:
                    engine.adapters_unloading.add(change.victim)
                changes.append(change)
        return changes

    def _adapter_change(self, model, adapter, now_ms):
        best = None
        for engine in self.engines.values():
            if engine.record.leaving or model in engine.drained:
                continue
            if (model, adapter) in engine.adapters_loading:
                return None
            if adapter in engine.ready.get(model, ()) and (
                (model, adapter) not in engine.adapters_unloading
            ):
                return None
            # An engine accepts no adapter order while it executes another order.
            if model not in engine.ready or not self._accepts_change(engine, now_ms):
                continue
            victim = self._adapter_victim(engine, model, now_ms)
            if victim is None:
                continue
            cost = self._request_count(engine) + (10 if victim else 0)
            if best is None or cost < best[0]:
                best = (cost, engine, victim)
        if best is None:
            return None
        _, engine, victim = best
        return AdapterChange(engine.record.name, model, adapter, victim or None)

    def _adapter_victim(self, engine, model, now_ms):
        """Return the adapter to unload, () if there is room, None if none can go."""
        rule = self.rule
        held_count = len(engine.adapters() - engine.adapters_unloading)
        free_mb = rule.memory_mb - engine.held_mb(rule.models)
        needed_mb = rule.models[model].adapter_mb
        if held_count < rule.max_adapters and free_mb >= needed_mb:
            return ()
        running = self._running.get(engine.record.name, {})
        candidates = [
            (engine.adapter_used_ms.get((name, adapter), -math.inf), name, adapter)
            for name, adapters in engine.ready.items()
            for adapter in adapters
            if not running.get(target_name(name, adapter))
            and (name, adapter) not in engine.adapters_unloading
            and not self._adapter_waiting.get((name, adapter))
        ]
        for used_ms, name, adapter in sorted(candidates):
            if used_ms > now_ms - ADAPTER_IDLE_MS:
                return None
            if free_mb + rule.models[name].adapter_mb >= needed_mb:
                return (name, adapter)
        return None

    def fits(self, engine, model, adapter):
        """Return whether a load fits beside all that is loaded or was ordered."""
        held_mb, adapters = self._usage_with_load(engine, model, adapter)
        return held_mb <= self.rule.memory_mb and (
            not adapter or adapters <= self.rule.max_adapters
        )

    def check_memory(self, engine, model, adapter):
        """Raise an invariant violation if a load about to be ordered does not fit."""
        held_mb, adapters = self._usage_with_load(engine, model, adapter)
        require(
            self.fits(engine, model, adapter),
            MEMORY_NOT_OVERCOMMITTED,
            engine=engine.record.name,
            held_mb=held_mb,
            adapters=adapters,
        )

    def _usage_with_load(self, engine, model, adapter):
        rules = self.rule.models
        models = engine.ready.keys() | engine.loading.keys()
        adapters = {
            pair
            for pair in engine.adapters()
            if engine.adapters_loading.get(pair, 0) is not None
        }
        if adapter:
            adapters.add((model, adapter))
        else:
            models |= {model}
        held_mb = sum(rules[name].memory_mb for name in models if name in rules)
        held_mb += sum(rules[name].adapter_mb for name, _ in adapters if name in rules)
        return held_mb, len(adapters)
