"""Chooses the model changes of one plan for a service's engines."""

import heapq
import math

from .engine_state import ModelChange
from .fleet_orders import may_hold
from .model_demand import REQUEST_DURATION_MS, WAITING_WINDOW_S

# Fraction of an engine's slots that requests for one model should use at most; higher
# demand calls for another copy.
TARGET_SLOT_FRACTION = 0.5
# A model with this many running and waiting requests gets a second copy, so that it
# stays available when an engine fails.
SECOND_COPY_CONCURRENCY = 6.0
# Free slots that the engines of a model should have for each of its requests, so that
# a burst finds room. With fewer, a further copy serves more requests.
FREE_SLOTS_PER_REQUEST = 0.5
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
# The same for a model that nobody has asked for yet.
UNKNOWN_LAST_COPY_LOSS_PER_S = 0.5
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


class _Victim:
    """A model that may be evicted from one engine.

    Sorts by what its eviction loses, then by its running requests and its last one.
    """

    __slots__ = ("name", "loss_per_s", "running", "memory_mb", "order")

    def __init__(self, name, loss_per_s, running, last_request_ms, memory_mb):
        self.name = name
        self.loss_per_s = loss_per_s
        self.running = running
        self.memory_mb = memory_mb
        self.order = (loss_per_s, running, last_request_ms, name)


