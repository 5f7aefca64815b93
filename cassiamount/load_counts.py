"""Counts from which the load of a backend server follows, and their part in reports."""

import math
from collections import deque

# Engines accept priorities from 0, the most urgent, to 9.
PRIORITIES = 10
LOWEST_PRIORITY = PRIORITIES - 1


class LoadPart:
    """Changes of the known loads, as a report contains them.

    Parameters
    ----------
    services : list of str
        Services of which a server has told its pace.
    told : list
        ``[backend, started_wall_ms, running, waiting, slots, pace_percent, age_ms]``.
    backlogs : list
        ``[backend, started_wall_ms, age_ms, tokens, waiting]`` of the VMs for which the
        sender speaks; `waiting` has ``[priority, requests, prefill_tokens]`` of those
        without a first event.
    """

    __slots__ = ("services", "told", "backlogs")

    def __init__(self, services, told, backlogs):
        self.services = services
        self.told = told
        self.backlogs = backlogs

    def to_value(self):
        """Return the list that represents this object in a report."""
        return [self.services, self.told, self.backlogs]


class Backlog:
    """Tokens of requests, and by priority those without a first event."""

    __slots__ = ("tokens", "requests", "prefill_tokens")

    def __init__(self):
        self.tokens = 0
        self.requests = [0] * PRIORITIES
        self.prefill_tokens = [0] * PRIORITIES

    def add(self, other, sign=1):
        """Add or, with a sign of -1, subtract another backlog."""
        self.tokens += sign * other.tokens
        for priority, requests in enumerate(other.requests):
            if requests:
                self.requests[priority] += sign * requests
                self.prefill_tokens[priority] += sign * other.prefill_tokens[priority]

    def add_waiting(self, sent, sign=1):
        """Add or subtract a request without a first event."""
        self.requests[sent.priority] += sign
        self.prefill_tokens[sent.priority] += sign * sent.prefill_tokens

    def waiting_value(self):
        """Return the requests without a first event, as in `LoadPart.backlogs`."""
        return [
            [priority, requests, self.prefill_tokens[priority]]
            for priority, requests in enumerate(self.requests)
            if requests
        ]


class SentRequest:
    """A request of this VM at a server."""

    __slots__ = (
        "prefill_tokens",
        "tokens",
        "sent_ms",
        "begun_ms",
        "priority",
        "estimate",
    )

    def __init__(self, prefill_tokens, tokens, sent_ms, priority, estimate):
        self.prefill_tokens = prefill_tokens
        self.tokens = tokens
        self.sent_ms = sent_ms
        # None until the first event.
        self.begun_ms = None
        self.priority = priority
        self.estimate = estimate


class ServerLoad:
    """What is known of the load of one server."""

    __slots__ = (
        "told",
        "told_ms",
        "told_version",
        "told_reported_ms",
        "service",
        "sent",
        "presumed",
        "changes",
        "own",
        "peers",
        "zone",
        "all",
        "counted_ms",
        "own_version",
        "version",
    )

    def __init__(self):
        # Running, waiting, slots and pace in per cent.
        self.told = (None, None, None, None)
        self.told_ms = self.told_reported_ms = -math.inf
        self.told_version = 0
        self.service = ""
        # Request -> SentRequest.
        self.sent = {}
        # Heap of the times at which requests without events have probably begun, each
        # with a number that is different for each, and the request.
        self.presumed = []
        # Time of each request that this VM has sent (1) or that has ended (-1).
        self.changes = deque()
        self.own = Backlog()
        # Peer -> backlog that it reported.
        self.peers = {}
        # Sums of the reported backlogs: from VMs of this zone, and from all.
        self.zone = Backlog()
        self.all = Backlog()
        # Time as of which the newest of them was counted.
        self.counted_ms = -math.inf
        # Versions of the last change of this VM's requests, and of any.
        self.own_version = self.version = 0
