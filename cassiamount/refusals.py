"""Error responses that the dispatcher returns for refused requests."""

import math

from .requests import Refusal

QUEUE_FULL_RETRY_AFTER_S = 1
NO_REPLICA_RETRY_AFTER_S = 2
OWNER_UNKNOWN_RETRY_AFTER_S = 1


def queue_full():
    """Refuse because too many requests are queued on this VM."""
    return Refusal(
        429,
        "queue_full",
        "too many requests are queued",
        True,
        QUEUE_FULL_RETRY_AFTER_S,
    )


def deadline_passed():
    """Refuse a queued request that no backend server could take in time."""
    return Refusal(
        503,
        "deadline_cannot_be_met",
        "no backend server was free before the request's deadline",
        True,
        NO_REPLICA_RETRY_AFTER_S,
    )


def rate_exceeded(retry_after_ms):
    """Refuse because the team's rate and burst are used up."""
    return Refusal(
        429,
        "rate_exceeded",
        "the team's token rate is used up",
        True,
        max(1, math.ceil(retry_after_ms / 1000)),
    )


def budget_unavailable():
    """Refuse because no owner of the team's budget can be reached."""
    return Refusal(
        503,
        "not_run",
        "the team's token budget cannot be reached at the moment",
        True,
        OWNER_UNKNOWN_RETRY_AFTER_S,
    )


def exceeds_burst(cost_tokens, burst_limit_tokens):
    """Refuse a request that can never get enough tokens at once."""
    return Refusal(
        400,
        "exceeds_burst",
        f"the request may need {cost_tokens} tokens; the team's burst gives one "
        f"request at most {burst_limit_tokens}; lower max_tokens or shorten the prompt",
    )


def invalid_key():
    """Refuse because the key is unknown or was withdrawn."""
    return Refusal(401, "invalid_key", "the key is not valid")


def no_replica(not_run):
    """Refuse because no backend server can take the request.

    Parameters
    ----------
    not_run : bool
        Whether no earlier attempt was accepted.
    """
    if not_run:
        return Refusal(
            503,
            "not_run",
            "no backend server can take the request at the moment",
            True,
            NO_REPLICA_RETRY_AFTER_S,
        )
    return Refusal(
        502,
        "outcome_unknown",
        "the backend server failed and no other one can go on with the request",
        False,
        NO_REPLICA_RETRY_AFTER_S,
    )
