"""The JSON of a daemon's ``/status``: what operators see of one VM."""

_SEQUENCES = (list, tuple)


class _StatusPart:
    """A part of the status, tolerant of missing, unknown and malformed fields.

    A daemon of another version may leave out a field or add one, so a field that is
    missing or of the wrong type takes its default.
    """

    __slots__ = ()
    defaults = {}

    def __init__(self, **fields):
        unknown = fields.keys() - self.defaults.keys()
        if unknown:
            raise TypeError(f"unknown fields {sorted(unknown)}")
        for name, default in self.defaults.items():
            value = fields.get(name, default)
            setattr(self, name, list(value) if isinstance(default, tuple) else value)

    @classmethod
    def from_json(cls, value):
        """Return the part from parsed JSON, whatever that is."""
        if not isinstance(value, dict):
            return cls()
        fields = {}
        for name, default in cls.defaults.items():
            if name in value and _has_type_of(value[name], default):
                fields[name] = value[name]
        return cls(**fields)

    def to_json(self):
        """Return the JSON form."""
        return {name: _json_of(getattr(self, name)) for name in self.defaults}


def _has_type_of(value, default):
    if isinstance(default, bool) or isinstance(value, bool):
        return isinstance(default, bool) and isinstance(value, bool)
    if isinstance(default, (int, float)):
        return isinstance(value, (int, float))
    if isinstance(default, tuple):
        return isinstance(value, _SEQUENCES)
    # None stands for a number that is not known.
    return isinstance(value, (int, float) if default is None else type(default))


def _json_of(value):
    if isinstance(value, _StatusPart):
        return value.to_json()
    if isinstance(value, _SEQUENCES):
        return [_json_of(item) for item in value]
    return value


class ResidentStatus(_StatusPart):
    """A model or adapter in the memory of an engine."""

    defaults = {"name": "", "kind": "model", "version": "", "state": "", "memory_mb": 0}
    __slots__ = tuple(defaults)


class BackendStatus(_StatusPart):
    """A backend server as a VM sees it.

    Fields
    ------
    state : str
        ``live``, ``leaving``, ``drained``, ``ejected`` or ``unreachable``.
    report_age_ms : float or None
        Age of the last load report; None without one.
    """

    defaults = {
        "name": "",
        "zone": "",
        "kind": "",
        "state": "",
        "running": 0,
        "waiting": 0,
        "memory_used_mb": 0,
        "memory_capacity_mb": 0,
        "report_age_ms": None,
        "residents": (),
    }
    __slots__ = tuple(defaults)

    @classmethod
    def from_json(cls, value):
        """Return the part from parsed JSON, whatever that is."""
        part = super().from_json(value)
        part.residents = [ResidentStatus.from_json(item) for item in part.residents]
        return part


class BudgetStatus(_StatusPart):
    """A team's budget: at its owner if `owned`, else the tokens held on the VM.

    Fields
    ------
    level_tokens, outstanding_tokens : float
        Of the owner's bucket.
    held_tokens : float
        Granted to this VM and not spent.
    """

    defaults = {
        "team": "",
        "partition": 0,
        "owned": False,
        "level_tokens": 0.0,
        "outstanding_tokens": 0.0,
        "held_tokens": 0.0,
    }
    __slots__ = tuple(defaults)


class LeaseStatus(_StatusPart):
    """A lease of the VM's zone.

    Fields
    ------
    holder : str
        ``<name>@<incarnation>``; empty if nobody holds it.
    remaining_ms : float or None
        Until it expires, as this VM sees it.
    extended : bool
        Whether promises extend it in a log outage.
    """

    defaults = {
        "lease": "",
        "holder": "",
        "fence": 0,
        "remaining_ms": None,
        "extended": False,
    }
    __slots__ = tuple(defaults)


class StreamStatus(_StatusPart):
    """How far a VM has read a stream.

    Fields
    ------
    staleness_ms : float or None
        Time since the VM last knew that it had read up to the head; None if never.
    rejections : list
        The last rejected records, each
        ``{"offset", "kind", "id", "vm", "reason"}``.
    """

    defaults = {
        "stream": "",
        "next_offset": 0,
        "staleness_ms": None,
        "digest": "",
        "rejections": (),
    }
    __slots__ = tuple(defaults)


class VmStatus(_StatusPart):
    """The whole status of one VM.

    Fields
    ------
    vm : str
        ``<name>@<incarnation>``.
    state : str
        ``starting``, ``live`` or ``leaving``.
    configuration_version : int
        Version in force on this VM.
    configuration_staleness_ms : float or None
        Time since the VM last knew that the version is the newest one.
    withdrawn_here : list of str
        Key hashes withdrawn on this VM directly.
    """

    defaults = {
        "vm": "",
        "zone": "",
        "state": "",
        "uptime_ms": 0.0,
        "log_reachable": False,
        "configuration_version": 0,
        "configuration_staleness_ms": None,
        "admitted_requests": 0,
        "queued_requests": 0,
        "members": (),
        "streams": (),
        "leases": (),
        "backends": (),
        "budgets": (),
        "withdrawn_here": (),
    }
    __slots__ = tuple(defaults)

    @classmethod
    def from_json(cls, value):
        """Return the status from parsed JSON, whatever that is."""
        part = super().from_json(value)
        part.members = [item for item in part.members if isinstance(item, str)]
        part.withdrawn_here = [
            item for item in part.withdrawn_here if isinstance(item, str)
        ]
        part.streams = [StreamStatus.from_json(item) for item in part.streams]
        part.leases = [LeaseStatus.from_json(item) for item in part.leases]
        part.backends = [BackendStatus.from_json(item) for item in part.backends]
        part.budgets = [BudgetStatus.from_json(item) for item in part.budgets]
        return part


class UnreachableVm:
    """A VM whose status could not be read.

    Parameters
    ----------
    address : str
        Its admin address.
    reason : str
    """

    __slots__ = ("address", "reason")

    def __init__(self, address, reason):
        self.address = address
        self.reason = reason

    def to_json(self):
        """Return the JSON form."""
        return {"address": self.address, "unreachable": self.reason}
