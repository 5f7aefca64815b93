"""Tests of the differences between documents."""

import pytest

from cassiamount.document_diff import diff_documents


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ({}, {}, []),
        ({"a": 1}, {"a": 2}, ["~ a: 1 -> 2"]),
        ({"a": {"b": 1}}, {"a": {"c": 1}}, ["- a.b: 1", "+ a.c: 1"]),
        # Items move without a difference; a changed one is named.
        (
            {"t": [{"name": "x", "n": 1}, {"name": "y"}]},
            {"t": [{"name": "y"}, {"name": "x", "n": 2}]},
            ["~ t[x].n: 1 -> 2"],
        ),
        ({"t": [{"name": "x"}]}, {"t": []}, ["- t[x]: {'name': 'x'}"]),
        ({"t": ["a"]}, {"t": ["b"]}, ["~ t: ['a'] -> ['b']"]),
        # Duplicate names cannot be told apart, so the whole list is compared.
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
    """Guards against a change that an operator does not see before publishing."""
    assert [str(item) for item in diff_documents(old, new)] == expected
