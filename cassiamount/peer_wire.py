"""Checks and conversions between ``peer.proto`` and the package's own types."""

import math

from . import peer_pb2 as pb
from .budget_messages import (
    Grant,
    Refund,
    Report,
    Shortage,
    TokenRequest,
    Use,
    owner_of,
)

MAX_TEXT_CHARACTERS = 512
MAX_ITEMS = 5_000
MAX_TOKENS = 2**53
MAX_DURATION_MS = 1e9
MAX_PAGE_RECORDS = 1_000
# A page of records, or a snapshot of a stream. The records of the log are limited to
# 16 MiB each.
MAX_MESSAGE_BYTES = 40 * 1024 * 1024
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # A VM that comes back under its old address is reached again within a second.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)


class InvalidMessage(ValueError):
    """A message of a peer is malformed."""


def require_text(value, name):
    """Raise unless a text is usable as a name."""
    if not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise InvalidMessage(f"{name} has {len(value)} characters")


def require_tokens(value, name):
    """Raise unless a number of tokens is in range."""
    if value > MAX_TOKENS:
        raise InvalidMessage(f"{name} is out of range")


def require_duration(value, name):
    """Raise unless a duration in ms is finite and in range."""
    if not math.isfinite(value) or not 0 <= value <= MAX_DURATION_MS:
        raise InvalidMessage(f"{name} is out of range")


def require_count(items, name):
    """Raise if a list is too long."""
    if len(items) > MAX_ITEMS:
        raise InvalidMessage(f"{name} has {len(items)} items")


def grant_request(holder, asks):
    """Return the message for a list of `TokenRequest`."""
    return pb.GrantRequest(
        holder=holder,
        asks=[
            pb.GrantAsk(
                team=ask.team, want_tokens=ask.want_tokens, min_tokens=ask.min_tokens
            )
            for ask in asks
        ],
    )


def parse_asks(request):
    """Return the list of `TokenRequest` of a `GrantRequest`."""
    require_text(request.holder, "holder")
    require_count(request.asks, "asks")
    for ask in request.asks:
        require_text(ask.team, "team")
        require_tokens(ask.want_tokens, "want_tokens")
        require_tokens(ask.min_tokens, "min_tokens")
    return [
        TokenRequest(ask.team, ask.want_tokens, ask.min_tokens) for ask in request.asks
    ]


def grant_reply(answers):
    """Return the message for answers by team, or None if nothing is owned."""
    if answers is None:
        return pb.GrantReply(owner=False)
    reply = pb.GrantReply(owner=True)
    for team, answer in answers.items():
        if isinstance(answer, Grant):
            reply.answers.add(
                team=team,
                grant_id=answer.grant_id,
                tokens=answer.tokens,
                lifetime_ms=answer.lifetime_ms,
            )
        elif isinstance(answer, Shortage):
            reply.answers.add(team=team, retry_after_ms=answer.retry_after_ms)
    return reply


def parse_grant_reply(reply, sent_ms, at_most_ms):
    """Return the answers by team, or None if the receiver is no owner.

    Parameters
    ----------
    reply : GrantReply
    sent_ms : float
        Before the request was sent; the deadline is counted from it.
    at_most_ms : callable
        Shortens a duration by the drift bound.
    """
    if not reply.owner:
        return None
    require_count(reply.answers, "answers")
    answers = {}
    for answer in reply.answers:
        require_text(answer.team, "team")
        if answer.tokens == 0:
            require_duration(answer.retry_after_ms, "retry_after_ms")
            answers[answer.team] = Shortage(answer.retry_after_ms)
            continue
        require_tokens(answer.tokens, "tokens")
        require_duration(answer.lifetime_ms, "lifetime_ms")
        require_grant_id(answer.grant_id)
        deadline_ms = sent_ms + at_most_ms(answer.lifetime_ms)
        answers[answer.team] = Grant(
            answer.grant_id, answer.tokens, deadline_ms, answer.lifetime_ms
        )
    return answers


def require_grant_id(grant_id):
    """Raise unless an owner can have made the identifier; return the owner."""
    require_text(grant_id, "grant_id")
    try:
        return owner_of(grant_id)
    except ValueError as error:
        raise InvalidMessage("grant_id is malformed") from error


def report_request(holder, report):
    """Return the message for a `Report`."""
    return pb.ReportRequest(
        holder=holder,
        sequence=report.sequence,
        uses=[
            pb.Use(
                grant_id=use.grant_id,
                used_tokens=use.used_tokens,
                returned_tokens=use.returned_tokens,
            )
            for use in report.uses
        ],
        refunds=[
            pb.Refund(
                team=refund.team,
                grant_id=refund.grant_id,
                tokens=refund.tokens,
                charged_age_ms=refund.charged_age_ms,
            )
            for refund in report.refunds
        ],
    )


def parse_report(request):
    """Return the `Report` of a `ReportRequest`; it concerns exactly one owner."""
    require_text(request.holder, "holder")
    require_tokens(request.sequence, "sequence")
    require_count(request.uses, "uses")
    require_count(request.refunds, "refunds")
    owners = set()
    for use in request.uses:
        owners.add(require_grant_id(use.grant_id))
        require_tokens(use.used_tokens, "used_tokens")
        require_tokens(use.returned_tokens, "returned_tokens")
    for refund in request.refunds:
        owners.add(require_grant_id(refund.grant_id))
        require_text(refund.team, "team")
        require_tokens(refund.tokens, "tokens")
        require_duration(refund.charged_age_ms, "charged_age_ms")
    if len(owners) != 1:
        raise InvalidMessage(f"the report concerns {len(owners)} owners")
    return Report(
        owners.pop(),
        request.sequence,
        [Use(u.grant_id, u.used_tokens, u.returned_tokens) for u in request.uses],
        [
            Refund(r.team, r.grant_id, r.tokens, r.charged_age_ms)
            for r in request.refunds
        ],
    )
