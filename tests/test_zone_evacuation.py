"""Tests of orders to evacuate availability zones."""

import math

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiamount.clock import ManualClock
from cassiamount.cold_servers import ColdServers
from cassiamount.fleet import RouteConfig, TeamConfig, allowed_regions
from cassiamount.fleet_reports import decode_report, encode_report
from cassiamount.fleet_state import ERA_SETTLE_MS, FleetState
from cassiamount.metadata_store import (
    BACKENDS,
    CONFIGURATION,
    FROM_STORE,
    KeyedRecord,
)
from cassiamount.platform.settings import decode_settings
from cassiamount.replica_selection import (
    NoReplicaReady,
    ReplicaSelector,
    SentPrefixIndex,
)
from cassiamount.store_position import position
from cassiamount.zone_evacuation import ZoneEvacuations
from tests.fleet_fixtures import Decoder, Fleet, configuration
from tests.test_fleet_placement import make_placement, make_record
from tests.test_fleet_state import SETTINGS
from tests.test_replica_selection import call_metadata

BOUND_MS = 5_000.0


@pytest.mark.parametrize(
    ("absent_ms", "at_ms", "is_only_copy", "accepted"),
    [
        (None, 1_999.0, True, True),
        (None, 2_000.0, True, False),
        (None, 0.0, False, False),
        (-3_000.0, 999.0, True, True),
        (-3_000.0, 1_000.0, True, False),
        (-math.inf, 0.0, True, False),
    ],
    ids=["only-copy", "too-late", "has-others", "learned-late", "late", "unknown-age"],
)
def test_only_copies_are_used_for_a_short_time(
    absent_ms, at_ms, is_only_copy, accepted
):
    """Guards against requests in the zone after the bound of an order.

    A VM that learns of an order late has no full time of its own.
    """
    evacuations = ZoneEvacuations(BOUND_MS)
    assert evacuations.set_order("z1", 0.0, absent_ms)
    assert not evacuations.set_order("z1", 1e6)
    assert evacuations.accepts("z1", at_ms, is_only_copy) is accepted
    assert evacuations.accepts("z2", at_ms)


def test_zone_returns_as_cold():
    """Guards against the whole traffic at once for servers that became cold."""
    evacuations = ZoneEvacuations(BOUND_MS)
    assert evacuations.recovering_until_ms("z1", 100.0) == -math.inf
    evacuations.set_order("z1", 0.0)
    assert evacuations.recovering_until_ms("z1", 100.0) == math.inf
    assert evacuations.remove_order("z1", 50.0)
    assert not evacuations.remove_order("z1", 60.0)
    assert evacuations.accepts("z1", 60.0)
    assert evacuations.recovering_until_ms("z1", 100.0) == 150.0


class Vms:
    """VMs of a mesh, of which any may read the store, and the store's topics."""

    def __init__(self):
        self.clock = ManualClock()
        self.era = 1
        # What the store has: key -> (offset, value).
        self.held = {"config": (position(1, 0), orjson.dumps(configuration()))}
        self.next_offset = 1
        self.starts = 0
        self.states = {}
        self.cut = set()
        for name in ("v1", "v2", "v3"):
            self.start(name)

    def start(self, name):
        self.starts += 1
        parsed = decode_settings(SETTINGS.format(name=name), "boot.yaml").unwrap()
        self.states[name] = FleetState(parsed, Decoder, self.clock, self.starts)

    def write(self, zone, value):
        offset = position(self.era, self.next_offset)
        self.next_offset += 1
        if value is None:
            self.held.pop(f"evacuate/{zone}", None)
        else:
            self.held[f"evacuate/{zone}"] = (offset, value)
        record = KeyedRecord(offset, f"evacuate/{zone}", value)
        for name in self.states.keys() - self.cut:
            view = self.states[name].streams[CONFIGURATION]
            if view.next_offset == offset:
                self.states[name].on_records(
                    CONFIGURATION, FROM_STORE, [record], offset, offset + 1
                )

    def read(self, name):
        state = self.states[name]
        end = position(self.era, self.next_offset)
        records = [KeyedRecord(o, k, v) for k, (o, v) in self.held.items()]
        state.on_records(CONFIGURATION, FROM_STORE, records, None, end)
        state.confirm(CONFIGURATION, FROM_STORE, end, self.clock.monotonic_ms())

    def restore(self, held):
        """Come back from an older copy."""
        self.era += 1
        self.held = {
            key: (position(self.era, number), value)
            for number, (key, (_, value)) in enumerate(held.items())
        }
        self.next_offset = len(held)

    def exchange(self):
        for _ in range(3):
            for sender in self.states.values():
                for name, receiver in self.states.items():
                    if receiver is not sender:
                        report = encode_report(sender.build_report(name))
                        receiver.on_report(decode_report(report))

    def evacuated(self):
        return {n: set(s.evacuations.zones) for n, s in self.states.items()}


