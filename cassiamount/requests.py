"""States of requests, their data for scheduling, and the outcomes of attempts."""

from .invariants import TRUTHFUL_REFUSAL, require

RECEIVED = "received"
ADMITTED = "admitted"
DISPATCHED = "dispatched"
FIRST_BYTE = "first-byte"
COMPLETE = "complete"

TRANSITIONS = {
    RECEIVED: {ADMITTED, COMPLETE},
    ADMITTED: {DISPATCHED, COMPLETE},
    # A backend server that did not accept the request returns it to the queue.
    DISPATCHED: {FIRST_BYTE, COMPLETE, ADMITTED},
    # A broken stream of an idempotent request is dispatched again.
    FIRST_BYTE: {COMPLETE, DISPATCHED},
    COMPLETE: set(),
}

# HTTP statuses that tell a caller that its request has not run and will not.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

INTERACTIVE = "interactive"
NORMAL = "normal"
BATCH = "batch"
PRIORITIES = (INTERACTIVE, NORMAL, BATCH)


class IllegalTransition(ValueError):
    """The state of a request cannot change in this way."""


class Refusal:
    """An error response to the caller.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Machine-readable reason, for example ``rate_exceeded``.
    message : str
    not_run : bool
        True only if no backend server ran any part of the request.
    retry_after_s : float, optional
    """

    __slots__ = ("status", "code", "message", "not_run", "retry_after_s")

    def __init__(self, status, code, message, not_run=True, retry_after_s=None):
        self.status = status
        self.code = code
        self.message = message
        self.not_run = not_run
        self.retry_after_s = retry_after_s

    def __repr__(self):
        return f"Refusal({self.status}, {self.code!r}, not_run={self.not_run})"


class RequestState:
    """State machine of one request.

    Parameters
    ----------
    request_id : str
    idempotent : bool
    """

    __slots__ = ("request_id", "idempotent", "state", "dispatches", "maybe_accepted")

    def __init__(self, request_id, idempotent):
        self.request_id = request_id
        self.idempotent = idempotent
        self.state = RECEIVED
        self.dispatches = 0
        self.maybe_accepted = False

    def transition_to(self, state):
        """Change to `state`.

        Raises
        ------
        IllegalTransition
        """
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransition(f"{self.state} -> {state}")
        if state == DISPATCHED:
            self.dispatches += 1
            # The backend server may run it, unless it reports that it did not accept
            # it.
            self.maybe_accepted = True
        self.state = state

    def mark_not_accepted(self):
        """Record that the backend server reported not having accepted the request."""
        self.maybe_accepted = False
        self.transition_to(ADMITTED)

    def check_refusal(self, refusal):
        """Check that a request refused as not run was not possibly accepted."""
        require(
            not (refusal.not_run and self.maybe_accepted),
            TRUTHFUL_REFUSAL,
            request_id=self.request_id,
            state=self.state,
            code=refusal.code,
        )


class RequestInfo:
    """The data of a request that the admission queue and the router need.

    Parameters
    ----------
    request_id : str
    team : str
        Empty on a route open to all.
    priority : str
    service : str
        Empty for a model request.
    model, adapter : str
        Empty for a service call; `adapter` is empty without one.
    prompt_tokens, max_output_tokens : int
    prefix_hashes : tuple of int
        Hashes of the prompt's leading blocks, shortest prefix first.
    arrived_ms, deadline_ms : float
        Monotonic time; the first byte is due by the deadline.
    idempotent : bool
    key_hash : str
        Hash of the caller's key, which may be withdrawn while the request is queued
        and is therefore checked again at dispatch.
    """

    __slots__ = (
        "request_id",
        "team",
        "priority",
        "service",
        "model",
        "adapter",
        "prompt_tokens",
        "max_output_tokens",
        "prefix_hashes",
        "arrived_ms",
        "deadline_ms",
        "idempotent",
        "key_hash",
    )

    def __init__(
        self,
        request_id,
        team,
        priority=NORMAL,
        service="",
        model="",
        adapter="",
        prompt_tokens=0,
        max_output_tokens=1,
        prefix_hashes=(),
        arrived_ms=0.0,
        deadline_ms=float("inf"),
        idempotent=True,
        key_hash="",
    ):
        self.request_id = request_id
        self.team = team
        self.priority = priority
        self.service = service
        self.model = model
        self.adapter = adapter
        self.prompt_tokens = prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.prefix_hashes = tuple(prefix_hashes)
        self.arrived_ms = arrived_ms
        self.deadline_ms = deadline_ms
        self.idempotent = idempotent
        self.key_hash = key_hash

    @property
    def route(self):
        """Service, adapter or model whose replicas can take the request."""
        return self.service or self.adapter or self.model

    @property
    def cost_tokens(self):
        """Tokens charged at admission: the prompt and the largest possible output."""
        return self.prompt_tokens + self.max_output_tokens


class Dispatch:
    """The dispatcher's decision to send a request to a backend server.

    Parameters
    ----------
    request_info : RequestInfo
    backend : str
        Name of the backend server.
    address : str
        ``host:port``.
    attempt : int
        1 for the first dispatch.
    """

    __slots__ = ("request_info", "backend", "address", "attempt")

    def __init__(self, request_info, backend, address, attempt=1):
        self.request_info = request_info
        self.backend = backend
        self.address = address
        self.attempt = attempt


# Outcomes of one attempt, as the relay reports them to the dispatcher.
DONE = "done"
NOT_ACCEPTED = "not-accepted"
BROKEN = "broken"
CANCELLED = "cancelled"


class AttemptEnded:
    """The end of one attempt at a backend server.

    Parameters
    ----------
    request_id : str
    backend : str
    outcome : str
        ``done``, ``not-accepted``, ``broken`` or ``cancelled``.
    used_tokens : int
        Prompt tokens plus tokens generated so far over all attempts.
    first_token_ms, duration_ms : float
        Measured from the dispatch.
    final : bool
        False if the relay asks for another attempt. The charge to the team's budget
        is settled at the end of the last attempt, or when the dispatcher refuses a
        retry.
    """

    __slots__ = (
        "request_id",
        "backend",
        "outcome",
        "used_tokens",
        "first_token_ms",
        "duration_ms",
        "final",
    )

    def __init__(
        self,
        request_id,
        backend,
        outcome,
        used_tokens=0,
        first_token_ms=0.0,
        duration_ms=0.0,
        final=True,
    ):
        self.request_id = request_id
        self.backend = backend
        self.outcome = outcome
        self.used_tokens = used_tokens
        self.first_token_ms = first_token_ms
        self.duration_ms = duration_ms
        self.final = final
