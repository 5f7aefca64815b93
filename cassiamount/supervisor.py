"""Supervisor tree: restarts crashed child tasks at a bounded rate."""

import asyncio
from collections import deque

import structlog

from .errors import InvariantViolation

# More than this many restarts within the window means that a restart does not help.
MAX_RESTARTS = 5
RESTART_WINDOW_MS = 30_000
RESTART_DELAY_MS = 100

log = structlog.get_logger()


class RestartLimitReached(Exception):
    """A child crashed too often; the supervisor gives up."""


class Child:
    """One supervised task.

    Parameters
    ----------
    name : str
    start : callable
        Returns a new coroutine at each start.
    essential : bool
        Whether the supervisor stops when the child's restart limit is reached.
    """

    __slots__ = ("name", "start", "essential", "restarts", "times_ms", "state")

    def __init__(self, name, start, essential=True):
        self.name = name
        self.start = start
        self.essential = essential
        self.restarts = 0
        self.times_ms = deque()
        self.state = "new"


class Supervisor:
    """Runs children and restarts those that fail.

    A child that returns normally is finished and is not started again. Supervisors
    nest: a supervisor's `run` can be the start function of another one's child.

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

    def add(self, name, start, essential=True):
        """Register a child before `run` is called."""
        self._children.append(Child(name, start, essential))

    @property
    def children(self):
        """The registered children with their state and restart counts."""
        return tuple(self._children)

    @property
    def restarts(self):
        """How often children were started again."""
        return sum(child.restarts for child in self._children)

    async def run(self):
        """Run all children until one that is essential fails for good.

        Raises
        ------
        RestartLimitReached
        """
        try:
            async with asyncio.TaskGroup() as group:
                for child in self._children:
                    self._tasks[child.name] = group.create_task(
                        self._run_child(child), name=f"{self.name}/{child.name}"
                    )
        except* RestartLimitReached as errors:
            raise errors.exceptions[0] from None

    def cancel(self, name):
        """Stop one child for good."""
        task = self._tasks.get(name)
        if task is not None:
            task.cancel()

    async def _run_child(self, child):
        while True:
            child.state = "running"
            try:
                await child.start()
                child.state = "finished"
                return
            except asyncio.CancelledError:
                child.state = "cancelled"
                raise
            except InvariantViolation as error:
                log.error(
                    "invariant_violated",
                    child=child.name,
                    invariant=error.name,
                    detail=str(error),
                )
            except Exception as error:
                log.exception("child_failed", child=child.name, error=str(error))
            if not self._may_restart(child):
                child.state = "failed"
                log.error("child_gave_up", child=child.name, restarts=child.restarts)
                if child.essential:
                    raise RestartLimitReached(f"{self.name}/{child.name}")
                return
            child.restarts += 1
            await asyncio.sleep(RESTART_DELAY_MS / 1000)

    def _may_restart(self, child):
        now_ms = self._clock.monotonic_ms()
        times_ms = child.times_ms
        times_ms.append(now_ms)
        while times_ms and times_ms[0] < now_ms - RESTART_WINDOW_MS:
            times_ms.popleft()
        return len(times_ms) <= MAX_RESTARTS
