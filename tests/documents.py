"""Small valid documents that tests change."""

import copy

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
        {"name": "stitchers", "template": "standard", "parameters": {"rate": 20}},
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


def changed(document, *path, value):
    """Return a copy of `document` with the value at `path` replaced.

    A step past the end of a list appends; the value ``...`` removes the field.
    """
    document = copy.deepcopy(document)
    target = document
    for step in path[:-1]:
        target = target[step]
    last = path[-1]
    if value is ...:
        del target[last]
    elif isinstance(target, list) and last == len(target):
        target.append(value)
    else:
        target[last] = value
    return document
