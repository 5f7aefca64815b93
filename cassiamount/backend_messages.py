"""Values passed between the relay and the connections to backend servers."""


class Attempt:
    """One attempt to run a request at a backend server.

    Parameters
    ----------
    backend, address : str
    time_left_ms : float
        Time until the request's deadline.
    priority : int
        0 is served first.
    team : str
        Empty if the request needs no key.
    last_event_id : str
        ID of the last event that the caller received, set to resume a broken stream.
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
    """What the relay reads from the status line and headers of a response.

    Parameters
    ----------
    status : int
    request_id : str
        Empty if the response has no request ID header.
    not_run : bool
        Whether the backend server states that it did not run the request.
    signed : bool
        Whether the response carries the backend server's signature header.
    running, waiting : int or None
        Requests at the backend server, from its load header.
    closes_connection : bool
        Whether the backend server closes the connection after the response.
    keep_alive_ms : float or None
        Time for which the backend server keeps an idle connection open.
    content_encoded : bool
        Whether the body is compressed or otherwise encoded.
    event_stream : bool
        Whether the body is a stream of server-sent events.
    limit_per_s : float or None
        Requests a second that the backend server takes from all VMs together, if it
        names a limit.
    leaving : bool
        Whether the backend server says that it leaves.
    retry_after_ms : float or None
        Time for which a backend server that refuses wants nothing from this VM.
    cold_ms : float
        Time for which the backend server says that it is still cold.
    slots, pace_percent : int or None
        Requests that the backend server runs at once, and how long work takes there
        now (100 is usual), from its load header.
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
        "limit_per_s",
        "leaving",
        "retry_after_ms",
        "cold_ms",
        "slots",
        "pace_percent",
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
        limit_per_s=None,
        leaving=False,
        retry_after_ms=None,
        cold_ms=0.0,
        slots=None,
        pace_percent=None,
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
        self.limit_per_s = limit_per_s
        self.leaving = leaving
        self.retry_after_ms = retry_after_ms
        self.cold_ms = cold_ms
        self.slots = slots
        self.pace_percent = pace_percent


class ResponseHead:
    """Status and headers of the response, sent before its body.

    Parameters
    ----------
    metadata : ResponseMetadata
    headers : list of (bytes, bytes)
        Names in lower case.
    content_length : int or None
        None if the response does not state the size of its body.
    """

    __slots__ = ("metadata", "headers", "content_length")

    def __init__(self, metadata, headers, content_length):
        self.metadata = metadata
        self.headers = headers
        self.content_length = content_length


class BodyChunk:
    """A piece of the response body, as it was read from the connection."""

    __slots__ = ("data",)

    def __init__(self, data):
        self.data = data


class EventsWaiting:
    """Events could not be written to the caller at once and wait for its connection."""

    __slots__ = ()


class ResponseComplete:
    """The whole response was received."""

    __slots__ = ()


class ResponseFailed:
    """The response broke off or is not valid HTTP.

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
