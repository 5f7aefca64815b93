"""Decodes the platform's settings file."""

import yaml
from result import Err, Ok

from ..findings import Finding
from ..vm_settings import VmSettings, readable_regions

# Environment variable that names the file.
FILE_VARIABLE = "CASSIAMOUNT_NODE_FILE"

# Each field: path in the file, type, name in `VmSettings`, and default or `REQUIRED`.
REQUIRED = object()
MAX_NUMBER = 1e9
FIELDS = (
    (("NodeName",), str, "vm_name", REQUIRED),
    (("Zone",), str, "zone", REQUIRED),
    (("Listen", "Frontend"), str, "caller_address", REQUIRED),
    (("Listen", "Ready"), str, "ready_address", REQUIRED),
    (("Listen", "Control"), str, "peer_address", REQUIRED),
    (("Platform", "Address"), str, "store_address", REQUIRED),
    (("Seeds",), list, "seed_addresses", ()),
    (("PortRange",), list, "free_ports", ()),
    (("Bootstrap",), bool, "first_start", False),
    (("HeartbeatMs",), (int, float), "heartbeat_ms", 1_200),
    (("Bounds", "DrainMs"), (int, float), "drain_ms", 2_000),
    (("Bounds", "GraceS"), (int, float), "grace_s", 8),
    (("Bounds", "RevokeMs"), (int, float), "key_limit_ms", None),
    (("Bounds", "RetryBudgetRatio"), (int, float), "retry_ratio", 0.1),
    (("Bounds", "BudgetWindowS"), (int, float), "retry_window_s", 10),
    (("Bounds", "RetrySlack"), (int, float), "retry_slack", 10),
    (("Bounds", "LeaseMs"), (int, float), "order_turn_ms", 3_000),
    (("Platform", "MinTtlMs"), (int, float), "min_lease_ms", 1_000),
    (("Limits", "CpuShare"), (int, float), "cpu_share", 1.0),
    (("Limits", "Cores"), (int, float), "cores", 1),
    (("Limits", "MaxFds"), int, "max_descriptors", None),
    (("Limits", "MemoryMb"), (int, float), "memory_mb", 300),
    (("Selection", "ByLoad"), bool, "selects_by_load", False),
    (("Bounds", "EvacuateMs"), (int, float), "evacuate_ms", 5_000),
    (("Bounds", "ColdOverrun"), (int, float), "cold_overrun", 1.5),
    (("Bounds", "ColdSlack"), (int, float), "cold_slack", 5),
    (("Zones",), object, "zone_regions", {}),
)


def decode_settings(text, file_name):
    """Return the settings of this VM.

    Parameters
    ----------
    text : str
    file_name : str
        Name of the file, for the locations of findings.

    Returns
    -------
    Result[VmSettings, list[Finding]]
        All findings at once; unknown fields are ignored.
    """
    try:
        document = yaml.safe_load(text)
    except Exception as error:
        # Besides its own errors the parser lets through those of values, such as dates.
        mark = getattr(error, "problem_mark", None)
        line = 1 if mark is None else mark.line + 1
        return Err([Finding(f"{file_name}:{line}:1", "invalid YAML")])
    if not isinstance(document, dict):
        return Err([Finding(f"{file_name}:1:1", "the file is not a mapping of fields")])
    findings = []
    values = {}
    for path, kind, name, default in FIELDS:
        value = _find(document, path)
        place = f"{file_name}: {'.'.join(path)}"
        if value is None:
            if default is REQUIRED:
                findings.append(Finding(place, "is missing"))
            values[name] = default
        elif not isinstance(value, kind) or (
            isinstance(value, bool) and kind is not bool
        ):
            findings.append(Finding(place, f"is {value!r}, which has the wrong type"))
        else:
            values[name] = value
    findings += _value_findings(values, file_name)
    if findings:
        return Err(findings)
    # The share is one of a core that is this many times as fast.
    values["processor_cores"] = round(values.pop("cpu_share") * values.pop("cores"), 2)
    values["zone_regions"] = readable_regions(values["zone_regions"])
    return Ok(VmSettings(**values))


def _value_findings(values, file_name):
    """Return the faults of values that have the right type."""
    findings = []
    for name in ("caller_address", "ready_address", "peer_address", "store_address"):
        if isinstance(values.get(name), str) and not _is_address(values[name]):
            findings.append(
                Finding(file_name, f"{values[name]!r} is not an IP:port address")
            )
    for seed in values.get("seed_addresses", ()):
        if not (isinstance(seed, str) and _is_address(seed)):
            findings.append(Finding(file_name, f"seed {seed!r} is no IP:port address"))
    for port in values.get("free_ports", ()):
        if not (type(port) is int and 0 < port < 65536):
            findings.append(Finding(file_name, f"{port!r} is not a port"))
    for name, value in values.items():
        if type(value) in (int, float) and not 0 <= value <= MAX_NUMBER:
            findings.append(Finding(file_name, f"{name} is out of range"))
    return findings


def _find(document, path):
    for step in path:
        if not isinstance(document, dict):
            return None
        document = document.get(step)
    return document


def _is_address(text):
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536