def test_order_reaches_vms_that_are_cut_off_from_the_store():
    """Guards against a VM that goes on sending because it can't read the order."""
    vms = Vms()
    vms.cut.update(["v2", "v3"])
    vms.read("v1")
    vms.exchange()
    vms.write("z1", b"{}")
    vms.exchange()
    assert vms.evacuated() == dict.fromkeys(vms.states, {"z1"})
    vms.start("v3")
    vms.exchange()
    assert vms.evacuated()["v3"] == {"z1"}
    vms.write("z1", None)
    vms.exchange()
    assert vms.evacuated() == dict.fromkeys(vms.states, set())


@pytest.mark.parametrize("removed_before", [False, True])
def test_store_from_an_older_copy(removed_before):
    """Guards against an order that a restored store undoes, or brings back at once."""
    vms = Vms()
    for name in vms.states:
        vms.read(name)
    older = dict(vms.held)
    vms.write("z1", b"{}")
    if removed_before:
        older = dict(vms.held)
        vms.write("z1", None)
    vms.restore(older)
    for name in vms.states:
        vms.read(name)
    expected = set() if removed_before else {"z1"}
    vms.exchange()
    assert vms.evacuated() == dict.fromkeys(vms.states, expected)
    # The operator writes again; without that, what the store has counts.
    vms.clock.advance(ERA_SETTLE_MS)
    for state in vms.states.values():
        state.review_peers()
    assert vms.evacuated() == dict.fromkeys(vms.states, {"z1"})
    vms.write("z1", None)
    assert vms.evacuated() == dict.fromkeys(vms.states, set())


def test_removal_of_an_order_that_the_store_lost_reaches_all():
    """Guards against a VM that obeys for ever because a snapshot shows no removal."""
    vms = Vms()
    older = dict(vms.held)
    for name in vms.states:
        vms.read(name)
    vms.write("z1", b"{}")
    vms.restore(older)
    for name in vms.states:
        vms.read(name)
    vms.exchange()
    vms.cut.update(["v2", "v3"])
    vms.write("z1", None)
    vms.read("v2")
    vms.read("v3")
    vms.exchange()
    assert vms.evacuated() == dict.fromkeys(vms.states, set())


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("order"), st.sampled_from(["z1", "z2", "nowhere"])),
        st.tuples(st.just("remove"), st.sampled_from(["z1", "z2"])),
        st.tuples(st.just("cut"), st.sampled_from(["v1", "v2", "v3"])),
        st.tuples(st.just("join"), st.sampled_from(["v1", "v2", "v3"])),
        st.tuples(st.just("restart"), st.sampled_from(["v1", "v2", "v3"])),
        st.tuples(st.just("wait"), st.sampled_from([10.0, 2_500.0])),
        st.tuples(st.just("restore"), st.none()),
        st.tuples(st.just("copy"), st.none()),
    ),
    max_size=25,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS)
def test_orders_converge(steps):
    """Guards against VMs that never learn of an order or of its removal.

    Whatever happened before, all VMs obey what the operator writes last.
    """
    vms = Vms()
    copy = dict(vms.held)
    for step, argument in steps:
        if step == "order":
            vms.write(argument, b"{}")
        elif step == "remove":
            vms.write(argument, None)
        elif step == "cut":
            vms.cut.add(argument)
        elif step == "join":
            vms.cut.discard(argument)
            vms.read(argument)
        elif step == "restart":
            vms.start(argument)
        elif step == "wait":
            vms.clock.advance(argument)
        elif step == "restore":
            vms.restore(copy)
        else:
            copy = dict(vms.held)
        if step in ("wait", "join"):
            vms.exchange()
    vms.clock.advance(ERA_SETTLE_MS)
    vms.cut.clear()
    for name in vms.states:
        vms.read(name)
    vms.write("z1", b"{}")
    vms.write("z2", b"{}")
    vms.write("z2", None)
    vms.exchange()
    found = vms.evacuated()
    assert all("z1" in zones and "z2" not in zones for zones in found.values()), found


