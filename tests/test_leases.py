"""Randomised proof of the lease rules."""

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.machines.lease_machine import LeaseMachine

EXAMPLES = 2_000
STEPS = 50


def proof_settings(examples=EXAMPLES):
    return settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


def test_one_vm_at_a_time_uses_a_lease():
    """Guards against two budget owners at one moment of true time."""
    run_state_machine_as_test(LeaseMachine, settings=proof_settings())
