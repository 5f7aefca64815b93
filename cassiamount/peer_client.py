"""gRPC client of the other VMs: one channel for each peer."""

import asyncio

import grpc
import orjson

from . import peer_pb2 as pb
from . import peer_wire as wire
from .errors import AppendOutcomeUnknown, PlatformUnavailable
from .lease_commands import PromiseReply
from .peer_messages import PeerUnavailable, ProbeInfo, StreamPage, StreamSnapshot
from .peer_pb2_grpc import PeerStub
from .timing import at_most_ms

CALL_TIMEOUT_MS = 500
# Appends wait for the peer's append to the log; pages and snapshots are large.
SLOW_CALL_TIMEOUT_MS = 5_000
FORWARDED_METADATA = (("cassiamount-forwarded", "1"),)


class PeerClient:
    """Calls to other VMs by address.

    Every method raises `PeerUnavailable` if the peer does not answer in time or its
    answer is malformed, unless stated otherwise.

    Parameters
    ----------
    clock : SystemClock or ManualClock
    call_timeout_ms : float
    """

    def __init__(self, clock, call_timeout_ms=CALL_TIMEOUT_MS):
        self._clock = clock
        self._call_timeout_ms = call_timeout_ms
        self._channels = {}

    async def grant(self, address, holder, asks, forwarded=False):
        """Ask an owner for blocks.

        Returns
        -------
        dict of str to Grant or Shortage, or None
            By team, with deadlines on this VM's clock. None if the peer is no owner.
        """
        sent_ms = self._clock.monotonic_ms()
        request = wire.grant_request(holder, asks)
        reply = await self._call(address, "Grant", request, forwarded=forwarded)
        return self._parse(wire.parse_grant_reply, reply, sent_ms, at_most_ms)

    async def report(self, address, holder, report, forwarded=False):
        """Send a report.

        Returns
        -------
        bool
            False if the peer is not the owner that the report is for.
        """
        request = wire.report_request(holder, report)
        reply = await self._call(address, "Report", request, forwarded=forwarded)
        return reply.owner

    async def refuses(self, address):
        """Return whether nothing listens on an address.

        Only a refusal by the address's own host counts; silence says nothing.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._call_timeout_ms / 1000):
                _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    async def promise(self, address, ask, promiser):
        """Ask one VM for a promise.

        Parameters
        ----------
        address : str
        ask : RequestPromises
        promiser : str
            Identity of the VM that is meant.

        Returns
        -------
        PromiseReply
        """
        request = pb.PromiseRequest(
            holder=ask.holder,
            promiser=promiser,
            lease=ask.lease,
            fence=ask.fence,
            duration_ms=ask.duration_ms,
        )
        reply = await self._call(address, "Promise", request)
        return PromiseReply(reply.promised, reply.reason)

    async def read_stream(self, address, stream, from_offset, limit):
        """Read records through a peer.

        Returns
        -------
        StreamPage or None
            None if the peer cannot serve the stream from that offset.
        """
        request = pb.ReadStreamRequest(
            stream=stream, from_offset=from_offset, limit=limit
        )
        reply = await self._call(address, "ReadStream", request, SLOW_CALL_TIMEOUT_MS)
        if not reply.available:
            return None
        records = [
            (record.offset, self._parse(orjson.loads, record.value))
            for record in reply.records
        ]
        return StreamPage(records, reply.earliest, reply.next)

    async def append(self, address, stream, values):
        """Append JSON values through a peer.

        Returns
        -------
        list of int

        Raises
        ------
        PlatformUnavailable
            The records are certainly not in the log by this call.
        AppendOutcomeUnknown
        """
        request = pb.AppendRequest(
            stream=stream, values=[orjson.dumps(value) for value in values]
        )
        try:
            reply = await self._call(address, "Append", request, SLOW_CALL_TIMEOUT_MS)
        except PeerUnavailable as error:
            # The peer may have received the request, whatever the status says.
            raise AppendOutcomeUnknown(str(error)) from error
        if reply.outcome == "appended":
            return list(reply.offsets)
        if reply.outcome == "unavailable":
            raise PlatformUnavailable(f"peer {address} cannot reach the log")
        raise AppendOutcomeUnknown(f"peer {address}: outcome {reply.outcome!r:.40}")

    async def snapshot(self, address, stream):
        """Return the `StreamSnapshot` of a peer's fold, or None if it has none."""
        request = pb.SnapshotRequest(stream=stream)
        reply = await self._call(address, "Snapshot", request, SLOW_CALL_TIMEOUT_MS)
        if not reply.available:
            return None
        state = self._parse(orjson.loads, reply.state)
        return StreamSnapshot(reply.covers_offset, state)

    async def probe(self, address, vm):
        """Return the `ProbeInfo` of a peer.

        Parameters
        ----------
        address : str
        vm : str
            Identity of this VM.
        """
        reply = await self._call(address, "Probe", pb.ProbeRequest(vm=vm))
        return ProbeInfo(
            reply.vm,
            reply.zone,
            reply.log_reachable,
            reply.leaving,
            dict(reply.next_offsets),
            reply.leaving_backends,
            reply.withdrawn_key_hashes,
            dict(reply.demand_tokens),
        )

    async def keep_only(self, addresses):
        """Close the channels to peers that are not in `addresses`."""
        for address in self._channels.keys() - set(addresses):
            channel, _ = self._channels.pop(address)
            await channel.close()

    async def close(self):
        """Close all channels."""
        await self.keep_only(())

    async def _call(self, address, method, request, timeout_ms=None, forwarded=False):
        stub = self._stub(address)
        try:
            return await getattr(stub, method)(
                request,
                timeout=(timeout_ms or self._call_timeout_ms) / 1000,
                metadata=FORWARDED_METADATA if forwarded else None,
            )
        except grpc.aio.AioRpcError as error:
            detail = f"{method} at {address}: {error.code().name} {error.details()}"
            raise PeerUnavailable(detail) from error
        except asyncio.CancelledError:
            # The call is also cancelled if its channel is closed by `keep_only`.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise PeerUnavailable(f"{method} at {address}: closed") from None
        except grpc.aio.UsageError as error:
            raise PeerUnavailable(f"{method} at {address}: closed") from error

    def _stub(self, address):
        if address not in self._channels:
            channel = grpc.aio.insecure_channel(address, options=wire.CHANNEL_OPTIONS)
            self._channels[address] = channel, PeerStub(channel)
        return self._channels[address][1]

    def _parse(self, parse, *arguments):
        try:
            return parse(*arguments)
        except ValueError as error:
            raise PeerUnavailable(f"malformed answer: {error}") from error
