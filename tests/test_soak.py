"""Soak of VM processes with fixed seeds; more by hand, see `tests.soak`."""

import pytest

from tests.soak import soak


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overlapping_disturbances_break_no_promise(seed, tmp_path, monkeypatch):
    """Guards against faults that only a series of overlapping disturbances shows."""
    monkeypatch.chdir(tmp_path)
    assert soak(seed, steps=12).answered
