"""Retry budget and backoff of requests."""

# Retries may add 10 % to the traffic; more could prolong an outage.
RETRY_RATIO = 0.1
# Initial budget; without it a VM with little traffic could not retry at all.
INITIAL_RETRIES = 3.0
# Upper limit of the budget, so that unused retries do not add up to a large burst.
MAX_SAVED_RETRIES = 100.0
BASE_BACKOFF_MS = 25.0
MAX_BACKOFF_MS = 1_000.0


class RetryBudget:
    """Limits retries to a fraction of the requests.

    Parameters
    ----------
    ratio : float
        Retries added to the budget by each first attempt.
    initial, limit : float
        Retries available at the start, and the upper limit.
    """

    __slots__ = ("ratio", "limit", "available", "refused")

    def __init__(
        self, ratio=RETRY_RATIO, initial=INITIAL_RETRIES, limit=MAX_SAVED_RETRIES
    ):
        self.ratio = ratio
        self.limit = limit
        self.available = initial
        self.refused = 0

    def record_request(self):
        """Count a first attempt, which adds `ratio` retries to the budget."""
        self.available = min(self.limit, self.available + self.ratio)

    def try_acquire(self):
        """Spend one retry; return False if the budget is empty."""
        if self.available < 1.0:
            self.refused += 1
            return False
        self.available -= 1.0
        return True


def backoff_ms(attempt, rng):
    """Return the delay before a retry: exponential backoff with full jitter.

    Parameters
    ----------
    attempt : int
        Number of the attempt that failed, from 1.
    rng : random.Random
        The delay is uniform between 0 and the exponential bound, so that requests
        that failed together are not retried together.
    """
    bound_ms = min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** min(attempt - 1, 10))
    return rng.random() * bound_ms
