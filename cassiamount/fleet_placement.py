"""Placement policy: plans which models and adapters each engine of a service holds."""

import math

from .engine_state import AdapterChange, EngineState
from .fleet_orders import SOFTWARE_MARK, target_name
from .invariants import MEMORY_NOT_OVERCOMMITTED, require
from .model_demand import ADAPTER_IDLE_MS, ModelDemand
from .model_planner import (
    CHANGE_OVERHEAD_MS,
    RARE_CHANGE_ENGINE_FRACTION,
    UNLOAD_CONFIRMED_MS,
    ModelPlanner,
)
from .request_rates import RequestRate
from .store_load_limiter import StoreLoadLimiter

# Delay before the next change of an engine whose last change failed.
CHANGE_RETRY_MS = 300.0


class FleetPlacement:
    """Plans the model and adapter changes of one service's engines.

    Runs only on the VM that holds the order lease.

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
        self.engines = {}
        self.store_limiter = StoreLoadLimiter(burst_available, now_ms)
        # Model -> ModelDemand.
        self.demand = {}
        # Model without a copy -> time at which some engine should have loaded it.
        self.queued = {}
        # (model, software version or zones) -> [requests that wait for a copy at an
        # engine of that version or in those zones, time since which they do].
        self.pinned = {}
        # Engines that name a request limit; their copies serve too few requests.
        self.limited = frozenset()
        # Zones whose engines count neither as copies nor as candidates.
        self.evacuated = frozenset()
        self._adapter_waiting = {}
        self._has_waiting = False
        # Models with a copy as of the last plan.
        self._held = frozenset()
        self._running = {}
        # Engine -> its requests, in total and by model.
        self._request_counts = {}
        self._running_by_model = {}
        # Model -> ModelConfig of the last configuration that has it. Engines hold
        # models that a configuration leaves out until these are unloaded.
        self._models = {}
        self.set_rule(engine_rule)

    def set_rule(self, rule):
        """Replace the engine limits and the models after a configuration change."""
        held = set()
        for engine in self.engines.values():
            held |= engine.ready.keys() | engine.loading.keys()
        left_out = {n: m for n, m in self._models.items() if n in held}
        self._models = left_out | rule.models
        self.rule = rule
        self.store_limiter.rate_per_s = rule.loads_per_s
        self.demand = {n: d for n, d in self.demand.items() if n in rule.models}
        self.queued = {n: at for n, at in self.queued.items() if n in rule.models}
        self.pinned = {k: v for k, v in self.pinned.items() if k[0] in rule.models}

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

    def set_limited(self, names):
        """Set the engines that name a limit; if all do, none is treated differently."""
        live = {
            name
            for name, engine in self.engines.items()
            if not engine.record.leaving and engine.record.zone not in self.evacuated
        }
        self.limited = frozenset() if live <= set(names) else frozenset(names)

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
        running_by_model, waiting_by_model, adapters_in_use = self.set_requests(
            running, waiting, now_ms
        )
        no_requests = RequestRate(as_of_ms=now_ms)
        for name in self.rule.models:
            demand = self.demand.get(name)
            if demand is None:
                demand = self.demand[name] = ModelDemand()
            demand.update(
                running_by_model.get(name, 0),
                waiting_by_model.get(name, 0),
                rates.get(name, no_requests),
                now_ms,
            )
            demand.adapters_in_use = adapters_in_use.get(name, 0)

    def set_requests(self, running, waiting, now_ms):
        """Update the requests that run and wait, which is all that adapters depend on.

        Parameters
        ----------
        running, waiting
            As in `set_demand`.

        Returns
        -------
        tuple of dict of str to int
            By model: its running requests, its waiting ones, and its adapters in use.
        """
        self._running = running
        self._request_counts = {}
        self._running_by_model = {}
        running_by_model = {}
        adapters_in_use = {}
        for engine_name, targets in running.items():
            engine = self.engines.get(engine_name)
            of_engine = self._running_by_model.setdefault(engine_name, {})
            for target, count in targets.items():
                model, _, adapter = target.partition("/")
                of_engine[model] = of_engine.get(model, 0) + count
                running_by_model[model] = running_by_model.get(model, 0) + count
                if adapter and engine is not None:
                    engine.adapter_used_ms[(model, adapter)] = now_ms
                    adapters_in_use[model] = adapters_in_use.get(model, 0) + 1
            self._request_counts[engine_name] = sum(targets.values())
        waiting_by_model = {}
        self._adapter_waiting = {}
        self._has_waiting = bool(waiting)
        pinned, self.pinned = self.pinned, {}
        for name, count in waiting.items():
            target, _, software = name.partition(SOFTWARE_MARK)
            model, _, adapter = target.partition("/")
            if software and model in self.rule.models:
                _, since_ms = pinned.get((model, software), (0, now_ms))
                self.pinned[model, software] = (count, since_ms)
            waiting_by_model[model] = waiting_by_model.get(model, 0) + count
            if adapter and model in self.rule.models:
                self._adapter_waiting[(model, adapter)] = count
                adapters_in_use[model] = adapters_in_use.get(model, 0) + 1
        return running_by_model, waiting_by_model, adapters_in_use

    def plan(self, now_ms):
        """Return the changes to start now and mark their engines as changing.

        Returns
        -------
        list of (ModelChange or AdapterChange)
        """
        adapter_changes = self.plan_adapters(now_ms)
        planner = ModelPlanner(self, now_ms)
        model_changes = planner.plan()
        self._held = {name for name in self.rule.models if planner.copies(name)}
        self.queued = self._queued_ready_times(planner.missing_models(), now_ms)
        return adapter_changes + model_changes

    def _queued_ready_times(self, missing_models, now_ms):
        """Estimate when requested models without a copy will be ready.

        A few engines load them in order of gain.

        Returns
        -------
        dict of str to float
            Model -> time.
        """
        live = sum(
            not engine.record.leaving and engine.record.zone not in self.evacuated
            for engine in self.engines.values()
        )
        concurrent_changes = max(1, math.ceil(RARE_CHANGE_ENGINE_FRACTION * live))
        ready_times = {}
        for position, name in enumerate(missing_models):
            change_ms = (
                self.rule.models[name].disk_load_ms
                + CHANGE_OVERHEAD_MS
                + UNLOAD_CONFIRMED_MS
            )
            ready_times[name] = now_ms + change_ms * (
                1 + position // concurrent_changes
            )
        return ready_times

    def is_settled(self):
        """Return whether no request waits and no engine is changing or unknown."""
        return not self._has_waiting and all(
            engine.change is None and engine.accepted_orders is not None
            for engine in self.engines.values()
        )

    def lacks(self, target):
        """Return whether a request that waits for a target needs a model change."""
        name, _, software = target.partition(SOFTWARE_MARK)
        model = name.partition("/")[0]
        return model in self.rule.models and (bool(software) or model not in self._held)

    def status(self, now_ms):
        """Return counts of engines, changes and missing models, for the log."""
        missing = [
            now_ms - demand.missing_since_ms
            for demand in self.demand.values()
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

    def request_count(self, engine):
        """Return the number of requests that run at an engine."""
        return self._request_counts.get(engine.record.name, 0)

    def running_count(self, engine, model):
        """Return the number of requests for a model that run at an engine."""
        return self._running_by_model.get(engine.record.name, {}).get(model, 0)

    def start_change(self, engine, change, now_ms):
        """Mark an engine as changing."""
        engine.change = change
        engine.drained |= set(change.victims)
        if change.from_store:
            self.store_limiter.record_load(now_ms)

    def accepts_change(self, engine, now_ms):
        """Return whether an engine can get an order now."""
        return (
            not engine.record.leaving
            and engine.accepted_orders is not None
            and engine.change is None
            and now_ms >= engine.retry_at_ms
        )

    def plan_adapters(self, now_ms):
        """Return the adapters to load now, and mark their engines.

        Returns
        -------
        list of AdapterChange
        """
        changes = []
        if not any(self._adapter_waiting.values()):
            return changes
        # Model or adapter -> engines that hold it, or are about to hold the adapter.
        holders, loading = {}, {}
        for engine in self.engines.values():
            if (
                engine.record.leaving
                or engine.record.name in self.limited
                or engine.record.zone in self.evacuated
            ):
                continue
            for model in engine.ready:
                holders.setdefault(model, []).append(engine)
            for pair in engine.adapters_loading:
                loading.setdefault(pair, []).append(engine)
        for (model, adapter), waiting in self._adapter_waiting.items():
            if not waiting:
                continue
            if any(model not in e.drained for e in loading.get((model, adapter), ())):
                continue
            engines = holders.get(model, ())
            change = self._adapter_change(engines, model, adapter, now_ms)
            if change is not None:
                engine = self.engines[change.engine]
                engine.adapters_loading[(model, adapter)] = None
                if change.victim is not None:
                    engine.adapters_unloading.add(change.victim)
                changes.append(change)
        return changes

    def _adapter_change(self, engines, model, adapter, now_ms):
        """Return the change that loads an adapter at an engine that holds its model."""
        engines = [engine for engine in engines if model not in engine.drained]
        if any(
            adapter in engine.ready[model]
            and (model, adapter) not in engine.adapters_unloading
            for engine in engines
        ):
            return None
        best = None
        for engine in engines:
            # An engine accepts no adapter order while it executes another order.
            if not self.accepts_change(engine, now_ms):
                continue
            if best is not None and self.request_count(engine) >= best[0]:
                continue
            victim = self._adapter_victim(engine, model, now_ms)
            if victim is None:
                continue
            cost = self.request_count(engine) + (10 if victim else 0)
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
        free_mb = self.free_mb(engine)
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
            if free_mb + self._memory_mb((), [(name, adapter)]) >= needed_mb:
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
        return self._memory_mb(models, adapters), len(adapters)

    def free_mb(self, engine):
        """Return the memory beside all that is loaded, loading or still unloading."""
        models = engine.ready.keys() | engine.loading.keys()
        return self.rule.memory_mb - self._memory_mb(models, engine.adapters())

    def model_mb(self, engine, model):
        """Return the memory that a model and its adapters use at an engine."""
        adapters = [(model, adapter) for adapter in engine.ready[model]]
        return self._memory_mb([model], adapters)

    def _memory_mb(self, models, adapters):
        """Return the memory of models and of (model, adapter) pairs.

        A model that no known configuration has may use all that an engine has.
        """
        known = self._models
        return sum(
            known[name].memory_mb if name in known else self.rule.memory_mb
            for name in models
        ) + sum(known[name].adapter_mb for name, _ in adapters if name in known)
