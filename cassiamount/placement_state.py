"""State of the placement policy, and its basic load and unload operations."""

from .engine_orders import LOAD_MODEL, UNLOAD_ADAPTER, UNLOAD_MODEL
from .placement_view import Move

# Limits of the weight store over all zones, used until its own limits are read.
DEFAULT_LOADS_PER_S = 2.0
DEFAULT_CONCURRENT_LOADS = 8
# Minimum time between the load and the unload of a model on an engine, and between
# its unload and the next load there. Prevents models from being swapped back and forth.
MIN_RESIDENCE_MS = 30_000.0
# Time for which a load waits for the memory that its evictions free.
PENDING_LOAD_TIMEOUT_MS = 45_000.0
# Share of an engine's memory that is kept free, so that a model with rising demand can
# be loaded without draining another one first.
HEADROOM_SHARE = 0.2


class PendingLoad:
    """A model load that waits until its evictions have freed the memory."""

    __slots__ = ("name", "engine", "victims", "expires_ms", "reason")

    def __init__(self, name, engine, victims, expires_ms, reason):
        self.name = name
        self.engine = engine
        self.victims = victims
        self.expires_ms = expires_ms
        self.reason = reason


class PlacementState:
    """Configuration, pending loads, and times of recent loads and unloads.

    Parameters
    ----------
    zone : str
    """

    __slots__ = (
        "_zone",
        "_models",
        "_adapters",
        "_home_zones",
        "_zone_share",
        "_weight_exponent",
        "_rate_caps",
        "_pending_loads",
        "_seen_engines",
        "_loaded_ms",
        "_unloaded_ms",
        "_next_load_ms",
        "_loads_per_s",
        "_concurrent_loads",
        "_next_second_zone_load_ms",
        "_missing_since_ms",
        "_deferring_since_ms",
    )

    def __init__(self, zone):
        self._zone = zone
        self._models = {}
        self._adapters = {}
        self._home_zones = {}
        self._zone_share = 1.0
        self._weight_exponent = 1.0
        self._rate_caps = {}
        # (engine, model) -> PendingLoad
        self._pending_loads = {}
        self._seen_engines = set()
        self._loaded_ms = {}
        self._unloaded_ms = {}
        self._next_load_ms = 0.0
        self._loads_per_s = DEFAULT_LOADS_PER_S
        self._concurrent_loads = DEFAULT_CONCURRENT_LOADS
        self._next_second_zone_load_ms = 0.0
        self._missing_since_ms = {}
        self._deferring_since_ms = None

    def set_configuration(self, configuration, home_zones):
        """Apply the models, adapters, zones, teams and policy weights."""
        self._models = dict(configuration.models)
        self._adapters = dict(configuration.adapters)
        self._home_zones = dict(home_zones)
        zones = configuration.zones
        total = sum(zone.weight for zone in zones.values())
        own = zones[self._zone].weight if self._zone in zones else 0
        self._zone_share = own / total if total else 1.0
        policy = configuration.policy
        weights = policy.attainment_weight + policy.fairness_weight
        # An exponent of 1 weights models by their demand, one towards 0 weights all
        # models equally. Equal policy weights give 1, because weights with a smaller
        # exponent predict the engine loads badly.
        share = policy.attainment_weight / weights if weights else 0.5
        self._weight_exponent = min(1.0, max(0.25, 2 * share))
        self._rate_caps = {name: 0.0 for name in self._models}
        for team in configuration.teams.values():
            for name in team.models:
                if name in self._rate_caps:
                    self._rate_caps[name] += team.rate_tokens_per_s

    def set_limits(self, loads_per_s, concurrent_loads):
        """Set the weight store's limits; each zone uses its share by zone weight."""
        self._loads_per_s = loads_per_s
        self._concurrent_loads = concurrent_loads

    def _weights(self, demand):
        """Return each model's share of the total weight.

        Demand is capped at the sum of the rates of the teams that may use the model,
        and then raised to `_weight_exponent`.
        """
        totals = {name: demand.get(name, 0.0) for name in self._models}
        weights = {}
        for name, rate in totals.items():
            capped = min(rate, self._rate_caps.get(name) or rate)
            weights[name] = max(capped, 0.01) ** self._weight_exponent
        total = sum(weights.values()) or 1.0
        return {name: weight / total for name, weight in weights.items()}

    def _update_load_times(self, engines, now_ms):
        for view in engines.values():
            # What an engine held in its first report was loaded before, so it may be
            # unloaded at once.
            since_ms = (
                now_ms if view.name in self._seen_engines else now_ms - MIN_RESIDENCE_MS
            )
            if view.usable:
                self._seen_engines.add(view.name)
            for name in view.held:
                self._loaded_ms.setdefault((view.name, name), since_ms)
        for pair in list(self._loaded_ms):
            view = engines.get(pair[0])
            if view is None or pair[1] not in view.held:
                del self._loaded_ms[pair]
                self._unloaded_ms[pair] = now_ms
        for pair, since_ms in list(self._unloaded_ms.items()):
            if now_ms - since_ms > MIN_RESIDENCE_MS:
                del self._unloaded_ms[pair]

    def _load_budget(self, engines, now_ms):
        """Return how many model loads may start now: 0 or 1."""
        if now_ms < self._next_load_ms:
            return 0
        loading = sum(
            1
            for view in self._local_engines(engines)
            for name in view.held.keys() - view.ready
            if name in self._models and name not in view.unloading
        )
        concurrent = max(1, int(self._concurrent_loads * self._zone_share))
        return 1 if loading < concurrent else 0

    def _local_engines(self, engines):
        return [v for v in engines.values() if v.zone == self._zone and v.usable]

    def _copies(self, engines):
        """Return name -> engines with a ready copy that is not being unloaded."""
        copies = {}
        for view in engines.values():
            if view.usable:
                for name in view.ready & view.staying:
                    copies.setdefault(name, []).append(view)
        return copies

    def _has_other_copy(self, name, view, copies):
        zones = {self._zone, self._home_zones.get(name, self._zone)}
        return any(
            other is not view and other.zone in zones for other in copies.get(name, ())
        )

    def _pending_loads_mb(self, engine):
        return sum(
            self._models[pending.name].memory_mb
            for pending in self._pending_loads.values()
            if pending.engine == engine and pending.name in self._models
        )

    def _headroom_mb(self, view):
        """Return the memory to keep free: at most the size of the largest model."""
        largest_mb = max((m.memory_mb for m in self._models.values()), default=0)
        return min(largest_mb, view.capacity_mb * HEADROOM_SHARE)

    def _plan_replacement(self, view, victims, model, reason, now_ms, moves):
        if not victims:
            self._plan_load(view, model, reason, now_ms, moves)
            return
        pending = PendingLoad(
            model.name, view.name, victims, now_ms + PENDING_LOAD_TIMEOUT_MS, reason
        )
        self._pending_loads[(view.name, model.name)] = pending
        self._plan_unloads(view, pending, moves)

    def _plan_unloads(self, view, pending, moves):
        for name in pending.victims:
            if name not in view.staying:
                continue
            adapters = [
                held
                for held in view.staying
                if held in self._adapters and self._adapters[held].base == name
            ]
            for held in [*adapters, name]:
                action = UNLOAD_MODEL if held == name else UNLOAD_ADAPTER
                memory_mb = view.memory_mb.get(held, 0)
                moves.append(
                    Move(
                        view.name,
                        action,
                        held,
                        view.held[held],
                        memory_mb,
                        reason=pending.reason,
                    )
                )

    def _plan_load(self, view, model, reason, now_ms, moves):
        per_s = self._loads_per_s * max(self._zone_share, 0.01)
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
