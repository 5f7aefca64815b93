"""Tests of API keys and the key table."""

import re

import pytest

from cassiamount.errors import InvariantViolation
from cassiamount.keys import KeyTable, generate_key, hash_key, is_key_hash

KEY = "ck-" + "a" * 43
HASH = hash_key(KEY)


def test_generated_keys_are_distinct_and_long():
    """Guards against keys that are guessable or need escaping in headers and URLs."""
    keys = {generate_key() for _ in range(100)}
    assert len(keys) == 100
    assert all(re.fullmatch(r"ck-[A-Za-z0-9_-]{43}", key) for key in keys)


def test_hash_form():
    """Guards against a hash that other tools compute differently."""
    expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    assert hash_key("abc") == "sha256:" + expected
    assert is_key_hash(HASH)
    assert not any(map(is_key_hash, ("", KEY, HASH.upper(), HASH + "0", HASH + "\n")))


@pytest.mark.parametrize(
    "key", ["", "ck-", KEY + " ", KEY.upper(), HASH, "\ud800", "é"]
)
def test_unknown_key_has_no_team(key):
    """Guards against inexact matches of keys, and against unexpected exceptions."""
    table = KeyTable({HASH: "team-a"})
    assert table.resolve(KEY) == "team-a"
    assert table.resolve(key) is None
    assert table.team_of_hash(key) is None or key == HASH


@pytest.mark.parametrize("withdraw", [KeyTable.withdraw, KeyTable.withdraw_here])
def test_withdrawn_key_stays_withdrawn(withdraw):
    """Guards against a withdrawn key that a later configuration makes valid again."""
    table = KeyTable({HASH: "team-a"})
    withdraw(table, HASH)
    assert table.resolve(KEY) is None
    table.replace({HASH: "team-a"})
    assert table.resolve(KEY) is None
    assert table.is_withdrawn(HASH)


def test_resolving_a_withdrawn_key_violates_an_invariant():
    """Guards against removal of the runtime check in `team_of_hash`."""
    table = KeyTable({HASH: "team-a"})
    # Sets the private attribute, since the public methods prevent this state.
    table._withdrawn.add(HASH)
    with pytest.raises(InvariantViolation, match="withdrawn-key-refused"):
        table.resolve(KEY)
