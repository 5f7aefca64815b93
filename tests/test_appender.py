"""Tests of the appender task with an in-memory log that loses calls."""

import asyncio
import random

import pytest

from cassiamount.appender import RESOLVE_READ_RECORDS, Appender
from cassiamount.clock import ManualClock
from cassiamount.errors import (
    AppendOutcomeUnknown,
    InvalidRecord,
    PlatformUnavailable,
)
from cassiamount.follower import Follower
from cassiamount.records import ReleaseLease, WithdrawKey
from tests.fakes import (
    ANSWER_LOST,
    APPENDED,
    LIMIT,
    REQUEST_LATE,
    REQUEST_LOST,
    FakeLog,
    FakePeers,
    ListFold,
)

STREAM = "claims-0"


async def no_sleep(duration_s):
    await asyncio.sleep(0)


class Vm:
    """Runs a follower and an appender of one stream, as a VM does."""

    def __init__(self, log, peers=None, direct_log=None, seed=1):
        direct_log = log if direct_log is None else direct_log
        self.fold = ListFold()
        self.follower = Follower(
            STREAM, self.fold, direct_log, peers, ManualClock(), None, no_sleep
        )
        self.appender = Appender(
            self.follower, direct_log, peers, random.Random(seed), sleep=no_sleep
        )

    async def __aenter__(self):
        self._tasks = [
            asyncio.create_task(self.follower.run()),
            asyncio.create_task(self.appender.run()),
        ]
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def append(self, id, timeout_ms=5000):
        return await self.appender.append(WithdrawKey(id, "vm", "h"), timeout_ms)


@pytest.mark.parametrize(
    ("script", "appends"),
    [
        ([APPENDED], 1),
        ([ANSWER_LOST], 1),
        ([REQUEST_LOST], 2),
        ([REQUEST_LOST, ANSWER_LOST], 2),
        ([REQUEST_LOST, REQUEST_LOST, APPENDED], 3),
        ([LIMIT, LIMIT], 3),
    ],
)
async def test_lost_responses_are_resolved_by_reading(script, appends):
    """Guards against sending a record again without reading whether the log holds it,
    and against not sending one again that the log does not hold."""
    log = FakeLog(script)
    log.put(STREAM, {"id": "other"})
    async with Vm(log) as vm:
        assert await vm.append("a") == 1
    assert len(log.appends) == appends
    assert vm.fold.ids == ["a"]


async def test_late_first_append_and_its_retry_count_once():
    """Guards against applying a record twice whose first append arrived late."""
    log = FakeLog([REQUEST_LATE, APPENDED])
    async with Vm(log) as vm:
        assert await vm.append("a") == 0
        log.deliver_late()
        assert await vm.append("b") == 2
    assert [value["id"] for value in log.streams[STREAM]] == ["a", "a", "b"]
    assert vm.fold.ids == ["a", "b"]


async def test_outage_is_reported_and_relayed():
    """Guards against a wrong outcome in an outage, and against a VM that cannot reach
    the log and does not use its peers."""
    log, down = FakeLog(), FakeLog()
    down.set_reachable(False)
    async with Vm(log, None, down) as vm:
        with pytest.raises(PlatformUnavailable):
            await vm.append("a")
    async with Vm(log, FakePeers(), down) as vm:
        with pytest.raises(PlatformUnavailable):
            await vm.append("b")
    log.script.extend([ANSWER_LOST, REQUEST_LOST])
    async with Vm(log, FakePeers(log), down) as vm:
        assert await vm.append("c") == 0
        assert await vm.append("d") == 1
    assert [ids for _, ids in log.appends] == [["c"], ["d"], ["d"]]


async def test_response_lost_before_an_outage_stays_unknown():
    """Guards against reporting a record that the log holds as not in it."""
    log = FakeLog()

    async def append(stream, values):
        log.put(stream, *values)
        log.set_reachable(False)
        raise AppendOutcomeUnknown("connection reset")

    log.append = append
    async with Vm(log) as vm:
        with pytest.raises(AppendOutcomeUnknown):
            await vm.append("a", timeout_ms=20)
        log.set_reachable(True)
        log.append = FakeLog.append.__get__(log)
        assert await vm.append("b") == 1


