"""Decides whether a request with an idempotency key may run: at most once per key."""

import base64

from .claim_state import FINISHED, IN_PROGRESS, FingerprintMismatch, KeyAvailable
from .invariants import AT_MOST_ONCE, require
from .requests import Refusal

RETRY_AFTER_S = 1


class ClaimWon:
    """Decision: the request holds its key and may be dispatched."""

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id = request_id


class StoredOutcome:
    """Decision: replay the recorded response of the request that holds the key.

    Parameters
    ----------
    status : int
    content_type : str
    body : bytes
    """

    __slots__ = ("status", "content_type", "body")

    def __init__(self, status, content_type, body):
        self.status = status
        self.content_type = content_type
        self.body = body


class WaitForOutcome:
    """Decision: wait, because the request that holds the key is still running.

    Decide again when the state of the claims stream changes.
    """

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id = request_id


class AppendClaim:
    """Decision: no request holds the key; append a claim and decide again."""

    __slots__ = ()


# States of a request of this VM in `ClaimTable`.
CLAIMED = "claimed"
DISPATCHED = "dispatched"
NEVER_DISPATCHED = "never-dispatched"


class ClaimTable:
    """Decides whether a request may run, and tracks the claimed requests of this VM.

    A decision combines the state of the claims stream, which is shared by all VMs,
    with what only this VM knows of its own requests.

    Parameters
    ----------
    vm : str
        ``<name>@<incarnation>`` of this VM.
    vm_gone : callable
        Takes ``<name>@<incarnation>``; returns whether that VM is known to have ended.
    """

    __slots__ = ("vm", "_vm_gone", "_dispatch_states", "_unrecorded_outcomes")

    def __init__(self, vm, vm_gone):
        self.vm = vm
        self._vm_gone = vm_gone
        self._dispatch_states = {}
        self._unrecorded_outcomes = {}

    def decide(self, lookup_result, request_id, fingerprint):
        """Decide what to do with an incoming request that has an idempotency key.

        Parameters
        ----------
        lookup_result : KeyAvailable, KeyHeld or FingerprintMismatch
            Result of ``ClaimState.lookup`` for the key.
        request_id : str
            Identifier of the incoming request.
        fingerprint : str
            Hash of the incoming request.

        Returns
        -------
        AppendClaim, ClaimWon, StoredOutcome, WaitForOutcome or Refusal
        """
        if isinstance(lookup_result, KeyAvailable):
            return AppendClaim()
        claim = lookup_result.claim
        if claim.request_id == request_id:
            if (
                claim.state != IN_PROGRESS
                or self._dispatch_states.get(request_id) != CLAIMED
            ):
                return outcome_unknown()
            return ClaimWon(request_id)
        if isinstance(lookup_result, FingerprintMismatch):
            return Refusal(
                422,
                "idempotency_mismatch",
                "the Idempotency-Key was used with another request",
            )
        if claim.state == FINISHED:
            return replay(claim)
        if claim.request_id in self._unrecorded_outcomes:
            return replay(self._unrecorded_outcomes[claim.request_id])
        if claim.vm == self.vm:
            # The table has each claim of this incarnation until its outcome or
            # abandonment is in the log, so there is nothing to wait for if it is
            # missing.
            outcome_is_lost = claim.request_id not in self._dispatch_states
        else:
            outcome_is_lost = self._vm_gone(claim.vm)
        return (
            outcome_unknown() if outcome_is_lost else WaitForOutcome(claim.request_id)
        )

    def mark_claimed(self, request_id):
        """Record that a claim for the request is about to be appended."""
        self._dispatch_states[request_id] = CLAIMED

    def discard_claim(self, request_id):
        """Remove a request whose claim was rejected or did not get into the log."""
        self._dispatch_states.pop(request_id, None)

    def mark_dispatched(self, request_id):
        """Record that the request is sent to a backend server; check that it may be."""
        require(
            self._dispatch_states.get(request_id) == CLAIMED,
            AT_MOST_ONCE,
            request_id=request_id,
            state=self._dispatch_states.get(request_id),
        )
        self._dispatch_states[request_id] = DISPATCHED

    def mark_not_accepted(self, request_id):
        """Record that the backend server refused the request; it may be sent again."""
        self._dispatch_states[request_id] = CLAIMED

    def mark_never_dispatched(self, request_id):
        """Record that the request ended without having run on a backend server."""
        require(
            self._dispatch_states.get(request_id) != DISPATCHED,
            AT_MOST_ONCE,
            request_id=request_id,
        )
        self._dispatch_states[request_id] = NEVER_DISPATCHED

    def store_outcome(self, request_id, outcome):
        """Keep an outcome in memory until its record is in the log."""
        self._unrecorded_outcomes[request_id] = outcome

    def remove_request(self, request_id):
        """Remove a request whose outcome or abandonment is in the log."""
        self._dispatch_states.pop(request_id, None)
        self._unrecorded_outcomes.pop(request_id, None)

    @property
    def pending(self):
        """Number of requests without an outcome or abandonment in the log."""
        return len(self._dispatch_states)


def replay(outcome):
    """Return the decision for a retry of a request whose outcome is recorded."""
    if outcome.body is None:
        return Refusal(
            409,
            "response_not_kept",
            f"the request ran and got a response with status {outcome.status}; "
            "the response was too large to store",
            not_run=False,
        )
    body = base64.b64decode(outcome.body)
    return StoredOutcome(outcome.status, outcome.content_type, body)


def outcome_unknown():
    """Return the refusal for a request whose outcome cannot be determined."""
    return Refusal(
        409,
        "outcome_unknown",
        "the VM that handled the request has ended; the request may have run",
        not_run=False,
    )


def in_progress():
    """Return the refusal for a retry while the first request is still running."""
    return Refusal(
        409,
        "request_in_progress",
        "a request with this Idempotency-Key is in progress",
        not_run=False,
        retry_after_s=RETRY_AFTER_S,
    )


def log_unavailable():
    """Return the refusal for when claims cannot be appended to the log."""
    return Refusal(
        503,
        "not_run",
        "idempotency claims cannot be recorded at the moment",
        retry_after_s=RETRY_AFTER_S,
    )
