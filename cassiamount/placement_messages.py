"""Messages to the mailbox of the placement task."""


class DemandTotals:
    """Tokens requested from a VM since it started.

    Parameters
    ----------
    vm : str
        Name with incarnation.
    totals : dict
        Model or adapter -> tokens.
    """

    __slots__ = ("vm", "totals")

    def __init__(self, vm, totals):
        self.vm = vm
        self.totals = totals


class IntentRecorded:
    """The intent of an order was appended to the log at `offset`."""

    __slots__ = ("order_id", "offset")

    def __init__(self, order_id, offset):
        self.order_id = order_id
        self.offset = offset


class IntentNotRecorded:
    """The intent of an order is certainly not in the log."""

    __slots__ = ("order_id",)

    def __init__(self, order_id):
        self.order_id = order_id


class OrderAnswered:
    """An attempt to send an order ended: with an answer, unsent or without answer."""

    __slots__ = ("order_id", "attempt", "answer")

    def __init__(self, order_id, attempt, answer):
        self.order_id = order_id
        self.attempt = attempt
        self.answer = answer


class OrderStateReceived:
    """An engine returned the state of an order, queried at `queried_ms`."""

    __slots__ = ("order_id", "state", "queried_ms")

    def __init__(self, order_id, state, queried_ms):
        self.order_id = order_id
        self.state = state
        self.queried_ms = queried_ms


class OutcomeRecorded:
    """The append of an order's outcome succeeded, or has to be retried."""

    __slots__ = ("order_id", "recorded")

    def __init__(self, order_id, recorded):
        self.order_id = order_id
        self.recorded = recorded


class PlacementTick:
    """Periodic trigger for due orders, queries and plans."""

    __slots__ = ()
