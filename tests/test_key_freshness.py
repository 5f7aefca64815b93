"""Tests of how long the keys are known well enough."""

import pytest

from cassiamount.key_freshness import REQUEST_TRANSIT_MARGIN_MS, KeyFreshness


@pytest.mark.parametrize(
    ("confirmed_ms", "now_ms", "expected"),
    [
        (None, 100.0, False),
        (0.0, 5_000.0 - REQUEST_TRANSIT_MARGIN_MS - 1, True),
        (0.0, 5_000.0 - REQUEST_TRANSIT_MARGIN_MS, False),
        (0.0, 60_000.0, False),
    ],
    ids=["no-proof", "fresh", "at-the-limit", "suspended"],
)
def test_keys_are_accepted_only_while_fresh(confirmed_ms, now_ms, expected):
    """Guards against a withdrawn key that works on a VM that cannot hear of it."""
    keys = KeyFreshness(5_000.0)
    if confirmed_ms is not None:
        keys.confirm(confirmed_ms)
    assert keys.is_fresh(now_ms) is expected


def test_older_confirmation_is_ignored():
    """Guards against a late relayed proof that makes the keys look older or newer."""
    keys = KeyFreshness(5_000.0)
    keys.confirm(1_000.0)
    keys.confirm(500.0)
    assert keys.age_ms(1_000.0) == 0.0
