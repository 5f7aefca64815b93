"""Engines that execute orders and requests, and a VM's client of them."""

import asyncio

from cassiamount.backend_messages import (
    BodyChunk,
    ResponseComplete,
    ResponseFailed,
    ResponseHead,
    ResponseMetadata,
)
from cassiamount.fleet_orders import (
    ACCEPTED,
    ALREADY_DONE,
    CONFLICT,
    FENCED,
    LOAD,
    NO_ANSWER,
    EngineReport,
)
from cassiamount.platform.engines import ORDER_TIMEOUT_MS, REPORT_TIMEOUT_MS

ORDER_BYTES = 600
REPORT_REQUEST_BYTES = 300
REPORT_BYTES = 2_500
ADAPTER_LOAD_MS = 6.0
REPORT_LAG_MS = 100.0
STEP_MS = 5.1
STEP_MS_PER_REQUEST = 0.0255
PREFILL_TOKENS_PER_MS = 29.4
TOKENS_PER_EVENT = 8
QUEUE = 25
# How far an engine has written an answer when it ends by it.
NOTHING = "nothing"
HEAD = "head"
FIRST_EVENT = "first event"
ALL_EVENTS = "all events"
CLOSED = "closed"
WHOLE = "whole"
STAGES = [NOTHING, HEAD, FIRST_EVENT, ALL_EVENTS, CLOSED, WHOLE]


