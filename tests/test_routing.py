"""Tests of the router and the prefix index."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from cassiamount.errors import InvariantViolation
from cassiamount.load_report import LEAVING, LIVE, LoadReport, Resident
from cassiamount.prefix_index import CacheEvent, PrefixIndex
from cassiamount.requests import BROKEN, DONE, NOT_ACCEPTED, AttemptEnded, RequestInfo
from cassiamount.routing import NoReplica, Router, SelectedReplica

ENGINES = ("e1", "e2", "e3", "e4")


def backend(name, kind="engine", service="", zone="z1"):
    return SimpleNamespace(
        name=name,
        zone=zone,
        address=f"{name}:1",
        kind=kind,
        service=service,
        max_running=4,
    )


def configuration(names=ENGINES):
    backends = {name: backend(name) for name in names}
    backends["s1"] = backend("s1", "service", "shop")
    return SimpleNamespace(backends=backends)


def report(name, running=0, models=("m",), as_of_ms=0.0, **fields):
    residents = [Resident(model, "model", "1", "ready", 1) for model in models]
    return LoadReport(
        name, "i", running, residents=residents, as_of_ms=as_of_ms, **fields
    )


def make_router(names=ENGINES, **running):
    router = Router("z1")
    router.set_configuration(configuration(names))
    for name in names:
        router.on_report(report(name, running.get(name, 0)), 0.0)
    return router


def choose_backend(router, now_ms=0.0, seed=1, **fields):
    fields.setdefault("model", "m")
    result = router.choose(RequestInfo("r", "t", **fields), now_ms, random.Random(seed))
    return result.backend if isinstance(result, SelectedReplica) else result.reason


def test_sent_requests_correct_a_lagging_report():
    """Guards against sending all requests to the replica with the lowest report."""
    router = make_router(("e1", "e2"), e1=1, e2=2)
    for number, expected in enumerate(["e1", "e1", "e2"]):
        assert choose_backend(router) == expected
        router.on_sent(RequestInfo(str(number), "t", model="m"), expected)


def test_selection_varies_among_similar_replicas():
    """Guards against VMs with equal reports that all select the same replica."""
    router = make_router()
    assert len({choose_backend(router, seed=seed) for seed in range(30)}) > 1


def test_replica_with_cached_prefix_is_preferred():
    """Guards against repeating the prefill of a prompt on another replica."""
    router = make_router(e3=2)
    router.prefix_index.on_sent("e3", (1, 2, 3, 4))
    fields = {"prompt_tokens": 600, "prefix_hashes": (1, 2, 3, 4)}
    assert {choose_backend(router, seed=s, **fields) for s in range(20)} == {"e3"}


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (lambda r: r.set_leaving(["e1"]), "e2"),
        (lambda r: r.set_draining([("e1", "m")]), "e2"),
        (lambda r: r.on_report(report("e1", state=LEAVING), 1.0), "e2"),
        (lambda r: r.on_report(report("e1", models=()), 1.0), "e2"),
        (lambda r: r.on_report(report("e1", running=4), 1.0), "e2"),
        (lambda r: r.set_leaving(["e1", "e2"]), "unavailable"),
        (lambda r: [r.on_report(report(e, models=()), 1.0) for e in ENGINES[:2]], None),
        (lambda r: [r.on_report(report(e, 9), 1.0) for e in ENGINES[:2]], "busy"),
        (lambda r: r.set_configuration(configuration(("e2",))), "e2"),
    ],
)
def test_excluded_replicas_get_no_request(change, expected):
    """Guards against selecting a replica that must not or cannot take requests."""
    router = make_router(("e1", "e2"))
    change(router)
    for seed in range(8):
        assert choose_backend(router, 2.0, seed) == (expected or "not-resident")


def test_broken_replica_is_ejected_but_never_the_only_one():
    """Guards against repeated errors, and against ejecting a model's only replica."""
    for names, expected in ((("e1", "e2"), "e2"), (("e1",), "e1")):
        router = make_router(names)
        for number in range(3):
            router.on_sent(RequestInfo(str(number), "t", model="m"), "e1")
            router.on_ended(AttemptEnded(str(number), "e1", BROKEN), 1.0)
        # A cached prefix outweighs the penalty for the errors.
        prompt = {"prompt_tokens": 9_000, "prefix_hashes": range(70)}
        router.prefix_index.on_sent("e1", range(70))
        assert {choose_backend(router, 2.0, seed, **prompt) for seed in range(8)} == {
            expected
        }


def test_plain_service_needs_no_report():
    """Guards against a service that gets no requests until its first load report."""
    assert choose_backend(make_router(), model="", service="shop") == "s1"


