"""Tests of the work that one report costs a VM in fleets of different size."""

import functools
import sys

import pytest

from cassiamount.clock import ManualClock
from cassiamount.fleet import TeamConfig
from cassiamount.fleet_reports import decode_report, encode_report
from cassiamount.fleet_state import FleetState
from cassiamount.platform.settings import decode_settings
from cassiamount.request_rates import RequestRate, RequestRates
from cassiamount.vm_state import VmState
from tests.fleet_fixtures import Decoder
from tests.test_fleet_state import SETTINGS

ZONES = 5
TEAM = TeamConfig("t", [], rate_tokens_per_s=1_000.0, burst_tokens=1_000.0)


def start_vm(index, clock):
    text = SETTINGS.format(name=f"vm-{index:03d}").replace("z1", f"z{index % ZONES}")
    text = text.replace(":3", f":{1_000 + index}")
    settings = decode_settings(text, "boot.yaml").unwrap()
    state = FleetState(settings, Decoder, clock, 1)
    state.quota.set_teams({"t": TEAM}, clock.monotonic_ms())
    return state


def last_of_first_zone(count):
    return ZONES * ((count - 1) // ZONES)


class Fleet:
    """A member of a zone and its relay in a fleet of some size.

    The other VMs are present only as the states that the relay has heard of.

    Parameters
    ----------
    count : int
    """

    def __init__(self, count):
        self.clock = ManualClock()
        self.relay = start_vm(0, self.clock)
        self.member = start_vm(last_of_first_zone(count), self.clock)
        self.others = []
        for index in range(1, count):
            if index == last_of_first_zone(count):
                continue
            name, zone = f"vm-{index:03d}", f"z{index % ZONES}"
            address = f"127.0.0.1:{1_000 + index}"
            self.others.append(VmState(name, zone, address, 1, store_reachable=True))
        self.hear(self.others)
        for _ in range(3):
            self.exchange()

    def hear(self, states):
        """Let the relay hear of the states of some VMs through other relays."""
        now_ms = self.clock.monotonic_ms()
        for state in states:
            state.voucher = f"vm-{1 + int(state.vm[3:]) % (ZONES - 1):03d}"
            state.sequence += 1
        copies = [VmState(*state.to_value()) for state in states]
        self.relay.peers.apply_states(copies, "vm-001", now_ms)
        self.relay.peers.on_vouched({f"vm-{n:03d}": 0 for n in range(1, ZONES)}, now_ms)

    def exchange(self):
        """Exchange a report and its reply; return the lines that the member runs."""
        self.clock.advance(1.0)
        request = encode_report(self.relay.build_report(self.member.settings.vm_name))
        lines = count_lines(lambda: self._answer(request))
        self.relay.on_report(decode_report(self.reply))
        return lines

    def _answer(self, request):
        self.member.on_report(decode_report(request))
        self.member.may_order()
        report = self.member.build_report(self.relay.settings.vm_name)
        self.reply = encode_report(report)


def count_lines(function):
    """Return how many lines of Python code a call runs."""
    lines = 0

    def trace(frame, event, argument):
        nonlocal lines
        lines += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(before)
    return lines


@pytest.mark.parametrize("count", [90, 300])
def test_cost_of_a_quiet_review_does_not_grow_with_the_fleet(count):
    """Guards against scans of all VMs several times a second."""
    costs = []
    for size in (30, count):
        fleet = Fleet(size)
        for _ in range(3):
            fleet.exchange()
            fleet.clock.advance(250.0)
            fleet.member.review_peers()
        fleet.exchange()
        costs.append(count_lines(fleet.member.review_peers))
    small, large = costs
    assert large <= small + 5


@pytest.mark.parametrize("count", [8, 90, 300])
def test_linked_peers_are_not_looked_for_at_each_report(count):
    """Guards against a scan of all links, most of them silent, for each report."""
    clock = ManualClock()
    peers = start_vm(0, clock).peers
    states = [
        VmState(f"vm-{n:03d}", f"z{n % ZONES}", f"127.0.0.1:{1_000 + n}", 1)
        for n in range(1, count)
    ]
    for state in states:
        peers.on_contact(state.vm, 1, 0.0)
        peers.apply_states([state], state.vm, 0.0)
    assert peers.linked_names(1.0)
    peers.on_contact(peers.linked_names(1.0)[0], 1, 2.0)
    assert count_lines(functools.partial(peers.linked_names, 3.0)) <= 12


@pytest.mark.parametrize("count", [12, 90, 300])
def test_cost_of_unchanged_rates_is_not_that_of_all_vms_and_models(count):
    """Guards against a plan for which the rates of all VMs are added up again."""
    costs = []
    for models in (5, 50):
        rates, vms = RequestRates(), [f"v{n}" for n in range(count)]
        for version, vm in enumerate(vms):
            report = {f"m{n}": RequestRate(1.0, 1.0) for n in range(models)}
            rates.apply(vm, report, version)
        rates.total(vms, 1.0)
        costs.append(count_lines(functools.partial(rates.total, vms, 2.0)))
    few, many = costs
    # One sum for each model decays.
    assert many - few <= 20 * 45


@pytest.mark.parametrize("count", [60, 195, 400])
def test_cost_of_a_report_at_a_member_does_not_grow_with_the_fleet(count):
    """Guards against VMs that slow down with the size of the fleet."""
    costs = []
    for size in (30, count):
        fleet = Fleet(size)
        assert len(fleet.member.peers.states) == size - 1
        fleet.others[-1].used_tokens = {"t": 50.0}
        fleet.hear(fleet.others[-1:])
        costs.append(fleet.exchange())
    small, large = costs
    assert large <= small + 5
