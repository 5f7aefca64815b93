"""Runs a placement task while this VM holds the zone's placement lease."""

import asyncio

import structlog

from .dispatch_messages import ConfigurationChanged
from .errors import PlatformUnavailable
from .mailbox import Mailbox
from .placement_messages import DemandTotals
from .placement_task import PlacementTask

LEASE_POLL_INTERVAL_MS = 200
DEMAND_INTERVAL_MS = 2_000
LIMITS_INTERVAL_MS = 60_000

log = structlog.get_logger()


class PlacementLease:
    """The placement lease as long as it has the same fencing number.

    A later lease of the same VM has a higher number and gets a new placement task.

    Parameters
    ----------
    client : LeaseClient
    """

    __slots__ = ("fence", "_client")

    def __init__(self, client):
        self.fence = client.fence
        self._client = client

    def usable(self, now_ms):
        """Whether this VM still holds the lease under the same fencing number."""
        return self._client.fence == self.fence and self._client.may_use(now_ms)


class EngineClientPool:
    """Clients of the engines by address, opened at first use.

    Parameters
    ----------
    open_client : callable
        Returns an `EngineClient` for a name and an address.
    """

    def __init__(self, open_client):
        self._open_client = open_client
        self._clients = {}

    async def order(self, address, order):
        """Send an order, without retries, and return the engine's answer."""
        return await self._client(address).send_order(order)

    async def order_state(self, address, order_id):
        """Return the state of an order at the engine."""
        return await self._client(address).order_state(order_id)

    async def close(self):
        """Close the connections to the engines."""
        clients, self._clients = self._clients, {}
        for client in clients.values():
            await client.close()

    def _client(self, address):
        if address not in self._clients:
            self._clients[address] = self._open_client(address, address)
        return self._clients[address]


class PlacementRunner:
    """Starts a placement task each time that this VM acquires the lease.

    Parameters
    ----------
    identity, zone : str
    client : LeaseClient
        Client of the lease ``placement``.
    stream : LogStream
        The zone's stream.
    configuration : callable
        Returns the configuration in force.
    engines : EngineClientPool
    demand_totals : callable
        Returns the demand totals of each VM.
    weight_store : WeightStoreClient
    clock : SystemClock or ManualClock
    """

    def __init__(
        self,
        identity,
        zone,
        client,
        stream,
        configuration,
        engines,
        demand_totals,
        weight_store,
        clock,
    ):
        self._identity = identity
        self._zone = zone
        self._client = client
        self._stream = stream
        self._configuration = configuration
        self._engines = engines
        self._demand_totals = demand_totals
        self._weight_store = weight_store
        self._clock = clock
        self._mailbox = None
        self._last_reports = {}

    def send(self, message):
        """Pass a message to the running task.

        The last report of each engine is also kept for the task of a later lease.
        """
        if not isinstance(message, ConfigurationChanged):
            self._last_reports[message.report.backend] = message
        if self._mailbox is not None:
            self._mailbox.send(message)

    async def run(self):
        """Run a placement task whenever this VM holds the lease."""
        while True:
            lease_held = self._client.may_use(self._clock.monotonic_ms())
            if lease_held and self._configuration().backends:
                await self._run_task(PlacementLease(self._client))
            else:
                await asyncio.sleep(LEASE_POLL_INTERVAL_MS / 1000)

    async def _run_task(self, lease):
        self._mailbox = Mailbox("placement")
        orders = self._stream.fold.orders.values()
        task = PlacementTask(
            self._zone,
            self._identity,
            lease,
            [(order.offset, order.record) for order in orders],
            self._configuration(),
            self._mailbox,
            self._stream.appender,
            self._engines,
            self._clock,
        )
        for message in self._last_reports.values():
            self._mailbox.send(message)
        log.info("placement_started", fence=lease.fence)
        feeds = [
            asyncio.create_task(self._feed_demand(self._mailbox)),
            asyncio.create_task(self._feed_limits(self._mailbox)),
        ]
        try:
            await task.run()
        finally:
            self._mailbox = None
            for feed in feeds:
                feed.cancel()
            log.info("placement_ended", fence=lease.fence)

    async def _feed_demand(self, mailbox):
        while True:
            try:
                for vm, totals in self._demand_totals().items():
                    mailbox.send(DemandTotals(vm, totals))
            except Exception as error:
                # One odd value must not end the feed.
                log.error("placement_feed_failed", error=repr(error))
            await asyncio.sleep(DEMAND_INTERVAL_MS / 1000)

    async def _feed_limits(self, mailbox):
        """Send the weight store's limits. While it is down, the last ones apply."""
        while True:
            try:
                mailbox.send(await self._weight_store.limits())
            except PlatformUnavailable as error:
                log.info("weight_store_unavailable", error=str(error))
            except Exception as error:
                log.error("placement_feed_failed", error=repr(error))
            await asyncio.sleep(LIMITS_INTERVAL_MS / 1000)

    async def close(self):
        """Close the connections to the engines and to the weight store."""
        await self._engines.close()
        await self._weight_store.close()
