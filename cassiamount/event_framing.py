"""Splits a stream of server-sent events into complete events."""

# A stream is aborted if one event exceeds this size, to limit memory.
MAX_EVENT_BYTES = 1 << 20
DELIMITERS = (b"\n\n", b"\r\n\r\n")
MAX_DELIMITER_BYTES = max(map(len, DELIMITERS))


class EventFramer:
    """Buffers received bytes and returns complete events.

    An event ends with an empty line. An incomplete event stays in the buffer, because
    the backend server may fail before it has sent the rest.
    """

    __slots__ = ("_buffer", "last_event_id")

    def __init__(self):
        self._buffer = bytearray()
        self.last_event_id = ""

    @property
    def held_bytes(self):
        """Size of the incomplete event."""
        return len(self._buffer)

    @property
    def has_partial_event(self):
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())

    @property
    def rest(self):
        """The bytes after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data):
        """Add received bytes; return the bytes of all events that are now complete.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        # What was searched before holds no end of an event.
        searched = max(0, len(self._buffer) - MAX_DELIMITER_BYTES + 1)
        self._buffer += data
        end = 0
        for delimiter in DELIMITERS:
            position = self._buffer.rfind(delimiter, searched)
            if position >= 0:
                end = max(end, position + len(delimiter))
        complete_events = bytes(self._buffer[:end])
        del self._buffer[:end]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(
                f"event too large: {len(self._buffer)} of {MAX_EVENT_BYTES} bytes"
            )
        if complete_events:
            self._record_last_id(complete_events)
        return complete_events

    def _record_last_id(self, complete_events):
        for line in reversed(complete_events.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_event_id = line[3:].strip().decode("latin-1")
                return
