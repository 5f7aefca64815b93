"""Tests of the comparison of configuration documents."""

import pytest

from cassiamount.document_diff import diff_documents


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ({}, {}, []),
        ({"a": 1}, {"a": 2}, ["~ a: 1 -> 2"]),
        ({"a": {"b": 1}}, {"a": {"c": 1}}, ["- a.b: 1", "+ a.c: 1"]),
        # A changed order is no difference; a changed item is shown by its name.
        (
            {"t": [{"name": "x", "n": 1}, {"name": "y"}]},
            {"t": [{"name": "y"}, {"name": "x", "n": 2}]},
            ["~ t[x].n: 1 -> 2"],
        ),
        ({"t": [{"name": "x"}]}, {"t": []}, ["- t[x]: {'name': 'x'}"]),
        ({"t": ["a"]}, {"t": ["b"]}, ["~ t: ['a'] -> ['b']"]),
        # Duplicate names cannot be matched, so the list is compared as a whole.
        (
            {"t": [{"name": "x"}, {"name": "x"}]},
            {"t": [{"name": "x"}]},
            ["~ t: [{'name': 'x'}, {'name': 'x'}] -> [{'name': 'x'}]"],
        ),
        ({"a": 1}, {"a": True}, ["~ a: 1 -> True"]),
        ([], {}, ["~ $: [] -> {}"]),
    ],
)
def test_differences(old, new, expected):
    """Guards against changes that are hidden from the operator before publishing."""
    assert [str(item) for item in diff_documents(old, new)] == expected
