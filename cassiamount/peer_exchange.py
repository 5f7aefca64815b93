"""Sends this VM's reports to the other VMs by gRPC and takes theirs."""

import asyncio

import grpc
import structlog

from .fleet_reports import decode_report, encode_report

METHOD = "/cassiamount.Fleet/Exchange"
# A peer that does not answer by then is not there.
REPLY_TIMEOUT_MS = 400.0
# An exchange that was asked for begins after this, so that several causes share it,
# and for each link of a large fleet.
COALESCING_DELAY_MS = 4.0
COALESCING_DELAY_PER_LINK_MS = 0.5
# Peers that never answered are tried less often.
UNKNOWN_PEER_PERIOD_MS = 1_000.0
# Intervals after which the VM that only answers begins by itself.
PASSIVE_SIDE_PERIODS = 2.0
OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_http_proxy", 0),
    ("grpc.keepalive_time_ms", 1_000),
    ("grpc.keepalive_timeout_ms", 1_000),
    ("grpc.http2.max_pings_without_data", 0),
)

log = structlog.get_logger()


class PeerExchange:
    """Exchanges reports with all known VMs.

    Parameters
    ----------
    address : str
        Where this VM listens.
    peers : PeerTable
    build_report : callable
        ``(name) -> VmReport`` for the peer of that name.
    on_report : callable
        Called with each `VmReport` that arrives.
    clock : SystemClock or ManualClock
    """

    def __init__(self, address, peers, build_report, on_report, clock):
        self._address = address
        self._peers = peers
        self._build_report = build_report
        self._on_report = on_report
        self._clock = clock
        self._links = {}
        self._server = None
        self._exchange_requested = asyncio.Event()
        self._requested_vms = set()
        self.stopping = False

    async def start(self):
        """Begin to listen."""
        self._server = grpc.aio.server(compression=grpc.Compression.Deflate)
        handler = grpc.method_handlers_generic_handler(
            "cassiamount.Fleet",
            {"Exchange": grpc.unary_unary_rpc_method_handler(self._handle_report)},
        )
        self._server.add_generic_rpc_handlers((handler,))
        self._server.add_insecure_port(self._address)
        await self._server.start()

    async def close(self):
        """Stop listening and close all links."""
        for link in self._links.values():
            link.task.cancel()
        closing = [link.channel.close() for link in self._links.values()]
        await asyncio.gather(self._server.stop(0.1), *closing)

    def exchange_soon(self, vm=None):
        """Report at once, to one VM or to all."""
        self._requested_vms.add(vm)
        self._exchange_requested.set()

    async def run(self):
        """Keep a link to each known VM."""
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

    async def _handle_report(self, data, context):
        try:
            report = decode_report(data)
        except ValueError as error:
            log.warning("peer_report_unreadable", error=str(error))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "no report")
        self._on_report(report)
        return encode_report(self._build_report(report.vm))

    def on_reply(self, data):
        """Take a peer's reply to this VM's report."""
        try:
            self._on_report(decode_report(data))
        except ValueError as error:
            log.warning("peer_report_unreadable", error=str(error))

    def encode_report_for(self, name):
        """Return the bytes of the next report to a peer."""
        return encode_report(self._build_report(name))

    def next_report_ms(self, name):
        """Return the time until the next report to a peer.

        The VM with the lesser name reports, and the other's report comes as the reply;
        the other one begins only when it hears nothing.
        """
        period_ms = self._peers.report_period_ms()
        known = self._peers.peers.get(name)
        if known is None:
            return min(UNKNOWN_PEER_PERIOD_MS, 3 * period_ms)
        if name < self._peers.own_name:
            return PASSIVE_SIDE_PERIODS * period_ms
        return period_ms

    def last_report_age_ms(self, name):
        """Return the time since a peer was heard."""
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
        self.channel = grpc.aio.insecure_channel(
            address, options=OPTIONS, compression=grpc.Compression.Deflate
        )
        self._exchange = exchange
        self.task = asyncio.create_task(self._run(), name=f"link/{name}")

    async def _run(self):
        call = self.channel.unary_unary(METHOD)
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
            try:
                reply = await call(
                    self._exchange.encode_report_for(self.name),
                    timeout=REPLY_TIMEOUT_MS / 1000,
                )
                self._exchange.on_reply(reply)
            except grpc.RpcError:
                # Silence shows in the peer table.
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
