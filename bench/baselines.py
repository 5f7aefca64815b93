"""Simpler policies to compare with, behind the interfaces of the chosen ones."""

from collections import deque

from cassiamount.admission_results import Queued, Refused, full_refusal
from cassiamount.placement import PlacementPolicy
from cassiamount.placement_adapters import plan_adapters
from cassiamount.routing import Router, SelectedReplica


class _SimpleRouter(Router):
    """Sends to usable replicas whether they are busy or not."""

    __slots__ = ("_turn",)

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._turn = 0

    def _with_capacity(self, replicas, now_ms):
        return replicas

    def _lowest_wait(self, replicas, request_info, now_ms, rng):
        backend = self.pick(replicas, request_info, rng).backend
        return SelectedReplica(backend.name, backend.address, 0.0, 0)


def _reported(replica):
    report = replica.report
    return report.running + report.waiting if report else 0


class RandomRouter(_SimpleRouter):
    def pick(self, replicas, request_info, rng):
        return rng.choice(replicas)


class RoundRobinRouter(_SimpleRouter):
    def pick(self, replicas, request_info, rng):
        self._turn += 1
        return replicas[self._turn % len(replicas)]


class LeastLoadRouter(_SimpleRouter):
    def pick(self, replicas, request_info, rng):
        return min(replicas, key=_reported)


class TwoChoicesRouter(_SimpleRouter):
    def pick(self, replicas, request_info, rng):
        return min(rng.sample(replicas, min(2, len(replicas))), key=_reported)


class PrefixRouter(_SimpleRouter):
    def pick(self, replicas, request_info, rng):
        def cached(replica):
            return self.prefix_index.cached_tokens(
                replica.backend.name, request_info.prefix_hashes
            )

        return max(rng.sample(replicas, len(replicas)), key=cached)


class FifoQueue:
    """First come, first served; refuses only when full."""

    limit = 2_000

    def __init__(self):
        self._queued = deque()

    def __len__(self):
        return len(self._queued)

    def set_weights(self, weights):
        pass

    def settle(self, request_info, used_tokens):
        pass

    def offer(self, request_info, now_ms):
        if len(self._queued) >= self.limit:
            return Refused(full_refusal(1000.0))
        self._queued.append(request_info)
        return Queued(0.0)

    def requeue(self, request_info, now_ms):
        self._queued.appendleft(request_info)

    def take(self, now_ms, ready):
        blocked = set()
        for request_info in self._queued:
            route = request_info.adapter or request_info.model
            if route not in blocked:
                if ready(request_info):
                    self._queued.remove(request_info)
                    return request_info
                blocked.add(route)
        return None

    def expire(self, now_ms):
        late = [
            request_info
            for request_info in self._queued
            if request_info.deadline_ms <= now_ms
        ]
        for request_info in late:
            self._queued.remove(request_info)
        return late

    def waiting_by_route(self):
        counts = {}
        for request_info in self._queued:
            route = request_info.adapter or request_info.model
            counts[route] = counts.get(route, 0) + 1
        return counts


class LimitQueue(FifoQueue):
    """One concurrency limit for all: requests beyond it are refused."""

    # Slots of all engines divided by the VMs.
    in_progress_limit = 16

    def __init__(self):
        super().__init__()
        self._in_progress = set()

    def offer(self, request_info, now_ms):
        if len(self._in_progress) >= self.in_progress_limit:
            return Refused(full_refusal(1000.0))
        self._in_progress.add(request_info.request_id)
        return super().offer(request_info, now_ms)

    def settle(self, request_info, used_tokens):
        self._in_progress.discard(request_info.request_id)

    def expire(self, now_ms):
        late = super().expire(now_ms)
        for request_info in late:
            self._in_progress.discard(request_info.request_id)
        return late


class StaticPolicy(PlacementPolicy):
    """Keeps the initial placement; only what is missing is loaded again."""

    __slots__ = ("waiting", "last_used_ms")

    def _plan_balance(self, current, weights, engines, now_ms, moves):
        return 0

    def _plan_second_zone_copy(self, weights, engines, now_ms, moves):
        return 0


class LruPolicy(StaticPolicy):
    """Loads what requests wait for in place of what was used least recently."""

    __slots__ = ()

    def plan(self, demand, engines, now_ms):
        demand = {name: rate.sustained_tokens_per_s for name, rate in demand.items()}
        self._update_load_times(engines, now_ms)
        moves = []
        budget = self._load_budget(engines, now_ms)
        budget -= self._plan_pending_loads(engines, now_ms, budget, moves)
        waiting = sorted(self.waiting.items(), key=lambda item: -item[1])
        for name, count in waiting:
            if budget <= 0 or count < 1 or name not in self._models:
                continue
            if any(wanted.name == name for wanted in self._pending_loads.values()):
                continue
            budget -= self._load_for(name, engines, now_ms, moves)
        own = self._local_engines(engines)
        evicted = {
            (w.engine, n) for w in self._pending_loads.values() for n in w.victims
        }
        moves += plan_adapters(
            self._adapters, demand, own, {}, evicted, self._zone_share
        )
        return moves

    def _load_for(self, name, engines, now_ms, moves):
        model = self._models[name]
        copies = self._copies(engines)
        best = None
        for view in self._local_engines(engines):
            if name in view.held:
                continue
            missing_mb = (
                model.memory_mb - view.free_mb + self._pending_loads_mb(view.name)
            )
            victims = []
            resident = sorted(
                (n for n in view.ready & view.staying if n in self._models),
                key=lambda n, view=view: self.last_used_ms(view.name, n),
            )
            used_ms = 0.0
            for victim in resident:
                if missing_mb <= 0:
                    break
                if self._has_other_copy(victim, view, copies):
                    victims.append(victim)
                    used_ms = self.last_used_ms(view.name, victim)
                    missing_mb -= view.memory_mb[victim]
            if missing_mb <= 0 and (best is None or used_ms < best[0]):
                best = (used_ms, view, victims)
        if best is None:
            return 0
        self._plan_replacement(best[1], best[2], model, "waiting", now_ms, moves)
        return 1


ROUTERS = {
    "wait": Router,
    "random": RandomRouter,
    "round-robin": RoundRobinRouter,
    "least-load": LeastLoadRouter,
    "two-choices": TwoChoicesRouter,
    "prefix": PrefixRouter,
}
PLACEMENTS = {"demand": PlacementPolicy, "static": StaticPolicy, "lru": LruPolicy}
