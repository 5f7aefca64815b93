"""Messages to the placement task."""


class DemandTotals:
    """Tokens asked for on a VM since it started.

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
    """An intent is in the log."""

    __slots__ = ("order_id", "offset")

    def __init__(self, order_id, offset):
        self.order_id = order_id
        self.offset = offset


class IntentNotRecorded:
    """An intent is certainly not in the log."""

    __slots__ = ("order_id",)

    def __init__(self, order_id):
        self.order_id = order_id


class OrderAnswered:
    """An engine answered one copy of an order, or its answer was lost."""

    __slots__ = ("order_id", "attempt", "answer")

    def __init__(self, order_id, attempt, answer):
        self.order_id = order_id
        self.attempt = attempt
        self.answer = answer


class OrderStateReceived:
    """An engine told the state of an order."""

    __slots__ = ("order_id", "state", "queried_ms")

    def __init__(self, order_id, state, queried_ms):
        self.order_id = order_id
        self.state = state
        self.queried_ms = queried_ms


class OutcomeRecorded:
    """The record of an outcome is in the log, or has to be tried again."""

    __slots__ = ("order_id", "recorded")

    def __init__(self, order_id, recorded):
        self.order_id = order_id
        self.recorded = recorded


class PlacementTick:
    """Time for what is due."""

    __slots__ = ()
