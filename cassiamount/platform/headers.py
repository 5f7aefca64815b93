"""The platform's HTTP headers, decoded into request and response metadata."""

import math

import structlog

from ..backend_messages import ResponseMetadata
from ..cold_servers import cold_time_of
from ..fleet import RequestMetadata

log = structlog.get_logger()

REQUEST_ID = b"x-cassiamount-request-id"
DEADLINE = b"x-cassiamount-deadline-ms"
EXPECT_INSTANCE = b"x-cassiamount-expect-instance"
TENANT = b"x-cassiamount-tenant"
PRIORITY = b"x-cassiamount-request-priority"
MODEL = b"x-cassiamount-model"
TOKENS = b"x-cassiamount-token-usage"
PREFIX = b"x-cassiamount-prefix-hash"
NOT_RUN = b"x-cassiamount-not-executed"
INSTANCE = b"x-cassiamount-instance-id"
LOAD = b"x-cassiamount-server-load"
SIGNATURE = b"x-cassiamount-server-signature"
# Larger numbers in headers are taken for mistakes.
MAX_DIGITS = 15
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
COLD_START = b"x-cassiamount-cold-start-ms"

# Headers that only the system may set; those of a caller are dropped.
SYSTEM_HEADERS = frozenset(
    {
        DEADLINE,
        EXPECT_INSTANCE,
        TENANT,
        PRIORITY,
        b"x-cassiamount-expect-version",
        b"x-cassiamount-hold",
        b"x-cassiamount-pin-ms",
        b"x-cassiamount-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"authorization",
    }
)
# Headers that apply to a single connection, or are set anew for each one.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
DROPPED_HEADERS = SYSTEM_HEADERS | CONNECTION_HEADERS


def decode_request(method, target, headers):
    """Return the `RequestMetadata` of a request.

    Parameters
    ----------
    method : str
    target : bytes
        Path and query as the caller sent them.
    headers : list of (bytes, bytes)
        Names in lower case.

    Raises
    ------
    ValueError
        If a header does not follow the platform's formats.
    """
    values = dict(headers)
    model, _, adapter = values.get(MODEL, b"").decode("latin-1").partition("/")
    prompt_tokens = output_tokens = None
    if TOKENS in values:
        prompt_tokens, output_tokens = map(_count, values[TOKENS].split(b","))
    timeout = values.get(DEADLINE)
    host = values.get(b"host", b"").decode("latin-1").lower()
    return RequestMetadata(
        values.get(REQUEST_ID, b"").decode("latin-1"),
        method,
        host.partition(":")[0] if host.count(":") == 1 else host,
        target.partition(b"?")[0].decode("latin-1"),
        _bearer_token(values.get(b"authorization", b"")),
        None if timeout is None else float(_count(timeout)),
        model,
        adapter,
        prompt_tokens,
        output_tokens,
        PrefixParts(values.get(PREFIX, b"")),
        values.get(LAST_EVENT, b"").decode("latin-1"),
        values.get(RESUMES, b"").decode("latin-1"),
    )


def _count(text):
    """Return the number in a header.

    Raises
    ------
    ValueError
        Also if it is negative or has more than `MAX_DIGITS` digits.
    """
    text = text.strip()
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise ValueError(f"{text[:20]!r} is no number of up to {MAX_DIGITS} digits")
    return int(text)


def _count_or_none(text):
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else None


def _bearer_token(value):
    scheme, _, key = value.decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


class PrefixParts:
    """Names and numbers of tokens of a prompt's parts.

    They are parsed at each iteration: a header of 16 KB holds up to 4,096 parts, which
    as objects take 30 times its size.

    Raises
    ------
    ValueError
        If a number is too large.
    """

    __slots__ = ("_value",)

    def __init__(self, value):
        self._value = value
        for _ in self:
            pass

    def __iter__(self):
        for part in self._value.split(b","):
            name, _, tokens = part.strip().partition(b":")
            if name and tokens.isdigit():
                yield name.decode("latin-1"), _count(tokens)


