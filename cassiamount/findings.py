"""Findings in operators' documents, each with its place in the file."""

import json
import math

import yaml
from result import Err, Ok

# The documents nest about eight levels deep. A bound keeps validators and error
# messages clear of the interpreter's recursion limit.
MAX_DEPTH = 32
# Larger integers lose digits in JSON readers that use 64-bit floats.
MAX_INTEGER = 2**53


class Finding:
    """One fault in a document.

    Parameters
    ----------
    place : str
        ``file:line:column``, or a JSON path for a document without a file.
    message : str
    """

    __slots__ = ("place", "message")

    def __init__(self, place, message):
        self.place = place
        self.message = message

    def __eq__(self, other):
        return isinstance(other, Finding) and str(self) == str(other)

    __hash__ = None

    def __str__(self):
        return f"{self.place}: {self.message}"

    def __repr__(self):
        return f"Finding({self.place!r}, {self.message!r})"


class Problem:
    """A fault at a JSON path, before its place in the file is known.

    Parameters
    ----------
    path : tuple of (str or int)
    message : str
    at_key : bool
        Whether the field's name is at fault and not its value.
    """

    __slots__ = ("path", "message", "at_key")

    def __init__(self, path, message, at_key=False):
        self.path = tuple(path)
        self.message = message
        self.at_key = at_key


class JsonPathLocator:
    """Places in a document that has no file: JSON paths such as ``$.teams[0]``."""

    __slots__ = ()

    def place(self, path, at_key=False):
        """Return the JSON path as text."""
        steps = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
        return "$" + "".join(steps)

    def sort_key(self, path, at_key=False):
        """Return a sort key; it keeps the order of the checks."""
        return 0


class JsonTextLocator:
    """Lines and columns in a JSON text.

    Parameters
    ----------
    text : str
        Valid JSON.
    file_name : str
    """

    __slots__ = ("_text", "_file_name", "_root", "_is_composed")

    def __init__(self, text, file_name="<text>"):
        self._text = text
        self._file_name = file_name
        self._root = None
        self._is_composed = False

    def place(self, path, at_key=False):
        """Return ``file:line:column`` of a JSON path.

        Parameters
        ----------
        path : sequence of (str or int)
        at_key : bool
            Return the place of the field's name and not of its value.

        Returns
        -------
        str
            The place of the deepest part of the path that exists.
        """
        return self._node_place(self._find(path, at_key))

    def sort_key(self, path, at_key=False):
        """Return a sort key in the order of the file."""
        node = self._find(path, at_key)
        return 0 if node is None else node.start_mark.index

    def _find(self, path, at_key):
        node, key_node = self._compose(), None
        for step in path:
            entry = _child(node, step)
            if entry is None:
                # The name of a missing field has no place of its own.
                key_node = None
                break
            key_node, node = entry
        return key_node if at_key and key_node is not None else node

    def duplicate_keys(self):
        """Yield (place, name) of each field that repeats an earlier one."""
        pending = [self._compose()]
        while pending:
            node = pending.pop()
            if isinstance(node, yaml.SequenceNode):
                pending.extend(node.value)
            elif isinstance(node, yaml.MappingNode):
                seen = set()
                for key_node, value_node in node.value:
                    if key_node.value in seen:
                        yield self._node_place(key_node), key_node.value
                    seen.add(key_node.value)
                    pending.append(value_node)

    def _node_place(self, node):
        if node is None:
            return f"{self._file_name}:1:1"
        mark = node.start_mark
        return f"{self._file_name}:{mark.line + 1}:{mark.column + 1}"

    def _compose(self):
        if not self._is_composed:
            self._is_composed = True
            try:
                # YAML refuses tabs as indentation; a space keeps the columns.
                text = self._text.replace("\t", " ")
                self._root = yaml.compose(text, Loader=yaml.SafeLoader)
            except (yaml.YAMLError, RecursionError, ValueError):
                # YAML limits the length of keys and the characters that JSON allows.
                self._root = None
        return self._root


