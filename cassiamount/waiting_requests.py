"""Order in which the requests that wait on one VM of a fleet get a backend server."""

import math
from bisect import bisect_left, insort
from itertools import count

from .admission import AdmissionQueue
from .admission_teams import DeadlineOrder
from .relayed_request import LOWEST_PRIORITY, Refused
from .replica_selection import (
    BUSY,
    PLACEMENT_DECISION_MS,
    NoReplicaReady,
    SelectedReplica,
)

PRIORITIES = tuple(range(LOWEST_PRIORITY + 1))
# Fraction of the tokens served that is credited to each waiting class of lower
# priority. Nine classes together get less than the 5 in 100 by which urgent requests
# may be served less often than others.
LOWER_CLASS_RESERVE = 0.005
# A wait is estimated again after this time if nothing has changed.
RECHECK_MS = 400.0
# The same for a full server: other VMs' requests there end without a notice. Reports
# come each 100 ms in a small fleet.
BUSY_RECHECK_MS = 50.0
# Shortest time between two estimates, so that an estimate of 0 makes no busy loop.
MIN_RECHECK_MS = 5.0
# Reason of a request that waits only because others are ahead of it.
IN_ORDER = "order"


class WaitingRequest:
    """A request as the queue of one VM sees it.

    Parameters
    ----------
    request : RelayedRequest
    route : hashable
        Requests with the same one share the outcome of a selection.
    is_own : bool
        Whether no other request can have the same `route`.
    unknown_limit_ms : float
        How long it waits while it is unknown when a replica will be ready.
    now_ms : float
    """

    __slots__ = (
        "request",
        "request_id",
        "team",
        "priority",
        "route",
        "is_own",
        "arrived_ms",
        "deadline_ms",
        "cost_tokens",
        "unknown_limit_ms",
        "since_ms",
    )

    # Callers choose the ids of their requests, which may therefore occur twice.
    _numbers = count()

    def __init__(self, request, route, is_own, unknown_limit_ms, now_ms):
        self.request = request
        self.request_id = next(self._numbers)
        self.team = "" if request.team is None else request.team.name
        self.priority = request.selection_priority
        self.route = (route, self.request_id) if is_own else route
        self.is_own = is_own
        self.arrived_ms = request.inbound.arrived_ms
        self.deadline_ms = request.latest_start_ms
        self.cost_tokens = max(1, request.metadata.tokens or 1)
        self.unknown_limit_ms = unknown_limit_ms
        self.since_ms = now_ms


class _Group:
    """Waiting requests of one priority that share the outcome of a selection."""

    __slots__ = ("by_start", "by_limit", "found", "unknown_since_ms", "due_ms")

    def __init__(self):
        # (latest start, id, request), sorted.
        self.by_start = []
        # Limit of unknown waits -> id -> request, in the order in which they came.
        self.by_limit = {}
        self.found = None
        self.unknown_since_ms = None
        self.due_ms = math.inf

    def add(self, waiting):
        key = (waiting.deadline_ms, waiting.request_id, waiting)
        insort(self.by_start, key)
        same = self.by_limit.setdefault(waiting.unknown_limit_ms, {})
        same[waiting.request_id] = waiting

    def remove(self, waiting):
        key = (waiting.deadline_ms, waiting.request_id)
        del self.by_start[bisect_left(self.by_start, key)]
        same = self.by_limit[waiting.unknown_limit_ms]
        del same[waiting.request_id]
        if not same:
            del self.by_limit[waiting.unknown_limit_ms]

    def note(self, found, now_ms):
        """Record the outcome of a selection, and when to select again."""
        self.found = found
        if found.reason == BUSY:
            pause_ms = min(BUSY_RECHECK_MS, found.wait_ms or BUSY_RECHECK_MS)
        elif found.reason == IN_ORDER:
            pause_ms = 0.0
        elif found.wait_ms is None:
            pause_ms = PLACEMENT_DECISION_MS
        elif found.limited is not None:
            pause_ms = min(RECHECK_MS, found.wait_ms)
        else:
            pause_ms = RECHECK_MS
        self.due_ms = now_ms + max(MIN_RECHECK_MS, pause_ms)
        if self.by_start and not self.waits_unknown:
            latest_ms = max(now_ms, self.by_start[0][0])
            self.due_ms = min(self.due_ms, latest_ms + MIN_RECHECK_MS)
        if not self.waits_unknown:
            self.unknown_since_ms = None
        elif self.unknown_since_ms is None:
            self.unknown_since_ms = now_ms

    @property
    def waits_unknown(self):
        """Whether it is unknown when a replica will be ready."""
        return self.found.reason != BUSY and self.found.wait_ms is None

    def unknown_since_of(self, waiting):
        """Return since when a request has waited without an estimate, or None."""
        if self.unknown_since_ms is None:
            return None
        return max(self.unknown_since_ms, waiting.since_ms)

    def next_to_refuse(self):
        """Return those requests of which one is refused first if any is."""
        if self.waits_unknown:
            return [next(iter(same.values())) for same in self.by_limit.values()]
        return [self.by_start[0][2]] if self.by_start else []


