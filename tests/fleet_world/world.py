"""VMs, callers and the whole world."""

import asyncio
import collections
import random

import orjson

from cassiamount.fleet import RequestMetadata
from cassiamount.fleet_node import FleetNode, PlatformAdapter
from cassiamount.interval_stats import IntervalStats
from cassiamount.metadata_store import BACKENDS, CONFIGURATION
from cassiamount.platform.settings import decode_settings
from cassiamount.relayed_request import InboundRequest
from tests.fleet_fixtures import Decoder
from tests.machines.virtual import VirtualLoop

from .engines import NOTHING, Engine, WorldCodec, WorldEngineClient, WorldPool
from .network import Link, Network, WorldTransport
from .store import WorldStore, WorldStoreClient

HOST = "fleet.example"
TEAM = "team"
KEY = "key-of-the-team"
SERVICE = "llm"
# A plain service; its route allows a second attempt.
SHOP = "shop"
SHOP_TIMEOUT_MS = 1_500
START_MS = 5_000.0
# A prompt part that ends each engine which begins an answer on it.
CRASHING_PART = "c0ffee"
# Time without disturbance after which bounds hold for a VM.
IN_TOUCH_MS = 3_000.0
# Time after an answer that names a limit from which the limit binds its VM.
TOLD_MS = 500.0
# Second parts of prompts, shared by requests of one route.
DOCUMENTS = 12
HEARTBEAT_S = 1.2
# Name of a route: objective, time limit, prompt and output tokens.
ROUTES = {
    "live": (400, 10_000, 700, 280),
    "short": (400, 4_000, 380, 48),
    "batch": (3_000, 15_000, 700, 280),
}
SETTINGS = """
NodeName: {name}
Zone: {zone}
Listen:
  Frontend: "{name}:1"
  Ready: "{name}:2"
  Control: "{name}:3"
Platform:
  Address: "store:4"
Seeds: ["vm-00:3", "vm-01:3", "vm-02:3"]
Bootstrap: {first_start}
Limits:
  CpuShare: {cores}
  Cores: 1
Selection:
  ByLoad: true
Bounds:
  RevokeMs: 5000
"""


class WorldConfig:
    """Sizes and demand of a world.

    The defaults are those of a fleet of 59 VMs before 56 engines.
    """

    def __init__(self, **changes):
        self.vms = 59
        self.large_vms = 6
        self.zones = 3
        self.engines = 56
        self.models = 206
        # Models with the lesser numbers are asked for by live and short requests.
        self.live_models = 55
        # Live models with requests at the same time.
        self.busy_models = 22
        self.adapters = 40
        self.slots = 12
        self.max_adapters = 8
        self.loads_per_s = 16.0
        self.requests_per_s = {"live": 200.0, "short": 230.0, "batch": 40.0}
        self.adapter_share = {"live": 0.1, "short": 0.5, "batch": 0.0}
        # The busiest models fall silent and others rise, this many every second.
        self.shift_per_s = 1.0
        # The VM that holds the order lease first; the last ones are small.
        self.first_holder = "vm-58"
        self.small_link_mbps = 5.0
        self.large_link_mbps = 100.0
        # Requests a second with the prompt part that ends engines; no others have it.
        self.crashing_per_s = 0.0
        # Its place in the prompt; a random one if None.
        self.crashing_place = None
        # How far an engine has written its answer when it ends.
        self.crash_stage = NOTHING
        # Parts that all requests of a route share, besides the first one.
        self.shared_parts = 0
        # Whether requests differ in their heads only.
        self.same_bodies = False
        # How often one and the same request comes that ends the server which runs it,
        # and its route.
        self.poison_per_s = 0.0
        self.poison_route = "batch"
        # Servers of the plain service, and its requests.
        self.shops = 0
        self.shop_requests_per_s = 0.0
        # Rate and burst of the team that sends the model requests; without a rate
        # callers need no key.
        self.team_rate_tokens_per_s = 0.0
        self.team_burst_tokens = 0.0
        # Time until an engine that ended is back, under a new name.
        self.restart_s = 3.5
        self.seed = 1
        for name, value in changes.items():
            assert hasattr(self, name), name
            setattr(self, name, value)


