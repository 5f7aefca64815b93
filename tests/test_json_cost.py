"""Bound on the memory of parsed bodies."""

import tracemalloc

import orjson
import pytest

from cassiamount.json_cost import parsed_bytes


@pytest.mark.parametrize(
    "item",
    [
        b"[]",
        b"{}",
        b'{"a":1}',
        b'{"a":{"b":{}}}',
        b"[[[[]]]]",
        b"1.5",
        b"123456",
        b'"ab"',
        '"\u00e9"'.encode(),
        '"\U0001f600"'.encode(),
        rb'"\ud83d\ude00"',
        b'"' + b"x" * 400 + '\U0001f600"'.encode(),
    ],
)
def test_parsed_body_takes_no_more_than_its_bound(item):
    """Guards against small bodies whose parsed values exceed the VM's memory."""
    body = b"[" + b",".join([item] * 5_000) + b"]"
    tracemalloc.start()
    try:
        document = orjson.loads(body)
        size_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert document and size_bytes <= parsed_bytes(body)
