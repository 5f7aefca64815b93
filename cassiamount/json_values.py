"""Checks of parsed JSON that another program has written."""

import math

import orjson

# Counts and positions stay below 2**53, which all JSON readers keep exact.
MAX_COUNT = (1 << 53) - 1


def typed(value, kind, name="a value"):
    """Return a value of the expected type.

    Raises
    ------
    TypeError
        Also for a bool where a number is expected.
    """
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise TypeError(f"{name} is of type {type(value).__name__}")
    return value


def count_of(value, least=0, most=MAX_COUNT, name="a count"):
    """Return a count: a whole number that is not negative.

    Raises
    ------
    TypeError, ValueError
    """
    if not least <= typed(value, int, name) <= most:
        raise ValueError(f"{name} is out of range")
    return value


def amount_or_nan(value, most):
    """Return an amount from 0 to a maximum; not a number if it is something else."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return math.nan
    return float(value) if 0 <= value <= most else math.nan


def parse_object(data):
    """Return the JSON object in bytes.

    Raises
    ------
    TypeError, ValueError
    """
    return typed(orjson.loads(data), dict)


# Fields of an object; a KeyError, TypeError or ValueError if one has another form.


def count_field(value, field, least=0, most=MAX_COUNT):
    """Return a field that is a count."""
    return count_of(value[field], least, most, field)


def text_field(value, field):
    """Return a field that is a text and not empty."""
    text = typed(value[field], str, field)
    if not text:
        raise ValueError(f"{field} is empty")
    return text


def optional_field(value, field, kind, default=None):
    """Return a field that may be missing or null."""
    found = value.get(field)
    return default if found is None else typed(found, kind, field)


def strings_field(value, field):
    """Return the set of the strings in a field that may be missing."""
    found = optional_field(value, field, list, [])
    return frozenset(typed(text, str, field) for text in found)
