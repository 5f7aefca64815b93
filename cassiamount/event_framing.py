"""Splits a stream of server-sent events into whole events."""

# A stream whose event grows beyond this is broken off.
MAX_EVENT_BYTES = 1 << 20


class EventFramer:
    """Collects bytes and gives out whole events.

    An event ends with an empty line. What follows the last one is kept, because a
    backend server may break off in the middle of an event.
    """

    __slots__ = ("_buffer", "last_event_id")

    def __init__(self):
        self._buffer = b""
        self.last_event_id = ""

    @property
    def has_partial_event(self):
        """Whether bytes of an unfinished event are held."""
        return bool(self._buffer.strip())

    def feed(self, data):
        """Return the bytes of all events that are complete now.

        Raises
        ------
        ValueError
            If an event is too large.
        """
        data = self._buffer + data
        end = 0
        for delimiter in (b"\n\n", b"\r\n\r\n"):
            position = data.rfind(delimiter)
            if position >= 0:
                end = max(end, position + len(delimiter))
        complete_events, self._buffer = data[:end], data[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event too large")
        if complete_events:
            self._record_last_id(complete_events)
        return complete_events

    def _record_last_id(self, complete_events):
        for line in reversed(complete_events.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
                return
