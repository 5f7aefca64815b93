"""One request of a caller while the fleet's relay carries it."""

from .fleet import DEFAULT_RANK
from .fleet_orders import target_name
from .replica_choice import PATIENCE_SHARE, patience_ms
from .requests import RequestState

# Least urgent rank that engines know.
MAX_RANK = 9
# The backend server stops at the time that it is given; its own answer to that is
# awaited a little longer.
LAST_ANSWER_MS = 40.0


class InboundCall:
    """A request as it came in, and the way back to its caller.

    Parameters
    ----------
    facts : CallFacts
    target : bytes
        Path and query as sent.
    headers : list of (bytes, bytes)
    body : bytes
    arrived_ms : float
    caller : FleetCaller
    """

    __slots__ = ("facts", "target", "headers", "body", "arrived_ms", "caller")

    def __init__(self, facts, target, headers, body, arrived_ms, caller):
        self.facts = facts
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.caller = caller


class Refused(Exception):
    """Ends a request with an answer of the system's own."""

    def __init__(self, status, code, message, return_after_ms=None):
        super().__init__(code)
        self.status = status
        self.code = code
        self.message = message
        self.return_after_ms = return_after_ms


class BrokenStream(Exception):
    """A stream that was passed on in part cannot be completed."""


class RelayJob:
    """One request while the relay carries it."""

    __slots__ = (
        "inbound",
        "call",
        "route",
        "service",
        "engine",
        "team",
        "rank",
        "state",
        "deadline_ms",
        "patience_until_ms",
        "tried",
        "connects_failed",
        "may_have_run",
        "charged_tokens",
        "last_event",
        "started",
        "waited",
        "version",
        "sends",
        "first_ms",
    )

    def __init__(self, inbound, route, service, engine, team, now_ms):
        self.inbound = inbound
        self.call = inbound.facts
        self.route = route
        self.service = service
        self.engine = engine
        self.team = team
        rank = route.rank if team is None or team.rank is None else team.rank
        self.rank = min(MAX_RANK, max(0, DEFAULT_RANK if rank is None else rank))
        self.state = RequestState(self.call.request_id, route.repeatable)
        left_ms = route.time_limit_ms
        if self.call.patience_ms is not None:
            left_ms = min(left_ms, self.call.patience_ms)
        self.deadline_ms = inbound.arrived_ms + left_ms
        self.patience_until_ms = inbound.arrived_ms + PATIENCE_SHARE * patience_ms(
            route, left_ms
        )
        self.tried = []
        self.connects_failed = set()
        self.may_have_run = False
        self.charged_tokens = 0.0
        self.last_event = ""
        self.started = False
        self.waited = {}
        self.version = 0
        self.sends = 0
        # Time of the first event of the current attempt.
        self.first_ms = None

    @property
    def target(self):
        """Name under which the request runs and waits."""
        if self.engine:
            return target_name(self.call.model, self.call.adapter)
        return self.service

    def may_repeat(self, now_ms):
        """Return whether another attempt is allowed, apart from the retry budget."""
        return (
            len(self.tried) < self.route.attempts
            and now_ms < self.deadline_ms - LAST_ANSWER_MS
        )


class AttemptFailure:
    """Why an attempt delivered nothing.

    Parameters
    ----------
    reason : str
    status : int
        0 without an answer.
    not_run : bool
        Whether the backend server says that it did not run the request.
    reusable : bool
        Whether the connection can be used again.
    """

    __slots__ = ("reason", "status", "not_run", "reusable")

    def __init__(self, reason, status=0, not_run=False, reusable=False):
        self.reason = reason
        self.status = status
        self.not_run = not_run
        self.reusable = reusable