class ModelPlanner:
    """One round of planning.

    A change loads a model at an engine and, if the engine's memory requires it, evicts
    others first. Its gain and its loss are the requests per second that can be served
    in addition or no longer. What several candidate changes share is computed once and
    again only after a change that affects it.

    Parameters
    ----------
    placement : FleetPlacement
    now_ms : float
    """

    def __init__(self, placement, now_ms):
        self._placement = placement
        self._now_ms = now_ms
        self._rule = placement.rule
        self._demand = placement.demand
        self._engines = {
            name: engine
            for name, engine in placement.engines.items()
            if not engine.record.leaving
            and name not in placement.limited
            and engine.record.zone not in placement.evacuated
        }
        # Model -> engines with a copy.
        self._copies = {}
        # Models that some engine has in host memory or on disk.
        self._cached = set()
        for engine in self._engines.values():
            self._cached |= engine.in_memory | engine.on_disk
            for model in engine.copies():
                self._copies.setdefault(model, []).append(engine)
        # Engines that accept a change, those with the fewest requests first.
        self._available = sorted(
            (e for e in self._engines.values() if placement.accepts_change(e, now_ms)),
            key=placement.request_count,
        )
        self._gains = {}
        self._losses = {}
        self._blocked = {}
        self._victims = {}

    def plan(self):
        """Start the changes that gain most for the engine time that they take.

        Returns
        -------
        list of ModelChange
        """
        changes = []
        while self._available:
            change = self._best_change()
            if change is None:
                break
            self._start(change)
            changes.append(change)
        return changes

    def copies(self, model):
        """Return the engines that hold or load a model and do not drain it."""
        return self._copies.get(model, [])

    def missing_models(self):
        """Return the requested models without a copy, those that gain most first."""
        missing = [
            (self.gain_per_s(name), name)
            for name, demand in self._demand.items()
            if not self._is_idle(demand) and not self.copies(name)
        ]
        return [name for _, name in sorted(missing, reverse=True)]

    def _is_idle(self, demand):
        return self._now_ms - demand.last_request_ms > MODEL_IDLE_MS

    def wanted_copies(self, model):
        """Return the number of copies that a model's demand calls for."""
        demand = self._demand.get(model)
        if demand is None or self._is_idle(demand):
            return 0
        copies = math.ceil(
            demand.concurrency / (TARGET_SLOT_FRACTION * self._rule.slots)
        )
        copies = max(copies, self._adapter_copies(demand))
        if demand.concurrency >= SECOND_COPY_CONCURRENCY:
            copies = max(2, copies)
        return max(1, copies)

    def gain_per_s(self, model):
        """Return the requests per second that one more copy of a model would serve."""
        gain = self._gains.get(model)
        if gain is None:
            gain = self._gains[model] = self._compute_gain(model)
        return gain

    def _compute_gain(self, model):
        demand = self._demand[model]
        copies = len(self.copies(model))
        if self._is_idle(demand):
            demand.missing_since_ms = None
            if copies:
                return 0.0
            if demand.latency_sensitive:
                return STANDBY_GAIN_PER_S
            if model not in self._cached and self._is_fleet_idle():
                return PREFETCH_GAIN_PER_S
            return (
                NEVER_REQUESTED_GAIN_PER_S if demand.latency_sensitive is None else 0.0
            )
        if not copies:
            if demand.missing_since_ms is None:
                demand.missing_since_ms = self._now_ms
            missing_ms = self._now_ms - demand.missing_since_ms
            return max(demand.rate_per_s, 0.1) * (1 + missing_ms / AGING_MS)
        demand.missing_since_ms = None
        wanted = self.wanted_copies(model)
        if wanted <= copies:
            return 0.0
        served_per_s = (
            max(demand.fast_rate_per_s, demand.concurrency * 1000 / REQUEST_DURATION_MS)
            / wanted
        )
        return served_per_s * self._lacking_room(model)

    def _lacking_room(self, model):
        """Return which part of the free slots that a model should have is missing.

        The second copy is wanted for its own sake, and copies for their adapter slots.
        """
        demand = self._demand[model]
        copies = self.copies(model)
        if len(copies) < 2 or self._adapter_copies(demand) > len(copies):
            return 1.0
        free_slots = sum(
            max(0, self._rule.slots - self._placement.request_count(engine))
            for engine in copies
        )
        wanted_slots = FREE_SLOTS_PER_REQUEST * demand.concurrency
        return max(0.0, 1.0 - free_slots / wanted_slots)

    def _adapter_copies(self, demand):
        """Return the number of copies that the slots for adapters call for."""
        if not self._rule.max_adapters:
            return 0
        return math.ceil(demand.adapter_slots / self._rule.max_adapters)

    def _is_fleet_idle(self):
        """Return whether no model has requests; a load would delay none."""
        return all(self._is_idle(demand) for demand in self._demand.values())

    def loss_per_s(self, model):
        """Return the requests per second that are lost if one copy is evicted."""
        loss = self._losses.get(model)
        if loss is None:
            loss = self._losses[model] = self._compute_loss(model)
        return loss

    def _compute_loss(self, model):
        if model not in self._rule.models:
            # The configuration left it out.
            return 0.0
        # A load under way may still fail, and an engine that has not reported to this
        # VM yet may hold other models than the platform's list shows.
        copies = sum(
            model in engine.ready and engine.accepted_orders is not None
            for engine in self.copies(model)
        )
        if copies > max(1, self.wanted_copies(model)):
            return 0.0
        demand = self._demand.get(model)
        rate_per_s = 0.0 if demand is None else demand.rate_per_s
        if copies <= 1 and (demand is None or demand.latency_sensitive is None):
            return max(UNKNOWN_LAST_COPY_LOSS_PER_S, rate_per_s)
        if copies <= 1 and demand.latency_sensitive:
            return max(LAST_COPY_LOSS_PER_S, rate_per_s)
        return rate_per_s / max(1, copies)

    def _best_change(self):
        best = None
        candidates = [
            (gain_per_s, model, self._candidate_engines(model))
            for gain_per_s, model in self._candidate_models()
        ]
        for gain_per_s, model, engines in candidates + self._pinned_candidates():
            for engine in engines:
                change, score = self.evaluate(engine, model, gain_per_s)
                if change is not None and (best is None or score > best[0]):
                    best = (score, change)
        return None if best is None else best[1]

    def _candidate_models(self):
        """Return (gain, model) of the loadable models with the highest gains."""
        rare_allowed = self._rare_change_allowed()
        wanted = [
            (self.gain_per_s(model), model)
            for model in self._demand
            if rare_allowed or not self._is_rare(model)
        ]
        wanted = [item for item in wanted if item[0] > 0]
        if self._placement.store_limiter.wait_ms(self._now_ms) > 0:
            cached = set().union(
                *(engine.in_memory | engine.on_disk for engine in self._available)
            )
            wanted = [item for item in wanted if item[1] in cached]
        return heapq.nlargest(MAX_CANDIDATE_MODELS, wanted)

    def _pinned_candidates(self):
        """Return (gain, model, engines) of models that lack a copy at some engines.

        Streams that are taken up can go on only at the software version of their first
        event, and some requests may go only to some zones.
        """
        candidates = []
        for (model, pin), (count, since_ms) in self._placement.pinned.items():
            if any(may_hold(pin, copy.record) for copy in self.copies(model)):
                continue
            engines = [e for e in self._available if may_hold(pin, e.record)]
            aging = 1 + (self._now_ms - since_ms) / AGING_MS
            gain_per_s = count / WAITING_WINDOW_S * aging
            candidates.append((gain_per_s, model, engines[:MAX_CANDIDATE_ENGINES]))
        return candidates

    def _candidate_engines(self, model):
        """Return the engines to consider for a model.

        A large fleet is reduced to those that have the model in host memory or on disk
        and then to those with the fewest requests.
        """
        if len(self._available) <= MAX_CANDIDATE_ENGINES:
            return self._available
        cached = [engine for engine in self._available if engine.has_cached(model)]
        if len(cached) >= MAX_CANDIDATE_ENGINES:
            return cached[:MAX_CANDIDATE_ENGINES]
        others = [
            engine
            for engine in self._available[:MAX_CANDIDATE_ENGINES]
            if not engine.has_cached(model)
        ]
        return (cached + others)[:MAX_CANDIDATE_ENGINES]

    def evaluate(self, engine, model, gain_per_s):
        """Return the change that loads a model at an engine, or None, and its score."""
        rule = self._rule.models[model]
        if model in engine.ready:
            return None, 0.0
        load_ms, from_store = engine.load_ms(rule)
        if from_store and not self._store_load_allowed(model):
            return None, 0.0
        victims = self._select_victims(engine, rule, gain_per_s)
        if victims is None:
            return None, 0.0
        names = tuple(victim.name for victim in victims)
        eta_ms = load_ms
        lost_per_s = self._blocked_per_s(engine, names)
        for victim in victims:
            eta_ms += DRAIN_MS if victim.running else UNLOAD_CONFIRMED_MS
            lost_per_s += victim.loss_per_s
        if lost_per_s >= gain_per_s:
            return None, 0.0
        requests = self._placement.request_count(engine)
        cost_ms = eta_ms + RUNNING_REQUEST_COST_MS * requests
        zone = engine.record.zone
        if any(copy.record.zone == zone for copy in self.copies(model)):
            cost_ms += SAME_ZONE_COST_MS
        eta_ms += self._now_ms
        change = ModelChange(
            engine.record.name, model, names, gain_per_s, from_store, eta_ms
        )
        return change, (gain_per_s - lost_per_s) / (cost_ms + CHANGE_OVERHEAD_MS)

    def _select_victims(self, engine, rule, gain_per_s):
        """Return the models to evict for a new one.

        None if the new one cannot fit or the evictions would lose too much.
        """
        free_mb = self._placement.free_mb(engine)
        if free_mb >= rule.memory_mb:
            return []
        victims = []
        lost_per_s = 0.0
        for victim in self._ranked_victims(engine):
            if (
                gain_per_s <= PREFETCH_GAIN_PER_S
                and len(self.copies(victim.name)) <= PREFETCH_MIN_COPIES
            ):
                continue
            lost_per_s += victim.loss_per_s
            if lost_per_s * MIN_GAIN_RATIO > gain_per_s:
                return None
            victims.append(victim)
            free_mb += victim.memory_mb
            if free_mb >= rule.memory_mb:
                return victims
        return None

    def _ranked_victims(self, engine):
        """Return the models that may be evicted, those that lose least first."""
        name = engine.record.name
        victims = self._victims.get(name)
        if victims is None:
            found = [
                self._victim(engine, model)
                for model in engine.ready
                if self._may_evict(engine, model)
            ]
            victims = self._victims[name] = sorted(found, key=lambda v: v.order)
        return victims

    def _may_evict(self, engine, model):
        loaded_ms = engine.loaded_ms.get(model, -math.inf)
        return (
            model not in engine.drained and self._now_ms - loaded_ms >= MIN_RESIDENCE_MS
        )

    def _victim(self, engine, model):
        demand = self._demand.get(model)
        return _Victim(
            model,
            self.loss_per_s(model),
            self._placement.running_count(engine, model),
            -math.inf if demand is None else demand.last_request_ms,
            self._placement.model_mb(engine, model),
        )

    def _blocked_per_s(self, engine, victims):
        """Return the adapter requests per second that a change of an engine delays."""
        return sum(
            self._blocked_rate(name) for name in engine.ready if name not in victims
        )

    def _blocked_rate(self, model):
        rate = self._blocked.get(model)
        if rate is None:
            demand = self._demand.get(model)
            available = sum(copy.change is None for copy in self.copies(model))
            share = 1.0 if available <= 1 else ADAPTER_MISS_FRACTION / available
            rate = 0.0 if demand is None else share * demand.adapter_rate_per_s
            self._blocked[model] = rate
        return rate

    def _store_load_allowed(self, model):
        """Return whether a model may be loaded from the weight store now.

        A rare model waits for an engine that has it in host memory or on disk: a load
        from the store keeps an engine from other changes five times as long.
        """
        if self._placement.store_limiter.wait_ms(self._now_ms) > 0:
            return False
        return not self._is_rare(model) or model not in self._cached

    def _is_rare(self, model):
        demand = self._demand.get(model)
        return demand is None or demand.rate_per_s < RARE_RATE_PER_S

    def _rare_change_allowed(self):
        rare = sum(
            engine.change is not None and self._is_rare(engine.change.model)
            for engine in self._engines.values()
        )
        return rare < max(1, RARE_CHANGE_ENGINE_FRACTION * len(self._engines))

    def _start(self, change):
        """Mark an engine as changing, and forget what this affects."""
        engine = self._engines[change.engine]
        affected = {change.model, *engine.ready}
        self._placement.start_change(engine, change, self._now_ms)
        self._available.remove(engine)
        for victim in change.victims:
            self._copies[victim].remove(engine)
        self._copies.setdefault(change.model, []).append(engine)
        for model in affected:
            self._gains.pop(model, None)
            self._losses.pop(model, None)
            self._blocked.pop(model, None)
        for name in list(self._victims):
            if not affected.isdisjoint(self._engines[name].ready):
                del self._victims[name]
