"""Invariant checks that also run in production, counted by name."""

from collections import Counter

from .errors import InvariantViolation

# Names of the invariants, which are also label values of the metrics.
MEMORY_NOT_OVERCOMMITTED = "memory-not-overcommitted"
MODELS_REACHABLE = "models-reachable"
KEY_SELECTS_TEAM = "key-selects-team"
KEY_STAYS_AT_EDGE = "key-stays-at-edge"
WITHDRAWN_KEY_REFUSED = "withdrawn-key-refused"
BUDGET_NOT_EXCEEDED = "budget-not-exceeded"
WHOLE_ANSWER = "whole-answer"
TRUTHFUL_REFUSAL = "truthful-refusal"
AT_MOST_ONCE = "at-most-once"
LEAVING_BACKEND_IDLE = "leaving-backend-idle"
GRACEFUL_STOP = "graceful-stop"
CONFIGURATION_NEVER_REVERTS = "configuration-never-reverts"

checks = Counter()
violations = Counter()


def require(condition, name, **state):
    """Count a check of an invariant and raise if it does not hold.

    Parameters
    ----------
    condition : bool
    name : str
        One of the names defined in this module.
    **state
        Values that the error reports, to explain a violation.

    Raises
    ------
    InvariantViolation
        If `condition` does not hold.
    """
    checks[name] += 1
    if not condition:
        violations[name] += 1
        raise InvariantViolation(name, **state)
