"""OpenAI-shaped answers of the engine stand-in, whole and streamed."""

import asyncio
import time

import orjson

DONE_EVENT = b"data: [DONE]\n\n"
JSON_TYPE = (b"content-type", b"application/json")
EVENT_TYPE = (b"content-type", b"text/event-stream")
# Reasons for which an answer ends without being whole.
BROKEN_REASONS = ("restarted", "unloaded")


class AnswerPlan:
    """How one answer is sent.

    Parameters
    ----------
    generation : Generation
    chat : bool
    from_index : int
        First token that the caller has not received.
    stream, include_usage : bool
    shown_id : str
        Identifier in the answer; another request's if the answer is crossed.
    break_after_tokens : int, optional
        Reset the connection after this many tokens.
    """

    __slots__ = (
        "generation",
        "chat",
        "from_index",
        "stream",
        "include_usage",
        "shown_id",
        "break_after_tokens",
    )

    def __init__(
        self,
        generation,
        chat,
        from_index,
        stream,
        include_usage,
        shown_id,
        break_after_tokens=None,
    ):
        self.generation = generation
        self.chat = chat
        self.from_index = from_index
        self.stream = stream
        self.include_usage = include_usage
        self.shown_id = shown_id
        self.break_after_tokens = break_after_tokens

    def envelope(self, object_name, choices):
        prefix = "chatcmpl-" if self.chat else "cmpl-"
        return {
            "id": prefix + self.shown_id,
            "object": object_name,
            "created": int(time.time()),
            "model": self.generation.adapter or self.generation.model,
            "choices": choices,
        }

    def chunk(self, text, finish_reason=None, role=False):
        """Return one event; `text` None means no content."""
        choice = {"index": 0, "finish_reason": finish_reason}
        if self.chat:
            delta = {"role": "assistant"} if role else {}
            if text is not None:
                delta["content"] = text
            choice["delta"] = delta
            object_name = "chat.completion.chunk"
        else:
            choice["text"] = text or ""
            object_name = "text_completion"
        return event(self.envelope(object_name, [choice]))

    def usage_chunk(self):
        object_name = "chat.completion.chunk" if self.chat else "text_completion"
        document = self.envelope(object_name, [])
        document["usage"] = self.generation.usage()
        return event(document)

    def whole(self):
        generation = self.generation
        skipped = max(0, self.from_index - generation.start_index)
        text = "".join(generation.tokens[skipped:])
        choice = {"index": 0, "finish_reason": generation.finish_reason}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
            object_name = "chat.completion"
        else:
            choice["text"] = text
            object_name = "text_completion"
        document = self.envelope(object_name, [choice])
        document["usage"] = generation.usage()
        return orjson.dumps(document)


def event(document):
    return b"data: " + orjson.dumps(document) + b"\n\n"


class EngineAnswer:
    """ASGI response that follows a generation until its end or a disconnect."""

    def __init__(self, request, plan):
        self._transport = request.scope["standin_transport"]
        self._plan = plan

    async def __call__(self, scope, receive, send):
        generation = self._plan.generation
        generation.attach()
        send_answer = self._send_stream if self._plan.stream else self._send_whole
        answer = asyncio.create_task(send_answer(send))
        gone = asyncio.create_task(disconnected(receive))
        try:
            await asyncio.wait({answer, gone}, return_when=asyncio.FIRST_COMPLETED)
            if answer.done():
                answer.result()
        finally:
            generation.detach()
            answer.cancel()
            gone.cancel()
            await asyncio.gather(answer, gone, return_exceptions=True)

    def _headers(self, content_type, extra=()):
        return [content_type, (b"x-request-id", self._plan.shown_id.encode()), *extra]

    async def _abort(self):
        # Lets the bytes leave the socket before the reset discards them.
        await asyncio.sleep(0.02)
        self._transport.abort()
        await asyncio.Event().wait()

    async def _send_whole(self, send):
        plan = self._plan
        await plan.generation.wait_finished()
        if plan.generation.finish_reason in BROKEN_REASONS:
            await self._abort()
        body = plan.whole()
        length = (b"content-length", str(len(body)).encode())
        headers = self._headers(JSON_TYPE, [length])
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        if plan.break_after_tokens is not None:
            half = body[: len(body) // 2]
            await send({"type": "http.response.body", "body": half, "more_body": True})
            await self._abort()
        await send({"type": "http.response.body", "body": body})

    async def _send_stream(self, send):
        plan, generation = self._plan, self._plan.generation
        headers = self._headers(EVENT_TYPE)
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        index = plan.from_index
        break_at = None
        if plan.break_after_tokens is not None:
            break_at = index + plan.break_after_tokens
        if plan.chat and index == 0:
            await self._send_more(send, plan.chunk("", role=True))
        while generation.finish_reason is None or index < generation.next_index:
            await generation.wait_beyond(index)
            stop = generation.next_index
            if break_at is not None:
                stop = min(stop, break_at)
            first = index - generation.start_index
            tokens = generation.tokens[first : stop - generation.start_index]
            # All tokens that are ready leave in one write, as a fast engine does.
            await self._send_more(send, b"".join(map(plan.chunk, tokens)))
            index = max(index, stop)
            if index == break_at:
                await self._abort()
        if generation.finish_reason in BROKEN_REASONS:
            await self._abort()
        end = plan.chunk(None, finish_reason=generation.finish_reason)
        if plan.include_usage:
            end += plan.usage_chunk()
        await send({"type": "http.response.body", "body": end + DONE_EVENT})

    async def _send_more(self, send, data):
        if data:
            await send({"type": "http.response.body", "body": data, "more_body": True})


async def disconnected(receive):
    while (await receive())["type"] != "http.disconnect":
        pass