async def test_trimmed_before_it_was_resolved_is_unknown():
    """Guards against treating trimmed records as never appended."""
    log = FakeLog()

    async def append(stream, values):
        log.appends.append(values)
        log.trim(stream, len(log.put(stream, *values)))
        raise AppendOutcomeUnknown("connection reset")

    log.append = append
    vm = Vm(log)
    sending = asyncio.create_task(vm.appender.run())
    with pytest.raises(AppendOutcomeUnknown):
        await vm.append("a")
    sending.cancel()
    assert len(log.appends) == 1


async def test_resolving_reads_up_to_the_head():
    """Guards against sending a record again that the log holds after the first page."""
    log = FakeLog([ANSWER_LOST])
    vm = Vm(log)
    log.put(STREAM, *({"id": f"o{n}"} for n in range(RESOLVE_READ_RECORDS + 1)))
    waiting = asyncio.create_task(vm.append("a"))
    sending = asyncio.create_task(vm.appender.run())
    for _ in range(9):
        await asyncio.sleep(0)
    sending.cancel()
    async with vm:
        assert await waiting == RESOLVE_READ_RECORDS + 1
    assert len(log.appends) == 1


async def test_concurrent_records_share_appends():
    """Guards against one append per record, and against concurrent appends."""
    log = FakeLog()
    async with Vm(log) as vm:
        offsets = await asyncio.gather(*(vm.append(f"r{n}") for n in range(1200)))
    assert sorted(offsets) == list(range(1200))
    assert len(log.appends) == 3 and log.max_in_flight == 1


async def test_restarted_task_resolves_what_was_in_flight():
    """Guards against a record that is lost or sent twice after the task fails."""
    log = FakeLog()

    async def append(stream, values):
        log.put(stream, *values)
        log.append = FakeLog.append.__get__(log)
        raise KeyError("a bug")

    log.append = append
    vm = Vm(log)
    waiting = asyncio.create_task(vm.append("a"))
    await asyncio.sleep(0)
    with pytest.raises(KeyError):
        await vm.appender.run()
    sending = asyncio.create_task(vm.appender.run())
    for _ in range(5):
        await asyncio.sleep(0)
    assert not waiting.done()
    sending.cancel()
    async with vm:
        assert await waiting == 0
    assert log.appends == []


async def test_record_that_readers_would_skip_is_refused():
    """Guards against appending a record that no reader can decode."""
    vm = Vm(FakeLog())
    deep = {}
    for _ in range(1000):
        deep = {"a": deep}
    with pytest.raises(InvalidRecord):
        await vm.appender.append(ReleaseLease("a", "vm", "l", 1, deep))


@pytest.mark.parametrize("seed", range(25))
async def test_random_faults_never_cause_a_wrong_outcome(seed):
    """Guards against a wrong offset, a lost record, or a record that is in the log but
    was reported as not in it, with two VMs on one stream and combined faults."""
    rng = random.Random(seed)
    append_results = [APPENDED, ANSWER_LOST, REQUEST_LOST, REQUEST_LATE, LIMIT]
    log = FakeLog(rng.choices(append_results, [4, 2, 2, 2, 1], k=60))
    outcomes = {}

    async def write(vm, id):
        for _ in range(rng.randrange(30)):
            await asyncio.sleep(0)
        try:
            outcomes[id] = await vm.append(id, timeout_ms=rng.choice([1, 5000]))
        except (PlatformUnavailable, AppendOutcomeUnknown) as error:
            outcomes[id] = error

    async def inject_faults():
        for _ in range(40):
            await asyncio.sleep(0)
            if rng.random() < 0.1:
                log.set_reachable(not log.reachable)
            if rng.random() < 0.1:
                log.deliver_late()
        log.set_reachable(True)

    async with Vm(log, seed=seed) as one, Vm(log, seed=seed + 100) as two:
        writers = [write(rng.choice([one, two]), f"r{n}") for n in range(40)]
        await asyncio.gather(inject_faults(), *writers)
        log.deliver_late()
        await one.append("end")
        await two.append("end2")
    held = [value["id"] for value in log.streams[STREAM]]
    for id, outcome in outcomes.items():
        if isinstance(outcome, int):
            assert held.index(id) == outcome
        elif isinstance(outcome, PlatformUnavailable):
            assert id not in held
    assert len(outcomes) == 40
    assert two.fold.ids == list(dict.fromkeys(held))