def test_late_dispatch_to_leaving_backend_is_a_violation():
    """Guards against requests to a server long after it began to leave."""
    router = make_router()
    router.set_leaving(["e1"])
    router.on_report(report("e2", as_of_ms=5_000.0), 5_000.0)
    with pytest.raises(InvariantViolation):
        router.on_sent(RequestInfo("r", "t", model="m"), "e1")


def test_prefix_index_with_gaps_and_restart():
    """Guards against trust in blocks after missed events, and against growth."""
    index = PrefixIndex(total_limit=100)
    stored = [CacheEvent(n, "stored", n) for n in range(4)]
    index.on_events("e1", "i", stored)
    assert index.cached_tokens("e1", (0, 1, 2, 9)) == 384
    index.on_events("e1", "i", [CacheEvent(1, "cleared"), CacheEvent(4, "removed", 2)])
    assert index.cached_tokens("e1", (0, 1, 2)) == 256
    index.on_events("e1", "i", [CacheEvent(9, "stored", 7)])
    assert index.cached_tokens("e1", (0, 1)) == 128
    index.on_events("e1", "j", [CacheEvent(0, "stored", 5)])
    assert index.cached_tokens("e1", (0, 1)) == 0
    for replica in range(7):
        index.on_sent(f"x{replica}", range(500))
    assert len(index) <= 100


class RoutingMachine(RuleBasedStateMachine):
    """Applies reports, dispatches, ends, leaving and draining in random order."""

    def __init__(self):
        super().__init__()
        self.router = Router("z1")
        self.router.set_configuration(configuration())
        self.rng = random.Random(7)
        self.now_ms = 0.0
        self.number = 0
        self.names = set(ENGINES)
        self.models = {}
        self.leaving_reports = set()
        self.leaving = set()
        self.draining = set()
        self.in_flight = {}

    @rule(
        name=st.sampled_from(ENGINES),
        running=st.integers(0, 5),
        models=st.sets(st.sampled_from("mn")),
        state=st.sampled_from([LIVE, LIVE, LEAVING]),
    )
    def on_report(self, name, running, models, state):
        self.now_ms += 10
        new = report(name, running, models, self.now_ms, state=state)
        self.router.on_report(new, self.now_ms)
        if name in self.names:
            self.models[name] = models
            self.leaving_reports.discard(name)
            if state == LEAVING:
                self.leaving_reports.add(name)

    @rule(names=st.sets(st.sampled_from(ENGINES)))
    def set_leaving(self, names):
        self.leaving = names
        self.router.set_leaving(names)

    @rule(pairs=st.sets(st.tuples(st.sampled_from(ENGINES), st.sampled_from("mn"))))
    def set_draining(self, pairs):
        self.draining = pairs
        self.router.set_draining(pairs)

    @rule(names=st.sets(st.sampled_from(ENGINES), min_size=1))
    def set_configuration(self, names):
        self.router.set_configuration(configuration(names))
        for name in self.names - names:
            self.models.pop(name, None)
            self.leaving_reports.discard(name)
            self.in_flight = {r: b for r, b in self.in_flight.items() if b != name}
        self.names = names

    @rule(model=st.sampled_from("mn"), exclude=st.sets(st.sampled_from(ENGINES)))
    def choose(self, model, exclude):
        self.number += 1
        request_info = RequestInfo(str(self.number), "t", model=model)
        result = self.router.choose(request_info, self.now_ms, self.rng, exclude)
        holders = {n for n, models in self.models.items() if model in models}
        usable = {
            n
            for n in holders - self.leaving - self.leaving_reports
            if (n, model) not in self.draining
        }
        if isinstance(result, NoReplica):
            assert (result.reason == "not-resident") == (not holders)
            # The only usable replica is never excluded because of its errors.
            assert len(usable) != 1 or usable & exclude or result.reason == "busy"
            return
        assert result.backend in usable - exclude
        running = sum(1 for b in self.in_flight.values() if b == result.backend)
        assert running < 4
        self.router.on_sent(request_info, result.backend)
        self.in_flight[request_info.request_id] = result.backend

    @rule(data=st.data(), outcome=st.sampled_from([DONE, BROKEN, NOT_ACCEPTED]))
    def end(self, data, outcome):
        self.now_ms += 1
        if self.in_flight:
            name = data.draw(st.sampled_from(sorted(self.in_flight)))
            ended = AttemptEnded(name, self.in_flight.pop(name), outcome, 5, 20.0, 90.0)
            self.router.on_ended(ended, self.now_ms)


RoutingMachine.TestCase.settings = settings(
    derandomize=True, max_examples=2_000, stateful_step_count=50, deadline=None
)
TestRoutingMachine = RoutingMachine.TestCase
