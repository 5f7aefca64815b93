"""One VM's view of one lease, as a candidate for it and as its holder."""

from .lease_commands import LeaseLost
from .leases import LeaseCandidate, LeaseHolder


class LeaseClient:
    """Combines a `LeaseCandidate` and, while the VM has the lease, a `LeaseHolder`.

    The object must outlive the tasks of its VM; see `LeaseCandidate`.

    Parameters
    ----------
    vm : str
        Identity of this VM.
    lease : str
    new_id : callable
        Returns a unique record id.
    extendable : bool
        Whether the promises of the other members can extend the lease.
    address : str
        Where this VM answers requests for promises.
    """

    def __init__(self, vm, lease, new_id, extendable, address=""):
        self.vm = vm
        self.lease = lease
        self.candidate = LeaseCandidate(vm, lease, new_id, address)
        self.holder = None
        self._new_id = new_id
        self._extendable = extendable

    @property
    def fence(self):
        """Fence under which this VM holds the lease, or None."""
        return None if self.holder is None else self.holder.fence

    def may_use(self, now_ms):
        """Whether this VM may act as the holder of the lease now."""
        return self.holder is not None and self.holder.may_use(
            now_ms, self.candidate.promised_until_ms
        )

    def deadline_ms(self):
        """Return when the lease expires unless it is renewed or extended."""
        return float("-inf") if self.holder is None else self.holder.deadline_ms

    def observe(self, state, now_ms):
        """Update from the state of the lease that this VM has read from the log.

        Parameters
        ----------
        state : Lease or None
        now_ms : float

        Returns
        -------
        LeaseLost or None
        """
        claim_sent_ms = self.candidate.observe(state, now_ms)
        lost = None
        if self.holder is not None:
            lost = self.holder.observe(state)
            if isinstance(lost, LeaseLost):
                self.holder = None
        if claim_sent_ms is not None and not state.released:
            self.holder = LeaseHolder(
                self.vm,
                self.lease,
                state.fence,
                claim_sent_ms,
                self._new_id,
                self._extendable,
            )
            self.holder.observe(state)
        return lost

    def tick(self, now_ms, rank=0):
        """Return the commands that are due.

        Parameters
        ----------
        now_ms : float
        rank : int
            Order in which the VMs of the zone try to claim the lease; 0 is first.

        Returns
        -------
        list of AppendClaim, AppendRenewal or RequestPromises
        """
        if self.holder is None:
            commands = [self.candidate.claim(now_ms, rank)]
        else:
            commands = [self.holder.renew(now_ms), self.holder.request_promises(now_ms)]
        return [command for command in commands if command is not None]

    def on_record_read(self, id):
        """Record that a record of this VM was read from the log.

        Call it after `observe`, with a state that includes the record.
        """
        self.candidate.on_claim_read(id)

    def on_append_failed(self, record, maybe_in_log):
        """Record that appending a claim or renewal failed."""
        self.candidate.on_claim_failed(record, maybe_in_log)
        if self.holder is not None:
            self.holder.on_renewal_failed(record, maybe_in_log)

    def on_promise_reply(self, fence, round_number, promiser, promised):
        """Record one VM's reply, unless it concerns an earlier tenure of this VM."""
        if self.holder is not None and self.holder.fence == fence:
            self.holder.on_promise_reply(round_number, promiser, promised)

    def abandon(self):
        """Stop using and renewing the lease without a release; it expires by itself."""
        self.holder = None

    def release(self, note):
        """Stop using the lease and return the record that releases it.

        Returns
        -------
        ReleaseLease or None
            None if this VM does not hold the lease.
        """
        if self.holder is None:
            return None
        record = self.holder.release(note)
        self.holder = None
        return record
