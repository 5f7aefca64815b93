"""Tests of the reports between the VMs of a fleet, and of the peer table."""

import pytest

from cassiamount.fleet_reports import (
    Residency,
    StreamPosition,
    StreamRecords,
    Versions,
    VmReport,
    decode_report,
    encode_report,
)
from cassiamount.metadata_store import KeyedRecord
from cassiamount.model_demand import RequestCount
from cassiamount.peer_table import PEER_EXPIRY_MS, PEER_TIMEOUT_MS, PeerTable


def report(vm="v2", **changes):
    values = {
        "vm": vm,
        "zone": "z1",
        "address": f"{vm}:1",
        "started_ms": 5,
        "stopping": False,
        "store_reachable": True,
        "positions": {"configuration": StreamPosition(7, 12.5)},
        "records": {
            "backends": StreamRecords(
                3, 5, [KeyedRecord(3, "k", b"\xff{}"), KeyedRecord(4, "k", None)]
            )
        },
        "running": {"e1": {"m/a": 2}},
        "waiting": {"m": 1},
        "asked": {"m": RequestCount(9, 4, 2)},
        "used_tokens": {"t": 100.5},
        "fence": 0,
        "order_age_ms": None,
        "residency": {"e1": Residency(1, {"m": ["a"]}, {"n": 80.0}, ["o"])},
        "queued": {"q": 1_500.0},
        "versions": Versions(7, 3),
        "since": Versions(5, 0),
        "seen_started_ms": 4,
        "seen": Versions(6, 0),
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
    assert decoded.asked["m"].latency_sensitive == 4


@pytest.mark.parametrize(
    "data",
    [b"", b"[]", b"{}", b"5", b'{"vm": 1}', b"\xff", encode_report(report())[:-9]],
)
def test_unreadable_report(data):
    """Guards against an invalid report that stops the exchange with all peers."""
    with pytest.raises(ValueError, match="."):
        decode_report(data)


def test_report_of_an_earlier_start_is_ignored():
    """Guards against delayed reports that a VM sent before it restarted."""
    table = PeerTable("v1")
    assert table.on_report(report(started_ms=6, waiting={}), 0.0)
    assert not table.on_report(report(started_ms=5), 1.0)
    assert table.waiting_elsewhere(1.0) == {}


@pytest.mark.parametrize(
    ("age_ms", "reachable", "vm_count"),
    [(PEER_TIMEOUT_MS, 1, 2), (PEER_TIMEOUT_MS + 1, 0, 2), (PEER_EXPIRY_MS + 1, 0, 1)],
    ids=["reachable", "unreachable", "expired"],
)
def test_unreachable_and_expired_peers(age_ms, reachable, vm_count):
    """Guards against requests of an unreachable VM that are counted for ever."""
    table = PeerTable("v1")
    table.on_report(report(), 0.0)
    assert len(table.live_reports(age_ms)) == reachable
    assert table.vm_count(age_ms) == vm_count


def test_seed_address_is_replaced_by_the_name_of_its_vm():
    """Guards against two links to one VM, by its seed address and by its name."""
    table = PeerTable("v1")
    table.addresses["seed v2:1"] = "v2:1"
    table.on_report(report("v2"), 0.0)
    assert table.addresses == {"v2": "v2:1"}
    table.on_report(report("v2", stopping=True), 0.0)
    assert table.addresses == {}


def test_lease_holder_with_the_highest_fence_counts():
    """Guards against a VM that follows a former holder of the order lease."""
    table = PeerTable("v1")
    table.on_report(report("v2", fence=4), 0.0)
    table.on_report(report("v3", fence=9), 0.0)
    assert table.holder(1.0).vm == "v3"
    assert table.peer_summary(1.0).fence == 9


def test_first_vm_by_name_that_reaches_the_store_reads_it():
    """Guards against a store that all VMs read, or that none reads."""
    table = PeerTable("v3")
    table.on_report(report("v1", store_reachable=False), 0.0)
    assert table.store_reader_rank(1.0) == 0
    table.on_report(report("v2"), 0.0)
    assert table.store_reader_rank(1.0) == 1
