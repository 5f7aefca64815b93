"""Tests of the limits that apply to cold backend servers."""

import math

import orjson
import pytest

from cassiamount.change_counter import ChangeCounter
from cassiamount.clock import ManualClock
from cassiamount.cold_servers import (
    FORGET_VM_MS,
    NAMES_CACHE_MS,
    ColdServers,
    cold_time_of,
)
from cassiamount.fleet import BackendRecord
from cassiamount.fleet_reports import decode_report, encode_report
from cassiamount.fleet_state import FleetState
from cassiamount.platform.documents import decode_backend, decode_configuration
from cassiamount.platform.settings import decode_settings
from cassiamount.request_limits import RequestLimits
from cassiamount.zone_evacuation import ZoneEvacuations
from tests.fleet_fixtures import Decoder, configuration
from tests.test_fleet_state import SETTINGS

SERVER = ("b1", 1)
COLD_MS = 20_000.0


def entry(name="b1", started=1, cold_ms=0.0):
    return BackendRecord(
        name, "s", "b:1", "z1", started_wall_ms=started, cold_ms=cold_ms
    )


class Vm:
    """The limits of one VM, and the VMs that it knows."""

    def __init__(self, name, names, per_s=20.0, records=None):
        self.names = names
        self.evacuations = ZoneEvacuations()
        self.cold = ColdServers(name, lambda: self.names, self.evacuations)
        self.cold.set_services({"s": (COLD_MS, per_s)})
        records = [entry(cold_ms=COLD_MS)] if records is None else records
        self.cold.observe(records, 0.0, True, False)
        self.limits = RequestLimits(name, ChangeCounter(), lambda: names, self.cold)

    def send(self, now_ms):
        """Send a request if that is allowed now, as the relay does."""
        if self.limits.delay_ms(SERVER, now_ms) > 0:
            return False
        self.limits.reserve(SERVER, now_ms)
        return self.limits.take_turn(SERVER, now_ms)


def most_in_a_second(sent):
    first = most = 0
    for last, at_ms in enumerate(sent):
        while sent[first] <= at_ms - 1_000.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("count", [1, 7, 79, 300])
@pytest.mark.parametrize("per_s", [0.5, 4.0, 20.0, 90.0])
@pytest.mark.parametrize("case", ["all-linked", "learned-late", "hears-nobody"])
def test_all_vms_together_keep_the_limit_in_any_second(count, per_s, case):
    """Guards against crashes of cold servers by many VMs under full load.

    A VM that learns late sends nothing before, because the server is new; one that
    hears nobody for long, or knows VMs that are gone, still takes only its share.
    """
    names = [f"v{n}" for n in range(count)]
    vms = [Vm(name, list(names), per_s) for name in names]
    from_ms = dict.fromkeys(vms, 0.0)
    for number, vm in enumerate(vms):
        if case == "learned-late" and number % 3 == 0:
            from_ms[vm] = 700.0 + number
        if case == "hears-nobody":
            vm.cold.interval_ms(SERVER, -5_000.0)
            vm.names = names if number % 2 else [names[number]]
    step_ms = {1: 2.0, 7: 2.0, 79: 10.0, 300: 40.0}[count]
    sent = []
    now_ms = 0.0
    while now_ms < 5_000.0:
        for vm in vms:
            if now_ms >= from_ms[vm] and vm.send(now_ms):
                sent.append(now_ms)
        now_ms += step_ms
    assert most_in_a_second(sent) <= 1.5 * per_s + 5
    assert len(sent) >= 0.7 * per_s * 5


@pytest.mark.parametrize(("before", "after"), [(7, 79), (79, 300), (79, 85)])
def test_limit_is_kept_while_vms_join(before, after):
    """Guards against the old and the new senders of a server in the same second.

    New VMs send nothing in their first second, as the next test shows.
    """
    names = [f"v{n}" for n in range(after)]
    vms = [Vm(name, names[:before]) for name in names]
    sent = []
    now_ms = 0.0
    while now_ms < 5_000.0:
        for number, vm in enumerate(vms):
            if now_ms >= 1_000.0:
                vm.names = names
            if (number < before or now_ms >= 2_000.0) and vm.send(now_ms):
                sent.append(now_ms)
        now_ms += 40.0
    assert most_in_a_second(sent) <= 1.5 * 20.0 + 5


