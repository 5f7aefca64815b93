"""Tests of the JSON encoding and decoding of log records."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiamount.records import (
    RECORD_CLASSES,
    GiveKey,
    decode_record,
    encode_record,
)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
SAMPLE_VALUES = {
    str: "text",
    int: 7,
    bool: True,
    dict: {"a": 1},
    (str, type(None)): None,
}


@pytest.mark.parametrize("kind", sorted(RECORD_CLASSES))
def test_each_kind_round_trips(kind):
    """Guards against a field that the encoder or the decoder drops."""
    cls = RECORD_CLASSES[kind]
    record = cls(
        id="i",
        vm="v",
        **{name: SAMPLE_VALUES[types] for name, types in cls.fields.items()},
    )
    assert decode_record(encode_record(record)).unwrap() == record


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"kind": "no-such-kind"}, "unknown record kind"),
        ({"kind": ["give-key"]}, "unknown record kind"),
        ({"team": 5}, "field team has type int"),
        ({"id": ""}, "field id is empty"),
        ({"vm": True}, "field vm has type bool"),
        ({"label": "x" * 5000}, "longer than"),
    ],
)
def test_malformed_record_is_an_error_value(change, message):
    """Guards against a malformed record that raises in the follower."""
    value = {**encode_record(GiveKey("i", "v", "team", "hash")), **change}
    assert message in str(decode_record(value).unwrap_err())


@given(JSON, st.sampled_from(sorted(RECORD_CLASSES)))
def test_any_json_decodes_to_a_result(value, kind):
    """Guards against arbitrary JSON from the log that makes the decoder raise."""
    decode_record(value)
    if isinstance(value, dict):
        decode_record({**value, "kind": kind})
