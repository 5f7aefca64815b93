"""Messages between the relay and the connections to backend servers."""


class Attempt:
    """One sending of a request to a backend server.

    Parameters
    ----------
    backend, address : str
    time_left_ms : float
    rank : int
        0 is served first.
    team : str
        Empty without a key.
    last_event : str
        Last event that the caller has, for a stream that goes on.
    """

    __slots__ = ("backend", "address", "time_left_ms", "rank", "team", "last_event")

    def __init__(self, backend, address, time_left_ms, rank, team, last_event=""):
        self.backend = backend
        self.address = address
        self.time_left_ms = time_left_ms
        self.rank = rank
        self.team = team
        self.last_event = last_event


class AnswerFacts:
    """What the system needs to know of a response head.

    Parameters
    ----------
    status : int
    request_id : str
        Empty if the response names none.
    not_run : bool
        Whether the backend server says that it did not run the request.
    signed : bool
    running, waiting : int or None
        Load of the backend server as it answered.
    closes : bool
        Whether the connection closes after the response.
    idle_ms : float or None
        How long the backend server keeps the connection idle.
    encoded, event_stream : bool
    """

    __slots__ = (
        "status",
        "request_id",
        "not_run",
        "signed",
        "running",
        "waiting",
        "closes",
        "idle_ms",
        "encoded",
        "event_stream",
    )

    def __init__(
        self,
        status,
        request_id="",
        not_run=False,
        signed=False,
        running=None,
        waiting=None,
        closes=False,
        idle_ms=None,
        encoded=False,
        event_stream=False,
    ):
        self.status = status
        self.request_id = request_id
        self.not_run = not_run
        self.signed = signed
        self.running = running
        self.waiting = waiting
        self.closes = closes
        self.idle_ms = idle_ms
        self.encoded = encoded
        self.event_stream = event_stream


class AnswerHead:
    """Head of the response to a request.

    Parameters
    ----------
    facts : AnswerFacts
    headers : list of (bytes, bytes)
        Names in lower case.
    length : int or None
        Of the body, if the response states it.
    """

    __slots__ = ("facts", "headers", "length")

    def __init__(self, facts, headers, length):
        self.facts = facts
        self.headers = headers
        self.length = length


class AnswerPart:
    """Some bytes of a response body."""

    __slots__ = ("data",)

    def __init__(self, data):
        self.data = data


class AnswerEnd:
    """The response is complete."""

    __slots__ = ()


class AnswerBroken:
    """No complete response will come.

    Parameters
    ----------
    reason : str
    sent : bool
        Whether the request may have reached the backend server.
    """

    __slots__ = ("reason", "sent")

    def __init__(self, reason, sent):
        self.reason = reason
        self.sent = sent
