"""Links with a bandwidth, and the VMs' messages over them."""

import asyncio
import zlib

from cassiamount.peer_transport import PeerUnreachable

# Heads of TCP, HTTP/2 and gRPC around one message.
MESSAGE_OVERHEAD_BYTES = 250
LATENCY_MS = 1.0


class Link:
    """One VM's connection to the network, full duplex and first in, first out."""

    def __init__(self, loop, bytes_per_ms):
        self._loop = loop
        self._bytes_per_ms = bytes_per_ms
        self._free_ms = {"out": 0.0, "in": 0.0}
        self.bytes = {"out": 0, "in": 0}
        self.longest_queue_ms = 0.0

    def pass_time_ms(self, direction, size):
        """Enter a message into the queue; return the time until it has passed."""
        now_ms = self._loop.true_ms
        begin_ms = max(now_ms, self._free_ms[direction])
        self.longest_queue_ms = max(self.longest_queue_ms, begin_ms - now_ms)
        self._free_ms[direction] = begin_ms + size / self._bytes_per_ms
        self.bytes[direction] += size
        return self._free_ms[direction] - now_ms


class Network:
    """The links of all VMs; other machines have unlimited ones."""

    def __init__(self, loop):
        self._loop = loop
        self.links = {}
        # Names of VMs that no message reaches or leaves.
        self.cut = set()
        # Pairs of zones without a path.
        self.zones = {}
        self.cut_zones = set()
        # VMs that no message reaches or leaves from "peers" or from the "store".
        self.cut_from = {"peers": set(), "store": set()}
        # VM that stands still -> future that is done when it goes on.
        self.frozen = {}

    def reaches(self, source, target):
        """Return whether messages pass between two machines."""
        if source in self.cut or target in self.cut:
            return False
        kind = "store" if "store" in (source, target) else "peers"
        if (kind == "store" or {source, target} <= self.links.keys()) and (
            not self.cut_from[kind].isdisjoint((source, target))
        ):
            return False
        zones = {self.zones.get(source), self.zones.get(target)}
        return len(zones) < 2 or None in zones or not zones & self.cut_zones

    async def transfer(self, source, target, size):
        """Wait until a message has passed both links; for ever if it cannot."""
        if not self.reaches(source, target):
            await self._loop.create_future()
        for name in (source, target):
            if name in self.frozen:
                await asyncio.shield(self.frozen[name])
        for name, direction in ((source, "out"), (target, "in")):
            link = self.links.get(name)
            if link is not None:
                await asyncio.sleep(link.pass_time_ms(direction, size) / 1000)
        await asyncio.sleep(LATENCY_MS / 1000)


def wire_size(data):
    """Return the bytes of a compressed message on the network."""
    return len(zlib.compress(data, 1)) + MESSAGE_OVERHEAD_BYTES


class WorldTransport:
    """`PeerTransport` over the modelled links."""

    def __init__(self, network, servers, vm):
        self._network = network
        self._servers = servers
        self._vm = vm
        self._address = None

    async def start(self, address, handle):
        self._address = address
        self._servers[address] = (self._vm, handle)

    def connect(self, address):
        return WorldChannel(self._network, self._servers, self._vm, address)

    async def close(self, grace_s):
        self._servers.pop(self._address, None)


class WorldChannel:
    """`PeerChannel` over the modelled links."""

    def __init__(self, network, servers, vm, address):
        self._network = network
        self._servers = servers
        self._vm = vm
        self._address = address
        # Delivery of the last report to a VM that stands still.
        self._late = None

    async def call(self, data, timeout_ms):
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                target, _ = self._servers.get(self._address, (None, None))
                if target is None:
                    raise PeerUnreachable("refused")
                if target in self._network.frozen:
                    # Its machine keeps what arrives, although the sender gives up.
                    self._late = asyncio.create_task(self._deliver(data))
                    return await asyncio.shield(self._late)
                return await self._deliver(data)
        except TimeoutError as error:
            raise PeerUnreachable("timeout") from error

    async def _deliver(self, data):
        target, handle = self._servers[self._address]
        await self._network.transfer(self._vm, target, wire_size(data))
        reply = await handle(data)
        await self._network.transfer(target, self._vm, wire_size(reply))
        return reply

    async def close(self):
        return None
