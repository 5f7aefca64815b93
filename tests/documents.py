"""Small valid documents, and functions that derive invalid ones from them."""

import copy

from hypothesis import strategies as st

from .test_records import JSON

DOCUMENT = {
    "zones": [{"name": "zone-a", "weight": 1}],
    "models": [{"name": "loom", "version": "1", "memory_mb": 16, "load_ms": 40}],
    "adapters": [{"name": "hem", "base": "loom", "version": "1", "memory_mb": 2}],
    "backends": [
        {
            "name": "engine-1",
            "zone": "zone-a",
            "address": "127.0.0.1:9101",
            "kind": "engine",
            "memory_mb": 40,
            "max_running": 16,
        },
        {
            "name": "orders-1",
            "zone": "zone-a",
            "address": "127.0.0.1:9201",
            "kind": "service",
            "service": "orders",
            "max_running": 16,
        },
    ],
    "services": [
        {"name": "orders", "routes": [{"path": "/stock", "methods": ["GET"]}]}
    ],
    "templates": [
        {
            "name": "standard",
            "parameters": {
                "rate": {"type": "integer"},
                "models": {"type": "array", "default": ["loom"]},
            },
            "team": {
                "models": {"$param": "models"},
                "adapters": ["hem"],
                "services": ["orders"],
                "rate_tokens_per_s": {"$param": "rate"},
                "burst_tokens": 4000,
            },
        }
    ],
    "teams": [
        {"name": "team-a", "template": "standard", "parameters": {"rate": 20}},
        {"name": "riggers", "rate_tokens_per_s": 10, "burst_tokens": 100},
    ],
}

SETTINGS = {
    "vm_name": "vm-1",
    "zone": "zone-a",
    "listen_address": "127.0.0.1:8001",
    "peer_address": "127.0.0.1:8002",
    "admin_address": "127.0.0.1:8003",
    "log_address": "127.0.0.1:9001",
    "vm_list_address": "127.0.0.1:9002",
    "weight_store_address": "127.0.0.1:9003",
}


def with_value(document, *path, value):
    """Return a copy of `document` with the value at `path` replaced.

    An index equal to the length of a list appends; the value ``...`` deletes the item.
    """
    document = copy.deepcopy(document)
    target = document
    for step in path[:-1]:
        target = target[step]
    last = path[-1]
    if isinstance(target, dict) and not isinstance(last, str):
        raise TypeError("a JSON field name must be a string")
    if value is ...:
        del target[last]
    elif isinstance(target, list) and last == len(target):
        target.append(value)
    else:
        target[last] = value
    return document


def iter_paths(value, path=()):
    """Yield the path of a JSON value and of every value inside it."""
    yield path
    if isinstance(value, (dict, list)):
        steps = value if isinstance(value, dict) else range(len(value))
        for step in steps:
            yield from iter_paths(value[step], (*path, step))


def mutated_documents(document):
    """Return a strategy for copies with one to three values replaced or removed."""
    return st.lists(
        st.tuples(
            st.sampled_from([path for path in iter_paths(document) if path]),
            st.just(...) | JSON | st.sampled_from(["loom", {"$param": "rate"}, 0, -1]),
        ),
        min_size=1,
        max_size=3,
    ).map(lambda edits: apply_edits(document, edits))


def apply_edits(document, edits):
    for path, value in edits:
        try:
            document = with_value(document, *path, value=value)
        except (LookupError, TypeError):
            # The path no longer exists after an earlier edit.
            continue
    return document
