"""Waiting requests of one team in one priority class of the admission queue."""

from bisect import bisect_left, insort
from collections import deque

# A request is late once it has waited for this fraction of the time from its arrival to
# its deadline. Newer requests are then served first: in an overload, serving the oldest
# first would make every request late.
LATE_WAIT_FRACTION = 0.05
# While the oldest request of a queue is late, one request in this many is still served
# in order of arrival.
OLDEST_FIRST_INTERVAL = 4


class QueueEntry:
    """A waiting request and its place in the order of arrival."""

    __slots__ = ("request_info", "sequence")

    def __init__(self, request_info, sequence):
        self.request_info = request_info
        self.sequence = sequence

    @property
    def route(self):
        """What the request waits for."""
        return self.request_info.route


class ArrivalOrder:
    """Entries of one route in order of arrival; the newest first once they are late."""

    __slots__ = ("_entries", "_removals")

    def __init__(self):
        self._entries = deque()
        self._removals = 0

    def __len__(self):
        return len(self._entries)

    @staticmethod
    def rank(entry):
        """Return a value by which entries of several routes are compared."""
        return entry.sequence

    def push(self, entry):
        """Add an entry."""
        self._entries.append(entry)

    def remove(self, entry):
        """Remove an entry."""
        if self._entries[0] is entry:
            self._entries.popleft()
        elif self._entries[-1] is entry:
            self._entries.pop()
        else:
            self._entries.remove(entry)
        self._removals += 1

    def next(self, now_ms):
        """Return the entry to serve next."""
        request_info = self._entries[0].request_info
        timeout_ms = request_info.deadline_ms - request_info.arrived_ms
        late = now_ms - request_info.arrived_ms > LATE_WAIT_FRACTION * timeout_ms
        if late and self._removals % OLDEST_FIRST_INTERVAL:
            return self._entries[-1]
        return self._entries[0]

    def last(self):
        """Return the entry that is displaced first."""
        return self._entries[-1]

    def count_before(self, request_info):
        """Return how many entries a new request would wait for."""
        return len(self._entries)


class DeadlineOrder:
    """Entries of one route in order of their deadlines."""

    __slots__ = ("_entries",)

    def __init__(self):
        # Pairs of rank and entry; ranks are unique.
        self._entries = []

    def __len__(self):
        return len(self._entries)

    @staticmethod
    def rank(entry):
        """Return a value by which entries of several routes are compared."""
        return entry.request_info.deadline_ms, entry.sequence

    def push(self, entry):
        """Add an entry."""
        insort(self._entries, (self.rank(entry), entry))

    def remove(self, entry):
        """Remove an entry."""
        del self._entries[bisect_left(self._entries, (self.rank(entry),))]

    def next(self, now_ms):
        """Return the entry to serve next."""
        return self._entries[0][1]

    def last(self):
        """Return the entry that is displaced first."""
        return self._entries[-1][1]

    def count_before(self, request_info):
        """Return how many entries a new request would wait for."""
        return bisect_left(self._entries, ((request_info.deadline_ms, float("inf")),))


class TeamQueue:
    """Waiting requests of one team in one priority class, with a queue for each route.

    Separate queues keep a route without a free replica from blocking other routes.

    Parameters
    ----------
    order : type
        `ArrivalOrder` or `DeadlineOrder`.
    """

    __slots__ = ("routes", "length", "_order")

    def __init__(self, order):
        self.routes = {}
        self.length = 0
        self._order = order

    def push(self, entry):
        """Add an entry."""
        queue = self.routes.get(entry.route)
        if queue is None:
            queue = self.routes[entry.route] = self._order()
        queue.push(entry)
        self.length += 1

    def remove(self, entry):
        """Remove an entry."""
        queue = self.routes[entry.route]
        queue.remove(entry)
        if not queue:
            del self.routes[entry.route]
        self.length -= 1

    def heads(self, now_ms):
        """Return the next entry of each route in the order of the team's requests."""
        return sorted(
            (queue.next(now_ms) for queue in self.routes.values()), key=self._order.rank
        )

    def last(self):
        """Return the entry that is displaced first."""
        return max(
            (queue.last() for queue in self.routes.values()), key=self._order.rank
        )

    def count_before(self, request_info):
        """Return how many entries of its route a new request would wait for."""
        queue = self.routes.get(request_info.route)
        return 0 if queue is None else queue.count_before(request_info)
