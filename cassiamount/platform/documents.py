"""Decodes the platform's configuration and its entries of backend servers."""

import orjson

from ..fleet import (
    BackendRecord,
    CallerLimits,
    EngineRule,
    FleetConfiguration,
    ModelRule,
    RouteRule,
    ServiceRule,
    TeamRule,
)
from ..keys import hash_key


class UnreadableDocument(ValueError):
    """A record of the platform that cannot be decoded."""


def decode_configuration(data):
    """Return the `FleetConfiguration` in the bytes of ``op/config``.

    Raises
    ------
    UnreadableDocument
    """
    try:
        document = orjson.loads(data)
        return FleetConfiguration(
            int(document["Version"]),
            [_route(value) for value in document["Routes"]],
            {value["Name"]: _service(value) for value in document["Services"]},
            {value["Name"]: _team(value) for value in document.get("Tenants") or ()},
            bool(document.get("Tenants")),
            _limits(document.get("Limits") or {}),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnreadableDocument(f"configuration: {error!r}") from error


def _route(value):
    targets = [(value["Service"], 1.0)] if value.get("Service") else []
    if value.get("Split"):
        targets = [(part["Service"], float(part["Weight"])) for part in value["Split"]]
    kind = value["Type"]
    return RouteRule(
        value["Name"],
        value["Host"].lower(),
        value["PathPrefix"],
        targets,
        idempotent=kind == "idempotent",
        streamed=kind == "streaming",
        resumable=bool(value.get("Resumable")),
        open=bool(value.get("Public")),
        time_limit_ms=float(value["TimeoutMs"]),
        objective_ms=float(value.get("GoalMs") or value["TimeoutMs"]),
        gap_objective_ms=float(value.get("GapGoalMs") or 0),
        attempts=int(value.get("Attempts") or 1),
        rank=int(value["Priority"]) if value.get("Priority") is not None else 5,
    )


def _service(value):
    engine = value.get("Engine")
    return ServiceRule(
        value["Name"],
        int(value.get("MaxConns") or 0),
        None if not engine else _engine(engine),
    )


def _engine(value):
    models = {model["Name"]: _model(model) for model in value.get("Models") or ()}
    return EngineRule(
        int(value.get("Slots") or 1),
        int(value.get("KvCapacity") or 0),
        float(value.get("WeightsMb") or 0),
        int(value.get("MaxAdapters") or 0),
        float(value.get("LoadsPerS") or 1),
        models,
    )


def _model(value):
    load_ms = 1000 * float(value["LoadTimeS"])
    return ModelRule(
        value["Name"],
        float(value["WeightsMb"]),
        load_ms,
        1000 * float(value.get("MemoryLoadS") or value["LoadTimeS"]),
        1000 * float(value.get("DiskLoadS") or value["LoadTimeS"]),
        float(value.get("AdapterSizeMb") or 0),
    )


def _team(value):
    by_tokens = value.get("Unit") == "token_count"
    rank = value.get("Priority")
    return TeamRule(
        value["Name"],
        [hash_key(key) for key in value.get("ApiKeys") or ()],
        None if rank is None else int(rank),
        float(value.get("RatePerS") or 0),
        float(value.get("Burst") or 0),
        float(value.get("RawTokens") or 1),
        by_tokens,
    )


def _limits(value):
    known = CallerLimits()
    return CallerLimits(
        int(value.get("MaxHeaderBytes") or known.header_bytes),
        int(value.get("MaxBodyBytes") or known.body_bytes),
        int(value.get("HeaderTimeoutMs") or known.header_timeout_ms),
        int(value.get("IdleTimeoutMs") or known.idle_timeout_ms),
    )


STATES = {"ready": False, "draining": True}


def decode_backend(name, data):
    """Return the `BackendRecord` in the bytes of ``servers/NAME``.

    Raises
    ------
    UnreadableDocument
        Also for an entry of another writer: fields missing or of another type.
    """
    try:
        value = orjson.loads(data)
        if not isinstance(value, dict):
            raise TypeError("no object")
        host, _, port = _text(value, "Address").rpartition(":")
        if not host or not port.isdigit():
            raise ValueError("address")
        available = value.get("Available") or {}
        return BackendRecord(
            name,
            _text(value, "Service"),
            value["Address"],
            _text(value, "Zone"),
            _whole(value, "Slots"),
            STATES[value["State"]],
            value.get("RemainingMs"),
            value["born"] if isinstance(value.get("born"), int) else 0,
            residents(value.get("Models")),
            frozenset(available.get("InMemory") or ()),
            frozenset(available.get("OnDisk") or ()),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnreadableDocument(f"server {name!r}: {error!r}") from error


def residents(models):
    """Return the adapters of each model in a list of what an engine holds."""
    return {
        model["Name"]: frozenset(
            name.rpartition("/")[2] for name in model.get("Adapters") or ()
        )
        for model in models or ()
    }


def _text(value, field):
    text = value[field]
    if not isinstance(text, str) or not text:
        raise TypeError(field)
    return text


def _whole(value, field):
    number = value[field]
    if not isinstance(number, int) or isinstance(number, bool) or number < 1:
        raise TypeError(field)
    return number
