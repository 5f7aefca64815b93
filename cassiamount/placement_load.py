"""Predicts engine loads for a placement of models."""

# Iterations of the approximate distribution of each model's weight over its copies.
BALANCE_ROUNDS = 4
# Number of models and engines evaluated as candidates for a new copy.
MODELS_CONSIDERED = 4
ENGINES_CONSIDERED = 8


class EngineLoads:
    """Distribution of the models' weights over the engines that hold them.

    The router sends each request to the engine with the shortest wait. The prediction
    therefore distributes a model's weight over its copies so that engine loads even
    out.

    Parameters
    ----------
    views : list of EngineView
    weights : dict
        Model -> share of the total demand.
    """

    __slots__ = ("_views", "_weights", "_copies", "_shares", "_loads", "_cost")

    def __init__(self, views, weights):
        self._views = {view.name: view for view in views}
        self._weights = weights
        self._copies = {}
        for view in views:
            for name in view.staying:
                if name in weights:
                    self._copies.setdefault(name, []).append(view.name)
        self._shares = {}
        self._loads = self._balance(self._copies)
        self._cost = _sum_of_squares(self._loads)

    def cost(self):
        """Return the sum of the squared engine loads."""
        return self._cost

    def hottest_models(self):
        """Return the models for which a further copy is likely to help most.

        Ranked by weight per copy times the lowest load among the model's engines.
        """

        def score(name):
            engines = self._copies[name]
            lowest = min(self._loads[engine] for engine in engines)
            return self._weights[name] * lowest / len(engines)

        return sorted(self._copies, key=score, reverse=True)[:MODELS_CONSIDERED]

    def least_loaded_engines(self):
        """Return the views of the engines below the mean load, lowest load first."""
        mean = sum(self._loads.values()) / max(1, len(self._loads))
        names = [name for name, load in self._loads.items() if load < mean]
        names.sort(key=lambda name: (self._loads[name], name))
        return [self._views[name] for name in names[:ENGINES_CONSIDERED]]

    def gain(self, name, view, victims):
        """Return how much a new copy and its evictions lower the cost.

        Only the models that move are distributed again, on top of the unchanged loads
        of the others: a full distribution per candidate took 0.3 s with 600 engines.
        """
        loads = {}
        for moved in (name, *victims):
            for engine, part in self._shares.get(moved, {}).items():
                loads[engine] = loads.get(engine, self._loads[engine]) - part
        for victim in victims:
            engines = [e for e in self._copies[victim] if e != view.name]
            self._water_fill(engines, self._weights[victim], loads)
        engines = [*self._copies.get(name, ()), view.name]
        self._water_fill(engines, self._weights[name], loads)
        return sum(
            self._loads[engine] ** 2 - load * load for engine, load in loads.items()
        )

    def _water_fill(self, engines, weight, loads):
        """Add a weight to engines, filling up the least loaded ones to equal loads."""
        before = {engine: loads.get(engine, self._loads[engine]) for engine in engines}
        ordered = sorted(engines, key=before.get)
        total = weight
        for count, engine in enumerate(ordered, start=1):
            total += before[engine]
            level = total / count
            if count == len(ordered) or level <= before[ordered[count]]:
                break
        for engine in ordered[:count]:
            loads[engine] = max(level, before[engine])

    def _balance(self, copies):
        shares = {
            name: dict.fromkeys(engines, self._weights[name] / len(engines))
            for name, engines in copies.items()
            if engines
        }
        loads = self._loads_from_shares(shares)
        for _ in range(BALANCE_ROUNDS):
            for name, share in shares.items():
                if len(share) == 1:
                    continue
                inverse = {e: part / (loads[e] + 1e-9) for e, part in share.items()}
                scale = self._weights[name] / (sum(inverse.values()) or 1.0)
                shares[name] = {e: part * scale for e, part in inverse.items()}
            loads = self._loads_from_shares(shares)
        self._shares = shares
        return loads

    def _loads_from_shares(self, shares):
        loads = dict.fromkeys(self._views, 0.0)
        for share in shares.values():
            for engine, part in share.items():
                loads[engine] += part
        return loads


def _sum_of_squares(loads):
    return sum(load * load for load in loads.values())
