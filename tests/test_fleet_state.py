"""Tests of the state that two VMs of a fleet exchange in their reports."""

import itertools

import orjson
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cassiamount.clock import ManualClock
from cassiamount.engine_residency import Residency
from cassiamount.fleet import BackendRecord
from cassiamount.fleet_demand import OWN_SOURCE
from cassiamount.fleet_reports import decode_report, encode_report
from cassiamount.fleet_state import ERA_SETTLE_MS, LOST_ENTRY_GRACE_MS, FleetState
from cassiamount.metadata_store import (
    BACKENDS,
    CONFIGURATION,
    FROM_STORE,
    KeyedRecord,
)
from cassiamount.peer_table import PEER_EXPIRY_MS
from cassiamount.platform.settings import decode_settings
from cassiamount.request_rates import FAST_WINDOW_MS, SLOW_WINDOW_MS
from cassiamount.store_position import position
from tests.fleet_fixtures import Decoder, configuration

SETTINGS = """
NodeName: {name}
Zone: z1
Listen:
  Frontend: "127.0.0.1:1"
  Ready: "127.0.0.1:2"
  Control: "127.0.0.1:3"
Platform:
  Address: "127.0.0.1:4"
Bounds:
  RevokeMs: 5000
"""


class VmPair:
    """Two VMs, of which the first holds the order lease, and their reports."""

    def __init__(self):
        self.clock = ManualClock()
        self.starts = 0
        self.holder = self.start("v1")
        self.holder.lease.generation = 7
        self.other = self.start("v2")

    def start(self, name):
        self.starts += 1
        parsed = decode_settings(SETTINGS.format(name=name), "boot.yaml").unwrap()
        return FleetState(parsed, Decoder, self.clock, self.starts)

    def record_request(self, model, latency_sensitive=False, with_adapter=False):
        """Let the other VM receive a request."""
        self.other.demand.record_request(
            model, latency_sensitive, with_adapter, self.clock.monotonic_ms()
        )

    def encode_next_report(self, sender, receiver):
        """Return the next report, encoded."""
        if sender is self.holder:
            sender.may_order = lambda: True
        return encode_report(sender.build_report(receiver.settings.vm_name))

    def exchange(self):
        """Deliver reports both ways, twice, so that both are acknowledged."""
        for _ in range(2):
            for pair in ((self.holder, self.other), (self.other, self.holder)):
                pair[1].on_report(decode_report(self.encode_next_report(*pair)))

    def known_residency(self):
        """Return the engine state at the other VM, as comparable values."""
        now_ms = self.clock.monotonic_ms()
        known = self.other.residency.engines()
        return {name: item.to_value(now_ms) for name, item in known.items()}

    def reported_rates(self):
        """Return the other VM's request rates, at itself and at the holder."""
        now_ms = self.clock.monotonic_ms()
        rates = (
            self.other.demand.rates.total([OWN_SOURCE], now_ms),
            self.holder.demand.rates.total(["v2"], now_ms),
        )
        return [{n: r.to_value(now_ms) for n, r in rate.items()} for rate in rates]


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("request"), st.sampled_from("abc")),
        st.tuples(st.just("place"), st.sampled_from(["e1", "e2"])),
        st.tuples(st.just("remove"), st.sampled_from(["e1", "e2"])),
        st.tuples(st.just("lose-lease"), st.none()),
        st.tuples(st.just("send"), st.sampled_from(["delivered", "lost", "delayed"])),
        st.tuples(st.just("reply"), st.sampled_from(["delivered", "lost"])),
        st.tuples(st.just("restart"), st.none()),
    ),
    max_size=40,
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(STEPS)
@example(
    [("place", "e1"), ("send", "delivered"), ("reply", "delivered"), ("restart", None)]
)
def test_incremental_reports_converge(steps):
    """Guards against a change of demand or of engines that never reaches a VM.

    Reports hold only the changes since the version that the receiver has. They may be
    lost or delayed, and the receiver may restart.
    """
    pair = VmPair()
    engine_states = {}
    delayed = []
    model_count = 0
    for step, detail in steps:
        if step == "request":
            pair.record_request(detail, latency_sensitive=True)
        elif step == "place":
            model_count += 1
            engine_states[detail] = Residency(1, {f"m{model_count}": []}, {}, [])
            pair.holder.set_own_residency(dict(engine_states), {})
        elif step == "remove":
            engine_states.pop(detail, None)
            pair.holder.set_own_residency(dict(engine_states), {})
        elif step == "lose-lease":
            pair.holder.end_own_residency()
            pair.holder.set_own_residency(dict(engine_states), {})
        elif step == "restart":
            pair.other = pair.start("v2")
        elif step == "send":
            data = pair.encode_next_report(pair.holder, pair.other)
            if detail == "delivered":
                pair.other.on_report(decode_report(data))
            elif detail == "delayed":
                delayed.append(data)
        elif detail == "delivered":
            data = pair.encode_next_report(pair.other, pair.holder)
            pair.holder.on_report(decode_report(data))
    for data in delayed:
        pair.other.on_report(decode_report(data))
    pair.exchange()
    own, reported = pair.reported_rates()
    if pair.starts == 2:
        assert own == reported
    for model, (fast_per_s, *_) in own.items():
        assert reported[model][0] >= fast_per_s
    assert pair.known_residency() == {
        name: item.to_value(pair.clock.monotonic_ms())
        for name, item in engine_states.items()
    }


