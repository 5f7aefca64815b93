"""Tests of what a VM that orders engines is fed with."""

import asyncio

import pytest

from cassiamount import placement_runner
from cassiamount.mailbox import Mailbox
from cassiamount.placement_runner import PlacementRunner


class OddOnce:
    """Fails in an unexpected way once, and answers afterwards."""

    def __init__(self, answer):
        self.answer = answer
        self.is_odd = True

    def __call__(self):
        if self.is_odd:
            self.is_odd = False
            raise TypeError("of another type")
        return self.answer

    async def limits(self):
        return self()


@pytest.mark.parametrize("feed", ["_feed_demand", "_feed_limits"])
async def test_odd_value_does_not_end_a_feed(monkeypatch, feed):
    """Guards against placement by old numbers until the lease changes hands."""
    for name in ("DEMAND_INTERVAL_MS", "LIMITS_INTERVAL_MS"):
        monkeypatch.setattr(placement_runner, name, 1)
    runner = PlacementRunner.__new__(PlacementRunner)
    runner._demand_totals = OddOnce({"v1": "totals"})
    runner._weight_store = OddOnce("limits")
    mailbox = Mailbox("placement")
    feeding = asyncio.create_task(getattr(runner, feed)(mailbox))
    async with asyncio.timeout(30):
        assert await mailbox.receive()
    feeding.cancel()
