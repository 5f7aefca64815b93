"""Whether a connection was closed at its other end, also if that was not read yet."""

import select

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
