"""Ports for servers of tests."""

import itertools
import os
import random
import socket

# Below the range of local ports, in another order in each process.
_PORTS = itertools.cycle(
    random.Random(os.getpid()).sample(range(10_000, 32_000), 22_000)
)


def free_port():
    """Return a port that no connection gets as its own, unlike those of the system."""
    while True:
        port = next(_PORTS)
        with socket.socket() as listener:
            try:
                listener.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
