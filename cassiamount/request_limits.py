"""Request limits of backend servers, named or while cold, kept by all VMs together."""

import hashlib
import math

import structlog

from .cold_servers import ColdServers
from .zone_evacuation import ZoneEvacuations

# A limit ends with an answer without one, if none has named it for this time.
RELEASE_MS = 2_000.0
# A limit that goes on is reported to peers again after this time.
REPORT_MS = 1_000.0
# A server whose limit no answer has named for this time gets a request if it may.
CHECK_MS = 5_000.0
# A server that takes less than this is still asked now and then, to learn of the end.
MIN_LIMIT_PER_S = 0.1
# Each VM may begin with one request at any moment, so fewer VMs send to a server that
# takes few requests: this many, and one more for each request a second.
BASE_SENDERS = 3

log = structlog.get_logger()


class LimitsPart:
    """Changes of the known limits, as a report contains them.

    Parameters
    ----------
    limits : list
        ``[backend, started_wall_ms, limit_per_s, age_ms]`` each; a limit of None has
        ended.
    cold : list
        ``[backend, started_wall_ms, remaining_ms]`` each, of servers that became cold.
    """

    __slots__ = ("limits", "cold")

    def __init__(self, limits, cold=()):
        self.limits = limits
        self.cold = cold

    def to_value(self):
        """Return the list that represents this object in a report."""
        return [self.limits, list(self.cold)]


class _Limit:
    """What is known of one server's limit, and when this VM may send next."""

    __slots__ = (
        "limit_per_s",
        "named_ms",
        "reported_ms",
        "version",
        "next_ms",
        "share",
        "interval_ms",
    )

    def __init__(self):
        # None if an answer showed that the limit has ended.
        self.limit_per_s = None
        self.named_ms = -math.inf
        self.reported_ms = -math.inf
        self.version = 0
        self.next_ms = -math.inf
        # Names of the VMs and limit for which `interval_ms` was computed.
        self.share = None
        self.interval_ms = math.inf


