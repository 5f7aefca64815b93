"""Which models and adapters should be resident where."""

from .engine_orders import LOAD_MODEL, UNLOAD_ADAPTER, UNLOAD_MODEL
from .placement_adapters import plan_adapters
from .placement_load import EngineLoads
from .placement_view import Move

# Limits of the weight store over all zones.
FLEET_LOADS_PER_S = 2.0
FLEET_CONCURRENT_LOADS = 8
# Engines running fewer requests than this share of their limit need no help.
PRESSURE_SHARE = 0.6
# A move has to lower the sum of squared engine loads by this share. Smaller gains do
# not repay the load of the weights and the prefixes that the evicted copy cached.
GAIN_SHARE = 0.015
# No copy is unloaded sooner than this after its load, and no model is moved again on
# an engine that gave it up recently.
STAY_MS = 30_000.0
# A wanted load waits this long for the memory that its unloads free.
WANTED_MS = 45_000.0
# The holder of another zone has this long to make the better move.
YIELD_MS = 10_000.0
# Interval between second-zone copies, which are the least urgent loads.
SPARE_MS = 2_000.0


class _Wanted:
    """A load that waits for the memory of what it replaces."""

    __slots__ = ("name", "engine", "victims", "until_ms", "reason")

    def __init__(self, name, engine, victims, until_ms, reason):
        self.name = name
        self.engine = engine
        self.victims = victims
        self.until_ms = until_ms
        self.reason = reason


