"""Which backend servers are cold, and how many requests this VM may send them."""

import hashlib
import math

import structlog

# The limit applies to the requests within any time of this length.
COLD_WINDOW_MS = 1_000.0
# Fraction of the requests allowed in any one second that the VMs plan to use. The rest
# is for requests that arrive closer together than they were sent, and for VMs that know
# other sets of VMs while some start.
PLANNED_FRACTION = 0.8
# Requests are planned this much further apart than their number in a second demands,
# and are sent at least this fraction of the planned time apart. The product is above 1,
# so that delayed timers never put one more request into a second.
SPACING_FACTOR = 1.12
MIN_SPACING_FRACTION = 0.9
# A VM that was not heard of for this time no longer counts as one that may send. It is
# far longer than partitions last, in which both sides go on sending.
FORGET_VM_MS = 600_000.0
# The set of VMs is looked up again after this time, not for each request.
NAMES_CACHE_MS = 250.0
# What a response says of a cold time is told to peers if it ends this much later than
# what is known; below, it only differs by the time that messages take.
NEWS_MS = 1_000.0
# Longer cold times, and higher numbers of requests, are taken for mistakes.
MAX_COLD_MS = 3_600_000.0
MAX_COLD_PER_S = 1_000_000.0
# Time after the first start of a fleet in which its servers are listed for the first
# time.
FIRST_LIST_MS = 10_000.0

log = structlog.get_logger()


def cold_time_of(value):
    """Return the cold time in ms that a response states; 0 if it cannot be read."""
    try:
        cold_ms = float(value)
    except ValueError:
        cold_ms = -1.0
    if 0 <= cold_ms <= MAX_COLD_MS:
        return cold_ms
    log.warning("cold_time_unreadable", value=value[:40].decode("latin-1"))
    return 0.0


def share_of(limit_per_s, overrun, slack, count):
    """Return how many of some VMs send to a cold server, and the time between requests.

    In any one second they send `PLANNED_FRACTION` of what is allowed at most.

    Parameters
    ----------
    limit_per_s : float
        Requests a second that a cold server takes for long.
    overrun, slack : float
        Requests that it takes in any one second: a multiple of the limit plus a number.
    count : int
        VMs that may send.

    Returns
    -------
    int, float
    """
    planned = max(1, int(PLANNED_FRACTION * (overrun * limit_per_s + slack)))
    senders = min(count, planned)
    most_in_a_second = planned // senders
    interval_ms = max(
        1000.0 * senders / limit_per_s,
        SPACING_FACTOR * COLD_WINDOW_MS / most_in_a_second,
    )
    return senders, interval_ms


