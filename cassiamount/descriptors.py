"""How many of a process's descriptors may be taken by what."""

import resource

# For files, the store, peers, and the ports for probes and metrics.
RESERVED_DESCRIPTORS = 500
MAX_CALLER_CONNECTIONS = 10_000
# The ports for probes and metrics have few clients.
MAX_OPERATOR_CONNECTIONS = 32


def most_caller_connections(descriptors):
    """Return how many connections of callers a VM may hold.

    Each may need a connection to a backend server as well. A process with few
    descriptors reserves half of them.

    Parameters
    ----------
    descriptors : float
        Most descriptors that the process may open; may be infinite.
    """
    reserved = min(RESERVED_DESCRIPTORS, descriptors / 2)
    return int(max(1, min(MAX_CALLER_CONNECTIONS, (descriptors - reserved) / 2)))


def descriptor_limit(granted=None):
    """Return how many descriptors this process may open.

    Parameters
    ----------
    granted : int or None
        Limit that the platform sets beside that of the operating system.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = float("inf")
    return limit if granted is None else min(limit, granted)
