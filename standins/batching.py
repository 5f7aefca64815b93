"""Continuous batching of the engine stand-in."""

import asyncio
import time
from collections import OrderedDict

from .generation import answer_tokens, prompt_tokens, seed_of, token_text

PRIORITIES = {"interactive": 0, "normal": 1, "batch": 2}
# With no time per token, this many tokens become ready in one step.
TOKENS_PER_INSTANT_STEP = 64
FINISHED_KEPT = 2000


class Generation:
    """One request in the engine.

    Token indices count from the start of the whole answer; a continued answer
    starts at `start_index`.
    """

    __slots__ = (
        "request_id",
        "model",
        "adapter",
        "prompt",
        "prompt_tokens",
        "cached_tokens",
        "start_index",
        "end_index",
        "max_tokens",
        "natural_finish",
        "finish_reason",
        "tokens",
        "seed",
        "priority",
        "readers",
        "unread_since_ms",
        "changed",
    )

    def __init__(
        self, request_id, model, adapter, prompt, max_tokens, start_index, priority
    ):
        self.request_id = request_id
        self.model = model
        self.adapter = adapter
        self.prompt = prompt
        self.prompt_tokens = prompt_tokens(prompt)
        self.cached_tokens = 0
        self.start_index = start_index
        self.max_tokens = max_tokens
        end, self.natural_finish = answer_tokens(prompt, max_tokens)
        self.end_index = max(end, start_index)
        self.finish_reason = None
        self.tokens = []
        self.seed = seed_of(prompt)
        self.priority = PRIORITIES.get(priority, 1)
        self.readers = 0
        self.unread_since_ms = time.monotonic() * 1000
        self.changed = asyncio.Event()

    @property
    def next_index(self):
        return self.start_index + len(self.tokens)

    @property
    def kv_tokens(self):
        return self.prompt_tokens + self.next_index

    def advance(self, count):
        """Generate up to `count` tokens."""
        stop = min(self.next_index + count, self.end_index)
        self.tokens.extend(
            token_text(self.seed, index) for index in range(self.next_index, stop)
        )
        if self.next_index >= self.end_index:
            self.finish_reason = self.natural_finish
        self._notify()

    def finish(self, reason):
        if self.finish_reason is None:
            self.finish_reason = reason
            self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_beyond(self, index):
        """Wait for a token at `index` or the end of the generation."""
        while self.next_index <= index and self.finish_reason is None:
            await self.changed.wait()

    async def wait_finished(self):
        while self.finish_reason is None:
            await self.changed.wait()

    def attach(self):
        self.readers += 1

    def detach(self):
        self.readers -= 1
        self.unread_since_ms = time.monotonic() * 1000

    def usage(self):
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.next_index,
            "total_tokens": self.prompt_tokens + self.next_index,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }


class Batcher:
    """Runs generations in a batch whose step time grows with its size."""

    def __init__(self, options, prefix_cache):
        self._options = options
        self._prefix_cache = prefix_cache
        self._wake = asyncio.Event()
        self.running = []
        self.waiting = []
        # The last generations by request identifier, for resume and export.
        self.known = OrderedDict()

    @property
    def kv_used_tokens(self):
        return sum(generation.kv_tokens for generation in self.running)

    def submit(self, generation):
        self.remember(generation)
        self.waiting.append(generation)
        self.waiting.sort(key=lambda waiting: waiting.priority)
        self._wake.set()

    def remember(self, generation):
        self.known[generation.request_id] = generation
        self.known.move_to_end(generation.request_id)
        while len(self.known) > FINISHED_KEPT:
            oldest_id, oldest = next(iter(self.known.items()))
            if oldest.finish_reason is None:
                break
            del self.known[oldest_id]

    def users(self, name):
        """Return the unfinished generations that use a model or adapter."""
        return [
            generation
            for generation in self.running + self.waiting
            if name in (generation.model, generation.adapter)
        ]

    async def run(self):
        while True:
            self._drop_unread()
            prefill_ms = self._admit()
            if not self.running:
                self._wake.clear()
                await self._wake.wait()
                continue
            await asyncio.sleep((self._step_ms() + prefill_ms) / 1000)
            count = 1 if self._options.token_ms > 0 else TOKENS_PER_INSTANT_STEP
            for generation in self.running:
                if generation.finish_reason is None:
                    generation.advance(count)
            self.running = [
                generation
                for generation in self.running
                if generation.finish_reason is None
            ]

    def _step_ms(self):
        growth = 1 + self._options.batch_slope * (len(self.running) - 1)
        return self._options.token_ms * growth

    def _admit(self):
        prefill_ms = 0.0
        kv_used_tokens = self.kv_used_tokens
        while self.waiting and len(self.running) < self._options.max_running:
            generation = self.waiting[0]
            needed = generation.prompt_tokens + generation.end_index
            fits = kv_used_tokens + needed <= self._options.kv_capacity_tokens
            if not fits and self.running:
                break
            self.waiting.pop(0)
            kv_used_tokens += needed
            cached = self._prefix_cache.use(generation.model, generation.prompt)
            generation.cached_tokens = min(cached, generation.prompt_tokens)
            uncached = generation.prompt_tokens - generation.cached_tokens
            prefill_ms += uncached * self._options.prefill_ms_per_token
            self.running.append(generation)
        return prefill_ms

    def _drop_unread(self):
        """Cancel generations that no connection has read for the resume window."""
        oldest_ms = time.monotonic() * 1000 - self._options.resume_window_ms
        for generation in self.running + self.waiting:
            if generation.readers == 0 and generation.unread_since_ms < oldest_ms:
                generation.finish("cancelled")
        self.waiting = [
            generation for generation in self.waiting if not generation.finish_reason
        ]
        self.running = [
            generation for generation in self.running if not generation.finish_reason
        ]

    def cancel(self, request_id, reason="cancelled"):
        """Stop a generation; return False if it is unknown or finished."""
        generation = self.known.get(request_id)
        if generation is None or generation.finish_reason is not None:
            return False
        generation.finish(reason)
        self._drop_unread()
        return True

    def stop_all(self, reason):
        for generation in self.running + self.waiting:
            generation.finish(reason)
        self.running, self.waiting = [], []
        self.known.clear()
