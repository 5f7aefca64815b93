"""Parser for the server-sent events (SSE) of an engine's streamed response."""

import re

import orjson

MAX_EVENT_BYTES = 1 << 20
# ASCII text that a JSON string contains without escapes.
PLAIN_TEXT = re.compile(rb"[ !#-\[\]-~]+")
TEXT_FIELD = re.compile(rb'"(?:content|text)": ?"')


class MalformedStream(ValueError):
    """A backend server sent a malformed event stream."""


class EventSplitter:
    r"""Splits a byte stream into whole events.

    Parameters
    ----------
    max_event_bytes : int
        A larger event is an error, so that a backend server cannot exhaust the
        memory.

    Notes
    -----
    Events end at a blank line; lines end in LF or CRLF (HTML standard, section 9.2).
    Lone CR as a line ending is not accepted: no engine sends it, and it would make
    every CR at the end of a chunk ambiguous.
    """

    __slots__ = ("max_event_bytes", "_buffer", "_pending_cr")

    def __init__(self, max_event_bytes=MAX_EVENT_BYTES):
        self.max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        self._pending_cr = False

    @property
    def held_bytes(self):
        """Size of the incomplete event."""
        return len(self._buffer)

    def feed(self, chunk):
        """Return the events that `chunk` completes, each without its blank line.

        Raises
        ------
        MalformedStream
        """
        if self._pending_cr:
            chunk = b"\r" + chunk
            self._pending_cr = False
        if b"\r" in chunk:
            if chunk.endswith(b"\r"):
                chunk = chunk[:-1]
                self._pending_cr = True
            chunk = chunk.replace(b"\r\n", b"\n")
        # What was searched before holds no end of an event.
        searched = max(0, len(self._buffer) - 1)
        self._buffer += chunk
        events = []
        if self._buffer.find(b"\n\n", searched) >= 0:
            *events, rest = bytes(self._buffer).split(b"\n\n")
            self._buffer[:] = rest
        if len(self._buffer) > self.max_event_bytes:
            raise MalformedStream("event exceeds the size limit")
        for event in events:
            if len(event) > self.max_event_bytes:
                raise MalformedStream("event exceeds the size limit")
        return [event for event in events if event]

    def split_whole(self, chunk):
        """Return the events of a chunk that holds whole events only, else None.

        Most chunks do and can be forwarded unchanged. All others go to `feed`.
        """
        if (
            chunk.startswith(b"\n")
            or self._buffer
            or self._pending_cr
            or len(chunk) > self.max_event_bytes
            or not chunk.endswith(b"\n\n")
            or b"\r" in chunk
            or b"\n\n\n" in chunk
        ):
            return None
        return chunk[:-2].split(b"\n\n")


class StreamProgress:
    """The text and state of a streamed completion, as far as it was received.

    Counts one token for each event that carries text, which is the unit of
    ``X-Resume-Offset``.
    """

    __slots__ = (
        "tokens",
        "texts",
        "done",
        "finished",
        "usage_tokens",
        "first_id",
        "single_choice",
        "_prefix",
        "_suffix",
    )

    def __init__(self):
        self.tokens = 0
        self.texts = []
        self.done = False
        self.finished = False
        self.usage_tokens = None
        self.first_id = None
        # A stream of several choices cannot be continued from one text.
        self.single_choice = True
        self._prefix = None
        self._suffix = b""

    @property
    def text(self):
        """The text generated so far."""
        return "".join(self.texts)

    def read_by_template(self, event):
        """Read an event that differs from the last parsed one only in plain text.

        Nearly all events of a stream do, and comparing bytes costs a third of parsing.

        Returns
        -------
        bool
            False if the event has to be parsed.
        """
        prefix = self._prefix
        if prefix is None or not event.startswith(prefix):
            return False
        end = len(event) - len(self._suffix)
        if not event.endswith(self._suffix):
            return False
        match = PLAIN_TEXT.fullmatch(event, len(prefix), end)
        if match is None:
            return False
        self.tokens += 1
        self.texts.append(match[0].decode())
        return True

    def _learn_template(self, event, document):
        """Keep the bytes around the text of an event as the template for later ones.

        There is no template if the event does more than add plain text.
        """
        self._prefix = None
        if len(document.get("choices", ())) != 1 or document.get("usage"):
            return
        found = TEXT_FIELD.findall(event)
        if len(found) != 1 or self.finished:
            return
        start = TEXT_FIELD.search(event).end()
        match = PLAIN_TEXT.match(event, start)
        if match is None or event[match.end() : match.end() + 1] != b'"':
            return
        if match[0].decode() != self.texts[-1]:
            return
        self._prefix, self._suffix = event[:start], event[match.end() :]

    def read(self, event):
        """Parse one event; return its document, or None if it has none.

        Raises
        ------
        MalformedStream
            If the event is not a JSON object or reports an error of the engine.
        """
        if not event.startswith(b"data:"):
            event = _data_of(event)
            if event is None:
                return None
        elif b"\n" in event:
            event = _data_of(event)
        data = event[5:].strip()
        if data == b"[DONE]":
            self.done = True
            return None
        try:
            document = orjson.loads(data)
        except orjson.JSONDecodeError:
            raise MalformedStream("event is not valid JSON") from None
        if type(document) is not dict or "error" in document:
            raise MalformedStream("event reports an error or is not a JSON object")
        choices = document.get("choices", ())
        if type(choices) not in (list, tuple):
            raise MalformedStream("choices of an event is not a list")
        tokens = self.tokens
        for choice in choices:
            self._read_choice(choice)
        if self.tokens == tokens + 1 and self.texts:
            self._learn_template(event, document)
        usage = document.get("usage")
        if type(usage) is dict and type(usage.get("total_tokens")) is int:
            self.usage_tokens = usage["total_tokens"]
        return document

    def _read_choice(self, choice):
        if type(choice) is not dict:
            raise MalformedStream("choice of an event is not a JSON object")
        if choice.get("index"):
            self.single_choice = False
        delta = choice.get("delta")
        text = delta.get("content") if type(delta) is dict else choice.get("text")
        if text:
            if type(text) is not str:
                raise MalformedStream("text of a choice is not a string")
            self.tokens += 1
            self.texts.append(text)
        elif type(delta) is dict and delta.get("tool_calls"):
            # Tool calls have no text that another engine could continue from.
            self.tokens += 1
            self.single_choice = False
        if choice.get("finish_reason"):
            self.finished = True


def _data_of(event):
    """Join the data lines of an event into one; return None if there are none."""
    lines = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"data:" + b"\n".join(lines) if lines else None
