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
    CancelRequest,
    ConfigurationChanged,
    GrantsReceived,
    LeavingBackends,
    LoadReported,
    Retry,
    Submit,
    Tick,
)
from cassiamount.dispatcher import MAX_RETRY_WAIT_MS, Dispatcher
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
    """Records the token requests and reports of the budget gate."""

    def __init__(self):
        self.asks = []
        self.reports = []

    def request_tokens(self, asks):
        self.asks.append({ask.team: ask for ask in asks})

    def report(self, reports):
        self.reports.extend(reports)


class DispatcherHarness:
    """A dispatcher with a manual clock and a fake budget owner."""

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
        self.send(GrantsReceived([team], {team: grant}))

    def end(self, request, outcome, used_tokens=0, final=True):
        dispatch = reply_of(request)
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


def reply_of(request):
    """Return the reply to a call, or None if there is none yet."""
    future = request._reply
    return future.result() if future.done() else None


async def test_request_waits_for_tokens_and_is_dispatched():
    """Guards against dispatching a request before its tokens are charged."""
    harness = DispatcherHarness()
    request = harness.submit()
    assert reply_of(request) is None
    assert harness.link.asks[0]["team-a"].min_tokens == 100
    harness.grant(100)
    assert isinstance(reply_of(request), Dispatch)


@pytest.mark.parametrize(
    ("answer", "status", "code"),
    [
        (Shortage(5_000.0), 429, "rate_exceeded"),
        (None, 503, "not_run"),
    ],
)
async def test_request_without_tokens_is_refused_at_once(answer, status, code):
    """Guards against delaying a refusal whose reason is already known."""
    harness = DispatcherHarness()
    request = harness.submit()
    answers = {} if answer is None else {"team-a": answer}
    harness.send(GrantsReceived(["team-a"], answers))
    refusal = reply_of(request)
    assert (refusal.status, refusal.code, refusal.not_run) == (status, code, True)
    assert refusal.retry_after_s >= 1
    assert harness.dispatcher.active == 0


async def test_request_waits_out_a_short_shortage():
    """Guards against refusing a request whose tokens arrive within milliseconds."""
    harness = DispatcherHarness()
    request = harness.submit()
    harness.send(GrantsReceived(["team-a"], {"team-a": Shortage(50.0)}))
    assert reply_of(request) is None
    harness.clock.advance(50)
    harness.send(Tick())
    assert len(harness.link.asks) == 2
    harness.grant(100)
    assert isinstance(reply_of(request), Dispatch)


async def test_large_request_is_not_overtaken():
    """Guards against small requests that starve a large one of the same team."""
    harness = DispatcherHarness()
    large, small = harness.submit(1, tokens=1_000), harness.submit(2, tokens=10)
    harness.grant(500)
    assert reply_of(large) is None and reply_of(small) is None
    later = harness.submit(3, tokens=10)
    assert reply_of(later) is None
    harness.grant(600)
    for request in (large, small, later):
        assert isinstance(reply_of(request), Dispatch)


async def test_request_above_the_zone_burst_collects_several_grants():
    """Guards against never serving a request that needs grants of several zones."""
    harness = DispatcherHarness()
    request = harness.submit(tokens=2_500)
    assert harness.link.asks[0]["team-a"].min_tokens == 1
    harness.grant(2_000)
    assert reply_of(request) is None
    harness.grant(500)
    assert isinstance(reply_of(request), Dispatch)


async def test_request_above_the_reachable_burst_is_refused_for_good():
    """Guards against asking the caller for a retry that can never succeed."""
    harness = DispatcherHarness()
    refusal = reply_of(harness.submit(tokens=3_980))
    assert (refusal.code, refusal.retry_after_s) == ("exceeds_burst", None)


async def test_withdrawn_key_is_refused_at_dispatch():
    """Guards against running a queued request whose key was withdrawn."""
    harness = DispatcherHarness()
    request = harness.submit()
    harness.withdrawn.add("hash")
    harness.grant(100)
    assert reply_of(request).code == "invalid_key"


@pytest.mark.parametrize(
    ("outcome", "code", "not_run"),
    [(NOT_ACCEPTED, "not_run", True), (BROKEN, "outcome_unknown", False)],
)
async def test_refused_retry_reports_whether_it_may_have_run(outcome, code, not_run):
    """Guards against reporting "not run" after an attempt that may have run."""
    harness = DispatcherHarness()
    request = harness.submit()
    harness.grant(100)
    dispatch = harness.end(request, outcome, final=False)
    harness.send(LeavingBackends(["engine-1", "engine-2"]))
    refusal = reply_of(harness.retry(dispatch))
    assert isinstance(refusal, Refusal)
    assert (refusal.code, refusal.not_run) == (code, not_run)


async def test_retry_waits_for_a_busy_replica():
    """Guards against aborting an admitted request because all replicas are busy."""
    harness = DispatcherHarness(max_running=1)
    first, second = harness.submit(1), harness.submit(2)
    harness.grant(200)
    dispatch = harness.end(first, BROKEN, final=False)
    third = harness.submit(3)
    harness.grant(100)
    assert isinstance(reply_of(third), Dispatch)
    retry = harness.retry(dispatch)
    assert reply_of(retry) is None
    harness.end(second, DONE, 100)
    assert isinstance(reply_of(retry), Dispatch)


async def test_retry_does_not_wait_for_ever():
    """Guards against an admitted request that waits without a limit."""
    harness = DispatcherHarness(max_running=1)
    first, second = harness.submit(1), harness.submit(2)
    harness.grant(200)
    dispatch = harness.end(first, BROKEN, final=False)
    third = harness.submit(3)
    harness.grant(100)
    assert reply_of(second) and reply_of(third)
    retry = harness.retry(dispatch)
    harness.clock.advance(MAX_RETRY_WAIT_MS + 1)
    harness.send(Tick())
    assert reply_of(retry).code == "outcome_unknown"


async def test_unused_tokens_return_to_the_block():
    """Guards against charging for reserved output that was not generated."""
    harness = DispatcherHarness()
    request = harness.submit(tokens=100)
    harness.grant(100)
    assert harness.dispatcher.held_tokens()["team-a"] == 0
    harness.end(request, DONE, used_tokens=60)
    assert harness.dispatcher.held_tokens()["team-a"] == 40


async def test_cancelled_submit_releases_its_dispatch():
    """Guards against counting a disconnected caller's request as in flight."""
    harness = DispatcherHarness(max_running=1)
    for number in (1, 2):
        request = harness.submit(number)
        harness.grant(100)
        assert isinstance(reply_of(request), Dispatch)
        harness.send(CancelRequest(f"r{number}"))
    last = [harness.submit(number) for number in (3, 4)]
    harness.grant(200)
    assert all(isinstance(reply_of(request), Dispatch) for request in last)


async def test_cancelled_submit_removes_its_entry():
    """Guards against a queue entry that remains after its caller disconnected."""
    harness = DispatcherHarness()
    task = asyncio.create_task(harness.dispatcher.submit(RequestInfo("r1", "team-a")))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    for message in harness.dispatcher.mailbox.drain():
        harness.send(message)
    assert harness.dispatcher.active == 0
