"""One VM in front of a fleet: its components, start and graceful stop."""

import asyncio
import functools
import random
import time

import structlog

from .backend_connection import ConnectionPool
from .body_budget import BodyBudget
from .descriptors import (
    MAX_OPERATOR_CONNECTIONS,
    descriptor_limit,
    most_caller_connections,
)
from .fleet import CallerLimits
from .fleet_controller import FleetController
from .fleet_edge import FleetEdge, FleetProtocol
from .fleet_relay import FleetRelay
from .fleet_state import FleetState
from .graceful_stop import CLOSE_RESERVE_MS, StopSchedule
from .interval_stats import IntervalStats
from .json_shapes import is_address
from .memory_plan import FREE_BYTES, MemoryPlan
from .metadata_store import BACKENDS, CONFIGURATION, VMS, StoreUnavailable
from .metrics import Metrics
from .peer_exchange import PeerExchange
from .peer_topology import VmPlace, decode_place, encode_place
from .peer_transport import PeerTransport
from .process_delay import ProcessDelay
from .process_usage import process_usage
from .processor_time import ProcessorTime
from .quarantine_store import QuarantineStore
from .replica_selection import ReplicaSelector, SentPrefixIndex
from .request_timeouts import RequestTimeouts
from .serving import CallerProtocol, open_server
from .software_store import SoftwareStore
from .store_follower import StoreFollower
from .supervisor import Supervisor

# Interval of the checks for unreachable peers and missing backend servers.
REVIEW_INTERVAL_MS = 100.0
# A timer that runs this late is logged.
LATE_LOG_MS = 250.0
# Interval of the log lines on the VM's own load.
LOAD_LOG_INTERVAL_MS = 2_000.0
ANNOUNCE_RETRY_MS = 500.0
ANNOUNCE_SPREAD_MS = 1_000.0
# Interval of the checks whether a stop has to end sooner.
STOP_CHECK_INTERVAL_MS = 100.0
# Interval of the checks for a first report of a peer after the start.
PEER_CHECK_INTERVAL_MS = 50.0

log = structlog.get_logger()


class PlatformAdapter:
    """Components of a platform's adapter that a node uses.

    Parameters
    ----------
    store : object
        Client of the metadata store.
    engines : object
        Client of the engines.
    decoder : object
        Has `configuration` and `backend`.
    codec : object
        Has `decode_request`, `encode_request`, `decode_response` and
        `response_headers`.
    """

    __slots__ = ("store", "engines", "decoder", "codec")

    def __init__(self, store, engines, decoder, codec):
        self.store = store
        self.engines = engines
        self.decoder = decoder
        self.codec = codec


