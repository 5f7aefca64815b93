"""Which VM may give orders to engines, and for how long."""

# Lease asked from the store, and the interval of its renewals.
LEASE_MS = 1_500.0
RENEW_INTERVAL_MS = 500.0
# An order is sent only if the lease has this long to go.
LEASE_MARGIN_MS = 350.0
# Without the store a holder goes on while it hears this share of the other VMs.
QUORUM_FRACTION = 0.5


class PeerSummary:
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
        "_cooldown_ms",
        "_expires_ms",
        "_cooldown_until_ms",
        "_fenced_generation",
        "_granted",
        "_active",
        "_last_answer_ms",
    )

    def __init__(self, cooldown_ms, now_ms):
        self.generation = 0
        self._cooldown_ms = cooldown_ms
        self._expires_ms = None
        self._cooldown_until_ms = now_ms
        self._fenced_generation = -1
        self._granted = False
        self._active = False
        self._last_answer_ms = None

    def on_answer(self, answer, sent_ms, now_ms):
        """Take the store's answer to a renewal that was sent at `sent_ms`.

        Returns
        -------
        bool
            Whether the holder changed.
        """
        before = self._granted
        self.generation = max(self.generation, answer.generation)
        self._granted = answer.holds
        self._last_answer_ms = sent_ms
        if answer.holds:
            self._expires_ms = sent_ms + LEASE_MS
        else:
            self._deactivate(now_ms)
        return before != answer.holds

    def on_fenced(self, fence, now_ms):
        """Stop until a higher generation: an engine has seen a later holder."""
        self._fenced_generation = max(self._fenced_generation, fence)
        self._deactivate(now_ms)

    def release(self, now_ms):
        """Stop at once."""
        self._granted = False
        self._deactivate(now_ms)

    @property
    def active(self):
        """Whether this VM was allowed to order when that was last decided."""
        return self._active

    def may_order(self, now_ms, peers):
        """Decide whether an order may be sent now.

        Parameters
        ----------
        now_ms : float
        surroundings : Surroundings
        """
        allowed = (
            self._granted
            and now_ms >= self._cooldown_until_ms
            and self.generation > self._fenced_generation
            and peers.fence <= self.generation
        )
        if allowed and not self._active:
            # Somebody else still gives orders, under an older token.
            allowed = peers.fence == 0 and self._lease_valid(now_ms)
        elif allowed:
            allowed = self._lease_valid(now_ms) or self._hears_quorum(peers)
        if allowed:
            self._active = True
        else:
            self._deactivate(now_ms)
        return allowed

    def _lease_valid(self, now_ms):
        return (
            self._expires_ms is not None and now_ms < self._expires_ms - LEASE_MARGIN_MS
        )

    def _hears_quorum(self, peers):
        if not peers.known:
            return False
        return peers.heard >= QUORUM_FRACTION * peers.known

    def _deactivate(self, now_ms):
        if self._active:
            self._active = False
            self._cooldown_until_ms = max(
                self._cooldown_until_ms, now_ms + self._cooldown_ms
            )
