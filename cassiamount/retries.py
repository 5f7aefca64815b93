"""Limits on how often and how soon requests are sent again."""

# Retries may add a tenth to the traffic, so that an outage is not made worse by them.
RETRY_RATIO = 0.1
# Retries that are possible without any recent traffic; a VM that serves few requests
# could otherwise never retry.
INITIAL_RETRIES = 3.0
# Retries saved up at most; a quiet hour must not pay for a burst of them.
MAX_SAVED_RETRIES = 100.0
BASE_BACKOFF_MS = 25.0
MAX_BACKOFF_MS = 1_000.0


class RetryBudget:
    """Allows one retry for every ten requests.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    initial, limit : float
        Retries available at the start and at most.
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
        """Note a first attempt."""
        self.available = min(self.limit, self.available + self.ratio)

    def try_acquire(self):
        """Use one retry; return False if the budget is spent."""
        if self.available < 1.0:
            self.refused += 1
            return False
        self.available -= 1.0
        return True


def backoff_ms(attempt, rng):
    """Return the pause before a retry.

    Parameters
    ----------
    attempt : int
        Number of the attempt that failed, from 1.
    rng : random.Random
        Full jitter: the pause is uniform between 0 and the exponential bound, so that
        requests that failed together do not return together.
    """
    bound_ms = min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** min(attempt - 1, 10))
    return rng.random() * bound_ms
