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

    __slots__ = (
        "backend",
        "address",
        "time_left_ms",
        "priority",
        "team",
        "last_event_id",
    )

    def __init__(self, backend, address, time_left_ms, rank, team, last_event_id=""):
        self.backend = backend
        self.address = address
        self.time_left_ms = time_left_ms
        self.priority = rank
        self.team = team
        self.last_event_id = last_event_id


class ResponseMetadata:
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
        "closes_connection",
        "keep_alive_ms",
        "content_encoded",
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
        closes_connection=False,
        keep_alive_ms=None,
        content_encoded=False,
        event_stream=False,
    ):
        self.status = status
        self.request_id = request_id
        self.not_run = not_run
        self.signed = signed
        self.running = running
        self.waiting = waiting
        self.closes_connection = closes_connection
        self.keep_alive_ms = keep_alive_ms
        self.content_encoded = content_encoded
        self.event_stream = event_stream


class ResponseHead:
    """Head of the response to a request.

    Parameters
    ----------
    facts : AnswerFacts
    headers : list of (bytes, bytes)
        Names in lower case.
    length : int or None
        Of the body, if the response states it.
    """

    __slots__ = ("metadata", "headers", "content_length")

    def __init__(self, metadata, headers, content_length):
        self.metadata = metadata
        self.headers = headers
        self.content_length = content_length


class BodyChunk:
    """Some bytes of a response body."""

    __slots__ = ("data",)

    def __init__(self, data):
        self.data = data


class ResponseComplete:
    """The response is complete."""

    __slots__ = ()


class ResponseFailed:
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