def small_world(**changes):
    """Return a world of 7 VMs before 6 engines whose demand does not move."""
    values = {
        "vms": 7,
        "large_vms": 7,
        "engines": 6,
        "models": 12,
        "live_models": 9,
        "busy_models": 6,
        "adapters": 4,
        "slots": 48,
        "loads_per_s": 2.0,
        "requests_per_s": {"live": 30.0, "short": 26.0, "batch": 3.0},
        "shift_per_s": 0.0,
        "first_holder": "vm-06",
    }
    values.update(changes)
    return World(WorldConfig(**values))


class LoopClock:
    """Clock of a VM on the loop's virtual time."""

    def __init__(self, loop):
        self._loop = loop
        self.started_ms = loop.true_ms

    def monotonic_ms(self):
        return self._loop.true_ms

    def wall_ms(self):
        return 1_700_000_000_000 + int(self._loop.true_ms)


class TotalStats(IntervalStats):
    """Also keeps the sums of all counts."""

    __slots__ = ("totals",)

    def __init__(self):
        super().__init__()
        self.totals = collections.Counter()

    def count(self, name, amount=1):
        super().count(name, amount)
        self.totals[name] += amount


class NoServer:
    """Takes the place of a listening server."""

    async def stop(self, timeout_ms):
        return 0


class WorldVm(FleetNode):
    """One VM without listening sockets."""

    def __init__(self, world, name, zone, is_large):
        text = SETTINGS.format(
            name=name,
            zone=zone,
            first_start=str(world.loop.true_ms < START_MS).lower(),
            cores=2.15 if is_large else 0.516,
        )
        self.pool = WorldPool(world.network, world.engines, world.addresses, name)
        platform = PlatformAdapter(
            WorldStoreClient(world.network, world.store, name),
            WorldEngineClient(world.network, world.engines, name),
            Decoder,
            WorldCodec(),
        )
        super().__init__(
            decode_settings(text, "boot.yaml").unwrap(),
            platform,
            LoopClock(world.loop),
            WorldTransport(world.network, world.servers, name),
            self.pool,
            random.Random(world.rng.random()),
            TotalStats(),
        )
        self.task = None

    async def _start_servers(self):
        self._servers = {"callers": NoServer()}

    def start(self):
        self.task = asyncio.create_task(self.run())

    async def serve(self, inbound):
        """Serve a caller's request."""
        await self._relay.serve(inbound)

    @property
    def totals(self):
        """Counts of the VM's own work."""
        return self._stats.totals

    async def kill(self):
        """End the VM at once."""
        self.task.cancel()
        await asyncio.wait([self.task])


class Caller:
    """The connection to one caller: collects the response."""

    def __init__(self, loop):
        self._loop = loop
        self.first_event_ms = None
        self.status = None
        self.retry_after_s = None
        self.finished = False

    async def start(self, status, headers):
        self.status = status

    async def send_chunk(self, data):
        if self.first_event_ms is None:
            self.first_event_ms = self._loop.true_ms

    async def send_response(self, status, headers, body):
        self.status = status

    async def finish(self):
        self.finished = True

    async def refuse(self, refusal, close=False):
        self.status = refusal.status
        self.retry_after_s = refusal.retry_after_s

    def abort(self):
        self.status = 0

    def has_left(self):
        return False


