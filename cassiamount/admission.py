"""Weighted fair queue of requests that wait for a replica."""

import heapq
from itertools import count

from .admission_rates import RouteRates
from .admission_results import Queued, Refused, deadline_refusal, full_refusal
from .admission_teams import ArrivalOrder, QueueEntry, TeamQueue
from .requests import PRIORITIES

QUEUE_LIMIT = 2_000
# Fraction of the tokens served that is credited to each waiting class of lower
# priority, so that no class starves.
LOWER_CLASS_RESERVE = 0.05
# Largest credit of a class, and largest advance of a team that begins to wait, so that
# credit that could not be used for some time does not turn into a long burst.
MAX_CREDIT_TOKENS = 20_000


class AdmissionQueue:
    """Weighted fair queue of requests that wait for a replica.

    Priority classes are served in strict order, except for a small reserve for the
    lower ones. Within a class, the team with the lowest virtual time is served next.
    A team's virtual time is the number of its tokens served, divided by its weight.

    Requests have a `request_id`, `team`, `priority`, `route`, `arrived_ms`,
    `deadline_ms` and `cost_tokens`, as `RequestInfo` has.

    Parameters
    ----------
    limit : int or float
        Largest number of waiting requests over all classes.
    reserve : float
        Fraction of the tokens served that is credited to each waiting lower class.
    priorities : tuple
        The priority classes, most urgent first.
    order : type
        Order of the requests of one team in one class for one route: `ArrivalOrder` or
        `DeadlineOrder`.
    prefers_urgent : bool
        Whether a replica may be ready for a more urgent request only.
    """

    __slots__ = (
        "_limit",
        "_reserve",
        "_ranks",
        "_order",
        "_prefers_urgent",
        "_classes",
        "_entries",
        "_deadlines",
        "_virtual_times",
        "_system_virtual_time",
        "_weights",
        "_credits",
        "_sequence",
        "_rates",
        "_route_lengths",
        "_charged_tokens",
    )

    def __init__(
        self,
        limit=QUEUE_LIMIT,
        reserve=LOWER_CLASS_RESERVE,
        priorities=PRIORITIES,
        order=ArrivalOrder,
        prefers_urgent=False,
    ):
        self._limit = limit
        self._reserve = reserve
        # Priority class -> its rank, 0 for the most urgent.
        self._ranks = {priority: rank for rank, priority in enumerate(priorities)}
        self._order = order
        self._prefers_urgent = prefers_urgent
        self._classes = {priority: {} for priority in priorities}
        self._entries = {}
        self._deadlines = []
        # Team -> virtual time; teams without waiting requests may lag behind.
        self._virtual_times = {}
        self._system_virtual_time = 0.0
        self._weights = {}
        self._credits = dict.fromkeys(priorities, 0.0)
        self._sequence = count()
        self._rates = RouteRates()
        self._route_lengths = {}
        # Request id -> tokens charged to its team, until it is settled.
        self._charged_tokens = {}

    def __len__(self):
        return len(self._entries)

    def set_weights(self, weights):
        """Replace the teams' weights (dict by team name; 1 where absent)."""
        self._weights = dict(weights)
        for name in set(self._virtual_times) - set(weights):
            if not self._is_waiting(name):
                del self._virtual_times[name]

    def waiting_by_route(self):
        """Return the number of waiting requests by service, adapter or model."""
        return dict(self._route_lengths)

    def offer(self, request_info, now_ms):
        """Queue a request, or refuse it if the queue is full or the wait too long.

        Parameters
        ----------
        request_info : RequestInfo
        now_ms : float

        Returns
        -------
        Queued or Refused
        """
        wait_ms = self.estimate_ms(request_info)
        if now_ms + wait_ms > request_info.deadline_ms:
            return Refused(deadline_refusal(wait_ms))
        displaced = []
        if len(self._entries) >= self._limit:
            victim = self._select_victim(request_info)
            if victim is None:
                return Refused(full_refusal(wait_ms))
            self._remove(victim)
            displaced.append((victim.request_info, full_refusal(wait_ms)))
        self.push(request_info, now_ms)
        return Queued(wait_ms, displaced)

    def take(self, now_ms, ready):
        """Remove and return the next request that can be sent.

        Parameters
        ----------
        now_ms : float
        ready : callable
            Takes a RequestInfo; returns whether a replica can take the request. The
            request for which it returns True is returned. After False it is not
            called again for the same route, except for a more urgent request if the
            queue was told that this can make a difference.

        Returns
        -------
        RequestInfo or None
        """
        # Route -> rank of the most urgent class that no replica is ready for.
        blocked = {}

        def can_send(entry):
            rank = self._ranks[entry.request_info.priority]
            if entry.route in blocked and rank >= blocked[entry.route]:
                return False
            if ready(entry.request_info):
                return True
            blocked[entry.route] = rank if self._prefers_urgent else 0
            return False

        entry = self._next_from_reserve(can_send, now_ms)
        if entry is None:
            entry = self._next_by_priority(can_send, now_ms)
        if entry is None:
            return None
        self._remove(entry)
        self._charge(entry.request_info)
        self._rates.on_taken(entry.route, now_ms, self._route_lengths.get(entry.route))
        return entry.request_info

    def settle(self, request_info, used_tokens):
        """Correct a team's virtual time to the tokens that a request really used.

        A request that was never taken was not charged, so nothing is corrected.
        """
        cost = self._charged_tokens.pop(request_info.request_id, None)
        if cost is not None and request_info.team in self._virtual_times:
            unused = cost - used_tokens
            self._virtual_times[request_info.team] -= unused / self._weight(
                request_info.team
            )

    def requeue(self, request_info, now_ms):
        """Queue a request again that was taken but that no backend server accepted."""
        self.settle(request_info, 0)
        self.push(request_info, now_ms)

    def remove(self, request_id):
        """Remove a waiting request, for example because its caller disconnected."""
        entry = self._entries.get(request_id)
        if entry is None:
            return None
        self._remove(entry)
        return entry.request_info

    def expire(self, now_ms):
        """Remove and return the waiting requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, sequence, request_id = heapq.heappop(self._deadlines)
            entry = self._entries.get(request_id)
            if entry is not None and entry.sequence == sequence:
                self._remove(entry)
                expired.append(entry.request_info)
        return expired

    def estimate_ms(self, request_info):
        """Return the estimated waiting time of a request that arrives now.

        Under fair queueing a request waits for all requests of higher classes, for the
        earlier ones of its own team, and for as many of each other team in its class,
        in the ratio of the weights.
        """
        return self._count_ahead(request_info) * self._rates.interval_ms(
            request_info.route
        )

    def is_waiting_before(self, request_info):
        """Return whether a request of its class or a higher one waits for its route."""
        rank = self._ranks[request_info.priority]
        return any(
            request_info.route in queue.routes
            for priority, teams in self._classes.items()
            if self._ranks[priority] <= rank
            for queue in teams.values()
        )

    def record_served(self, request_info):
        """Charge its team for a request that was sent without having waited."""
        self._start_team(request_info.team)
        self._charge(request_info)

    def refund(self, request_info):
        """Take back the charge for a request that was settled, but did not run."""
        if request_info.team in self._virtual_times:
            self._virtual_times[request_info.team] -= (
                request_info.cost_tokens / self._weight(request_info.team)
            )

    def forget_route(self, route):
        """Forget the rate of a route for which no request will wait again."""
        self._rates.remove(route)

    def _count_ahead(self, request_info):
        route = request_info.route
        own_weight = self._weight(request_info.team)
        ahead = 0.0
        for priority in self._classes:
            if priority == request_info.priority:
                break
            ahead += sum(
                len(queue.routes.get(route, ()))
                for queue in self._classes[priority].values()
            )
        teams = self._classes[request_info.priority]
        own = teams.get(request_info.team)
        own_length = own.count_before(request_info) if own else 0
        for team, queue in teams.items():
            length = len(queue.routes.get(route, ()))
            share = (own_length + 1) * self._weight(team) / own_weight
            ahead += own_length if team == request_info.team else min(length, share)
        return ahead

    def push(self, request_info, now_ms):
        """Queue a request without regard to its deadline or to the queue's limit."""
        entry = QueueEntry(request_info, next(self._sequence))
        teams = self._classes[request_info.priority]
        if not self._is_waiting(request_info.team):
            self._start_team(request_info.team)
        if request_info.team not in teams:
            teams[request_info.team] = TeamQueue(self._order)
        teams[request_info.team].push(entry)
        self._entries[request_info.request_id] = entry
        length = self._route_lengths.get(entry.route, 0)
        self._route_lengths[entry.route] = length + 1
        if length == 0:
            self._rates.on_backlog(entry.route, now_ms)
        if request_info.deadline_ms != float("inf"):
            heapq.heappush(
                self._deadlines,
                (request_info.deadline_ms, entry.sequence, request_info.request_id),
            )

    def _start_team(self, team):
        """Set the virtual time of a team that has no waiting requests."""
        # An idle team accumulates no credit: it would block the others on return. Nor
        # does it pay for long for what it got while others waited for something else.
        floor = self._system_virtual_time
        most = floor + MAX_CREDIT_TOKENS / self._weight(team)
        self._virtual_times[team] = min(
            most, max(floor, self._virtual_times.get(team, 0.0))
        )

    def _remove(self, entry):
        request_info = entry.request_info
        teams = self._classes[request_info.priority]
        team_queue = teams[request_info.team]
        team_queue.remove(entry)
        if not team_queue.length:
            del teams[request_info.team]
        del self._entries[request_info.request_id]
        self._route_lengths[entry.route] -= 1
        if not self._route_lengths[entry.route]:
            del self._route_lengths[entry.route]
        if not self._entries:
            self._deadlines.clear()
        elif len(self._deadlines) > 2 * len(self._entries) + 64:
            self._deadlines = [
                item
                for item in self._deadlines
                if item[2] in self._entries
                and self._entries[item[2]].sequence == item[1]
            ]
            heapq.heapify(self._deadlines)

    def _is_waiting(self, team):
        return any(team in teams for teams in self._classes.values())

    def _weight(self, team):
        return self._weights.get(team, 1.0)

    def _next_from_reserve(self, can_send, now_ms):
        for priority, rank in self._ranks.items():
            credit = self._credits[priority]
            if rank == 0:
                continue
            if not self._classes[priority]:
                self._credits[priority] = 0.0
            elif credit >= 1:
                entry = self._least_served(
                    priority,
                    lambda entry, credit=credit: (
                        entry.request_info.cost_tokens <= credit and can_send(entry)
                    ),
                    now_ms,
                )
                if entry is not None:
                    return entry
        return None

    def _next_by_priority(self, can_send, now_ms):
        for priority in self._classes:
            entry = self._least_served(priority, can_send, now_ms)
            if entry is not None:
                return entry
        return None

    def _least_served(self, priority, can_send, now_ms):
        teams = self._classes[priority]
        for team in sorted(teams, key=lambda team: self._virtual_times[team]):
            for entry in teams[team].heads(now_ms):
                if can_send(entry):
                    return entry
        return None

    def _charge(self, request_info):
        self._charged_tokens[request_info.request_id] = request_info.cost_tokens
        started = self._virtual_times[request_info.team]
        self._virtual_times[request_info.team] += (
            request_info.cost_tokens / self._weight(request_info.team)
        )
        waiting = [
            self._virtual_times[team]
            for teams in self._classes.values()
            for team in teams
        ]
        # If no team waits, there was no contention, and the time passes with what is
        # served: a team that was alone would owe the next one everything it got.
        self._system_virtual_time = max(
            self._system_virtual_time, min(waiting, default=started)
        )
        served_rank = self._ranks[request_info.priority]
        self._credits[request_info.priority] = max(
            0.0, self._credits[request_info.priority] - request_info.cost_tokens
        )
        for priority, rank in self._ranks.items():
            if rank > served_rank and self._classes[priority]:
                credit = (
                    self._credits[priority] + request_info.cost_tokens * self._reserve
                )
                self._credits[priority] = min(credit, MAX_CREDIT_TOKENS)

    def _select_victim(self, request_info):
        """Return the entry to remove from the full queue, or None.

        It is the newest one of the longest team queue: in the lowest class below that
        of the request, or else in its own class, if that queue is longer than its
        team's own queue in the ratio of the weights.
        """
        own_rank = self._ranks[request_info.priority]
        for priority, rank in reversed(self._ranks.items()):
            if rank > own_rank and self._classes[priority]:
                return self._longest_team_queue(priority)[1].last()
        teams = self._classes[request_info.priority]
        if not teams:
            return None
        own = teams[request_info.team].length if request_info.team in teams else 0
        team, longest = self._longest_team_queue(request_info.priority)
        own_share = (own + 1) / self._weight(request_info.team)
        if (
            team != request_info.team
            and longest.length / self._weight(team) > own_share
        ):
            return longest.last()
        return None

    def _longest_team_queue(self, priority):
        return max(
            self._classes[priority].items(),
            key=lambda item: item[1].length / self._weight(item[0]),
        )
