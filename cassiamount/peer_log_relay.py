"""Reads and appends to the log through peers while this VM cannot reach it."""

import random

from .errors import AppendOutcomeUnknown, OffsetTrimmed, PlatformUnavailable
from .follower import Snapshot
from .log_client import LogPage
from .peer_messages import PeerUnavailable

# A call asks at most this many peers, one after the other, before it fails.
MAX_PEERS_TRIED = 4


class PeerLogRelay:
    """Relays reads and appends through peers that reach the log.

    Parameters
    ----------
    vm : str
        Identity of this VM.
    client : PeerClient
    addresses : callable
        Returns the addresses of all peers.
    own_zone_addresses : callable
        Returns the addresses of the peers in this VM's availability zone. They are
        asked first, and only they hold the zone's state.
    rng : random.Random, optional
    """

    def __init__(self, vm, client, addresses, own_zone_addresses, rng=None):
        self._vm = vm
        self._client = client
        self._addresses = addresses
        self._own_zone_addresses = own_zone_addresses
        self._rng = random.Random() if rng is None else rng

    async def read_stream(self, stream, from_offset, limit):
        """Return a page that a peer has just read from the log.

        Raises
        ------
        OffsetTrimmed
        PlatformUnavailable
            No peer reaches the log.
        """
        for address in self._select_peers(self._addresses()):
            try:
                page = await self._client.read_stream(
                    address, stream, from_offset, limit
                )
            except PeerUnavailable:
                continue
            if page is None:
                continue
            if page.earliest > from_offset:
                raise OffsetTrimmed(stream, page.earliest)
            return LogPage(page.records, page.earliest, page.next_offset)
        raise PlatformUnavailable("no peer reaches the log")

    async def snapshot(self, stream):
        """Return the most recent `Snapshot` of a stream among the peers asked.

        Raises
        ------
        PlatformUnavailable
            No peer that was asked holds the stream's state.
        """
        best = None
        in_zone = stream.startswith("zone-")
        addresses = self._own_zone_addresses() if in_zone else self._addresses()
        for address in self._select_peers(addresses):
            try:
                found = await self._client.snapshot(address, stream)
            except PeerUnavailable:
                continue
            if found is not None and (
                best is None or found.covers_offset > best.covers_offset
            ):
                best = Snapshot(found.covers_offset, found.state)
        if best is None:
            raise PlatformUnavailable("no peer holds the stream's state")
        return best

    async def append(self, stream, values):
        """Append through a peer that reports that it reaches the log.

        Returns
        -------
        list of int

        Raises
        ------
        PlatformUnavailable
            The records are certainly not in the log.
        AppendOutcomeUnknown
            The peer did not respond or failed, so the records may be in the log.
        """
        for address in self._select_peers(self._addresses()):
            try:
                info = await self._client.probe(address, self._vm)
            except PeerUnavailable:
                continue
            if not info.log_reachable:
                continue
            try:
                return await self._client.append(address, stream, values)
            except PlatformUnavailable:
                continue
            except PeerUnavailable as error:
                raise AppendOutcomeUnknown(str(error)) from error
        raise PlatformUnavailable("no peer reaches the log")

    def _select_peers(self, addresses):
        addresses = list(addresses)
        same_zone = set(self._own_zone_addresses())
        self._rng.shuffle(addresses)
        addresses.sort(key=lambda address: address not in same_zone)
        return addresses[:MAX_PEERS_TRIED]
