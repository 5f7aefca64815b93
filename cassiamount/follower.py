"""Task that keeps a fold up to date with its stream, from the log or through peers."""

import asyncio
import random

import structlog

from .errors import OffsetTrimmed, PlatformUnavailable
from .stream_cursor import StreamCursor

READ_LIMIT_RECORDS = 500
# Shorter than the one second without a response after which the log counts as
# unreachable, so that a stream without new records does not look like an outage.
LONG_POLL_MS = 700
# Bounds of the delay after a read without progress. The delay grows exponentially and
# has jitter, because all VMs read again when the log returns after an outage.
MIN_RETRY_DELAY_MS = 200
MAX_RETRY_DELAY_MS = 1000
# Interval at which peers are asked for snapshots during a log outage. Their states
# change only if one of them reaches the log.
SNAPSHOT_INTERVAL_MS = 2000

log = structlog.get_logger()


class Snapshot:
    """State of a fold on a peer.

    Parameters
    ----------
    covers_offset : int
        Last offset that the state includes; -1 for an empty fold.
    state : dict
    """

    __slots__ = ("covers_offset", "state")

    def __init__(self, covers_offset, state):
        self.covers_offset = covers_offset
        self.state = state


class StreamUpdate:
    """Message to listeners: the fold has advanced, or a read reached the head.

    Parameters
    ----------
    stream : str
    processed : list of ProcessedRecord
    next_offset : int
        The fold's next offset after these records.
    reloaded : bool
        Whether a checkpoint or snapshot was loaded first, so that earlier records
        took effect without being listed.
    at_head : bool
        Whether the fold includes all records that the log held during the read.
    """

    __slots__ = ("stream", "processed", "next_offset", "reloaded", "at_head")

    def __init__(self, stream, processed, next_offset, reloaded, at_head):
        self.stream = stream
        self.processed = processed
        self.next_offset = next_offset
        self.reloaded = reloaded
        self.at_head = at_head


class Freshness:
    """Staleness of a fold, by this VM's monotonic clock.

    Parameters
    ----------
    now_ms : float
        Time of the start. Staleness counts from here until a read reaches the head.
    """

    __slots__ = ("_current_as_of_ms", "log_reached_ms", "reached_head")

    def __init__(self, now_ms):
        self._current_as_of_ms = now_ms
        self.log_reached_ms = None
        self.reached_head = False

    def on_log_response(self, now_ms):
        """Record a response of the log itself, not one relayed by a peer."""
        self.log_reached_ms = now_ms

    def on_head(self, sent_ms):
        """Record that a read sent at `sent_ms` reached the head of the stream."""
        self._current_as_of_ms = max(self._current_as_of_ms, sent_ms)
        self.reached_head = True

    def stale_ms(self, now_ms):
        """Return for how long the fold may have missed records."""
        return max(0.0, now_ms - self._current_as_of_ms)

    def log_response_age_ms(self, now_ms):
        """Return the time since the last response of the log itself."""
        if self.log_reached_ms is None:
            return float("inf")
        return now_ms - self.log_reached_ms


