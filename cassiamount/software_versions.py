"""Software versions of backend servers, and at which of them streams began.

What two versions write does not fit together, and backend servers do not check it. A
broken stream may go on only at the version that began it, also if its caller takes it
up again at another VM, or after the VM that began it has restarted.
"""

import math

import structlog

# For this long after a stream began its caller may take it up again.
STREAM_LIFE_MS = 60_000.0
# A version that was not in service for this long is forgotten.
FORGET_MS = 10 * STREAM_LIFE_MS
# A VM may lack versions that were first listed within this time; with an older list it
# does not take the only version that it knows for the only one.
MAX_LIST_AGE_MS = 3_000.0
# Time after a version was first listed from which new streams begin there. It is longer
# than the age of any list by which streams are taken up.
SETTLE_MS = MAX_LIST_AGE_MS + 250.0
# A version that comes back after this time is as a new one to a VM that missed it.
MAX_ABSENCE_MS = STREAM_LIFE_MS / 2
# Why it is not known where a stream began.
LIST_STALE = "list_stale"
STREAM_UNKNOWN = "stream_unknown"
# Streams that are remembered at most; the oldest are forgotten first.
MAX_STREAMS = 20_000

log = structlog.get_logger()


class SoftwarePart:
    """Changes of the known software versions, as a report contains them.

    Parameters
    ----------
    versions : list
        ``[service, software, age_ms, settles_in_ms]`` each: when a version was last in
        service, and the time until new streams may begin there.
    streams : list
        ``[request_id, software, age_ms]`` each: where a stream began, and when.
    known_ms : float or None
        For how long no version of any service can have gone unnoticed; None for ever.
    """

    __slots__ = ("versions", "streams", "known_ms")

    def __init__(self, versions, streams, known_ms):
        self.versions = versions
        self.streams = streams
        self.known_ms = known_ms

    def to_value(self):
        """Return the list that represents this object in a report."""
        return [self.versions, self.streams, self.known_ms]


class _Seen:
    """When a version of a service was in service, as far as this VM knows."""

    __slots__ = ("is_listed", "last_ms", "settled_ms", "version")

    def __init__(self, last_ms, settled_ms):
        self.is_listed = False
        self.last_ms = last_ms
        # Time from which new streams may begin at the version.
        self.settled_ms = settled_ms
        self.version = 0


class _Origin:
    """Where one stream began."""

    __slots__ = ("software", "begun_ms", "version", "is_own")

    def __init__(self, software, begun_ms, version, is_own):
        self.software = software
        self.begun_ms = begun_ms
        self.version = version
        self.is_own = is_own


