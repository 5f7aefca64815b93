"""Versions of a VM's own copy of the fleet's state."""


class ChangeCounter:
    """Numbers the changes of one VM's copy, so that peers can ask for what is new."""

    __slots__ = ("version",)

    def __init__(self):
        self.version = 0

    def next(self):
        """Return the version of a change that is made now."""
        self.version += 1
        return self.version