class Engine:
    """One engine: models, adapters, orders and running requests."""

    def __init__(self, loop, name, zone, config, models, on_disk):
        self._loop = loop
        self.name = name
        self.zone = zone
        self.config = config
        self.models = {model: set() for model in models}
        self.on_disk = list(dict.fromkeys([*on_disk, *models]))[-6:]
        self.in_memory = []
        self.orders = 0
        self.fence = 0
        self.busy = False
        self.running = 0
        self.queued = 0
        self.loads = 0
        # Time until which orders get no answer, although they are accepted.
        self.mute_until_ms = 0.0
        self.service = "llm"
        self.software = "v1"
        self.has_ended = False
        self.draining = False
        # Heartbeats that the engine has written to the store.
        self.heartbeats = 0
        # Connections with a request, which an end of the engine breaks.
        self.connections = set()
        # Called with a request and one of `STAGES` that its answer has reached; returns
        # whether the engine ends by it.
        self.ends_by = lambda metadata, stage: False
        # Pools with idle connections to this engine.
        self.idle_pools = {}
        # Called with a request that arrived, and the VM that sent it.
        self.record_arrival = lambda metadata, vm: None
        # Called with each model request that begins to run.
        self.record_run = lambda metadata: None
        # Called with each order that arrived.
        self.record_order = lambda order: None
        # Request limit that answers name, and what is called when one arrives at a VM.
        self.limit_per_s = None
        self.record_told = lambda vm: None
        # Pace that answers tell with the load, in per cent; None if they tell neither.
        self.pace_percent = None
        self._free_slot = asyncio.Condition()
        self._history = []
        self._snapshot()

    def _snapshot(self):
        report = EngineReport(
            self.orders,
            self.busy,
            {model: frozenset(held) for model, held in self.models.items()},
            frozenset(),
            frozenset(self.in_memory),
            frozenset(self.on_disk),
        )
        self._history.append((self._loop.true_ms, report))
        del self._history[:-50]

    def report(self):
        """Return the report as of some time ago."""
        seen = [
            report
            for at_ms, report in self._history
            if at_ms <= self._loop.true_ms - REPORT_LAG_MS
        ]
        return seen[-1] if seen else self._history[0][1]

    def execute(self, order):
        """Accept or refuse an order; return the answer."""
        self.record_order(order)
        if order.fence < self.fence:
            return FENCED
        self.fence = order.fence
        held = order.model in self.models
        if order.adapter:
            held = held and order.adapter in self.models[order.model]
        if held == (order.action == LOAD):
            return ALREADY_DONE
        if self.busy or order.expected_orders != self.orders:
            return CONFLICT
        self.orders += 1
        if order.adapter:
            self._execute_adapter_order(order)
        else:
            self.busy = True
            task = self._load if order.action == LOAD else self._unload
            self._task = self._loop.create_task(task(order.model))
        self._snapshot()
        return ACCEPTED

    def _execute_adapter_order(self, order):
        if order.action != LOAD:
            self.models[order.model].discard(order.adapter)
            return
        self.models[order.model].add(order.adapter)
        adapters = sum(len(held) for held in self.models.values())
        assert adapters <= self.config.max_adapters, "adapters overcommitted"

    async def _load(self, model):
        rule = self.config.models[model]
        held_mb = sum(self.config.models[name].memory_mb for name in self.models)
        assert held_mb + rule.memory_mb <= self.config.memory_mb, "memory overcommitted"
        load_ms = rule.load_ms
        if model in self.in_memory:
            load_ms = rule.host_load_ms
        elif model in self.on_disk:
            load_ms = rule.disk_load_ms
        else:
            self.loads += 1
        await asyncio.sleep(load_ms / 1000)
        self.models[model] = set()
        self.on_disk = [*(m for m in self.on_disk if m != model), model][-6:]
        self.in_memory = [*(m for m in self.in_memory if m != model), model][-2:]
        self.busy = False
        self._snapshot()

    async def _unload(self, model):
        await asyncio.sleep(0.02)
        self.models.pop(model, None)
        self.busy = False
        self._snapshot()

    async def run(self, metadata):
        """Run a request; yield True for each event, or return if it is refused."""
        slots = self.config.slots
        if self.queued >= QUEUE:
            return
        self.queued += 1
        async with self._free_slot:
            await self._free_slot.wait_for(lambda: self.running < slots)
            self.queued -= 1
            self.running += 1
        try:
            if not self.holds(metadata):
                return
            pace = (self.pace_percent or 100) / 100
            step_ms = pace * (STEP_MS + STEP_MS_PER_REQUEST * self.running)
            prefill_ms = pace * metadata.prompt_tokens / PREFILL_TOKENS_PER_MS
            await asyncio.sleep(prefill_ms / 1000)
            events = max(1, metadata.output_tokens // TOKENS_PER_EVENT)
            self.write(metadata, NOTHING)
            yield True
            await asyncio.sleep(events * TOKENS_PER_EVENT * step_ms / 1000)
            yield True
        finally:
            self.running -= 1
            async with self._free_slot:
                self._free_slot.notify()

    def write(self, metadata, stage):
        """Get to a stage of an answer; return whether the engine has ended by it."""
        if self.ends_by(metadata, stage):
            self.end()
            return True
        return False

    def end(self):
        """Break all connections, as the end of the process does."""
        for connection in list(self.connections):
            connection.break_off()
        for pool, address in self.idle_pools.items():
            pool.on_last_idle_lost(address)

    def holds(self, metadata):
        """Return whether a request's model and adapter are loaded."""
        if not metadata.model:
            return True
        held = self.models.get(metadata.model)
        return held is not None and (not metadata.adapter or metadata.adapter in held)


class WorldEngineClient:
    """One VM's client of the engines, as the platform's `EngineClient`."""

    def __init__(self, network, engines, vm):
        self._network = network
        self._engines = engines
        self._vm = vm

    async def start(self):
        return None

    async def close(self):
        return None

    async def order(self, order):
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_MS / 1000):
                await self._network.transfer(self._vm, order.engine, ORDER_BYTES)
                engine = self._engines.get(order.engine)
                if engine is None:
                    return NO_ANSWER
                answer = engine.execute(order)
                if engine.mute_until_ms > engine._loop.true_ms:
                    await asyncio.sleep(1.0)
                await self._network.transfer(order.engine, self._vm, ORDER_BYTES)
                return answer
        except TimeoutError:
            return NO_ANSWER

    async def report(self, engine, address):
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_MS / 1000):
                await self._network.transfer(self._vm, engine, REPORT_REQUEST_BYTES)
                known = self._engines.get(engine)
                if known is None:
                    return None
                report = known.report()
                await self._network.transfer(engine, self._vm, REPORT_BYTES)
                return report
        except TimeoutError:
            return None


