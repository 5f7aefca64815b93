"""Answers to the calls of other VMs."""

from .errors import OffsetTrimmed
from .leases import MIN_LOG_OUTAGE_MS
from .peer_messages import ProbeInfo, StreamPage, StreamSnapshot
from .peer_service import PeerHandlers

READ_WAIT_MS = 0


class NodePeerHandlers(PeerHandlers):
    """Joins the parts of a VM that other VMs talk to.

    Parameters
    ----------
    identity : str
        ``<name>@<incarnation>``.
    zone : str
    streams : LogStreams
    log : LogClient
    coordinator : Coordinator
    view : NodeView
    demand : DemandCounter
    """

    def __init__(self, identity, zone, streams, log, coordinator, view, demand):
        self._identity = identity
        self._zone = zone
        self._streams = streams
        self._log = log
        self._coordinator = coordinator
        self._view = view
        self._demand = demand

    async def grant(self, holder, asks, forwarded):
        """Lend blocks of tokens."""
        return await self._coordinator.grant(holder, asks, forwarded)

    async def take_report(self, holder, report, forwarded):
        """Apply uses and refunds."""
        return await self._coordinator.take_report(holder, report, forwarded)

    async def promise(self, holder, promiser, lease, fence, duration_ms):
        """Promise not to claim a lease, if nothing speaks against it."""
        return await self._coordinator.promise(
            holder, promiser, lease, fence, duration_ms
        )

    async def read_stream(self, stream, from_offset, limit):
        """Read a page from the log for a VM that cannot reach it."""
        try:
            return await self._log.read(stream, from_offset, limit, READ_WAIT_MS)
        except OffsetTrimmed as error:
            # The caller sees that its offset is older than the earliest one.
            return StreamPage([], error.earliest, error.earliest)

    async def append(self, stream, values):
        """Append to the log for a VM that cannot reach it."""
        return await self._log.append(stream, values)

    async def snapshot(self, stream):
        """Return the state of a fold, or None if this VM has nothing to offer."""
        found = self._streams.by_name(stream)
        if found is None or found.fold.next_offset == 0:
            return None
        return StreamSnapshot(found.fold.next_offset - 1, found.fold.to_state())

    async def probe(self):
        """Say who this VM is and what it knows first-hand."""
        unreached_ms = self._streams.log_response_age_ms
        return ProbeInfo(
            self._identity,
            self._zone,
            log_reachable=unreached_ms < MIN_LOG_OUTAGE_MS,
            leaving=self._view.leaving,
            next_offsets={
                stream.name: stream.fold.next_offset for stream in self._streams
            },
            leaving_backends=self._coordinator.own_leaving_backends(),
            withdrawn_key_hashes=self._view.keys.withdrawn_here,
            demand_tokens=self._demand.totals(),
        )
