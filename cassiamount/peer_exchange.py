"""Exchanges reports with the other VMs of a fleet."""

import asyncio

import structlog

from .fleet_reports import decode_report, encode_report
from .peer_transport import PeerUnreachable
from .processor_time import REPORT

# An exchange without a reply by then counts as failed.
REPLY_TIMEOUT_MS = 400.0
# A requested exchange begins after this delay, so that several requests share it.
COALESCING_DELAY_MS = 4.0
# Minimum interval of the exchanges with one peer in a large fleet.
MIN_INTERVAL_MS = 50.0
# Interval of attempts to reach a VM that has sent no report yet or does not reply.
RETRY_PERIOD_MS = 1_000.0
# The same for the first attempts after a failure.
QUICK_RETRY_MS = 150.0
# Failures in a row after which another VM takes the place of a relay.
MAX_FAILURES = 2
# Report periods without a report after which the passive side of a link sends one.
PASSIVE_SIDE_PERIODS = 2.0
# Interval at which links are made and removed.
LINK_REVIEW_MS = 250.0

log = structlog.get_logger()


class PeerExchange:
    """Exchanges reports with all known VMs, periodically and on request.

    Parameters
    ----------
    address : str
        Address on which this VM listens.
    transport : PeerTransport
    peers : PeerTable
    build_report : callable
        ``(name) -> VmReport`` for the peer of that name.
    on_report : callable
        Called with each `VmReport` received.
    clock : SystemClock or ManualClock
    stats : IntervalStats
    processor : ProcessorTime
    """

    def __init__(
        self,
        address,
        transport,
        peers,
        build_report,
        on_report,
        clock,
        stats,
        processor,
    ):
        self._processor = processor
        self._address = address
        self.transport = transport
        self._peers = peers
        self._build_report = build_report
        self._on_report = on_report
        self._clock = clock
        self.stats = stats
        self._links = {}
        self._exchange_requested = asyncio.Event()
        self._requested_vms = set()
        self.stopping = False

    async def start(self):
        """Serve the reports of other VMs."""
        await self.transport.start(self._address, self._handle_report)

    async def close(self):
        """Stop serving and close all links."""
        for link in self._links.values():
            link.close()
        closing = [link.channel.close() for link in self._links.values()]
        await asyncio.gather(self.transport.close(0.1), *closing)

    def exchange_soon(self, vm=None):
        """Request an exchange before the next period, with one VM or with all."""
        self._requested_vms.add(vm)
        self._exchange_requested.set()

    async def run(self):
        """Keep the links that this VM needs, and start the requested exchanges."""
        while True:
            self._update_links()
            try:
                async with asyncio.timeout(LINK_REVIEW_MS / 1000):
                    await self._exchange_requested.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(COALESCING_DELAY_MS / 1000)
            self._exchange_requested.clear()
            requested, self._requested_vms = self._requested_vms, set()
            self._update_links()
            if None in requested:
                requested |= self._links.keys()
            for name in requested:
                link = self._links.get(name) or self._open_link(name)
                if link is not None:
                    link.wake.set()

    def _update_links(self):
        places = self._peers.places
        for name in self._peers.topology.linked(places):
            self._open_link(name)
        for name, link in list(self._links.items()):
            place = places.get(name)
            if place is None or place.address != link.address:
                self._links.pop(name).close()

    def _open_link(self, name):
        """Return the link to a VM, or None if its address is not known."""
        link = self._links.get(name)
        place = self._peers.places.get(name)
        if link is not None or place is None:
            return link
        link = self._links[name] = _PeerLink(name, place.address, self)
        return link

    async def _handle_report(self, data):
        with self._processor.measure(REPORT):
            try:
                report = decode_report(data)
            except ValueError as error:
                log.warning("peer_report_unreadable", error=str(error))
                raise
            self._on_report(report)
            reply = encode_report(self._build_report(report.vm))
        self.stats.count("exchanges_answered")
        self.stats.count("report_bytes_in", len(data))
        self.stats.count("report_bytes_out", len(reply))
        return reply

    async def exchange(self, name, channel):
        """Send a report to a peer and apply its reply.

        Raises
        ------
        PeerUnreachable
        """
        with self._processor.measure(REPORT):
            data = encode_report(self._build_report(name))
        sent_ms = self.now_ms()
        self.stats.count("report_bytes_out", len(data))
        try:
            reply = await channel.call(data, REPLY_TIMEOUT_MS)
        except PeerUnreachable:
            self.stats.count("exchanges_failed")
            raise
        self.stats.observe_ms("exchange", self.now_ms() - sent_ms)
        self.stats.count("exchanges")
        self.stats.count("report_bytes_in", len(reply))
        with self._processor.measure(REPORT):
            try:
                self._on_report(decode_report(reply))
            except ValueError as error:
                log.warning("peer_report_unreadable", error=str(error))

    def on_outcome(self, name, failures):
        """Use or leave a VM as a relay, by the number of failures in a row."""
        if failures in (0, MAX_FAILURES) and self._peers.set_failing(
            name, failures > 0
        ):
            log.info("peer_failing" if failures else "peer_replies", peer=name)
            relay = self._peers.topology.relay
            if relay is not None:
                self.exchange_soon(relay)

    def next_report_ms(self, name, failures):
        """Return the time until the next report to a peer; None for none on its own.

        Of two VMs of which neither is the other's relay, the one whose name sorts first
        sends its report, and the other one replies with its own. The passive side sends
        a report only if it has received none for some periods.
        """
        topology = self._peers.topology
        if name not in topology.linked(self._peers.places):
            return None
        if failures:
            return QUICK_RETRY_MS if failures <= MAX_FAILURES else RETRY_PERIOD_MS
        if name in topology.preferred:
            return RETRY_PERIOD_MS
        period_ms = self._peers.period_ms(name)
        if self._peers.link(name) is None:
            return min(RETRY_PERIOD_MS, 3 * period_ms)
        if self.is_passive(name):
            return PASSIVE_SIDE_PERIODS * period_ms
        return period_ms

    def is_passive(self, name):
        """Return whether a peer sends the reports on the link to it."""
        return name != self._peers.topology.relay and name < self._peers.own_name

    def min_interval_ms(self):
        """Return the minimum interval of the exchanges with one peer."""
        return 0.0 if self._peers.topology.is_mesh else MIN_INTERVAL_MS

    def now_ms(self):
        """Return the monotonic time."""
        return self._clock.monotonic_ms()

    def last_report_age_ms(self, name):
        """Return the time since the last report of a peer."""
        link = self._peers.link(name)
        return float("inf") if link is None else self.now_ms() - link.heard_ms


