"""Stand-in for a model engine."""

import asyncio
import time
from collections import deque

import orjson
from starlette.applications import Starlette
from starlette.routing import Route

from .batching import PRIORITIES, Batcher, Generation
from .engine_answers import AnswerPlan, EngineAnswer
from .engine_memory import EngineMemory, valid_order
from .engine_options import engine_options
from .faults import Faults, Recorder
from .generation import continued_tokens, prompt_of
from .prefix_cache import PrefixCache
from .server import NoResponse, json_response, serve

SNAPSHOT_INTERVAL_MS = 10
DEFAULT_MAX_TOKENS = 16
FAULT_KINDS = (
    "late",
    "crossed",
    "broken-off",
    "refuse",
    "black-hole",
    "lost-answer",
    "order-lost",
    "order-late",
    "order-answer-lost",
    "cache-gap",
    "leaving",
)


class BadRequest(Exception):
    """A request that the engine does not accept."""

    def __init__(self, status, code):
        super().__init__(code)
        self.status = status
        self.code = code


class Engine:
    """HTTP interface of the engine."""

    def __init__(self, options):
        self._options = options
        self._cache = PrefixCache(
            options.prefix_cache_tokens,
            options.cache_events_kept,
            options.cache_event_lag_ms,
        )
        self._batcher = Batcher(options, self._cache)
        self._memory = EngineMemory(options, self._batcher, self._cache)
        self._state = "live"
        self._accepted_while_leaving = 0
        self._snapshots = deque()
        self._tasks = set()
        self.faults = Faults(FAULT_KINDS)
        self.recorder = Recorder()

    def start(self):
        """Start the background tasks, once the event loop runs."""
        if not self._tasks:
            self._spawn(self._batcher.run())
            self._spawn(self._take_snapshots())

    def _spawn(self, steps):
        task = asyncio.create_task(steps)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Requests

    async def chat(self, request):
        return await self._generate(request, chat=True)

    async def complete(self, request):
        return await self._generate(request, chat=False)

    async def _generate(self, request, chat):
        body = await request.body()
        self.recorder.look_for_keys(request, body)
        if self.faults.strike("black-hole", request):
            return NoResponse(request, abort=False)
        request_id = request.headers.get("x-request-id", "")
        try:
            if self.faults.strike("refuse", request):
                raise BadRequest(503, "refused")
            fields = self._parse(body)
            from_index = self._resume_offset(request)
            if from_index is None:
                generation = self._accept(request, request_id, fields)
                from_index = generation.start_index
            else:
                generation = self._resume(request_id, from_index)
        except BadRequest as error:
            headers = {"X-Request-Id": request_id, "X-Not-Accepted": "true"}
            body = {"error": {"message": error.code, "code": error.code}}
            return json_response(body, error.status, headers)
        late = self.faults.strike("late", request)
        if late:
            await asyncio.sleep(late.delay_ms / 1000)
        if self.faults.strike("lost-answer", request):
            return NoResponse(request, abort=True)
        plan = self._plan(request, generation, chat, from_index, fields)
        return EngineAnswer(request, plan)

    def _plan(self, request, generation, chat, from_index, fields):
        shown_id = generation.request_id
        if self.faults.strike("crossed", request):
            # The answer of some other request, or of one that never was.
            others = [
                other
                for other in self._batcher.known.values()
                if other is not generation
            ]
            if others:
                generation = others[-1]
            else:
                generation = Generation(
                    f"crossed-{shown_id}", generation.model, "", "crossed", 4, 0, ""
                )
                generation.advance(4)
            shown_id, from_index = generation.request_id, generation.start_index
        broken = self.faults.strike("broken-off", request)
        options = fields.get("stream_options") or {}
        return AnswerPlan(
            generation,
            chat,
            from_index,
            stream=fields.get("stream") is True,
            include_usage=options.get("include_usage") is True,
            shown_id=shown_id,
            break_after_tokens=broken.after_tokens if broken else None,
        )

    def _parse(self, body):
        try:
            fields = orjson.loads(body)
            fields["prompt_text"] = prompt_of(fields)
            model = fields["model"]
        except (ValueError, TypeError, KeyError, AttributeError):
            raise BadRequest(400, "invalid_body") from None
        maximum = fields.get("max_completion_tokens", fields.get("max_tokens"))
        fields["limit"] = DEFAULT_MAX_TOKENS if maximum is None else maximum
        valid = isinstance(fields["limit"], int) and fields["limit"] > 0
        if not isinstance(model, str) or not valid:
            raise BadRequest(400, "invalid_body")
        return fields

    def _resume_offset(self, request):
        text = request.headers.get("x-resume-offset")
        if text is None:
            return None
        if not text.isdecimal():
            raise BadRequest(400, "invalid_resume_offset")
        return int(text)

    def _accept(self, request, request_id, fields):
        model, adapter = fields["model"], fields.get("adapter") or ""
        if not self._memory.ready(model, "model"):
            raise BadRequest(503, "model_not_resident")
        if adapter and not self._memory.ready(adapter, "adapter"):
            raise BadRequest(503, "adapter_not_resident")
        if len(self._batcher.waiting) >= self._options.max_waiting:
            raise BadRequest(503, "queue_full")
        prompt = fields["prompt_text"]
        start_index = continued_tokens(prompt, fields.get("continue_from") or "")
        if start_index is None:
            raise BadRequest(400, "continuation_mismatch")
        priority = request.headers.get("x-priority", "normal")
        if priority not in PRIORITIES:
            raise BadRequest(400, "invalid_priority")
        self.recorder.executions[request_id] += 1
        self._accepted_while_leaving += self._state == "leaving"
        generation = Generation(
            request_id, model, adapter, prompt, fields["limit"], start_index, priority
        )
        self._batcher.submit(generation)
        return generation

    def _resume(self, request_id, from_index):
        generation = self._batcher.known.get(request_id)
        if generation is None or generation.finish_reason == "cancelled":
            raise BadRequest(404, "unknown_request")
        if not generation.start_index <= from_index <= generation.next_index:
            raise BadRequest(416, "offset_out_of_range")
        if generation.finish_reason == "imported":
            generation.finish_reason = None
            self._batcher.submit(generation)
        return generation

    async def cancel(self, request):
        if not self._batcher.cancel(request.path_params["id"]):
            return json_response({"error": "not running"}, 404)
        return json_response({"cancelled": True})

    # KV cache

    async def export_kv(self, request):
        generation = self._batcher.known.get(request.path_params["id"])
        if generation is None:
            return json_response({"error": "unknown request"}, 404)
        return json_response(
            {
                "request_id": generation.request_id,
                "model": generation.model,
                "adapter": generation.adapter,
                "prompt": generation.prompt,
                "max_tokens": generation.max_tokens,
                "tokens": generation.next_index,
            }
        )

    async def import_kv(self, request):
        body = await request.body()
        self.recorder.look_for_keys(request, body)
        request_id = request.path_params["id"]
        try:
            fields = orjson.loads(body)
            generation = Generation(
                request_id,
                fields["model"],
                fields["adapter"],
                fields["prompt"],
                fields["max_tokens"],
                0,
                "normal",
            )
            generation.advance(fields["tokens"])
        except (ValueError, TypeError, KeyError, AttributeError):
            return json_response({"error": "invalid export"}, 400)
        if not self._memory.ready(generation.model, "model"):
            return json_response({"error": "model not resident"}, 409)
        if generation.finish_reason is None:
            generation.finish_reason = "imported"
        self._cache.use(generation.model, generation.prompt)
        self._batcher.remember(generation)
        return json_response({"tokens": generation.next_index})

    async def cache_events(self, request):
        gap = self.faults.strike("cache-gap", request)
        if gap:
            self._cache.gap_next += max(1, gap.after_tokens)
        try:
            start = int(request.query_params.get("from", 0))
        except ValueError:
            return json_response({"error": "from is not a number"}, 400)
        return json_response(self._cache.events_from(start))

    # Load and orders

    def _report(self):
        memory, batcher = self._memory, self._batcher
        return {
            "engine": self._options.name,
            "incarnation": memory.incarnation,
            "running": len(batcher.running),
            "waiting": len(batcher.waiting),
            "kv_used_tokens": batcher.kv_used_tokens,
            "kv_capacity_tokens": self._options.kv_capacity_tokens,
            "memory_used_mb": memory.used_mb,
            "memory_capacity_mb": memory.capacity_mb,
            "residents": [entry.describe() for entry in memory.residents.values()],
            "role": memory.role,
            "state": self._state,
            "checks_fence": self._options.checks_fence,
            "highest_fence": memory.highest_fence,
            "as_of_ms": time.monotonic() * 1000,
        }

    async def _take_snapshots(self):
        while self._options.report_lag_ms > 0:
            self._snapshots.append(self._report())
            await asyncio.sleep(SNAPSHOT_INTERVAL_MS / 1000)

    async def load(self, request):
        if self.faults.strike("leaving", request):
            self._state = "leaving"
        if self.faults.strike("black-hole", request):
            return NoResponse(request, abort=False)
        as_of_ms = time.monotonic() * 1000 - self._options.report_lag_ms
        snapshots = self._snapshots
        while len(snapshots) > 1 and snapshots[1]["as_of_ms"] <= as_of_ms:
            snapshots.popleft()
        return json_response(snapshots[0] if snapshots else self._report())

    async def order(self, request):
        body = await request.body()
        self.recorder.look_for_keys(request, body)
        try:
            order = valid_order(orjson.loads(body))
        except (ValueError, TypeError, KeyError) as error:
            return json_response({"error": repr(error)}, 400)
        if self.faults.strike("black-hole", request):
            return NoResponse(request, abort=False)
        if self.faults.strike("order-lost", request):
            return NoResponse(request, abort=True)
        late = self.faults.strike("order-late", request)
        if late:
            self._spawn(self._receive_later(order, late.delay_ms))
            return NoResponse(request, abort=True)
        status, answer = self._memory.receive(order)
        if self.faults.strike("order-answer-lost", request):
            return NoResponse(request, abort=True)
        return json_response({"order_id": order["order_id"], **answer}, status)

    async def _receive_later(self, order, delay_ms):
        await asyncio.sleep(delay_ms / 1000)
        self._memory.receive(order)

    async def order_state(self, request):
        state = self._memory.orders.get(request.path_params["id"], "unknown")
        return json_response({"state": state})

    # Administration

    async def set_state(self, request):
        self._state = orjson.loads(await request.body())["state"]
        return json_response({"state": self._state})

    async def restart(self, request):
        self._batcher.stop_all("restarted")
        self._memory.restart()
        self._snapshots.clear()
        return json_response({"incarnation": self._memory.incarnation})

    async def counts(self, request):
        memory = self._memory
        return json_response(
            {
                **self.recorder.describe(),
                "overcommit_errors": memory.overcommit_errors,
                "stale_orders": memory.stale_orders,
                "orders_received": memory.orders_received,
                "accepted_while_leaving": self._accepted_while_leaving,
            }
        )

    def app(self):
        routes = [
            Route("/v1/chat/completions", self.chat, methods=["POST"]),
            Route("/v1/completions", self.complete, methods=["POST"]),
            Route("/requests/{id}", self.cancel, methods=["DELETE"]),
            Route("/kv/{id}", self.export_kv, methods=["GET"]),
            Route("/kv/{id}", self.import_kv, methods=["PUT"]),
            Route("/cache/events", self.cache_events, methods=["GET"]),
            Route("/load", self.load, methods=["GET"]),
            Route("/orders", self.order, methods=["POST"]),
            Route("/orders/{id}", self.order_state, methods=["GET"]),
            Route("/admin/state", self.set_state, methods=["POST"]),
            Route("/admin/restart", self.restart, methods=["POST"]),
            Route("/admin/executions", self.counts, methods=["GET"]),
            *self.faults.routes(),
        ]
        starlette = Starlette(routes=routes)

        async def app(scope, receive, send):
            self.start()
            await starlette(scope, receive, send)

        return app


def main():
    options = engine_options()
    serve(Engine(options).app(), options)


if __name__ == "__main__":
    main()
