"""Tests of what a VM knows about the other VMs of a large fleet."""

import pytest

from cassiamount.change_counter import ChangeCounter
from cassiamount.peer_table import (
    PEER_EXPIRY_MS,
    RELAYED_TIMEOUT_MS,
    STATE_REFRESH_MS,
    PeerTable,
)
from cassiamount.peer_topology import MAX_MESH_VMS, VmPlace
from cassiamount.vm_state import VmState


def make_table(others=MAX_MESH_VMS):
    """Return the table of VM ``m`` in zone z1, whose relay is VM ``a``."""
    own = VmState("m", "z1", "m:1", 1)
    table = PeerTable(own, ChangeCounter())
    table.add_place(VmPlace("a", "a:1", "z1"))
    for index in range(others):
        table.add_place(VmPlace(f"x{index}", f"x{index}:1", "z2"))
    return table


def test_relays_that_change_are_believed_after_the_next_refresh():
    """Guards against a running VM that counts as silent as long as it says nothing."""
    table = make_table()
    for sequence, voucher in ((1, "x2"), (1, "x0"), (2, "x0")):
        state = VmState("x1", "z2", "x1:1", 1, sequence, voucher=voucher)
        table.apply_states([state], "a", 0.0)
    now_ms = RELAYED_TIMEOUT_MS + 1
    table.on_contact("a", 1, now_ms)
    table.on_vouched({"x0": 0}, now_ms)
    assert [state.vm for state in table.live_states(now_ms)] == ["x1"]


@pytest.mark.parametrize(("others", "refreshed"), [(MAX_MESH_VMS, True), (3, False)])
def test_state_without_changes_is_refreshed_in_a_large_fleet(others, refreshed):
    """Guards against states that are told anew too rarely, or all the time."""
    table = make_table(others)
    sequences = []
    for step in range(1, 31):
        table.set_own(step * STATE_REFRESH_MS / 10, {}, stopping=False)
        sequences.append(table.own.sequence)
    assert len(set(sequences)) == (3 if refreshed else 1)


@pytest.mark.parametrize("seed_first", [True, False])
def test_seed_address_is_replaced_by_its_vm(seed_first):
    """Guards against reports to the seeds of all VMs of a large fleet."""
    table = make_table()
    places = [VmPlace("seed x99:1", "x99:1"), VmPlace("x99", "x99:1", "z2")]
    for place in places if seed_first else reversed(places):
        table.add_place(place)
    assert "x99" in table.places
    assert not table.topology.unplaced


def test_vm_that_was_not_heard_of_counts_until_it_expires():
    """Guards against limits and quorums that count only the VMs which were heard."""
    table = PeerTable(VmState("a", "z1", "a:1", 1), ChangeCounter())
    table.learn_place(VmPlace("b", "b:1", "z2"), 0.0)
    table.learn_place(VmPlace("a", "a:1", "z1"), 0.0)
    assert table.sending_vms() == ["a", "b"]
    assert table.peer_summary(0.0).known == 1
    table.on_contact("b", 5, 1.0)
    table.apply_states([VmState("b", "z2", "b:1", 5)], "b", 1.0)
    assert table.sending_vms() == ["a", "b"]
    table.learn_place(VmPlace("c", "c:1", "z2"), 2.0)
    assert table.vm_count(2.0) == 3
    table.remove_expired(2.0 + PEER_EXPIRY_MS + 1)
    assert table.sending_vms() == ["a"]


def test_places_are_told_once_and_again_after_a_return():
    """Guards against VMs that hear of a VM from the store only."""
    table = PeerTable(VmState("a", "z1", "a:1", 1), ChangeCounter())
    table.learn_place(VmPlace("b", "b:1", "z2"), 0.0)
    assert [place.name for place in table.places_for("c", 0)] == ["b"]
    assert table.places_for("b", 0) == []
    version = table._counter.version
    assert table.places_for("c", version) == []
    table.remove_expired(PEER_EXPIRY_MS + 1)
    assert table.places_for("c", 0) == []
    table.apply_states([VmState("b", "z2", "b:1", 5)], "b", PEER_EXPIRY_MS + 2)
    assert [place.name for place in table.places_for("c", version)] == ["b"]