def test_rates_of_a_restarted_vm_add_to_those_before():
    """Guards against demand that drops to zero when a VM restarts."""
    pair = VmPair()
    for _ in range(3):
        pair.record_request("a", with_adapter=True)
    pair.exchange()
    pair.other = pair.start("v2")
    pair.record_request("a", latency_sensitive=True)
    pair.exchange()
    rate = pair.holder.request_rates()["a"]
    assert rate.fast_per_s == pytest.approx(4000 / FAST_WINDOW_MS, abs=0.01)
    assert rate.adapter_per_s == pytest.approx(3000 / SLOW_WINDOW_MS, abs=0.01)
    assert rate.latency_sensitive


def test_silence_of_a_vm_adds_no_demand():
    """Guards against requests that count again when a VM is heard after a silence."""
    pair = VmPair()
    for _ in range(3):
        pair.record_request("a")
    pair.exchange()
    pair.clock.advance(PEER_EXPIRY_MS + 1)
    pair.holder.review_peers()
    pair.exchange()
    rates = pair.holder.request_rates()
    assert "a" not in rates or rates["a"].fast_per_s < 0.01


def test_load_of_a_silent_vm_counts_again_when_it_is_heard():
    """Guards against full memory after a silence: reports do not repeat the load."""
    pair = VmPair()
    view = _add_backend(pair.holder)
    start, loads = view.record.start, pair.other.loads
    loads.record_told(start, 1, 0, 4, 100, pair.clock.monotonic_ms(), "llm")
    loads.record_sent(start, "r", 500, 600, pair.clock.monotonic_ms())

    def counted_tokens():
        pair.holder.review_peers()
        now_ms = pair.clock.monotonic_ms()
        return pair.holder.loads.estimate(view, None, 0, now_ms).tokens

    pair.exchange()
    assert counted_tokens() == 600
    pair.clock.advance(3_000.0)
    assert counted_tokens() == 0
    pair.exchange()
    assert counted_tokens() == 600
    pair.clock.advance(PEER_EXPIRY_MS + 1)
    assert counted_tokens() == 0
    assert not pair.holder.loads._servers[start].peers


@pytest.mark.parametrize(
    ("shift_ms", "reported"),
    [(10.0, False), (1_000.0, True)],
)
def test_changed_ready_time_is_reported(shift_ms, reported):
    """Guards against an outdated Retry-After when a load takes longer."""
    pair = VmPair()
    first = Residency(1, {}, {"m": 500.0}, [])
    pair.holder.set_own_residency({"e1": first}, {})
    pair.exchange()
    moved = Residency(1, {}, {"m": 500.0 + shift_ms}, [])
    pair.holder.set_own_residency({"e1": moved}, {})
    pair.exchange()
    ready_at_ms = 500.0 + shift_ms if reported else 500.0
    assert pair.known_residency()["e1"][2] == {"m": ready_at_ms}


