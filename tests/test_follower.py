"""Tests of the follower task with an in-memory log and fake peers."""

import asyncio

import pytest

from cassiamount.clock import ManualClock
from cassiamount.errors import PlatformUnavailable
from cassiamount.follower import (
    READ_LIMIT_RECORDS,
    SNAPSHOT_INTERVAL_MS,
    Follower,
)
from cassiamount.log_client import LogPage
from tests.fakes import FakeLog, FakePeers, ListFold
from tests.test_stream_cursor import checkpoint, withdraw_key


def make_follower(log, peers=None, clock=None):
    messages = []
    clock = ManualClock() if clock is None else clock
    follower = Follower("config", ListFold(), log, peers, clock, messages.append)
    return follower, messages


async def run_steps(follower, count):
    for _ in range(count):
        await follower.step()


async def test_follows_through_a_trim_to_the_checkpoint():
    """Guards against a follower that stops or misses records after a trim."""
    log = FakeLog()
    log.put("config", *map(withdraw_key, "abc"))
    follower, messages = make_follower(log)
    await follower.step()
    log.put("config", *map(withdraw_key, "de"), checkpoint(4, ["s"]), withdraw_key("f"))
    log.trim("config", 5)
    await run_steps(follower, 2)
    assert follower.fold.ids == ["s", "f"]
    assert [message.reloaded for message in messages] == [False, True]
    assert messages[-1].at_head
    assert follower.cursor.earliest == 5


async def test_without_a_checkpoint_asks_peers_and_else_waits():
    """Guards against skipping trimmed records without a checkpoint or snapshot."""
    log = FakeLog()
    log.put("config", *map(withdraw_key, "abcd"))
    log.trim("config", 2)
    follower, messages = make_follower(log)
    await run_steps(follower, 2)
    assert follower.cursor.needs_checkpoint and messages == []
    follower._peers = FakePeers(fold=ListFold())
    await asyncio.wait_for(step_ending_long_poll(follower, log), 5)
    assert follower.fold.ids == []
    source = ListFold()
    source.load_state(1, {"ids": ["a", "b"], "skipped": []})
    follower._peers = FakePeers(fold=source)
    follower._clock.advance(SNAPSHOT_INTERVAL_MS)
    await asyncio.wait_for(step_ending_long_poll(follower, log), 5)
    assert follower.fold.ids == ["a", "b", "c", "d", "x"]


async def step_ending_long_poll(follower, log):
    """Take a step whose long poll is ended by a new record."""
    step = asyncio.create_task(follower.step())
    await asyncio.sleep(0)
    log.put("config", withdraw_key("x"))
    return await step


async def test_outage_falls_back_to_peers_that_reach_the_log():
    """Guards against a VM that falls behind although its peers can read the log."""
    log, clock = FakeLog(), ManualClock(1000)
    log.put("config", withdraw_key("a"))
    follower, _ = make_follower(log, FakePeers(log), clock)
    await follower.step()
    assert follower.log_response_age_ms == 0
    broken = FakeLog()
    broken.set_reachable(False)
    follower._log = broken
    log.put("config", withdraw_key("b"))
    clock.advance(300)
    await follower.step()
    assert follower.fold.ids == ["a", "b"]
    assert follower.stale_ms == 0
    assert follower.log_response_age_ms == 300


async def test_start_during_an_outage_takes_a_peers_snapshot():
    """Guards against a VM that cannot start while the log is down."""
    log = FakeLog()
    log.set_reachable(False)
    source = ListFold()
    source.load_state(7, {"ids": ["a", "b"], "skipped": [3]})
    follower, messages = make_follower(log, FakePeers(fold=source))
    assert await follower.step()
    assert follower.fold.digest() == source.digest()
    assert messages[0].reloaded and not messages[0].at_head


async def test_staleness_counts_from_the_last_read_that_reached_the_head():
    """Guards against a VM that reports no staleness during an outage."""
    log, clock = FakeLog(), ManualClock()
    log.put("config", *map(withdraw_key, "ab"))
    follower, _ = make_follower(log, None, clock)
    clock.advance(50)
    assert follower.stale_ms == 50
    await follower.step()
    assert follower.stale_ms == 0
    log.set_reachable(False)
    clock.advance(400)
    assert not await follower.step()
    assert (follower.stale_ms, follower.log_response_age_ms) == (400, 400)
    log.set_reachable(True)
    log.put("config", *(withdraw_key(f"r{n}") for n in range(READ_LIMIT_RECORDS + 1)))
    await follower.step()
    assert (follower.stale_ms, follower.log_response_age_ms) == (400, 0)
    await follower.step()
    assert follower.stale_ms == 0


async def test_waits_when_nothing_was_gained():
    """Guards against a busy loop if the log does not long-poll at the head, or returns
    an empty page before the head."""

    class EagerLog(FakeLog):
        async def read(self, stream, from_offset, limit, wait_ms=0):
            return LogPage([], 0, self.next_offset)

    log = EagerLog()
    follower, _ = make_follower(log)
    for log.next_offset in (0, 5):
        assert not await follower.step()
    follower._log = FakeLog()
    follower._log.set_reachable(False)
    follower._peers = FakePeers(log)
    assert not await follower.step()


async def test_listeners_hear_of_changes_after_a_failure():
    """Guards against a listener that misses a change because another one failed."""
    log = FakeLog()
    log.put("config", withdraw_key("a"))
    follower, messages = make_follower(log)

    def fail_once(message):
        follower._listeners.remove(fail_once)
        raise RuntimeError("mailbox is full")

    follower._listeners.insert(0, fail_once)
    with pytest.raises(RuntimeError):
        await follower.run()
    assert messages == []
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0)
    task.cancel()
    assert [(m.reloaded, m.next_offset) for m in messages] == [(True, 1)]


@pytest.mark.parametrize("failures", [1, 3])
async def test_run_retries_after_failures(failures):
    """Guards against a follower that stops at the first failed read."""
    log = FakeLog()
    log.put("config", withdraw_key("a"))
    sleeps = []
    done = asyncio.Event()

    class FlakyLog(FakeLog):
        async def read(self, *arguments):
            if len(sleeps) < failures:
                raise PlatformUnavailable("flaky")
            return await log.read(*arguments)

    async def sleep(duration_s):
        sleeps.append(duration_s)

    follower = Follower(
        "config",
        ListFold(),
        FlakyLog(),
        None,
        ManualClock(),
        lambda message: done.set(),
        sleep,
    )
    task = asyncio.create_task(follower.run())
    await asyncio.wait_for(done.wait(), 5)
    task.cancel()
    assert follower.fold.ids == ["a"] and len(sleeps) == failures
