"""Decodes the answers of the platform's metadata store.

Each function raises ValueError, TypeError or KeyError if an answer has another form.
"""

import base64

from ..json_values import count_of, parse_object, typed
from ..store_position import ERA_SPAN

# Length prefix of each record, and each of the two offsets at the start of a page.
LENGTH_BYTES = 4
OFFSET_BYTES = 8


def _count(value):
    return count_of(value, 0, ERA_SPAN - 1)


def decode_newest(body):
    """Return a page's records, its end, and whether more follow."""
    value = parse_object(body)
    end_offset = _count(value["EndOffset"])
    has_more = typed(value["HasMore"], bool)
    items = []
    for item in typed(value["items"], list):
        offset = _count(typed(item, dict)["Offset"])
        if offset >= end_offset:
            raise ValueError("a record lies behind the end")
        data = base64.b64decode(typed(item["Value"], str), validate=True)
        items.append((offset, typed(item["Key"], str), data))
    if has_more and not items:
        raise ValueError("an empty page is not the last one")
    return items, end_offset, has_more


def decode_read(body, from_offset):
    """Return the contents of the records from an offset on."""
    if len(body) < 2 * OFFSET_BYTES:
        raise ValueError("the page is truncated")
    end_offset = int.from_bytes(body[:OFFSET_BYTES], "big")
    first_offset = int.from_bytes(body[OFFSET_BYTES : 2 * OFFSET_BYTES], "big")
    contents = []
    at = 2 * OFFSET_BYTES
    while at < len(body):
        length = int.from_bytes(body[at : at + LENGTH_BYTES], "big")
        at += LENGTH_BYTES + length
        if at > len(body):
            raise ValueError("the last record is truncated")
        contents.append(body[at - length : at])
    if not first_offset <= from_offset <= from_offset + len(contents) <= end_offset:
        raise ValueError("the page holds other records than those asked for")
    return contents


def decode_append(body):
    """Check the answer to an append."""
    value = parse_object(body)
    if _count(value["Offset"]) >= _count(value["EndOffset"]):
        raise ValueError("the end does not follow the record")


def decode_join(body):
    """Return a group's generation, and the member's topics and partitions."""
    value = parse_object(body)
    parts = {
        (typed(topic, str), _count(part))
        for topic, part, *_ in typed(value["parts"], list)
    }
    return _count(value["Generation"]), parts
