"""Tests of the dispatcher and of the budget gate inside it."""

import asyncio
import random
from pathlib import Path

import pytest

from cassiamount.admission import AdmissionQueue
from cassiamount.budget_holder import BudgetHolder
from cassiamount.budget_messages import Grant, Shortage
from cassiamount.clock import ManualClock
from cassiamount.configuration import parse_configuration
from cassiamount.dispatch_messages import (
    ConfigurationChanged,
    GrantsArrived,
    LeavingBackends,
    LoadReported,
    Retry,
    Submit,
    Tick,
    Withdraw,
)
from cassiamount.dispatcher import RETRY_WAIT_MS, Dispatcher
from cassiamount.load_report import LoadReport, Resident
from cassiamount.mailbox import Call, Mailbox
from cassiamount.requests import (
    BROKEN,
    DONE,
    NOT_ACCEPTED,
    AttemptEnded,
    Dispatch,
    Refusal,
    RequestInfo,
)
from cassiamount.routing import Router

EXAMPLE = Path(__file__).parent.parent / "examples" / "demo.json"
LIFETIME_MS = 2_000.0


class RecordingLink:
    """Notes what the gate asks for."""

    def __init__(self):
        self.asks = []
        self.reports = []

    def ask(self, asks):
        self.asks.append({ask.team: ask for ask in asks})

    def report(self, reports):
        self.reports.extend(reports)


class Bench:
    """A dispatcher on a manual clock with one fake owner of budgets."""

    def __init__(self, max_running=16):
        self.clock = ManualClock(now_ms=1_000.0)
        self.link = RecordingLink()
        self.withdrawn = set()
        self.grants = 0
        self.dispatcher = Dispatcher(
            Mailbox("dispatcher"),
            self.clock,
            random.Random(1),
            AdmissionQueue(100),
            Router("zone-a"),
            BudgetHolder("vm@1"),
            lambda key_hash: key_hash not in self.withdrawn,
            self.link,
            "zone-a",
            lambda model, adapter, tokens: None,
        )
        configuration = parse_configuration(EXAMPLE.read_text(), "demo").unwrap()
        for backend in configuration.backends.values():
            backend.max_running = max_running
        self.configuration = configuration
        self.send(ConfigurationChanged(configuration, ()))
        for name in ("engine-1", "engine-2"):
            residents = [Resident("loom-7b", "model", "1", "ready", 16000)]
            report = LoadReport(name, "i", residents=residents)
            self.send(LoadReported(report))

    def send(self, message):
        self.dispatcher.handle(message)
        self.dispatcher._dispatch_queued()

    def submit(self, number=1, tokens=100, **fields):
        request_info = RequestInfo(
            f"r{number}",
            "team-a",
            model="loom-7b",
            prompt_tokens=tokens // 2,
            max_output_tokens=tokens - tokens // 2,
            arrived_ms=self.clock.now_ms,
            deadline_ms=self.clock.now_ms + 30_000,
            key_hash="hash",
            **fields,
        )
        request = Call(Submit(request_info))
        self.send(request)
        return request

    def grant(self, tokens, team="team-a"):
        self.grants += 1
        deadline_ms = self.clock.now_ms + LIFETIME_MS
        grant = Grant(f"zone-a/0/1/{self.grants}", tokens, deadline_ms, LIFETIME_MS)
        self.send(GrantsArrived([team], {team: grant}))

    def end(self, request, outcome, used_tokens=0, final=True):
        dispatch = answer_of(request)
        ended = AttemptEnded(
            dispatch.request_info.request_id,
            dispatch.backend,
            outcome,
            used_tokens,
            final=final,
        )
        self.send(ended)
        return dispatch

    def retry(self, dispatch):
        request = Call(Retry(dispatch.request_info, 2, dispatch.backend))
        self.send(request)
        return request


def answer_of(request):
    """Return the reply of a call, or None while it waits."""
    future = request._reply
    return future.result() if future.done() else None


async def test_request_waits_for_tokens_and_is_dispatched():
    """Guards against a dispatch before the tokens are charged."""
    bench = Bench()
    request = bench.submit()
    assert answer_of(request) is None
    assert bench.link.asks[0]["team-a"].min_tokens == 100
    bench.grant(100)
    assert isinstance(answer_of(request), Dispatch)


@pytest.mark.parametrize(
    ("answer", "status", "code"),
    [
        (Shortage(5_000.0), 429, "rate_exceeded"),
        (None, 503, "not_run"),
    ],
)
async def test_request_without_tokens_is_refused_at_once(answer, status, code):
    """Guards against holding back a refusal whose reason is known."""
    bench = Bench()
    request = bench.submit()
    answers = {} if answer is None else {"team-a": answer}
    bench.send(GrantsArrived(["team-a"], answers))
    refusal = answer_of(request)
    assert (refusal.status, refusal.code, refusal.not_run) == (status, code, True)
    assert refusal.retry_after_s >= 1
    assert bench.dispatcher.active == 0


