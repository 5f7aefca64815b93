"""Fold of one ``claims-<n>`` stream: idempotency claims and their outcomes."""

import hashlib
import json
from collections import OrderedDict
from functools import singledispatchmethod

from .claim_entries import (
    ABANDONED,
    FINISHED,
    IN_PROGRESS,
    Claim,
    FingerprintMismatch,
    KeyAvailable,
    KeyHeld,
)
from .errors import InvalidRecord, OffsetGap
from .invariants import AT_MOST_ONCE, require
from .records import AbandonClaim, ClaimRequest, RecordOutcome
from .stream_state import Applied, Rejected
from .stream_time import StreamTime

IDEMPOTENCY_WINDOW_MS = 3_600_000
# At about 300 bytes for each claim, 100,000 take 30 MB; the bodies have their own
# limit. Both are for one partition.
MAX_CLAIMS = 100_000
MAX_BODY_BYTES = 16 * 1024 * 1024


class ClaimState:
    """Which request holds each idempotency key, by order in the log.

    The first claim of (team, key) wins. It holds the key until it is abandoned or
    until no claim of the key was made for the idempotency window, in stream time. A
    claim that loses prolongs the hold: readers that start at different offsets then
    differ at most in who holds a key, and never both let a claim win within the window.

    A claim beyond `max_claims` is rejected and not an old one forgotten, since a
    forgotten claim could run twice.

    Parameters
    ----------
    stream : str
    window_ms : int
        The same on all VMs.
    max_claims, max_body_bytes : int

    Attributes
    ----------
    next_offset : int
    """

    __slots__ = (
        "stream",
        "next_offset",
        "_window_ms",
        "_max_claims",
        "_max_body_bytes",
        "_stream_time",
        "_first_certain_offset",
        "_claims_by_request_id",
        "_claims_by_key",
        "_claims_with_body",
        "_body_bytes",
    )

    def __init__(
        self,
        stream="claims-0",
        window_ms=IDEMPOTENCY_WINDOW_MS,
        max_claims=MAX_CLAIMS,
        max_body_bytes=MAX_BODY_BYTES,
    ):
        self.stream = stream
        self.next_offset = 0
        self._window_ms = window_ms
        self._max_claims = max_claims
        self._max_body_bytes = max_body_bytes
        self._clear(first_certain_offset=0)

    def _clear(self, first_certain_offset):
        self._stream_time = StreamTime()
        # Claims before this offset may have lost to one that was trimmed.
        self._first_certain_offset = first_certain_offset
        # By the time of the last claim, so that the oldest ones are at the front.
        self._claims_by_request_id = OrderedDict()
        self._claims_by_key = {}
        # Requests with a kept body, in the order of their outcomes.
        self._claims_with_body = OrderedDict()
        self._body_bytes = 0

    def lookup(self, team, key, fingerprint):
        """Return what a VM does about an arriving request with an idempotency key.

        Returns
        -------
        Free, Held or Mismatch
        """
        claim = self._claims_by_key.get((team, key))
        if claim is None or self._expired(claim):
            return KeyAvailable()
        if claim.fingerprint != fingerprint:
            return FingerprintMismatch(claim)
        return KeyHeld(claim)

    def holds_key(self, request_id):
        """Return whether this request holds its key; read it after the read-back."""
        claim = self._claims_by_request_id.get(request_id)
        return claim is not None and claim.certain and claim.state != ABANDONED

    def get_claim(self, request_id):
        """Return the accepted claim of a request, or None."""
        return self._claims_by_request_id.get(request_id)

    def check_dispatch(self, request_id):
        """Check at dispatch that the request holds its key and has not been run."""
        claim = self._claims_by_request_id.get(request_id)
        require(
            claim is not None
            and claim.certain
            and claim.state == IN_PROGRESS
            and self._claims_by_key.get((claim.team, claim.key)) is claim,
            AT_MOST_ONCE,
            request_id=request_id,
            state=claim and claim.state,
        )

    def __len__(self):
        return len(self._claims_by_request_id)

    @property
    def body_bytes(self):
        """Bytes of response bodies that are kept."""
        return self._body_bytes

    def apply(self, offset, record):
        """Apply one record.

        Returns
        -------
        Applied or Rejected
            A claim that lost is `Rejected`. An offset below `next_offset` is a no-op.

        Raises
        ------
        OffsetGap
            If records between are missing.
        """
        if offset < self.next_offset:
            return Applied(offset)
        self.skip(offset)
        reason = self._apply(record)
        return Applied(offset) if reason is None else Rejected(offset, reason)

    def skip(self, offset):
        """Pass over a record that cannot be decoded."""
        if offset < self.next_offset:
            return
        if offset != self.next_offset:
            raise OffsetGap(self.stream, self.next_offset, offset)
        self.next_offset = offset + 1

    def restart(self, earliest, head):
        """Continue at the log's earliest offset after records were trimmed.

        Claims need no checkpoint: the window is shorter than the log's retention, so
        a claim that is made from now on cannot lose to one that was trimmed. Those
        that are in the log already may have, so none of them counts as won.

        Parameters
        ----------
        earliest : int
            First offset that the log still holds.
        head : int
            Offset that the next appended record will get, read now.
        """
        if earliest > self.next_offset:
            self._clear(first_certain_offset=head)
            self.next_offset = earliest

    @singledispatchmethod
    def _apply(self, record):
        """Apply the effect of a record; return the reason of a rejection or None."""
        return f"a record of kind {record.kind} does not belong in this stream"

    @_apply.register
    def _(self, record: ClaimRequest):
        self._advance_time(record)
        existing = self._claims_by_request_id.get(record.request_id)
        if existing is not None:
            # The record was appended twice; after an abandonment it must not win.
            return None if existing.state != ABANDONED else "the claim was abandoned"
        holder = self._claims_by_key.get((record.team, record.key))
        if holder is not None:
            self._claims_by_request_id.move_to_end(holder.request_id)
            self._set_claim_time(holder, record)
            return f"request {holder.request_id} holds the key"
        if len(self._claims_by_request_id) >= self._max_claims:
            return f"the partition holds {self._max_claims} claims"
        claim = Claim(
            record.team,
            record.key,
            record.fingerprint,
            record.request_id,
            record.vm,
            self.next_offset > self._first_certain_offset,
            record.wall_ms,
        )
        self._claims_by_request_id[claim.request_id] = claim
        self._set_claim_time(claim, record)
        self._claims_by_key[claim.team, claim.key] = claim
        return None

    @_apply.register
    def _(self, record: RecordOutcome):
        self._advance_time(record)
        claim = self._claims_by_request_id.get(record.request_id)
        reason = _rejection_reason(claim, record)
        if reason is None:
            claim.state = FINISHED
            claim.status = record.status
            claim.content_type = record.content_type
            self._store_body(claim, record.body)
        return reason

    @_apply.register
    def _(self, record: AbandonClaim):
        claim = self._claims_by_request_id.get(record.request_id)
        reason = _rejection_reason(claim, record)
        if reason is None:
            claim.state = ABANDONED
            self._claims_by_key.pop((claim.team, claim.key))
        return reason

    def _store_body(self, claim, body):
        claim.body = body
        if body is None:
            return
        self._claims_with_body[claim.request_id] = claim
        self._body_bytes += len(body)
        while self._body_bytes > self._max_body_bytes:
            _, oldest = self._claims_with_body.popitem(last=False)
            self._body_bytes -= len(oldest.body)
            # The status stays known, so the request still does not run again.
            oldest.body = None

    def _advance_time(self, record):
        self._stream_time.observe(record.vm, record.wall_ms)
        self._remove_expired()

    def _set_claim_time(self, claim, record):
        """Date the newest claim.

        The stream time stands still while few VMs write and then jumps, so the
        writer's own time counts if it is later. A claim before this one was not made
        later, whatever its writer's clock said.
        """
        claim.claimed_ms = max(record.wall_ms, self._stream_time.now_ms)
        for earlier in reversed(self._claims_by_request_id.values()):
            if earlier is not claim and earlier.claimed_ms <= claim.claimed_ms:
                return
            earlier.claimed_ms = claim.claimed_ms

    def _expired(self, claim):
        return self._stream_time.now_ms - claim.claimed_ms > self._window_ms

    def _remove_expired(self):
        while self._claims_by_request_id:
            claim = next(iter(self._claims_by_request_id.values()))
            if not self._expired(claim):
                return
            del self._claims_by_request_id[claim.request_id]
            if self._claims_by_key.get((claim.team, claim.key)) is claim:
                del self._claims_by_key[claim.team, claim.key]
            if self._claims_with_body.pop(claim.request_id, None) is not None:
                self._body_bytes -= len(claim.body)

    def to_state(self):
        """Return the JSON form for snapshots."""
        return {
            "time": self._stream_time.to_state(),
            "certain_from": self._first_certain_offset,
            "claims": [
                claim.to_state() for claim in self._claims_by_request_id.values()
            ],
            "bodies": list(self._claims_with_body),
        }

    def load_state(self, covers_offset, state):
        """Replace the state by that of a snapshot.

        Parameters
        ----------
        covers_offset : int
            Last offset that the state covers; a state that covers no more than this
            fold has read changes nothing.
        state : dict

        Raises
        ------
        InvalidRecord
            If the state is malformed; nothing has changed then.
        """
        if covers_offset < self.next_offset:
            return
        try:
            stream_time = StreamTime.from_state(state["time"])
            first_certain_offset = int(state["certain_from"])
            claims = [Claim(*parts) for parts in state["claims"]]
            claims_by_request_id = OrderedDict(
                (claim.request_id, claim) for claim in claims
            )
            claims_with_body = OrderedDict(
                (id, claims_by_request_id[id]) for id in state["bodies"]
            )
            body_bytes = sum(len(claim.body) for claim in claims_with_body.values())
        except (KeyError, TypeError, ValueError) as error:
            raise InvalidRecord(f"malformed state of {self.stream}: {error}") from error
        self._stream_time = stream_time
        self._first_certain_offset = first_certain_offset
        self._claims_by_request_id = claims_by_request_id
        self._claims_by_key = {
            (claim.team, claim.key): claim
            for claim in claims
            if claim.state != ABANDONED
        }
        self._claims_with_body = claims_with_body
        self._body_bytes = body_bytes
        self.next_offset = covers_offset + 1

    def digest(self):
        """Return a digest that is equal on VMs that have read the same records."""
        text = json.dumps(self.to_state(), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()


def _rejection_reason(claim, record):
    """Return why `record` cannot change the claim, or None."""
    if claim is None:
        return f"request {record.request_id} holds no claim"
    if claim.vm != record.vm:
        # Only the VM that carried the request knows what became of it.
        return f"the claim belongs to {claim.vm}"
    if claim.state != IN_PROGRESS:
        return f"the claim is {claim.state} already"
    return None
