"""Which VM may give orders to engines, and for how long."""

# Lease asked from the store, and the interval of its renewals.
LEASE_MS = 1_500.0
RENEW_MS = 500.0
# An order is sent only if the lease has this long to go.
ORDER_MARGIN_MS = 350.0
# Without the store a holder goes on while it hears this share of the other VMs.
HEARD_SHARE = 0.5


class Surroundings:
    """What a VM hears of the others, as far as the lease depends on it.

    Parameters
    ----------
    heard, known : int
        Other VMs that are heard, and that exist.
    fence : int
        Highest fencing token under which a heard VM gives orders; 0 if none does.
    """

    __slots__ = ("heard", "known", "fence")

    def __init__(self, heard, known, fence):
        self.heard = heard
        self.known = known
        self.fence = fence


class OrderLease:
    """One VM's part in the lease that allows orders.

    All times are of a clock that runs on while the machine is suspended. A lease counts
    from when its renewal was sent. Engines refuse orders with a lower fencing token
    than they have seen, so two rules can keep orders going without a gap:

    - a holder that the store no longer answers goes on while it hears the other VMs
      and none of them acts with a higher token;
    - a VM that the store makes the holder waits while another one still acts.

    Parameters
    ----------
    turn_ms : float
        A holder that stopped does not act again within this time.
    now_ms : float
    """

    __slots__ = (
        "generation",
        "_turn_ms",
        "_until_ms",
        "_acts_from_ms",
        "_fenced_at",
        "_held",
        "_acting",
        "_last_answer_ms",
    )

    def __init__(self, turn_ms, now_ms):
        self.generation = 0
        self._turn_ms = turn_ms
        self._until_ms = None
        self._acts_from_ms = now_ms
        self._fenced_at = -1
        self._held = False
        self._acting = False
        self._last_answer_ms = None

    def on_answer(self, answer, sent_ms, now_ms):
        """Take the store's answer to a renewal that was sent at `sent_ms`.

        Returns
        -------
        bool
            Whether the holder changed.
        """
        before = self._held
        self.generation = max(self.generation, answer.generation)
        self._held = answer.holds
        self._last_answer_ms = sent_ms
        if answer.holds:
            self._until_ms = sent_ms + LEASE_MS
        else:
            self._stop(now_ms)
        return before != answer.holds

    def on_fenced(self, fence, now_ms):
        """Stop until a higher generation: an engine has seen a later holder."""
        self._fenced_at = max(self._fenced_at, fence)
        self._stop(now_ms)

    def release(self, now_ms):
        """Stop at once."""
        self._held = False
        self._stop(now_ms)

    @property
    def acting(self):
        """Whether this VM was allowed to order when that was last decided."""
        return self._acting

    def may_order(self, now_ms, surroundings):
        """Decide whether an order may be sent now.

        Parameters
        ----------
        now_ms : float
        surroundings : Surroundings
        """
        allowed = (
            self._held
            and now_ms >= self._acts_from_ms
            and self.generation > self._fenced_at
            and surroundings.fence <= self.generation
        )
        if allowed and not self._acting:
            # Somebody else still gives orders, under an older token.
            allowed = surroundings.fence == 0 and self._lease_runs(now_ms)
        elif allowed:
            allowed = self._lease_runs(now_ms) or self._goes_on(surroundings)
        if allowed:
            self._acting = True
        else:
            self._stop(now_ms)
        return allowed

    def _lease_runs(self, now_ms):
        return self._until_ms is not None and now_ms < self._until_ms - ORDER_MARGIN_MS

    def _goes_on(self, surroundings):
        if not surroundings.known:
            return False
        return surroundings.heard >= HEARD_SHARE * surroundings.known

    def _stop(self, now_ms):
        if self._acting:
            self._acting = False
            self._acts_from_ms = max(self._acts_from_ms, now_ms + self._turn_ms)
