"""Shapes of JSON values that another process has written, checked before their use.

A shape is a function that gets a sequence of parsed values, at least one, and raises
ValueError unless all have its form. Values of one kind are checked together, which
costs a fraction of a check of each.
"""

from itertools import chain

# Numbers stay within what all JSON readers keep exact; sums are finite.
MAX_NUMBER = 1 << 53
MAX_SUM = 1e300
TEXT = frozenset({str})
FLAG = frozenset({bool})
WHOLE = frozenset({int})
NUMBER = frozenset({int, float})
COMPARABLE = frozenset({int, float, bool})
LIST = frozenset({list})
OBJECT = frozenset({dict})


def _require_types(values, types):
    if not types.issuperset(map(type, values)):
        raise ValueError(f"a value is of none of the types {types}")


def _require_range(values, least, most):
    if not least <= min(values) <= max(values) < most:
        raise ValueError("a number is out of range")


def text(values):
    """Check texts."""
    _require_types(values, TEXT)


def filled_text(values):
    """Check texts that are not empty."""
    _require_types(values, TEXT)
    if not all(values):
        raise ValueError("a text is empty")


def is_address(value):
    """Return whether a text may be an address: it has only visible characters."""
    return value.isascii() and value.isprintable() and bool(value) and " " not in value


def address(values):
    """Check addresses: other characters end the task that connects to them."""
    _require_types(values, TEXT)
    # Joined texts are an address only if each of them is one or is empty.
    if not all(values) or not is_address("".join(values)):
        raise ValueError("no address")


def flag(values):
    """Check bools."""
    _require_types(values, FLAG)


def count(values):
    """Check whole numbers that are not negative."""
    _require_types(values, WHOLE)
    _require_range(values, 0, MAX_NUMBER)


def number(values):
    """Check numbers, for example times and ages."""
    _require_types(values, NUMBER)
    _require_range(values, -MAX_NUMBER, MAX_NUMBER)


def total(values):
    """Check sums of what callers name, which have no other bound."""
    _require_types(values, NUMBER)
    _require_range(values, -MAX_SUM, MAX_SUM)


def rank_part(values):
    """Check numbers and bools, which compare with each other."""
    _require_types(values, COMPARABLE)
    _require_range(values, -MAX_NUMBER, MAX_NUMBER)


def optional(shape):
    """Return the shape of values that may be null."""

    def check(values):
        found = [value for value in values if value is not None]
        if found:
            shape(found)

    return check


def list_of(shape, least=0):
    """Return the shape of lists of any length from `least` on."""

    def check(values):
        _require_types(values, LIST)
        if least and min(map(len, values)) < least:
            raise ValueError("a list is too short")
        items = list(chain.from_iterable(values))
        if items:
            shape(items)

    return check


def row(*shapes):
    """Return the shape of lists with one shape for each place.

    The values of all places with the same shape are checked together.
    """
    lengths = frozenset({len(shapes)})
    places = {}
    for place, shape in enumerate(shapes):
        places.setdefault(shape, []).append(place)
    columns_of = [(shape, first, others) for shape, (first, *others) in places.items()]

    def check(values):
        _require_types(values, LIST)
        if not lengths.issuperset(map(len, values)):
            raise ValueError(f"a list is not of length {len(shapes)}")
        columns = list(zip(*values, strict=True))
        for shape, first, others in columns_of:
            column = columns[first]
            for place in others:
                column += columns[place]
            shape(column)

    return check


def map_of(shape):
    """Return the shape of objects with values of one shape."""

    def check(values):
        _require_types(values, OBJECT)
        items = list(chain.from_iterable(map(dict.values, values)))
        if items:
            shape(items)

    return check