class PlacementPolicy:
    """Plans the moves of one zone's engines, seeing the engines of all zones.

    Parameters
    ----------
    zone : str
    """

    __slots__ = (
        "_zone",
        "_models",
        "_adapters",
        "_homes",
        "_zone_share",
        "_exponent",
        "_caps",
        "_wanted",
        "_seen",
        "_loaded_ms",
        "_unloaded_ms",
        "_next_load_ms",
        "_next_spare_ms",
        "_missing_since_ms",
        "_yield_since_ms",
    )

    def __init__(self, zone):
        self._zone = zone
        self._models = {}
        self._adapters = {}
        self._homes = {}
        self._zone_share = 1.0
        self._exponent = 1.0
        self._caps = {}
        # (engine, name) -> _Wanted
        self._wanted = {}
        self._seen = set()
        self._loaded_ms = {}
        self._unloaded_ms = {}
        self._next_load_ms = 0.0
        self._next_spare_ms = 0.0
        self._missing_since_ms = {}
        self._yield_since_ms = None

    def set_configuration(self, configuration, homes):
        """Take models, adapters and the operators' weights."""
        self._models = dict(configuration.models)
        self._adapters = dict(configuration.adapters)
        self._homes = dict(homes)
        zones = configuration.zones
        total = sum(zone.weight for zone in zones.values())
        own = zones[self._zone].weight if self._zone in zones else 0
        self._zone_share = own / total if total else 1.0
        policy = configuration.policy
        weights = policy.attainment_weight + policy.fairness_weight
        # 1 places by demand alone; towards 0 every model counts alike. Equal weights
        # give 1: a damped demand predicts the engines' load badly.
        share = policy.attainment_weight / weights if weights else 0.5
        self._exponent = min(1.0, max(0.25, 2 * share))
        self._caps = {name: 0.0 for name in self._models}
        for team in configuration.teams.values():
            for name in team.models:
                if name in self._caps:
                    self._caps[name] += team.rate_tokens_per_s

    def plan(self, demand, engines, now_ms):
        """Return the moves to order now, most valuable first.

        Parameters
        ----------
        demand : dict
            Model or adapter -> Rate.
        engines : dict
            Name -> EngineView, of all zones.
        now_ms : float

        Returns
        -------
        list of Move
        """
        self._note_loads(engines, now_ms)
        current = self._weights(
            {name: rate.current_tokens_per_s for name, rate in demand.items()}
        )
        demand = {name: rate.kept_tokens_per_s for name, rate in demand.items()}
        weights = self._weights(demand)
        moves = []
        budget = self._load_budget(engines, now_ms)
        budget -= self._plan_wanted(engines, now_ms, budget, moves)
        budget -= self._plan_missing(weights, engines, now_ms, budget, moves)
        if budget > 0 and not moves and not self._wanted:
            budget -= self._plan_balance(current, weights, engines, now_ms, moves)
        if budget > 0 and not moves and not self._wanted:
            self._plan_spare(weights, engines, now_ms, moves)
        evicted = {
            (wanted.engine, name)
            for wanted in self._wanted.values()
            for name in wanted.victims
        }
        own = self._own(engines)
        reserved_mb = {view.name: self._wanted_mb(view.name) for view in own}
        moves += plan_adapters(
            self._adapters, demand, own, reserved_mb, evicted, self._zone_share
        )
        return moves

    def _weights(self, demand):
        """Return each model's weight: its demand within the teams' rates, damped."""
        totals = {name: demand.get(name, 0.0) for name in self._models}
        weights = {}
        for name, rate in totals.items():
            capped = min(rate, self._caps.get(name) or rate)
            weights[name] = max(capped, 0.01) ** self._exponent
        total = sum(weights.values()) or 1.0
        return {name: weight / total for name, weight in weights.items()}

    def _note_loads(self, engines, now_ms):
        for view in engines.values():
            # What an engine held when it was first seen was loaded before.
            since_ms = now_ms if view.name in self._seen else now_ms - STAY_MS
            if view.usable:
                self._seen.add(view.name)
            for name in view.held:
                self._loaded_ms.setdefault((view.name, name), since_ms)
        for pair in list(self._loaded_ms):
            view = engines.get(pair[0])
            if view is None or pair[1] not in view.held:
                del self._loaded_ms[pair]
                self._unloaded_ms[pair] = now_ms
        for pair, since_ms in list(self._unloaded_ms.items()):
            if now_ms - since_ms > STAY_MS:
                del self._unloaded_ms[pair]

    def _load_budget(self, engines, now_ms):
        """Return how many model loads may start now."""
        if now_ms < self._next_load_ms:
            return 0
        loading = sum(
            1
            for view in self._own(engines)
            for name in view.held.keys() - view.ready
            if name in self._models and name not in view.leaving_names
        )
        concurrent = max(1, int(FLEET_CONCURRENT_LOADS * self._zone_share))
        return 1 if loading < concurrent else 0

    def _own(self, engines):
        return [v for v in engines.values() if v.zone == self._zone and v.usable]

    def _plan_wanted(self, engines, now_ms, budget, moves):
        started = 0
        for pair, wanted in list(self._wanted.items()):
            view = engines.get(wanted.engine)
            model = self._models.get(wanted.name)
            expired = now_ms > wanted.until_ms or model is None
            if expired or view is None or wanted.name in view.held or not view.usable:
                del self._wanted[pair]
            elif model.memory_mb > view.free_mb:
                self._unload_victims(view, wanted, moves)
            elif started < budget:
                self._load(view, model, wanted.reason, now_ms, moves)
                del self._wanted[pair]
                started += 1
        return started

    def _plan_missing(self, weights, engines, now_ms, budget, moves):
        """Load models that no usable engine holds."""
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
            if self._homes.get(name) != self._zone and waited_ms < YIELD_MS:
                continue
            if any(wanted.name == name for wanted in self._wanted.values()):
                continue
            if started >= budget:
                break
            started += self._place(name, weights, engines, now_ms, moves)
        return started

    def _place(self, name, weights, engines, now_ms, moves):
        """Load a model on the own engine where that costs least."""
        model = self._models[name]
        best = None
        for view in self._own(engines):
            victims = self._victims(view, model, weights, engines, now_ms)
            if victims is None:
                continue
            harm = sum(weights[victim] for victim in victims)
            load = sum(weights.get(n, 0.0) for n in view.staying)
            if best is None or (harm, load) < best[0]:
                best = ((harm, load), view, victims)
        if best is None:
            return 0
        self._replace(best[1], best[2], model, "not resident", now_ms, moves)
        return 1

    def _victims(self, view, model, weights, engines, now_ms):
        """Return what to unload so that `model` fits, or None if that is not possible.

        Only models with a ready copy elsewhere that the ledger accepts are taken,
        those with the least weight for each copy first.
        """
        if model.name in view.held or (view.name, model.name) in self._unloaded_ms:
            return None
        missing_mb = model.memory_mb - view.free_mb + self._wanted_mb(view.name)
        if missing_mb <= 0:
            return []
        copies = self._copies(engines)
        candidates = []
        for name in view.ready & view.staying & self._models.keys():
            age_ms = now_ms - self._loaded_ms.get((view.name, name), now_ms)
            if age_ms >= STAY_MS and self._spare_copy(name, view, copies):
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

    def _spare_copy(self, name, view, copies):
        zones = {self._zone, self._homes.get(name, self._zone)}
        return any(
            other is not view and other.zone in zones for other in copies.get(name, ())
        )

    def _copies(self, engines):
        """Return model -> views with a ready copy that stays."""
        copies = {}
        for view in engines.values():
            if view.usable:
                for name in view.ready & view.staying:
                    copies.setdefault(name, []).append(view)
        return copies

    def _wanted_mb(self, engine):
        return sum(
            self._models[wanted.name].memory_mb
            for wanted in self._wanted.values()
            if wanted.engine == engine and wanted.name in self._models
        )

    def _plan_balance(self, current, weights, engines, now_ms, moves):
        """Add a copy of a model whose engines are under pressure."""
        usable = [view for view in engines.values() if view.usable]
        pressure = max((v.running / v.max_running for v in usable), default=0.0)
        if pressure < PRESSURE_SHARE:
            self._yield_since_ms = None
            return 0
        loads = EngineLoads(usable, current)
        best = None
        for name in loads.hottest_models():
            for view in loads.coolest_engines():
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
                    if view.zone == self._zone or self._yields(now_ms):
                        best = (gain, name, view, victims)
        if best is None or best[0] < GAIN_SHARE * loads.cost():
            self._yield_since_ms = None
            return 0
        _, name, view, victims = best
        if view.zone != self._zone:
            if self._yield_since_ms is None:
                self._yield_since_ms = now_ms
            return 0
        self._yield_since_ms = None
        self._replace(view, victims, self._models[name], "demand", now_ms, moves)
        return 1

    def _yields(self, now_ms):
        since_ms = self._yield_since_ms
        return since_ms is None or now_ms - since_ms < YIELD_MS

    def _plan_spare(self, weights, engines, now_ms, moves):
        """Use free memory for a copy in a second zone."""
        if now_ms < self._next_spare_ms:
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
                for view in self._own(engines)
                if model.memory_mb <= view.free_mb - self._wanted_mb(view.name)
                and name not in view.held
                and (view.name, name) not in self._unloaded_ms
            ]
            if fitting:
                view = max(fitting, key=lambda view: view.free_mb)
                self._next_spare_ms = now_ms + SPARE_MS
                self._load(view, model, "second zone", now_ms, moves)
                return

    def _replace(self, view, victims, model, reason, now_ms, moves):
        if not victims:
            self._load(view, model, reason, now_ms, moves)
            return
        wanted = _Wanted(model.name, view.name, victims, now_ms + WANTED_MS, reason)
        self._wanted[(view.name, model.name)] = wanted
        self._unload_victims(view, wanted, moves)

    def _unload_victims(self, view, wanted, moves):
        for name in wanted.victims:
            if name not in view.staying:
                continue
            adapters = [
                held
                for held in view.staying
                if held in self._adapters and self._adapters[held].base == name
            ]
            for held in adapters or [name]:
                action = UNLOAD_ADAPTER if adapters else UNLOAD_MODEL
                memory_mb = view.memory_mb.get(held, 0)
                moves.append(
                    Move(
                        view.name,
                        action,
                        held,
                        view.held[held],
                        memory_mb,
                        reason=wanted.reason,
                    )
                )

    def _load(self, view, model, reason, now_ms, moves):
        per_s = FLEET_LOADS_PER_S * max(self._zone_share, 0.01)
        self._next_load_ms = now_ms + 1000 / per_s
        view.free_mb -= model.memory_mb
        view.held[model.name] = model.version
        moves.append(
            Move(
                view.name,
                LOAD_MODEL,
                model.name,
                model.version,
                model.memory_mb,
                reason=reason,
            )
        )
