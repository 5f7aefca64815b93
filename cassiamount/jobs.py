"""Jobs of the relay: model requests to engines and calls of plain services."""

import orjson

from .answers import Answer
from .backend_client import AttemptBroken, NotAccepted
from .event_stream import StreamProgress
from .invariants import AT_MOST_ONCE, KEY_STAYS_AT_EDGE, require
from .request_quarantine import parts_of
from .requests import RequestState
from .stream_copier import StreamCopier

# Service responses up to this size are buffered completely, so that a broken one can be
# retried and a complete one recorded; larger ones are streamed to the caller.
MAX_BUFFERED_BYTES = 64 << 10
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Response headers that are not forwarded, because the edge sets its own.
EDGE_RESPONSE_HEADERS = HOP_BY_HOP | {b"content-length", b"x-request-id", b"date"}


class Job:
    """One request to be relayed to a backend server.

    Parameters
    ----------
    request_info : RequestInfo
    method, target : str
    key : bytes
        The caller's key, which must not appear in anything that is sent; empty on an
        open route without a key.
    recheck_key : callable
        Takes the RequestInfo; returns a Refusal if the key was withdrawn, else None.
    trace : RequestTrace
    head_deadline_ms : float
        Monotonic time by which the response head of an attempt is due.
    """

    engine = False
    retry_if_not_accepted = True
    retry_advice = ""
    # Whether it is begun even if the caller has left.
    outlives_caller = False

    def __init__(
        self, request_info, method, target, key, recheck_key, trace, head_deadline_ms
    ):
        self.request_info = request_info
        self.method = method
        self.target = target
        self.key = key
        self.recheck_key = recheck_key
        self.trace = trace
        self.head_deadline_ms = head_deadline_ms
        self.state = RequestState(request_info.request_id, request_info.idempotent)
        # Whether any attempt so far may have run at a backend server.
        self.maybe_ran = False
        # Whether the response head was sent to the caller.
        self.response_started = False

    def attempt_id(self, dispatch):
        """Return the request identifier that an attempt sends."""
        return self.request_info.request_id

    def parts(self):
        """Return the parts by which `RequestQuarantine` knows the request."""
        raise NotImplementedError

    def resumable(self):
        """Return whether another attempt could still deliver the response."""
        return not self.response_started

    def used_tokens(self):
        """Return the number of tokens to charge."""
        return self.request_info.cost_tokens

    def check_key_absent(self, headers, body):
        """Check that nothing sent to a backend server contains the caller's key."""
        key = self.key
        if not key:
            return
        found = (
            key in body
            or key in self.target.encode()
            or any(key in value.encode() for _, value in headers)
        )
        require(not found, KEY_STAYS_AT_EDGE, request_id=self.request_info.request_id)


class ModelJob(Job):
    """A request to a model engine.

    Parameters
    ----------
    request : ModelRequest
    """

    engine = True
    retry_advice = "the request can be repeated"
    stream_headers = (
        (b"content-type", b"text/event-stream; charset=utf-8"),
        (b"cache-control", b"no-cache"),
    )

    def __init__(
        self, request, request_info, key, recheck_key, trace, head_deadline_ms
    ):
        super().__init__(
            request_info,
            "POST",
            request.path,
            key,
            recheck_key,
            trace,
            head_deadline_ms,
        )
        self.request = request
        self.progress = StreamProgress()

    def attempt_id(self, dispatch):
        """Return the request identifier that an attempt sends.

        Each retry has an identifier of its own, so that a late response to the first
        attempt is not mistaken for the continuation.
        """
        if dispatch.attempt == 1:
            return self.request_info.request_id
        return f"{self.request_info.request_id}-{dispatch.attempt}"

    def parts(self):
        """Return the parts by which `RequestQuarantine` knows the request."""
        info = self.request_info
        body = self.request.engine_body(info.model, info.adapter, "")
        return parts_of(info.team, self.method, self.target, body, info.prefix_hashes)

    def resumable(self):
        """Return whether another engine could continue from the text so far."""
        if not self.response_started:
            return True
        return self.progress.single_choice and not self.progress.finished

    def used_tokens(self):
        """Return the engine's own count if known, else prompt plus generated tokens."""
        progress = self.progress
        if progress.usage_tokens is not None:
            return progress.usage_tokens
        return self.request_info.prompt_tokens + progress.tokens

    def headers(self, extra=()):
        """Return the request headers of an attempt."""
        headers = [
            ("Content-Type", "application/json"),
            ("X-Priority", self.request_info.priority),
            *extra,
        ]
        traceparent = self.trace.traceparent()
        if traceparent:
            headers.append(("traceparent", traceparent))
        return headers

    async def run(self, relay, attempt, caller):
        """Run one attempt and return the Answer.

        Raises
        ------
        NotAccepted, AttemptBroken, CallerGone
        """
        # Generation starts over if nothing has been sent to the caller yet.
        if not self.response_started:
            self.progress = StreamProgress()
        body = self.request.engine_body(
            self.request_info.model, self.request_info.adapter, self.progress.text
        )
        response = await relay.send(self, attempt, self.headers(), body)
        if response.status != 200:
            return await self._relay_error(attempt, response, caller)
        if not self.request.streamed:
            return await self._relay_whole(relay, attempt, response, caller)
        copier = StreamCopier(relay, self, caller)
        try:
            await copier.copy(attempt, response)
        except AttemptBroken as error:
            await self._resume(relay, attempt, copier, body, error)
        return Answer(200, "text/event-stream")

    async def _resume(self, relay, attempt, copier, body, error):
        """Resume once at the same engine from the next token."""
        progress = self.progress
        if (
            progress.finished
            and progress.single_choice
            and not self.request.wants_usage
        ):
            # Only the final [DONE] event is missing.
            attempt.response.close()
            await copier.end()
            return
        if not progress.tokens or not progress.single_choice:
            raise error
        relay.metrics.count("stream_resumes_total")
        offset = ("X-Resume-Offset", str(progress.tokens))
        try:
            response = await relay.send(self, attempt, self.headers([offset]), body)
        except NotAccepted:
            raise error from None
        if response.status != 200:
            raise error
        await copier.copy(attempt, response)

    async def _relay_whole(self, relay, attempt, response, caller):
        body = await response.body(attempt.answer)
        try:
            document = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise AttemptBroken("response body is not valid JSON") from error
        if not isinstance(document, dict) or "choices" not in document:
            raise AttemptBroken("response body is not a completion object")
        relay.record_first_byte(self, attempt)
        usage = document.get("usage")
        if isinstance(usage, dict) and isinstance(usage.get("total_tokens"), int):
            self.progress.usage_tokens = usage["total_tokens"]
        response.release()
        self.response_started = True
        await caller.respond(200, [(b"content-type", b"application/json")], body)
        return Answer(200, "application/json", body)

    async def _relay_error(self, attempt, response, caller):
        """Forward an engine's rejection of the request; other statuses are failures."""
        status = response.status
        if self.response_started or not 400 <= status < 500 or status in (408, 429):
            raise AttemptBroken(f"engine returned status {status}")
        body = await response.body(attempt.answer)
        response.release()
        self.progress.usage_tokens = 0
        self.response_started = True
        headers = [(b"content-type", b"application/json")]
        await caller.respond(status, headers, body)
        return Answer(status, "application/json", body)


