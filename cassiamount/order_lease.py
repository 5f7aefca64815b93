"""Lease that allows one VM at a time to send orders to engines."""

# Duration of the lease requested from the store, and the interval of its renewals.
LEASE_MS = 1_500.0
RENEW_INTERVAL_MS = 500.0
# Minimum remaining time of the lease for an order to be sent.
LEASE_MARGIN_MS = 350.0
# VMs that ask the store for the lease at the same time; the others only follow.
LEASE_CANDIDATES = 4
# While the store is unreachable, an active holder needs reports from this fraction of
# the other VMs.
QUORUM_FRACTION = 0.5


class PeerSummary:
    """What the reports of the other VMs say about the lease.

    Parameters
    ----------
    heard, known : int
        Number of other VMs with a recent report, and of all that are known.
    fence : int
        Highest fencing token under which one of the heard VMs sends orders; 0 if none
        does.
    """

    __slots__ = ("heard", "known", "fence")

    def __init__(self, heard, known, fence):
        self.heard = heard
        self.known = known
        self.fence = fence


class OrderLease:
    """One VM's view of the lease for sending orders to engines.

    All times are of a clock that runs on while the machine is suspended. A lease starts
    when its renewal is sent. Engines refuse orders with a lower fencing token than they
    have seen, which makes it safe to keep orders possible without a gap by two rules:

    - an active holder that cannot renew the lease, because the store is unreachable,
      stays active while it hears enough other VMs and none of them sends orders under
      a higher token;
    - a VM that the store has made the holder stays inactive while another VM still
      sends orders.

    Parameters
    ----------
    cooldown_ms : float
        Minimum time before a VM that stopped sending orders may start again, so that
        the role does not move back and forth.
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
        """Process the store's answer to a renewal that was sent at `sent_ms`.

        Returns
        -------
        bool
            Whether this VM became or ceased to be the holder.
        """
        before = self._granted
        if answer.generation < self.generation:
            # The store has lost what this answer says.
            return False
        self.generation = answer.generation
        self._granted = answer.is_holder
        self._last_answer_ms = sent_ms
        if answer.is_holder:
            self._expires_ms = sent_ms + LEASE_MS
        else:
            self._deactivate(now_ms)
        return before != answer.is_holder

    def on_fenced(self, fence, now_ms):
        """Stop until the generation is higher; an engine has seen a later holder's."""
        self._fenced_generation = max(self._fenced_generation, fence)
        self._deactivate(now_ms)

    def release(self, now_ms):
        """Stop sending orders at once."""
        self._granted = False
        self._deactivate(now_ms)

    @property
    def granted(self):
        """Whether the store has given this VM the lease."""
        return self._granted

    @property
    def active(self):
        """Whether the last decision of `may_order` allowed orders."""
        return self._active

    def may_order(self, now_ms, peers):
        """Decide whether an order may be sent now.

        Parameters
        ----------
        now_ms : float
        peers : PeerSummary
        """
        allowed = (
            self._granted
            and now_ms >= self._cooldown_until_ms
            and self.generation > self._fenced_generation
            and peers.fence <= self.generation
        )
        if allowed and not self._active:
            # A VM with an older token may still send orders; it must stop first.
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
