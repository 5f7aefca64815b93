"""Rules by which a VM claims, renews, extends and releases a lease."""

from .lease_commands import (
    AppendClaim,
    AppendRenewal,
    LeaseLost,
    PromiseReply,
    RequestPromises,
)
from .records import ClaimLease, ReleaseLease, RenewLease
from .timing import (
    EXTENSION_LIMIT_MS,
    LEASE_MS,
    ORPHAN_TIMEOUT_MS,
    SERVER_SHUTDOWN_MS,
    at_least_ms,
    at_most_ms,
)

RENEW_INTERVAL_MS = LEASE_MS / 4
# A holder whose last renewal is older than this asks the other members to promise not
# to claim the lease; with all their promises it can go on without the log.
EXTEND_AFTER_MS = LEASE_MS / 2
# A VM that has reached the log within this time makes no promise: the log is up then,
# and a holder that cannot reach it must lose the lease.
MIN_LOG_OUTAGE_MS = 1_000
# Delay between the claims of VMs of consecutive rank, so that they do not all append a
# claim when a lease becomes free.
CLAIM_STAGGER_MS = 100


class _PendingRecord:
    """A record that was sent to the log and whose outcome is not known yet.

    The same record is sent again until its outcome is known. `maybe_in_log` becomes
    True when an append fails without showing whether the log stored the record.
    """

    __slots__ = ("record", "first_sent_ms", "last_sent_ms", "maybe_in_log")

    def __init__(self, record, now_ms):
        self.record = record
        self.first_sent_ms = now_ms
        self.last_sent_ms = now_ms
        self.maybe_in_log = False


