"""Differences between configuration documents; list items are matched by name."""

from .findings import shorten

ADDED = "added"
REMOVED = "removed"
CHANGED = "changed"

_MISSING = object()


class Difference:
    """One added, removed or changed value.

    Parameters
    ----------
    change : str
        ``added``, ``removed`` or ``changed``.
    place : str
        Path of the value, for example ``teams[team-a].parameters.rate``.
    old, new : object
        None if the value is absent from that document.
    """

    __slots__ = ("change", "place", "old", "new")

    def __init__(self, change, place, old=None, new=None):
        self.change = change
        self.place = place
        self.old = old
        self.new = new

    def to_json(self):
        """Return the difference as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}

    def __str__(self):
        if self.change == ADDED:
            return f"+ {self.place}: {shorten(self.new)}"
        if self.change == REMOVED:
            return f"- {self.place}: {shorten(self.old)}"
        return f"~ {self.place}: {shorten(self.old, 90)} -> {shorten(self.new, 90)}"


def diff_documents(old, new):
    """Return the differences from one JSON value to another.

    Parameters
    ----------
    old, new : object
        Items of lists are matched by ``name`` if every item has a unique one.

    Returns
    -------
    list of Difference
    """
    return list(_diff(old, new, ""))


def _diff(old, new, place):
    if old is _MISSING:
        yield Difference(ADDED, place, new=new)
    elif new is _MISSING:
        yield Difference(REMOVED, place, old=old)
    elif isinstance(old, dict) and isinstance(new, dict):
        prefix = f"{place}." if place else ""
        yield from _diff_fields(old, new, lambda key: f"{prefix}{key}")
    elif _is_list_of_named_objects(old) and _is_list_of_named_objects(new):
        old_items = {item["name"]: item for item in old}
        new_items = {item["name"]: item for item in new}
        yield from _diff_fields(old_items, new_items, lambda key: f"{place}[{key}]")
    elif old != new or type(old) is not type(new):
        yield Difference(CHANGED, place or "$", old, new)


def _diff_fields(old, new, format_place):
    for key in {**old, **new}:
        yield from _diff(
            old.get(key, _MISSING), new.get(key, _MISSING), format_place(key)
        )


def _is_list_of_named_objects(value):
    if not isinstance(value, list):
        return False
    if not all(isinstance(item, dict) for item in value):
        return False
    names = [item.get("name") for item in value]
    all_strings = all(isinstance(name, str) for name in names)
    return all_strings and len(set(names)) == len(names)
