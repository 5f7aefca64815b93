"""When the holder of the order lease plans model changes and orders adapters."""

# Longest time from the beginning of a wait for a model that no engine holds to a plan.
PLAN_INTERVAL_MS = 100.0
# Shortest time between two plans: what happens in between shares one plan. A load takes
# ten times as long or longer.
MIN_PLAN_INTERVAL_MS = 50.0
# Interval between plans while no VM reports a request and no engine changes. A plan
# then only follows the decay of the request rates, whose windows are seconds long.
QUIET_PLAN_INTERVAL_MS = 500.0
# Shortest time between two passes that order only the adapters that requests wait for.
# The load of an adapter takes 14 ms.
MIN_ADAPTER_INTERVAL_MS = 10.0


class PlanSchedule:
    """Decides when to plan, by what has happened since the last plan.

    Addresses a load of hundreds of requests a second that wait for models, each of
    which is news for the placement.
    """

    __slots__ = ("_planned_ms", "_passed_ms", "_demand", "_is_urgent")

    def __init__(self):
        self._planned_ms = self._passed_ms = -float("inf")
        # Version of the demand that the last plan had.
        self._demand = None
        self._is_urgent = True

    def hasten(self):
        """Let the next plan be soon: an engine is free again, or a model is missing."""
        self._is_urgent = True

    def is_due(self, now_ms, demand, is_settled):
        """Return whether a plan is due.

        Parameters
        ----------
        now_ms : float
        demand : int
            Version of the demand.
        is_settled : bool
            Whether no request waits and the states of all engines are known.
        """
        elapsed_ms = now_ms - self._planned_ms
        if self._is_urgent and elapsed_ms >= MIN_PLAN_INTERVAL_MS:
            return True
        is_quiet = is_settled and not self._is_urgent and demand == self._demand
        return elapsed_ms >= (QUIET_PLAN_INTERVAL_MS if is_quiet else PLAN_INTERVAL_MS)

    def record_plan(self, now_ms, demand):
        """Record a plan that began."""
        self._planned_ms = self._passed_ms = now_ms
        self._demand = demand
        self._is_urgent = False

    def record_pass(self, now_ms):
        """Record a pass over the adapters that requests wait for."""
        self._passed_ms = now_ms

    def wait_ms(self, now_ms):
        """Return the time until `is_due` may next be true."""
        elapsed_ms = now_ms - self._planned_ms
        interval_ms = MIN_PLAN_INTERVAL_MS if self._is_urgent else PLAN_INTERVAL_MS
        if elapsed_ms < interval_ms:
            return interval_ms - elapsed_ms
        # While all is quiet the demand is looked at again after each interval.
        return 0.0 if self._is_urgent else PLAN_INTERVAL_MS

    def pause_ms(self, now_ms):
        """Return the time until the next pass may begin."""
        return max(0.0, self._passed_ms + MIN_ADAPTER_INTERVAL_MS - now_ms)
