"""JSON Schema validation of operators' documents, with readable messages."""

import difflib
import ipaddress
import json
import re
from importlib import resources

import jsonschema

from .findings import Problem, shorten

# Leading zeros are not allowed, so that each address has only one spelling.
_PORT = re.compile(r"[1-9][0-9]{0,4}")


def load_schema(name):
    """Return the JSON schema from the file `name` in the package."""
    text = resources.files(__package__).joinpath("schemas", name).read_text("utf-8")
    return json.loads(text)


def is_address(text):
    """Return whether `text` is ``IP:port``, with an IPv6 address in brackets."""
    host, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port):
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return int(port) < 65536 and bracketed == (address.version == 6)


FORMATS = jsonschema.FormatChecker(formats=())


@FORMATS.checks("ip-port")
def _is_ip_port(value):
    return not isinstance(value, str) or is_address(value)


@FORMATS.checks("ip-url")
def _is_ip_url(value):
    if not isinstance(value, str):
        return True
    host = value.removeprefix("http://").split("/", 1)[0]
    return value.startswith("http://") and value.isprintable() and is_address(host)


def schema_validator(schema, definition=None):
    """Return a validator for a schema, or for one of its definitions."""
    if definition is not None:
        schema = {"$ref": f"#/$defs/{definition}", "$defs": schema["$defs"]}
    return jsonschema.Draft202012Validator(schema, format_checker=FORMATS)


def schema_problems(validator, value):
    """Validate a JSON value and return the errors as problems.

    Parameters
    ----------
    validator : jsonschema.Draft202012Validator
    value : object

    Returns
    -------
    list of Problem
    """
    problems = []
    for error in validator.iter_errors(value):
        problems.extend(_error_problems(error))
    return problems


def _error_problems(error):
    path = tuple(error.absolute_path)
    if error.validator == "additionalProperties":
        known_fields = error.schema.get("properties", {})
        for name in error.instance:
            if name not in known_fields:
                yield Problem(
                    (*path, name),
                    _unknown_field_message(name, known_fields),
                    at_key=True,
                )
    elif error.validator == "required":
        for name in error.validator_value:
            if name not in error.instance:
                yield Problem(path, f"field {name!r} is missing")
    elif error.validator in ("pattern", "format"):
        title = error.schema.get("title", error.validator_value)
        yield Problem(path, f"{shorten(repr(error.instance), 80)} is not {title}")
    else:
        yield Problem(path, shorten(error.message))


def _unknown_field_message(name, known_fields):
    message = f"unknown field {shorten(repr(name), 80)}"
    suggestions = difflib.get_close_matches(name[:80], known_fields, 1)
    return f"{message}; did you mean {suggestions[0]!r}?" if suggestions else message
