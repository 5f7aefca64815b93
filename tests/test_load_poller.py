"""Tests of the polls of backend servers."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from cassiamount import load_poller
from cassiamount.load_poller import LoadPoller
from cassiamount.mailbox import Mailbox
from cassiamount.metrics import Metrics

BACKEND = SimpleNamespace(name="e1", address="e1:1", kind="other")
CONFIGURATION = SimpleNamespace(backends={"e1": BACKEND})


class OddClient:
    """Client of a server whose first answer breaks the poll, if it is set to."""

    odd = False
    polls = 0

    async def load(self):
        OddClient.polls += 1
        if OddClient.odd:
            OddClient.odd = False
            raise TypeError("of another type")
        return "report"

    async def close(self):
        pass


@pytest.mark.parametrize("broken", ["task", "answer"])
async def test_server_is_polled_again_after_a_failure(monkeypatch, broken):
    """Guards against a server whose load is unknown until the next configuration."""
    monkeypatch.setattr(load_poller, "LOAD_INTERVAL_MS", 1)
    reports = Mailbox("reports")
    poller = LoadPoller(
        Mailbox("poller"),
        [reports],
        Mailbox("router"),
        lambda name, address: OddClient(),
        random.Random(1),
        Metrics(),
    )
    OddClient.odd = broken == "answer"
    poller.mailbox.send(CONFIGURATION)
    if broken == "task":
        poller.mailbox.send(None)
        with pytest.raises(AttributeError):
            await poller.run()
    running = asyncio.create_task(poller.run())
    async with asyncio.timeout(30):
        for _ in range(2):
            assert (await reports.receive()).report == "report"
    running.cancel()