def encode_request(method, target, headers, body, attempt):
    """Return the bytes of a request to a backend server.

    Parameters
    ----------
    method : str
    target : bytes
    headers : list of (bytes, bytes)
        Headers of the caller's request.
    body : bytes
    attempt : Attempt
    """
    named = set()
    for name, value in headers:
        if name == b"connection":
            named.update(item.strip().lower() for item in value.split(b","))
    dropped = DROPPED_HEADERS | {
        name for name in named if not name.startswith(b"x-cassiamount")
    }
    lines = [b"%b %b HTTP/1.1" % (method.encode("latin-1"), target)]
    for name, value in headers:
        if name in dropped or (attempt.last_event_id and name == LAST_EVENT):
            continue
        lines.append(b"%b: %b" % (name, value))
    lines.append(b"%b: %d" % (DEADLINE, max(1, attempt.time_left_ms)))
    lines.append(b"%b: %b" % (EXPECT_INSTANCE, attempt.backend.encode()))
    lines.append(b"%b: %d" % (PRIORITY, attempt.priority))
    if attempt.team:
        lines.append(b"%b: %b" % (TENANT, attempt.team.encode()))
    if attempt.last_event_id:
        lines.append(b"%b: %b" % (LAST_EVENT, attempt.last_event_id.encode("latin-1")))
    if body or method not in ("GET", "HEAD"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def decode_response(status, headers):
    """Return the `ResponseMetadata` of a backend server's response head."""
    values = dict(headers)
    running, waiting, slots, pace_percent = _load(values.get(LOAD))
    return ResponseMetadata(
        status,
        values.get(REQUEST_ID, b"").decode("latin-1"),
        NOT_RUN in values or status == 421,
        SIGNATURE in values,
        running,
        waiting,
        b"close" in values.get(b"connection", b"").lower(),
        _keep_alive_ms(values.get(b"keep-alive", b"")),
        b"content-encoding" in values,
        b"text/event-stream" in values.get(b"content-type", b""),
        _limit_per_s(values.get(SERVER_LIMIT)),
        values.get(SERVER_LEAVING, b"").strip() == b"1",
        _retry_after_ms(headers) if status == 503 else None,
        cold_time_of(values.get(COLD_START, b"0")),
        slots,
        pace_percent,
    )


def _load(value):
    """Return running, waiting, slots and pace, each None if it is missing or bad."""
    figures = [] if value is None else value.split(b",")
    counts = [_count_or_none(figure.strip()) for figure in figures]
    is_load = len(counts) in (3, 4)
    if value is not None and (not is_load or None in counts):
        log.warning("load_unreadable", value=value[:40].decode("latin-1"))
    return (*(counts if is_load else ()), None, None, None, None)[:4]


def _retry_after_ms(headers):
    """Return the longest time that the headers name; None if none is a number."""
    longest_ms = None
    for name, value in headers:
        if name != RETRY_AFTER:
            continue
        try:
            seconds = float(value)
        except ValueError:
            seconds = -1.0
        if 0 <= seconds < math.inf:
            longest_ms = max(longest_ms or 0.0, 1000 * seconds)
        else:
            log.warning("retry_after_unreadable", value=value[:40].decode("latin-1"))
    return longest_ms


def _limit_per_s(value):
    """Return the named limit, or None if there is none or it is no such number."""
    try:
        limit_per_s = float(value)
    except (TypeError, ValueError):
        return None
    return limit_per_s if 0 <= limit_per_s < math.inf else None


def _keep_alive_ms(value):
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        count = _count_or_none(seconds)
        if name.lower() == b"timeout" and count is not None:
            return 1000.0 * count
    return None


# Response headers that apply only to the connection to the backend server.
DROPPED_RESPONSE_HEADERS = CONNECTION_HEADERS - {b"content-length"}
DROPPED_RESPONSE_HEADERS |= {LOAD, INSTANCE, COLD_START}


def response_headers(headers):
    """Return the headers of a response that are forwarded to the caller."""
    return [
        (name, value) for name, value in headers if name not in DROPPED_RESPONSE_HEADERS
    ]
