"""One VM of the system: its parts, their wiring, its start and its stop."""

import asyncio
import random
from uuid import uuid4

import structlog

from .admin import AdminPort
from .admission import AdmissionQueue
from .arrival import EdgeLimits
from .backend_client import BackendClient
from .budget_client import BudgetClient
from .budget_holder import BudgetHolder
from .claim_service import ClaimPartition, ClaimService, partition_number
from .claims import ClaimTable
from .clock import SystemClock
from .coordinator import Coordinator
from .demand_counter import DemandCounter
from .descriptors import descriptor_limit, most_caller_connections
from .dispatch_messages import (
    ConfigurationChanged,
    DrainingModels,
    LeavingBackends,
    ReturnGrants,
)
from .dispatcher import Dispatcher
from .edge import build_application
from .engine_client import HttpEngineClient
from .graceful_stop import StopSchedule
from .invariants import GRACEFUL_STOP, require
from .keys import is_key_hash
from .load_poller import LoadPoller
from .log_client import HttpLogClient
from .log_streams import LogStreams
from .mailbox import Mailbox, call
from .memory_plan import MemoryPlan
from .metrics import Metrics
from .node_peers import NodePeerHandlers
from .node_status import NodeStatus, ReportBoard
from .node_view import NodeView
from .own_ports import open_when_free
from .peer_client import PeerClient
from .peer_log_relay import PeerLogRelay
from .peer_service import make_server
from .placement_runner import EngineClientPool, PlacementRunner
from .relay import Relay
from .routing import Router
from .serving import open_server
from .supervisor import Supervisor
from .tracing import build_tracing
from .vm_list_client import HttpVmListClient
from .weight_store_client import HttpWeightStoreClient
from .zone_state import PLACEMENT_LEASE

# Time for grants and leases to be returned; without it they expire by themselves.
LEAVE_LIMIT_MS = 3_000
# Time for outcomes of claimed calls to reach the log, which may be down.
SETTLE_LIMIT_MS = 5_000
ADMIN_STOP_LIMIT_MS = 1_000

log = structlog.get_logger()


