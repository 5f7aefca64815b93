"""Processor time that a VM spends on reports, on plans and on everything else."""

import contextlib
import time

REPORT = "report"
PLAN = "plan"
# Requests, and what runs beside: a request has no time of its own, because its task
# shares the event loop with all others.
OTHER = "other"


class ProcessorTime:
    """Sums up processor time by the work it was spent on.

    Parameters
    ----------
    metrics : Metrics
    read_s : callable
        Returns the processor time of this process.
    """

    __slots__ = ("_metrics", "_read_s", "_taken_s", "_spent", "_requests")

    def __init__(self, metrics, read_s=time.process_time):
        self._metrics = metrics
        self._read_s = read_s
        self._taken_s = read_s()
        # Work -> [times, seconds] since the last call of `take`.
        self._spent = {}
        # Requests that had ended at the last call of `take`.
        self._requests = metrics.requests_ended

    @contextlib.contextmanager
    def measure(self, work):
        """Count the time of a block that does not await as time of some work."""
        begun_s = self._read_s()
        try:
            yield
        finally:
            self._add(work, self._read_s() - begun_s)

    def _add(self, work, spent_s, times=1):
        known = self._spent.setdefault(work, [0, 0.0])
        known[0] += times
        known[1] += spent_s
        self._metrics.count("processor_seconds_total", spent_s, work=work)
        self._metrics.count("processor_work_total", times, work=work)

    def take(self):
        """Return the fields of a log line and start a new interval.

        Returns
        -------
        dict of str to int or float
            ``processor_ms`` in all, and ``processor_WORK_ms`` for one report, plan and
            request, of those that there were. That of a request is all that is neither
            report nor plan.
        """
        now_s = self._read_s()
        total_s = now_s - self._taken_s
        known_s = sum(seconds for _, seconds in self._spent.values())
        requests = self._metrics.requests_ended - self._requests
        self._add(OTHER, max(0.0, total_s - known_s), requests)
        fields = {"processor_ms": round(1000 * total_s, 1)}
        for work, (times, seconds) in self._spent.items():
            if times:
                name = "request" if work == OTHER else work
                fields[f"processor_{name}_ms"] = round(1000 * seconds / times, 2)
        self._taken_s = now_s
        self._spent.clear()
        self._requests += requests
        return fields
