"""Tells crashed backend servers from single lost connections."""

import asyncio
from collections import deque
from itertools import islice

import structlog

from .background import BackgroundTasks
from .crash_quarantine import MAX_LOGGED_PARTS, SuspectRequest

# The end of a process breaks all its connections at about the same time.
GATHER_MS = 20.0
# A server that runs on this long after the end of an attempt did not crash by it.
SURVIVED_MS = 500.0
# Attempts whose servers are still watched; the oldest count as survived before that.
MAX_ENDED_ATTEMPTS = 512
# Requests that a line of the log names.
MAX_LOGGED_REQUESTS = 8

log = structlog.get_logger()


class EndedAttempt:
    """An attempt that has ended at a server which may crash by it yet.

    Parameters
    ----------
    parts : RequestParts
    sent_ms : float
    begun_ms : float or None
        When its response began.
    is_answer : bool
        Whether the server answered it as a whole.
    ended_ms : float
    """

    __slots__ = ("server", "parts", "sent_ms", "begun_ms", "is_answer", "ended_ms")

    def __init__(self, parts, sent_ms, begun_ms, is_answer, ended_ms):
        # `BackendRecord.start`, once it is watched.
        self.server = None
        self.parts = parts
        self.sent_ms = sent_ms
        self.begun_ms = begun_ms
        self.is_answer = is_answer
        self.ended_ms = ended_ms

    def answered_for_ms(self, now_ms):
        """Return how long ago the response began; 0 if it had not begun."""
        return 0.0 if self.begun_ms is None else now_ms - self.begun_ms


class CrashDetector:
    """Watches backend servers for a time after each attempt has ended there.

    How much of its response came is no evidence: a server may crash as it begins to
    write one, and a response without a length looks whole when its connection ends. A
    server that crashed refuses new connections; after a timeout nothing is known.

    Parameters
    ----------
    clock : SystemClock or ManualClock
    probe : callable
        Coroutine function; opens a connection to an address or raises OSError.
    on_crash : callable
        Called with the `BackendRecord`, an iterable of `SuspectRequest`, the most
        likely cause first, and the time when the first connection was lost.
    on_survived : callable
        Called with each `EndedAttempt` that was an answer once its server has lived on.
    """

    def __init__(self, clock, probe, on_crash, on_survived):
        self._clock = clock
        self._probe = probe
        self._on_crash = on_crash
        self._on_survived = on_survived
        self._tasks = BackgroundTasks()
        self._timer = None
        # Oldest first.
        self._ended = deque()
        # Starts of the servers that are being probed.
        self._probed = set()

    def watch(self, record, attempt):
        """Watch a server after an attempt has ended there.

        Parameters
        ----------
        record : BackendRecord
        attempt : EndedAttempt
        """
        attempt.server = record.start
        self._ended.append(attempt)
        if len(self._ended) > MAX_ENDED_ATTEMPTS:
            self._let_survive(self._ended.popleft())
        if self._timer is None:
            self._start_timer()

    def is_watching(self, record):
        """Return whether an attempt has ended at a server recently."""
        return any(attempt.server == record.start for attempt in self._ended)

    def on_connection_closed(self, record):
        """Check whether a server that is watched has crashed."""
        if record.start not in self._probed and self.is_watching(record):
            self._probed.add(record.start)
            self._tasks.start(self._check(record, self._clock.monotonic_ms()))

    async def _check(self, record, lost_ms):
        try:
            await asyncio.sleep(GATHER_MS / 1000)
            await self._probe(record.address)
        except ConnectionRefusedError:
            self._record_crash(record, lost_ms)
        except OSError as error:
            log.info("backend_unknown", backend=record.name, error=type(error).__name__)
        finally:
            self._probed.discard(record.start)

    def _record_crash(self, record, lost_ms):
        attempts = [a for a in self._ended if a.server == record.start]
        self._ended = deque(a for a in self._ended if a.server != record.start)
        # A server crashes soon after it has begun to answer.
        attempts.sort(key=lambda attempt: attempt.answered_for_ms(lost_ms))
        log.warning(
            "backend_crashed",
            backend=record.name,
            requests=len(attempts),
            prompt_parts=[
                list(islice(attempt.parts, MAX_LOGGED_PARTS))
                for attempt in attempts[:MAX_LOGGED_REQUESTS]
            ],
        )
        requests = (
            SuspectRequest.from_parts(
                list(attempt.parts), max(0.0, lost_ms - attempt.sent_ms)
            )
            for attempt in attempts
        )
        self._on_crash(record, requests, lost_ms)

    def _start_timer(self):
        due_ms = self._ended[0].ended_ms + SURVIVED_MS - self._clock.monotonic_ms()
        # The oldest may be due and wait for a check of its server.
        delay_s = max(GATHER_MS, due_ms) / 1000
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._release_survivors)

    def _release_survivors(self):
        """Count attempts as survived whose servers have lived on long enough."""
        self._timer = None
        due_ms = self._clock.monotonic_ms() - SURVIVED_MS
        while self._ended and self._ended[0].ended_ms <= due_ms:
            attempt = self._ended[0]
            if attempt.server in self._probed:
                # The check decides.
                break
            self._let_survive(self._ended.popleft())
        if self._ended:
            self._start_timer()

    def _let_survive(self, attempt):
        if attempt.is_answer:
            self._on_survived(attempt)

    def close(self):
        """Stop all checks."""
        self._tasks.cancel()
        if self._timer is not None:
            self._timer.cancel()
