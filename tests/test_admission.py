"""Tests of the admission queue."""

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiamount.admission import AdmissionQueue, Queued, Refused
from cassiamount.admission_teams import LATE_WAIT_FRACTION
from cassiamount.requests import BATCH, INTERACTIVE, NORMAL, PRIORITIES, RequestInfo


def request_info(number, team="a", priority=NORMAL, model="m", tokens=100, **fields):
    return RequestInfo(
        f"{team}-{number}",
        team,
        priority,
        model=model,
        prompt_tokens=tokens,
        max_output_tokens=0,
        **fields,
    )


def test_teams_share_by_tokens_served():
    """Guards against a team that starves another by long or many requests."""
    queue = AdmissionQueue()
    for number in range(200):
        queue.offer(request_info(number, "large", tokens=400), 0.0)
    for number in range(40):
        queue.offer(request_info(number, "small", tokens=100), 0.0)
    served = Counter()
    for _ in range(50):
        taken = queue.take(0.0, lambda _: True)
        served[taken.team] += taken.cost_tokens
    assert abs(served["large"] - served["small"]) <= 400


def test_idle_team_accumulates_no_credit():
    """Guards against a formerly idle team that blocks the others for a long time."""
    queue = AdmissionQueue()
    queue.offer(request_info(0, "late"), 0.0)
    for number in range(300):
        queue.offer(request_info(number, "busy"), 0.0)
    for _ in range(200):
        queue.take(0.0, lambda _: True)
    for number in range(1, 60):
        queue.offer(request_info(number, "late"), 0.0)
    teams = Counter(queue.take(0.0, lambda _: True).team for _ in range(40))
    assert 15 <= teams["late"] <= 25


@pytest.mark.parametrize("other_waits", [False, True])
def test_team_that_was_served_alone_is_not_shut_out(other_waits):
    """Guards against a team that pays for what it got while no one else wanted it."""
    queue = AdmissionQueue()
    if other_waits:
        queue.offer(request_info(0, "late", model="loading"), 0.0)
    for number in range(2_000):
        queue.offer(request_info(number, "alone"), 0.0)
        queue.take(0.0, lambda waiting: waiting.model == "m")
    for number in range(2_000, 2_600):
        queue.offer(request_info(number, "alone"), 0.0)
        queue.offer(request_info(number, "late"), 0.0)
    teams = Counter(queue.take(0.0, lambda _: True).team for _ in range(600))
    assert teams["alone"] >= 190


def test_refused_request_earns_no_credit():
    """Guards against a team over its rate that gains priority from refusals."""
    queue = AdmissionQueue()
    for number in range(20):
        queue.offer(request_info(number, "over"), 0.0)
        queue.offer(request_info(number, "within"), 0.0)
        queue.settle(request_info(100 + number, "over"), 0)
    teams = Counter(queue.take(0.0, lambda _: True).team for _ in range(20))
    assert teams["over"] == teams["within"]


@pytest.mark.parametrize(("reserve", "least"), [(0.05, 4), (0.0, 0)])
def test_lower_class_gets_its_reserve(reserve, least):
    """Guards against batch requests that starve while other classes have requests."""
    queue = AdmissionQueue(reserve=reserve)
    for number in range(120):
        queue.offer(request_info(number, "a", INTERACTIVE), 0.0)
        queue.offer(request_info(number, "b", BATCH), 0.0)
    classes = Counter(queue.take(0.0, lambda _: True).priority for _ in range(100))
    assert least <= classes[BATCH] <= 6


def test_route_without_replica_delays_no_other():
    """Guards against a model that is still loading and blocks the whole queue."""
    queue = AdmissionQueue()
    queue.offer(request_info(1, model="loading"), 0.0)
    queue.offer(request_info(2, model="ready"), 0.0)
    taken = queue.take(0.0, lambda waiting: waiting.model == "ready")
    assert taken.request_id == "a-2"


def test_full_queue_displaces_the_longest_teams_newest_request():
    """Guards against one team that fills the queue and locks out the others."""
    queue = AdmissionQueue(limit=10)
    for number in range(10):
        queue.offer(request_info(number, "large"), 0.0)
    offer = queue.offer(request_info(0, "small"), 0.0)
    assert isinstance(offer, Queued)
    assert [victim.request_id for victim, _ in offer.displaced] == ["large-9"]
    refused = queue.offer(request_info(11, "large"), 0.0)
    assert isinstance(refused, Refused) and refused.refusal.code == "queue_full"


