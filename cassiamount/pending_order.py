"""One order between its intent and the record of its outcome."""

from .engine_orders import (
    MAX_ORDER_DELAY_MS,
    OUTCOME_DONE,
    OUTCOME_EXPIRED,
    OUTCOME_FAILED,
    OUTCOME_NOT_ACCEPTED,
)


class PendingOrder:
    """An order that may have been applied.

    Parameters
    ----------
    order : Order
    """

    __slots__ = (
        "order",
        "recorded_ms",
        "in_flight_attempts",
        "last_attempt",
        "last_sent_ms",
        "queried_ms",
        "accepted_ms",
        "refused_ms",
        "outcome",
        "recording_outcome",
    )

    def __init__(self, order):
        self.order = order
        self.recorded_ms = None
        # Number of a sent copy -> time of sending, while it may still arrive.
        self.in_flight_attempts = {}
        self.last_attempt = 0
        self.last_sent_ms = None
        self.queried_ms = float("-inf")
        self.accepted_ms = None
        self.refused_ms = None
        self.outcome = None
        self.recording_outcome = False

    @property
    def answered(self):
        """Whether the engine accepted or refused a copy."""
        return self.accepted_ms is not None or self.refused_ms is not None

    def none_can_arrive_after(self, earliest_as_of_ms):
        """Whether no copy can arrive after the time that a report describes."""
        return all(
            earliest_as_of_ms >= sent_ms + MAX_ORDER_DELAY_MS
            for sent_ms in self.in_flight_attempts.values()
        )

    def outcome_is_final(self, memory):
        """Whether the outcome is final: no late copy can change the engine."""
        if not self.in_flight_attempts or memory is None:
            return True
        if memory.checks_fence and self.outcome == OUTCOME_DONE:
            # A late copy changes nothing, or is refused after a newer order.
            return True
        return self.none_can_arrive_after(memory.earliest_as_of_ms)

    def on_unknown_state(self, queried_ms, earliest_as_of_ms):
        """Decide on an order that the engine did not know at `asked_ms`."""
        if any(sent_ms > queried_ms for sent_ms in self.in_flight_attempts.values()):
            return
        if self.accepted_ms is not None:
            # It was accepted by an incarnation that has ended, unless the question
            # was asked before it was accepted.
            if queried_ms > self.accepted_ms:
                self.outcome = OUTCOME_FAILED
        elif not self.in_flight_attempts:
            if self.refused_ms is None:
                self.outcome = OUTCOME_EXPIRED
            elif queried_ms > self.refused_ms:
                self.outcome = OUTCOME_NOT_ACCEPTED
        elif self.none_can_arrive_after(earliest_as_of_ms):
            if queried_ms >= max(self.in_flight_attempts.values()) + MAX_ORDER_DELAY_MS:
                self.outcome = OUTCOME_EXPIRED
