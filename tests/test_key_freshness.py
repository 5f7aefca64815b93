"""Tests of how long the keys are known well enough."""

import pytest

from cassiamount.key_freshness import MARGIN_MS, KeyFreshness


@pytest.mark.parametrize(
    ("proved_ms", "now_ms", "admits"),
    [
        (None, 100.0, False),
        (0.0, 5_000.0 - MARGIN_MS - 1, True),
        (0.0, 5_000.0 - MARGIN_MS, False),
        (0.0, 60_000.0, False),
    ],
    ids=["no-proof", "fresh", "at-the-limit", "suspended"],
)
def test_keys_are_used_only_while_they_are_fresh(proved_ms, now_ms, admits):
    """Guards against a withdrawn key that works on a VM that cannot hear of it."""
    keys = KeyFreshness(5_000.0)
    if proved_ms is not None:
        keys.prove(proved_ms)
    assert keys.admits(now_ms) is admits


def test_older_proof_changes_nothing():
    """Guards against a late relayed proof that makes the keys look older or newer."""
    keys = KeyFreshness(5_000.0)
    keys.prove(1_000.0)
    keys.prove(500.0)
    assert keys.age_ms(1_000.0) == 0.0
