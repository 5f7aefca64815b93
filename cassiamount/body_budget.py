"""Limit on the bodies of all current requests, or of all answers, together."""


class NoMemory(ValueError):
    """All memory set aside for answers is taken."""


class HeldBody:
    """How much of one body is held."""

    __slots__ = ("size_bytes",)

    def __init__(self):
        self.size_bytes = 0


class BodyBudget:
    """Counts the bytes of all bodies that are held.

    Parameters
    ----------
    limit_bytes : int
    free_bytes : int
        The first bytes of each body that are not counted, so that large bodies keep no
        small ones out.
    """

    __slots__ = ("limit_bytes", "free_bytes", "held_bytes")

    def __init__(self, limit_bytes, free_bytes=0):
        self.limit_bytes = limit_bytes
        self.free_bytes = free_bytes
        self.held_bytes = 0

    def take(self, held, part_bytes):
        """Count a further part of a body; it is to be given back in either case.

        Returns
        -------
        bool
            Whether the part may be held.
        """
        return self.resize(held, held.size_bytes + part_bytes)

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
