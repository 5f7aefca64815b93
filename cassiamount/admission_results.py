"""What the admission queue says about a request that arrives."""

from .requests import Refusal

# Callers that retry sooner would only find the same queue.
RETRY_AFTER_MIN_S = 0.1


class Queued:
    """The request waits.

    Parameters
    ----------
    wait_ms : float
        Estimated waiting time.
    displaced : tuple of (RequestInfo, Refusal)
        Requests of a team with a longer queue that had to make room; the caller
        sends them their refusals.
    """

    __slots__ = ("wait_ms", "displaced")

    def __init__(self, wait_ms, displaced=()):
        self.wait_ms = wait_ms
        self.displaced = tuple(displaced)


class Refused:
    """The request is refused now.

    Parameters
    ----------
    refusal : Refusal
    """

    __slots__ = ("refusal",)

    def __init__(self, refusal):
        self.refusal = refusal


def full_refusal(wait_ms):
    """Refuse because too many requests wait."""
    return Refusal(
        429,
        "queue_full",
        "too many requests are waiting",
        retry_after_s=max(RETRY_AFTER_MIN_S, wait_ms / 1000),
    )


def deadline_refusal(wait_ms):
    """Refuse because the estimated wait is too long."""
    return Refusal(
        503,
        "deadline_cannot_be_met",
        "the estimated waiting time is past the request's deadline",
        retry_after_s=max(RETRY_AFTER_MIN_S, wait_ms / 1000),
    )