class RequestLimits:
    """Limits of backend servers, and this VM's share of each.

    Servers are named by pairs of their name and the wall-clock time of their start.

    Parameters
    ----------
    own_name : str
    counter : ChangeCounter
    vm_names : callable
        Returns the names of all VMs that may be sending requests.
    cold : ColdServers, optional
        Cold servers have a limit too; the lower one applies.
    """

    __slots__ = ("cold", "_own_name", "_counter", "_vm_names", "_limits")

    def __init__(self, own_name, counter, vm_names, cold=None):
        self.cold = cold or ColdServers(own_name, vm_names, ZoneEvacuations())
        self._own_name = own_name
        self._counter = counter
        self._vm_names = vm_names
        self._limits = {}

    def is_limited(self, server, now_ms=math.inf):
        """Return whether a server names a limit, or is cold at a time that is given."""
        known = self._limits.get(server)
        if known is not None and known.limit_per_s is not None:
            return True
        return self.cold.limit_per_s(server, now_ms) is not None

    def record_cold(self, server, cold_ms, now_ms):
        """Record that a response says for how long its server is cold.

        Returns
        -------
        bool
            Whether peers should learn of it soon.
        """
        return self.cold.record_stated(server, cold_ms, now_ms, self._counter.next)

    def record_answer(self, server, limit_per_s, now_ms):
        """Record the limit that an answer names, or None.

        Returns
        -------
        bool
            Whether peers should learn of it soon.
        """
        known = self._limits.get(server)
        if limit_per_s is None:
            if (
                known is None
                or known.limit_per_s is None
                or now_ms < known.named_ms + RELEASE_MS
            ):
                return False
        return self._set(server, limit_per_s, now_ms, now_ms)

    def is_stale(self, server, now_ms):
        """Return whether a request should find out if a limit goes on."""
        known = self._limits.get(server)
        if known is None or known.limit_per_s is None:
            return False
        return now_ms > known.named_ms + CHECK_MS

    def delay_ms(self, server, now_ms):
        """Return the time until this VM may send a request; infinite if others do."""
        known = self._limits.get(server)
        interval_ms = self._combined_ms(server, known, now_ms)
        if not interval_ms:
            return 0.0
        if not interval_ms < math.inf:
            return math.inf
        return 0.0 if known is None else max(0.0, known.next_ms - now_ms)

    def retry_after_ms(self, server, now_ms):
        """Return the time until some VM may send a request to a server."""
        known = self._limits.get(server)
        limits = [
            None if known is None else known.limit_per_s,
            self.cold.limit_per_s(server, now_ms),
        ]
        limit_per_s = min((n for n in limits if n is not None), default=math.inf)
        return min(self.delay_ms(server, now_ms), 1000.0 / limit_per_s)

    def reserve(self, server, now_ms):
        """Reserve this VM's next request to a server; return its time."""
        known = self._limits.get(server)
        interval_ms = self._combined_ms(server, known, now_ms)
        if not interval_ms:
            return now_ms
        if known is None:
            known = self._limits[server] = _Limit()
        at_ms = max(now_ms, known.next_ms)
        if interval_ms < math.inf:
            known.next_ms = at_ms + interval_ms
        return at_ms

    def take_turn(self, server, now_ms):
        """Return whether a request may be sent at this moment, and count it."""
        return self.cold.take_turn(server, now_ms)

    def remove_others(self, servers):
        """Forget the servers that are gone."""
        for server in self._limits.keys() - servers:
            del self._limits[server]

    # Exchange with peers.

    def part_since(self, since_version, now_ms):
        """Return the `LimitsPart` of changes after a version, or None."""
        limits = [
            [*server, known.limit_per_s, round(now_ms - known.named_ms)]
            for server, known in self._limits.items()
            if known.version > since_version
        ]
        cold = self.cold.part_since(since_version, now_ms)
        return LimitsPart(limits, cold) if limits or cold else None

    def apply(self, part, now_ms):
        """Apply what a peer reported; return whether it was new."""
        news = self.cold.apply(part.cold, now_ms, self._counter.next)
        for backend, started_wall_ms, limit_per_s, age_ms in part.limits:
            server = (backend, started_wall_ms)
            news |= self._set(server, limit_per_s, now_ms - age_ms, now_ms)
        return news

    def _set(self, server, limit_per_s, named_ms, now_ms):
        """Apply a limit; return whether peers should learn of it."""
        if limit_per_s is not None:
            limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
        known = self._limits.get(server)
        if known is None:
            if limit_per_s is None:
                return False
            known = self._limits[server] = _Limit()
        if named_ms <= known.named_ms:
            return False
        changed = limit_per_s != known.limit_per_s
        known.named_ms = named_ms
        if not changed and named_ms < known.reported_ms + REPORT_MS:
            return False
        known.limit_per_s = limit_per_s
        known.reported_ms = named_ms
        known.version = self._counter.next()
        if changed:
            interval_ms = 0.0
            if limit_per_s is not None:
                interval_ms = self._interval_ms(server, known)
            if interval_ms < math.inf:
                known.next_ms = min(known.next_ms, now_ms + interval_ms)
            log.info(
                "backend_limit_changed", backend=server[0], limit_per_s=limit_per_s
            )
        return changed

    def _combined_ms(self, server, known, now_ms):
        """Return the longer of the intervals of both limits; 0 without a limit."""
        interval_ms = self.cold.interval_ms(server, now_ms)
        if known is None or known.limit_per_s is None:
            return interval_ms
        return max(interval_ms, self._interval_ms(server, known))

    def _interval_ms(self, server, known):
        """Return the time between this VM's requests; infinite if it sends none."""
        names = self._vm_names()
        share = (names, known.limit_per_s)
        if known.share != share:
            known.share = share
            known.interval_ms = self._compute_interval_ms(server, names, known)
        return known.interval_ms

    def _compute_interval_ms(self, server, names, known):
        count = min(len(names), int(BASE_SENDERS + known.limit_per_s))
        senders = sorted(names, key=lambda name: _weight(server, name))[:count]
        if self._own_name not in senders:
            return math.inf
        return 1000.0 * count / known.limit_per_s


def _weight(server, name):
    """Return a number that orders VMs differently for each server."""
    data = f"{server[0]}/{server[1]}/{name}".encode()
    return hashlib.blake2s(data, digest_size=8).digest()
