"""Messages between the VMs of a fleet."""

import orjson

from .metadata_store import KeyedRecord
from .model_demand import AskedCount


class Residency:
    """What the holder of the orders knows of one engine.

    Parameters
    ----------
    started_wall_ms : int
        Start of the engine.
    ready : dict of str to list of str
        Model -> its adapters.
    coming : dict of str to float
        Model or adapter -> time in ms until it should be ready.
    drained : list of str
        Models about to be unloaded.
    """

    __slots__ = ("started_wall_ms", "ready", "coming", "drained")

    def __init__(self, started_wall_ms, ready, coming, drained):
        self.started_wall_ms = started_wall_ms
        self.ready = ready
        self.coming = coming
        self.drained = drained

    def to_value(self):
        """Return the JSON form."""
        return [self.started_wall_ms, self.ready, self.coming, self.drained]


class StreamPosition:
    """How far a VM knows a stream of the store, and how old its proof of that is."""

    __slots__ = ("next_offset", "age_ms")

    def __init__(self, next_offset, age_ms):
        self.next_offset = next_offset
        self.age_ms = age_ms


class StreamRecords:
    """Records of a stream for a VM that is behind.

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


class VmReport:
    """What one VM tells the others several times a second.

    Parameters
    ----------
    vm, zone, address : str
    started_ms : int
        Tells two starts of a VM apart.
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
    asked : dict of str to AskedCount
        Requests that came to this VM since its start, by model.
    used_tokens : dict of str to float
        Taken since the VM's start, by team.
    fence : int
        Fencing token if this VM holds the right to order, else 0.
    order_age_ms : float or None
        Time since this VM last sent an order.
    residency : dict of str to Residency or None
        Only from the holder.
    queued : dict of str to float
        Model -> time in ms until it should be at some engine; only from the holder.
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
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


def encode_report(report):
    """Return the bytes of a `VmReport`."""
    value = {
        name: getattr(report, name)
        for name in VmReport.__slots__
        if name not in ("positions", "records", "residency", "asked")
    }
    value["asked"] = {
        name: [count.total, count.hurried, count.with_adapter]
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
    return orjson.dumps(value)


def decode_report(data):
    """Return the `VmReport` in some bytes.

    Raises
    ------
    ValueError
    """
    try:
        value = orjson.loads(data)
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
            name: AskedCount(*item) for name, item in value["asked"].items()
        }
        if value["residency"] is not None:
            value["residency"] = {
                name: Residency(*item) for name, item in value["residency"].items()
            }
        return VmReport(**value)
    except (KeyError, TypeError, AttributeError, IndexError) as error:
        raise ValueError(f"no report: {error!r}") from error
