"""States of the decision objects at several sizes, for `bench.slopes`."""

from types import SimpleNamespace

from bench.deployments import DEPLOYMENTS, document_of
from cassiamount.admission import AdmissionQueue
from cassiamount.budget import BudgetOwner
from cassiamount.budget_holder import BudgetHolder
from cassiamount.budget_messages import Grant
from cassiamount.claim_state import ClaimState
from cassiamount.config_state import ConfigState
from cassiamount.configuration import Backend
from cassiamount.demand import DemandRate, DemandTracker
from cassiamount.engine_ledger import EngineLedger
from cassiamount.load_report import LoadReport, Resident
from cassiamount.placement import PlacementPolicy
from cassiamount.placement_view import views_of
from cassiamount.prefix_index import PrefixIndex
from cassiamount.records import (
    ClaimLease,
    ClaimRequest,
    GiveKey,
    IntendOrder,
    PublishConfiguration,
    RegisterVm,
)
from cassiamount.requests import RequestInfo
from cassiamount.routing import Router
from cassiamount.stream_state import Applied
from cassiamount.zone_state import ZoneState

VMS = 400
REPLICAS = 600
MODELS = 280
TEAMS = 400
ZONES = 9
COPIES = REPLICAS // 100


class Case:
    """A state of `size` items and one operation on it.

    Parameters
    ----------
    item, operation : str
    largest : int
        Number of items with the size in two years.
    build : callable
        ``build(size, rng)`` returns a callable that does the operation once.
    rounds : int
        Operations timed.
    """

    def __init__(self, item, operation, largest, build, rounds=200):
        self.item = item
        self.operation = operation
        self.largest = largest
        self.build = build
        self.rounds = rounds


def zone_of(number):
    return f"zone-{number % ZONES}"


def replicas(size, models=MODELS):
    """Return a configuration of engines and a report of each."""
    backends = {}
    reports = []
    for number in range(size):
        name = f"engine-{number}"
        backends[name] = Backend(
            name, zone_of(number), f"10.0.0.1:{number}", "engine", "", 80_000, 8, 64
        )
        held = [f"model-{(number * COPIES + n) % models}" for n in range(COPIES)]
        residents = [Resident(n, "model", "1", "ready", 10_000) for n in held]
        reports.append(
            LoadReport(
                name,
                "i",
                number % 40,
                memory_used_mb=10_000 * len(residents),
                memory_capacity_mb=80_000,
                residents=residents,
                as_of_ms=20_000.0,
            )
        )
    configuration = SimpleNamespace(
        backends=backends,
        adapters={},
        models={
            f"model-{n}": SimpleNamespace(
                name=f"model-{n}", version="1", memory_mb=10_000, load_ms=4_000
            )
            for n in range(models)
        },
        zones={
            zone_of(n): SimpleNamespace(name=zone_of(n), weight=1) for n in range(ZONES)
        },
        policy=SimpleNamespace(attainment_weight=1.0, fairness_weight=1.0),
        teams={},
    )
    return configuration, reports


def fold(state, make, first=()):
    """Return a build that applies `make(number)` and times one more record.

    The records `first` come before.
    """

    def build(size, rng):
        folded = state()
        for record in first:
            applied = folded.apply(folded.next_offset, record)
            assert isinstance(applied, Applied), applied
        for _ in range(size):
            applied = folded.apply(folded.next_offset, make(folded.next_offset))
            assert isinstance(applied, Applied), applied

        def operate():
            folded.apply(folded.next_offset, make(folded.next_offset))

        return operate

    return build


def owner(size, rng):
    bucket_owner = BudgetOwner("zone-0", 0, 1, 0.0, 1e12)
    for number in range(size):
        bucket_owner.set_team(f"team-{number}", 2_000.0, 8_000.0, 0.0)
    clock = [0.0]

    def operate():
        clock[0] += 50.0
        team = f"team-{int(clock[0]) % size}"
        bucket_owner.grant(team, "vm-1@1", 100, 1, clock[0])

    return operate


def blocks(size, rng):
    bucket_owner = BudgetOwner("zone-0", 0, 1, 0.0, 1e12)
    bucket_owner.set_team("team", 1e9, 1e9, 0.0)
    for number in range(size):
        bucket_owner.grant("team", f"vm-{number}@1", 100, 1, 1_000.0)

    def operate():
        bucket_owner.grant("team", "vm-0@1", 100, 1, 1_000.0)

    return operate


def holder(size, rng):
    budget_holder = BudgetHolder("vm-1@1")
    for number in range(size):
        team = f"team-{number}"
        budget_holder.set_team(team, 8_000.0, 0.0)
        budget_holder.add_grant(team, Grant(f"zone-0/0/1/{number}", 500, 1e9), 0.0)

    def operate():
        budget_holder.due_token_requests(0.0)

    return operate


def router(size):
    configuration, reports = replicas(size)
    built = Router("zone-0")
    built.set_configuration(configuration)
    for report in reports:
        built.on_report(report, 20_000.0)
    return built, reports