def _child(parent, step):
    if isinstance(parent, yaml.SequenceNode) and isinstance(step, int):
        return (None, parent.value[step]) if step < len(parent.value) else None
    if isinstance(parent, yaml.MappingNode):
        # The last of duplicate fields is the one that the JSON parser returns.
        for key_node, value_node in reversed(parent.value):
            if key_node.value == step:
                return key_node, value_node
    return None


class JsonDocument:
    """A parsed JSON text with its places.

    Parameters
    ----------
    value : object
    locator : JsonTextLocator
    """

    __slots__ = ("value", "locator")

    def __init__(self, value, locator):
        self.value = value
        self.locator = locator


def read_json(text, file_name):
    """Parse a JSON text and report malformed JSON and duplicate fields.

    Parameters
    ----------
    text : str
    file_name : str
        Only for the places.

    Returns
    -------
    Result[JsonDocument, list[Finding]]
    """
    duplicates = []

    def build_object(pairs):
        fields = dict(pairs)
        if len(fields) < len(pairs):
            duplicates.append(True)
        return fields

    try:
        value = json.loads(
            text, object_pairs_hook=build_object, parse_constant=_reject_constant
        )
    except json.JSONDecodeError as error:
        place = f"{file_name}:{error.lineno}:{error.colno}"
        return Err([Finding(place, f"not JSON: {error.msg}")])
    except (ValueError, RecursionError) as error:
        return Err([Finding(f"{file_name}:1:1", f"not JSON: {shorten(error)}")])
    locator = JsonTextLocator(text, file_name)
    if duplicates:
        found = [
            Finding(place, f"duplicate field {shorten(repr(name))}")
            for place, name in locator.duplicate_keys()
        ]
        return Err(found or [Finding(locator.place(()), "duplicate field")])
    return Ok(JsonDocument(value, locator))


def _reject_constant(name):
    raise ValueError(f"{name} is no JSON number")


def value_problems(value):
    """Return the problems of a JSON value that no schema describes.

    Parameters
    ----------
    value : object

    Returns
    -------
    list of Problem
        Nesting that is too deep, numbers out of range, text that is not Unicode.
    """
    problems = []
    pending = [((), value)]
    while pending:
        path, item = pending.pop()
        message = _scalar_problem(item)
        if message:
            problems.append(Problem(path, message))
        elif isinstance(item, (dict, list)) and len(path) >= MAX_DEPTH:
            problems.append(Problem(path, f"nested deeper than {MAX_DEPTH} levels"))
        elif isinstance(item, dict):
            for key, inner in item.items():
                if not _is_unicode(key):
                    problems.append(Problem(path, "a field name is not Unicode"))
                pending.append(((*path, key), inner))
        elif isinstance(item, list):
            pending.extend(((*path, index), inner) for index, inner in enumerate(item))
    return problems


def _scalar_problem(item):
    if isinstance(item, str) and not _is_unicode(item):
        return "the text contains half of a surrogate pair"
    if isinstance(item, float) and not math.isfinite(item):
        return "the number is out of range"
    if isinstance(item, int) and abs(item) > MAX_INTEGER:
        return "the number is out of range"
    return None


def _is_unicode(text):
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def shorten(text, limit=200):
    """Return `text` cut to `limit` characters for a message."""
    text = str(text)
    return text if len(text) <= limit else text[: limit - 3] + "..."


def to_findings(problems, locator):
    """Return the findings of `problems` in file order, without repetitions.

    Parameters
    ----------
    problems : iterable of Problem
    locator : JsonTextLocator or JsonPathLocator

    Returns
    -------
    list of Finding
    """
    found = {}
    for problem in sorted(
        problems, key=lambda problem: locator.sort_key(problem.path, problem.at_key)
    ):
        place = locator.place(problem.path, problem.at_key)
        found.setdefault((place, problem.message), Finding(place, problem.message))
    return list(found.values())
