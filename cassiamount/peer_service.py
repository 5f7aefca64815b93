"""gRPC server for the other VMs."""

import grpc
import orjson
import structlog

from . import peer_pb2 as pb
from . import peer_wire as wire
from .errors import AppendOutcomeUnknown, PlatformUnavailable
from .own_ports import add_grpc_port
from .peer_client import FORWARDED_METADATA
from .peer_pb2_grpc import PeerServicer, add_PeerServicer_to_server

MAX_CONCURRENT_CALLS = 1_000
MAX_APPENDED_VALUES = 500

log = structlog.get_logger()


class PeerHandlers:
    """What the service calls; the daemon joins the parts.

    All methods are coroutines. They get checked arguments.
    """

    async def grant(self, holder, asks, forwarded):
        """Return answers by team, or None if no team's bucket is owned here."""
        raise NotImplementedError

    async def take_report(self, holder, report, forwarded):
        """Apply a report; return False if its owner is not here."""
        raise NotImplementedError

    async def promise(self, holder, promiser, lease, fence, duration_ms):
        """Return a `PromiseReply`."""
        raise NotImplementedError

    async def read_stream(self, stream, from_offset, limit):
        """Return a `StreamPage` or `LogPage`, or None."""
        raise NotImplementedError

    async def append(self, stream, values):
        """Append JSON values to the log and return their offsets."""
        raise NotImplementedError

    async def snapshot(self, stream):
        """Return a `StreamSnapshot` or None."""
        raise NotImplementedError

    async def probe(self):
        """Return the `ProbeInfo` of this VM."""
        raise NotImplementedError


class PeerService(PeerServicer):
    """Checks messages, calls the handlers, and turns failures into statuses.

    Parameters
    ----------
    handlers : PeerHandlers
    """

    def __init__(self, handlers):
        self._handlers = handlers

    async def Grant(self, request, context):  # noqa: N802
        """Lend blocks of tokens."""
        return await self._serve(self._grant, request, context)

    async def Report(self, request, context):  # noqa: N802
        """Apply uses and refunds."""
        return await self._serve(self._report, request, context)

    async def Promise(self, request, context):  # noqa: N802
        """Promise not to claim a lease."""
        return await self._serve(self._promise, request, context)

    async def ReadStream(self, request, context):  # noqa: N802
        """Read records for a VM that cannot reach the log."""
        return await self._serve(self._read_stream, request, context)

    async def Append(self, request, context):  # noqa: N802
        """Append records for a VM that cannot reach the log."""
        return await self._serve(self._append, request, context)

    async def Snapshot(self, request, context):  # noqa: N802
        """Return the state of a fold."""
        return await self._serve(self._snapshot, request, context)

    async def Probe(self, request, context):  # noqa: N802
        """Say who answers here."""
        return await self._serve(self._probe, request, context)

    async def _serve(self, handle, request, context):
        try:
            return await handle(request, context)
        except wire.InvalidMessage as error:
            status, detail = grpc.StatusCode.INVALID_ARGUMENT, str(error)
        except PlatformUnavailable as error:
            status, detail = grpc.StatusCode.UNAVAILABLE, str(error)
        except Exception as error:
            log.exception("peer_call_failed", call=handle.__name__, error=str(error))
            status, detail = grpc.StatusCode.INTERNAL, type(error).__name__
        await context.abort(status, detail)

    async def _grant(self, request, context):
        asks = wire.parse_asks(request)
        answers = await self._handlers.grant(
            request.holder, asks, is_forwarded(context)
        )
        return wire.grant_reply(answers)

    async def _report(self, request, context):
        report = wire.parse_report(request)
        owner = await self._handlers.take_report(
            request.holder, report, is_forwarded(context)
        )
        return pb.ReportReply(owner=owner, sequence=request.sequence)

    async def _promise(self, request, context):
        for name in ("holder", "promiser", "lease"):
            wire.require_text(getattr(request, name), name)
        wire.require_tokens(request.fence, "fence")
        wire.require_duration(request.duration_ms, "duration_ms")
        answer = await self._handlers.promise(
            request.holder,
            request.promiser,
            request.lease,
            request.fence,
            request.duration_ms,
        )
        return pb.PromiseReply(promised=answer.promised, reason=answer.reason)

    async def _read_stream(self, request, context):
        wire.require_text(request.stream, "stream")
        wire.require_tokens(request.from_offset, "from_offset")
        limit = max(1, min(request.limit, wire.MAX_PAGE_RECORDS))
        page = await self._handlers.read_stream(
            request.stream, request.from_offset, limit
        )
        reply = pb.ReadStreamReply(available=page is not None)
        if page is not None:
            reply.earliest, reply.next = page.earliest, page.next_offset
            add_records(reply, page.records)
        return reply

    async def _append(self, request, context):
        wire.require_text(request.stream, "stream")
        if not 0 < len(request.values) <= MAX_APPENDED_VALUES:
            raise wire.InvalidMessage(f"values has {len(request.values)} items")
        try:
            values = [orjson.loads(value) for value in request.values]
        except ValueError as error:
            raise wire.InvalidMessage(f"a value is no JSON: {error}") from error
        try:
            offsets = await self._handlers.append(request.stream, values)
        except PlatformUnavailable:
            return pb.AppendReply(outcome="unavailable")
        except AppendOutcomeUnknown:
            return pb.AppendReply(outcome="unknown")
        return pb.AppendReply(outcome="appended", offsets=offsets)

    async def _snapshot(self, request, context):
        wire.require_text(request.stream, "stream")
        snapshot = await self._handlers.snapshot(request.stream)
        if snapshot is None:
            return pb.SnapshotReply(available=False)
        return pb.SnapshotReply(
            available=True,
            covers_offset=snapshot.covers_offset,
            state=orjson.dumps(snapshot.state),
        )

    async def _probe(self, request, context):
        wire.require_text(request.vm, "vm")
        info = await self._handlers.probe()
        return pb.ProbeReply(
            vm=info.vm,
            zone=info.zone,
            log_reachable=info.log_reachable,
            leaving=info.leaving,
            next_offsets=info.next_offsets,
            leaving_backends=info.leaving_backends,
            withdrawn_key_hashes=info.withdrawn_key_hashes,
            demand_tokens=info.demand_tokens,
        )


def is_forwarded(context):
    """Whether a call was passed on by another VM of the owner's zone."""
    name, value = FORWARDED_METADATA[0]
    return (name, value) in [tuple(item) for item in context.invocation_metadata()]


def add_records(reply, records):
    """Add records to a page until the message is full."""
    size_bytes = 0
    for offset, value in records:
        text = orjson.dumps(value)
        size_bytes += len(text) + 64
        if size_bytes > wire.MAX_MESSAGE_BYTES // 2 and reply.records:
            return
        reply.records.add(offset=offset, value=text)


def make_server(handlers, address):
    """Return a server that is not started yet and its port.

    Parameters
    ----------
    handlers : PeerHandlers
    address : str
        ``<host>:<port>``; port 0 picks a free one.

    Returns
    -------
    tuple of (grpc.aio.Server, int)

    Raises
    ------
    OSError
        If the port cannot be opened.
    """
    # Leases rely on one process for each address: without this option a second one
    # could listen there as well.
    options = (*wire.CHANNEL_OPTIONS, ("grpc.so_reuseport", 0))
    server = grpc.aio.server(
        options=options, maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS
    )
    add_PeerServicer_to_server(PeerService(handlers), server)
    return server, add_grpc_port(server, address)
