"""Counts the tokens that callers request, by model and adapter."""

from collections import Counter

# Bounds the memory for counters. A configuration has far fewer names.
NAMES_LIMIT = 10_000


class DemandCounter:
    """Tokens requested from this VM since it started."""

    __slots__ = ("_token_counts",)

    def __init__(self):
        self._token_counts = Counter()

    def count(self, model, adapter, tokens):
        """Add a request's tokens to its model and, if it names one, its adapter."""
        for name in (model, adapter):
            if name and (
                name in self._token_counts or len(self._token_counts) < NAMES_LIMIT
            ):
                self._token_counts[name] += tokens

    def totals(self):
        """Return the tokens requested so far, by model and adapter name."""
        return dict(self._token_counts)
