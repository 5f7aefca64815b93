"""Ports of the process that another process may still hold when it starts."""

import asyncio
import socket

import structlog

RETRY_MS = 100.0

log = structlog.get_logger()


async def open_when_free(name, address, open_port):
    """Open a port, again and again until that succeeds.

    Parameters
    ----------
    name : str
        What the port is for, in logs.
    address : str
    open_port : callable
        Raises OSError while the port cannot be opened.

    Returns
    -------
    object
        What `open_port` returns.
    """
    is_waiting = False
    while True:
        try:
            opened = open_port()
        except OSError as error:
            if not is_waiting:
                log.warning(
                    "port_awaited", port=name, address=address, error=str(error)
                )
            is_waiting = True
            await asyncio.sleep(RETRY_MS / 1000)
            continue
        if is_waiting:
            log.info("port_opened", port=name, address=address)
        return opened


def add_grpc_port(server, address):
    """Let a gRPC server listen on an address; return the port.

    Raises
    ------
    OSError
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # The library writes an error of its own for each attempt that fails.
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host.strip("[]"), int(port)))
    try:
        return server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(str(error)) from error
