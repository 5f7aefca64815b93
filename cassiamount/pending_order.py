"""One order between its intent and the record of its outcome."""

from .engine_orders import (
    ORDER_LATENESS_MS,
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
        "copies",
        "copy_number",
        "last_sent_ms",
        "asked_ms",
        "accepted_ms",
        "refused_ms",
        "outcome",
        "settling",
    )

    def __init__(self, order):
        self.order = order
        self.recorded_ms = None
        # Number of a sent copy -> time of sending, while it may still arrive.
        self.copies = {}
        self.copy_number = 0
        self.last_sent_ms = None
        self.asked_ms = float("-inf")
        self.accepted_ms = None
        self.refused_ms = None
        self.outcome = None
        self.settling = False

    @property
    def answered(self):
        """Whether the engine accepted or refused a copy."""
        return self.accepted_ms is not None or self.refused_ms is not None

    def none_can_arrive(self, certain_ms):
        """Whether no copy can arrive after the time that a report describes."""
        return all(
            certain_ms >= sent_ms + ORDER_LATENESS_MS
            for sent_ms in self.copies.values()
        )

    def settled(self, memory):
        """Whether the outcome is final: no late copy can change the engine."""
        if not self.copies or memory is None:
            return True
        if memory.checks_fence and self.outcome == OUTCOME_DONE:
            # A late copy changes nothing, or is refused after a newer order.
            return True
        return self.none_can_arrive(memory.certain_ms)

    def on_unknown(self, asked_ms, certain_ms):
        """Decide on an order that the engine did not know at `asked_ms`."""
        if any(sent_ms > asked_ms for sent_ms in self.copies.values()):
            return
        if self.accepted_ms is not None:
            # It was accepted by an incarnation that has ended, unless the question
            # was asked before it was accepted.
            if asked_ms > self.accepted_ms:
                self.outcome = OUTCOME_FAILED
        elif not self.copies:
            if self.refused_ms is None:
                self.outcome = OUTCOME_EXPIRED
            elif asked_ms > self.refused_ms:
                self.outcome = OUTCOME_NOT_ACCEPTED
        elif self.none_can_arrive(certain_ms):
            if asked_ms >= max(self.copies.values()) + ORDER_LATENESS_MS:
                self.outcome = OUTCOME_EXPIRED
