"""The queue between admission and dispatch."""

import heapq
from collections import deque
from itertools import count

from .admission_rates import RouteRates
from .admission_results import Queued, Refused, deadline_refusal, full_refusal
from .requests import PRIORITIES

QUEUE_LIMIT = 2_000
# A request that waited for this share of its time to the deadline is late. Newer ones
# then go first, because serving late ones first would make every request late.
LATE_SHARE = 0.05
# Of late requests at the head, one in this many is served in order of arrival.
OLDEST_EVERY = 4
# Share of the tokens served that goes to the classes below the one being served
# while they wait, so that no class starves.
LOWER_CLASS_RESERVE = 0.05
# Credit of a lower class grows to at most this many tokens, so that an idle time
# does not turn into a long burst of it.
RESERVE_LIMIT_TOKENS = 20_000


def route_of(ticket):
    """Return the service, adapter or model whose replicas can take a ticket."""
    return ticket.service or ticket.adapter or ticket.model


class _Entry:
    __slots__ = ("ticket", "sequence", "route")

    def __init__(self, ticket, sequence):
        self.ticket = ticket
        self.sequence = sequence
        self.route = route_of(ticket)


class _TeamQueue:
    """Waiting requests of one team in one class, in one queue for each route.

    A route without a free replica then delays no request for another route.
    """

    __slots__ = ("routes", "length", "removed")

    def __init__(self):
        self.routes = {}
        self.removed = 0
        self.length = 0

    def push(self, entry):
        self.routes.setdefault(entry.route, deque()).append(entry)
        self.length += 1

    def pop_from(self, queue, entry):
        if queue[0] is entry:
            queue.popleft()
        elif queue[-1] is entry:
            queue.pop()
        else:
            queue.remove(entry)
        if not queue:
            del self.routes[entry.route]
        self.length -= 1
        self.removed += 1

    def heads(self, now_ms):
        """Return the next entry of each route, oldest first."""
        return sorted(
            (self._next(queue, now_ms) for queue in self.routes.values()),
            key=lambda entry: entry.sequence,
        )

    def _next(self, queue, now_ms):
        ticket = queue[0].ticket
        patience_ms = ticket.deadline_ms - ticket.arrived_ms
        late = now_ms - ticket.arrived_ms > LATE_SHARE * patience_ms
        if late and self.removed % OLDEST_EVERY:
            return queue[-1]
        return queue[0]

    def newest(self):
        """Return the entry that arrived last."""
        return max(
            (queue[-1] for queue in self.routes.values()),
            key=lambda entry: entry.sequence,
        )


