"""Limit on the bodies of all current requests together."""


class HeldBody:
    """How much of one request's body is held."""

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
        before_bytes = self._counted(held)
        held.size_bytes += part_bytes
        added_bytes = self._counted(held) - before_bytes
        self.held_bytes += added_bytes
        return not added_bytes or self.held_bytes <= self.limit_bytes

    def release(self, held):
        """Give back what a request that ended has held."""
        self.held_bytes -= self._counted(held)
        held.size_bytes = 0

    def _counted(self, held):
        return max(0, held.size_bytes - self.free_bytes)
