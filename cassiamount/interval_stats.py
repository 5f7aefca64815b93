"""Counts and durations since the last periodic log line."""


class IntervalStats:
    """Collects what one VM did since the last call of `take`."""

    __slots__ = ("_counts", "_durations")

    def __init__(self):
        self._counts = {}
        # Name -> [number, sum in ms, maximum in ms].
        self._durations = {}

    def count(self, name, amount=1):
        """Add to a count."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def observe_ms(self, name, value_ms):
        """Record a duration."""
        known = self._durations.get(name)
        if known is None:
            self._durations[name] = [1, value_ms, value_ms]
            return
        known[0] += 1
        known[1] += value_ms
        known[2] = max(known[2], value_ms)

    def take(self):
        """Return the fields of a log line and start a new interval.

        Returns
        -------
        dict of str to int or float
            Each count under its name; each duration as ``NAME_mean_ms`` and
            ``NAME_max_ms``.
        """
        fields = dict(self._counts)
        for name, (number, total_ms, longest_ms) in self._durations.items():
            fields[f"{name}_mean_ms"] = round(total_ms / number, 1)
            fields[f"{name}_max_ms"] = round(longest_ms, 1)
        self._counts.clear()
        self._durations.clear()
        return fields