class ColdServers:
    """Cold backend servers, and this VM's share of what each of them takes.

    Servers are named by pairs of their name and the wall-clock time of their start.

    Parameters
    ----------
    own_name : str
    vm_names : callable
        Returns the names of all VMs that may be sending requests; none while they are
        not known, and then this VM sends nothing to a cold server.
    evacuations : ZoneEvacuations
    overrun, slack : float
        Requests that a cold server takes in any one second: a multiple of its limit
        plus a number.
    """

    __slots__ = (
        "overrun",
        "slack",
        "is_unsure",
        "_own_name",
        "_vm_names",
        "_evacuations",
        "_services",
        "_records",
        "_stated_ms",
        "_new_ms",
        "_versions",
        "_sent_ms",
        "_told_ms",
        "_seen_ms",
        "_names",
        "_names_ms",
        "_shares",
    )

    def __init__(self, own_name, vm_names, evacuations, overrun=1.5, slack=5.0):
        self.overrun = overrun
        self.slack = slack
        # Whether this VM may have missed that servers became cold: it has just started,
        # or hears nobody. All servers count as cold to it then.
        self.is_unsure = False
        self._own_name = own_name
        self._vm_names = vm_names
        self._evacuations = evacuations
        # Service -> (time for which its servers are cold, requests a second).
        self._services = {}
        # Server -> its last entry.
        self._records = {}
        # Server -> time until which its entry, or a response, says that it is cold.
        self._stated_ms = {}
        # Server -> time at which its start was first seen.
        self._new_ms = {}
        # Server -> version at which a response said that it is cold.
        self._versions = {}
        # Server -> time of this VM's last request while it was cold.
        self._sent_ms = {}
        # Server -> until when the entry that was last passed on says that it is cold.
        self._told_ms = {}
        # VM -> time at which it was last known.
        self._seen_ms = {}
        # The same, sorted, and the time at which that was done.
        self._names = ()
        self._names_ms = -math.inf
        # Server -> (names, limit) and the interval that was computed for them.
        self._shares = {}

    def set_services(self, services):
        """Set the services with a limit for cold servers.

        Parameters
        ----------
        services : dict of str to (float, float)
            Service -> (time in ms for which its servers are cold, requests a second).
        """
        self._services = {n: rule for n, rule in services.items() if rule[1] > 0}

    @property
    def has_rules(self):
        """Whether any service limits the requests to its cold servers."""
        return bool(self._services)

    def observe(self, records, now_ms, is_first_list, is_first_start):
        """Apply a new list of backend servers.

        Parameters
        ----------
        records : iterable of BackendRecord
        now_ms : float
        is_first_list : bool
            Whether this VM has had no list before; then no server is known to be new.
        is_first_start : bool
            Whether the fleet has just started for the first time.
        """
        before, self._records = self._records, {r.start: r for r in records}
        starts = {name: started for name, started in before}
        for server, record in self._records.items():
            if before.get(server) is record:
                continue
            restarted = starts.get(record.name, record.started_wall_ms)
            if server not in before and (
                restarted != record.started_wall_ms
                or not (is_first_list or (is_first_start and record.cold_ms == 0))
            ):
                self._new_ms.setdefault(server, now_ms)
            if math.isnan(record.cold_ms):
                if server not in self._new_ms:
                    self._new_ms[server] = now_ms
                if server not in before or not math.isnan(before[server].cold_ms):
                    log.warning("cold_time_unreadable", backend=record.name)
            elif record.cold_ms > 0:
                self._state(server, now_ms + record.cold_ms)
        for known in (
            self._stated_ms,
            self._new_ms,
            self._versions,
            self._sent_ms,
            self._told_ms,
            self._shares,
        ):
            for server in known.keys() - self._records.keys():
                del known[server]

    def is_news(self, record, now_ms):
        """Return whether an entry tells a longer cold time than those passed on before.

        The time in entries runs down with each heartbeat, which is no news, and begins
        anew when the server becomes cold again.
        """
        until_ms = now_ms + record.cold_ms
        told_ms = max(now_ms, self._told_ms.get(record.start, now_ms))
        if not until_ms > told_ms + NEWS_MS / 2:
            return False
        self._told_ms[record.start] = until_ms
        return True

    def record_stated(self, server, cold_ms, now_ms, version=None):
        """Record the cold time that a response or a peer states; return if it is new.

        Parameters
        ----------
        server : (str, int)
        cold_ms : float
        now_ms : float
        version : callable, optional
            Returns the version of the change; not called if there is none.
        """
        record = self._records.get(server)
        if record is None or record.service not in self._services or cold_ms <= 0:
            return False
        before_ms = max(now_ms, self.until_ms(server))
        if not self._state(server, now_ms + cold_ms):
            return False
        if now_ms + cold_ms < before_ms + NEWS_MS:
            return False
        if version is not None:
            self._versions[server] = version()
        log.info("backend_cold", backend=server[0], cold_ms=round(cold_ms))
        return True

    def record_lost(self, server, now_ms):
        """Record that a server refused connections or crashed, so it starts anew."""
        record = self._records.get(server)
        if record is not None and record.service in self._services:
            self._new_ms[server] = now_ms

    def _state(self, server, until_ms):
        if until_ms <= self._stated_ms.get(server, -math.inf):
            return False
        self._stated_ms[server] = until_ms
        return True

    def until_ms(self, server):
        """Return until when a server counts as cold; minus infinity if never."""
        record = self._records.get(server)
        rule = None if record is None else self._services.get(record.service)
        if rule is None:
            return -math.inf
        return max(
            self._stated_ms.get(server, -math.inf),
            self._new_ms.get(server, -math.inf) + rule[0],
            self._evacuations.recovering_until_ms(record.zone, rule[0]),
        )

    def limit_per_s(self, server, now_ms):
        """Return the requests a second that a server takes; None if it is not cold."""
        if not self._services:
            return None
        record = self._records.get(server)
        rule = None if record is None else self._services.get(record.service)
        if rule is None:
            return None
        is_cold = self.is_unsure or now_ms < self.until_ms(server)
        return rule[1] if is_cold else None

    def interval_ms(self, server, now_ms):
        """Return the time between this VM's requests to a server.

        Returns
        -------
        float
            0 if the server is not cold, infinite if this VM sends it none.
        """
        limit_per_s = self.limit_per_s(server, now_ms)
        if limit_per_s is None:
            return 0.0
        names = self._sending_vms(now_ms)
        if not names:
            return math.inf
        basis = (names, limit_per_s, self.overrun, self.slack)
        known = self._shares.get(server)
        if known is None or known[0] != basis:
            senders, interval_ms = share_of(
                limit_per_s, self.overrun, self.slack, len(names)
            )
            own = _weight(server, self._own_name)
            rank = sum(_weight(server, name) < own for name in names)
            known = (basis, interval_ms if rank < senders else math.inf)
            self._shares[server] = known
        return known[1]

    def others_may_send(self, now_ms):
        """Return whether any other VM may be sending requests, reachable or not.

        To be called regularly, so that VMs are remembered which were last known while
        no server was cold.
        """
        return len(self._sending_vms(now_ms)) > 1

    def forget_vm(self, name):
        """Forget a VM that has stopped, so that the others use its share."""
        if self._seen_ms.pop(name, None) is not None:
            self._names_ms = -math.inf

    def _sending_vms(self, now_ms):
        """Return the VMs that may send, with those that were lost out of sight.

        While all live VMs are among these, those that take themselves for a sender are
        no more than planned, also if each VM knows other VMs that are gone.
        """
        if not 0 <= now_ms - self._names_ms < NAMES_CACHE_MS:
            self._names_ms = now_ms
            self._seen_ms.update(dict.fromkeys(self._vm_names(), now_ms))
            for name, at_ms in list(self._seen_ms.items()):
                if now_ms - at_ms > FORGET_VM_MS:
                    del self._seen_ms[name]
            names = tuple(sorted(self._seen_ms))
            if names != self._names:
                self._names = names
        return self._names

    def take_turn(self, server, now_ms):
        """Return whether a request may be sent to a server now, and count it.

        This is checked again when a request is sent: it may have been held up since its
        turn, together with others, or the server has become cold meanwhile.
        """
        interval_ms = self.interval_ms(server, now_ms)
        if not interval_ms:
            return True
        sent_ms = self._sent_ms.get(server, -math.inf)
        if now_ms - sent_ms < MIN_SPACING_FRACTION * interval_ms or not (
            interval_ms < math.inf
        ):
            return False
        self._sent_ms[server] = now_ms
        return True

    # Exchange with peers.

    def part_since(self, since_version, now_ms):
        """Return ``[backend, started_wall_ms, remaining_ms]`` that responses said."""
        return [
            [*server, round(self._stated_ms[server] - now_ms)]
            for server, version in self._versions.items()
            if version > since_version and self._stated_ms[server] > now_ms
        ]

    def apply(self, part, now_ms, version):
        """Apply what a peer reported; return whether it was new.

        A server that counts as cold already is left as it is: each report takes time,
        so that VMs that repeat it to each other would extend it for ever.
        """
        news = False
        for backend, started_wall_ms, cold_ms in part:
            server = (backend, started_wall_ms)
            if now_ms >= self.until_ms(server) and cold_ms >= NEWS_MS:
                news |= self.record_stated(server, cold_ms, now_ms, version)
        return news


def _weight(server, name):
    """Return a number that orders VMs differently for each server."""
    data = f"{server[0]}/{server[1]}/{name}".encode()
    return hashlib.blake2s(data, digest_size=8).digest()
