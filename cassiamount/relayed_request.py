"""State of a caller's request while the relay handles it."""

import hashlib

from .crash_quarantine import FINGERPRINT_PREFIX, RequestParts
from .fleet import DEFAULT_PRIORITY
from .fleet_orders import target_name
from .replica_selection import START_DEADLINE_FRACTION, first_byte_timeout_ms
from .requests import RequestState

# Engines accept priorities from 0, the most urgent, to this.
LOWEST_PRIORITY = 9
# The backend server stops the request at its deadline; the relay waits this much longer
# for the response that says so.
DEADLINE_GRACE_MS = 40.0


class InboundRequest:
    """A request as received, and the connection to its caller.

    Parameters
    ----------
    metadata : RequestMetadata
    request_target : bytes
        Path and query as received.
    headers : list of (bytes, bytes)
    body : bytes
    arrived_ms : float
        When it was read.
    caller : ResponseWriter
    unread_ms : float
        How long it may have lain unread before that.
    """

    __slots__ = (
        "metadata",
        "request_target",
        "headers",
        "body",
        "arrived_ms",
        "caller",
        "unread_ms",
    )

    def __init__(
        self,
        metadata,
        request_target,
        headers,
        body,
        arrived_ms,
        caller,
        unread_ms=0.0,
    ):
        self.metadata = metadata
        self.request_target = request_target
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.caller = caller
        self.unread_ms = unread_ms

    def parts(self, team_name):
        """Return the parts by which `CrashQuarantine` knows this request.

        Parameters
        ----------
        team_name : str
            Empty if callers need no key.
        """
        fingerprint = self._fingerprint(team_name)
        return RequestParts(fingerprint, self.metadata.shared_parts)

    def _fingerprint(self, team_name):
        """Return a part that is the same when a team sends the same request again."""
        metadata = self.metadata
        digest = hashlib.blake2b(digest_size=12)
        for text in (team_name, metadata.method, metadata.host):
            digest.update(text.encode() + b"\0")
        digest.update(self.request_target + b"\0")
        digest.update(self.body)
        return FINGERPRINT_PREFIX + digest.hexdigest()


class Refused(Exception):
    """Ends a request with an error response from this system.

    Parameters
    ----------
    status : int
    code, message : str
        Machine-readable and human-readable reason.
    retry_after_ms : float, optional
    """

    def __init__(self, status, code, message, retry_after_ms=None):
        super().__init__(code)
        self.status = status
        self.code = code
        self.message = message
        self.retry_after_ms = retry_after_ms


class BrokenStream(Exception):
    """A response that was partly sent to the caller cannot be completed."""


class RelayedRequest:
    """A request that the relay has admitted, and the state of its attempts.

    Parameters
    ----------
    inbound : InboundRequest
    route : RouteConfig
    service : str
    is_model_request : bool
    team : TeamConfig or None
    parts : RequestParts
        As `CrashQuarantine` knows the request.
    now_ms : float
    """

    __slots__ = (
        "inbound",
        "metadata",
        "route",
        "service",
        "is_model_request",
        "team",
        "parts",
        "priority",
        "state",
        "deadline_ms",
        "start_deadline_ms",
        "tried",
        "unreachable_backends",
        "may_have_run",
        "charged_tokens",
        "last_event_id",
        "response_started",
        "waiting_targets",
        "granted",
        "configuration_version",
        "sends",
        "head_ms",
        "first_event_ms",
        "reserved",
        "software",
    )

    def __init__(self, inbound, route, service, is_model_request, team, parts, now_ms):
        self.inbound = inbound
        self.metadata = inbound.metadata
        self.route = route
        self.service = service
        self.is_model_request = is_model_request
        self.team = team
        self.parts = parts
        priority = (
            route.priority if team is None or team.priority is None else team.priority
        )
        self.priority = min(
            LOWEST_PRIORITY, max(0, DEFAULT_PRIORITY if priority is None else priority)
        )
        self.state = RequestState(self.metadata.request_id, route.retryable)
        remaining_ms = route.time_limit_ms
        if self.metadata.timeout_ms is not None:
            remaining_ms = min(remaining_ms, self.metadata.timeout_ms)
        self.deadline_ms = inbound.arrived_ms + remaining_ms
        self.start_deadline_ms = (
            inbound.arrived_ms
            + START_DEADLINE_FRACTION * first_byte_timeout_ms(route, remaining_ms)
        )
        self.tried = []
        self.unreachable_backends = set()
        self.may_have_run = False
        self.charged_tokens = 0.0
        self.last_event_id = ""
        self.response_started = False
        self.waiting_targets = {}
        # The `WaitingRequest` for which it got its latest replica.
        self.granted = None
        self.configuration_version = 0
        self.sends = 0
        # Arrival of the response's head and first event in the current attempt.
        self.head_ms = None
        self.first_event_ms = None
        # Start of a backend server with a limit, and time of this request's turn.
        self.reserved = None
        # Software version at which the stream began; only it may go on with it.
        self.software = None

    @property
    def target(self):
        """Model, model and adapter, or service that the request asks for."""
        if self.is_model_request:
            return target_name(self.metadata.model, self.metadata.adapter)
        return self.service

    @property
    def selection_priority(self):
        """Priority in the queue and for room; a begun stream is the most urgent.

        Its caller already has a part, and gets an error if it does not go on.
        """
        return 0 if self.response_started else self.priority

    @property
    def latest_start_ms(self):
        """Latest start at a server with a queue; a begun stream has all its time."""
        return self.deadline_ms if self.response_started else self.start_deadline_ms

    def may_retry(self, now_ms):
        """Return whether attempts and time remain; the retry budget is separate."""
        return (
            len(self.tried) < self.route.attempts
            and now_ms < self.deadline_ms - DEADLINE_GRACE_MS
        )


class AttemptFailure:
    """Why the response to an attempt was not completely sent to the caller.

    Parameters
    ----------
    reason : str
    status : int
        HTTP status, 0 if there was no response.
    not_run : bool
        Whether the backend server states that it did not run the request.
    connection_reusable : bool
        Whether the connection can carry another request.
    """

    __slots__ = (
        "reason",
        "status",
        "not_run",
        "connection_reusable",
    )

    def __init__(
        self,
        reason,
        status=0,
        not_run=False,
        connection_reusable=False,
    ):
        self.reason = reason
        self.status = status
        self.not_run = not_run
        self.connection_reusable = connection_reusable