class WaitingRequests:
    """Requests that wait on one VM for a backend server, and who gets the next one.

    A pass asks for one selection for each distinct route that has no replica, and for
    one for each request that gets one. Requests of a more urgent class are asked for
    separately, but only if the replicas of a route are merely busy.

    Parameters
    ----------
    queue : AdmissionQueue, optional
        The order; tests compare others.
    """

    __slots__ = ("_queue", "_groups", "_members")

    def __init__(self, queue=None):
        if queue is None:
            # Bodies have a bound in memory of their own, so no request is displaced.
            queue = AdmissionQueue(
                math.inf, LOWER_CLASS_RESERVE, PRIORITIES, DeadlineOrder, True
            )
        self._queue = queue
        # (route, priority) -> _Group.
        self._groups = {}
        # Id -> WaitingRequest.
        self._members = {}

    def __len__(self):
        return len(self._members)

    def __iter__(self):
        return iter(list(self._members.values()))

    def set_teams(self, names):
        """Forget what teams got that are gone."""
        self._queue.set_weights(dict.fromkeys(names, 1.0))

    def is_behind_others(self, waiting):
        """Return whether a request must wait for others, though a replica is ready."""
        return self._queue.is_waiting_before(waiting)

    def has_busy(self):
        """Return whether a request waits only for room at a server."""
        return any(g.found.reason == BUSY for g in self._groups.values())

    def estimate_ms(self, waiting):
        """Return the estimated wait of a request behind those that wait already."""
        return self._queue.estimate_ms(waiting)

    def record_served(self, waiting):
        """Count the tokens of a request that was sent at once."""
        self._queue.record_served(waiting)
        # Nothing is known later about the tokens that were really used.
        self._queue.settle(waiting, waiting.cost_tokens)

    def refund(self, waiting):
        """Stop counting a request that got a server, but did not run there."""
        self._queue.refund(waiting)

    def add(self, waiting, found, now_ms):
        """Let a request wait.

        Parameters
        ----------
        waiting : WaitingRequest
        found : NoReplicaReady
            Outcome of the selection for it.
        now_ms : float
        """
        key = (waiting.route, waiting.priority)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group()
        group.add(waiting)
        due_ms = group.due_ms
        group.note(found, now_ms)
        group.due_ms = min(due_ms, group.due_ms)
        self._members[waiting.request_id] = waiting
        self._queue.push(waiting, now_ms)

    def remove(self, waiting):
        """Remove a request if it still waits."""
        if self._queue.remove(waiting.request_id) is not None:
            self._leave(waiting)

    def set_due(self, now_ms, only_busy=False):
        """Let the next pass select for all routes, or for those that lack room."""
        for group in self._groups.values():
            if not only_busy or group.found.reason == BUSY:
                group.due_ms = min(group.due_ms, now_ms)

    def set_route_due(self, route, now_ms):
        """Let the next pass select for a route."""
        for priority in PRIORITIES:
            group = self._groups.get((route, priority))
            if group is not None:
                group.due_ms = min(group.due_ms, now_ms)

    def next_pass_ms(self):
        """Return the time of the next pass; infinite if nothing waits."""
        return min((group.due_ms for group in self._groups.values()), default=math.inf)

    def dispatch(self, now_ms, select, check, reserve, deliver):
        """Run one pass over the routes that are due.

        Parameters
        ----------
        now_ms : float
        select : callable
            Takes a WaitingRequest; returns a `SelectedReplica`, which then counts as
            taken, or a `NoReplicaReady`, or an exception that ends the request.
        check : callable
            Takes a WaitingRequest, the `NoReplicaReady`, and since when its wait has
            been unknown or None; returns a `Refused` or None.
        reserve : callable
            Takes a WaitingRequest and a `NoReplicaReady` with a limited replica;
            reserves its turn there and returns the WaitingRequest that goes on.
        deliver : callable
            Takes a WaitingRequest that waits no longer, and what it got.
        """
        due = {key[0] for key, group in self._groups.items() if group.due_ms <= now_ms}
        # (route, priority) that get no replica in this pass -> why.
        missing = {}
        chosen = {}
        failed = []

        def ready(waiting):
            route, priority = waiting.route, waiting.priority
            if route not in due or (route, priority) in missing:
                return False
            outcome = select(waiting)
            if isinstance(outcome, SelectedReplica):
                chosen[waiting.request_id] = outcome
                return True
            if isinstance(outcome, Exception) and not isinstance(outcome, Refused):
                failed.append((waiting, outcome))
            is_busy = isinstance(outcome, NoReplicaReady) and outcome.reason == BUSY
            for other in PRIORITIES[priority if is_busy else 0 :]:
                missing.setdefault((route, other), outcome)
            return False

        while (waiting := self._queue.take(now_ms, ready)) is not None:
            self._queue.settle(waiting, waiting.cost_tokens)
            self._leave(waiting)
            deliver(waiting, chosen.pop(waiting.request_id))
        for waiting, error in failed:
            self._end(waiting, error, deliver)
        # Turns at limited servers are reserved in the order of the classes.
        for key, group in sorted(self._groups.items(), key=lambda item: item[0][1]):
            if key[0] in due:
                self._review(
                    group, missing.get(key), now_ms, select, check, reserve, deliver
                )

    def remove_late(self, now_ms):
        """Remove and return the requests whose latest start has passed."""
        late = [member for member in self if member.deadline_ms < now_ms]
        for waiting in late:
            self.remove(waiting)
        return late

    def _review(self, group, found, now_ms, select, check, reserve, deliver):
        """Note what the pass has found, and refuse what will not be ready in time."""
        if isinstance(found, Refused):
            for _, _, waiting in list(group.by_start):
                self._end(waiting, _copy_of(found), deliver)
        elif not isinstance(found, NoReplicaReady):
            # The selection failed for another request.
            group.due_ms = now_ms + MIN_RECHECK_MS
        elif found.limited is not None:
            self._reserve_turns(group, found, now_ms, select, check, reserve, deliver)
        else:
            group.note(found, now_ms)
            self._refuse_first(group, check, deliver)

    def _refuse_first(self, group, check, deliver):
        refused_one = True
        while refused_one:
            refused_one = False
            for waiting in group.next_to_refuse():
                refused = check(waiting, group.found, group.unknown_since_of(waiting))
                if refused is not None:
                    self._end(waiting, refused, deliver)
                    refused_one = True

    def _reserve_turns(self, group, found, now_ms, select, check, reserve, deliver):
        """Let each request of a group reserve a turn of its own at a limited server."""
        for _, _, waiting in list(group.by_start):
            outcome = select(waiting) if found is None else found
            found = None
            if isinstance(outcome, SelectedReplica):
                self.record_served(waiting)
            elif isinstance(outcome, NoReplicaReady):
                group.note(outcome, now_ms)
                outcome = check(waiting, outcome, group.unknown_since_of(waiting))
                if outcome is None:
                    if group.found.limited is not None:
                        own = reserve(waiting, group.found)
                        self._replace(waiting, own, group.found, now_ms)
                    continue
            self._end(waiting, outcome, deliver)

    def _replace(self, waiting, own, found, now_ms):
        if own is not waiting:
            self.remove(waiting)
            self.add(own, found, now_ms)

    def _end(self, waiting, outcome, deliver):
        self.remove(waiting)
        deliver(waiting, outcome)

    def _leave(self, waiting):
        del self._members[waiting.request_id]
        key = (waiting.route, waiting.priority)
        group = self._groups[key]
        group.remove(waiting)
        if not group.by_start:
            del self._groups[key]
        if waiting.is_own:
            self._queue.forget_route(waiting.route)


def _copy_of(refused):
    """Return an equal exception; one that is raised twice collects both tracebacks."""
    return Refused(
        refused.status, refused.code, refused.message, refused.retry_after_ms
    )
