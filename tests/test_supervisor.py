"""Tests of the restarts of tasks that fail."""

import asyncio

import pytest
import structlog

from cassiamount import supervisor as supervisor_module
from cassiamount.clock import SystemClock
from cassiamount.errors import InvariantViolation
from cassiamount.supervisor import RAN_WELL_MS, Child, Supervisor

FAILURES = 40


@pytest.mark.parametrize(
    ("ran_ms", "delays_ms"),
    [
        ([0] * 7, [100, 200, 400, 800, 1_600, 2_000, 2_000]),
        ([0, 0, RAN_WELL_MS, 0], [100, 200, 100, 200]),
        ([0] * 5_000, None),
    ],
    ids=["in-a-row", "after-a-good-run", "for-hours"],
)
def test_restarts_are_bounded_in_rate(ran_ms, delays_ms):
    """Guards against restarts that take the processor, or come too late."""
    child = Child("c", None)
    delays = [child.on_failure(ran) for ran in ran_ms]
    assert max(delays) <= 2_000
    assert delays_ms is None or delays == delays_ms


async def _cancelled_inside():
    task = asyncio.create_task(asyncio.sleep(60))
    task.cancel()
    await task


async def _raise(error):
    raise error


@pytest.mark.parametrize(
    "fail",
    [
        lambda: _raise(TypeError("odd")),
        lambda: _raise(InvariantViolation("memory-not-overcommitted")),
        lambda: _raise(RecursionError()),
        _cancelled_inside,
    ],
    ids=["error", "invariant", "recursion", "cancelled-inside"],
)
async def test_task_that_keeps_failing_ends_nothing_else(monkeypatch, fail):
    """Guards against a process that ends because one of its tasks fails.

    A cancellation of what a task waits for is no end of the task either.
    """
    monkeypatch.setattr(supervisor_module, "MIN_RESTART_DELAY_MS", 0)
    starts = []
    recovered = asyncio.Event()
    other_may_end = asyncio.Event()

    async def failing():
        starts.append(1)
        if len(starts) <= FAILURES:
            await fail()
        recovered.set()

    supervisor = Supervisor("vm", SystemClock())
    supervisor.add("failing", failing)
    supervisor.add("other", other_may_end.wait)
    with structlog.testing.capture_logs() as lines:
        running = asyncio.create_task(supervisor.run())
        waiting = asyncio.create_task(recovered.wait())
        async with asyncio.timeout(30):
            await asyncio.wait([running, waiting], return_when="FIRST_COMPLETED")
        waiting.cancel()
        assert recovered.is_set()
        assert not running.done()
        other_may_end.set()
        await running
    assert supervisor.restarts == FAILURES
    assert len(lines) == FAILURES
    assert sum("exc_info" in line for line in lines) == 1
