"""Sends this VM's reports to the other VMs by gRPC and takes theirs."""

import asyncio

import grpc
import structlog

from .fleet_reports import decode_report, encode_report

METHOD = "/cassiamount.Fleet/Exchange"
# A peer that does not answer by then is not there.
ANSWER_MS = 400.0
# An exchange that was asked for begins after this, so that several causes share it,
# and for each link of a large fleet.
SOON_MS = 4.0
SOON_MS_PER_LINK = 0.5
# Peers that never answered are tried less often.
UNHEARD_PERIOD_MS = 1_000.0
# Intervals after which the VM that only answers begins by itself.
PASSIVE_PERIODS = 2.0
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
        self._soon = asyncio.Event()
        self._soon_to = set()
        self.stopping = False

    async def start(self):
        """Begin to listen."""
        self._server = grpc.aio.server(compression=grpc.Compression.Deflate)
        handler = grpc.method_handlers_generic_handler(
            "cassiamount.Fleet",
            {"Exchange": grpc.unary_unary_rpc_method_handler(self._answer)},
        )
        self._server.add_generic_rpc_handlers((handler,))
        self._server.add_insecure_port(self._address)
        await self._server.start()

    async def close(self):
        """Stop listening and close all links."""
        for link in self._links.values():
            link.task.cancel()
        channels = [link.channel.close() for link in self._links.values()]
        await asyncio.gather(self._server.stop(0.1), *channels)

    def exchange_soon(self, vm=None):
        """Report at once, to one VM or to all."""
        self._soon_to.add(vm)
        self._soon.set()

    async def run(self):
        """Keep a link to each known VM."""
        while True:
            self._update_links()
            try:
                async with asyncio.timeout(0.25):
                    await self._soon.wait()
            except TimeoutError:
                continue
            pause_ms = max(SOON_MS, SOON_MS_PER_LINK * len(self._links))
            await asyncio.sleep(pause_ms / 1000)
            self._soon.clear()
            targets, self._soon_to = self._soon_to, set()
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
            self._links[name] = _Link(name, address, self)
        for name in set(self._links) - set(self._peers.addresses):
            self._links.pop(name).task.cancel()

    async def _answer(self, data, context):
        try:
            report = decode_report(data)
        except ValueError as error:
            log.warning("peer_report_unreadable", error=str(error))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "no report")
        self._on_report(report)
        return encode_report(self._build_report(report.vm))

    def take_reply(self, data):
        """Take a peer's reply to this VM's report."""
        try:
            self._on_report(decode_report(data))
        except ValueError as error:
            log.warning("peer_report_unreadable", error=str(error))

    def report_for(self, name):
        """Return the bytes of the next report to a peer."""
        return encode_report(self._build_report(name))

    def due_ms(self, name):
        """Return the time until the next report to a peer.

        The VM with the lesser name reports, and the other's report comes as the reply;
        the other one begins only when it hears nothing.
        """
        period_ms = self._peers.period_ms()
        known = self._peers.peers.get(name)
        if known is None:
            return min(UNHEARD_PERIOD_MS, 3 * period_ms)
        if name < self._peers.own_name:
            return PASSIVE_PERIODS * period_ms
        return period_ms

    def heard_age_ms(self, name):
        """Return the time since a peer was heard."""
        known = self._peers.peers.get(name)
        if known is None:
            return float("inf")
        return self._clock.monotonic_ms() - known.heard_ms


class _Link:
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
            due_ms = self._exchange.due_ms(self.name)
            woken = await self._wait(due_ms)
            passive = self.name < self._exchange._peers.own_name
            if (
                passive
                and not woken
                and self._exchange.heard_age_ms(self.name) < due_ms
            ):
                continue
            try:
                reply = await call(
                    self._exchange.report_for(self.name), timeout=ANSWER_MS / 1000
                )
                self._exchange.take_reply(reply)
            except grpc.RpcError:
                # Silence shows in the peer table.
                continue

    async def _wait(self, due_ms):
        try:
            async with asyncio.timeout(due_ms / 1000):
                await self.wake.wait()
                return True
        except TimeoutError:
            return False
        finally:
            self.wake.clear()
