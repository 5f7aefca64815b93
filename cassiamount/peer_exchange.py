"""Exchanges reports with the other VMs of a fleet."""

import asyncio

import structlog

from .fleet_reports import decode_report, encode_report
from .peer_transport import PeerUnreachable

# An exchange without a reply by then counts as failed.
REPLY_TIMEOUT_MS = 400.0
# A requested exchange begins after this delay, so that several requests share it. The
# second part is added for each link in a large fleet.
COALESCING_DELAY_MS = 4.0
COALESCING_DELAY_PER_LINK_MS = 0.5
# Maximum interval of attempts to reach a peer that has sent no report yet.
UNKNOWN_PEER_PERIOD_MS = 1_000.0
# Report periods without a report after which the passive side of a link sends one.
PASSIVE_SIDE_PERIODS = 2.0

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
    """

    def __init__(
        self, address, transport, peers, build_report, on_report, clock, stats
    ):
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
            link.task.cancel()
        closing = [link.channel.close() for link in self._links.values()]
        await asyncio.gather(self.transport.close(0.1), *closing)

    def exchange_soon(self, vm=None):
        """Request an exchange before the next period, with one VM or with all."""
        self._requested_vms.add(vm)
        self._exchange_requested.set()

    async def run(self):
        """Keep a link to each known VM, and start the requested exchanges."""
        while True:
            self._update_links()
            try:
                async with asyncio.timeout(0.25):
                    await self._exchange_requested.wait()
            except TimeoutError:
                continue
            delay_ms = max(
                COALESCING_DELAY_MS, COALESCING_DELAY_PER_LINK_MS * len(self._links)
            )
            await asyncio.sleep(delay_ms / 1000)
            self._exchange_requested.clear()
            targets, self._requested_vms = self._requested_vms, set()
            for name, link in self._links.items():
                if None in targets or name in targets:
                    link.wake.set()

    def _update_links(self):
        for name, address in self._peers.addresses.items():
            if name == self._peers.own_name:
                continue
            link = self._links.get(name)
            if link is not None and link.address == address:
                continue
            if link is not None:
                link.task.cancel()
            self._links[name] = _PeerLink(name, address, self)
        for name in set(self._links) - set(self._peers.addresses):
            self._links.pop(name).task.cancel()

    async def _handle_report(self, data):
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

    def on_reply(self, data):
        """Apply the report with which a peer replied to this VM's report."""
        try:
            self._on_report(decode_report(data))
        except ValueError as error:
            log.warning("peer_report_unreadable", error=str(error))

    def encode_report_for(self, name):
        """Return the next report to a peer, encoded."""
        return encode_report(self._build_report(name))

    def next_report_ms(self, name):
        """Return the time until the next report to a peer.

        Of two VMs, the one whose name sorts first is the active side of the link: it
        sends its report, and the other one replies with its own. The passive side
        sends a report only if it has received none for some periods.
        """
        period_ms = self._peers.report_period_ms()
        known = self._peers.peers.get(name)
        if known is None:
            return min(UNKNOWN_PEER_PERIOD_MS, 3 * period_ms)
        if name < self._peers.own_name:
            return PASSIVE_SIDE_PERIODS * period_ms
        return period_ms

    def now_ms(self):
        """Return the monotonic time."""
        return self._clock.monotonic_ms()

    def last_report_age_ms(self, name):
        """Return the time since the last report of a peer."""
        known = self._peers.peers.get(name)
        if known is None:
            return float("inf")
        return self._clock.monotonic_ms() - known.last_report_ms


class _PeerLink:
    """Sends reports to one peer."""

    def __init__(self, name, address, exchange):
        self.name = name
        self.address = address
        self.wake = asyncio.Event()
        self.channel = exchange.transport.connect(address)
        self._exchange = exchange
        self.task = asyncio.create_task(self._run(), name=f"link/{name}")

    async def _run(self):
        while True:
            next_report_ms = self._exchange.next_report_ms(self.name)
            woken = await self._wait(next_report_ms)
            passive = self.name < self._exchange._peers.own_name
            if (
                passive
                and not woken
                and self._exchange.last_report_age_ms(self.name) < next_report_ms
            ):
                continue
            stats = self._exchange.stats
            data = self._exchange.encode_report_for(self.name)
            sent_ms = self._exchange.now_ms()
            stats.count("report_bytes_out", len(data))
            try:
                reply = await self.channel.call(data, REPLY_TIMEOUT_MS)
                stats.observe_ms("exchange", self._exchange.now_ms() - sent_ms)
                stats.count("exchanges")
                stats.count("report_bytes_in", len(reply))
                self._exchange.on_reply(reply)
            except PeerUnreachable:
                # The peer table detects unreachable peers by the age of their reports.
                stats.count("exchanges_failed")
                continue

    async def _wait(self, next_report_ms):
        try:
            async with asyncio.timeout(next_report_ms / 1000):
                await self.wake.wait()
                return True
        except TimeoutError:
            return False
        finally:
            self.wake.clear()
