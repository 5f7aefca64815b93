"""Which VM may give orders to engines, and for how long."""

# Lease asked from the store, and the interval of its renewals.
LEASE_MS = 3_000.0
RENEW_MS = 900.0
# An order is sent only if the lease has this long to go.
ORDER_MARGIN_MS = 350.0


class OrderLease:
    """One VM's part in the lease that allows orders.

    All times are of a clock that runs on while the machine is suspended. The lease
    counts from when its renewal was sent. A new holder waits until the one before can
    no longer act, and a holder that an engine refused for a higher fence stops.

    Parameters
    ----------
    turn_ms : float
        Two holders must not act within this time.
    first_start : bool
        Whether no VM can have held the lease before.
    now_ms : float
    """

    __slots__ = (
        "generation",
        "_turn_ms",
        "_until_ms",
        "_acts_from_ms",
        "_fenced_at",
        "_first_start",
        "_held",
        "_started_ms",
    )

    def __init__(self, turn_ms, first_start, now_ms):
        self.generation = 0
        self._turn_ms = turn_ms
        self._until_ms = None
        self._acts_from_ms = now_ms
        self._fenced_at = -1
        self._first_start = first_start
        self._held = False
        self._started_ms = now_ms

    def on_answer(self, answer, sent_ms, now_ms):
        """Take the store's answer to a renewal that was sent at `sent_ms`.

        Returns
        -------
        bool
            Whether the holder changed.
        """
        held = self._held and self._until_ms is not None and now_ms < self._until_ms
        first = self._first_start and self.generation == 0
        self.generation = max(self.generation, answer.generation)
        self._held = answer.holds
        if not answer.holds:
            self._until_ms = None
            return held
        self._until_ms = sent_ms + LEASE_MS
        if held:
            return False
        self._acts_from_ms = now_ms if first else now_ms + self._turn_ms
        return True

    def on_fenced(self, fence):
        """Stop until a higher generation: an engine has seen a later holder."""
        self._fenced_at = max(self._fenced_at, fence)

    def release(self):
        """Stop at once."""
        self._held = False
        self._until_ms = None

    def holds(self, now_ms):
        """Return whether this VM holds the lease, even if it may not act yet."""
        return self._held and self._until_ms is not None and now_ms < self._until_ms

    def may_order(self, now_ms):
        """Return whether an order may be sent now."""
        return (
            self._held
            and self._until_ms is not None
            and now_ms < self._until_ms - ORDER_MARGIN_MS
            and now_ms >= self._acts_from_ms
            and self.generation > self._fenced_at
        )
