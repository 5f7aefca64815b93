"""Tests of the reports between the VMs of a fleet, and of the peer table."""

import json
import random

import pytest

from cassiamount.change_counter import ChangeCounter
from cassiamount.clock import ManualClock
from cassiamount.crash_quarantine import QuarantinePart
from cassiamount.engine_residency import ResidencyPart
from cassiamount.fleet_reports import (
    StreamPosition,
    StreamRecords,
    VmReport,
    decode_report,
    encode_report,
)
from cassiamount.fleet_state import FleetState
from cassiamount.json_shapes import address, count, row, text
from cassiamount.load_counts import LoadPart
from cassiamount.metadata_store import KeyedRecord
from cassiamount.peer_table import PEER_EXPIRY_MS, PEER_TIMEOUT_MS, PeerTable
from cassiamount.peer_topology import VmPlace
from cassiamount.platform.settings import decode_settings
from cassiamount.request_limits import LimitsPart
from cassiamount.software_versions import SoftwarePart
from cassiamount.vm_state import VmState
from tests.fleet_fixtures import Decoder
from tests.mutated_json import mutate
from tests.test_fleet_state import SETTINGS


def report(vm="v2", **changes):
    values = {
        "vm": vm,
        "started_ms": 5,
        "version": 7,
        "since": 5,
        "seen_started_ms": 4,
        "seen": 6,
        "states": [
            VmState(vm, "z1", f"{vm}:1", 5, 3, 0.5, used_tokens={"t": 100.5}),
            VmState("v9", "z1", "v9:1", 5, fence=4, voucher="v2", lost=True),
        ],
        "vouched_ages": {"v2": 20},
        "positions": {"configuration": StreamPosition(7, 12.5)},
        "records": {
            "backends": StreamRecords(
                3, 5, [KeyedRecord(3, "k", b"\xff{}"), KeyedRecord(4, "k", None)]
            )
        },
        "running": {"e1": {"m/a": 2}},
        "waiting": {"m": 1},
        "rates": {"m": [0.667, 0.1, 0.1, 40, 1]},
        "wants_demand": False,
        "residency": ResidencyPart(
            4, 30, {"e1": (9, [1, {"m": ["a"]}, {"n": 80}, ["o"]])}, {"q": (9, 1_500)}
        ),
        "quarantine": QuarantinePart(
            [["e1", 1, 30, [["r1", 45, ["p1", "p2"]]]]], {"p1": 20}, [[["p2"], 5]]
        ),
        "limits": LimitsPart([["e1", 1, 1.4, 30], ["e2", 1, None, 5]]),
        "places": [VmPlace("v8", "v8:1", "z2", 0.5)],
        "knows_fleet": True,
        "leaving": [["e1", 1]],
        "software": SoftwarePart([["s", "v1", 0.0, 0]], [["r1", "v1", 40]], None),
        "built_ms": 5_000,
        "echo": [900, 40],
        "loads": LoadPart(
            ["s"],
            [["e1", 1, 9, None, 12, 240, 30]],
            [["e1", 1, 250, 1_900, [[0, 2, 700]]]],
        ),
    }
    values.update(changes)
    return VmReport(**values)


def test_report_encoding_round_trip():
    """Guards against fields that are lost or changed between VMs."""
    original = report()
    decoded = decode_report(encode_report(original))
    assert encode_report(decoded) == encode_report(original)
    assert decoded.records["backends"].records[0].value == b"\xff{}"
    assert decoded.records["backends"].records[1].value is None
    assert decoded.states[1].lost
    assert decoded.residency.engines["e1"][1][2] == {"n": 80}
    assert [place.to_value() for place in decoded.places] == [["v8", "v8:1", "z2", 0.5]]
    assert decoded.knows_fleet
    assert decoded.loads.backlogs == [["e1", 1, 250, 1_900, [[0, 2, 700]]]]
    assert decoded.limits.limits[1] == ["e2", 1, None, 5]
    assert decoded.quarantine.crashes == [["e1", 1, 30, [["r1", 45, ["p1", "p2"]]]]]


@pytest.mark.parametrize(
    "data",
    [b"", b"[]", b"{}", b"5", b'{"vm": 1}', b"\xff", encode_report(report())[:-9]],
)
def test_unreadable_report(data):
    """Guards against an invalid report that stops the exchange with all peers."""
    with pytest.raises(ValueError, match="."):
        decode_report(data)


def make_table(name="v1", zone="z1"):
    return PeerTable(VmState(name, zone, f"{name}:1", 1), ChangeCounter())


def hear(table, vm, now_ms, **changes):
    """Let a table hear a VM's own report."""
    state = VmState(vm, "z1", f"{vm}:1", **{"started_ms": 5, **changes})
    table.on_contact(vm, state.started_ms, now_ms)
    table.apply_states([state], vm, now_ms)