@pytest.mark.parametrize(
    ("elapsed_ms", "ready"),
    [(0.0, {"m"}), (2_000.0, {"m"}), (4_000.0, {"old"})],
)
def test_engines_stay_known_while_there_is_no_holder(elapsed_ms, ready):
    """Guards against requests that are sent for recently unloaded models.

    While no VM held the order lease for two seconds, 103 requests were routed by the
    platform's list, which still showed an unloaded model.
    """
    pair = VmPair()
    view = _add_backend(pair.other)
    view.record.residents = {"old": frozenset()}
    item = Residency(view.record.started_wall_ms, {"m": []}, {}, [])
    pair.holder.set_own_residency({"e1": item}, {})
    pair.exchange()
    pair.holder.may_order = lambda: False
    pair.other.on_report(decode_report(encode_report(pair.holder.build_report("v2"))))
    pair.clock.advance(elapsed_ms)
    pair.other.review_peers()
    pair.other._merge_residency()
    assert set(view.ready) == ready


def test_requests_of_peers_are_counted_until_they_are_silent():
    """Guards against replicas whose load includes requests of a stopped VM."""
    pair = VmPair()
    view = _add_backend(pair.holder)
    _add_backend(pair.other).own_requests_by_target["m"] = 3
    pair.exchange()
    assert view.peer_requests == 3
    pair.other.view.backends["e1"].own_requests_by_target["m"] = 1
    pair.exchange()
    assert view.peer_requests == 1
    pair.clock.advance(pair.holder.peers.timeout_ms() + 1)
    pair.holder.review_peers()
    assert view.peer_requests == 0


def _add_backend(state):
    record = Decoder.backend(
        "e1",
        b'{"Service": "llm", "Address": "127.0.0.1:9", "Zone": "z1", "Slots": 8,'
        b' "State": "ready", "Models": [], "Seq": 1, "born": 1}',
    )
    state.view.replace({"e1": record})
    return state.view.backends["e1"]


def loads_of_zone(rounds):
    """Return the requests that three VMs of a zone count, each of which runs one."""
    clock = ManualClock()
    states = {}
    for name in ("v0", "v3", "v6"):
        text = SETTINGS.format(name=name).replace(":3", f":3{name[1:]}")
        parsed = decode_settings(text, "boot.yaml").unwrap()
        state = states[name] = FleetState(parsed, Decoder, clock, 1)
        state.view.replace({"e1": BackendRecord("e1", "s", "e1:1", "z1", 8)})
        state.view.record_sent("e1", "m")
    for state in states.values():
        for name in (*states, *(f"w{n}" for n in range(12))):
            state.add_address(name, f"{name}:1", "z1", state.peers.own.capacity)
    for _ in range(rounds):
        clock.advance(500.0)
        for source, target in itertools.permutations(states, 2):
            report = encode_report(states[source].build_report(target))
            states[target].on_report(decode_report(report))
        for state in states.values():
            state.review_peers()
    return [state.view.backends["e1"].load for state in states.values()]


def test_sums_do_not_grow_with_reports_between_members_of_a_zone():
    """Guards against requests that go round through the relay and are added again."""
    assert loads_of_zone(20) == loads_of_zone(10)


def test_requests_that_members_report_to_each_other_count_once():
    """Guards against a member that passes on what the relay hears itself."""
    assert loads_of_zone(10) == [3, 3, 3]


def make_configuration(version):
    document = {**configuration(), "Version": version}
    return orjson.dumps(document)


def make_entry(heartbeats, state="ready"):
    value = {"Service": "llm", "Address": "h:1", "Zone": "z1", "Slots": 8, "born": 1}
    return orjson.dumps({**value, "State": state, "Seq": heartbeats})


def load(state, stream, era, end, **values):
    """Give a VM a snapshot of the store in some era."""
    records = [
        KeyedRecord(position(era, index), key, value)
        for index, (key, value) in enumerate(values.items())
    ]
    state.on_records(stream, FROM_STORE, records, None, position(era, end))