def test_selection_and_placement_without_the_zone():
    """Guards against requests, copies and loads in a zone that is evacuated."""
    vms = Vms()
    state = vms.states["v1"]
    records = []
    for number, (name, models) in enumerate([("e1", ["m1"]), ("e2", [])]):
        value = {
            "Service": "llm",
            "Address": f"{name}:1",
            "Zone": f"z{number + 1}",
            "Slots": 8,
            "State": "ready",
            "Models": [{"Name": m, "Adapters": []} for m in models],
        }
        records.append(KeyedRecord(number, name, orjson.dumps(value)))
    vms.read("v1")
    vms.clock.advance(ERA_SETTLE_MS)
    vms.read("v1")
    state.on_records(BACKENDS, FROM_STORE, records, None, 2)
    selector = ReplicaSelector(state.view, "z1", SentPrefixIndex(), state.limits)
    vms.write("z1", b"{}")
    found = selector.select_for_model("llm", call_metadata("m1"), ERA_SETTLE_MS)
    assert (found.view.record.name, found.is_only_copy) == ("e1", True)
    assert selector.select_for_service("llm", ERA_SETTLE_MS).view.record.name == "e2"
    found = selector.select_for_model("llm", call_metadata("m1"), 9_000.0)
    assert (found.reason, found.wait_ms) == ("model", None)
    vms.write("z2", b"{}")
    found = selector.select_for_service("llm", 9_000.0)
    assert isinstance(found, NoReplicaReady) and found.reason == "no-backend"
    state.review_peers()
    assert state.evacuations.status(0.0)["z1"]["empty"]

    placement = make_placement(make_record("e1", "a"), make_record("e2", zone="z2"))
    placement.evacuated = frozenset(["z1"])
    placement.set_limited({"e2"})
    assert not placement.limited
    placement.set_demand({}, {"a": 2}, {}, 100.0)
    (change,) = placement.plan(100.0)
    assert (change.engine, change.model) == ("e2", "a")


@pytest.mark.parametrize(
    ("route", "team", "expected"),
    [(None, None, None), ("ab", None, "ab"), (None, "b", "b"), ("ab", "bc", "b")],
)
def test_both_lists_of_regions_apply(route, team, expected):
    """Guards against a team's requests in a region that only its route allows."""
    sets = [None if names is None else frozenset(names) for names in (route, team)]
    rule = RouteConfig("r", "h", "/", (), regions=sets[0])
    found = allowed_regions(rule, TeamConfig("t", (), regions=sets[1]))
    assert found == (None if expected is None else frozenset(expected))
    assert allowed_regions(rule, None) == sets[0]


@pytest.fixture
async def fleet():
    fleet = Fleet()
    await fleet.start()
    fleet.store.put("keyed.op", "config", configuration())
    await fleet.add_replica("s1", "shop")
    yield fleet
    await fleet.stop()


async def test_a_fleet_evacuates_its_only_zone_and_returns(fleet):
    """Guards against orders that the running VM ignores, and against a lasting stop."""
    node = await fleet.add_vm("v1")
    assert (await fleet.send_request("v1", "/buy/x"))[0] == 200
    fleet.store.put("keyed.op", "evacuate/z1", {})
    await fleet.wait_until(lambda: node.state.evacuations.is_evacuated("z1"))
    assert (await fleet.send_request("v1", "/buy/x"))[0] == 503
    fleet.store.put("keyed.op", "evacuate/z1", None)
    await fleet.wait_until(lambda: not node.state.evacuations.is_evacuated("z1"))
    assert (await fleet.send_request("v1", "/buy/x"))[0] == 200
    assert len(fleet.replicas["s1"].ran) == 2


@pytest.mark.parametrize(("reason", "status"), [("evacuated", 503), ("cold", 200)])
async def test_checks_with_an_open_connection(fleet, monkeypatch, reason, status):
    """Guards against requests that were waiting for a connection when things changed.

    The zone was ordered to be evacuated, or the server's turn was taken.
    """
    node = await fleet.add_vm("v1")
    turns = [False, True]
    open_connection = node._pool.open

    async def open_late(address):
        connection = await open_connection(address)
        if reason == "evacuated":
            node.state.evacuations.set_order("z1", node.state.now_ms())
        return connection

    monkeypatch.setattr(node._pool, "open", open_late)
    monkeypatch.setattr(ColdServers, "take_turn", lambda *_: turns.pop(0))

    assert (await fleet.send_request("v1", "/buy/x"))[0] == status
    assert len(fleet.replicas["s1"].ran) == (status == 200)
    held_back = node._metrics.counter("requests_held_back_total", reason=reason)
    assert held_back == 1


async def test_requests_stay_in_their_regions(fleet):
    """Guards against a request in another region than its route allows."""
    document = configuration(version=2)
    for route in document["Routes"]:
        route["RegionsAllowed"] = ["r1"]
    fleet.store.put("keyed.op", "config", document)
    node = await fleet.add_vm("v1")
    node.state.settings.zone_regions = {"z1": "r2"}
    assert (await fleet.send_request("v1", "/buy/x"))[0] == 503
    node.state.settings.zone_regions = {"z1": "r1"}
    assert (await fleet.send_request("v1", "/buy/x"))[0] == 200
