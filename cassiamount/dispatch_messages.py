"""Messages to the dispatcher."""


class Submit:
    """Asks for the admission and dispatch of a request."""

    __slots__ = ("request_info",)

    def __init__(self, request_info):
        self.request_info = request_info


class Retry:
    """Asks for another attempt of an admitted request.

    Parameters
    ----------
    request_info : RequestInfo
    attempt : int
        Number of the new attempt, from 2.
    failed_backend : str
        Not selected again if another backend server can serve the request.
    """

    __slots__ = ("request_info", "attempt", "failed_backend")

    def __init__(self, request_info, attempt, failed_backend):
        self.request_info = request_info
        self.attempt = attempt
        self.failed_backend = failed_backend


class CancelRequest:
    """The caller of a waiting request disconnected."""

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id = request_id


class ConfigurationChanged:
    """A new configuration, or a new set of drained backend servers, is in force."""

    __slots__ = ("configuration", "drained")

    def __init__(self, configuration, drained):
        self.configuration = configuration
        self.drained = frozenset(drained)


class LoadReported:
    """A backend server reported its load."""

    __slots__ = ("report",)

    def __init__(self, report):
        self.report = report


class LeavingBackends:
    """The names of the backend servers that must get no new requests."""

    __slots__ = ("names",)

    def __init__(self, names):
        self.names = frozenset(names)


class DrainingModels:
    """The models and adapters that placement is about to unload.

    Parameters
    ----------
    pairs : iterable of (str, str)
        Backend server and model or adapter.
    """

    __slots__ = ("pairs",)

    def __init__(self, pairs):
        self.pairs = frozenset(pairs)


class CacheEvents:
    """A batch of cache events of one incarnation of an engine."""

    __slots__ = ("backend", "incarnation", "events")

    def __init__(self, backend, incarnation, events):
        self.backend = backend
        self.incarnation = incarnation
        self.events = events


class GrantsReceived:
    """Replies of a budget owner to this VM's requests for tokens.

    Parameters
    ----------
    asked : frozenset of str
        Teams for which tokens were requested.
    answers : dict of str to Grant, Shortage or NotOwner
        By team. A team in `asked` without an entry got no reply.
    """

    __slots__ = ("asked", "answers")

    def __init__(self, asked, answers):
        self.asked = frozenset(asked)
        self.answers = answers


class ReportsDone:
    """Usage reports that their owners answered, or that no owner can use any more."""

    __slots__ = ("reports",)

    def __init__(self, reports):
        self.reports = reports


class ReturnGrants:
    """Returns all unused tokens before a planned stop; the reply has the reports."""

    __slots__ = ()


class Tick:
    """Triggers the periodic work."""

    __slots__ = ()
