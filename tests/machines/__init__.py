"""State machines of the coordination between VMs."""

from hypothesis import HealthCheck, settings

EXAMPLES = 2_000
STEPS = 50


def proof_settings(examples=EXAMPLES):
    """Return the settings of a randomised proof; the same examples in each run."""
    return settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
