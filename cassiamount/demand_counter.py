"""Counts the tokens that callers ask for, by model and adapter."""

from collections import Counter

# Names beyond this number are not counted; a configuration has far fewer.
NAMES_LIMIT = 10_000


class DemandCounter:
    """Tokens asked for on this VM since its start."""

    __slots__ = ("_token_counts",)

    def __init__(self):
        self._token_counts = Counter()

    def count(self, model, adapter, tokens):
        """Count a request for a model and perhaps an adapter."""
        for name in (model, adapter):
            if name and (
                name in self._token_counts or len(self._token_counts) < NAMES_LIMIT
            ):
                self._token_counts[name] += tokens

    def totals(self):
        """Return tokens by name."""
        return dict(self._token_counts)