def load_reports(size, rng):
    built, reports = router(size)
    turn = [0]

    def operate():
        turn[0] += 1
        report = reports[turn[0] % size]
        report.as_of_ms += 1.0
        built.on_report(report, 20_000.0 + turn[0])

    return operate


def choices(size, rng):
    built, _ = router(size)
    turn = [0]

    def operate():
        turn[0] += 1
        request_info = RequestInfo(
            "r", "t", model=f"model-{turn[0] % MODELS}", prompt_tokens=500
        )
        built.choose(request_info, 20_000.0, rng)

    return operate


def ledger_of(size, models=MODELS):
    configuration, reports = replicas(size, models)
    ledger = EngineLedger("zone-0", 0.0)
    homes = {name: "zone-0" for name in configuration.models}
    ledger.set_configuration(configuration, homes, 0.0)
    for report in reports:
        ledger.on_report(report, 20_000.0)
    return ledger, configuration, homes


def ledger(size, rng):
    built, _, _ = ledger_of(size)

    def operate():
        views_of(built, 20_000.0)

    return operate


def plan(size, rng):
    built, configuration, homes = ledger_of(size)
    policy = PlacementPolicy("zone-0")
    policy.set_configuration(configuration, homes)
    demand = {name: DemandRate(rng.random(), rng.random()) for name in homes}

    def operate():
        policy.plan(demand, views_of(built, 20_000.0), 20_000.0)

    return operate


def demand(size, rng):
    tracker = DemandTracker()
    names = [f"model-{number}" for number in range(MODELS)]
    for number in range(size):
        tracker.on_totals(f"vm-{number}@1", dict.fromkeys(names, 1))
    turn = [1]

    def operate():
        turn[0] += 1
        totals = dict.fromkeys(names, turn[0])
        tracker.on_totals(f"vm-{turn[0] % size}@1", totals)

    return operate


def prefixes(size, rng):
    index = PrefixIndex()
    for number in range(size):
        index.on_sent(f"engine-{number % REPLICAS}", (rng.getrandbits(64),))
    hashes = [rng.getrandbits(64) for _ in range(8)]
    index.on_sent("engine-1", hashes)

    def operate():
        index.cached_tokens("engine-1", hashes)

    return operate


def queued(size, rng):
    queue = AdmissionQueue(limit=10 * size)
    number = [0]

    def push():
        number[0] += 1
        request_info = RequestInfo(
            f"request-{number[0]}",
            f"team-{number[0] % 40}",
            model=f"model-{number[0] % MODELS}",
            prompt_tokens=500,
            deadline_ms=1e9,
        )
        queue.offer(request_info, 0.0)

    for _ in range(size):
        push()

    def operate():
        push()
        queue.take(0.0, lambda request_info: True)

    return operate


def register(number):
    return RegisterVm(f"id-{number}", f"vm-{number}@1", f"10.0.0.1:{number}", "1")


def claim_lease(number):
    return ClaimLease(f"id-{number}", f"vm-{number}@1", f"budget/{number}", 0, 0, False)


def intend(number):
    return IntendOrder(
        f"id-{number}",
        "vm-1@1",
        f"order-{number}",
        f"engine-{number % REPLICAS}",
        "load_model",
        f"model-{number % MODELS}",
        "1",
        10_000,
        1,
    )


def give_key(number):
    return GiveKey(f"id-{number}", "operator", "team-a", f"sha256:{number:064x}", "")


def claim(number):
    return ClaimRequest(
        f"id-{number}",
        "vm-1@1",
        "team",
        f"key-{number}",
        "fingerprint",
        f"request-{number}",
        1_700_000_000_000 + number,
    )


PLACEMENT = ClaimLease("lease", "vm-1@1", "placement", 0, 0, False)
PUBLISH = PublishConfiguration(
    "publish", "operator", 0, document_of(DEPLOYMENTS["netcraft"])
)

CASES = {
    "members": Case("VM", "register", VMS, fold(lambda: ZoneState("z"), register)),
    "leases": Case("lease", "claim", VMS, fold(lambda: ZoneState("z"), claim_lease)),
    "orders": Case(
        "order", "intend", 1_200, fold(lambda: ZoneState("z"), intend, [PLACEMENT])
    ),
    "keys": Case("key", "give", 4_000, fold(ConfigState, give_key, [PUBLISH])),
    "claims": Case("claim", "claim", 20_000, fold(ClaimState, claim)),
    "buckets": Case("team", "grant", TEAMS, owner),
    "blocks": Case("block", "grant", VMS * 40, blocks),
    "holder": Case("team", "asks", TEAMS, holder, 50),
    "load reports": Case("replica", "on_report", REPLICAS, load_reports),
    "routes": Case("replica", "choose", REPLICAS, choices),
    "ledger": Case("engine", "views_of", REPLICAS, ledger, 5),
    "plan": Case("engine", "plan", REPLICAS, plan, 3),
    "demand": Case("VM", "on_totals", VMS, demand, 50),
    "prefix index": Case("block", "cached_tokens", 100_000, prefixes),
    "queue": Case("request", "offer and take", 2_000, queued),
}
