"""State of one order from its intent until its outcome is recorded."""

from .engine_orders import (
    MAX_ORDER_DELAY_MS,
    OUTCOME_DONE,
    OUTCOME_EXPIRED,
    OUTCOME_FAILED,
    OUTCOME_NOT_ACCEPTED,
)


class PendingOrder:
    """An order that an engine may have carried out, or may still receive.

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
        # Attempt number -> time of sending, for attempts that may still arrive.
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
        """Whether the engine accepted or refused an attempt."""
        return self.accepted_ms is not None or self.refused_ms is not None

    def none_can_arrive_after(self, earliest_as_of_ms):
        """Whether no attempt can arrive after a report taken at `earliest_as_of_ms`."""
        return all(
            earliest_as_of_ms >= sent_ms + MAX_ORDER_DELAY_MS
            for sent_ms in self.in_flight_attempts.values()
        )

    def outcome_is_final(self, memory):
        """Whether no late attempt can still change the engine."""
        if not self.in_flight_attempts or memory is None:
            return True
        if memory.checks_fence and self.outcome == OUTCOME_DONE:
            # A late attempt repeats the order without effect, or is refused because the
            # engine has accepted a newer one.
            return True
        return self.none_can_arrive_after(memory.earliest_as_of_ms)

    def on_unknown_state(self, queried_ms, earliest_as_of_ms):
        """Set the outcome, if certain, of an order that the engine did not know."""
        if any(sent_ms > queried_ms for sent_ms in self.in_flight_attempts.values()):
            return
        if self.accepted_ms is not None:
            # The incarnation that accepted the order has ended, unless the state was
            # queried before the order was accepted.
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
