"""The end of a connection: whether the other side has closed it, and resetting it."""

import contextlib
import select
import socket
import struct

# On, and for no time.
LINGER_NOT = struct.pack("ii", 1, 0)
# Without the first one, an end behind data that was not read is found only by reading.
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
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)
    transport.abort()
