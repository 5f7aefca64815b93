"""Reports that the VMs of a fleet exchange, and their encoding."""

import orjson

from .crash_quarantine import QuarantinePart
from .engine_residency import ResidencyPart
from .json_shapes import (
    address,
    count,
    filled_text,
    flag,
    list_of,
    map_of,
    number,
    optional,
    rank_part,
    row,
    text,
    total,
)
from .load_counts import LoadPart
from .metadata_store import KeyedRecord
from .peer_topology import VmPlace
from .request_limits import LimitsPart
from .software_versions import SoftwarePart
from .vm_state import VmState


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
    carried : list of KeyedRecord, optional
        Records of earlier eras of the store that are newer than what it has now.
    """

    __slots__ = ("from_offset", "next_offset", "records", "carried")

    def __init__(self, from_offset, next_offset, records, carried=()):
        self.from_offset = from_offset
        self.next_offset = next_offset
        self.records = records
        self.carried = carried


class VmReport:
    """What one VM reports to another one several times a second.

    Requests and rates are sums: over the sender's own requests, or also over those of
    the VMs for which it speaks to this receiver.

    Parameters
    ----------
    vm : str
    started_ms : int
        Distinguishes two starts of the sender.
    version : int
        Version of the sender's state after this report.
    since : int
        Version to which this report adds the changes.
    seen_started_ms : int
        Start of the receiver to which `seen` applies; 0 without a report from it.
    seen : int
        Version of the receiver's state that the sender has.
    states : list of VmState
        States of VMs that changed.
    vouched_ages : dict of str to float
        VM that hears others -> time in ms since it was last known to go on.
    positions : dict of str to StreamPosition
        By stream of the store.
    records : dict of str to StreamRecords
        Records that the receiver lacks.
    running : dict of str to dict of str to int or None
        Backend server -> model, adapter or service -> requests there. The inner key is
        empty for a receiver that needs no more than the sum. None if this report does
        not repeat it.
    waiting : dict of str to int
        Model or adapter -> requests that wait.
    rates : dict of str to list
        Model -> `RequestRate.to_value`, of models that were requested.
    wants_demand : bool
        Whether the sender needs `waiting`, `rates` and all of `running`.
    residency : ResidencyPart or None
    quarantine : QuarantinePart or None
    limits : LimitsPart or None
    places : list of VmPlace
        VMs that may be running and of which `states` tells nothing.
    knows_fleet : bool
        Whether this report, with those before it, names all VMs.
    leaving : list
        ``[backend, started_wall_ms]`` of each server that has said that it leaves.
    software : SoftwarePart or None
    built_ms : int
        Monotonic time of the sender.
    echo : list or None
        Of the last report that the sender has from the receiver: its `built_ms`, and
        the time since it came. By these the receiver knows, on its own clock, when this
        report was built at the earliest, however long it was under way.
    loads : LoadPart or None
    """

    __slots__ = (
        "vm",
        "started_ms",
        "version",
        "since",
        "seen_started_ms",
        "seen",
        "states",
        "vouched_ages",
        "positions",
        "records",
        "running",
        "waiting",
        "rates",
        "wants_demand",
        "residency",
        "quarantine",
        "limits",
        "places",
        "knows_fleet",
        "leaving",
        "software",
        "built_ms",
        "echo",
        "loads",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


# One object for each, because `row` checks the columns of the same shape together.
_COUNT_OR_NULL = optional(count)
_NUMBER_OR_NULL = optional(number)
_NUMBERS = map_of(number)
# A rank orders the values of one key; the parts of all ranks of a key compare.
_RANK = optional(list_of(rank_part))
_RECORDS = list_of(row(count, text, optional(text), _RANK))
_PLACE = row(filled_text, address, optional(text), number)
_STATE = row(
    filled_text,
    text,
    address,
    number,
    count,
    number,
    flag,
    flag,
    count,
    map_of(total),
    text,
    flag,
)
_RESIDENCY = row(number, map_of(list_of(text)), _NUMBERS, list_of(text))
_CRASH = row(text, number, number, list_of(row(text, number, list_of(text))))
# What a report holds, in the order of its slots.
REPORT_SHAPE = row(
    filled_text,
    number,
    count,
    count,
    number,
    count,
    list_of(_STATE),
    _NUMBERS,
    map_of(row(_COUNT_OR_NULL, _NUMBER_OR_NULL)),
    map_of(row(_COUNT_OR_NULL, count, _RECORDS, _RECORDS)),
    optional(map_of(map_of(count))),
    map_of(count),
    map_of(row(number, number, number, number, count)),
    flag,
    optional(
        row(
            count,
            number,
            map_of(row(count, optional(_RESIDENCY))),
            map_of(row(count, _NUMBER_OR_NULL)),
        )
    ),
    optional(
        row(
            list_of(_CRASH),
            _NUMBERS,
            list_of(row(list_of(text, least=1), number)),
        )
    ),
    optional(
        row(
            list_of(row(text, number, _NUMBER_OR_NULL, number)),
            list_of(row(text, number, number)),
        )
    ),
    list_of(_PLACE),
    flag,
    list_of(row(text, number)),
    optional(
        row(
            list_of(row(text, text, number, number)),
            list_of(row(text, text, number)),
            _NUMBER_OR_NULL,
        )
    ),
    number,
    optional(row(number, number)),
    optional(
        row(
            list_of(filled_text),
            list_of(
                row(
                    text,
                    number,
                    _COUNT_OR_NULL,
                    _COUNT_OR_NULL,
                    _COUNT_OR_NULL,
                    _COUNT_OR_NULL,
                    number,
                )
            ),
            list_of(
                row(text, number, number, count, list_of(row(count, count, count)))
            ),
        )
    ),
)


def encode_report(report):
    """Encode a `VmReport` as a JSON array in the order of its slots."""
    value = {name: getattr(report, name) for name in VmReport.__slots__}
    value["states"] = [state.to_value() for state in report.states]
    value["positions"] = {
        name: [position.next_offset, position.age_ms]
        for name, position in report.positions.items()
    }
    value["records"] = {
        name: [
            part.from_offset,
            part.next_offset,
            [_record_to_value(record) for record in part.records],
            [_record_to_value(record) for record in part.carried],
        ]
        for name, part in report.records.items()
    }
    if report.residency is not None:
        value["residency"] = report.residency.to_value()
    if report.quarantine is not None:
        value["quarantine"] = report.quarantine.to_value()
    if report.limits is not None:
        value["limits"] = report.limits.to_value()
    if report.software is not None:
        value["software"] = report.software.to_value()
    if report.loads is not None:
        value["loads"] = report.loads.to_value()
    value["places"] = [place.to_value() for place in report.places]
    return orjson.dumps([value[name] for name in VmReport.__slots__])


def _record_to_value(record):
    value = None if record.value is None else record.value.decode("latin-1")
    return [record.offset, record.key, value, record.rank]


def _record_from_value(item):
    offset, key, value, rank = item
    return KeyedRecord(
        offset,
        key,
        None if value is None else value.encode("latin-1"),
        None if rank is None else tuple(rank),
    )


def decode_report(data):
    """Decode a `VmReport`.

    Raises
    ------
    ValueError
        If the data is not a report.
    """
    try:
        parsed = orjson.loads(data)
        # One value of another form would fail later, and each time it is used.
        REPORT_SHAPE([parsed])
        value = dict(zip(VmReport.__slots__, parsed, strict=True))
        value["states"] = [VmState(*item) for item in value["states"]]
        value["positions"] = {
            name: StreamPosition(*item) for name, item in value["positions"].items()
        }
        value["records"] = {
            name: StreamRecords(
                item[0],
                item[1],
                [_record_from_value(record) for record in item[2]],
                [_record_from_value(record) for record in item[3]],
            )
            for name, item in value["records"].items()
        }
        if value["residency"] is not None:
            value["residency"] = ResidencyPart(*value["residency"])
        if value["quarantine"] is not None:
            value["quarantine"] = QuarantinePart(*value["quarantine"])
        if value["limits"] is not None:
            value["limits"] = LimitsPart(*value["limits"])
        if value["software"] is not None:
            value["software"] = SoftwarePart(*value["software"])
        if value["loads"] is not None:
            value["loads"] = LoadPart(*value["loads"])
        value["places"] = [VmPlace(*item) for item in value["places"]]
        return VmReport(**value)
    except (KeyError, TypeError, AttributeError, IndexError) as error:
        raise ValueError(f"invalid report: {error!r}") from error
