"""Tests of membership: a randomized test, and the state of a VM case by case."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from cassiamount.membership import GONE, LEAVING, LIVE, UNKNOWN, Membership
from cassiamount.vm_list_client import ListedVm
from cassiamount.zone_state import Member
from tests.machines import proof_settings
from tests.machines.member_machine import MemberMachine


def test_members_follow_the_running_vms():
    """Guards against stopped VMs that stay members and VMs suspected while running."""
    run_state_machine_as_test(MemberMachine, settings=proof_settings())


@pytest.mark.parametrize(
    ("listed", "registered", "probe", "expected"),
    [
        ("live", True, "fails", GONE),
        (None, True, "answers", LIVE),
        ("leaving", True, "answers", LEAVING),
        ("live", True, "leaving", LEAVING),
        ("leaving", True, None, LEAVING),
        ("live", True, None, LIVE),
        ("live", False, None, UNKNOWN),
        (None, False, None, GONE),
    ],
)
def test_state_of_a_vm(listed, registered, probe, expected):
    """Guards against a state taken from the wrong one of list, member and probe."""
    members = Membership("a@1", "z", lambda: "id")
    if listed:
        members.on_vm_list([ListedVm("b", "z", "b:1", "entry", listed)])
    if registered:
        members.on_members({"b": Member("b", "2", "b:1")})
    for second in range(5):
        if probe == "fails":
            members.on_probe_failure("b", second * 1000.0)
        elif probe:
            members.on_probe_answer("b", "b@2", probe == "leaving", second * 1000.0)
    assert members.state_of("b", 4000.0) == expected
