"""Results and duplicate detection shared by the states built from log streams."""

from collections import OrderedDict

# Number of record identifiers kept to detect records that were appended twice. A
# writer that gets no reply to an append retries within seconds, so few other records
# come between the two copies.
SEEN_IDS_LIMIT = 20_000


class Applied:
    """Result of a record that was applied to the state."""

    __slots__ = ("offset",)

    def __init__(self, offset):
        self.offset = offset

    def __repr__(self):
        return f"Applied({self.offset})"


class Rejected:
    """Result of a record that was rejected and did not change the state.

    Parameters
    ----------
    offset : int
    reason : str
        Why the record was rejected, for operators.
    """

    __slots__ = ("offset", "reason")

    def __init__(self, offset, reason):
        self.offset = offset
        self.reason = reason

    def __repr__(self):
        return f"Rejected({self.offset}, {self.reason!r})"


class SeenIds:
    """Identifiers of the latest records, oldest first.

    The number of identifiers is limited, not their age, so that all readers of a
    stream drop the same ones.
    """

    __slots__ = ("_ids", "_limit")

    def __init__(self, ids=(), limit=SEEN_IDS_LIMIT):
        self._ids = OrderedDict.fromkeys(ids)
        self._limit = limit

    def add(self, id):
        """Add `id`, dropping the oldest over the limit; return False if present."""
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
