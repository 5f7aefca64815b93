"""Passes the log records of libraries to the structured log."""

import logging
import time

import structlog

# Records of one place in a library's code that are logged within a period.
RECORDS_PER_PERIOD = 5
PERIOD_S = 10.0
# Places that are told apart; records of further ones count as of one place.
MAX_PLACES = 256


class RecordLimiter:
    """Decides which records are logged; each place in the code has its own limit.

    Parameters
    ----------
    clock_s : callable
        Returns a monotonic time in seconds.
    """

    __slots__ = ("_clock_s", "_places")

    def __init__(self, clock_s=time.monotonic):
        self._clock_s = clock_s
        # By place: start of the period, records logged in it, and records dropped since
        # the last one that was logged.
        self._places = {}

    def admit(self, place):
        """Return how many records were dropped before this one; None drops it."""
        if place not in self._places and len(self._places) >= MAX_PLACES:
            place = None
        now_s = self._clock_s()
        started_s, logged, dropped = self._places.get(place, (now_s, 0, 0))
        if now_s - started_s >= PERIOD_S:
            started_s, logged = now_s, 0
        if logged >= RECORDS_PER_PERIOD:
            self._places[place] = (started_s, logged, dropped + 1)
            return None
        self._places[place] = (started_s, logged + 1, 0)
        return dropped


class LibraryLogHandler(logging.Handler):
    """Writes records of the standard library's `logging` as structured lines.

    Parameters
    ----------
    limiter : RecordLimiter, optional
    """

    def __init__(self, limiter=None):
        super().__init__(logging.WARNING)
        self._limiter = limiter or RecordLimiter()
        self._log = structlog.get_logger()

    def emit(self, record):
        """Write a record, unless too many came from its place."""
        try:
            self._emit(record)
        except Exception:
            # A library must not fail by what it logs.
            self.handleError(record)

    def _emit(self, record):
        dropped = self._limiter.admit((record.pathname, record.lineno))
        if dropped is None:
            return
        try:
            message = record.getMessage()
        except Exception:
            # Its arguments don't match its text.
            message = str(record.msg)
        self._log.log(
            _known_level(record.levelno),
            "library_record",
            library=record.name,
            message=message,
            dropped=dropped,
            exc_info=record.exc_info or None,
        )


def _known_level(number):
    """Return the highest level with a name that is not above a number."""
    return min(logging.CRITICAL, number // 10 * 10)


def take_library_logs():
    """Send the records of all libraries to the structured log."""
    root = logging.getLogger()
    for handler in list(root.handlers):
        if isinstance(handler, LibraryLogHandler):
            root.removeHandler(handler)
    root.addHandler(LibraryLogHandler())
    # An error in a handler must not be written to standard error either.
    logging.raiseExceptions = False