class Node:
    """One VM of the system.

    Parameters
    ----------
    settings : DaemonSettings
    clock : SystemClock, optional
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = SystemClock() if clock is None else clock
        self.identity = f"{settings.vm_name}@{uuid4().hex[:12]}"
        self._rng = random.Random(settings.random_seed)
        self.metrics = Metrics()
        self._tracing = build_tracing(
            settings.trace_exporter.kind,
            settings.vm_name,
            settings.trace_exporter.target,
        )
        self._stop = asyncio.Event()
        self._draining = set()
        self._build_platform()
        self._build_requests()
        self._build_placement()
        self._build_ports()

    def _build_platform(self):
        settings, clock = self.settings, self.clock
        self._log = HttpLogClient(f"http://{settings.log_address}")
        self._vm_list = HttpVmListClient(f"http://{settings.vm_list_address}")
        self._peer_client = PeerClient(clock)
        log_peers = PeerLogRelay(
            self.identity,
            self._peer_client,
            lambda: self._coordinator.peer_addresses(),
            lambda: self._coordinator.zone_peer_addresses(),
            self._rng,
        )
        self.streams = LogStreams(
            settings,
            self.identity,
            self._log,
            log_peers,
            clock,
            lambda: self.streams.zone.fold.roster(),
        )
        self.view = NodeView(self.streams.config, settings.key_staleness_limit_s)
        zone = self.streams.zone
        zone = self.streams.zone
        self._coordinator = Coordinator(
            self.identity,
            settings.zone,
            settings.peer_address,
            zone.follower,
            zone.appender,
            self._peer_client,
            self._vm_list,
            clock,
            settings.budget_partitions,
            lambda: clock.monotonic_ms() - self.streams.log_response_age_ms,
            self._on_leaving_backends,
            self._rng,
        )
        self._coordinator.members.on_probe = self._on_probe
        zone.follower.add_listener(self._on_zone_followed)

    def _build_requests(self):
        settings = self.settings
        memory = MemoryPlan(settings.memory_mb)
        self.demand = DemandCounter()
        self._dispatch_mailbox = Mailbox("dispatcher", limit=100_000)
        self._link = BudgetClient(self._dispatch_mailbox, self._coordinator)
        self.dispatcher = Dispatcher(
            self._dispatch_mailbox,
            self.clock,
            self._rng,
            AdmissionQueue(settings.max_queued_requests),
            Router(settings.zone),
            BudgetHolder(self.identity),
            lambda key_hash: self.view.keys.team_of_hash(key_hash) is not None,
            self._link,
            settings.zone,
            self.demand.count,
        )
        self._backends = BackendClient(self.metrics)
        self._relay = Relay(
            self.dispatcher,
            self._backends,
            self.clock,
            self.metrics,
            self._rng,
            answer_bytes=memory.answer_bytes,
        )
        self._claims = ClaimService(
            ClaimTable(self.identity, self._coordinator.vm_gone),
            self._claim_partition,
            self.clock,
            self.metrics,
        )
        limits = EdgeLimits(
            head_bytes=settings.max_header_bytes,
            body_bytes=settings.max_body_bytes,
            held_body_bytes=memory.body_bytes,
            concurrent_requests=settings.max_concurrent_requests,
        )
        self._application = build_application(
            self.view,
            self._relay,
            self._claims,
            self.clock,
            self.metrics,
            limits,
            self._tracing,
            log,
        )

    def _claim_partition(self, team, key):
        number = partition_number(team, key, self.settings.claim_partitions)
        stream = self.streams.claims[number]
        return ClaimPartition(stream.fold, stream.appender)

    def _build_placement(self):
        self._board = ReportBoard(self.clock)
        self._placement = PlacementRunner(
            self.identity,
            self.settings.zone,
            self._coordinator.lease(PLACEMENT_LEASE),
            self.streams.zone,
            lambda: self.streams.config.fold.configuration,
            EngineClientPool(self._open_engine),
            self._demand_totals,
            HttpWeightStoreClient(f"http://{self.settings.weight_store_address}"),
            self.clock,
        )
        self._poller_mailbox = Mailbox("load-poller")
        self._poller = LoadPoller(
            self._poller_mailbox,
            [self._dispatch_mailbox, self._board, self._placement],
            self._dispatch_mailbox,
            self._open_engine,
            self._rng,
            self.metrics,
        )

    def _open_engine(self, name, address):
        return HttpEngineClient(name, f"http://{address}")

    def _demand_totals(self):
        """Return demand totals by VM for this VM and the others of its zone."""
        return {self.identity: self.demand.totals(), **self._coordinator.peer_demand()}

    def _build_ports(self):
        self._handlers = NodePeerHandlers(
            self.identity,
            self.settings.zone,
            self.streams,
            self._log,
            self._coordinator,
            self.view,
            self.demand,
        )
        status = NodeStatus(
            self.identity,
            self.settings.zone,
            self.clock,
            self.view,
            self.streams,
            self._coordinator,
            self.dispatcher,
            self._board,
        )
        self._admin = AdminPort(
            lambda: self.view.ready,
            status,
            self.metrics,
            self._withdraw_key_here,
        )
        self.metrics.gauge("requests_active", lambda: self.dispatcher.active)
        self.metrics.gauge("requests_queued", lambda: self.dispatcher.queued)
        self.metrics.gauge(
            "configuration_version", lambda: self.streams.config.fold.version
        )
        self.metrics.gauge(
            "configuration_staleness_ms",
            lambda: self.streams.config.follower.stale_ms,
        )

    def _withdraw_key_here(self, key_hash):
        self.view.keys.withdraw_here(key_hash)
        log.warning("key_withdrawn_here", key_hash=key_hash)

    # Messages from the log and the VM list.

    def _on_config(self, followed):
        fold = self.streams.config.fold
        if fold.version == 0:
            return
        configuration = fold.configuration
        self._dispatch_mailbox.send(ConfigurationChanged(configuration, fold.drained))
        self._poller_mailbox.send(configuration)
        self._placement.send(ConfigurationChanged(configuration, fold.drained))
        self._coordinator.set_configuration(configuration)

    def _on_config_followed(self, followed):
        if followed.processed or followed.reloaded:
            self._on_config(followed)

    def _on_zone_followed(self, followed):
        pairs = {
            (order.record.engine, order.record.name)
            for order in self.streams.zone.fold.orders.values()
            if order.is_unload
        }
        if pairs != self._draining:
            self._draining = pairs
            self._dispatch_mailbox.send(DrainingModels(pairs))

    def _on_claims_followed(self, followed):
        self._claims.on_state_changed()

    def _on_leaving_backends(self, names):
        self._dispatch_mailbox.send(LeavingBackends(names))

    def _on_probe(self, info):
        """Take the keys that were withdrawn directly on another VM of the zone."""
        for key_hash in info.withdrawn_key_hashes:
            if is_key_hash(key_hash) and not self.view.keys.is_withdrawn(key_hash):
                self._withdraw_key_here(key_hash)

    # Start and stop.

    def request_stop(self):
        """Begin a graceful stop; called by the signal handler."""
        self._stop.set()

    async def run(self):
        """Run until `request_stop`, then stop gracefully.

        Raises
        ------
        InvariantViolation
            If requests were cut off because the drain limit passed.
        """
        self.streams.config.follower.add_listener(self._on_config_followed)
        for stream in self.streams.claims:
            stream.follower.add_listener(self._on_claims_followed)
        supervisor = self._supervisor()
        await self._backends.start()
        stop = asyncio.create_task(self._stop.wait())
        opening = asyncio.create_task(self._open_ports())
        await asyncio.wait([opening, stop], return_when=asyncio.FIRST_COMPLETED)
        if not opening.done():
            opening.cancel()
            await self._close()
            log.info("stopped", cut_off=0)
            return
        peers, admin, edge = opening.result()
        await peers.start()
        await admin.start()
        tasks = asyncio.create_task(supervisor.run())
        await edge.start()
        log.info("started", vm=self.identity, zone=self.settings.zone)
        await asyncio.wait([tasks, stop], return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        cut_off = await self._drain(edge)
        await self._settle_requests()
        await self._leave()
        tasks.cancel()
        failure = (await asyncio.gather(tasks, return_exceptions=True))[0]
        await admin.stop(ADMIN_STOP_LIMIT_MS)
        await peers.stop(grace=0.5)
        await self._close()
        log.info("stopped", cut_off=cut_off)
        if isinstance(failure, Exception):
            raise failure
        require(cut_off == 0, GRACEFUL_STOP, cut_off=cut_off)

    def _supervisor(self):
        """Build the tree: the log's streams first, the users of their state after."""
        root = Supervisor("node", self.clock)
        streams = Supervisor("streams", self.clock)
        for stream in self.streams:
            stream.supervise(streams)
        requests = Supervisor("requests", self.clock)
        requests.add("dispatcher", self.dispatcher.run)
        requests.add("load-poller", self._poller.run)
        coordination = Supervisor("coordination", self.clock)
        coordination.add("coordinator", self._coordinator.run)
        coordination.add("placement", self._placement.run)
        for part in (streams, coordination, requests):
            root.add(part.name, part.run)
        return root

    async def _open_ports(self):
        """Return the servers, not started yet, once all ports are free."""
        settings = self.settings
        peers, _ = await open_when_free(
            "peers",
            settings.peer_address,
            lambda: make_server(self._handlers, settings.peer_address),
        )
        admin = await self._server(
            "admin", settings.admin_address, self._admin.application()
        )
        edge = await self._server("callers", settings.listen_address, self._application)
        return peers, admin, edge

    async def _server(self, name, address, application):
        most = min(
            most_caller_connections(descriptor_limit()),
            MemoryPlan(self.settings.memory_mb).callers,
        )
        return await open_server(
            name,
            address,
            application,
            self.metrics,
            head_bytes=self.settings.max_header_bytes,
            max_connections=most,
        )

    async def _drain(self, edge):
        """Stop taking requests, in the order that the balancer needs."""
        self.view.leaving = True
        log.info("leaving", active=self.dispatcher.active)
        await asyncio.sleep(self.settings.balancer_wait_ms / 1000)
        self.view.shutting_down = True
        limit_ms = self.settings.drain_limit_ms
        schedule = StopSchedule(self.clock.monotonic_ms(), limit_ms)
        application = self._application.state.edge
        application.timeouts.shorten(schedule.requests_end_ms)
        cut_off = await edge.stop(limit_ms)
        return cut_off + application.unfinished

    async def _settle_requests(self):
        """Send cancellations and write outcomes that are still on their way.

        An outcome that is not in the log would later be told as unknown.
        """
        try:
            async with asyncio.timeout(SETTLE_LIMIT_MS / 1000):
                await self._relay.wait_background()
                await self._claims.wait_background()
        except TimeoutError:
            log.warning("outcomes_not_recorded")

    async def _leave(self):
        """Return grants and leases."""
        try:
            async with asyncio.timeout(LEAVE_LIMIT_MS / 1000):
                reports = await call(self._dispatch_mailbox, ReturnGrants())
                for report in reports:
                    await self._coordinator.report(report)
                await self._coordinator.leave()
        except Exception as error:
            # The stop goes on: what was not returned expires.
            log.warning("leave_incomplete", error=repr(error))

    async def _close(self):
        await self._backends.close()
        await self._placement.close()
        await self._peer_client.close()
        await self._log.close()
        await self._vm_list.close()
        self._tracing.shutdown()