def test_vm_that_has_just_started_sends_nothing_to_cold_servers():
    """Guards against a restarted VM that uses its share twice in one second."""
    clock = ManualClock()
    parsed = decode_settings(SETTINGS.format(name="v1"), "boot.yaml").unwrap()
    state = FleetState(parsed, Decoder, clock, 1)
    state.learn_vms([], names_all=True)
    state.limits.cold.set_services({"s": (COLD_MS, 20.0)})
    state.limits.cold.observe([entry(cold_ms=COLD_MS)], 0.0, True, False)
    for now_ms, delay_ms in ((0.0, math.inf), (999.0, math.inf), (1_249.0, 0.0)):
        clock.advance(now_ms - clock.monotonic_ms())
        assert state.limits.delay_ms(SERVER, now_ms) == delay_ms


def test_requests_that_were_held_up_do_not_come_together():
    """Guards against a burst of the turns that passed while a VM stood still."""
    vm = Vm("v1", ["v1"])
    turns = [vm.limits.reserve(SERVER, 0.0) for _ in range(100)]
    assert turns[-1] > 2_000.0
    assert sum(vm.limits.take_turn(SERVER, 6_000.0) for _ in turns) == 1


@pytest.mark.parametrize(
    ("first", "later", "first_start", "cold"),
    [
        ([entry()], [entry()], False, False),
        ([entry()], [entry(started=2)], False, True),
        ([entry()], [entry(started=2)], True, True),
        ([], [entry()], False, True),
        ([], [entry()], True, False),
        ([], [entry(cold_ms=5_000.0)], True, True),
        ([entry()], [entry(cold_ms=9.0)], False, True),
        ([entry()], [entry(cold_ms=math.nan)], False, True),
    ],
    ids=[
        "known",
        "restarted",
        "restarted-early",
        "new",
        "first-start",
        "says-cold",
        "cold-again",
        "unreadable",
    ],
)
def test_which_servers_are_cold(first, later, first_start, cold):
    """Guards against full load for a server that has just come up during traffic."""
    vm = Vm("v1", ["v1"], records=first)
    vm.cold.observe(later, 10.0, False, first_start)
    (server,) = {record.start for record in later}
    assert vm.limits.is_limited(server, 11.0) is cold
    # An unreadable time counts once, so that it does not limit the server for ever.
    vm.cold.observe([entry(started=server[1], cold_ms=math.nan)], 20.0, False, False)
    assert not vm.limits.is_limited(server, 21.0 + COLD_MS)


def test_returning_zone_is_cold():
    """Guards against a zone that gets its whole traffic when its order is removed."""
    vm = Vm("v1", ["v1"], records=[entry()])
    assert not vm.limits.is_limited(SERVER, 0.0)
    vm.evacuations.set_order("z1", 0.0)
    vm.evacuations.remove_order("z1", 5_000.0)
    assert vm.limits.is_limited(SERVER, 4_999.0 + COLD_MS)
    assert not vm.limits.is_limited(SERVER, 5_001.0 + COLD_MS)


def test_vm_that_may_have_missed_something_is_careful():
    """Guards against a VM that has just started and takes a whole limit."""
    vm = Vm("v1", [], records=[entry()])
    vm.cold.is_unsure = True
    assert vm.limits.delay_ms(SERVER, 0.0) == math.inf
    vm.names = ["v1"]
    assert vm.limits.delay_ms(SERVER, NAMES_CACHE_MS) == 0.0
    assert vm.limits.is_limited(SERVER, NAMES_CACHE_MS)
    vm.cold.is_unsure = False
    assert not vm.limits.is_limited(SERVER, NAMES_CACHE_MS)


def test_peers_learn_what_a_response_says():
    """Guards against VMs that learn of a cold server only by its list entry.

    What two VMs tell each other must not extend the time for ever.
    """
    first, second = (Vm(name, ["v1", "v2"], records=[entry()]) for name in ("v1", "v2"))
    assert first.limits.record_cold(SERVER, 6_000.0, 0.0)
    assert not first.limits.record_cold(SERVER, 5_990.0, 20.0)
    for now_ms in range(0, 30_000, 900):
        for source, target in ((first, second), (second, first)):
            part = source.limits.part_since(0, now_ms)
            if part is not None:
                target.limits.apply(part, now_ms + 300.0)
        if now_ms == 900:
            assert second.limits.is_limited(SERVER, 4_000.0)
    assert not second.limits.is_limited(SERVER, 9_000.0)
    assert not first.limits.is_limited(SERVER, 9_000.0)