class ServiceJob(Job):
    """A call of a plain service.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        The caller's headers without credentials.
    body : bytes
    """

    retry_advice = "it may have run; ask the service before repeating the request"

    def __init__(
        self,
        request_info,
        method,
        target,
        headers,
        body,
        key,
        recheck_key,
        trace,
        head_deadline_ms,
    ):
        super().__init__(
            request_info, method, target, key, recheck_key, trace, head_deadline_ms
        )
        self.body = body
        self.claim = None
        # Without a claim, a non-idempotent call is sent once and never retried.
        self.retry_if_not_accepted = request_info.idempotent
        self._headers = [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in headers
        ]

    def parts(self):
        """Return the parts by which `RequestQuarantine` knows the request."""
        return parts_of(
            self.request_info.team,
            self.method,
            self.request_info.service + self.target,
            self.body,
        )

    def attach_claim(self, claim):
        """Attach the idempotency claim that this VM won for the call."""
        self.claim = claim
        # The caller, or another one, may ask for the outcome with the same key.
        self.outlives_caller = True
        self.retry_if_not_accepted = True
        self.retry_advice = "repeat the request with the same Idempotency-Key to ask"

    async def run(self, relay, attempt, caller):
        """Run one attempt and return the Answer.

        Raises
        ------
        NotAccepted, AttemptBroken, CallerGone
        """
        headers = list(self._headers)
        traceparent = self.trace.traceparent()
        if traceparent:
            headers.append(("traceparent", traceparent))
        response = await self._send_once(relay, attempt, headers)
        if self.method != "HEAD" and not response.delimited:
            # Truncation of a body that ends with the connection cannot be detected.
            raise AttemptBroken("response has neither a length nor chunked encoding")
        parts, size = [], 0
        while part := await response.chunk():
            parts.append(part)
            size += len(part)
            if size > MAX_BUFFERED_BYTES:
                return await self._stream_response(
                    relay, attempt, response, caller, parts
                )
        relay.record_first_byte(self, attempt)
        response.release()
        body = b"".join(parts)
        self.response_started = True
        await caller.respond(response.status, _response_headers(response), body)
        return Answer(response.status, response.content_type, body)

    async def _send_once(self, relay, attempt, headers):
        """Send the call, which must run at most once unless it is idempotent."""
        if self.request_info.idempotent:
            return await relay.send(self, attempt, headers, self.body)
        require(
            not self.maybe_ran, AT_MOST_ONCE, request_id=self.request_info.request_id
        )
        if self.claim is None:
            return await relay.send(
                self, attempt, headers, self.body, new_connection=True
            )
        self.claim.mark_dispatched()
        try:
            return await relay.send(
                self, attempt, headers, self.body, new_connection=True
            )
        except NotAccepted:
            self.claim.mark_not_accepted()
            raise

    async def _stream_response(self, relay, attempt, response, caller, parts):
        """Stream a large response to the caller as it arrives."""
        relay.record_first_byte(self, attempt)
        self.response_started = True
        headers = _response_headers(response)
        length = response.headers.get("Content-Length")
        if length is not None:
            headers.append((b"content-length", length.encode()))
        await caller.start(response.status, headers)
        await caller.write(b"".join(parts))
        while part := await response.chunk():
            await caller.write(part)
        response.release()
        await caller.end()
        return Answer(response.status, response.content_type, None)


def _response_headers(response):
    headers = []
    for name, value in response.headers.items():
        lowered = name.lower().encode()
        if lowered not in EDGE_RESPONSE_HEADERS:
            headers.append((lowered, value.encode("utf-8", "surrogateescape")))
    return headers