class LeaseCandidate:
    """Decides when a VM may claim a lease and whether it may promise not to.

    The object must outlive the tasks of its VM, because a restarted task has to
    respect the promises that the VM made and the claims that may still reach the log.

    Parameters
    ----------
    vm : str
        Identity of this VM.
    lease : str
    new_id : callable
        Returns a unique record id.
    address : str
        Where this VM answers requests for promises; its server must listen there
        before the first call of `observe`.
    """

    def __init__(self, vm, lease, new_id, address=""):
        self.vm = vm
        self.lease = lease
        self._address = address
        self.promised_until_ms = float("-inf")
        self._new_id = new_id
        self._state = None
        # Fence, seen offset and released flag of the state that was read last.
        self._version = None
        self._version_read_ms = None
        self._pending = None
        self._next_claim_ms = float("-inf")
        self._refused_ms = {}

    @property
    def claim_pending(self):
        """Whether a claim of this VM may still arrive in the log."""
        return self._pending is not None

    def observe(self, state, now_ms):
        """Update from the state of the lease that this VM has read from the log.

        Parameters
        ----------
        state : Lease or None
            None if the lease was never claimed.
        now_ms : float

        Returns
        -------
        float or None
            If a claim of this VM was accepted, the time at which it was first sent.
        """
        version = (0, 0, False)
        if state is not None:
            version = (state.fence, state.seen_offset, state.released)
        if version != self._version:
            self._version_read_ms = now_ms
            self._version = version
        self._state = state
        return self._resolve(state)

    def _resolve(self, state):
        if self._pending is None or state is None:
            return None
        claim = self._pending.record
        if (
            state.fence == claim.previous_fence
            and state.seen_offset == claim.seen_offset
        ):
            return None
        # The lease has changed since the claim was made, so the claim was either
        # accepted or will be rejected whenever it arrives.
        sent_ms = self._pending.first_sent_ms
        self._pending = None
        won = state.holder == self.vm and state.fence > claim.previous_fence
        return sent_ms if won else None

    def addresses_to_check(self):
        """Return the addresses whose VMs may have promised not to claim the lease.

        If one address of each roster refuses connections, the holder can extend the
        lease no more, and this VM can claim it before the orphan timeout.

        Returns
        -------
        frozenset of str
            Empty if this VM need not wait for the orphan timeout.
        """
        state = self._state
        if state is None or state.released or state.holder == self.vm:
            return frozenset()
        if state.may_claim(self.vm, self._address):
            return frozenset()
        return (state.addresses | state.previous_addresses) - self._refused_ms.keys()

    def on_connection_refused(self, address, now_ms):
        """Record that a member's address refused a connection."""
        self._refused_ms.setdefault(address, now_ms)

    def claim(self, now_ms, rank=0):
        """Return the command to claim the lease if a claim is due.

        Parameters
        ----------
        now_ms : float
        rank : int
            Order in which the VMs of the zone try to claim the lease; 0 is first.

        Returns
        -------
        AppendClaim or None
        """
        if self._version is None or now_ms < self.promised_until_ms:
            return None
        if self._pending is not None:
            if now_ms < self._pending.last_sent_ms + RENEW_INTERVAL_MS:
                return None
            self._pending.last_sent_ms = now_ms
            return AppendClaim(self._pending.record)
        wait_ms = rank * CLAIM_STAGGER_MS
        orphaned = False
        due_ms = self._version_read_ms + wait_ms
        if self._state is not None and not self._state.released:
            due_ms += at_least_ms(LEASE_MS)
            if not self._state.may_claim(self.vm, self._address):
                orphaned = True
                due_ms = max(due_ms, self._orphan_claim_due_ms() + wait_ms)
        if now_ms < max(due_ms, self._next_claim_ms):
            return None
        fence, seen_offset, _ = self._version
        record = ClaimLease(
            self._new_id(), self.vm, self.lease, fence, seen_offset, orphaned
        )
        self._pending = _PendingRecord(record, now_ms)
        return AppendClaim(record)

    def _orphan_claim_due_ms(self):
        blocked_since_ms = self._state.extension_blocked_since_ms(self._refused_ms)
        if blocked_since_ms is None:
            return self._version_read_ms + ORPHAN_TIMEOUT_MS
        return blocked_since_ms + at_least_ms(SERVER_SHUTDOWN_MS + LEASE_MS)

    def on_claim_failed(self, record, maybe_in_log):
        """Record that appending a claim failed.

        Parameters
        ----------
        record : ClaimLease
        maybe_in_log : bool
            False if the log certainly did not store the record in this attempt. It
            may have stored it in an earlier one.
        """
        pending = self._pending
        if pending is None or pending.record is not record:
            return
        pending.maybe_in_log = pending.maybe_in_log or maybe_in_log
        if not pending.maybe_in_log:
            self._next_claim_ms = pending.last_sent_ms + RENEW_INTERVAL_MS
            self._pending = None

    def on_claim_read(self, id):
        """Record that a claim of this VM was read from the log, accepted or not.

        Readers of the log skip repeated records, so no later copy can be accepted.
        """
        if self._pending is not None and self._pending.record.id == id:
            self._pending = None

    def promise(self, holder, promiser, fence, duration_ms, now_ms, log_reached_ms):
        """Promise a holder not to claim the lease for a time, or refuse.

        Parameters
        ----------
        holder, promiser : str
            Identities of the VM that asks and of the VM that it intends to reach.
        fence : int
        duration_ms : float
        now_ms : float
        log_reached_ms : float
            Last time at which this VM reached the log.

        Returns
        -------
        PromiseReply
        """
        if promiser != self.vm:
            return PromiseReply(False, "another incarnation was asked")
        if holder == self.vm:
            return PromiseReply(False, "a holder does not promise to itself")
        if not 0 < duration_ms <= LEASE_MS:
            return PromiseReply(False, "the duration is out of range")
        if now_ms - log_reached_ms < MIN_LOG_OUTAGE_MS:
            return PromiseReply(False, "the log can be reached")
        if self._version is None:
            return PromiseReply(False, "the zone's state was not read yet")
        known_fence, _, released = self._version
        if known_fence > fence or (known_fence == fence and released):
            return PromiseReply(False, "a newer state of the lease is known")
        if known_fence == fence and self._state.holder != holder:
            return PromiseReply(False, "another VM holds the lease")
        if self._pending is not None:
            return PromiseReply(False, "a claim may still arrive in the log")
        until_ms = now_ms + at_least_ms(duration_ms)
        self.promised_until_ms = max(self.promised_until_ms, until_ms)
        return PromiseReply(True)