class _PeerLink:
    """Sends reports to one peer, one at a time."""

    def __init__(self, name, address, exchange):
        self.name = name
        self.address = address
        self.wake = asyncio.Event()
        self.channel = exchange.transport.connect(address)
        self._exchange = exchange
        self.task = asyncio.create_task(self._run(), name=f"link/{name}")

    def close(self):
        """Send no more reports."""
        self.task.cancel()

    async def _run(self):
        failures = 0
        while True:
            try:
                failures = await self._step(failures)
            except Exception as error:
                # No failure may end the link to a peer.
                log.error("exchange_failed", peer=self.name, error=repr(error))
                failures += 1
                await asyncio.sleep(QUICK_RETRY_MS / 1000)

    async def _step(self, failures):
        """Wait for the next report and send it; return the failures in a row."""
        exchange = self._exchange
        next_report_ms = exchange.next_report_ms(self.name, failures)
        woken = await self._wait(next_report_ms)
        if not woken and (
            next_report_ms is None
            or (
                exchange.is_passive(self.name)
                and exchange.last_report_age_ms(self.name) < next_report_ms
            )
        ):
            return failures
        begun_ms = exchange.now_ms()
        try:
            await exchange.exchange(self.name, self.channel)
            failures = 0
        except PeerUnreachable:
            failures += 1
        except Exception as error:
            # A reply that cannot be applied.
            log.error("exchange_failed", peer=self.name, error=repr(error))
            failures += 1
        exchange.on_outcome(self.name, failures)
        rest_ms = begun_ms + exchange.min_interval_ms() - exchange.now_ms()
        await asyncio.sleep(max(0.0, rest_ms) / 1000)
        return failures

    async def _wait(self, next_report_ms):
        """Return whether an exchange was requested within the given time."""
        timeout_ms = LINK_REVIEW_MS if next_report_ms is None else next_report_ms
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self.wake.wait()
                return True
        except TimeoutError:
            return False
        finally:
            self.wake.clear()
