"""Task that polls backend servers for their load and cache events."""

import asyncio

import structlog

from .dispatch_messages import CacheEvents, LoadReported
from .errors import PlatformUnavailable
from .prefix_index import CacheEvent

LOAD_INTERVAL_MS = 1000
# The interval varies at random by this fraction, so that a VM's polls of all backend
# servers are spread evenly over time.
JITTER_FRACTION = 0.2
# Cache events are polled less often than loads, because the router also records which
# prompts it sent.
CACHE_EVENTS_INTERVAL_MS = 5000
# Action of a cache event as engines name it -> kind of `CacheEvent`.
EVENT_KINDS = {"stored": "stored", "evicted": "removed", "cleared": "cleared"}

log = structlog.get_logger()


class LoadPoller:
    """Polls every backend server of the configuration.

    Parameters
    ----------
    mailbox : Mailbox
        Receives `Configuration` objects; each one replaces the one before.
    listeners : list of Mailbox
        Get `LoadReported` messages.
    router_mailbox : Mailbox
        Gets `CacheEvents` messages.
    open_client : callable
        Creates an `EngineClient` from a backend server's name and address.
    rng : random.Random
    metrics : Metrics
    """

    def __init__(self, mailbox, listeners, router_mailbox, open_client, rng, metrics):
        self.mailbox = mailbox
        self._listeners = listeners
        self._router_mailbox = router_mailbox
        self._open_client = open_client
        self._rng = rng
        self._metrics = metrics
        self._tasks = {}
        # Last configuration received.
        self._configuration = None

    async def run(self):
        """Poll until cancelled."""
        try:
            if self._configuration is not None:
                # An earlier run failed, and ended its polls.
                self._update_polls(self._configuration)
            while True:
                configuration = await self.mailbox.receive()
                self._update_polls(configuration)
                self._configuration = configuration
        finally:
            for task in self._tasks.values():
                task.cancel()
            self._tasks.clear()

    def _update_polls(self, configuration):
        wanted = {
            (backend.name, backend.address, backend.kind)
            for backend in configuration.backends.values()
        }
        for key in set(self._tasks) - wanted:
            self._tasks.pop(key).cancel()
        for key in wanted - set(self._tasks):
            self._tasks[key] = asyncio.create_task(self._poll(*key))

    async def _poll(self, name, address, kind):
        client = self._open_client(name, address)
        cursor = CacheEventCursor()
        missed = False
        try:
            while True:
                try:
                    report = await client.load()
                    for listener in self._listeners:
                        listener.send(LoadReported(report))
                    if kind == "engine":
                        await self._poll_cache(client, name, report, cursor)
                    missed = False
                except Exception as error:
                    if not isinstance(error, PlatformUnavailable) and not missed:
                        # One odd answer must not end the polls of a server.
                        log.error("load_poll_failed", backend=name, exc_info=error)
                    elif not missed:
                        log.warning("load_unknown", backend=name, error=str(error))
                    missed = True
                    self._metrics.count("load_reports_missed_total", backend=name)
                await asyncio.sleep(self._interval_ms() / 1000)
        finally:
            await client.close()

    async def _poll_cache(self, client, name, report, cursor):
        if cursor.skip(report.incarnation):
            return
        try:
            page = await client.cache_events(cursor.next_offset)
        except PlatformUnavailable:
            return
        cursor.next_offset = page.next_offset
        events = [
            CacheEvent(event.offset, EVENT_KINDS[event.action], block)
            for event in page.events
            if event.action in EVENT_KINDS
            and (block := parse_block_hash(event.prefix_hash)) is not None
        ]
        if events:
            message = CacheEvents(name, report.incarnation, events)
            self._router_mailbox.send(message)

    def _interval_ms(self):
        return LOAD_INTERVAL_MS * self._rng.uniform(
            1 - JITTER_FRACTION, 1 + JITTER_FRACTION
        )


class CacheEventCursor:
    """Read position in the cache events of one engine."""

    __slots__ = ("incarnation", "next_offset", "_polls")

    def __init__(self):
        self.incarnation = None
        self.next_offset = 0
        self._polls = 0

    def skip(self, incarnation):
        """Count a load poll; return whether to poll no cache events after it."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.next_offset = 0
        self._polls += 1
        return self._polls % (CACHE_EVENTS_INTERVAL_MS // LOAD_INTERVAL_MS) != 1


def parse_block_hash(prefix_hash):
    """Parse a hexadecimal prefix hash; return None if it is malformed."""
    try:
        return int(prefix_hash, 16) if len(prefix_hash) <= 16 else None
    except ValueError:
        return None
