"""Timing of leases: claims, renewals, and extension by promises in a log outage."""

from .lease_commands import (
    AppendClaim,
    AppendRenewal,
    AskPromises,
    PromiseAnswer,
    Stop,
)
from .records import ClaimLease, ReleaseLease, RenewLease
from .timing import (
    ENDING_MS,
    EXTENSION_LIMIT_MS,
    LEASE_MS,
    ORPHAN_MS,
    at_least_ms,
    at_most_ms,
)

RENEW_INTERVAL_MS = LEASE_MS / 4
# A holder asks for promises if its last renewal is older than this.
EXTEND_AFTER_MS = LEASE_MS / 2
# A VM that reached the log more recently does not promise: then the log is up and a
# holder that cannot reach it is cut off by itself.
LOG_SILENCE_MS = 1_000
# Distance between the claims of VMs that see the same free lease.
CLAIM_STAGGER_MS = 100


class _Unresolved:
    """A record that was sent and may be in the log."""

    __slots__ = ("record", "first_sent_ms", "last_sent_ms", "maybe_in_log")

    def __init__(self, record, now_ms):
        self.record = record
        self.first_sent_ms = now_ms
        self.last_sent_ms = now_ms
        self.maybe_in_log = False


class LeaseWatcher:
    """Decides when a VM may claim a lease and whether it may promise not to.

    The object must outlive the tasks of its VM: it knows the promises that the VM
    gave and the claims that may still arrive in the log.

    Parameters
    ----------
    vm : str
        Identity of this VM.
    lease : str
    new_id : callable
        Returns a unique record id.
    address : str
        Where this VM answers requests for promises; it must do so before the first
        `observe`.
    """

    def __init__(self, vm, lease, new_id, address=""):
        self.vm = vm
        self.lease = lease
        self._address = address
        self.promised_until_ms = float("-inf")
        self._new_id = new_id
        self._state = None
        self._position = None
        self._read_ms = None
        self._unresolved = None
        self._not_before_ms = float("-inf")
        self._closed_ms = {}

    @property
    def claim_unresolved(self):
        """Whether a claim of this VM may still arrive in the log."""
        return self._unresolved is not None

    def observe(self, state, now_ms):
        """Take note of the lease as the zone's fold shows it now.

        Parameters
        ----------
        state : Lease or None
            None if the lease was never claimed.
        now_ms : float

        Returns
        -------
        float or None
            If a claim of this VM was accepted: when its first copy was sent.
        """
        position = (0, 0, False)
        if state is not None:
            position = (state.fence, state.seen_offset, state.released)
        if position != self._position:
            self._read_ms = now_ms
            self._position = position
        self._state = state
        return self._resolve(state)

    def _resolve(self, state):
        if self._unresolved is None or state is None:
            return None
        claim = self._unresolved.record
        if (
            state.fence == claim.previous_fence
            and state.seen_offset == claim.seen_offset
        ):
            return None
        # The claim was accepted, or can never be.
        sent_ms = self._unresolved.first_sent_ms
        self._unresolved = None
        won = state.holder == self.vm and state.fence > claim.previous_fence
        return sent_ms if won else None

    def addresses_to_try(self):
        """Return the addresses of which one that is closed would end the wait.

        Returns
        -------
        frozenset of str
            Empty if this VM need not wait for the orphan time.
        """
        state = self._state
        if state is None or state.released or state.holder == self.vm:
            return frozenset()
        if state.may_claim(self.vm, self._address):
            return frozenset()
        return (state.addresses | state.previous_addresses) - self._closed_ms.keys()

    def on_closed(self, address, now_ms):
        """Take note that an address of a roster refused a connection."""
        self._closed_ms.setdefault(address, now_ms)

    def claim(self, now_ms, rank=0):
        """Return the command to claim the lease if that is due.

        Parameters
        ----------
        now_ms : float
        rank : int
            Place of this VM among those that would claim.

        Returns
        -------
        AppendClaim or None
        """
        if self._position is None or now_ms < self.promised_until_ms:
            return None
        if self._unresolved is not None:
            if now_ms < self._unresolved.last_sent_ms + RENEW_INTERVAL_MS:
                return None
            self._unresolved.last_sent_ms = now_ms
            return AppendClaim(self._unresolved.record)
        wait_ms = rank * CLAIM_STAGGER_MS
        orphaned = False
        due_ms = self._read_ms + wait_ms
        if self._state is not None and not self._state.released:
            due_ms += at_least_ms(LEASE_MS)
            if not self._state.may_claim(self.vm, self._address):
                orphaned = True
                due_ms = max(due_ms, self._orphan_due_ms() + wait_ms)
        if now_ms < max(due_ms, self._not_before_ms):
            return None
        fence, seen_offset, _ = self._position
        record = ClaimLease(
            self._new_id(), self.vm, self.lease, fence, seen_offset, orphaned
        )
        self._unresolved = _Unresolved(record, now_ms)
        return AppendClaim(record)

    def _orphan_due_ms(self):
        ended_ms = self._state.promisers_ended_ms(self._closed_ms)
        if ended_ms is None:
            return self._read_ms + ORPHAN_MS
        return ended_ms + at_least_ms(ENDING_MS + LEASE_MS)

    def claim_failed(self, record, maybe_in_log):
        """Take note that an append of a claim raised an error.

        Parameters
        ----------
        record : ClaimLease
        maybe_in_log : bool
            False if this copy is certainly not in the log. An earlier copy may be.
        """
        unresolved = self._unresolved
        if unresolved is None or unresolved.record is not record:
            return
        unresolved.maybe_in_log = unresolved.maybe_in_log or maybe_in_log
        if not unresolved.maybe_in_log:
            self._not_before_ms = unresolved.last_sent_ms + RENEW_INTERVAL_MS
            self._unresolved = None

    def claim_read(self, id):
        """Take note that a claim of this VM was read in the log, accepted or not.

        Folds ignore later copies, so it cannot be accepted any more.
        """
        if self._unresolved is not None and self._unresolved.record.id == id:
            self._unresolved = None

    def promise(self, holder, promiser, fence, duration_ms, now_ms, log_reached_ms):
        """Answer a holder that asks this VM not to claim the lease.

        Parameters
        ----------
        holder, promiser : str
            Identities of the VM that asks and of the one that it means to ask.
        fence : int
        duration_ms : float
        now_ms : float
        log_reached_ms : float
            When this VM reached the log last.

        Returns
        -------
        PromiseAnswer
        """
        if promiser != self.vm:
            return PromiseAnswer(False, "another incarnation was asked")
        if holder == self.vm:
            return PromiseAnswer(False, "a holder does not promise to itself")
        if not 0 < duration_ms <= LEASE_MS:
            return PromiseAnswer(False, "the duration is out of range")
        if now_ms - log_reached_ms < LOG_SILENCE_MS:
            return PromiseAnswer(False, "the log can be reached")
        if self._position is None:
            return PromiseAnswer(False, "the zone's state was not read yet")
        known_fence, _, released = self._position
        if known_fence > fence or (known_fence == fence and released):
            return PromiseAnswer(False, "a newer state of the lease is known")
        if known_fence == fence and self._state.holder != holder:
            return PromiseAnswer(False, "another VM holds the lease")
        if self._unresolved is not None:
            return PromiseAnswer(False, "a claim may still arrive in the log")
        until_ms = now_ms + at_least_ms(duration_ms)
        self.promised_until_ms = max(self.promised_until_ms, until_ms)
        return PromiseAnswer(True)


