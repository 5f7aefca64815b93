"""Parts that the folds over log streams have in common."""

from collections import OrderedDict

# Identifiers remembered for the detection of records that were appended twice. A
# writer settles a lost answer within seconds, so a repeat follows closely.
SEEN_IDS_LIMIT = 20_000


class Applied:
    """A record took effect."""

    __slots__ = ("offset",)

    def __init__(self, offset):
        self.offset = offset

    def __repr__(self):
        return f"Applied({self.offset})"


class Rejected:
    """A record was a no-op.

    Parameters
    ----------
    offset : int
    reason : str
    """

    __slots__ = ("offset", "reason")

    def __init__(self, offset, reason):
        self.offset = offset
        self.reason = reason

    def __repr__(self):
        return f"Rejected({self.offset}, {self.reason!r})"


class SeenIds:
    """The identifiers of the records applied last, in log order.

    The window counts records, not time, so every reader forgets the same ones.
    """

    __slots__ = ("_ids", "_limit")

    def __init__(self, ids=(), limit=SEEN_IDS_LIMIT):
        self._ids = OrderedDict.fromkeys(ids)
        self._limit = limit

    def add(self, id):
        """Remember `id`; return False if it was known already."""
        if id in self._ids:
            return False
        self._ids[id] = None
        if len(self._ids) > self._limit:
            self._ids.popitem(last=False)
        return True

    def __contains__(self, id):
        return id in self._ids

    def __iter__(self):
        return iter(self._ids)
