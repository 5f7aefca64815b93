"""Answers to callers and the body of an error."""

import orjson

ERROR_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
    502: "server_error",
    503: "server_error",
    504: "server_error",
}


class CallerGone(Exception):
    """The caller disconnected or stopped reading."""


class Answer:
    """What the caller was sent, for the record of a claim.

    Parameters
    ----------
    status : int
    content_type : str
    body : bytes or None
        None if it was too large to keep or broke off.
    refusal : Refusal, optional
        Set if the system itself answered.
    """

    __slots__ = ("status", "content_type", "body", "refusal")

    def __init__(self, status, content_type="", body=None, refusal=None):
        self.status = status
        self.content_type = content_type
        self.body = body
        self.refusal = refusal


def error_body(refusal, param=None):
    """Return the OpenAI-shaped body of a refusal."""
    return orjson.dumps(
        {
            "error": {
                "message": refusal.message,
                "type": ERROR_TYPES.get(refusal.status, "invalid_request_error"),
                "code": refusal.code,
                "param": param,
            },
            "not_run": refusal.not_run,
        }
    )