class Follower:
    """Task that keeps a fold up to date.

    The fold and the cursor belong to this object and not to the task, so `run` can be
    started again after a failure and continues where it stopped.

    Parameters
    ----------
    stream : str
    fold : object
        See `StreamCursor`.
    log : LogClient
    peers : object or None
        Has ``async read_stream(stream, from_offset, limit)``, which returns a
        `LogPage` that a peer has just read from the log, and ``async
        snapshot(stream)``, which returns a `Snapshot`. Both raise
        `PlatformUnavailable`, and ``read_stream`` also raises `OffsetTrimmed`.
    clock : SystemClock or ManualClock
    listener : callable, optional
        Called with each `StreamUpdate`; must not block.
    sleep : callable
        Coroutine function that waits a number of seconds.
    long_poll_ms : float
        How long the log may wait for a record before it responds to a read at the head.
        New records end the wait, so a longer one only makes `stale_ms` and
        `log_response_age_ms` less precise.
    rng : random.Random, optional
    """

    def __init__(
        self,
        stream,
        fold,
        log,
        peers,
        clock,
        listener=None,
        sleep=asyncio.sleep,
        long_poll_ms=LONG_POLL_MS,
        rng=None,
    ):
        self.stream = stream
        self.fold = fold
        self.cursor = StreamCursor(stream, fold)
        self.freshness = Freshness(clock.monotonic_ms())
        self._log = log
        self._peers = peers
        self._clock = clock
        self._listeners = [] if listener is None else [listener]
        self._sleep = sleep
        self._long_poll_ms = long_poll_ms
        self._rng = random.Random() if rng is None else rng
        # Whether the fold has changed and some listeners have not been notified.
        self._notification_pending = False
        self._snapshot_due_ms = clock.monotonic_ms()
        self._reachable = True

    @property
    def stale_ms(self):
        """How long the fold may have missed records, in milliseconds."""
        return self.freshness.stale_ms(self._clock.monotonic_ms())

    @property
    def log_response_age_ms(self):
        """Time since the last response of the log itself, in milliseconds."""
        return self.freshness.log_response_age_ms(self._clock.monotonic_ms())

    def add_listener(self, listener):
        """Also call `listener` with each `StreamUpdate`."""
        self._listeners.append(listener)

    async def run(self):
        """Follow the stream until cancelled."""
        if self._notification_pending:
            # An earlier run failed between changing the fold and notifying listeners.
            self._notify([], reloaded=True, at_head=False)
        pause_ms = MIN_RETRY_DELAY_MS
        while True:
            if await self.step():
                pause_ms = MIN_RETRY_DELAY_MS
                continue
            await self._sleep(pause_ms * self._rng.uniform(0.5, 1) / 1000)
            pause_ms = min(MAX_RETRY_DELAY_MS, pause_ms * 2)

    async def step(self):
        """Read one page or load one snapshot.

        Returns
        -------
        bool
            False if there was no progress and the next step should wait.
        """
        sent_ms = self._clock.monotonic_ms()
        from_offset = self.cursor.read_offset
        try:
            page = await self._read(from_offset)
        except OffsetTrimmed as error:
            self._log_reachability(True)
            return self.cursor.on_trimmed(error.earliest)
        except PlatformUnavailable as error:
            self._log_reachability(False, error)
            return await self._step_without_log(from_offset)
        self._log_reachability(True)
        return await self._process_page(page, from_offset, sent_ms)

    async def _read(self, from_offset):
        try:
            page = await self._log.read(
                self.stream, from_offset, READ_LIMIT_RECORDS, self._long_poll_ms
            )
        except OffsetTrimmed:
            self.freshness.on_log_response(self._clock.monotonic_ms())
            raise
        self.freshness.on_log_response(self._clock.monotonic_ms())
        return page

    async def _step_without_log(self, from_offset):
        if self._peers is None:
            return False
        sent_ms = self._clock.monotonic_ms()
        try:
            page = await self._peers.read_stream(
                self.stream, from_offset, READ_LIMIT_RECORDS
            )
        except OffsetTrimmed as error:
            return self.cursor.on_trimmed(error.earliest)
        except PlatformUnavailable:
            return await self._load_snapshot()
        progress = await self._process_page(page, from_offset, sent_ms)
        # Peers don't long-poll, so the next read at the head must be delayed.
        return progress and not page.at_head(from_offset)

    async def _process_page(self, page, from_offset, sent_ms):
        was_searching = self.cursor.needs_checkpoint
        self.cursor.on_head(page.next_offset)
        self.cursor.earliest = max(self.cursor.earliest, page.earliest)
        self._notification_pending = True
        processed = self.cursor.on_records(page.records)
        reloaded = was_searching and not self.cursor.needs_checkpoint
        progress = self.cursor.read_offset > from_offset
        at_head = not self.cursor.needs_checkpoint and page.at_head(from_offset)
        at_head = at_head and self.fold.next_offset >= page.next_offset
        if at_head:
            self.freshness.on_head(sent_ms)
        if processed or reloaded or at_head:
            self._notify(processed, reloaded, at_head)
        self._notification_pending = False
        if self.cursor.needs_checkpoint and page.at_head(from_offset):
            # The stream holds no usable checkpoint yet.
            return await self._load_snapshot() or progress
        # If the log answered early instead of long-polling, the next read is delayed,
        # so that this VM doesn't read in a tight loop.
        waited_ms = self._clock.monotonic_ms() - sent_ms
        return progress or (at_head and waited_ms >= self._long_poll_ms / 2)

    async def _load_snapshot(self):
        """Load a peer's state into the fold; return whether that advanced it."""
        now_ms = self._clock.monotonic_ms()
        if self._peers is None or now_ms < self._snapshot_due_ms:
            return False
        self._snapshot_due_ms = now_ms + SNAPSHOT_INTERVAL_MS
        try:
            snapshot = await self._peers.snapshot(self.stream)
        except PlatformUnavailable:
            return False
        self._notification_pending = True
        processed = self.cursor.on_snapshot(snapshot.covers_offset, snapshot.state)
        if processed is None:
            self._notification_pending = False
            return False
        self._notify(processed, reloaded=True, at_head=False)
        return True

    def _notify(self, processed, reloaded, at_head):
        message = StreamUpdate(
            self.stream, processed, self.fold.next_offset, reloaded, at_head
        )
        for listener in self._listeners:
            listener(message)
        self._notification_pending = False

    def _log_reachability(self, reachable, error=None):
        """Write a log line when the log service becomes unreachable or reachable."""
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            log.info("log_reachable", stream=self.stream)
        else:
            log.warning("log_unreachable", stream=self.stream, error=str(error))
