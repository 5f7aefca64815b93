"""Splits a stream of server-sent events into whole events."""

# A stream whose event grows beyond this is broken off.
MAX_EVENT_BYTES = 1 << 20


class EventFramer:
    """Collects bytes and gives out whole events.

    An event ends with an empty line. What follows the last one is kept, because a
    backend server may break off in the middle of an event.
    """

    __slots__ = ("_rest", "last_id")

    def __init__(self):
        self._rest = b""
        self.last_id = ""

    @property
    def partial(self):
        """Whether bytes of an unfinished event are held."""
        return bool(self._rest.strip())

    def feed(self, data):
        """Return the bytes of all events that are complete now.

        Raises
        ------
        ValueError
            If an event is too large.
        """
        data = self._rest + data
        end = 0
        for mark in (b"\n\n", b"\r\n\r\n"):
            position = data.rfind(mark)
            if position >= 0:
                end = max(end, position + len(mark))
        whole, self._rest = data[:end], data[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("event too large")
        if whole:
            self._note_id(whole)
        return whole

    def _note_id(self, whole):
        for line in reversed(whole.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return
