"""What backend servers say in their answers about whether they want more requests."""

import structlog

# A server that wants nothing for longer is asked again after this time.
MAX_PAUSE_MS = 600_000.0
# Servers that are remembered at most; the oldest notices are forgotten first.
MAX_SERVERS = 2_000

log = structlog.get_logger()


class ServerNotices:
    """Which backend servers leave, and which want nothing from this VM for a while.

    Servers are named by pairs of their name and the wall-clock time of their start, so
    that a new server at an old address, or a restarted one, is free.

    Parameters
    ----------
    counter : ChangeCounter
    """

    __slots__ = ("_counter", "_leaving", "_pauses_ms")

    def __init__(self, counter):
        self._counter = counter
        # Server -> version of the change.
        self._leaving = {}
        # Server -> time until which it wants nothing.
        self._pauses_ms = {}

    def record_leaving(self, server):
        """Record that a server leaves; return whether that is new."""
        if server in self._leaving:
            return False
        _add(self._leaving, server, self._counter.next())
        return True

    def record_pause(self, server, pause_ms, now_ms):
        """Record that a server wants nothing for some time; return whether it is new.

        A longer time extends the one before, a shorter one does not shorten it.
        """
        until_ms = now_ms + min(MAX_PAUSE_MS, max(0.0, pause_ms))
        if until_ms <= max(now_ms, self._pauses_ms.get(server, 0.0)):
            return False
        _add(self._pauses_ms, server, until_ms)
        return True

    @property
    def has_pauses(self):
        """Whether any server may want nothing from this VM."""
        return bool(self._pauses_ms)

    def leaves(self, server):
        """Return whether a server has said that it leaves."""
        return server in self._leaving

    def pause_ms(self, server, now_ms):
        """Return the time for which a server wants nothing from this VM."""
        until_ms = self._pauses_ms.get(server)
        if until_ms is None:
            return 0.0
        if until_ms <= now_ms:
            del self._pauses_ms[server]
            return 0.0
        return until_ms - now_ms

    def may_send(self, server, now_ms):
        """Return whether this VM may send a request to a server now."""
        return not self.leaves(server) and self.pause_ms(server, now_ms) == 0

    # Exchange with peers: only what leaves, as a pause concerns one VM.

    def part_since(self, since_version):
        """Return the servers that said after a version that they leave."""
        return [
            list(server)
            for server, version in self._leaving.items()
            if version > since_version
        ]

    def apply(self, part):
        """Apply what a peer reported; return whether it was new."""
        news = False
        for name, started_wall_ms in part:
            news |= self.record_leaving((name, started_wall_ms))
        return news


def _add(known, server, value):
    known.pop(server, None)
    known[server] = value
    if len(known) > MAX_SERVERS:
        del known[next(iter(known))]
