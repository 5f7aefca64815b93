"""Load of clients that send without end, or stop short of it and stay."""

import asyncio
import contextlib
import os
import socket

# All clients have come to a stand once no bytes have been taken for this long.
QUIET_S = 2.0
# Far longer than any test takes; only a hang exceeds it.
TIMEOUT_S = 120
PIECE_BYTES = 64 << 10


class Client:
    """A client on a socket of its own, which stays open after the last byte.

    Parameters
    ----------
    parts : iterable of bytes
        Each is sent at once.
    first : bytes
        Ordinary request whose answer the client reads before, on the same connection.
    """

    __slots__ = ("_parts", "_first", "_socket", "taken")

    def __init__(self, parts, first=b""):
        self._parts = parts
        self._first = first
        self._socket = None
        # Number of parts that the connection has taken.
        self.taken = 0

    async def send(self, address):
        loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setblocking(False)
        # The server may close the connection at any point.
        with contextlib.suppress(OSError):
            await loop.sock_connect(self._socket, address)
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._first:
                await loop.sock_sendall(self._socket, self._first)
                await loop.sock_recv(self._socket, PIECE_BYTES)
            for part in self._parts:
                await loop.sock_sendall(self._socket, part)
                self.taken += 1
                # The clients send side by side.
                await asyncio.sleep(0)

    def close(self):
        if self._socket is not None:
            self._socket.close()


class ClientLoad:
    """Clients that send side by side.

    Parameters
    ----------
    address : (str, int)
    clients : list of Client
    """

    def __init__(self, address, clients):
        self._address = address
        self._clients = clients
        self._tasks = []

    async def send(self):
        """Send until all clients have sent everything or none gets on any more."""
        self._tasks = [
            asyncio.create_task(client.send(self._address)) for client in self._clients
        ]
        taken = -1
        while taken != (taken := sum(client.taken for client in self._clients)):
            await asyncio.wait(self._tasks, timeout=QUIET_S)
            if all(task.done() for task in self._tasks):
                break
        # The process still has to take in what waits in its sockets.
        await asyncio.sleep(QUIET_S)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._clients:
            client.close()


class ProcessMemory:
    """Peak memory and open descriptors of a process."""

    __slots__ = ("_pid",)

    def __init__(self, pid):
        self._pid = pid

    def peak_mb(self):
        with open(f"/proc/{self._pid}/status") as status:
            lines = dict(line.split(":", 1) for line in status)
        return int(lines["VmHWM"].split()[0]) / 1024

    def descriptors(self):
        return len(os.listdir(f"/proc/{self._pid}/fd"))


async def exchange(address, request):
    """Send a request on a new connection; return its status, or 0 if it broke."""
    writer = None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request)
            line = await reader.readline()
        return int(line.split()[1]) if line else 0
    except OSError:
        return 0
    finally:
        if writer is not None:
            writer.close()


async def ask(address, request):
    """Repeat an ordinary request until it is served, as callers do."""
    async with asyncio.timeout(TIMEOUT_S):
        while await exchange(address, request) != 200:
            await asyncio.sleep(0.2)