def test_report_of_an_earlier_start_is_ignored():
    """Guards against delayed reports that a VM sent before it restarted."""
    table = make_table()
    hear(table, "v2", 0.0, started_ms=6)
    assert table.on_contact("v2", 5, 1.0) is None
    state = VmState("v2", "z1", "v2:1", 5, sequence=90, fence=4)
    assert table.apply_states([state], "v2", 1.0) == []
    assert table.holder(1.0) is None


@pytest.mark.parametrize(
    ("age_ms", "reachable", "vm_count"),
    [(PEER_TIMEOUT_MS, 1, 2), (PEER_TIMEOUT_MS + 1, 0, 2), (PEER_EXPIRY_MS + 1, 0, 1)],
    ids=["reachable", "unreachable", "expired"],
)
def test_unreachable_and_expired_peers(age_ms, reachable, vm_count):
    """Guards against requests of an unreachable VM that are counted for ever."""
    table = make_table()
    hear(table, "v2", 0.0)
    assert len(table.live_states(age_ms)) == reachable
    assert len(table.linked_names(age_ms)) == reachable
    table.remove_expired(age_ms)
    assert table.vm_count(age_ms) == vm_count


def test_seed_address_is_replaced_by_the_name_of_its_vm():
    """Guards against two links to one VM, by its seed address and by its name."""
    table = make_table()
    table.add_place(VmPlace("seed v2:1", "v2:1"))
    hear(table, "v2", 0.0)
    assert table.places.keys() == {"v2"}
    hear(table, "v2", 0.0, sequence=2, stopping=True)
    assert table.places == {}


def test_lease_holder_with_the_highest_fence_counts():
    """Guards against a VM that follows a former holder of the order lease."""
    table = make_table()
    hear(table, "v2", 0.0, fence=4)
    hear(table, "v3", 0.0, fence=9)
    assert table.holder(1.0).vm == "v3"
    assert table.peer_summary(1.0).fence == 9


def test_first_vm_by_rank_that_reaches_the_store_reads_it():
    """Guards against a store that all VMs read, or that none reads."""
    table = make_table("v3")
    hear(table, "v1", 0.0, store_reachable=False)
    assert table.store_reader_rank(1.0) == 0
    hear(table, "v2", 0.0, store_reachable=True)
    assert table.store_reader_rank(1.0) == 1
    hear(table, "v9", 0.0, store_reachable=True, capacity=2.0)
    assert table.store_reader_rank(1.0) == 2


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.usefixtures("quiet_logs")
def test_odd_report_is_refused_or_does_no_harm(seed):
    """Guards against one odd report after which a VM can tell its peers nothing.

    Each mutated report is either refused as a whole or taken; after all of them the
    VM goes on with sound ones.
    """
    rng = random.Random(seed)
    settings = decode_settings(SETTINGS.format(name="v1"), "f").unwrap()
    clock = ManualClock()
    state = FleetState(settings, Decoder, clock, 1)
    sound = json.loads(encode_report(report()))
    taken = 0
    for _ in range(2_000):
        clock.advance(50)
        data = json.dumps(mutate(sound, rng)).replace("Infinity", "1e999").encode()
        try:
            decoded = decode_report(data)
        except ValueError:
            continue
        taken += 1
        state.on_report(decoded)
        state.review_peers()
        decode_report(encode_report(state.build_report("v2")))
        state.peers.store_reader_rank(clock.monotonic_ms())
        state.running_requests()
        state.waiting_requests()
        state.request_rates()
    assert taken > 20
    state.on_report(report(started_ms=2**52, since=0, version=2**52))
    assert decode_report(encode_report(state.build_report("v2"))).vm == "v1"


def test_equal_shapes_of_a_row_are_checked_together():
    """Guards against a check of each place, which is most of the work of decoding."""
    checked = []
    shape = row(checked.append, text, checked.append, checked.append)
    # Each access of a bound method gives another object, but an equal one.
    shape([[1, "a", 2, 3], [4, "b", 5, 6]])
    assert checked == [(1, 4, 2, 5, 3, 6)]


@pytest.mark.parametrize("place", range(4))
def test_each_place_of_a_row_is_checked(place):
    """Guards against a place that is left out because others have its shape."""
    shape = row(count, text, count, text)
    valid = [1, "a", 2, "b"]
    shape([valid])
    invalid = list(valid)
    invalid[place] = None
    with pytest.raises(ValueError):
        shape([valid, invalid])


@pytest.mark.parametrize("wrong", ["", " ", "a b", "\x7f", "\u00e9:1", "a\n", None])
def test_each_address_is_checked(wrong):
    """Guards against an invalid address among valid ones."""
    address(["a:1", "b:2"])
    for values in ([wrong], [wrong, "b:2"], ["a:1", wrong], ["a:1", wrong, "b:2"]):
        with pytest.raises(ValueError):
            address(values)
