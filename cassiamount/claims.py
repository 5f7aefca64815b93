"""Decisions on idempotency claims: a non-idempotent call runs at most once."""

import base64

from .claim_state import FINISHED, IN_PROGRESS, FingerprintMismatch, KeyAvailable
from .invariants import AT_MOST_ONCE, require
from .requests import Refusal

RETRY_AFTER_S = 1


class ClaimWon:
    """The request may be dispatched."""

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id = request_id


class StoredOutcome:
    """The response of the first request.

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
    """The first request is still running; look again when the state changes."""

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id = request_id


class AppendClaim:
    """Nothing is known of the key: append a claim and look again."""

    __slots__ = ()


CLAIMED = "claimed"
DISPATCHED = "dispatched"
NEVER_DISPATCHED = "never-dispatched"


class ClaimTable:
    """Decides about idempotency keys from the log's state and this VM's own requests.

    Parameters
    ----------
    vm : str
        ``<name>@<incarnation>`` of this VM.
    vm_gone : callable
        Whether the VM with this name and incarnation is known to be gone.
    """

    __slots__ = ("vm", "_vm_gone", "_dispatch_states", "_unrecorded_outcomes")

    def __init__(self, vm, vm_gone):
        self.vm = vm
        self._vm_gone = vm_gone
        self._dispatch_states = {}
        self._unrecorded_outcomes = {}

    def decide(self, lookup_result, request_id, fingerprint):
        """Decide about an arrival.

        Parameters
        ----------
        found : Free, Held or Mismatch
            What the log's state says of the key, from ``ClaimState.lookup``.
        request_id : str
            Of the arrival.
        fingerprint : str

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
            # Every claim of this incarnation is in the table until its end is in the
            # log, so an unknown one cannot be waited for.
            outcome_is_lost = claim.request_id not in self._dispatch_states
        else:
            outcome_is_lost = self._vm_gone(claim.vm)
        return (
            outcome_unknown() if outcome_is_lost else WaitForOutcome(claim.request_id)
        )

    def mark_claimed(self, request_id):
        """Note that a claim is about to be appended."""
        self._dispatch_states[request_id] = CLAIMED

    def discard_claim(self, request_id):
        """Note that another claim came first or that the claim is not in the log."""
        self._dispatch_states.pop(request_id, None)

    def mark_dispatched(self, request_id):
        """Check that the request may be sent to a backend server, and note it."""
        require(
            self._dispatch_states.get(request_id) == CLAIMED,
            AT_MOST_ONCE,
            request_id=request_id,
            state=self._dispatch_states.get(request_id),
        )
        self._dispatch_states[request_id] = DISPATCHED

    def mark_not_accepted(self, request_id):
        """Note that the backend server said that it did not accept the request."""
        self._dispatch_states[request_id] = CLAIMED

    def mark_never_dispatched(self, request_id):
        """Note that the request ended without running anywhere."""
        require(
            self._dispatch_states.get(request_id) != DISPATCHED,
            AT_MOST_ONCE,
            request_id=request_id,
        )
        self._dispatch_states[request_id] = NEVER_DISPATCHED

    def store_outcome(self, request_id, outcome):
        """Keep an outcome until the log holds it."""
        self._unrecorded_outcomes[request_id] = outcome

    def remove_request(self, request_id):
        """Forget a request whose outcome or abandonment is in the log."""
        self._dispatch_states.pop(request_id, None)
        self._unrecorded_outcomes.pop(request_id, None)

    @property
    def pending(self):
        """Number of requests whose end is not in the log yet."""
        return len(self._dispatch_states)


def replay(outcome):
    """Return what a repeat is answered from a recorded outcome."""
    if outcome.body is None:
        return Refusal(
            409,
            "response_not_kept",
            f"the request ran and was answered with status {outcome.status}; "
            "the response was too large to keep",
            not_run=False,
        )
    body = base64.b64decode(outcome.body)
    return StoredOutcome(outcome.status, outcome.content_type, body)


def outcome_unknown():
    """Return the refusal for a request whose outcome nobody can tell."""
    return Refusal(
        409,
        "outcome_unknown",
        "the VM that ran the request is gone; whether it ran is not known",
        not_run=False,
    )


def in_progress():
    """Return the refusal for a request that is still running."""
    return Refusal(
        409,
        "request_in_progress",
        "a request with this Idempotency-Key is in progress",
        not_run=False,
        retry_after_s=RETRY_AFTER_S,
    )


def log_unavailable():
    """Return the refusal while claims cannot be written."""
    return Refusal(
        503,
        "not_run",
        "idempotency claims cannot be recorded at the moment",
        retry_after_s=RETRY_AFTER_S,
    )
