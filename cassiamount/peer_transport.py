"""Calls between the VMs of a fleet, over gRPC."""

import grpc

from .own_ports import add_grpc_port, open_when_free

METHOD = "/cassiamount.Fleet/Exchange"
OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_http_proxy", 0),
    ("grpc.keepalive_time_ms", 1_000),
    ("grpc.keepalive_timeout_ms", 1_000),
    ("grpc.http2.max_pings_without_data", 0),
)


class PeerUnreachable(Exception):
    """A call to another VM failed or got no reply in time."""


class PeerChannel:
    """Channel to one VM.

    Parameters
    ----------
    address : str
        ``IP:port``.
    """

    __slots__ = ("_channel", "_send")

    def __init__(self, address):
        self._channel = grpc.aio.insecure_channel(
            address, options=OPTIONS, compression=grpc.Compression.Deflate
        )
        self._send = self._channel.unary_unary(METHOD)

    async def call(self, data, timeout_ms):
        """Send a message and return the reply.

        Raises
        ------
        PeerUnreachable
        """
        try:
            return await self._send(data, timeout=timeout_ms / 1000)
        except grpc.RpcError as error:
            raise PeerUnreachable(error.code().name) from error

    async def close(self):
        """Close the channel."""
        await self._channel.close()


class PeerTransport:
    """Server for the calls of other VMs, and channels to them."""

    def __init__(self):
        self._server = None

    async def start(self, address, handle):
        """Serve calls, once the port is free.

        Parameters
        ----------
        address : str
        handle : callable
            ``async (bytes) -> bytes``; a ValueError rejects the call.
        """

        async def respond(data, context):
            try:
                return await handle(data)
            except ValueError as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

        # Two processes must not share the port: each would get a part of the reports.
        server = grpc.aio.server(
            options=(("grpc.so_reuseport", 0),), compression=grpc.Compression.Deflate
        )
        handler = grpc.method_handlers_generic_handler(
            "cassiamount.Fleet",
            {"Exchange": grpc.unary_unary_rpc_method_handler(respond)},
        )
        server.add_generic_rpc_handlers((handler,))
        await open_when_free("peers", address, lambda: add_grpc_port(server, address))
        self._server = server
        await server.start()

    def connect(self, address):
        """Return a `PeerChannel`."""
        return PeerChannel(address)

    async def close(self, grace_s):
        """Stop the server."""
        if self._server is not None:
            await self._server.stop(grace_s)