class WorldConnection:
    """Connection of the relay to one engine."""

    def __init__(self, network, engine, vm, tasks):
        self._network = network
        self._engine = engine
        self._vm = vm
        self._tasks = tasks
        self._task = None
        self.was_lost = False
        self.usable = True
        self.messages = asyncio.Queue()

    def send(self, request, request_id):
        if self._engine is not None:
            self._engine.connections.add(self)
        self._task = asyncio.create_task(self._run(*request))
        self._tasks.add(self._task)
        self._task.add_done_callback(self._tasks.discard)

    def abort(self):
        if self._task is not None:
            self._task.cancel()

    def break_off(self):
        """Fail the response; the run of the request ends."""
        self._engine.connections.discard(self)
        self._lose()
        self.messages.put_nowait(ResponseFailed("connection lost", True))
        self._task.cancel()

    def _lose(self):
        self.was_lost, self.usable = True, False

    async def receive(self):
        return await self.messages.get()

    async def _run(self, metadata, expected):
        network, vm, engine = self._network, self._vm, self._engine
        await network.transfer(vm, expected, 1_200)
        if engine is None or engine.name != expected:
            self.messages.put_nowait(ResponseFailed("reset", True))
            return
        engine.record_arrival(metadata, vm)
        status = 200 if engine.holds(metadata) else 421
        started = False
        if status == 200:
            size = 90 * max(1, metadata.output_tokens // TOKENS_PER_EVENT) // 2
            async for _ in engine.run(metadata):
                await network.transfer(expected, vm, size)
                if not started:
                    if metadata.model:
                        engine.record_run(metadata)
                    self._put_head(metadata, 200)
                    started = True
                    if engine.write(metadata, HEAD):
                        return
                self.messages.put_nowait(BodyChunk(b"id: 1\ndata: x\n\n"))
                if engine.write(metadata, FIRST_EVENT):
                    return
            status = 200 if started else 503
        if not started:
            await network.transfer(expected, vm, 300)
            self._put_head(metadata, status)
        if started and engine.write(metadata, ALL_EVENTS):
            return
        engine.connections.discard(self)
        if started and engine.write(metadata, CLOSED):
            self._lose()
        self.messages.put_nowait(ResponseComplete())
        if started:
            await asyncio.sleep(0.005)
            engine.write(metadata, WHOLE)

    def _put_head(self, metadata, status):
        head = ResponseMetadata(
            status,
            metadata.request_id,
            not_run=status != 200,
            signed=True,
            event_stream=status == 200 and bool(metadata.model),
            limit_per_s=self._engine.limit_per_s,
        )
        if self._engine.pace_percent is not None:
            head.running, head.waiting = self._engine.running, self._engine.queued
            head.slots = self._engine.config.slots
            head.pace_percent = self._engine.pace_percent
        if self._engine.limit_per_s is not None:
            self._engine.record_told(self._vm)
        self.messages.put_nowait(ResponseHead(head, [], None))


class WorldPool:
    """`ConnectionPool` of one VM."""

    def __init__(self, network, engines, addresses, vm):
        self._network = network
        self._engines = engines
        self._addresses = addresses
        self._vm = vm
        self._tasks = set()
        self.on_last_idle_lost = None

    def acquire_idle(self, address, request_id=""):
        engine = self._engines.get(self._addresses[address])
        if engine is None:
            return None
        return WorldConnection(self._network, engine, self._vm, self._tasks)

    async def open(self, address):
        """Open a connection; without an engine at the address it is refused."""
        await asyncio.sleep(0.002)
        connection = self.acquire_idle(address)
        if connection is None:
            raise ConnectionRefusedError(address)
        return connection

    def release(self, connection):
        engine = connection._engine
        if engine is not None:
            engine.idle_pools[self] = f"{engine.name}:9"

    def close(self):
        for task in self._tasks:
            task.cancel()


class WorldCodec:
    """Passes requests to `WorldConnection` without encoding them."""

    decode_request = None

    def encode_request(self, method, target, headers, body, attempt):
        # The world puts the metadata in the place of the headers.
        return headers, attempt.backend

    @staticmethod
    def response_headers(headers):
        return headers