class SoftwareVersions:
    """What one VM knows of software versions and of the streams that began at them.

    Which version a stream began at is told to other VMs only while a service has had
    several of them within the life of a stream. Without that it is the only one, which
    a VM may conclude only if its list of backend servers is recent: no stream begins at
    a further version before that has been listed for longer than such a list is old.

    Parameters
    ----------
    counter : ChangeCounter
    known_since_ms : float
        Time since which no version can have gone unnoticed: that of the start, or minus
        infinity if nothing ran before it.
    """

    __slots__ = (
        "_counter",
        "_known_since_ms",
        "_known_version",
        "_seen",
        "_streams",
        "_was_mixed",
        "streams_version",
    )

    def __init__(self, counter, known_since_ms):
        self._counter = counter
        self._known_since_ms = known_since_ms
        self._known_version = counter.next()
        # (service, software) -> _Seen.
        self._seen = {}
        # Request ID of the attempt that brought the first event -> _Origin.
        self._streams = {}
        self._was_mixed = False
        # Version of the counter at the last change of the streams.
        self.streams_version = 0

    # Versions in service.

    def observe(self, records, now_ms):
        """Record the versions of the listed backend servers.

        Parameters
        ----------
        records : iterable of BackendRecord
        now_ms : float
        """
        listed = {(record.service, record.software) for record in records}
        for key, seen in self._seen.items():
            if seen.is_listed and key not in listed:
                seen.is_listed = False
                seen.last_ms = now_ms
                seen.version = self._counter.next()
                log.info("software_gone", service=key[0], software=key[1])
        if not self._seen and self.is_complete:
            # The first list of the first VMs: no other list is older.
            settled_ms = now_ms
        else:
            settled_ms = now_ms + SETTLE_MS
        for key in listed:
            seen = self._seen.get(key)
            if seen is None:
                seen = self._seen[key] = _Seen(now_ms, settled_ms)
            if not seen.is_listed:
                if now_ms - seen.last_ms > MAX_ABSENCE_MS:
                    seen.settled_ms = settled_ms
                seen.is_listed = True
                seen.version = self._counter.next()
                log.info("software_seen", service=key[0], software=key[1])
        for key, seen in list(self._seen.items()):
            if not seen.is_listed and now_ms - seen.last_ms > FORGET_MS:
                del self._seen[key]
        self._on_versions_changed(now_ms)

    def observe_past(self, service, software, now_ms):
        """Record a version of an entry that was replaced before it came into use."""
        if self._see((service, software), now_ms, now_ms + SETTLE_MS):
            self._on_versions_changed(now_ms)

    @property
    def is_complete(self):
        """Whether no version of the past can have gone unnoticed."""
        return self._known_since_ms == -float("inf")

    def load(self, versions, streams, now_ms, settled=()):
        """Take over what the store has from before the start; it lacks no version.

        Parameters
        ----------
        versions : dict of (str, str) to float
            Service and software -> time since the version was last in service.
        streams : iterable of (str, str, float)
            Request ID, software, and time since the stream began.
        now_ms : float
        settled : collection of (str, str)
            Versions at which new streams could begin.
        """
        for key, age_ms in versions.items():
            settles_in_ms = 0.0 if key in settled else SETTLE_MS
            self._see(key, now_ms - age_ms, now_ms + settles_in_ms)
        for request_id, software, age_ms in streams:
            if age_ms <= STREAM_LIFE_MS:
                # Told to all peers, as nobody else may have read it.
                self._add_stream(request_id, software, now_ms - age_ms, now_ms, True)
        self._know_since(-float("inf"))
        self._on_versions_changed(now_ms)

    def ages_ms(self, now_ms):
        """Return service and software -> time since the version was in service."""
        return {
            key: 0.0 if seen.is_listed else max(0.0, now_ms - seen.last_ms)
            for key, seen in self._seen.items()
        }

    def settled(self, now_ms):
        """Return service and software of the versions at which streams may begin."""
        return {key for key, seen in self._seen.items() if seen.settled_ms <= now_ms}

    def _see(self, key, last_ms, settled_ms):
        """Record when a version was in service; return whether that is new."""
        seen = self._seen.get(key)
        if seen is None:
            seen = self._seen[key] = _Seen(last_ms, settled_ms)
        elif not seen.is_listed and last_ms - seen.last_ms > MAX_ABSENCE_MS:
            seen.settled_ms = settled_ms
        else:
            seen.settled_ms = min(seen.settled_ms, settled_ms)
            if seen.is_listed or last_ms <= seen.last_ms:
                return False
        seen.last_ms = last_ms
        seen.version = self._counter.next()
        return True

    def _know_since(self, since_ms):
        """Extend what is known into the past; return whether it was."""
        if since_ms >= self._known_since_ms:
            return False
        self._known_since_ms = since_ms
        self._known_version = self._counter.next()
        return True

    def _recent(self, now_ms):
        """Return the versions of each service within the life of a stream."""
        recent = {}
        for (service, software), age_ms in self.ages_ms(now_ms).items():
            if age_ms <= STREAM_LIFE_MS:
                recent.setdefault(service, []).append(software)
        return recent

    def _on_versions_changed(self, now_ms):
        is_mixed = self._is_mixed(now_ms)
        if is_mixed and not self._was_mixed:
            # Peers have not been told of the streams that began before.
            for origin in self._streams.values():
                origin.version = self.streams_version = self._counter.next()
        self._was_mixed = is_mixed

    def _is_mixed(self, now_ms):
        return any(len(versions) > 1 for versions in self._recent(now_ms).values())

    # Streams.

    def record_stream(self, request_id, software, now_ms):
        """Record that a request of this VM got its first event."""
        self._add_stream(request_id, software, now_ms, now_ms, True)

    def origin_of(self, request_id, service, now_ms, list_age_ms):
        """Return the software version at which a stream began.

        Parameters
        ----------
        request_id : str
            Of the attempt that brought the stream's first event.
        service : str
        now_ms : float
        list_age_ms : float
            Time since the list of backend servers was proven current.

        Returns
        -------
        (str or None, str or None)
            The version, or why it is not known: `LIST_STALE` or `STREAM_UNKNOWN`.
        """
        origin = self._streams.get(request_id)
        if origin is not None:
            return origin.software, None
        software = self._only_version(service, now_ms)
        if software is None:
            return None, STREAM_UNKNOWN
        if list_age_ms > MAX_LIST_AGE_MS:
            return None, LIST_STALE
        return software, None

    def unsettled(self, service, now_ms):
        """Return version -> time until new streams may begin there, if they may not.

        They may begin at the only version of a service at once, as no other VM can take
        it for that of another.
        """
        waits_ms = {}
        for key, seen in self._seen.items():
            if key[0] != service or seen.settled_ms <= now_ms:
                continue
            if self._only_version(service, now_ms) == key[1]:
                seen.settled_ms = now_ms
            else:
                waits_ms[key[1]] = seen.settled_ms - now_ms
        return waits_ms

    def _only_version(self, service, now_ms):
        """Return the only version in service in the life of a stream, or None."""
        if self._known_since_ms > now_ms - STREAM_LIFE_MS:
            return None
        versions = self._recent(now_ms).get(service, ())
        return versions[0] if len(versions) == 1 else None

    def _add_stream(self, request_id, software, begun_ms, now_ms, is_own):
        if not request_id or request_id in self._streams:
            return
        version = self.streams_version = self._counter.next()
        self._streams[request_id] = _Origin(software, begun_ms, version, is_own)
        oldest_ms = now_ms - STREAM_LIFE_MS
        while self._streams:
            first = next(iter(self._streams))
            if (
                self._streams[first].begun_ms >= oldest_ms
                and len(self._streams) <= MAX_STREAMS
            ):
                break
            del self._streams[first]

    # Exchange with peers.

    def part_since(self, since_version, now_ms, own_streams_only=False):
        """Return the `SoftwarePart` of changes after a version, or None.

        Parameters
        ----------
        since_version : int
        now_ms : float
        own_streams_only : bool
            Whether the receiver hears of the other VMs' streams from them.
        """
        versions = [
            [
                *key,
                0.0 if seen.is_listed else round(now_ms - seen.last_ms),
                max(0, math.ceil(seen.settled_ms - now_ms)),
            ]
            for key, seen in self._seen.items()
            if seen.version > since_version
        ]
        streams = []
        if self._is_mixed(now_ms):
            for request_id, origin in reversed(self._streams.items()):
                if origin.version <= since_version:
                    break
                if origin.is_own or not own_streams_only or not since_version:
                    age_ms = round(now_ms - origin.begun_ms)
                    streams.append([request_id, origin.software, age_ms])
        if not versions and not streams and self._known_version <= since_version:
            return None
        known_ms = None
        if self._known_since_ms > -float("inf"):
            known_ms = round(now_ms - self._known_since_ms)
        return SoftwarePart(versions, streams, known_ms)

    def apply(self, part, now_ms):
        """Apply what a peer reported; return whether other VMs need it soon."""
        news = False
        for service, software, age_ms, settles_in_ms in part.versions:
            is_known = (service, software) in self._seen
            self._see((service, software), now_ms - age_ms, now_ms + settles_in_ms)
            news |= not is_known
        for request_id, software, age_ms in reversed(part.streams):
            self._add_stream(request_id, software, now_ms - age_ms, now_ms, False)
        if part.known_ms is None:
            news |= self._know_since(-float("inf"))
        else:
            self._know_since(now_ms - part.known_ms)
        self._on_versions_changed(now_ms)
        return news
