"""The end of a connection: whether the other side has closed it, and resetting it."""

import contextlib
import select
import socket
import struct

# A `struct linger` that is on, for zero seconds: closing the socket resets it.
NO_LINGER = struct.pack("ii", 1, 0)
# POLLRDHUP also tells of an end behind data that was not read; Linux has it.
ENDED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_ended(transport):
    """Return whether the other end has closed or reset a connection.

    The event loop tells of the end only after it has read what came before, and after
    the tasks that run meanwhile.

    Parameters
    ----------
    transport : asyncio.Transport
    """
    if transport.is_closing():
        return True
    connection = transport.get_extra_info("socket")
    if connection is None:
        return False
    poll = select.poll()
    poll.register(connection.fileno(), ENDED)
    return bool(poll.poll(0))


def reset(transport):
    """Close a connection at once and take back what was not delivered yet.

    Otherwise the kernel goes on to deliver what it has taken.

    Parameters
    ----------
    transport : asyncio.Transport
    """
    connection = transport.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()
