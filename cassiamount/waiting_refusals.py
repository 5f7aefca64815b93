"""Refusals of requests that no backend server will be ready for in time."""

from .graceful_stop import stop_refusal
from .relayed_request import Refused
from .replica_selection import (
    BUSY,
    MIN_RETRY_AFTER_MS,
    PAUSED,
    PLACEMENT_DECISION_MS,
    clamp_retry_after_ms,
)
from .waiting_requests import IN_ORDER

# A request waits for this fraction of its route's objective while it is unknown when
# its model will be ready.
UNKNOWN_WAIT_FRACTION = 0.8
# Callers come back within this part of a pause after its end.
PAUSE_SPREAD = 0.25
# A caller waits for at most a third of the time that it has left and comes back once;
# after a longer Retry-After it would not come back. A tenth of the third is left for
# the way to the caller.
RETRY_AFTER_FRACTION = 0.3


def stopping_refusal():
    """Return the refusal of a request that a stopping VM does not begin."""
    refusal = stop_refusal()
    return Refused(
        refusal.status, refusal.code, refusal.message, 1000 * refusal.retry_after_s
    )


def unknown_limit_ms(route):
    """Return how long a request waits while it is unknown when a replica is ready."""
    return max(PLACEMENT_DECISION_MS, UNKNOWN_WAIT_FRACTION * route.objective_ms)


def refuse_wait(request, found, expected_ms, unknown_since_ms, now_ms, rng):
    """Decide whether a request may wait for a replica.

    Parameters
    ----------
    request : RelayedRequest
    found : NoReplicaReady
    expected_ms : float or None
        Estimated wait; it exceeds `found.wait_ms` if others are ahead.
    unknown_since_ms : float or None
        Since when the wait cannot be estimated.
    now_ms : float
    rng : random.Random

    Returns
    -------
    Refused or None
        None if it will be ready in time, or has not waited too long.
    """
    if found.reason == "no-backend":
        return Refused(
            503, "no_backend", "no backend server", clamp_retry_after_ms(None)
        )
    if found.reason == PAUSED:
        # Callers that were refused together should not come back together.
        spread = 1 + PAUSE_SPREAD * rng.random()
        return Refused(
            503,
            "backend_paused",
            "backend servers want no requests now",
            found.wait_ms * spread,
        )
    if found.reason == IN_ORDER:
        return None
    if found.reason == BUSY:
        if now_ms + (expected_ms or 0.0) <= request.latest_start_ms:
            return None
        return Refused(
            503,
            "busy",
            "backend servers are full, and too many requests wait for them",
            busy_retry_after_ms(request, expected_ms or 0.0, now_ms, rng),
        )
    is_late = now_ms + (expected_ms or 0.0) > request.start_deadline_ms
    if found.limited is not None:
        if not is_late:
            return None
        return Refused(
            503,
            "backend_limited",
            "backend servers take no more requests now",
            clamp_retry_after_ms(found.retry_after_ms),
        )
    if expected_ms is None:
        # An engine or an adapter slot may become free soon.
        if now_ms - unknown_since_ms <= unknown_limit_ms(request.route):
            return None
        return Refused(
            503,
            f"{found.reason}_missing",
            "no replica holds what was asked for",
            clamp_retry_after_ms(request.route.objective_ms),
        )
    if not is_late:
        return None
    return Refused(
        503,
        f"{found.reason}_loading",
        "what was asked for is not loaded yet",
        clamp_retry_after_ms(expected_ms),
    )


def busy_retry_after_ms(request, expected_ms, now_ms, rng):
    """Return when the caller of a request that found too long a queue comes back.

    The queue is short enough for it once it has lost what exceeds the time that the
    request could wait. The time is random between then and the longest that the caller
    accepts, so that requests refused together don't come back together.
    """
    longest_ms = clamp_retry_after_ms(
        RETRY_AFTER_FRACTION * (request.deadline_ms - now_ms)
    )
    patience_ms = max(0.0, request.start_deadline_ms - now_ms)
    earliest_ms = max(MIN_RETRY_AFTER_MS, expected_ms - patience_ms)
    earliest_ms = min(earliest_ms, longest_ms / 2)
    return earliest_ms + rng.random() * (longest_ms - earliest_ms)
