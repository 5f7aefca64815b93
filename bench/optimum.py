"""Bound for placement from all placements of small cases."""

import itertools
import random

from cassiamount.configuration import configuration_from_document
from cassiamount.demand import DemandRate
from cassiamount.placement import PlacementPolicy
from cassiamount.placement_load import EngineLoads
from cassiamount.placement_view import EngineView

ENGINES = 3
MODELS = 4
SLOTS = 2
MODEL_MB = 10
STEPS = 40
STEP_MS = 10_000.0


def bounds(seed):
    """Compare the policy's highest engine load with the best possible.

    Each of three engines holds two of four models. The best placement is found by
    trying all that keep every model; the policy starts from a fixed one and moves.

    Returns
    -------
    dict
        Ratio of the highest loads, and the policy's moves.
    """
    rng = random.Random(seed)
    shares = [rng.paretovariate(1.0) for _ in range(MODELS)]
    weights = {f"m{n}": share / sum(shares) for n, share in enumerate(shares)}
    best = min(
        highest(placement, weights)
        for placement in itertools.product(
            itertools.combinations(sorted(weights), SLOTS), repeat=ENGINES
        )
        if len(set().union(*placement)) == MODELS
    )
    start = [("m0", "m1"), ("m2", "m3"), ("m0", "m2")]
    placement, moves = follow_policy(start, weights)
    return {
        "highest_load_ratio_start": highest(start, weights) / best,
        "highest_load_ratio": highest(placement, weights) / best,
        "moves": moves,
    }


def highest(placement, weights):
    """Return the highest engine load of a placement."""
    return max(EngineLoads(views_of(placement), weights)._loads.values())


def views_of(placement):
    views = []
    for number, names in enumerate(placement):
        free_mb = (SLOTS - len(names)) * MODEL_MB
        view = EngineView(f"e{number}", "z", free_mb, SLOTS * MODEL_MB, 16, 16, True)
        for name in names:
            view.held[name] = "1"
            view.memory_mb[name] = MODEL_MB
            view.ready.add(name)
        views.append(view)
    return views


def follow_policy(placement, weights):
    """Apply the policy's moves at once, step by step."""
    policy = PlacementPolicy("z")
    configuration = configuration_from_document(
        {
            "zones": [{"name": "z", "weight": 1}],
            "models": [
                {"name": name, "version": "1", "memory_mb": MODEL_MB, "load_ms": 1}
                for name in weights
            ],
            "adapters": [],
            "backends": [
                {
                    "name": f"e{number}",
                    "zone": "z",
                    "address": f"127.0.0.1:{9000 + number}",
                    "kind": "engine",
                    "memory_mb": SLOTS * MODEL_MB,
                    "accelerators": 1,
                    "max_running": 16,
                    "checks_fence": True,
                }
                for number in range(ENGINES)
            ],
            "services": [],
            "policy": {"attainment_weight": 1.0, "fairness_weight": 1.0},
            "templates": [],
            "teams": [],
        }
    )
    policy.set_configuration(configuration, dict.fromkeys(weights, "z"))
    placement = [set(names) for names in placement]
    moves = 0
    for step in range(STEPS):
        views = {view.name: view for view in views_of(placement)}
        demand = {
            name: DemandRate(1_000.0 * w, 1_000.0 * w) for name, w in weights.items()
        }
        for move in policy.plan(demand, views, step * STEP_MS):
            held = placement[int(move.engine[1:])]
            if move.action == "load_model":
                held.add(move.name)
                moves += 1
            else:
                held.discard(move.name)
    return [tuple(sorted(names)) for names in placement], moves
