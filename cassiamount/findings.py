"""Parsing of operators' JSON documents, with the place of each fault."""

import json
import math

import yaml
from result import Err, Ok

# Valid documents have about eight levels. The limit keeps validators and error messages
# from reaching the recursion limit of the interpreter.
MAX_DEPTH = 32
# JSON parsers that use 64-bit floats lose precision above this value.
MAX_INTEGER = 2**53


class Finding:
    """A fault in a document, reported to the operator.

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
    """A fault at a JSON path, not yet located in the text of the document.

    Parameters
    ----------
    path : tuple of (str or int)
    message : str
    at_key : bool
        Whether the name of the field is at fault instead of its value.
    """

    __slots__ = ("path", "message", "at_key")

    def __init__(self, path, message, at_key=False):
        self.path = tuple(path)
        self.message = message
        self.at_key = at_key


class JsonPathLocator:
    """Locates problems in a document without text, by paths such as ``$.teams[0]``."""

    __slots__ = ()

    def place(self, path, at_key=False):
        """Return the JSON path as text."""
        steps = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
        return "$" + "".join(steps)

    def sort_key(self, path, at_key=False):
        """Return a constant, so that a stable sort keeps the order of the problems."""
        return 0


class JsonTextLocator:
    """Locates problems by line and column in a JSON text.

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
            Return the place of the name of the field instead of its value.

        Returns
        -------
        str
            If the path does not exist, the place of its deepest existing ancestor.
        """
        return self._node_place(self._find(path, at_key))

    def sort_key(self, path, at_key=False):
        """Return a key that sorts paths by their position in the text."""
        node = self._find(path, at_key)
        return 0 if node is None else node.start_mark.index

    def _find(self, path, at_key):
        node, key_node = self._compose(), None
        for step in path:
            entry = _child(node, step)
            if entry is None:
                # The field is missing, so its name is not in the text.
                key_node = None
                break
            key_node, node = entry
        return key_node if at_key and key_node is not None else node

    def duplicate_keys(self):
        """Yield (place, name) of each field whose name occurs earlier in its object."""
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
                # YAML rejects tabs as indentation; one space keeps the columns.
                text = self._text.replace("\t", " ")
                self._root = yaml.compose(text, Loader=yaml.SafeLoader)
            except (yaml.YAMLError, RecursionError, ValueError):
                # Some valid JSON is invalid YAML: very long keys, some characters.
                self._root = None
        return self._root


def _child(parent, step):
    """Return (key node or None, value node) of a child, or None if it is missing."""
    if isinstance(parent, yaml.SequenceNode) and isinstance(step, int):
        return (None, parent.value[step]) if step < len(parent.value) else None
    if isinstance(parent, yaml.MappingNode):
        # Of duplicate fields, the JSON parser keeps the last.
        for key_node, value_node in reversed(parent.value):
            if key_node.value == step:
                return key_node, value_node
    return None


class JsonDocument:
    """A parsed JSON text, and the locator of its values.

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
    """Parse a JSON text; reject malformed JSON and duplicate fields.

    Parameters
    ----------
    text : str
    file_name : str
        Used only in the places of findings.

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
    raise ValueError(f"{name} is not a JSON number")


def value_problems(value):
    """Return the problems of a JSON value that a schema cannot express.

    Parameters
    ----------
    value : object

    Returns
    -------
    list of Problem
        Excessive nesting, numbers out of range, and invalid Unicode.
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
        return "the text contains an unpaired surrogate"
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
    """Return `text` truncated to `limit` characters, for use in a message."""
    text = str(text)
    return text if len(text) <= limit else text[: limit - 3] + "..."


def to_findings(problems, locator):
    """Return the findings of `problems`, sorted by position, without duplicates.

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
