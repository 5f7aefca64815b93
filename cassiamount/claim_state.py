"""State of one ``claims-<n>`` stream: idempotency claims and their outcomes."""

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
# Limits for one partition. A claim takes about 300 bytes, so 100,000 claims take
# 30 MB; response bodies have a limit of their own.
MAX_CLAIMS = 100_000
MAX_BODY_BYTES = 16 * 1024 * 1024


class ClaimState:
    """Which request holds each idempotency key, by the order of claims in the log.

    The first claim of (team, key) is accepted. It holds the key until it is abandoned
    or until the idempotency window has passed, in stream time, without another claim
    of the key. Rejected claims also restart the window: readers that start at
    different offsets can then disagree on which request holds a key, but do not let
    two claims of it win within one window.

    Claims beyond `max_claims` are rejected. Dropping the oldest claim instead would
    let its request run a second time.

    Parameters
    ----------
    stream : str
    window_ms : int
        Idempotency window; must be the same on all VMs.
    max_claims : int
    max_body_bytes : int
        Limit for all stored response bodies together.

    Attributes
    ----------
    next_offset : int
        Offset of the next record to apply.
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
        # Claims before this offset may have lost to a claim that was trimmed from the
        # log.
        self._first_certain_offset = first_certain_offset
        # Ordered by `claimed_ms`, so that the claims that expire first are in front.
        self._claims_by_request_id = OrderedDict()
        self._claims_by_key = {}
        # Request id -> claim with a stored response body, oldest outcome first.
        self._claims_with_body = OrderedDict()
        self._body_bytes = 0

    def lookup(self, team, key, fingerprint):
        """Look up the state of an idempotency key for an incoming request.

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
        """Return whether a request holds its key and may run.

        Only valid once the request's own claim has been read back from the log.
        """
        claim = self._claims_by_request_id.get(request_id)
        return claim is not None and claim.certain and claim.state != ABANDONED

    def get_claim(self, request_id):
        """Return the accepted claim of a request, or None if there is none."""
        return self._claims_by_request_id.get(request_id)

    def check_dispatch(self, request_id):
        """Check before dispatch that a request holds its key and has not run."""
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
        """Total size of the stored response bodies, in Base64."""
        return self._body_bytes

    def apply(self, offset, record):
        """Apply the record at an offset.

        Returns
        -------
        Applied or Rejected
            `Rejected` for a claim whose key is held by another request. An offset
            below `next_offset` is `Applied` and changes nothing.

        Raises
        ------
        OffsetGap
            If records between `next_offset` and `offset` are missing.
        """
        if offset < self.next_offset:
            return Applied(offset)
        self.skip(offset)
        reason = self._apply(record)
        return Applied(offset) if reason is None else Rejected(offset, reason)

    def skip(self, offset):
        """Skip a record that cannot be decoded."""
        if offset < self.next_offset:
            return
        if offset != self.next_offset:
            raise OffsetGap(self.stream, self.next_offset, offset)
        self.next_offset = offset + 1

    def restart(self, earliest, head):
        """Restart from the log's earliest offset after records were trimmed.

        Claims need no checkpoint: the idempotency window is shorter than the log's
        retention, so a claim appended from now on cannot lose to a trimmed one. A
        claim that is in the log already may have lost to one, so it does not count
        as holding its key.

        Parameters
        ----------
        earliest : int
            First offset that the log still holds.
        head : int
            Offset that the next appended record will get, as just read from the log.
        """
        if earliest > self.next_offset:
            self._clear(first_certain_offset=head)
            self.next_offset = earliest

    @singledispatchmethod
    def _apply(self, record):
        """Apply a record to the state; return why it was rejected, or None."""
        return f"a record of kind {record.kind} does not belong in this stream"

    @_apply.register
    def _(self, record: ClaimRequest):
        self._advance_time(record)
        existing = self._claims_by_request_id.get(record.request_id)
        if existing is not None:
            # The record was appended twice. The second copy must not bring an
            # abandoned claim back.
            return None if existing.state != ABANDONED else "the claim was abandoned"
        holder = self._claims_by_key.get((record.team, record.key))
        if holder is not None:
            self._claims_by_request_id.move_to_end(holder.request_id)
            self._set_claim_time(holder, record)
            return f"request {holder.request_id} holds the key"
        if len(self._claims_by_request_id) >= self._max_claims:
            return f"the partition is full: it holds {self._max_claims} claims"
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
            # The claim and the status stay, so the request does not run again.
            oldest.body = None

    def _advance_time(self, record):
        self._stream_time.observe(record.vm, record.wall_ms)
        self._remove_expired()

    def _set_claim_time(self, claim, record):
        """Set the time of the newest claim.

        It is the later of the stream time and the writer's wall time, because the
        stream time stands still while few VMs write, and then jumps. Earlier claims
        cannot be later than this one, so later times of theirs, which come from clocks
        that run ahead, are lowered to it.
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
        """Return the state as JSON, for snapshots to peers."""
        return {
            "time": self._stream_time.to_state(),
            "certain_from": self._first_certain_offset,
            "claims": [
                claim.to_state() for claim in self._claims_by_request_id.values()
            ],
            "bodies": list(self._claims_with_body),
        }

    def load_state(self, covers_offset, state):
        """Replace the state with that of a peer's snapshot.

        Parameters
        ----------
        covers_offset : int
            Offset of the last record in `state`. If this object has applied that
            record already, nothing changes.
        state : dict

        Raises
        ------
        InvalidRecord
            If `state` is malformed. This object is unchanged then.
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
        """Return a digest that is equal on VMs that have applied the same records."""
        text = json.dumps(self.to_state(), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()


def _rejection_reason(claim, record):
    """Return why `record` may not end the claim, or None if it may."""
    if claim is None:
        return f"request {record.request_id} holds no claim"
    if claim.vm != record.vm:
        # Only the VM that handled the request knows whether it ran.
        return f"the claim belongs to {claim.vm}"
    if claim.state != IN_PROGRESS:
        return f"the claim is {claim.state} already"
    return None
