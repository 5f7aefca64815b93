"""Tests of how long keys are accepted without a new confirmation."""

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
    ids=["unconfirmed", "fresh", "at-the-limit", "suspended"],
)
def test_keys_are_accepted_only_while_fresh(confirmed_ms, now_ms, expected):
    """Guards against a withdrawn key that stays valid on an isolated VM."""
    keys = KeyFreshness(5_000.0)
    if confirmed_ms is not None:
        keys.confirm(confirmed_ms)
    assert keys.is_fresh(now_ms) is expected


def test_older_confirmation_is_ignored():
    """Guards against a delayed confirmation that changes the age of the keys."""
    keys = KeyFreshness(5_000.0)
    keys.confirm(1_000.0)
    keys.confirm(500.0)
    assert keys.age_ms(1_000.0) == 0.0
