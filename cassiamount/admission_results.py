"""Results of offering a request to the admission queue."""

from .requests import Refusal

# A caller that retries sooner would find the queue unchanged.
RETRY_AFTER_MIN_S = 0.1


class Queued:
    """The request was queued.

    Parameters
    ----------
    wait_ms : float
        Estimated waiting time.
    displaced : tuple of (RequestInfo, Refusal)
        Requests that were removed from the full queue to make room. Whoever offered
        the request must send these refusals.
    """

    __slots__ = ("wait_ms", "displaced")

    def __init__(self, wait_ms, displaced=()):
        self.wait_ms = wait_ms
        self.displaced = tuple(displaced)


class Refused:
    """The request was refused.

    Parameters
    ----------
    refusal : Refusal
    """

    __slots__ = ("refusal",)

    def __init__(self, refusal):
        self.refusal = refusal


def full_refusal(wait_ms):
    """Return the refusal of a request that finds the queue full."""
    return Refusal(
        429,
        "queue_full",
        "too many requests are waiting",
        retry_after_s=max(RETRY_AFTER_MIN_S, wait_ms / 1000),
    )


def deadline_refusal(wait_ms):
    """Return the refusal of a request whose estimated wait exceeds its deadline."""
    return Refusal(
        503,
        "deadline_cannot_be_met",
        "the estimated waiting time is past the request's deadline",
        retry_after_s=max(RETRY_AFTER_MIN_S, wait_ms / 1000),
    )