@pytest.mark.parametrize("stream", [CONFIGURATION, BACKENDS])
@pytest.mark.parametrize("held_ms", [0.0, 80.0])
@pytest.mark.parametrize("late_ms", [0.0, 7_000.0])
def test_report_that_was_long_under_way_proves_nothing_new(late_ms, held_ms, stream):
    """Guards against a thawed VM that takes what it finds in its buffers for news."""
    pair = VmPair()
    pair.holder.clock = ManualClock(900_000.0)
    for state in (pair.holder, pair.other):
        load(state, stream, 1, 5, config=make_configuration(1))
        state.clock.advance(ERA_SETTLE_MS)
    pair.exchange()
    for clock in (pair.clock, pair.holder.clock):
        clock.advance(held_ms)
    pair.holder.confirm(stream, FROM_STORE, position(1, 5), pair.holder.now_ms())
    data = pair.encode_next_report(pair.holder, pair.other)
    for clock in (pair.clock, pair.holder.clock):
        clock.advance(late_ms)
    pair.other.on_report(decode_report(data))
    assert pair.other.freshness_of(stream).age_ms(pair.other.now_ms()) == late_ms


@pytest.mark.parametrize("reports_first", [False, True])
def test_vm_that_has_only_a_restored_copy_learns_what_its_peers_have(reports_first):
    """Guards against a restarted VM that works with what a restored store has."""
    pair = VmPair()
    load(pair.holder, CONFIGURATION, 1, 9, config=make_configuration(7))
    load(pair.holder, BACKENDS, 1, 9, e1=make_entry(5, "draining"), e2=make_entry(5))
    load(pair.holder, BACKENDS, 1, 10, e1=make_entry(5, "draining"))
    for state in (pair.holder, pair.other):
        load(state, CONFIGURATION, 2, 5, config=make_configuration(3))
        load(state, BACKENDS, 2, 5, e1=make_entry(2), e2=make_entry(2))
    assert pair.other.configuration.version == 3
    if reports_first:
        report = pair.encode_next_report(pair.other, pair.holder)
        pair.holder.on_report(decode_report(report))
    pair.exchange()
    for state in (pair.holder, pair.other):
        assert state.configuration.version == 7
        assert state.view.backends["e1"].leaving
        assert "e2" not in state.view.backends


def test_entry_that_a_restored_store_has_lost_is_kept_until_it_is_written_again():
    """Guards against live servers that get no requests for a while."""
    pair = VmPair()
    state = pair.holder
    load(state, BACKENDS, 1, 9, e1=make_entry(5), e2=make_entry(5))
    load(state, BACKENDS, 2, 5)
    assert state.view.backends.keys() == {"e1", "e2"}
    written = KeyedRecord(position(2, 5), "e1", make_entry(5))
    state.on_records(BACKENDS, FROM_STORE, [written], position(2, 5), position(2, 6))
    pair.clock.advance(LOST_ENTRY_GRACE_MS + 1.0)
    state.remove_missing_backends()
    assert state.view.backends.keys() == {"e1"}


@pytest.mark.parametrize(
    ("first_start", "wait_ms", "relayed", "is_fresh"),
    [
        (True, 0.0, False, True),
        (False, 0.0, False, False),
        (False, ERA_SETTLE_MS, False, True),
        (False, 0.0, True, True),
    ],
    ids=["first start", "at once", "later", "vouched for"],
)
def test_configuration_after_a_start_is_current_only_if_none_can_be_lost(
    first_start, wait_ms, relayed, is_fresh
):
    """Guards against withdrawn keys that a restored store brings back."""
    pair = VmPair()
    state = pair.holder
    state.settings.first_start = first_start
    load(state, CONFIGURATION, 2, 5, config=make_configuration(3))
    pair.clock.advance(wait_ms)
    now_ms = state.now_ms()
    source = "v2" if relayed else FROM_STORE
    state.confirm(CONFIGURATION, source, position(2, 5), now_ms)
    state.confirm(CONFIGURATION, source, position(1, 5), now_ms)
    assert state.key_freshness.is_fresh(now_ms) == is_fresh
