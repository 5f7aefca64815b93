"""Structured logs: one JSON object for each line."""

import logging
import re
import sys

import structlog

from .keys import KEY_PREFIX
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
            text = BEARER.sub(rf"\1{REDACTED}", value[:MAX_VALUE_CHARACTERS])
            event_dict[name] = GENERATED_KEY.sub(REDACTED, text)
    return event_dict


def configure_logs(level="info", stream=None, **common):
    """Write logs as JSON lines and return a logger.

    Parameters
    ----------
    level : str
    stream : file, optional
        Standard error by default.
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
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
    return structlog.get_logger(**common)
