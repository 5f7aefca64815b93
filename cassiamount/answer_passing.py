"""Passes the answer of a backend server on to its caller, whole or not at all."""

from .backend_messages import AnswerBroken, AnswerEnd, AnswerPart
from .event_framing import EventFramer
from .relay_job import AttemptFailure, BrokenStream
from .requests import FIRST_BYTE

# Bodies up to this size are held until they are complete, so that a broken answer can
# still be replaced.
HELD_BODY_BYTES = 1 << 20


class AnswerPasser:
    """Takes the answer to one attempt and delivers it.

    Parameters
    ----------
    codec : object
        `answer_headers` of the platform.
    clock : SystemClock or ManualClock
    """

    def __init__(self, codec, clock):
        self._codec = codec
        self._clock = clock

    async def take(self, job, channel):
        """Deliver the answer of one attempt.

        Parameters
        ----------
        job : RelayJob
        channel : BackendChannel

        Returns
        -------
        int or AttemptFailure
            The status that was delivered, or why nothing was.

        Raises
        ------
        BrokenStream
            If a part was delivered and the rest cannot be.
        """
        message = await channel.receive()
        if isinstance(message, AnswerBroken):
            job.may_have_run = True
            return AttemptFailure(message.reason)
        facts = message.facts
        if facts.not_run:
            await self._skip(channel)
            return AttemptFailure(
                "not run", status=facts.status, not_run=True, reusable=True
            )
        job.may_have_run = True
        good = 200 <= facts.status < 300
        if good and (not facts.signed or not facts.request_id or facts.encoded):
            return AttemptFailure("answer without the marks of its backend server")
        if good and (job.route.streamed or facts.event_stream):
            return await self._pass_stream(job, channel, message)
        return await self._pass_body(job, channel, message)

    async def _skip(self, channel):
        while True:
            message = await channel.receive()
            if isinstance(message, (AnswerEnd, AnswerBroken)):
                return

    async def _pass_body(self, job, channel, head):
        """Deliver an answer with a body, whole or not at all if it is small."""
        parts = []
        size = 0
        while True:
            message = await channel.receive()
            if isinstance(message, AnswerPart):
                parts.append(message.data)
                size += len(message.data)
                if size > HELD_BODY_BYTES:
                    return await self._pass_large(job, channel, head, parts)
            elif isinstance(message, AnswerEnd):
                break
            else:
                return AttemptFailure(message.reason)
        status = head.facts.status
        if (
            status >= 500
            and job.route.repeatable
            and job.may_repeat(self._clock.monotonic_ms())
        ):
            return AttemptFailure(f"status {status}", status=status, reusable=True)
        headers = self._codec.answer_headers(head.headers)
        job.started = True
        await job.inbound.caller.answer(status, headers, b"".join(parts))
        return status

    async def _pass_large(self, job, channel, head, parts):
        job.started = True
        caller = job.inbound.caller
        await caller.start(head.facts.status, self._codec.answer_headers(head.headers))
        for part in parts:
            await caller.part(part)
        while True:
            message = await channel.receive()
            if isinstance(message, AnswerPart):
                await caller.part(message.data)
            elif isinstance(message, AnswerEnd):
                await caller.finish()
                return head.facts.status
            else:
                raise BrokenStream(message.reason)

    async def _pass_stream(self, job, channel, head):
        """Pass events on as they arrive, whole ones only."""
        framer = EventFramer()
        caller = job.inbound.caller
        while True:
            message = await channel.receive()
            if isinstance(message, AnswerPart):
                try:
                    events = framer.feed(message.data)
                except ValueError as error:
                    return self._stream_failure(job, str(error))
                if not events:
                    continue
                if job.first_ms is None:
                    job.first_ms = self._clock.monotonic_ms()
                if not job.started:
                    job.started = True
                    job.state.move(FIRST_BYTE)
                    headers = self._codec.answer_headers(head.headers)
                    await caller.start(head.facts.status, headers)
                await caller.part(events)
                job.last_event = framer.last_id
            elif isinstance(message, AnswerEnd):
                if framer.partial:
                    return self._stream_failure(job, "ends within an event")
                if not job.started:
                    job.started = True
                    headers = self._codec.answer_headers(head.headers)
                    await caller.start(head.facts.status, headers)
                await caller.finish()
                return head.facts.status
            else:
                return self._stream_failure(job, message.reason)

    def _stream_failure(self, job, reason):
        if job.started and not (job.route.resumable and job.last_event):
            raise BrokenStream(reason)
        return AttemptFailure(reason)
