"""Structured logs: one JSON object for each line."""

import logging
import re
import sys

import orjson
import structlog

from .keys import KEY_PREFIX
from .library_logs import take_library_logs
from .redaction import REDACTED

# Fields that could hold a credential are never written, whatever their value.
SECRET_FIELDS = frozenset(
    {"authorization", "api_key", "key", "token", "access_token", "cookie"}
)
BEARER = re.compile(r"(?i)\b(bearer\s+)[^\s\"',]+")
GENERATED_KEY = re.compile(re.escape(KEY_PREFIX) + r"[A-Za-z0-9_\-]{16,}")
MAX_VALUE_CHARACTERS = 2_000


def remove_secrets(logger, method_name, event_dict):
    """Replace credentials in a log entry; a structlog processor."""
    for name, value in event_dict.items():
        if name.lower() in SECRET_FIELDS:
            event_dict[name] = REDACTED
        elif isinstance(value, str):
            event_dict[name] = _remove_credentials(value[:MAX_VALUE_CHARACTERS])
    return event_dict


def _remove_credentials(text):
    # Most values contain neither, and a search for a constant is cheaper than a regex.
    if "bearer" in text.lower():
        text = BEARER.sub(rf"\1{REDACTED}", text)
    if KEY_PREFIX in text:
        text = GENERATED_KEY.sub(REDACTED, text)
    return text


def _to_json(event_dict, **options):
    dump = orjson.dumps
    try:
        return dump(event_dict, default=repr, option=orjson.OPT_NON_STR_KEYS).decode()
    except TypeError:
        # A text or a number that JSON cannot have must not end the task that logs it.
        texts = {str(name): _short_ascii(value) for name, value in event_dict.items()}
        return dump(texts).decode()


def _short_ascii(value):
    if isinstance(value, str) and value.isascii():
        return value
    try:
        return ascii(value)[:MAX_VALUE_CHARACTERS]
    except (ValueError, RecursionError):
        return f"unprintable {type(value).__name__}"


def configure_logs(level="info", stream=None, cached=False, **common):
    """Write logs, also those of libraries, as JSON lines and return a logger.

    Parameters
    ----------
    level : str
    stream : file, optional
        Standard error by default.
    cached : bool
        Whether loggers keep this configuration after their first line, which makes each
        line cheaper.
    **common
        Fields of every line, for example the VM's name.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            remove_secrets,
            structlog.processors.JSONRenderer(serializer=_to_json),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=cached,
    )
    take_library_logs()
    return structlog.get_logger(**common)
