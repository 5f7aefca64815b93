"""Tests of the selection of a replica for a request."""

import random

import pytest

from cassiamount.change_counter import ChangeCounter
from cassiamount.errors import InvariantViolation
from cassiamount.fleet import BackendRecord, RequestMetadata, RouteConfig
from cassiamount.fleet_view import MIN_FAILURES, FleetView
from cassiamount.replica_selection import (
    DEFAULT_RETRY_AFTER_MS,
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    NoReplicaReady,
    ReplicaSelector,
    SelectedReplica,
    SentPrefixIndex,
    clamp_retry_after_ms,
    first_byte_timeout_ms,
)
from cassiamount.request_limits import RequestLimits
from cassiamount.server_notices import ServerNotices


def record(name, service="s", zone="z1", leaving=False, started=1, models=()):
    residents = {model: frozenset(["a1"]) for model in models}
    return BackendRecord(
        name,
        service,
        f"{name}:1",
        zone,
        4,
        leaving,
        started_wall_ms=started,
        residents=residents,
    )


def view_of(*records):
    view = FleetView(ServerNotices(ChangeCounter()))
    view.replace({item.name: item for item in records})
    return view


def make_limits(vms=("v1",)):
    return RequestLimits("v1", ChangeCounter(), lambda: sorted(vms))


def selector_of(view, limits=None):
    return ReplicaSelector(view, "z1", SentPrefixIndex(), limits or make_limits())


def call_metadata(model="m", adapter="", prefix=()):
    return RequestMetadata(
        "r", "POST", "h", "/", "", None, model, adapter, 500, 10, prefix
    )


@pytest.mark.parametrize(
    ("loads", "zones", "chosen"),
    [
        ({"b1": 0, "b2": 0}, {"b1": "z2", "b2": "z1"}, "b2"),
        ({"b1": 1, "b2": 9}, {"b1": "z2", "b2": "z1"}, "b1"),
        ({"b1": 4, "b2": 1}, {"b1": "z1", "b2": "z1"}, "b2"),
    ],
    ids=["near", "far-but-free", "less-loaded"],
)
def test_service_request_goes_to_fastest_replica(loads, zones, chosen):
    """Guards against requests that queue while another replica is free."""
    view = view_of(*(record(name, zone=zone) for name, zone in zones.items()))
    for name, load in loads.items():
        view.backends[name].peer_requests = load
    assert selector_of(view).select_for_service("s", 0.0).view.record.name == chosen


def test_leaving_and_excluded_replicas_are_not_chosen():
    """Guards against sending a request to a replica that leaves or has failed it."""
    view = view_of(record("b1", leaving=True), record("b2"), record("b3"))
    assert (
        selector_of(view).select_for_service("s", 0.0, {"b2"}).view.record.name == "b3"
    )
    assert isinstance(
        selector_of(view).select_for_service("s", 0.0, {"b2", "b3"}), NoReplicaReady
    )
    with pytest.raises(InvariantViolation):
        view.record_sent("b1", "s")


@pytest.mark.parametrize(
    ("asked", "reason", "wait_ms"),
    [
        (call_metadata("m"), None, None),
        (call_metadata("m", "a1"), None, None),
        (call_metadata("m", "a2"), "adapter", 700.0),
        (call_metadata("n"), "model", None),
        (call_metadata("o"), "model", 700.0),
        (call_metadata("q"), "model", 1_900.0),
    ],
    ids=["model", "adapter", "no-adapter", "no-model", "on-its-way", "queued"],
)
def test_model_request(asked, reason, wait_ms):
    """Guards against sending a request to an engine that has not loaded its model."""
    view = view_of(record("e1", models=["m"]))
    view.backends["e1"].loading = {"o": 800.0}
    view.queued = {"q": 2_000.0}
    found = selector_of(view).select_for_model("s", asked, 100.0)
    if reason is None:
        assert isinstance(found, SelectedReplica)
    else:
        assert (found.reason, found.wait_ms) == (reason, wait_ms)


def test_draining_model_is_not_used():
    """Guards against requests that delay the unloading of a model."""
    view = view_of(record("e1", models=["m"]))
    view.backends["e1"].drained = frozenset(["m"])
    assert isinstance(
        selector_of(view).select_for_model("s", call_metadata(), 0.0), NoReplicaReady
    )