class AdmissionQueue:
    """Admitted requests that wait for a replica.

    Classes are served in strict priority but for a small reserve. Within a class
    the team with the least service so far, in tokens divided by its weight, is next.

    Parameters
    ----------
    limit : int
        Waiting requests over all classes.
    reserve : float
        Share of the tokens served that goes to waiting lower classes.
    """

    __slots__ = (
        "_limit",
        "_reserve",
        "_classes",
        "_entries",
        "_deadlines",
        "_virtual",
        "_floor",
        "_weights",
        "_credits",
        "_sequence",
        "_rates",
        "_route_lengths",
        "_charged",
    )

    def __init__(self, limit=QUEUE_LIMIT, reserve=LOWER_CLASS_RESERVE):
        self._limit = limit
        self._reserve = reserve
        self._classes = {priority: {} for priority in PRIORITIES}
        self._entries = {}
        self._deadlines = []
        # Team -> tokens served divided by weight, comparable among waiting teams.
        self._virtual = {}
        self._floor = 0.0
        self._weights = {}
        self._credits = dict.fromkeys(PRIORITIES, 0.0)
        self._sequence = count()
        self._rates = RouteRates()
        self._route_lengths = {}
        # Request id -> tokens charged to its team, until it is settled.
        self._charged = {}

    def __len__(self):
        return len(self._entries)

    def set_weights(self, weights):
        """Replace the teams' weights (dict by team name; 1 where absent)."""
        self._weights = dict(weights)
        for name in set(self._virtual) - set(weights):
            if not self._waits(name):
                del self._virtual[name]

    def waiting_by_route(self):
        """Return the number of waiting requests by service, adapter or model."""
        return dict(self._route_lengths)

    def offer(self, ticket, now_ms):
        """Queue a request or refuse it at once.

        Parameters
        ----------
        ticket : Ticket
        now_ms : float

        Returns
        -------
        Queued or Refused
        """
        wait_ms = self.estimate_ms(ticket)
        if now_ms + wait_ms > ticket.deadline_ms:
            return Refused(deadline_refusal(wait_ms))
        displaced = []
        if len(self._entries) >= self._limit:
            victim = self._victim(ticket)
            if victim is None:
                return Refused(full_refusal(wait_ms))
            self._remove(victim)
            displaced.append((victim.ticket, full_refusal(wait_ms)))
        self._push(ticket, now_ms)
        return Queued(wait_ms, displaced)

    def take(self, now_ms, ready):
        """Remove and return the next request that can be sent.

        Parameters
        ----------
        now_ms : float
        ready : callable
            Says whether a replica can take a ticket. The ticket for which it says
            so is the one returned; after a no it is not asked again for the same
            service or model.

        Returns
        -------
        Ticket or None
        """
        blocked = set()

        def can_send(entry):
            if entry.route in blocked:
                return False
            if ready(entry.ticket):
                return True
            blocked.add(entry.route)
            return False

        entry = self._next_reserved(can_send, now_ms)
        if entry is None:
            entry = self._next_by_class(can_send, now_ms)
        if entry is None:
            return None
        self._remove(entry)
        self._charge(entry.ticket)
        self._rates.on_taken(entry.route, now_ms, self._route_lengths.get(entry.route))
        return entry.ticket

    def settle(self, ticket, used_tokens):
        """Correct a team's service by the tokens that a taken request used.

        A request that was never taken has no service to correct.
        """
        cost = self._charged.pop(ticket.request_id, None)
        if cost is not None and ticket.team in self._virtual:
            unused = cost - used_tokens
            self._virtual[ticket.team] -= unused / self._weight(ticket.team)

    def put_back(self, ticket, now_ms):
        """Queue again a request that was taken but not accepted anywhere."""
        self.settle(ticket, 0)
        self._push(ticket, now_ms)

    def remove(self, request_id):
        """Remove a waiting request, for example of a caller that has gone."""
        entry = self._entries.get(request_id)
        if entry is None:
            return None
        self._remove(entry)
        return entry.ticket

    def expire(self, now_ms):
        """Remove and return the requests whose deadline cannot be met any more."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, sequence, request_id = heapq.heappop(self._deadlines)
            entry = self._entries.get(request_id)
            if entry is not None and entry.sequence == sequence:
                self._remove(entry)
                expired.append(entry.ticket)
        return expired

    def estimate_ms(self, ticket):
        """Return the estimated waiting time of a request that arrives now.

        With fair sharing a request waits for its own team's earlier requests and
        for as many of each other waiting team, in the ratio of the weights.
        """
        route = route_of(ticket)
        own_weight = self._weight(ticket.team)
        ahead = 0.0
        for priority in PRIORITIES[: PRIORITIES.index(ticket.priority)]:
            ahead += sum(
                len(queue.routes.get(route, ()))
                for queue in self._classes[priority].values()
            )
        teams = self._classes[ticket.priority]
        own = teams.get(ticket.team)
        own_length = len(own.routes.get(route, ())) if own else 0
        for team, queue in teams.items():
            length = len(queue.routes.get(route, ()))
            share = (own_length + 1) * self._weight(team) / own_weight
            ahead += own_length if team == ticket.team else min(length, share)
        return ahead * self._rates.interval_ms(route)

    def _push(self, ticket, now_ms):
        entry = _Entry(ticket, next(self._sequence))
        teams = self._classes[ticket.priority]
        if not self._waits(ticket.team):
            # A team that was idle does not save up service for later.
            floor = max(self._floor, self._virtual.get(ticket.team, 0.0))
            self._virtual[ticket.team] = floor
        teams.setdefault(ticket.team, _TeamQueue()).push(entry)
        self._entries[ticket.request_id] = entry
        length = self._route_lengths.get(entry.route, 0)
        self._route_lengths[entry.route] = length + 1
        if length == 0:
            self._rates.on_backlog(entry.route, now_ms)
        if ticket.deadline_ms != float("inf"):
            heapq.heappush(
                self._deadlines, (ticket.deadline_ms, entry.sequence, ticket.request_id)
            )

    def _remove(self, entry):
        ticket = entry.ticket
        teams = self._classes[ticket.priority]
        team_queue = teams[ticket.team]
        team_queue.pop_from(team_queue.routes[entry.route], entry)
        if not team_queue.length:
            del teams[ticket.team]
        del self._entries[ticket.request_id]
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

    def _waits(self, team):
        return any(team in teams for teams in self._classes.values())

    def _weight(self, team):
        return self._weights.get(team, 1.0)

    def _next_reserved(self, can_send, now_ms):
        for priority in PRIORITIES[1:]:
            credit = self._credits[priority]
            if not self._classes[priority]:
                self._credits[priority] = 0.0
            elif credit >= 1:
                entry = self._fairest(
                    priority,
                    lambda entry, credit=credit: (
                        entry.ticket.cost_tokens <= credit and can_send(entry)
                    ),
                    now_ms,
                )
                if entry is not None:
                    return entry
        return None

    def _next_by_class(self, can_send, now_ms):
        for priority in PRIORITIES:
            entry = self._fairest(priority, can_send, now_ms)
            if entry is not None:
                return entry
        return None

    def _fairest(self, priority, can_send, now_ms):
        teams = self._classes[priority]
        for team in sorted(teams, key=lambda team: self._virtual[team]):
            for entry in teams[team].heads(now_ms):
                if can_send(entry):
                    return entry
        return None

    def _charge(self, ticket):
        self._charged[ticket.request_id] = ticket.cost_tokens
        self._virtual[ticket.team] += ticket.cost_tokens / self._weight(ticket.team)
        waiting = [
            self._virtual[team] for teams in self._classes.values() for team in teams
        ]
        if waiting:
            self._floor = max(self._floor, min(waiting))
        served = PRIORITIES.index(ticket.priority)
        self._credits[ticket.priority] = max(
            0.0, self._credits[ticket.priority] - ticket.cost_tokens
        )
        for priority in PRIORITIES[served + 1 :]:
            if self._classes[priority]:
                credit = self._credits[priority] + ticket.cost_tokens * self._reserve
                self._credits[priority] = min(credit, RESERVE_LIMIT_TOKENS)

    def _victim(self, ticket):
        """Return the newest request of the lowest class that holds too much, if any."""
        lowest = PRIORITIES.index(ticket.priority)
        for priority in reversed(PRIORITIES[lowest + 1 :]):
            if self._classes[priority]:
                return self._longest(priority)[1].newest()
        teams = self._classes[ticket.priority]
        if not teams:
            return None
        own = teams[ticket.team].length if ticket.team in teams else 0
        team, longest = self._longest(ticket.priority)
        own_share = (own + 1) / self._weight(ticket.team)
        if team != ticket.team and longest.length / self._weight(team) > own_share:
            return longest.newest()
        return None

    def _longest(self, priority):
        return max(
            self._classes[priority].items(),
            key=lambda item: item[1].length / self._weight(item[0]),
        )
