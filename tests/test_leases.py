"""Randomised proof of the lease rules."""

from hypothesis.stateful import run_state_machine_as_test

from tests.machines import proof_settings
from tests.machines.lease_machine import LeaseMachine


def test_one_vm_at_a_time_uses_a_lease():
    """Guards against two budget owners at one moment of true time."""
    run_state_machine_as_test(LeaseMachine, settings=proof_settings())
