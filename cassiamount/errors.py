"""Exceptions of the package."""


class CassiamountError(Exception):
    """Base class of every exception that the package raises on purpose."""


class InvariantViolation(CassiamountError):
    """An invariant of the program does not hold.

    Parameters
    ----------
    name : str
        Name of the invariant, as in ``docs/promises.md``.
    **state
        The values that show the violation.
    """

    def __init__(self, name, **state):
        details = ", ".join(f"{key}={value!r}" for key, value in state.items())
        super().__init__(f"invariant {name} violated: {details}")
        self.name = name
        self.state = state


class InvalidRecord(CassiamountError):
    """A log record cannot be decoded."""


class PlatformUnavailable(CassiamountError):
    """A service of the platform cannot be reached or reports an outage."""


class AppendLimitReached(PlatformUnavailable):
    """The log refused an append because of its append limit; it can be repeated."""


class OrderOutcomeUnknown(CassiamountError):
    """The answer to an order was lost; the engine may carry it out."""


class AppendOutcomeUnknown(CassiamountError):
    """The answer to an append was lost; the records may be in the log."""


class OffsetTrimmed(CassiamountError):
    """The log no longer holds the requested offset.

    Parameters
    ----------
    stream : str
    earliest : int
        First offset that the log still holds.
    """

    def __init__(self, stream, earliest):
        super().__init__(f"stream {stream} starts at offset {earliest}")
        self.stream = stream
        self.earliest = earliest


class OffsetGap(CassiamountError):
    """A fold was given a record past the one that it expects.

    Parameters
    ----------
    stream : str
    expected, offset : int
    """

    def __init__(self, stream, expected, offset):
        super().__init__(f"stream {stream}: expected offset {expected}, got {offset}")
        self.stream = stream
        self.expected = expected
        self.offset = offset
