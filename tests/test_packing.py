"""Tests of the packing check."""

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
    """Guards against a valid configuration that is refused, and the reverse."""
    assert can_pack(sizes, capacities) == packs_by_brute_force(sizes, capacities)


@pytest.mark.parametrize(
    ("sizes", "capacities", "expected"),
    [
        ([], [], True),
        ([1], [], False),
        # Best fit alone fails here.
        ([4, 3, 3, 2], [6, 6], True),
        ([5, 5, 4, 4, 3, 3], [12, 12], True),
        ([7, 7, 7], [10, 11], False),
    ],
)
def test_known_instances(sizes, capacities, expected):
    """Guards against a search that stops too early."""
    assert can_pack(sizes, capacities) == expected


def test_search_is_bounded():
    """Guards against a configuration that holds up every VM."""
    # Each bin takes one item; the bins differ, so that no two are equivalent.
    sizes, capacities = range(600, 641), range(960, 1000)
    assert sum(sizes) < sum(capacities)
    assert not can_pack(sizes, capacities)
