"""Tests of the bin packing check."""

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiamount.packing import can_pack


def packs_by_brute_force(sizes, capacities):
    for choice in product(range(len(capacities)), repeat=len(sizes)):
        used = [0] * len(capacities)
        for size, index in zip(sizes, choice, strict=True):
            used[index] += size
        if all(map(int.__le__, used, capacities)):
            return True
    return False


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(
    st.lists(st.integers(1, 9), max_size=6),
    st.lists(st.integers(1, 14), min_size=1, max_size=3),
)
def test_agrees_with_brute_force(sizes, capacities):
    """Guards against a valid configuration refused, and an invalid one accepted."""
    assert can_pack(sizes, capacities) == packs_by_brute_force(sizes, capacities)


@pytest.mark.parametrize(
    ("sizes", "capacities", "expected"),
    [
        ([], [], True),
        ([1], [], False),
        ([4, 3, 3, 2], [6, 6], True),
        # Best fit decreasing fails on this instance; the exact search solves it.
        ([5, 5, 4, 4, 3, 3], [12, 12], True),
        ([7, 7, 7], [10, 11], False),
    ],
)
def test_known_instances(sizes, capacities, expected):
    """Guards against an exact search that stops too early."""
    assert can_pack(sizes, capacities) == expected


def test_search_is_bounded():
    """Guards against a configuration whose check blocks every VM."""
    # A bin fits only one item. All bins differ, so that the search can't skip any.
    sizes, capacities = range(600, 641), range(960, 1000)
    assert sum(sizes) < sum(capacities)
    assert not can_pack(sizes, capacities)