def test_cached_prefix_attracts_requests():
    """Guards against prefilling a prompt that another engine has cached."""
    view = view_of(record("e1", models=["m"]), record("e2", models=["m"]))
    prefixes = SentPrefixIndex()
    selector = ReplicaSelector(view, "z1", prefixes, make_limits())
    asked = call_metadata(prefix=(("p", 300), ("q", 200)))
    prefixes.record_sent("e2", asked)
    assert selector.select_for_model("s", asked, 0.0).view.record.name == "e2"
    other = call_metadata(prefix=(("x", 300), ("q", 200)))
    assert prefixes.cached_tokens("e2", other) == 0


def test_replica_that_fails_more_than_others_is_avoided():
    """Guards against a replica that fails requests but passes its health checks."""
    view = view_of(record("b1"), record("b2"))
    for step in range(2 * MIN_FAILURES):
        view.record_outcome(view.backends["b1"], True, 10.0 * step)
        view.record_outcome(view.backends["b2"], False, 10.0 * step)
    names = [found.record.name for found in view.usable("s", 100.0)]
    assert names == ["b2"]


def test_failures_of_all_replicas_avoid_none():
    """Guards against avoiding every replica when all of them fail requests."""
    view = view_of(record("b1"), record("b2"))
    for step in range(20):
        for found in view.backends.values():
            view.record_outcome(found, step % 2 == 0, 10.0 * step)
    assert len(view.usable("s", 200.0)) == 2


@pytest.mark.parametrize("seed", range(40))
def test_model_request_goes_to_a_usable_replica_only(seed):
    """Guards against copies that are used though they leave, pause or are avoided."""
    rng = random.Random(seed)
    records = [
        record(f"e{n}", zone=f"z{n % 3}", models=["m"] if rng.random() < 0.5 else [])
        for n in range(rng.randint(1, 6))
    ]
    for item in records:
        item.software = rng.choice(["a", "b"])
    view = view_of(*records)
    for found in view.backends.values():
        found.leaving = rng.random() < 0.2
        found.avoided_until_ms = rng.choice([0.0, 50.0, 200.0])
        found.missing_until_ms = {"m": rng.choice([0.0, 0.0, 200.0])}
        if rng.random() < 0.2:
            view.notices.record_pause(found.record.start, 500.0, 0.0)
        if rng.random() < 0.2:
            view.notices.record_leaving(found.record.start)
    exclude = {rng.choice(records).name} if rng.random() < 0.3 else ()
    for software in (None, "a"):
        usable = view.usable("s", 100.0, exclude, software)
        expected = {
            found.record.name
            for found in usable
            if found.missing_until_ms["m"] <= 100.0 and "m" in found.ready
        }
        best = selector_of(view).select_for_model(
            "s", call_metadata(), 100.0, exclude, software=software
        )
        if expected:
            assert best.view.record.name in expected
        else:
            assert isinstance(best, NoReplicaReady)


class CountingNotices(ServerNotices):
    """Counts the servers that are asked about."""

    def __init__(self):
        super().__init__(ChangeCounter())
        self.asked = 0

    def may_send(self, server, now_ms):
        self.asked += 1
        return super().may_send(server, now_ms)


def test_replicas_without_the_model_are_not_examined():
    """Guards against work for all engines of a service when a few have the model."""
    view = FleetView(CountingNotices())
    records = [record(f"e{n}", models=["m"] * (n < 2)) for n in range(60)]
    view.replace({item.name: item for item in records})
    found = selector_of(view).select_for_model("s", call_metadata(), 0.0)
    assert found.view.record.name in ("e0", "e1")
    assert view.notices.asked == 2


def test_restarted_replica_starts_with_zero_counts():
    """Guards against counts of the previous process with the same name."""
    view = view_of(record("b1", leaving=True))
    view.backends["b1"].own_requests = 3
    view.replace({"b1": record("b1", started=2)})
    assert view.backends["b1"].own_requests == 0
    assert not view.backends["b1"].leaving


def test_leaving_replica_stays_leaving():
    """Guards against an outdated record that makes a leaving replica usable again."""
    view = view_of(record("b1", leaving=True))
    view.replace({"b1": record("b1")})
    assert view.backends["b1"].leaving