class LeaseHolder:
    """Decides how long a VM may use a lease that it claimed.

    Parameters
    ----------
    vm : str
        Identity of this VM.
    lease : str
    fence : int
    sent_ms : float
        Time at which the claim was first sent; the lease runs from then on.
    new_id : callable
        Returns a unique record id.
    extendable : bool
        Whether the promises of the other members can extend the lease.
    """

    def __init__(self, vm, lease, fence, sent_ms, new_id, extendable):
        self.vm = vm
        self.lease = lease
        self.fence = fence
        self.deadline_ms = sent_ms + at_most_ms(LEASE_MS)
        self.stopped = False
        self._renewed_ms = sent_ms
        self._extendable = extendable
        self._new_id = new_id
        self._seen_offset = fence
        self._roster = frozenset()
        self._pending = None
        self._next_renewal_ms = sent_ms + RENEW_INTERVAL_MS
        self._round_number = 0
        self._round_started_ms = None
        self._missing_promises = set()

    def may_use(self, now_ms, promised_until_ms=float("-inf")):
        """Whether this VM may act as the holder of the lease now.

        Parameters
        ----------
        now_ms : float
        promised_until_ms : float
            End of the promise that this VM itself made to another holder.
        """
        return (
            not self.stopped
            and now_ms < self.deadline_ms
            and now_ms >= promised_until_ms
        )

    @property
    def extended(self):
        """Whether the current deadline comes from promises and not from a renewal."""
        return self.deadline_ms > self._renewed_ms + at_most_ms(LEASE_MS)

    def observe(self, state):
        """Update from the state of the lease that this VM has read from the log.

        Returns
        -------
        LeaseLost or None
        """
        if self.stopped:
            return None
        if state is None or state.fence != self.fence or state.holder != self.vm:
            return self._stop("another VM claimed the lease")
        if state.released:
            return self._stop("the lease was released")
        self._roster = state.roster
        if state.seen_offset > self._seen_offset:
            self._seen_offset = state.seen_offset
            if self._pending is not None:
                # At most one renewal is pending, so it is the one that was read.
                self._renewed_ms = self._pending.first_sent_ms
                self._next_renewal_ms = self._renewed_ms + RENEW_INTERVAL_MS
                self._pending = None
                deadline_ms = self._renewed_ms + at_most_ms(LEASE_MS)
                self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return None

    def renew(self, now_ms):
        """Return the command to renew the lease if a renewal is due.

        Returns
        -------
        AppendRenewal or None
        """
        if self.stopped:
            return None
        if self._pending is not None:
            if now_ms < self._pending.last_sent_ms + RENEW_INTERVAL_MS:
                return None
            self._pending.last_sent_ms = now_ms
            return AppendRenewal(self._pending.record)
        if now_ms < self._next_renewal_ms:
            return None
        record = RenewLease(self._new_id(), self.vm, self.lease, self.fence)
        self._pending = _PendingRecord(record, now_ms)
        return AppendRenewal(record)

    def on_renewal_failed(self, record, maybe_in_log):
        """Record that appending a renewal failed.

        Parameters
        ----------
        record : RenewLease
        maybe_in_log : bool
            False if the log certainly did not store the record in this attempt. It
            may have stored it in an earlier one.
        """
        pending = self._pending
        if pending is None or pending.record is not record:
            return
        pending.maybe_in_log = pending.maybe_in_log or maybe_in_log
        if not pending.maybe_in_log:
            # The renewal is not in the log, so the next one is a new record, and the
            # lease runs from the time at which that one is sent.
            self._next_renewal_ms = pending.last_sent_ms + RENEW_INTERVAL_MS
            self._pending = None

    def request_promises(self, now_ms):
        """Return the command to request promises if a request is due.

        Returns
        -------
        RequestPromises or None
        """
        if self.stopped or not self._extendable:
            return None
        if now_ms < self._renewed_ms + EXTEND_AFTER_MS:
            return None
        limit_ms = self._renewed_ms + at_most_ms(EXTENSION_LIMIT_MS)
        promisers = tuple(sorted(self._roster - {self.vm}))
        if now_ms >= limit_ms or not promisers:
            return None
        if (
            self._round_started_ms is not None
            and now_ms < self._round_started_ms + RENEW_INTERVAL_MS
        ):
            return None
        self._round_started_ms = now_ms
        self._round_number += 1
        self._missing_promises = set(promisers)
        return RequestPromises(
            self._round_number, self.vm, promisers, self.lease, self.fence, LEASE_MS
        )

    def on_promise_reply(self, round_number, promiser, promised):
        """Record one VM's reply, and extend the lease once every member promised.

        Replies to an earlier round are ignored: the extension runs from the time at
        which the requests of the current round were sent.
        """
        if self.stopped or round_number != self._round_number or not promised:
            return
        if promiser not in self._missing_promises:
            return
        self._missing_promises.discard(promiser)
        if not self._missing_promises:
            deadline_ms = self._round_started_ms + at_most_ms(LEASE_MS)
            limit_ms = self._renewed_ms + at_most_ms(EXTENSION_LIMIT_MS)
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def release(self, note):
        """Stop using the lease and return the record that releases it.

        Returns
        -------
        ReleaseLease
        """
        self._stop("released")
        return ReleaseLease(self._new_id(), self.vm, self.lease, self.fence, note)

    def _stop(self, reason):
        self.stopped = True
        return LeaseLost(self.lease, reason)
