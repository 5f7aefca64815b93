"""Decodes the platform's configuration and its entries of backend servers."""

import math
import re

import orjson

from ..cold_servers import MAX_COLD_MS, MAX_COLD_PER_S
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
from ..json_values import (
    amount_or_nan,
    count_field,
    count_of,
    optional_field,
    parse_object,
    strings_field,
    text_field,
    typed,
)
from ..keys import hash_key

# What a document of another form raises.
MALFORMED = (ValueError, KeyError, TypeError, AttributeError)


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
        remarks = []
        return FleetConfiguration(
            count_of(int(document["Version"])),
            [_route(value) for value in document["Routes"]],
            {value["Name"]: _service(value, remarks) for value in document["Services"]},
            {
                _header_text(value["Name"]): _team(value)
                for value in document.get("Tenants") or ()
            },
            bool(document.get("Tenants")),
            _limits(document.get("Limits") or {}),
            remarks,
        )
    except MALFORMED as error:
        raise UnreadableDocument(f"configuration: {error!r}") from error


def decode_evacuation(key):
    """Return the zone that a key of the configuration's topic orders to evacuate.

    None if the key is no such order.
    """
    prefix, _, zone = key.partition("/")
    return zone if prefix == "evacuate" and zone else None


def _cold_value(service, field, most, remarks):
    amount = amount_or_nan(service.get(field) or 0, most)
    if math.isnan(amount):
        remarks.append(
            f"{field} of service {service['Name']!r} is not from 0 to {most}"
        )
        return 0.0
    return amount


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
        regions=strings_field(value, "RegionsAllowed") or None,
    )


def _service(value, remarks):
    engine = value.get("Engine")
    return ServiceConfig(
        value["Name"],
        int(value.get("MaxConns") or 0),
        None if not engine else _engine(engine),
        1000 * _cold_value(value, "ColdStartS", MAX_COLD_MS / 1000, remarks),
        _cold_value(value, "ColdPerS", MAX_COLD_PER_S, remarks),
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


def _header_text(name):
    """Return a name that is sent in a header, which holds no control characters."""
    if not name.isprintable():
        raise ValueError(f"the name {name!r} has control characters")
    return name


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
        strings_field(value, "RegionsAllowed") or None,
    )


def _limits(value):
    defaults = CallerLimits()
    return CallerLimits(
        int(value.get("MaxHeaderBytes") or defaults.header_bytes),
        int(value.get("MaxBodyBytes") or defaults.body_bytes),
        int(value.get("HeaderTimeoutMs") or defaults.header_timeout_ms),
        int(value.get("IdleTimeoutMs") or defaults.idle_timeout_ms),
    )


# One part of a host's name or IPv4 address, and a port above 0.
LABEL = re.compile(r"[A-Za-z0-9_-]{1,63}", re.ASCII)
PORT = re.compile(r"[1-9][0-9]{0,4}", re.ASCII)
MAX_PORT = 65_535
# Largest number of slots.
MAX_COUNT = 1_000_000

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
        value = parse_object(data)
        _header_text(name)
        available = optional_field(value, "Available", dict, {})
        remaining_ms = optional_field(value, "RemainingMs", (int, float))
        return BackendRecord(
            name,
            text_field(value, "Service"),
            _address(value),
            text_field(value, "Zone"),
            count_field(value, "Slots", 1, MAX_COUNT),
            LEAVING_BY_STATE[value["State"]],
            remaining_ms,
            count_field(value, "born") if "born" in value else 0,
            residents(value.get("Models")),
            strings_field(available, "InMemory"),
            strings_field(available, "OnDisk"),
            count_field(value, "Seq") if "Seq" in value else 0,
            optional_field(value, "Version", str, ""),
            amount_or_nan(value.get("ColdRemainingMs") or 0, MAX_COLD_MS),
        )
    except MALFORMED as error:
        raise UnreadableDocument(f"server {name!r}: {error!r}") from error


def residents(models):
    """Return model -> adapters from a list of loaded models, also of another writer."""
    return {
        text_field(model, "Name"): frozenset(
            name.rpartition("/")[2] for name in strings_field(model, "Adapters")
        )
        for model in typed(models or [], list)
    }


def _address(value):
    """Return the address; a connection to another one would raise no `OSError`."""
    text = text_field(value, "Address")
    host, _, port = text.rpartition(":")
    labels = host.split(".")
    if not all(map(LABEL.fullmatch, labels)) or not PORT.fullmatch(port):
        raise ValueError("Address is not host:port")
    if int(port) > MAX_PORT:
        raise ValueError("port is out of range")
    return text