class FleetNode:
    """All components of one VM.

    Parameters
    ----------
    settings : VmSettings
    platform : PlatformAdapter
    clock : SystemClock or ManualClock
    transport : PeerTransport, optional
    pool : ConnectionPool, optional
    rng : random.Random, optional
    stats : IntervalStats, optional
    """

    def __init__(
        self,
        settings,
        platform,
        clock,
        transport=None,
        pool=None,
        rng=None,
        stats=None,
    ):
        self._settings = settings
        self._platform = platform
        self._clock = clock
        self._rng = rng or random.Random()
        self._metrics = Metrics()
        self._processor = ProcessorTime(self._metrics)
        self._stats = stats or IntervalStats()
        self.state = FleetState(settings, platform.decoder, clock, clock.wall_ms())
        self._exchange = PeerExchange(
            settings.peer_address,
            transport or PeerTransport(),
            self.state.peers,
            self.state.build_report,
            self._on_report,
            clock,
            self._stats,
            self._processor,
        )
        self._controller = FleetController(
            self.state,
            platform.store,
            platform.engines,
            self._exchange,
            self._metrics,
            self._stats,
            self._processor,
        )
        evacuations = self.state.evacuations
        self._metrics.gauge("evacuated_zones", lambda: len(evacuations.zones))
        self._metrics.gauge("evacuated_requests", evacuations.running_requests)
        self._pool = pool or ConnectionPool(platform.codec.decode_response, clock)
        timeouts = RequestTimeouts(clock)
        self._delay = ProcessDelay(clock)
        memory = MemoryPlan(settings.memory_mb)
        prefixes = SentPrefixIndex()
        selector = ReplicaSelector(
            self.state.view,
            settings.zone,
            prefixes,
            self.state.limits,
            self.state.loads,
            self._rng,
        )
        self._relay = FleetRelay(
            self.state,
            selector,
            self._pool,
            platform.codec,
            prefixes,
            self._metrics,
            log,
            self._rng,
            timeouts,
            self._notify_lease_holder,
            self._exchange.exchange_soon,
            BodyBudget(memory.answer_bytes, FREE_BYTES),
        )
        self._timeouts = timeouts
        self._edge = FleetEdge(
            self.state,
            self._relay,
            platform.codec.decode_request,
            timeouts,
            BodyBudget(
                memory.body_bytes, FREE_BYTES, clock.monotonic_ms, self._metrics
            ),
            self._delay,
        )
        self._supervisor = Supervisor("vm", clock)
        self._stop_requested = asyncio.Event()
        self._stop_requested_ms = None
        self._schedule = None
        self._servers = {}
        self._add_seeds(settings)

    def _add_seeds(self, settings):
        for address in settings.seed_addresses:
            self.state.add_address(f"seed {address}", address)

    def supervise(self, name, start):
        """Run a task beside those of the VM, which can do without it."""
        self._supervisor.add(name, start)

    def request_stop(self):
        """Begin a graceful stop."""
        if self._stop_requested_ms is None:
            self._stop_requested_ms = self._clock.monotonic_ms()
        self._stop_requested.set()

    def _on_report(self, report):
        for name in self.state.on_report(report):
            self._exchange.exchange_soon(name)
        if report.waiting:
            self._controller.on_waiting(report.waiting.keys())

    def _notify_lease_holder(self):
        """Tell the VM that holds the order lease that requests wait."""
        if self.state.lease.active:
            self._controller.on_waiting(self.state.demand.waiting.keys())
            return
        name = self.state.way_to_holder()
        if name is not None:
            self._exchange.exchange_soon(name)

    def _on_store_change(self, stream):
        if stream == CONFIGURATION:
            self._exchange.exchange_soon()

    async def run(self):
        """Run until a stop is requested; tasks that fail are started again."""
        await self._platform.store.start()
        await self._platform.engines.start()
        await self._start_servers()
        log.info(
            "started", zone=self._settings.zone, first_start=self._settings.first_start
        )
        supervisor = self._supervisor
        supervisor.add("serve-peers", self._exchange.start)
        for stream in (CONFIGURATION, BACKENDS):
            follower = StoreFollower(
                stream, self._platform.store, self.state, self._on_store_change
            )
            supervisor.add(f"follow-{stream}", follower.run)
        supervisor.add("announce", self._announce)
        quarantine = QuarantineStore(self._platform.store, self.state)
        supervisor.add("quarantine", quarantine.run)
        software = SoftwareStore(self._platform.store, self.state)
        supervisor.add("software", software.run)
        supervisor.add("exchange", self._exchange.run)
        supervisor.add("lease", self._controller.renew_lease)
        supervisor.add("orders", self._controller.run)
        supervisor.add("review", self._review_loop)
        running = asyncio.create_task(supervisor.run())
        stopping = asyncio.create_task(self._stop_requested.wait())
        try:
            await asyncio.wait([running, stopping], return_when=asyncio.FIRST_COMPLETED)
            self.request_stop()
            await self._drain()
            if running.done():
                running.result()
        finally:
            running.cancel()
            stopping.cancel()
            await self._close()

    async def _start_servers(self):
        """Open the ports for HTTP, each as soon as it is free."""
        settings = self._settings
        most = min(
            most_caller_connections(descriptor_limit(settings.max_descriptors)),
            MemoryPlan(settings.memory_mb).callers,
        )
        log.info("caller_connections", most=most)
        few = MAX_OPERATOR_CONNECTIONS
        ports = [
            ("ready", settings.ready_address, self._ready_app, few, FleetProtocol),
            ("callers", settings.caller_address, self._edge, most, FleetProtocol),
        ]
        if settings.free_ports:
            address = f"{settings.ip}:{settings.free_ports[0]}"
            ports.append(("metrics", address, self._metrics_app, few, CallerProtocol))
        for name, *port in ports:
            start = functools.partial(self._serve, name, *port)
            self._supervisor.add(f"serve-{name}", start)

    async def _serve(self, name, address, application, max_connections, protocol):
        server = self._servers[name] = await open_server(
            name,
            address,
            application,
            self._metrics,
            max_connections=max_connections,
            base_protocol=protocol,
            caller_limits=self._caller_limits,
        )
        await server.start()

    def apply_settings(self, settings):
        """Apply changed settings; addresses and the zone need a restart."""
        self.state.key_freshness.limit_ms = settings.key_limit_ms
        self.state.retry_budget.ratio = settings.retry_ratio
        self.state.retry_budget.slack = settings.retry_slack
        self.state.evacuations.bound_ms = settings.evacuate_ms
        self.state.limits.cold.overrun = settings.cold_overrun
        self.state.limits.cold.slack = settings.cold_slack
        self.state.settings.zone_regions = settings.zone_regions
        self._settings.grace_s = settings.grace_s
        if self._schedule is not None:
            self._schedule.limit_grace(settings.grace_s * 1000)
            self._timeouts.shorten(self._schedule.requests_end_ms)
        self._add_seeds(settings)

    def ready(self):
        """Return whether the load balancer should send requests to this VM."""
        state = self.state
        return (
            not state.stopping
            and "callers" in self._servers
            and state.configuration is not None
            and state.key_freshness.is_fresh(state.now_ms())
            and bool(state.view.backends)
            and state.knows_fleet
        )

    def _caller_limits(self):
        configuration = self.state.configuration
        return CallerLimits() if configuration is None else configuration.limits

    async def _ready_app(self, scope, receive, send):
        status = 200 if self.ready() else 503
        await _respond(send, status, b"ready" if status == 200 else b"not ready")

    async def _metrics_app(self, scope, receive, send):
        await _respond(send, 200, self._metrics.render().encode())

    async def _announce(self):
        """Register this VM in the store, again whenever the store has lost records."""
        while self.state.awaits_peers():
            await asyncio.sleep(PEER_CHECK_INTERVAL_MS / 1000)
        # VMs that start together register before they read, so that of any two at least
        # one finds the other.
        while True:
            try:
                registered_era = await self._register()
            except StoreUnavailable as error:
                log.info("announcement_failed", error=str(error))
                await asyncio.sleep(ANNOUNCE_RETRY_MS / 1000)
                continue
            while self.state.store_era <= registered_era:
                await asyncio.sleep(ANNOUNCE_RETRY_MS / 1000)
            # All VMs write at about the same time.
            await asyncio.sleep(self._rng.uniform(0.0, ANNOUNCE_SPREAD_MS) / 1000)

    async def _register(self):
        """Write where this VM is, and read where the others are.

        In a large fleet the relay tells of the others, without a read.

        Returns
        -------
        int
            Era of the store that has the record.

        Raises
        ------
        StoreUnavailable
        """
        store = self._platform.store
        place = encode_place(self.state.peers.own)
        era = await store.put(VMS, self._settings.vm_name, place)
        while self.state.awaits_fleet():
            await asyncio.sleep(PEER_CHECK_INTERVAL_MS / 1000)
        topology = self.state.peers.topology
        if self.state.knows_fleet and not topology.is_mesh and topology.relay:
            return era
        places = []
        for record in (await store.newest(VMS)).records:
            if record.value is not None:
                place = VmPlace(record.key, *decode_place(record.value))
                if record.key and is_address(place.address):
                    places.append(place)
                else:
                    log.warning("vm_place_unreadable", peer=record.key)
        self.state.learn_vms(places, names_all=True)
        return era

    async def _review_loop(self):
        logged_ms = self._clock.monotonic_ms()
        while True:
            interval_ms = max(REVIEW_INTERVAL_MS, self.state.peers.review_interval_ms())
            self._delay.expect(interval_ms)
            ran_s = time.process_time()
            await asyncio.sleep(interval_ms / 1000)
            late_ms = self._delay.observe()
            self._stats.observe_ms("loop_lag", late_ms)
            if late_ms >= LATE_LOG_MS:
                # Little processor time means that the process was not let run.
                log.warning(
                    "process_late",
                    late_ms=round(late_ms),
                    processor_ms=round(1000 * (time.process_time() - ran_s)),
                )
            now_ms = self._clock.monotonic_ms()
            for name in self.state.review_peers():
                self._exchange.exchange_soon(name)
            if now_ms - logged_ms >= LOAD_LOG_INTERVAL_MS:
                logged_ms = now_ms
                log.info(
                    "vm_load",
                    **self._stats.take(),
                    **self._controller.status(),
                    **process_usage(),
                    **self._processor.take(),
                    task_restarts=self._supervisor.restarts,
                    **self._evacuation_status(),
                )

    def _evacuation_status(self):
        """Return the zones that are ordered to be evacuated, for the log."""
        status = self.state.evacuations.status(self._clock.monotonic_ms())
        return {"evacuations": status} if status else {}

    async def _drain(self):
        """Finish accepted requests, and stop accepting new ones."""
        schedule = StopSchedule(self._stop_requested_ms, self._settings.grace_s * 1000)
        log.info("stopping", running=self._edge.running)
        self._schedule = self._relay.stop_schedule = schedule
        self._timeouts.shorten(schedule.requests_end_ms)
        self.state.stopping = True
        self.state.notify()
        self._exchange.exchange_soon()
        # Runs concurrently: the store may be unreachable, and requests don't need it.
        lease_release = asyncio.create_task(self._controller.release_lease())
        clock = self._clock
        while (left_ms := schedule.balancer_delay_ms(clock.monotonic_ms())) > 0:
            await asyncio.sleep(min(left_ms, STOP_CHECK_INTERVAL_MS) / 1000)
        self._supervisor.cancel("serve-callers")
        server = self._servers.get("callers")
        requests_cut_off = 0
        if server is not None:
            server.begin_stop()
            # At least once, so that the last answers are sent if the stop began late.
            while not await server.wait_stopped(STOP_CHECK_INTERVAL_MS):
                if clock.monotonic_ms() >= schedule.connections_end_ms:
                    break
            requests_cut_off = self._edge.running
            await server.cut_off()
        if not lease_release.done():
            log.warning("lease_release_unanswered")
            lease_release.cancel()
        took_ms = self._clock.monotonic_ms() - self._stop_requested_ms
        log.info(
            "stopped",
            requests_cut_off=requests_cut_off,
            requests_unfinished=self._relay.unfinished,
            took_ms=round(took_ms),
        )

    async def _close(self):
        self._relay.close()
        self._pool.close()
        servers = [
            server.stop(100.0)
            for name, server in self._servers.items()
            if name != "callers"
        ]
        closing = asyncio.gather(
            *servers,
            self._exchange.close(),
            self._platform.engines.close(),
            self._platform.store.close(),
        )
        try:
            async with asyncio.timeout(CLOSE_RESERVE_MS / 1000):
                await closing
        except TimeoutError:
            log.warning("close_took_long", limit_ms=CLOSE_RESERVE_MS)


async def _respond(send, status, body):
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"content-length", b"%d" % len(body)),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
