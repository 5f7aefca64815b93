"""Logical time of a log stream, from the wall clocks of the VMs that write to it."""


class StreamTime:
    """The second-latest wall time among the writers of a log stream.

    The time of a writer is that of its latest record. The latest time of all is not
    used, so one VM whose clock runs ahead cannot make claims expire, and one whose
    clock is behind has no effect. If there is a single writer, its own time is used.

    Attributes
    ----------
    now_ms : int
        Wall time; 0 before the first record.
    """

    __slots__ = ("_latest", "_second_latest")

    def __init__(self, latest=("", 0), second_latest=("", 0)):
        self._latest = latest
        self._second_latest = second_latest

    @classmethod
    def from_state(cls, state):
        """Restore the stream time from the result of `to_state`."""
        (first_vm, first_ms), (second_vm, second_ms) = state
        return cls((first_vm, int(first_ms)), (second_vm, int(second_ms)))

    def to_state(self):
        """Return the state in a form that can be written as JSON."""
        return [list(self._latest), list(self._second_latest)]

    @property
    def now_ms(self):
        """The time of the stream in milliseconds since the Unix epoch."""
        return self._second_latest[1] if self._second_latest[0] else self._latest[1]

    def observe(self, vm, wall_ms):
        """Record the wall time that a writer put into a record.

        Parameters
        ----------
        vm : str
            ``<name>@<incarnation>``. Only the name is used, because a restarted VM has
            the same clock.
        wall_ms : int
        """
        name = vm.partition("@")[0]
        if name == self._latest[0]:
            self._latest = (name, max(wall_ms, self._latest[1]))
        elif wall_ms > self._latest[1]:
            self._latest, self._second_latest = (name, wall_ms), self._latest
        elif name == self._second_latest[0]:
            self._second_latest = (name, max(wall_ms, self._second_latest[1]))
        elif wall_ms > self._second_latest[1]:
            self._second_latest = (name, wall_ms)
