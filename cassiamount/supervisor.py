"""Supervisor tree: restarts crashed child tasks at a bounded rate."""

import asyncio

import structlog

from .errors import InvariantViolation

# Delay before a restart. It doubles with each failure in a row, up to the maximum.
MIN_RESTART_DELAY_MS = 100
MAX_RESTART_DELAY_MS = 2_000
# A child that ran for this long has no failures in a row.
RAN_WELL_MS = 10_000
# Interval of the tracebacks of a child that fails in the same way again and again.
TRACEBACK_INTERVAL_MS = 60_000

log = structlog.get_logger()


class Child:
    """One supervised task.

    Parameters
    ----------
    name : str
    start : callable
        Returns a new coroutine at each start.
    """

    __slots__ = ("name", "start", "restarts", "failures", "state", "_traceback")

    def __init__(self, name, start):
        self.name = name
        self.start = start
        self.restarts = 0
        # Failures in a row.
        self.failures = 0
        self.state = "new"
        # Type of the last error with a traceback, and the time of its log line.
        self._traceback = None

    def on_failure(self, ran_ms):
        """Count a failure and return the delay before the restart."""
        self.failures = 1 if ran_ms >= RAN_WELL_MS else self.failures + 1
        exponent = min(self.failures - 1, 10)
        return min(MAX_RESTART_DELAY_MS, MIN_RESTART_DELAY_MS * 2**exponent)

    def needs_traceback(self, error, now_ms):
        """Return whether the log line of a failure should show where it came from."""
        if self._traceback is not None:
            kind, logged_ms = self._traceback
            if kind is type(error) and now_ms - logged_ms < TRACEBACK_INTERVAL_MS:
                return False
        self._traceback = (type(error), now_ms)
        return True


class Supervisor:
    """Runs children and restarts those that fail.

    A child that fails again and again never ends the others: what they do for callers
    goes on without it, and it recovers once what it depends on has. A child that
    returns normally is finished and is not started again. Supervisors nest: a
    supervisor's `run` can be the start function of another one's child.

    Parameters
    ----------
    name : str
    clock : SystemClock or ManualClock
    """

    def __init__(self, name, clock):
        self.name = name
        self._clock = clock
        self._children = []
        self._tasks = {}

    def add(self, name, start):
        """Register a child before `run` is called."""
        self._children.append(Child(name, start))

    @property
    def children(self):
        """The registered children with their state and restart counts."""
        return tuple(self._children)

    @property
    def restarts(self):
        """How often children were started again."""
        return sum(child.restarts for child in self._children)

    async def run(self):
        """Run all children until all have finished."""
        async with asyncio.TaskGroup() as group:
            for child in self._children:
                self._tasks[child.name] = group.create_task(
                    self._run_child(child), name=f"{self.name}/{child.name}"
                )

    def cancel(self, name):
        """Stop one child for good."""
        task = self._tasks.get(name)
        if task is not None:
            task.cancel()

    async def _run_child(self, child):
        while True:
            child.state = "running"
            begun_ms = self._clock.monotonic_ms()
            try:
                await child.start()
                child.state = "finished"
                return
            except asyncio.CancelledError as error:
                # Something that the child waited for may have been cancelled instead.
                if asyncio.current_task().cancelling():
                    child.state = "cancelled"
                    raise
                failure = error
            except Exception as error:
                failure = error
            child.state = "failed"
            now_ms = self._clock.monotonic_ms()
            delay_ms = child.on_failure(now_ms - begun_ms)
            self._log_failure(child, failure, now_ms, delay_ms)
            await asyncio.sleep(delay_ms / 1000)
            child.restarts += 1

    def _log_failure(self, child, error, now_ms, delay_ms):
        event, fields = "child_failed", {}
        if isinstance(error, InvariantViolation):
            event, fields["invariant"] = "invariant_violated", error.name
        if child.needs_traceback(error, now_ms):
            fields["exc_info"] = error
        log.error(
            event,
            child=child.name,
            error=repr(error),
            failures=child.failures,
            delay_ms=delay_ms,
            **fields,
        )
