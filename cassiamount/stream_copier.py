"""Copies an engine's event stream to the caller, across several attempts."""

import asyncio

import orjson

from .backend_client import AttemptBroken
from .body_budget import NoMemory
from .event_stream import EventSplitter, MalformedStream
from .invariants import WHOLE_ANSWER, require

# Timeout for reading the end of the body after the last event. Only a connection whose
# response was read to the end can be reused.
BODY_END_TIMEOUT_S = 0.5


class StreamCopier:
    """Copies one event stream to the caller, over several attempts if one breaks.

    Parameters
    ----------
    relay : Relay
    job : ModelJob
    caller : Caller
    """

    __slots__ = ("relay", "job", "caller", "progress", "_resumed")

    def __init__(self, relay, job, caller):
        self.relay = relay
        self.job = job
        self.caller = caller
        self.progress = job.progress
        self._resumed = False

    async def copy(self, attempt, response):
        """Copy events up to the final ``[DONE]`` event.

        Raises
        ------
        AttemptBroken
            If the stream ends before the ``[DONE]`` event or is malformed.
        """
        splitter = EventSplitter()
        self._resumed = self.job.response_started
        progress, write = self.progress, self.caller.write
        while not progress.done:
            chunk = await response.chunk()
            if not chunk:
                raise AttemptBroken("event stream ended before the [DONE] event")
            events = splitter.split_whole(chunk)
            whole_chunk = events is not None and not self._resumed
            ready, malformed = [], None
            try:
                if events is None:
                    events = splitter.feed(chunk)
                    attempt.answer.check_event(len(chunk), splitter)
                self._read(events, ready)
            except (MalformedStream, NoMemory) as error:
                malformed = error
            # The events before a malformed one are already recorded as delivered, so
            # they must be sent.
            if ready:
                if attempt.first_byte_ms is None:
                    await self._begin_response(attempt)
                if whole_chunk and len(ready) == len(events):
                    await write(chunk)
                else:
                    await write(b"\n\n".join(ready) + b"\n\n")
            if malformed is not None:
                raise AttemptBroken(str(malformed)) from malformed
        await self.end()
        await self._drain_body(response)

    async def end(self):
        """End the response to the caller, which must be complete."""
        progress = self.progress
        require(
            progress.done or (progress.finished and not self.job.request.wants_usage),
            WHOLE_ANSWER,
            request_id=self.job.request_info.request_id,
            tokens=progress.tokens,
        )
        if not progress.done:
            await self.caller.write(b"data: [DONE]\n\n")
        await self.caller.end()

    def _read(self, events, ready):
        """Parse events and append those that are to be forwarded to `ready`."""
        progress = self.progress
        for event in events:
            if not self._resumed and progress.read_by_template(event):
                ready.append(event)
                continue
            document = progress.read(event)
            if self._resumed and document is not None:
                event = self._rewrite_event(document)
                if event is None:
                    continue
            elif progress.first_id is None and document is not None:
                progress.first_id = document.get("id")
            ready.append(event)
            if progress.done:
                break

    def _rewrite_event(self, document):
        """Return an event of a later attempt as it continues the stream, or None."""
        choices = document.get("choices") or ()
        for choice in choices:
            delta = choice.get("delta")
            if (
                isinstance(delta, dict)
                and not delta.get("content")
                and not choice.get("finish_reason")
            ):
                # An opening event without text was already sent by the first attempt.
                return None
        if self.progress.first_id is not None:
            document["id"] = self.progress.first_id
        return b"data: " + orjson.dumps(document)

    async def _begin_response(self, attempt):
        """Record an attempt's first event; send the response head if not yet sent."""
        self.relay.record_first_byte(self.job, attempt)
        if not self.job.response_started:
            self.job.response_started = True
            await self.caller.start(200, self.job.stream_headers)

    async def _drain_body(self, response):
        """Read the end of the body so that the connection can be reused."""
        try:
            async with asyncio.timeout(BODY_END_TIMEOUT_S):
                if await response.chunk():
                    response.close()
                    return
        except (TimeoutError, AttemptBroken):
            response.close()
            return
        response.release()
