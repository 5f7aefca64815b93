"""Placement policy: decides which engines hold which models and adapters."""

from .placement_adapters import plan_adapters
from .placement_load import EngineLoads
from .placement_state import MIN_RESIDENCE_MS, PendingLoad, PlacementState

# Models are not replicated for load while every engine runs fewer requests than this
# share of its `max_running`.
BALANCE_MIN_UTILIZATION = 0.6
# Minimum relative decrease of the sum of squared engine loads for a new copy. Smaller
# gains don't make up for loading the weights and losing the evicted prefix cache.
MIN_GAIN_SHARE = 0.015
# Time for which a load is left to another zone's lease holder: to the holder of the
# model's home zone, or to the zone whose engine gains more from the new copy.
OTHER_ZONE_PRIORITY_MS = 10_000.0
# Minimum interval between loads of second-zone copies, which are the least urgent.
SECOND_ZONE_LOAD_INTERVAL_MS = 2_000.0
# A redundant copy is unloaded for headroom only if its share of the total model weight
# is smaller than this.
HEADROOM_VICTIM_MAX_WEIGHT = 0.03


class PlacementPolicy(PlacementState):
    """Plans loads and unloads on one zone's engines from the state of all zones.

    Parameters
    ----------
    zone : str
    """

    __slots__ = ()

    def plan(self, demand, engines, now_ms):
        """Return the loads and unloads to order now, most urgent first.

        Parameters
        ----------
        demand : dict
            Model or adapter -> DemandRate.
        engines : dict
            Name -> EngineView, for the engines of all zones.
        now_ms : float

        Returns
        -------
        list of Move
        """
        self._update_load_times(engines, now_ms)
        current = self._weights(
            {name: rate.current_tokens_per_s for name, rate in demand.items()}
        )
        demand = {name: rate.sustained_tokens_per_s for name, rate in demand.items()}
        weights = self._weights(demand)
        moves = []
        budget = self._load_budget(engines, now_ms)
        budget -= self._plan_pending_loads(engines, now_ms, budget, moves)
        budget -= self._plan_missing(weights, engines, now_ms, budget, moves)
        if budget > 0 and not moves and not self._pending_loads:
            budget -= self._plan_balance(current, weights, engines, now_ms, moves)
        if budget > 0 and not moves and not self._pending_loads:
            self._plan_second_zone_copy(weights, engines, now_ms, moves)
        if not moves and not self._pending_loads:
            self._plan_headroom(weights, engines, now_ms, moves)
        evicted = {
            (pending.engine, name)
            for pending in self._pending_loads.values()
            for name in pending.victims
        }
        own = self._local_engines(engines)
        reserved_mb = {view.name: self._pending_loads_mb(view.name) for view in own}
        moves += plan_adapters(
            self._adapters, demand, own, reserved_mb, evicted, self._zone_share
        )
        return moves

    def _plan_pending_loads(self, engines, now_ms, budget, moves):
        started = 0
        for pair, pending in list(self._pending_loads.items()):
            view = engines.get(pending.engine)
            model = self._models.get(pending.name)
            expired = now_ms > pending.expires_ms or model is None
            if expired or view is None or pending.name in view.held or not view.usable:
                del self._pending_loads[pair]
            elif model.memory_mb > view.free_mb:
                self._plan_unloads(view, pending, moves)
            elif started < budget:
                self._plan_load(view, model, pending.reason, now_ms, moves)
                del self._pending_loads[pair]
                started += 1
        return started

    def _plan_missing(self, weights, engines, now_ms, budget, moves):
        """Load models that no usable engine holds, heaviest first."""
        held = {
            name
            for view in engines.values()
            if view.usable
            for name in view.staying
            if name in self._models
        }
        missing = sorted(self._models.keys() - held, key=lambda n: -weights[n])
        self._missing_since_ms = {
            name: self._missing_since_ms.get(name, now_ms) for name in missing
        }
        started = 0
        for name in missing:
            waited_ms = now_ms - self._missing_since_ms[name]
            if (
                self._home_zones.get(name) != self._zone
                and waited_ms < OTHER_ZONE_PRIORITY_MS
            ):
                continue
            if any(pending.name == name for pending in self._pending_loads.values()):
                continue
            if started >= budget:
                break
            started += self._place_model(name, weights, engines, now_ms, moves)
        return started

    def _place_model(self, name, weights, engines, now_ms, moves):
        """Load a model on the engine of this zone where evictions cost least.

        Returns
        -------
        int
            1 if the load was planned or waits for evictions, else 0.
        """
        model = self._models[name]
        best = None
        for view in self._local_engines(engines):
            victims = self._victims(view, model, weights, engines, now_ms)
            if victims is None:
                continue
            evicted_weight = sum(weights[victim] for victim in victims)
            load = sum(weights.get(n, 0.0) for n in view.staying)
            if best is None or (evicted_weight, load) < best[0]:
                best = ((evicted_weight, load), view, victims)
        if best is None:
            return 0
        self._plan_replacement(best[1], best[2], model, "not resident", now_ms, moves)
        return 1

    def _victims(self, view, model, weights, engines, now_ms):
        """Return the models to evict so that `model` fits, or None if it can't fit.

        Only models with another ready copy that the ledger accepts as a replacement
        are evicted, in order of increasing weight per copy.
        """
        if model.name in view.held or (view.name, model.name) in self._unloaded_ms:
            return None
        missing_mb = model.memory_mb - view.free_mb + self._pending_loads_mb(view.name)
        if missing_mb <= 0:
            return []
        copies = self._copies(engines)
        candidates = []
        for name in view.ready & view.staying & self._models.keys():
            age_ms = now_ms - self._loaded_ms.get((view.name, name), now_ms)
            if age_ms >= MIN_RESIDENCE_MS and self._has_other_copy(name, view, copies):
                candidates.append((weights[name] / len(copies[name]), name))
        victims = []
        for _, name in sorted(candidates):
            if missing_mb <= 0:
                break
            victims.append(name)
            missing_mb -= view.memory_mb[name]
        if missing_mb > 0:
            return None
        return victims

    def _plan_balance(self, current, weights, engines, now_ms, moves):
        """Add the copy of a loaded model that lowers the engines' squared loads most.

        If an engine of another zone gains more, that zone's holder gets
        `OTHER_ZONE_PRIORITY_MS` to load the copy there.
        """
        usable = [view for view in engines.values() if view.usable]
        utilization = max((v.running / v.max_running for v in usable), default=0.0)
        if utilization < BALANCE_MIN_UTILIZATION:
            self._deferring_since_ms = None
            return 0
        loads = EngineLoads(usable, current)
        best = None
        for name in loads.hottest_models():
            for view in loads.least_loaded_engines():
                if name in view.held:
                    continue
                if view.zone != self._zone:
                    gain = loads.gain(name, view, ())
                    victims = None
                else:
                    model = self._models[name]
                    victims = self._victims(view, model, weights, engines, now_ms)
                    if victims is None:
                        continue
                    gain = loads.gain(name, view, victims)
                if best is None or gain > best[0]:
                    if view.zone == self._zone or self._defers_to_other_zone(now_ms):
                        best = (gain, name, view, victims)
        if best is None or best[0] < MIN_GAIN_SHARE * loads.cost():
            self._deferring_since_ms = None
            return 0
        _, name, view, victims = best
        if view.zone != self._zone:
            if self._deferring_since_ms is None:
                self._deferring_since_ms = now_ms
            return 0
        self._deferring_since_ms = None
        self._plan_replacement(
            view, victims, self._models[name], "demand", now_ms, moves
        )
        return 1

    def _defers_to_other_zone(self, now_ms):
        since_ms = self._deferring_since_ms
        return since_ms is None or now_ms - since_ms < OTHER_ZONE_PRIORITY_MS

    def _plan_second_zone_copy(self, weights, engines, now_ms, moves):
        """Load a model that only one other zone holds into free memory of this zone."""
        if now_ms < self._next_second_zone_load_ms:
            return
        zones = {}
        for view in engines.values():
            if view.usable:
                for name in view.staying & self._models.keys():
                    zones.setdefault(name, set()).add(view.zone)
        single = [n for n, held in zones.items() if held and self._zone not in held]
        single = [n for n in single if len(zones[n]) == 1]
        for name in sorted(single, key=lambda n: -weights[n]):
            model = self._models[name]
            fitting = [
                view
                for view in self._local_engines(engines)
                if model.memory_mb <= view.free_mb - self._headroom_mb(view)
                and name not in view.held
                and (view.name, name) not in self._unloaded_ms
            ]
            if fitting:
                view = max(fitting, key=lambda view: view.free_mb)
                self._next_second_zone_load_ms = now_ms + SECOND_ZONE_LOAD_INTERVAL_MS
                self._plan_load(view, model, "second zone", now_ms, moves)
                return

    def _plan_headroom(self, weights, engines, now_ms, moves):
        """Unload a little used redundant copy where the headroom is too small."""
        copies = self._copies(engines)
        for view in self._local_engines(engines):
            if view.free_mb >= self._headroom_mb(view) or view.unloading:
                continue
            victims = [
                name
                for name in view.ready & view.staying & self._models.keys()
                if self._has_other_copy(name, view, copies)
                and now_ms - self._loaded_ms.get((view.name, name), now_ms)
                >= MIN_RESIDENCE_MS
                and weights[name] / len(copies[name]) < HEADROOM_VICTIM_MAX_WEIGHT
            ]
            if victims:
                victim = min(victims, key=lambda n: (weights[n] / len(copies[n]), n))
                pending = PendingLoad("", view.name, [victim], now_ms, "room")
                self._plan_unloads(view, pending, moves)
                return