async def test_short_shortage_is_waited_out():
    """Guards against refusing a request whose tokens come within milliseconds."""
    bench = Bench()
    request = bench.submit()
    bench.send(GrantsArrived(["team-a"], {"team-a": Shortage(50.0)}))
    assert answer_of(request) is None
    bench.clock.advance(50)
    bench.send(Tick())
    assert len(bench.link.asks) == 2
    bench.grant(100)
    assert isinstance(answer_of(request), Dispatch)


async def test_large_request_is_not_overtaken():
    """Guards against small requests that starve a large one of the same team."""
    bench = Bench()
    large, small = bench.submit(1, tokens=1_000), bench.submit(2, tokens=10)
    bench.grant(500)
    assert answer_of(large) is None and answer_of(small) is None
    later = bench.submit(3, tokens=10)
    assert answer_of(later) is None
    bench.grant(600)
    for request in (large, small, later):
        assert isinstance(answer_of(request), Dispatch)


async def test_request_above_the_zone_burst_collects_blocks():
    """Guards against refusing for ever what only several zones together can grant."""
    bench = Bench()
    request = bench.submit(tokens=2_500)
    assert bench.link.asks[0]["team-a"].min_tokens == 1
    bench.grant(2_000)
    assert answer_of(request) is None
    bench.grant(500)
    assert isinstance(answer_of(request), Dispatch)


async def test_request_above_the_reachable_burst_is_refused_for_good():
    """Guards against a retry that can never succeed."""
    bench = Bench()
    refusal = answer_of(bench.submit(tokens=3_980))
    assert (refusal.code, refusal.retry_after_s) == ("exceeds_burst", None)


async def test_withdrawn_key_is_refused_at_dispatch():
    """Guards against running a queued request whose key was withdrawn."""
    bench = Bench()
    request = bench.submit()
    bench.withdrawn.add("hash")
    bench.grant(100)
    assert answer_of(request).code == "invalid_key"


@pytest.mark.parametrize(
    ("outcome", "code", "not_run"),
    [(NOT_ACCEPTED, "not_run", True), (BROKEN, "outcome_unknown", False)],
)
async def test_refused_retry_tells_the_truth(outcome, code, not_run):
    """Guards against "not run" after an attempt that may have run."""
    bench = Bench()
    request = bench.submit()
    bench.grant(100)
    dispatch = bench.end(request, outcome, final=False)
    bench.send(LeavingBackends(["engine-1", "engine-2"]))
    refusal = answer_of(bench.retry(dispatch))
    assert isinstance(refusal, Refusal)
    assert (refusal.code, refusal.not_run) == (code, not_run)


async def test_retry_waits_for_a_busy_replica():
    """Guards against breaking off an admitted answer because replicas are busy."""
    bench = Bench(max_running=1)
    first, second = bench.submit(1), bench.submit(2)
    bench.grant(200)
    dispatch = bench.end(first, BROKEN, final=False)
    third = bench.submit(3)
    bench.grant(100)
    assert isinstance(answer_of(third), Dispatch)
    retry = bench.retry(dispatch)
    assert answer_of(retry) is None
    bench.end(second, DONE, 100)
    assert isinstance(answer_of(retry), Dispatch)


async def test_retry_does_not_wait_for_ever():
    """Guards against an admitted request that never gets its final answer."""
    bench = Bench(max_running=1)
    first, second = bench.submit(1), bench.submit(2)
    bench.grant(200)
    dispatch = bench.end(first, BROKEN, final=False)
    third = bench.submit(3)
    bench.grant(100)
    assert answer_of(second) and answer_of(third)
    retry = bench.retry(dispatch)
    bench.clock.advance(RETRY_WAIT_MS + 1)
    bench.send(Tick())
    assert answer_of(retry).code == "outcome_unknown"


async def test_unused_tokens_return_to_the_block():
    """Guards against charging the reserved output that was not generated."""
    bench = Bench()
    request = bench.submit(tokens=100)
    bench.grant(100)
    assert bench.dispatcher.held_tokens()["team-a"] == 0
    bench.end(request, DONE, used_tokens=60)
    assert bench.dispatcher.held_tokens()["team-a"] == 40


async def test_withdrawn_submit_gives_its_dispatch_back():
    """Guards against a replica's slot that stays taken by a caller that has gone."""
    bench = Bench(max_running=1)
    for number in (1, 2):
        request = bench.submit(number)
        bench.grant(100)
        assert isinstance(answer_of(request), Dispatch)
        bench.send(Withdraw(f"r{number}"))
    last = [bench.submit(number) for number in (3, 4)]
    bench.grant(200)
    assert all(isinstance(answer_of(request), Dispatch) for request in last)


async def test_cancelled_submit_sends_a_withdrawal():
    """Guards against a queue entry without a caller."""
    bench = Bench()
    task = asyncio.create_task(bench.dispatcher.submit(RequestInfo("r1", "team-a")))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    for message in bench.dispatcher.mailbox.drain():
        bench.send(message)
    assert bench.dispatcher.active == 0
