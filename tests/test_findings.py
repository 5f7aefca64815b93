"""Tests of parsing JSON documents and locating faults in them."""

import pytest

from cassiamount.findings import JsonTextLocator, read_json, value_problems

TEXT = '{\n\t"a": [1, {"b": 2}],\n  "c": "x"\n}'


@pytest.mark.parametrize(
    ("path", "at_key", "place"),
    [
        ((), False, "f.json:1:1"),
        (("a",), False, "f.json:2:7"),
        (("a",), True, "f.json:2:2"),
        (("a", 1, "b"), False, "f.json:2:17"),
        (("c",), False, "f.json:3:8"),
        # A missing path has the place of its deepest existing ancestor.
        (("a", 9, "b"), False, "f.json:2:7"),
        (("none",), True, "f.json:1:1"),
    ],
)
def test_place_of_a_path(path, at_key, place):
    """Guards against findings that show the wrong line or column."""
    assert JsonTextLocator(TEXT, "f.json").place(path, at_key) == place


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"a": 1,\n "a": 2}', "f:2:2: duplicate field 'a'"),
        ('[{"b": {"a": 1, "a": 1}}]', "f:1:17: duplicate field 'a'"),
        ('{"a": }', "f:1:7: not JSON: Expecting value"),
        ("", "f:1:1: not JSON: Expecting value"),
        ('{"a": NaN}', "f:1:1: not JSON: NaN is not a JSON number"),
        ("1" * 5000, "f:1:1: not JSON: Exceeds the limit"),
        ("[" * 100_000, "f:1:1: not JSON: maximum recursion depth"),
        # The YAML parser, which finds the places, rejects keys of this length.
        (f'{{"{"k" * 2000}": 1, "{"k" * 2000}": 2}}', "f:1:1: duplicate field"),
    ],
)
def test_malformed_text_is_rejected(text, expected):
    """Guards against exceptions, and against silently dropping duplicate fields."""
    (finding,) = read_json(text, "f").unwrap_err()
    assert str(finding).startswith(expected)


@pytest.mark.parametrize(
    ("value", "path", "message"),
    [
        ({"a": [2**60]}, ("a", 0), "out of range"),
        ([1e999], (0,), "out of range"),
        ({"a": "\ud800"}, ("a",), "surrogate"),
        ({"\ud800": 1}, (), "not Unicode"),
    ],
)
def test_unsupported_value_is_a_problem(value, path, message):
    """Guards against documents that the log or other VMs cannot decode."""
    (problem,) = value_problems(value)
    assert problem.path == path
    assert message in problem.message


def test_deep_nesting_is_a_problem():
    """Guards against a RecursionError during validation."""
    value = []
    for _ in range(5000):
        value = [value]
    (problem,) = value_problems(value)
    assert "nested deeper" in problem.message