@pytest.mark.parametrize(
    ("streamed", "objective_ms", "remaining_ms", "expected_ms"),
    [
        (True, 400.0, 12_000.0, 2_000.0),
        (True, 3_000.0, 20_000.0, 12_000.0),
        (True, 400.0, 900.0, 900.0),
        (False, 200.0, 1_500.0, 1_500.0),
    ],
)
def test_first_byte_timeout(streamed, objective_ms, remaining_ms, expected_ms):
    """Guards against queueing requests for longer than their caller waits."""
    rule = RouteConfig("r", "h", "/", (), streamed=streamed, objective_ms=objective_ms)
    assert first_byte_timeout_ms(rule, remaining_ms) == expected_ms


@pytest.mark.parametrize(
    ("wait_ms", "expected_ms"),
    [
        (None, DEFAULT_RETRY_AFTER_MS),
        (1.0, MIN_RETRY_AFTER_MS),
        (900.0, 900.0),
        (60_000.0, MAX_RETRY_AFTER_MS),
    ],
)
def test_retry_after(wait_ms, expected_ms):
    """Guards against a Retry-After time that is too short or too long."""
    assert clamp_retry_after_ms(wait_ms) == expected_ms


@pytest.mark.parametrize(
    ("coming", "wait_ms"),
    [
        ({"b1": {"n": 900.0}, "b2": {"o": 700.0}}, 600.0),
        ({"b1": {"n": 900.0}}, None),
        ({"b1": {"n": 900.0}, "b2": {"m/a9": 300.0}}, None),
        ({"b1": {"n": 50.0}, "b2": {"o": 700.0}}, 0.0),
    ],
    ids=["all-busy", "one-free", "adapter-load-is-short", "overdue"],
)
def test_adapter_waits_for_engines_that_load_models(coming, wait_ms):
    """Guards against an unknown wait for an adapter while all engines load models.

    Without an estimate, requests were refused after 250 ms although the loads would
    have ended in time, or waited although they would not (incident inc-c00f).
    """
    view = view_of(record("b1", models=["m"]), record("b2", models=["m"]))
    for name, due in coming.items():
        view.backends[name].loading = due
    found = selector_of(view).select_for_model("s", call_metadata("m", "a2"), 100.0)
    assert isinstance(found, NoReplicaReady)
    assert (found.reason, found.wait_ms) == ("adapter", wait_ms)


def test_replica_beyond_its_limit_is_left_to_others():
    """Guards against requests beyond a limit, and against a limited replica unused."""
    view = view_of(record("b1", models=["m"]), record("b2", models=["m"]))
    limits = make_limits()
    limits.record_answer(("b1", 1), 0.5, 0.0)
    selector = selector_of(view, limits)
    for _ in range(2):
        found = selector.select_for_model("s", call_metadata(), 10.0)
        assert found.view.record.name == "b2"
    found = selector.select_for_model("s", call_metadata(), 5_100.0, ["b2"])
    assert found.view.record.name == "b1"
    reserved = (("b1", 1), limits.reserve(("b1", 1), 5_100.0))
    found = selector.select_for_model("s", call_metadata(), 5_100.0, ["b2"])
    assert (found.reason, found.wait_ms) == ("limit", 2_000.0)
    found = selector.select_for_model("s", call_metadata(), 5_100.0, ["b2"], reserved)
    assert found.view.record.name == "b1"


def test_model_that_loads_elsewhere_is_not_awaited_at_a_limited_replica():
    """Guards against a long wait for a limit while another replica is nearly ready."""
    view = view_of(record("b1", models=["m"]), record("b2"))
    view.backends["b2"].loading = {"m": 400.0}
    limits = make_limits(["v1", "v2", "v3", "v4", "v5"])
    limits.record_answer(("b1", 1), 0.2, 0.0)
    limits.reserve(("b1", 1), 0.0)
    found = selector_of(view, limits).select_for_model("s", call_metadata(), 0.0)
    assert (found.reason, found.wait_ms) == ("model", 400.0)


def test_long_prompts_do_not_displace_the_others():
    """Guards against one prompt of thousands of parts that empties the index."""
    prefixes = SentPrefixIndex()
    usual = call_metadata(prefix=(("p", 300), ("q", 200)))
    prefixes.record_sent("e1", usual)
    for number in range(4):
        parts = tuple((f"{number}-{n}", 1) for n in range(4_000))
        prefixes.record_sent("e1", call_metadata(prefix=parts))
    assert prefixes.cached_tokens("e1", usual) == 500
    assert prefixes.cached_tokens("e1", call_metadata(prefix=parts)) > 0
