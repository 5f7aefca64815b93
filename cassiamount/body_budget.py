"""Limit on the bodies of all current requests, or of all answers, together."""

import collections

import structlog

# A body that is not complete has made no progress if it grew by less than
# PROGRESS_BYTES in STALLED_MS. Retransmissions on a lossy link take up to a second.
STALLED_MS = 1_000.0
PROGRESS_BYTES = 4 << 10
# Answers are read ahead of slow callers up to these parts of the budget, for one answer
# and for all. The rest is left for events of other answers that are needed whole.
READ_AHEAD_ANSWER_SHARE = 1 / 8
READ_AHEAD_SHARE = 1 / 2

log = structlog.get_logger()


class NoMemory(ValueError):
    """All memory set aside for answers is taken."""


class HeldBody:
    """How much of one body is held.

    Attributes
    ----------
    on_displaced : callable or None
        Called when the body has to make room for others. Only set while the body is
        arriving; afterwards it can't be displaced.
    is_displaced : bool
    """

    __slots__ = ("size_bytes", "on_displaced", "is_displaced", "_marked_bytes")

    def __init__(self):
        self.size_bytes = 0
        self.on_displaced = None
        self.is_displaced = False
        self._marked_bytes = 0

    def has_progressed(self):
        """Return whether it has grown by `PROGRESS_BYTES` since this was last true."""
        if self.size_bytes - self._marked_bytes < PROGRESS_BYTES:
            return False
        self._marked_bytes = self.size_bytes
        return True


class BodyBudget:
    """Counts the bytes of all bodies that are held.

    Parameters
    ----------
    limit_bytes : int
    free_bytes : int
        The first bytes of each body that are not counted, so that large bodies keep no
        small ones out.
    now_ms : callable, optional
        Needed to displace bodies that make no progress.
    metrics : Metrics, optional
        Counts the bodies that were displaced.
    """

    __slots__ = (
        "limit_bytes",
        "free_bytes",
        "held_bytes",
        "_now_ms",
        "_metrics",
        "_arriving",
    )

    def __init__(self, limit_bytes, free_bytes=0, now_ms=None, metrics=None):
        self.limit_bytes = limit_bytes
        self.free_bytes = free_bytes
        self.held_bytes = 0
        self._now_ms = now_ms
        self._metrics = metrics
        # Body -> when it made progress, the one longest without progress first.
        self._arriving = collections.OrderedDict()

    def take(self, held, part_bytes):
        """Count a further part of a body; it is to be given back in either case.

        If it does not fit, bodies that make no progress are displaced, the one that
        has made none for longest first.

        Returns
        -------
        bool
            Whether the part may be held.
        """
        fits = self.resize(held, held.size_bytes + part_bytes)
        may_displace = held.on_displaced is not None and self._now_ms is not None
        # Displacing a body that does not count yet would make no room.
        if may_displace and self._counted(held):
            if held.has_progressed() or held not in self._arriving:
                self._arriving[held] = self._now_ms()
                self._arriving.move_to_end(held)
        while not fits and self._displace(held):
            fits = self.held_bytes <= self.limit_bytes
        return fits

    def complete(self, held):
        """Note that a body has arrived, or is read no further."""
        held.on_displaced = None
        self._arriving.pop(held, None)

    def _displace(self, newcomer):
        """Displace the body longest without progress; return whether there is one."""
        if not self._arriving:
            return False
        held, progressed_ms = next(iter(self._arriving.items()))
        still_ms = self._now_ms() - progressed_ms
        if held is newcomer or still_ms < STALLED_MS:
            return False
        log.info(
            "body_displaced",
            bound="STALLED_MS",
            still_ms=round(still_ms),
            size_bytes=held.size_bytes,
            held_bytes=self.held_bytes,
            limit_bytes=self.limit_bytes,
        )
        if self._metrics is not None:
            self._metrics.count("bodies_displaced_total")
        on_displaced = held.on_displaced
        self.complete(held)
        self.release(held)
        held.is_displaced = True
        on_displaced()
        return True

    def resize(self, held, size_bytes):
        """Count how much of a body is held now.

        Returns
        -------
        bool
            Whether that much may be held.
        """
        before_bytes = self._counted(held)
        held.size_bytes = size_bytes
        added_bytes = self._counted(held) - before_bytes
        self.held_bytes += added_bytes
        return added_bytes <= 0 or self.held_bytes <= self.limit_bytes

    def release(self, held):
        """Give back what a request that ended has held."""
        self._arriving.pop(held, None)
        self.held_bytes -= self._counted(held)
        held.size_bytes = 0

    def _counted(self, held):
        return max(0, held.size_bytes - self.free_bytes)


class HeldAnswer:
    """How much of an answer is held until its caller has taken it.

    Parameters
    ----------
    budget : BodyBudget
        Shared by all answers.
    """

    __slots__ = ("_budget", "_held")

    def __init__(self, budget):
        self._budget = budget
        self._held = HeldBody()

    def hold(self, size_bytes):
        """Count how much is held now; return whether that much may be held."""
        return self._budget.resize(self._held, size_bytes)

    def may_read_ahead(self):
        """Return whether more may be read while this much waits for the caller."""
        budget = self._budget
        return (
            self._held.size_bytes < READ_AHEAD_ANSWER_SHARE * budget.limit_bytes
            and budget.held_bytes < READ_AHEAD_SHARE * budget.limit_bytes
        )

    def check_event(self, complete_bytes, framer):
        """Count complete events that are held, and the incomplete one.

        Parameters
        ----------
        complete_bytes : int
        framer : EventFramer or EventSplitter

        Raises
        ------
        NoMemory
            If there is no memory for the incomplete one, which can't be passed on.
        """
        may_hold = self.hold(complete_bytes + framer.held_bytes)
        if not may_hold and framer.held_bytes > self._budget.free_bytes:
            raise NoMemory(
                f"no memory for an event: {framer.held_bytes} bytes of it came, all"
                f" answers hold {self._budget.held_bytes}"
            )

    def release(self):
        """Give back what the answer has held."""
        self._budget.release(self._held)