def test_deadline_that_cannot_be_met_is_refused_at_once():
    """Guards against a queued request that is bound to miss its deadline."""
    queue = AdmissionQueue()
    for number in range(100):
        queue.offer(request_info(number), 0.0)
    for step in range(60):
        queue.take(100.0 * step, lambda _: True)
    offer = queue.offer(request_info(100, deadline_ms=6_500.0), 6_000.0)
    assert offer.refusal.code == "deadline_cannot_be_met"
    assert offer.refusal.not_run and offer.refusal.retry_after_s > 1
    assert isinstance(
        queue.offer(request_info(1, "b", deadline_ms=6_500.0), 6_000.0), Queued
    )


def test_newer_requests_overtake_late_ones_without_starving_them():
    """Guards against an overload in which every request is served too late."""
    queue = AdmissionQueue()
    for number in range(100):
        now_ms = 20.0 * number
        new = request_info(number, arrived_ms=now_ms, deadline_ms=now_ms + 10_000.0)
        queue.offer(new, now_ms)
    taken = [queue.take(2_000.0, lambda _: True).arrived_ms for _ in range(40)]
    assert sum(arrived_ms > 1_000.0 for arrived_ms in taken) >= 20
    assert sum(arrived_ms < 500.0 for arrived_ms in taken) >= 5


class AdmissionMachine(RuleBasedStateMachine):
    """Checks random operations on the queue against a simple model of it."""

    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue(limit=12)
        self.now_ms = 0.0
        self.number = 0
        self.waiting = {}

    @rule(
        team=st.sampled_from("abc"),
        priority=st.sampled_from(PRIORITIES),
        model=st.sampled_from("xy"),
        tokens=st.integers(1, 500),
        slack_ms=st.sampled_from([50.0, 1_000.0, float("inf")]),
    )
    def offer(self, team, priority, model, tokens, slack_ms):
        self.number += 1
        new = request_info(
            self.number,
            team,
            priority,
            model,
            tokens,
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + slack_ms,
        )
        result = self.queue.offer(new, self.now_ms)
        if isinstance(result, Refused):
            assert result.refusal.not_run
            assert result.refusal.code != "queue_full" or len(self.waiting) == 12
            return
        for victim, _ in result.displaced:
            del self.waiting[victim.request_id]
        self.waiting[new.request_id] = new

    @rule(models=st.sets(st.sampled_from("xy")))
    def take(self, models):
        asked = []

        def ready(waiting):
            asked.append(waiting)
            return waiting.model in models

        taken = self.queue.take(self.now_ms, ready)
        assert taken is None or asked[-1] is taken
        assert len({t.model for t in asked}) == len(asked)
        possible = [t for t in self.waiting.values() if t.model in models]
        assert (taken is None) == (not possible)
        if taken is not None:
            assert taken.model in models
            # Requests of one team, class and route are served in order, unless the
            # oldest one is late; then the newest one may be served first.
            same = [
                t
                for t in possible
                if (t.team, t.priority, t.model)
                == (taken.team, taken.priority, taken.model)
            ]
            timeout_ms = same[0].deadline_ms - same[0].arrived_ms
            late = self.now_ms - same[0].arrived_ms > LATE_WAIT_FRACTION * timeout_ms
            assert taken is same[0] or (late and taken is same[-1])
            del self.waiting[taken.request_id]

    @rule(by_ms=st.sampled_from([1.0, 60.0, 900.0]))
    def advance(self, by_ms):
        self.now_ms += by_ms
        late = {
            name for name, t in self.waiting.items() if t.deadline_ms <= self.now_ms
        }
        assert {t.request_id for t in self.queue.expire(self.now_ms)} == late
        for name in late:
            del self.waiting[name]

    @rule(data=st.data())
    def cancel(self, data):
        if self.waiting:
            name = data.draw(st.sampled_from(sorted(self.waiting)))
            assert self.queue.remove(name) is self.waiting.pop(name)
        assert self.queue.remove("unknown") is None

    @invariant()
    def same_requests_wait(self):
        assert len(self.queue) == len(self.waiting) <= 12
        routes = Counter(t.model for t in self.waiting.values())
        assert self.queue.waiting_by_route() == dict(routes)


AdmissionMachine.TestCase.settings = settings(
    derandomize=True, max_examples=2_000, stateful_step_count=50, deadline=None
)
TestAdmissionMachine = AdmissionMachine.TestCase
