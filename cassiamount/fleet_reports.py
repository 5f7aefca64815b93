"""Reports that the VMs of a fleet exchange, and their encoding."""

import orjson

from .fleet_orders import target_name
from .metadata_store import KeyedRecord
from .model_demand import RequestCount

# A ready time that changes by less is not reported again.
READY_TIME_TOLERANCE_MS = 50.0


class Residency:
    """What the VM that holds the order lease knows about one engine.

    Parameters
    ----------
    started_wall_ms : int
        Wall-clock time at which the engine started.
    ready : dict of str to list of str
        Loaded model -> its loaded adapters.
    loading : dict of str to float
        Model or adapter -> time at which it should be ready; in a report, in ms after
        the report.
    drained : list of str
        Models that are about to be evicted and get no new requests.
    """

    __slots__ = ("started_wall_ms", "ready", "loading", "drained")

    def __init__(self, started_wall_ms, ready, loading, drained):
        self.started_wall_ms = started_wall_ms
        self.ready = ready
        self.loading = loading
        self.drained = drained

    def targets(self):
        """Return the models and adapters that are loaded or loading."""
        held = {
            target_name(model, adapter)
            for model, adapters in self.ready.items()
            for adapter in ("", *adapters)
        }
        return held | self.loading.keys()

    def differs(self, known):
        """Return whether a VM that has `known` needs this update."""
        return (
            self.started_wall_ms != known.started_wall_ms
            or self.ready != known.ready
            or self.drained != known.drained
            or self.loading.keys() != known.loading.keys()
            or any(
                abs(at_ms - known.loading[name]) > READY_TIME_TOLERANCE_MS
                for name, at_ms in self.loading.items()
            )
        )

    def shifted(self, ms):
        """Return a copy with all times shifted by some ms."""
        loading = {name: at + ms for name, at in self.loading.items()}
        return Residency(self.started_wall_ms, self.ready, loading, self.drained)

    def to_value(self):
        """Return the list that represents this object in a report."""
        return [self.started_wall_ms, self.ready, self.loading, self.drained]


class StreamPosition:
    """Next offset of a VM in a stream of the store, and age of its confirmation."""

    __slots__ = ("next_offset", "age_ms")

    def __init__(self, next_offset, age_ms):
        self.next_offset = next_offset
        self.age_ms = age_ms


class StreamRecords:
    """Records of a stream that the receiver of a report lacks.

    Parameters
    ----------
    from_offset : int or None
        None if these are the newest records of all keys.
    next_offset : int
    records : list of KeyedRecord
    """

    __slots__ = ("from_offset", "next_offset", "records")

    def __init__(self, from_offset, next_offset, records):
        self.from_offset = from_offset
        self.next_offset = next_offset
        self.records = records


class Versions:
    """Versions of those parts of a VM's state that are reported incrementally.

    Parameters
    ----------
    asked, residency : int
    """

    __slots__ = ("asked", "residency")

    def __init__(self, asked=0, residency=0):
        self.asked = asked
        self.residency = residency


class VmReport:
    """What one VM reports to another one several times a second.

    Parameters
    ----------
    vm, zone, address : str
    started_ms : int
        Distinguishes two starts of a VM.
    stopping : bool
    store_reachable : bool
    positions : dict of str to StreamPosition
        By stream of the store.
    records : dict of str to StreamRecords
        Records that the receiver lacks.
    running : dict of str to dict of str to int
        Backend server -> model, adapter or service -> this VM's requests there.
    waiting : dict of str to int
        Model or adapter -> requests that wait on this VM.
    asked : dict of str to RequestCount
        Requests that arrived at this VM since its start, by model; only the counts
        that changed since the version that the receiver has.
    used_tokens : dict of str to float
        Tokens used since the VM's start, by team.
    fence : int
        Fencing token if this VM holds the order lease, else 0.
    order_age_ms : float or None
        Time since this VM last sent an order.
    residency : dict of str to Residency or None
        By engine; only from the lease holder, and only what changed since the version
        that the receiver has.
    queued : dict of str to float
        Model -> time in ms until some engine should have it ready; only from the lease
        holder.
    versions : Versions
        Versions of this VM's state after this report.
    since : Versions
        Versions of this VM's state to which this report adds the changes.
    seen_started_ms : int
        Start of the receiver to which `seen` applies; 0 without a report from it.
    seen : Versions
        Versions of the receiver's state that this VM has.
    """

    __slots__ = (
        "vm",
        "zone",
        "address",
        "started_ms",
        "stopping",
        "store_reachable",
        "positions",
        "records",
        "running",
        "waiting",
        "asked",
        "used_tokens",
        "fence",
        "order_age_ms",
        "residency",
        "queued",
        "versions",
        "since",
        "seen_started_ms",
        "seen",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


VERSION_FIELDS = ("versions", "since", "seen")


def encode_report(report):
    """Encode a `VmReport` as a JSON array in the order of its slots."""
    value = {name: getattr(report, name) for name in VmReport.__slots__}
    for name in VERSION_FIELDS:
        value[name] = [value[name].asked, value[name].residency]
    value["asked"] = {
        name: [count.total, count.latency_sensitive, count.with_adapter]
        for name, count in report.asked.items()
    }
    value["positions"] = {
        name: [position.next_offset, position.age_ms]
        for name, position in report.positions.items()
    }
    value["records"] = {
        name: [
            part.from_offset,
            part.next_offset,
            [
                [
                    r.offset,
                    r.key,
                    None if r.value is None else r.value.decode("latin-1"),
                ]
                for r in part.records
            ],
        ]
        for name, part in report.records.items()
    }
    value["residency"] = (
        None
        if report.residency is None
        else {name: item.to_value() for name, item in report.residency.items()}
    )
    return orjson.dumps([value[name] for name in VmReport.__slots__])


def decode_report(data):
    """Decode a `VmReport`.

    Raises
    ------
    ValueError
        If the data is not a report.
    """
    try:
        value = dict(zip(VmReport.__slots__, orjson.loads(data), strict=True))
        for name in VERSION_FIELDS:
            value[name] = Versions(*value[name])
        value["positions"] = {
            name: StreamPosition(*item) for name, item in value["positions"].items()
        }
        value["records"] = {
            name: StreamRecords(
                item[0],
                item[1],
                [
                    KeyedRecord(
                        r[0], r[1], None if r[2] is None else r[2].encode("latin-1")
                    )
                    for r in item[2]
                ],
            )
            for name, item in value["records"].items()
        }
        value["asked"] = {
            name: RequestCount(*item) for name, item in value["asked"].items()
        }
        if value["residency"] is not None:
            value["residency"] = {
                name: Residency(*item) for name, item in value["residency"].items()
            }
        return VmReport(**value)
    except (KeyError, TypeError, AttributeError, IndexError) as error:
        raise ValueError(f"invalid report: {error!r}") from error