class World:
    """Runs a fleet with callers for some virtual seconds.

    Parameters
    ----------
    config : WorldConfig
    """

    def __init__(self, config):
        self.config = config
        self.rng = random.Random(config.seed)
        self.loop = VirtualLoop()
        self.network = Network(self.loop)
        self.store = WorldStore(self.loop)
        self.store.first_holder = config.first_holder
        self.servers = {}
        self.engines = {}
        self.addresses = {}
        self.vms = {}
        self.failures = []
        self.outcomes = collections.defaultdict(collections.Counter)
        # Target -> [asked, served]; over the whole run.
        self.targets = collections.defaultdict(lambda: [0, 0])
        self.duties = collections.Counter()
        # Time of each end of an engine by the part that ends engines.
        self.crashes_ms = []
        # (time, VM) of each arrival of a request with that part at an engine.
        self.crashing_arrivals = []
        # (time, engine, VM) of each arrival of a request at an engine.
        self.arrivals = []
        # (engine, VM) -> when the VM first got an answer that names a limit.
        self.told_ms = {}
        # (time, tokens) of each model request that an engine began to run.
        self.runs = []
        # Request that began a stream -> software of the engines that ran it.
        self.stream_software = collections.defaultdict(set)
        # (time, first part, whether the first attempt began an answer) of the others.
        self.first_attempts = []
        # VM -> spans during which it was cut off or starting.
        self.disturbed_ms = {}
        # The first configuration, encoded.
        self.configuration = b""
        self._calls = set()
        self._next_id = 0

    def run(self, seconds, script=None):
        """Start everything, run callers for some seconds, and stop.

        Parameters
        ----------
        seconds : float
        script : callable, optional
            ``async (world)``; runs beside the callers.
        """
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self._run(seconds, script))
        finally:
            asyncio.set_event_loop(None)
            self.loop.close()
        assert not self.failures, self.failures[0]
        return self

    async def _run(self, seconds, script):
        self._put_configuration()
        self._create_engines()
        zones = [f"z{n}" for n in range(self.config.zones)]
        for index in range(self.config.vms):
            large = index < self.config.large_vms
            self.add_vm(f"vm-{index:02d}", zones[index % len(zones)], large)
        jobs = [asyncio.create_task(self._heartbeats())]
        await asyncio.sleep(START_MS / 1000)
        for link in self.network.links.values():
            link.bytes = {"out": 0, "in": 0}
            link.longest_queue_ms = 0.0
        for vm in self.vms.values():
            vm.totals.clear()
        if self.config.crashing_per_s:
            jobs.append(asyncio.create_task(self._call_crashing()))
        if self.config.poison_per_s:
            jobs.append(asyncio.create_task(self._call_poison()))
        if self.config.shop_requests_per_s:
            jobs.append(asyncio.create_task(self._call_shop()))
        if script is not None:
            jobs.append(asyncio.create_task(script(self)))
        for job in jobs:
            job.add_done_callback(self.on_task_ended)
        await self._call(seconds)
        for job in jobs:
            job.cancel()
        for vm in self.vms.values():
            self.duties.update(vm.totals)
            await vm.kill()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)

    def add_vm(self, name, zone, large=False):
        """Start a VM."""
        config = self.config
        mbps = config.large_link_mbps if large else config.small_link_mbps
        self.network.links[name] = Link(self.loop, mbps * 1000 / 8)
        self.network.zones[name] = zone
        self.record_disturbance(name, self.loop.true_ms, self.loop.true_ms)
        self.vms[name] = WorldVm(self, name, zone, large)
        if name == config.first_holder and self.store.holder is None:
            self.vms[name].state.lease.on_answer(
                self.store.grant(name), self.loop.true_ms, self.loop.true_ms
            )
        self.vms[name].start()
        self.vms[name].task.add_done_callback(self.on_task_ended)

    def record_disturbance(self, name, begin_ms, end_ms):
        """Note a span in which a VM is not bound by any limit."""
        self.disturbed_ms.setdefault(name, []).append((begin_ms, end_ms))

    async def cut_vm(self, name, seconds):
        """Cut a VM from all others, the store and the engines for some time."""
        begin_ms = self.loop.true_ms
        self.record_disturbance(name, begin_ms, begin_ms + seconds * 1000)
        self.network.cut.add(name)
        await asyncio.sleep(seconds)
        self.network.cut.discard(name)

    async def freeze_vm(self, name, seconds):
        """Let a VM stand still: what is sent to it and by it waits."""
        begin_ms = self.loop.true_ms
        self.record_disturbance(name, begin_ms, begin_ms + seconds * 1000)
        self.network.frozen[name] = self.loop.create_future()
        await asyncio.sleep(seconds)
        self.network.frozen.pop(name).set_result(None)

    async def cut_paths(self, name, kinds, seconds):
        """Cut a VM from its "peers" or from the "store" for some time."""
        begin_ms = self.loop.true_ms
        self.record_disturbance(name, begin_ms, begin_ms + seconds * 1000)
        for kind in kinds:
            self.network.cut_from[kind].add(name)
        await asyncio.sleep(seconds)
        for kind in kinds:
            self.network.cut_from[kind].discard(name)

    async def kill_vm(self, name):
        """End a VM at once."""
        await self.vms.pop(name).kill()

    def on_task_ended(self, task):
        """Keep what ended a task that should run on."""
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(repr(task.exception()))

    def model_name(self, index):
        return f"model{index:06d}"

    def _put_configuration(self):
        config = self.config
        routes = [
            {
                "Name": name,
                "Host": HOST,
                "PathPrefix": f"/{name}/",
                "Type": "streaming",
                "Service": SERVICE,
                "TimeoutMs": limit_ms,
                "GoalMs": objective_ms,
                "GapGoalMs": 200,
                "Priority": 1,
                "Attempts": 2 if name == "batch" else 1,
                "Resumable": name == "batch",
                "Public": not config.team_rate_tokens_per_s,
            }
            for name, (objective_ms, limit_ms, _, _) in ROUTES.items()
        ]
        models = [
            {
                "Name": self.model_name(index),
                "WeightsMb": 72_700,
                "LoadTimeS": 4.2,
                "MemoryLoadS": 0.47,
                "DiskLoadS": 0.84,
                "Adapters": config.adapters if index % 2 == 0 else 0,
                "AdapterSizeMb": 66,
            }
            for index in range(config.models)
        ]
        engine = {
            "Slots": config.slots,
            "KvCapacity": 40_264,
            "Models": models,
            "WeightsMb": 230_000,
            "MaxAdapters": config.max_adapters,
            "LoadsPerS": config.loads_per_s,
        }
        document = {
            "Version": 1,
            "Routes": routes,
            "Services": [{"Name": SERVICE, "Engine": engine}, {"Name": SHOP}],
        }
        if config.team_rate_tokens_per_s:
            team = {
                "Name": TEAM,
                "ApiKeys": [KEY],
                "Unit": "token_count",
                "RatePerS": config.team_rate_tokens_per_s,
                "Burst": config.team_burst_tokens,
            }
            document["Tenants"] = [team]
        shop = {**routes[0], "Name": SHOP, "PathPrefix": f"/{SHOP}/", "Service": SHOP}
        shop["Public"] = True
        times = {"TimeoutMs": SHOP_TIMEOUT_MS, "GoalMs": 200, "GapGoalMs": 0}
        routes.append({**shop, **times, "Type": "idempotent", "Attempts": 2})
        self.configuration = orjson.dumps(document)
        self.store.put(CONFIGURATION, "config", self.configuration)

    def _create_engines(self):
        """Place the busy models on many engines, and others where room is left."""
        config = self.config
        rule = Decoder.configuration(self.store.streams[CONFIGURATION][0].value)
        rule = rule.services[SERVICE].engine
        places = 3 * config.engines
        names = [self.model_name(index) for index in range(config.models)]
        busy = (names[: config.busy_models] * places)[: places // 3]
        rest = names[config.busy_models :]
        filled = [*busy, *rest][:places]
        for index in range(config.engines):
            held = dict.fromkeys(filled[index :: config.engines])
            name = f"engine-{index:02d}"
            on_disk = self.rng.sample(names, 3)
            zone = f"z{index % config.zones}"
            self._add_engine(Engine(self.loop, name, zone, rule, held, on_disk))
        for index in range(config.shops):
            zone = f"z{index % config.zones}"
            shop = Engine(self.loop, f"shop-{index}", zone, rule, [], [])
            shop.service = SHOP
            self._add_engine(shop)

    def _add_engine(self, engine):
        self.engines[engine.name] = engine
        self.addresses[f"{engine.name}:9"] = engine.name
        engine.record_arrival = lambda metadata, vm: self._record_arrival(
            engine, metadata, vm
        )
        engine.record_run = lambda metadata: self._record_run(engine, metadata)
        engine.record_told = lambda vm: self.told_ms.setdefault(
            (engine.name, vm), self.loop.true_ms
        )
        engine.ends_by = lambda metadata, stage: self._ends_engine(
            engine, metadata, stage
        )
        self._put_engine(engine.name)

    def _record_arrival(self, engine, metadata, vm):
        self.arrivals.append((self.loop.true_ms, engine.name, vm))
        if self._is_crashing(metadata):
            self.crashing_arrivals.append((self.loop.true_ms, vm))

    def _record_run(self, engine, metadata):
        self.runs.append((self.loop.true_ms, metadata.tokens))
        stream = metadata.resumes or metadata.request_id
        self.stream_software[stream].add(engine.software)

    def add_release(self, software, count):
        """Let engines of another software version join, with copies of all models."""
        for index, old in enumerate(list(self.engines.values())[:count]):
            name = f"{software}-{index}"
            engine = Engine(
                self.loop, name, old.zone, old.config, old.models, old.on_disk
            )
            engine.software = software
            self._add_engine(engine)

    def _is_crashing(self, metadata):
        is_poison = metadata.request_id.startswith("poison")
        return is_poison or CRASHING_PART in metadata.shared_parts()

    def _ends_engine(self, engine, metadata, stage):
        if stage != self.config.crash_stage or engine.has_ended:
            return False
        if not self._is_crashing(metadata):
            return False
        engine.has_ended = True
        self.crashes_ms.append(self.loop.true_ms)
        self.crash_engine(engine.name)
        return True

    def crash_engine(self, name):
        """End an engine's process; another one starts empty some seconds later."""
        old = self.engines[name]
        self.remove_engine(name)
        old.end()
        new = Engine(self.loop, f"{name}-new", old.zone, old.config, [], old.on_disk)
        new.service = old.service
        self.loop.call_later(self.config.restart_s, self._add_engine, new)

    def _put_engine(self, name):
        engine = self.engines[name]
        value = {
            "Service": engine.service,
            "Address": f"{name}:9",
            "Zone": engine.zone,
            "Version": engine.software,
            "Slots": self.config.slots,
            "State": "draining" if engine.draining else "ready",
            "Models": [
                {"Name": m, "Adapters": sorted(a)} for m, a in engine.models.items()
            ],
            "Available": {"InMemory": engine.in_memory, "OnDisk": engine.on_disk},
            "Seq": engine.heartbeats,
            "born": 1,
        }
        engine.heartbeats += 1
        return self.store.put(BACKENDS, name, orjson.dumps(value))

    def drain_engine(self, name):
        """Let an engine announce that it leaves."""
        self.engines[name].draining = True
        self._put_engine(name)

    def remove_engine(self, name):
        """Let an engine crash: it answers nothing and leaves the list later."""
        del self.engines[name]
        self.loop.call_later(3 * HEARTBEAT_S, self.store.put, BACKENDS, name, None)

    async def _call_crashing(self):
        """Send requests with the part that ends engines, no two alike."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.config.crashing_per_s))
            route = self.rng.choice(["live", "short"])
            _, limit_ms, prompt, output = ROUTES[route]
            metadata = self._metadata(route, *self._choose_target(route, 0.0))
            parts = [name for name, _ in metadata.prefix]
            place = self.config.crashing_place
            if place is None:
                place = self.rng.randrange(len(parts))
            parts.insert(place, CRASHING_PART)
            metadata.prefix = tuple((name, 100) for name in parts)
            self._start_call(self._send(Caller(self.loop), metadata))

    async def _call_poison(self):
        """Send one and the same request, and again after each failure."""
        route = self.config.poison_route
        target = ("", "") if route == SHOP else self._choose_target(route, 0.0)
        while True:
            await asyncio.sleep(self.rng.expovariate(self.config.poison_per_s))
            self._start_call(self._send_poison(route, *target))

    async def _send_poison(self, route, model, adapter):
        for _ in range(2):
            metadata = self._metadata(route, model, adapter)
            metadata.request_id = f"poison-{metadata.request_id}"
            metadata.prefix = ()
            caller = Caller(self.loop)
            await self._send(caller, metadata, b"poison")
            if caller.finished or caller.status != 502:
                return
            await asyncio.sleep(0.01)

    async def _call_shop(self):
        """Send requests to the plain service, each again after a failure."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.config.shop_requests_per_s))
            self._start_call(self._request_shop())

    async def _request_shop(self):
        begin_ms = self.loop.true_ms
        body = b"order %d" % self._next_id
        for attempt in range(2):
            caller = Caller(self.loop)
            await self._send(caller, self._metadata(SHOP, "", ""), body)
            if attempt == 0:
                self.first_attempts.append((begin_ms, SHOP, caller.status == 200))
            if caller.status != 502:
                return
            await asyncio.sleep(0.01)

    def most_arrivals(self, engine, from_ms, to_ms, window_ms):
        """Return the most requests that an engine got in a span of some length.

        Only requests of undisturbed VMs count that had got an answer which names its
        limit half a second before.
        """
        times = [
            at_ms
            for at_ms, name, vm in self.arrivals
            if name == engine
            and from_ms <= at_ms <= to_ms
            and at_ms >= self.told_ms.get((engine, vm), float("inf")) + TOLD_MS
            and self.in_touch(vm, at_ms)
        ]
        return max(
            (sum(at <= t < at + window_ms for t in times) for at in times), default=0
        )

    def most_tokens(self, window_ms):
        """Return the most tokens of requests that ran in a window of some length."""
        most = total = first = 0
        for at_ms, tokens in self.runs:
            total += tokens
            while self.runs[first][0] <= at_ms - window_ms:
                total -= self.runs[first][1]
                first += 1
            most = max(most, total)
        return most

    def tokens_between(self, from_ms, to_ms):
        """Return the tokens of requests that ran in a span."""
        return sum(tokens for at_ms, tokens in self.runs if from_ms <= at_ms < to_ms)

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for name in list(self.engines):
                if self.store.up:
                    self._put_engine(name)

    async def _call(self, seconds):
        """Send requests at random times to random VMs."""
        config = self.config
        total_per_s = sum(config.requests_per_s.values())
        names = list(config.requests_per_s)
        weights = list(config.requests_per_s.values())
        end_ms = self.loop.true_ms + seconds * 1000
        begin_ms = self.loop.true_ms
        while True:
            next_ms = self.loop.true_ms + 1000 * self.rng.expovariate(total_per_s)
            await asyncio.sleep((min(next_ms, end_ms) - self.loop.true_ms) / 1000)
            if next_ms >= end_ms:
                return
            route = self.rng.choices(names, weights)[0]
            elapsed_s = (self.loop.true_ms - begin_ms) / 1000
            target = self._choose_target(route, elapsed_s)
            self._start_call(self._request(route, *target))

    def _start_call(self, call):
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        task.add_done_callback(self.on_task_ended)

    def _choose_target(self, route, elapsed_s):
        config = self.config
        if route == "batch":
            index = self.rng.randrange(config.live_models, config.models)
        else:
            first = int(elapsed_s * config.shift_per_s)
            # A quarter of the busy models get half of the requests.
            rank = int(config.busy_models * self.rng.random() ** 2)
            index = (first + rank) % config.live_models
        adapter = ""
        if index % 2 == 0 and self.rng.random() < config.adapter_share[route]:
            adapter = f"a{int(config.adapters * self.rng.random() ** 2)}"
        return self.model_name(index), adapter

    async def _request(self, route, model, adapter):
        """Send a request, and once more if it is refused with a time in reach."""
        objective_ms, limit_ms, _, _ = ROUTES[route]
        begin_ms = self.loop.true_ms
        counts = self.targets[f"{model}/{adapter}" if adapter else model]
        counts[0] += 1
        outcome = "failed"
        for attempt in range(2):
            left_ms = limit_ms - (self.loop.true_ms - begin_ms)
            caller = Caller(self.loop)
            metadata = self._metadata(route, model, adapter, left_ms)
            await self._send(caller, metadata)
            if attempt == 0:
                begun = caller.first_event_ms is not None
                self.first_attempts.append((begin_ms, metadata.prefix[0][0], begun))
            if caller.finished:
                counts[1] += 1
                waited_ms = caller.first_event_ms - begin_ms
                outcome = "in_aim" if waited_ms <= objective_ms else "late"
                break
            outcome = "refused" if caller.status in (429, 503) else "failed"
            wait_s = caller.retry_after_s
            if outcome == "failed" or attempt or wait_s is None:
                break
            await asyncio.sleep(min(wait_s, left_ms / 3000))
        self.outcomes[route][outcome] += 1

    def _metadata(self, route, model, adapter, left_ms=None):
        _, limit_ms, prompt, output = ROUTES.get(route, (0, SHOP_TIMEOUT_MS, 1_300, 8))
        self._next_id += 1
        if route == SHOP:
            return RequestMetadata(
                f"r{self._next_id}",
                "POST",
                HOST,
                f"/{route}/x",
                timeout_ms=limit_ms,
                prompt_tokens=prompt,
                output_tokens=output,
            )
        shared = (f"{route}-part{n}" for n in range(self.config.shared_parts))
        document = f"{route}-doc{self.rng.randrange(DOCUMENTS)}"
        parts = (route, *shared, document, self._next_id)
        return RequestMetadata(
            f"r{self._next_id}",
            "POST",
            HOST,
            f"/{route}/x",
            KEY,
            timeout_ms=limit_ms if left_ms is None else left_ms,
            model=model,
            adapter=adapter,
            prompt_tokens=prompt,
            output_tokens=max(8, int(output * self.rng.expovariate(1.0))),
            prefix=tuple((str(name), prompt // len(parts)) for name in parts),
        )

    def stream_metadata(self, resumes=""):
        """Return the metadata of a stream that may be resumed, or of its resumption."""
        index = self.rng.randrange(self.config.busy_models)
        metadata = self._metadata("batch", self.model_name(index), "")
        if resumes:
            metadata.resumes, metadata.last_event_id = resumes, "1"
        return metadata

    async def send_to(self, vm, metadata, stay_s=0.0):
        """Send a request to a VM; return its caller, who leaves after the first event.

        Parameters
        ----------
        vm : WorldVm
        metadata : RequestMetadata
        stay_s : float
            How long the caller stays after the first event.
        """
        caller = Caller(self.loop)
        sending = asyncio.create_task(self._send(caller, metadata, vm=vm))
        while caller.first_event_ms is None and not sending.done():
            await asyncio.sleep(0.01)
        await asyncio.sleep(stay_s)
        sending.cancel()
        await asyncio.wait([sending])
        return caller

    async def _send(self, caller, metadata, body=None, vm=None):
        if not self.vms:
            return
        vm = vm or self.rng.choice(list(self.vms.values()))
        target = metadata.path.encode()
        if body is None:
            is_same = self.config.same_bodies
            body = b"" if is_same else metadata.request_id.encode()
        inbound = InboundRequest(
            metadata, target, metadata, body, self.loop.true_ms, caller
        )
        await vm.serve(inbound)

    def share(self, outcome, route=None):
        """Return the share of requests with an outcome."""
        counts = collections.Counter()
        for name, of_route in self.outcomes.items():
            if route in (None, name):
                counts.update(of_route)
        return counts[outcome] / max(1, counts.total())

    async def sleep(self, seconds):
        """Let virtual time pass."""
        await asyncio.sleep(seconds)

    async def sleep_until_crashes(self, count):
        """Wait until the part that ends engines has ended some."""
        while len(self.crashes_ms) < count:
            await asyncio.sleep(0.05)

    def in_touch(self, vm, at_ms):
        """Return whether a VM ran undisturbed for some seconds before a time."""
        return all(
            not begin_ms <= at_ms <= end_ms + IN_TOUCH_MS
            for begin_ms, end_ms in self.disturbed_ms.get(vm, ())
        )

    def begun(self, part, from_ms, to_ms):
        """Return whether each first attempt with a first part began an answer."""
        return [
            begun
            for at_ms, first, begun in self.first_attempts
            if first == part and from_ms <= at_ms < to_ms
        ]

    def never_served(self, min_requests=4):
        """Return the targets that were asked for and never served, and all asked."""
        asked = {t: c for t, c in self.targets.items() if c[0] >= min_requests}
        return [t for t, c in asked.items() if not c[1]], list(asked)
