"""Decodes the platform's configuration and its entries of backend servers."""

import orjson

from ..fleet import (
    BackendRecord,
    CallerLimits,
    EngineConfig,
    FleetConfiguration,
    ModelConfig,
    RouteConfig,
    ServiceConfig,
    TeamConfig,
)
from ..keys import hash_key


class UnreadableDocument(ValueError):
    """A configuration or an entry of the platform that cannot be decoded."""


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
    return RouteConfig(
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
        priority=int(value["Priority"]) if value.get("Priority") is not None else 5,
    )


def _service(value):
    engine = value.get("Engine")
    return ServiceConfig(
        value["Name"],
        int(value.get("MaxConns") or 0),
        None if not engine else _engine(engine),
    )


def _engine(value):
    models = {model["Name"]: _model(model) for model in value.get("Models") or ()}
    return EngineConfig(
        int(value.get("Slots") or 1),
        int(value.get("KvCapacity") or 0),
        float(value.get("WeightsMb") or 0),
        int(value.get("MaxAdapters") or 0),
        float(value.get("LoadsPerS") or 1),
        models,
    )


def _model(value):
    load_ms = 1000 * float(value["LoadTimeS"])
    return ModelConfig(
        value["Name"],
        float(value["WeightsMb"]),
        load_ms,
        1000 * float(value.get("MemoryLoadS") or value["LoadTimeS"]),
        1000 * float(value.get("DiskLoadS") or value["LoadTimeS"]),
        float(value.get("AdapterSizeMb") or 0),
    )


def _team(value):
    charged_by_tokens = value.get("Unit") == "token_count"
    priority = value.get("Priority")
    return TeamConfig(
        value["Name"],
        [hash_key(key) for key in value.get("ApiKeys") or ()],
        None if priority is None else int(priority),
        float(value.get("RatePerS") or 0),
        float(value.get("Burst") or 0),
        float(value.get("RawTokens") or 1),
        charged_by_tokens,
    )


def _limits(value):
    defaults = CallerLimits()
    return CallerLimits(
        int(value.get("MaxHeaderBytes") or defaults.header_bytes),
        int(value.get("MaxBodyBytes") or defaults.body_bytes),
        int(value.get("HeaderTimeoutMs") or defaults.header_timeout_ms),
        int(value.get("IdleTimeoutMs") or defaults.idle_timeout_ms),
    )


LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_backend(name, data):
    """Return the `BackendRecord` in the bytes of ``servers/NAME``.

    Raises
    ------
    UnreadableDocument
        Also if fields are missing or have the wrong type, as in entries that another
        program wrote.
    """
    try:
        value = orjson.loads(data)
        if not isinstance(value, dict):
            raise TypeError("entry is not a JSON object")
        host, _, port = _non_empty_string(value, "Address").rpartition(":")
        if not host or not port.isdigit():
            raise ValueError("Address is not host:port")
        available = value.get("Available") or {}
        return BackendRecord(
            name,
            _non_empty_string(value, "Service"),
            value["Address"],
            _non_empty_string(value, "Zone"),
            _positive_integer(value, "Slots"),
            LEAVING_BY_STATE[value["State"]],
            value.get("RemainingMs"),
            value["born"] if isinstance(value.get("born"), int) else 0,
            residents(value.get("Models")),
            frozenset(available.get("InMemory") or ()),
            frozenset(available.get("OnDisk") or ()),
            value["Seq"] if isinstance(value.get("Seq"), int) else 0,
            _optional_string(value, "Version"),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnreadableDocument(f"server {name!r}: {error!r}") from error


def residents(models):
    """Return model -> adapters from an engine's list of loaded models."""
    return {
        model["Name"]: frozenset(
            name.rpartition("/")[2] for name in model.get("Adapters") or ()
        )
        for model in models or ()
    }


def _non_empty_string(value, field):
    text = value[field]
    if not isinstance(text, str) or not text:
        raise TypeError(field)
    return text


def _optional_string(value, field):
    text = value.get(field, "")
    if not isinstance(text, str):
        raise TypeError(field)
    return text


def _positive_integer(value, field):
    number = value[field]
    if not isinstance(number, int) or isinstance(number, bool) or number < 1:
        raise TypeError(field)
    return number