def test_running_down_is_no_change():
    """Guards against reports of each heartbeat, and against missing a new cold time."""
    cold = Vm("v1", ["v1"]).cold
    assert entry(cold_ms=5.0).same_as(entry())
    assert cold.is_news(entry(cold_ms=10_000.0), 0.0)
    assert not cold.is_news(entry(cold_ms=8_800.0), 1_200.0)
    assert not cold.is_news(entry(cold_ms=7_700.0), 2_400.0)
    assert cold.is_news(entry(cold_ms=7_700.0), 3_600.0)
    assert not cold.is_news(entry(), 20_000.0)


def test_vms_that_are_gone_are_forgotten():
    """Guards against a share that stays small for ever after VMs were replaced."""
    vm = Vm("v1", [f"v{n}" for n in range(10)], per_s=4.0)
    before_ms = vm.cold.interval_ms(SERVER, 0.0)
    vm.names = ["v1"]
    vm.evacuations.set_order("z1", 0.0)
    assert vm.cold.interval_ms(SERVER, FORGET_VM_MS - 1.0) == before_ms
    assert vm.cold.interval_ms(SERVER, 2 * FORGET_VM_MS) == 250.0


@pytest.mark.parametrize("has_stopped", [False, True])
def test_vm_that_is_cut_off_for_long_goes_on_to_be_careful(has_stopped):
    """Guards against a VM that, cut off, takes the limit of all others for itself.

    Peers expire after 20 s without reports, and were not remembered before a server had
    become cold: the VM then took all servers for warm, and itself for the only sender.
    Shares of VMs that have stopped must not stay unused, though.
    """
    clock = ManualClock()
    states = []
    for name in ("v1", "v2"):
        parsed = decode_settings(SETTINGS.format(name=name), "boot.yaml").unwrap()
        states.append(FleetState(parsed, Decoder, clock, 1))
    state, other = states
    for _ in range(2):
        other.on_report(decode_report(encode_report(state.build_report("v2"))))
        state.on_report(decode_report(encode_report(other.build_report("v1"))))
    state.learn_vms([], names_all=True)
    state.limits.cold.set_services({"s": (COLD_MS, 20.0)})
    state.limits.cold.observe([entry()], 0.0, True, False)
    clock.advance(1_250.0)
    state.review_peers()
    if has_stopped:
        other.stopping = True
        other.review_peers()
        state.on_report(decode_report(encode_report(other.build_report("v1"))))
    for _ in range(60):
        clock.advance(1_000.0)
        state.review_peers()
    now_ms = clock.monotonic_ms()
    assert state.peers.sending_vms() == ["v1"]
    assert state.limits.is_limited(SERVER, now_ms) is not has_stopped
    state.limits.cold.record_lost(SERVER, now_ms)
    names = ["v1"] if has_stopped else ["v1", "v2"]
    expected_ms = Vm("v1", names).cold.interval_ms(SERVER, 0.0)
    assert state.limits.cold.interval_ms(SERVER, now_ms) == expected_ms


@pytest.mark.parametrize("value", ["soon", -1, 1e12, [], True, float("inf")])
def test_unreadable_cold_times_have_a_bounded_meaning(value):
    """Guards against wrong values that stop the configuration, a server or a VM."""
    document = configuration()
    document["Services"][1].update({"ColdStartS": value, "ColdPerS": value})
    found = decode_configuration(orjson.dumps(document).replace(b"null", b'"inf"'))
    service = found.services["shop"]
    assert (service.cold_start_ms, service.cold_requests_per_s) == (0.0, 0.0)
    assert len(found.remarks) == 2 * (value != [])
    data = {
        "Service": "s",
        "Address": "h:1",
        "Zone": "z",
        "Slots": 1,
        "State": "ready",
        "ColdRemainingMs": str(value) if value in ([], math.inf) else value,
    }
    assert math.isnan(decode_backend("b1", orjson.dumps(data)).cold_ms)
    assert cold_time_of(str(value).encode()) == 0.0


@pytest.mark.parametrize(
    ("zones", "expected"),
    [
        ("{z1: r1, z2: 5}", {"z1": "r1"}),
        # The settings name regions in a mapping; another form is no region at all.
        ("[{Name: z1, Region: r1}, z2, {Name: z3}]", {}),
        ("", {}),
    ],
)
def test_regions_of_zones(zones, expected):
    """Guards against a VM that does not start because of one wrong zone."""
    text = SETTINGS.format(name="v1") + f"Zones: {zones}\n"
    assert decode_settings(text, "boot.yaml").unwrap().zone_regions == expected
