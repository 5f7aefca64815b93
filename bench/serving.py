"""Fake engine that also serves requests, and the fake weight store."""

from collections import OrderedDict, deque

from bench.deployments import MAX_RUNNING
from bench.fake_engine import FakeEngine
from cassiamount.load_report import LEAVING, LIVE
from cassiamount.prefix_index import PREFIX_BLOCK_TOKENS
from cassiamount.requests import PRIORITIES

# Time per token with one running request, and the addition for each other one.
TOKEN_MS = 18.0
TOKEN_MS_PER_RUNNING = 1.0
PREFILL_TOKENS_PER_MS = 8.0
PREFIX_BLOCKS = 1_200
STORE_LOADS_PER_S = 2.0
STORE_CONCURRENT = 8
ADAPTER_MS = 5.0


class WeightStore:
    """Loads start at most twice a second; more than 8 at once slow each other down."""

    def __init__(self):
        self._next_ms = 0.0
        self._ends = []

    def load_ms(self, order, now_ms):
        if order.base:
            return ADAPTER_MS
        start_ms = max(now_ms, self._next_ms)
        self._next_ms = start_ms + 1000 / STORE_LOADS_PER_S
        self._ends = [end for end in self._ends if end > now_ms]
        slowdown = max(1.0, (len(self._ends) + 1) / STORE_CONCURRENT)
        end_ms = start_ms + 4_000.0 * slowdown
        self._ends.append(end_ms)
        return end_ms - now_ms


class Attempt:
    """A request at an engine."""

    __slots__ = ("offer", "done", "arrived_ms", "first_ms", "token_ms")

    def __init__(self, offer, done, arrived_ms):
        self.offer = offer
        self.done = done
        self.arrived_ms = arrived_ms
        self.first_ms = None
        self.token_ms = 0.0


class ServingEngine(FakeEngine):
    """An engine with continuous batching, priorities and a prefix cache."""

    def __init__(self, clockwork, zone, *arguments):
        super().__init__(*arguments)
        self.clockwork = clockwork
        self.zone = zone
        self.running = set()
        self.waiting = {priority: deque() for priority in PRIORITIES}
        self.prefixes = OrderedDict()
        self.leaving = False
        self.last_used_ms = {}

    def load_report(self):
        waiting = sum(len(queue) for queue in self.waiting.values())
        return self.report(
            self.clockwork.now_ms,
            len(self.running),
            waiting,
            LEAVING if self.leaving else LIVE,
        )

    def submit(self, offer, done):
        """Take a request; `done(attempt)` follows, with no first token if refused."""
        now_ms = self.clockwork.now_ms
        self.settle(now_ms)
        request_info = offer.request_info
        attempt = Attempt(offer, done, now_ms)
        missing = request_info.adapter and not self.ready(request_info.adapter)
        if missing or not self.ready(request_info.model) or self.leaving:
            done(attempt)
            return
        self.last_used_ms[request_info.model] = now_ms
        self.waiting[request_info.priority].append(attempt)
        self._start()

    def crash(self):
        """Restart without residents; everything under way breaks."""
        self.restart(self.clockwork.now_ms)
        self.prefixes.clear()
        broken = list(self.running)
        for queue in self.waiting.values():
            broken += queue
            queue.clear()
        self.running = set()
        for attempt in broken:
            attempt.first_ms = None
            attempt.done(attempt)

    def _start(self):
        now_ms = self.clockwork.now_ms
        for queue in self.waiting.values():
            while queue and len(self.running) < MAX_RUNNING:
                attempt = queue.popleft()
                self.running.add(attempt)
                request_info = attempt.offer.request_info
                cached = self._cached(request_info.prefix_hashes)
                prefill_ms = (
                    request_info.prompt_tokens - cached
                ) / PREFILL_TOKENS_PER_MS
                attempt.token_ms = TOKEN_MS + TOKEN_MS_PER_RUNNING * len(self.running)
                attempt.first_ms = now_ms + prefill_ms
                decode_ms = attempt.offer.output_tokens * attempt.token_ms
                self.clockwork.after(prefill_ms + decode_ms, self._finish, attempt)

    def _finish(self, attempt):
        if attempt in self.running:
            self.running.remove(attempt)
            attempt.done(attempt)
            self._start()

    def _cached(self, prefix_hashes):
        blocks = 0
        for block_hash in prefix_hashes:
            if block_hash not in self.prefixes:
                break
            blocks += 1
        for block_hash in prefix_hashes:
            self.prefixes[block_hash] = None
            self.prefixes.move_to_end(block_hash)
        while len(self.prefixes) > PREFIX_BLOCKS:
            self.prefixes.popitem(last=False)
        return blocks * PREFIX_BLOCK_TOKENS
