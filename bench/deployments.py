"""The two deployments with their current sizes, and the teams' demand."""

import math

import xxhash

from cassiamount.configuration import configuration_from_document
from cassiamount.requests import BATCH, INTERACTIVE, NORMAL, RequestInfo

# First-token targets of the classes, and time after which callers have no use for
# the first token.
FIRST_TOKEN_MS = {INTERACTIVE: 760.0, NORMAL: 1_500.0, BATCH: 10_000.0}
DEADLINE_MS = {INTERACTIVE: 10_000.0, NORMAL: 20_000.0, BATCH: 60_000.0}
INTER_TOKEN_MS = 42.0

MODELS = 20
ADAPTERS = 80
ENGINES = 6
ENGINE_MEMORY_MB = 40_000
MAX_RUNNING = 16
LOAD_MS = 4_000
PROMPT_TOKENS = (128, 768)
OUTPUT_TOKENS = (20, 140)
MAX_OUTPUT_TOKENS = 140
# Requests/s that all engines together serve when no model is short of copies.
CAPACITY_PER_S = 34.0
MEAN_COST_TOKENS = 448 + MAX_OUTPUT_TOKENS
# Share of the capacity that the teams' rates add up to.
RATES_SHARE = 0.9
# Team -> share of the rates, priority, offered load relative to its rate.
TEAMS = {
    "team-a": (0.38, INTERACTIVE, 0.7),
    "team-b": (0.27, NORMAL, 0.7),
    "team-c": (0.15, NORMAL, 4.0),
    "team-d": (0.12, INTERACTIVE, 0.7),
    "team-e": (0.08, BATCH, 0.7),
}
BURST_S = 8.0
HOT_SHARE = 0.5
HOT_MS = 40_000.0


class Deployment:
    """Zones, delays and names of one deployment."""

    __slots__ = ("name", "zones", "zone_ms", "client_ms", "engines")

    def __init__(self, name, zones, zone_ms, client_ms, engines):
        self.name = name
        self.zones = zones
        self.zone_ms = zone_ms
        self.client_ms = client_ms
        self.engines = engines


DEPLOYMENTS = {
    "netcraft": Deployment(
        "netcraft",
        ("th-north-a", "th-north-b", "th-north-c"),
        0.5,
        3.0,
        "loom-llm",
    ),
    "regie": Deployment(
        "regie", ("sfax-a", "sfax-b", "sfax-c"), 1.5, 1.0, "greeting-models"
    ),
}


def configuration_of(deployment):
    """Return the configuration of a deployment."""
    return configuration_from_document(document_of(deployment))


def document_of(deployment):
    """Return the document with the deployment's engines, models and teams."""
    sizes = [4_000 + 500 * (number % 8) for number in range(MODELS)]
    return {
        "zones": [{"name": zone, "weight": 1} for zone in deployment.zones],
        "models": [
            {
                "name": f"model-{number:02}",
                "version": "1",
                "memory_mb": size,
                "load_ms": LOAD_MS,
            }
            for number, size in enumerate(sizes)
        ],
        "adapters": [
            {
                "name": f"adapter-{number:02}",
                "base": f"model-{number % MODELS:02}",
                "version": "1",
                "memory_mb": 80,
            }
            for number in range(ADAPTERS)
        ],
        "backends": [
            {
                "name": f"{deployment.engines}-{number + 1}",
                "zone": deployment.zones[number % len(deployment.zones)],
                "address": f"127.0.0.1:{9101 + number}",
                "kind": "engine",
                "memory_mb": ENGINE_MEMORY_MB,
                "accelerators": 1,
                "max_running": MAX_RUNNING,
                "checks_fence": number % 2 == 0,
            }
            for number in range(ENGINES)
        ],
        "services": [],
        "policy": {"attainment_weight": 1.0, "fairness_weight": 1.0},
        "templates": [],
        "teams": [
            {
                "name": team,
                "models": [f"model-{number:02}" for number in range(MODELS)],
                "adapters": [f"adapter-{number:02}" for number in range(ADAPTERS)],
                "services": [],
                "rate_tokens_per_s": team_rate(team),
                "burst_tokens": int(team_rate(team) * BURST_S),
                "priority": priority,
                "keys": [],
            }
            for team, (_, priority, _) in TEAMS.items()
        ],
    }


def team_rate(team):
    """Return a team's rate in tokens/s."""
    return int(TEAMS[team][0] * RATES_SHARE * CAPACITY_PER_S * MEAN_COST_TOKENS)


class Offer:
    """A request as a caller sends it."""

    __slots__ = ("request_info", "output_tokens", "at_ms")

    def __init__(self, request_info, output_tokens, at_ms):
        self.request_info = request_info
        self.output_tokens = output_tokens
        self.at_ms = at_ms


def demand(rng, duration_ms, load=1.0, overload_ms=None):
    """Return the offers of all teams, in order of time.

    A hot model takes half of the requests and changes every `HOT_MS`; the others
    follow a power law whose order changes with it. Each team's load also varies by
    half over some seconds.

    Parameters
    ----------
    rng : random.Random
    duration_ms : float
    load : float
        Factor on all teams' offered load.
    overload_ms : (float, float), optional
        Time during which `load` applies.
    """
    offers = []
    orders = []
    for _ in range(int(duration_ms // HOT_MS) + 1):
        orders.append(rng.sample(range(MODELS), MODELS))
    weights = [1.0 / (rank + 1) for rank in range(MODELS - 1)]
    for team, (_, priority, relative) in TEAMS.items():
        mean_per_s = team_rate(team) * relative / MEAN_COST_TOKENS
        phase = rng.uniform(0, 2 * math.pi)
        now_ms = 0.0
        number = 0
        while True:
            factor = 1.0 + 0.5 * math.sin(now_ms / 4_000.0 + phase)
            if overload_ms is None or overload_ms[0] <= now_ms < overload_ms[1]:
                factor *= load
            now_ms += rng.expovariate(mean_per_s * factor / 1000)
            if now_ms >= duration_ms:
                break
            order = orders[int(now_ms // HOT_MS)]
            if rng.random() < HOT_SHARE:
                model = order[0]
            else:
                model = rng.choices(order[1:], weights)[0]
            number += 1
            name = f"{team}/{number}"
            offers.append(_offer(rng, name, team, priority, model, now_ms))
    offers.sort(key=lambda offer: offer.at_ms)
    return offers


def _offer(rng, request_id, team, priority, model, now_ms):
    prompt_tokens = rng.randint(*PROMPT_TOKENS)
    # Conversations of a team share prefixes with each other.
    thread = rng.randint(0, 7)
    blocks = prompt_tokens // 128
    shared = rng.randint(0, blocks)
    prefix = [
        _block_hash(team, model, thread, block)
        if block < shared
        else _block_hash(request_id, block)
        for block in range(blocks)
    ]
    adapter = ""
    if rng.random() < 0.25:
        adapter = f"adapter-{rng.randint(0, 3) * MODELS + model:02}"
    request_info = RequestInfo(
        request_id,
        team,
        priority,
        model=f"model-{model:02}",
        adapter=adapter,
        prompt_tokens=prompt_tokens,
        max_output_tokens=MAX_OUTPUT_TOKENS,
        prefix_hashes=prefix,
        arrived_ms=now_ms,
        deadline_ms=now_ms + DEADLINE_MS[priority],
    )
    return Offer(request_info, rng.randint(*OUTPUT_TOKENS), now_ms)


def _block_hash(*parts):
    return xxhash.xxh64_intdigest(repr(parts).encode())
