"""One request as it arrives at the edge, and the limits that apply to it."""

import orjson

from .body_budget import HeldBody
from .caller import refuse


class EdgeLimits:
    """Limits of the edge.

    Parameters
    ----------
    head_bytes, body_bytes : int
        Of one request.
    held_body_bytes : int
        Of the bodies of all current requests together.
    concurrent_requests : int
    body_timeout_ms : float
        From the head to the end of the body.
    stall_ms : float
        Longest time in which a caller may read nothing.
    first_byte_ms : float
        Deadline of the first byte; also of the time in the queue.
    whole_answer_ms : float
        Deadline of an answer that is not streamed, which has no early first byte.
    service_call_tokens : int
        Cost of a service call.
    """

    __slots__ = (
        "head_bytes",
        "body_bytes",
        "held_body_bytes",
        "concurrent_requests",
        "body_timeout_ms",
        "stall_ms",
        "first_byte_ms",
        "whole_answer_ms",
        "service_call_tokens",
    )

    def __init__(
        self,
        head_bytes=16 << 10,
        body_bytes=8 << 20,
        held_body_bytes=64 << 20,
        concurrent_requests=2_000,
        body_timeout_ms=30_000.0,
        stall_ms=60_000.0,
        first_byte_ms=30_000.0,
        whole_answer_ms=600_000.0,
        service_call_tokens=1,
    ):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.held_body_bytes = held_body_bytes
        self.concurrent_requests = concurrent_requests
        self.body_timeout_ms = body_timeout_ms
        self.stall_ms = stall_ms
        self.first_byte_ms = first_byte_ms
        self.whole_answer_ms = whole_answer_ms
        self.service_call_tokens = service_call_tokens


class Arrival:
    """One request as it arrived, and what was found out about it."""

    __slots__ = (
        "scope",
        "receive",
        "caller",
        "request_id",
        "arrived_ms",
        "headers",
        "key",
        "key_hash",
        "team",
        "held",
        "trace",
        "path",
        "query",
        "job",
        "is_claimed",
    )

    def __init__(self, scope, receive, caller, arrived_ms):
        self.scope = scope
        self.receive = receive
        self.caller = caller
        self.request_id = caller.request_id
        self.arrived_ms = arrived_ms
        self.headers = scope["headers"]
        self.key = ""
        self.key_hash = ""
        self.team = None
        self.held = HeldBody()
        self.trace = None
        # Set before anything of it is sent to a backend server.
        self.job = None
        # Whether it may have run under its idempotency key, perhaps at another VM.
        self.is_claimed = False
        raw = scope.get("raw_path") or scope["path"].encode()
        self.path = raw.decode("latin-1")
        self.query = scope["query_string"].decode("latin-1")

    def header(self, name):
        """Return the value of a header that must not be repeated, or None."""
        values = [value for field, value in self.headers if field == name]
        if len(values) > 1:
            text = name.decode()
            raise refuse(400, "invalid_request", f"{text} is repeated", text)
        return values[0] if values else None


def check_method(arrival, methods):
    """Refuse a request with another method."""
    method = arrival.scope["method"]
    if method not in methods:
        raise refuse(405, "method_not_allowed", f"{method:.20} is not allowed")


def bearer(headers):
    """Return the key of the Authorization header, or None without one.

    Two headers could name two teams, so a repeated one is refused.
    """
    values = [value for name, value in headers if name == b"authorization"]
    if not values:
        return None
    scheme, _, key = values[0].partition(b" ")
    key = key.strip()
    if len(values) > 1 or scheme.lower() != b"bearer" or not key.isascii():
        raise refuse(401, "invalid_key", "the Authorization header is not valid")
    return key.decode() or None


def parse_json(body):
    """Return the value of a JSON body, or refuse the request."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        pass
    try:
        body.decode("utf-8")
    except UnicodeDecodeError:
        raise refuse(400, "invalid_encoding", "the body is not UTF-8") from None
    raise refuse(400, "invalid_json", "the body is not valid JSON")