class LeaseHolder:
    """Decides how long a VM may use a lease that it claimed.

    Parameters
    ----------
    vm : str
        Identity of this VM.
    lease : str
    fence : int
    sent_ms : float
        When the first copy of the claim was sent.
    new_id : callable
        Returns a unique record id.
    extendable : bool
        Whether promises can extend the lease.
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
        self._unresolved = None
        self._not_before_ms = sent_ms + RENEW_INTERVAL_MS
        self._round_number = 0
        self._round = None
        self._missing = set()

    def may_use(self, now_ms, promised_until_ms=float("-inf")):
        """Whether the lease can be used now.

        Parameters
        ----------
        now_ms : float
        promised_until_ms : float
            End of this VM's own promise to another holder.
        """
        return (
            not self.stopped
            and now_ms < self.deadline_ms
            and now_ms >= promised_until_ms
        )

    @property
    def extended(self):
        """Whether promises, and no renewal, give the current deadline."""
        return self.deadline_ms > self._renewed_ms + at_most_ms(LEASE_MS)

    def observe(self, state):
        """Take note of the lease as the zone's fold shows it now.

        Returns
        -------
        Stop or None
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
            if self._unresolved is not None:
                # At most one renewal is unresolved, so it is the one that was read.
                self._renewed_ms = self._unresolved.first_sent_ms
                self._not_before_ms = self._renewed_ms + RENEW_INTERVAL_MS
                self._unresolved = None
                deadline_ms = self._renewed_ms + at_most_ms(LEASE_MS)
                self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return None

    def renew(self, now_ms):
        """Return the command to renew the lease if that is due.

        Returns
        -------
        AppendRenewal or None
        """
        if self.stopped:
            return None
        if self._unresolved is not None:
            if now_ms < self._unresolved.last_sent_ms + RENEW_INTERVAL_MS:
                return None
            self._unresolved.last_sent_ms = now_ms
            return AppendRenewal(self._unresolved.record)
        if now_ms < self._not_before_ms:
            return None
        record = RenewLease(self._new_id(), self.vm, self.lease, self.fence)
        self._unresolved = _Unresolved(record, now_ms)
        return AppendRenewal(record)

    def renewal_failed(self, record, maybe_in_log):
        """Take note that an append of a renewal raised an error.

        Parameters
        ----------
        record : RenewLease
        maybe_in_log : bool
            False if this copy is certainly not in the log. An earlier copy may be.
        """
        unresolved = self._unresolved
        if unresolved is None or unresolved.record is not record:
            return
        unresolved.maybe_in_log = unresolved.maybe_in_log or maybe_in_log
        if not unresolved.maybe_in_log:
            # The next renewal counts from its own sending.
            self._not_before_ms = unresolved.last_sent_ms + RENEW_INTERVAL_MS
            self._unresolved = None

    def ask_promises(self, now_ms):
        """Return the command to ask for promises if that is due.

        Returns
        -------
        AskPromises or None
        """
        if self.stopped or not self._extendable:
            return None
        if now_ms < self._renewed_ms + EXTEND_AFTER_MS:
            return None
        limit_ms = self._renewed_ms + at_most_ms(EXTENSION_LIMIT_MS)
        promisers = tuple(sorted(self._roster - {self.vm}))
        if now_ms >= limit_ms or not promisers:
            return None
        if self._round is not None and now_ms < self._round + RENEW_INTERVAL_MS:
            return None
        self._round = now_ms
        self._round_number += 1
        self._missing = set(promisers)
        return AskPromises(
            self._round_number, self.vm, promisers, self.lease, self.fence, LEASE_MS
        )

    def on_promise(self, round_number, promiser, promised):
        """Take note of the answer of one VM to `AskPromises`."""
        if self.stopped or round_number != self._round_number or not promised:
            return
        if promiser not in self._missing:
            return
        self._missing.discard(promiser)
        if not self._missing:
            deadline_ms = self._round + at_most_ms(LEASE_MS)
            limit_ms = self._renewed_ms + at_most_ms(EXTENSION_LIMIT_MS)
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def release(self, note):
        """Stop to use the lease and return the record that releases it.

        Returns
        -------
        ReleaseLease
        """
        self._stop("released")
        return ReleaseLease(self._new_id(), self.vm, self.lease, self.fence, note)

    def _stop(self, reason):
        self.stopped = True
        return Stop(self.lease, reason)
