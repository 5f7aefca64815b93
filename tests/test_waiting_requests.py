"""Tests of the order in which the waiting requests of a VM get a server."""

import random
from collections import Counter
from types import SimpleNamespace

import pytest

from cassiamount.relayed_request import Refused
from cassiamount.replica_selection import BUSY, NoReplicaReady, SelectedReplica
from cassiamount.waiting_refusals import RETRY_AFTER_FRACTION, refuse_wait
from cassiamount.waiting_requests import (
    BUSY_RECHECK_MS,
    WaitingRequest,
    WaitingRequests,
)

ROUTE = SimpleNamespace(objective_ms=1_000.0)


def waiting_request(
    team="a", priority=5, target="m", now_ms=0.0, tokens=100, start_ms=1_000.0, **own
):
    request = SimpleNamespace(
        team=SimpleNamespace(name=team),
        priority=priority,
        selection_priority=priority,
        metadata=SimpleNamespace(tokens=tokens),
        inbound=SimpleNamespace(arrived_ms=now_ms),
        start_deadline_ms=now_ms + start_ms,
        latest_start_ms=now_ms + start_ms,
        deadline_ms=now_ms + start_ms / 0.7,
        route=ROUTE,
    )
    limit_ms = own.pop("limit_ms", 800.0)
    return WaitingRequest(request, target, bool(own), limit_ms, now_ms)


class Vm:
    """The queue of one VM, before servers that all VMs share.

    Parameters
    ----------
    room : dict of str to NoReplicaReady or int
        Target -> requests that its servers can take, or why they take none.
    headroom : float
        Requests by which a server is full earlier for each step of priority.
    """

    def __init__(self, room, rng=None, headroom=0.0):
        self.queue = WaitingRequests()
        self.room = room
        self.headroom = headroom
        self.rng = rng or random.Random(1)
        self.now_ms = 0.0
        self.selections = 0
        self.ended = []

    def select(self, waiting):
        self.selections += 1
        target = waiting.route[0] if waiting.is_own else waiting.route
        room = self.room[target]
        if isinstance(room, Exception | NoReplicaReady):
            return room
        if room > self.headroom * waiting.priority:
            return SelectedReplica(None, 0.0)
        return NoReplicaReady(BUSY, 5.0)

    def arrive(self, waiting):
        """Let a request arrive; return the refusal of one that cannot be in time."""
        found = self.select(waiting)
        if isinstance(found, SelectedReplica):
            if not self.queue.is_behind_others(waiting):
                self.queue.record_served(waiting)
                self.deliver(waiting, found)
                return None
            found = NoReplicaReady(BUSY, 0.0)
        expected_ms = found.wait_ms
        if found.reason == BUSY:
            expected_ms = max(found.wait_ms, self.queue.estimate_ms(waiting))
        refused = self.check(waiting, found, self.now_ms, expected_ms)
        if refused is None:
            self.queue.add(waiting, found, self.now_ms)
        return refused

    def check(self, waiting, found, since_ms, expected_ms=None):
        expected_ms = found.wait_ms if expected_ms is None else expected_ms
        return refuse_wait(
            waiting.request, found, expected_ms, since_ms, self.now_ms, self.rng
        )

    def deliver(self, waiting, outcome):
        if isinstance(outcome, SelectedReplica):
            target = waiting.route[0] if waiting.is_own else waiting.route
            self.room[target] -= 1
        self.ended.append((waiting, outcome))

    def run_pass(self, now_ms):
        self.now_ms = now_ms
        self.queue.set_due(now_ms)
        self.queue.dispatch(now_ms, self.select, self.check, None, self.deliver)

    def served(self):
        return [w for w, got in self.ended if isinstance(got, SelectedReplica)]


def play(vms, offered, served_per_tick, seed=1, ticks=1_500):
    """Let requests arrive at random VMs; return what was offered and served.

    Parameters
    ----------
    offered : dict of (str, int) to float
        (team, priority) -> requests in a tick of 10 ms.
    served_per_tick : int
        Requests of 100 tokens that the servers finish in a tick; they hold 30.
    """
    rng = random.Random(seed)
    room = {"m": 0}
    fleet = [Vm(room, rng, headroom=0.9) for _ in range(vms)]
    sent = Counter()
    for tick in range(ticks):
        now_ms = 10.0 * tick
        room["m"] = min(30, room["m"] + served_per_tick)
        order = rng.sample(fleet, vms)
        for vm in order:
            vm.run_pass(now_ms)
        for (team, priority), mean in offered.items():
            for _ in range(int(mean) + (rng.random() < mean % 1)):
                sent[team, priority] += 1
                new = waiting_request(team, priority, now_ms=now_ms)
                rng.choice(order).arrive(new)
    served = Counter((w.team, w.priority) for vm in fleet for w in vm.served())
    return sent, served


@pytest.mark.parametrize("vms", [1, 7, 61])
def test_worst_teams_get_their_share(vms):
    """Guards against a team that crowds out others by sending many times as much.

    Load: 20 teams that ask for 1.2 times what the servers give, and one that asks for
    10 times as much as each of them.
    """
    offered = {(f"t{n:02d}", 5): 0.3 for n in range(20)} | {("flood", 5): 3.0}
    sent, served = play(vms, offered, served_per_tick=5)
    shares = sorted(served[key] for key in offered if key[0] != "flood")
    worst = sum(shares[:2]) / 2
    assert worst >= 0.8 * sum(shares) / len(shares)
    equal_share = sum(served.values()) / len(offered)
    assert sum(shares) / len(shares) >= 0.8 * equal_share


@pytest.mark.parametrize("vms", [1, 7, 61])
def test_urgent_requests_are_served_first(vms):
    """Guards against urgent requests that are served less often than others.

    Load: bursts of urgent and of batch requests at once, 1.6 times what the servers
    give; the urgent ones alone fit.
    """
    offered = {("a", 0): 1.0, ("b", 0): 1.0, ("a", 5): 1.5, ("b", 9): 4.5}
    sent, served = play(vms, offered, served_per_tick=5)
    shares = {
        priority: sum(served[k] for k in offered if k[1] == priority)
        / sum(sent[k] for k in offered if k[1] == priority)
        for priority in (0, 5, 9)
    }
    assert shares[0] >= 0.95
    assert shares[0] + 0.05 >= shares[5] and shares[5] + 0.05 >= shares[9]


def test_within_a_team_the_latest_start_decides():
    """Guards against a request that is refused behind one with more time."""
    vm = Vm({"m": 0})
    for start_ms in (900.0, 300.0, 600.0):
        assert vm.arrive(waiting_request(start_ms=start_ms)) is None
    vm.room["m"] = 3
    vm.run_pass(10.0)
    assert [w.deadline_ms for w in vm.served()] == [300.0, 600.0, 900.0]


def test_newcomer_goes_ahead_only_of_less_urgent_requests():
    """Guards against newcomers that overtake what waits, or wait without need."""
    vm = Vm({"m": 0, "n": 1})
    vm.arrive(waiting_request(priority=5))
    vm.room["m"] = 1
    vm.arrive(waiting_request(priority=5))
    assert not vm.ended
    vm.arrive(waiting_request(priority=2))
    vm.arrive(waiting_request(target="n"))
    assert len(vm.served()) == 2


@pytest.mark.parametrize("number", [10, 100, 1_000])
@pytest.mark.parametrize("room", [NoReplicaReady("model", None), 0])
def test_steps_of_a_pass_do_not_grow_with_waiting_requests(number, room):
    """Guards against a change of state that costs a selection for each request."""
    vm = Vm({"m": room, "n": room})
    for index in range(number):
        vm.queue.add(
            waiting_request(f"t{index % 5}", target="mn"[index % 2]),
            NoReplicaReady(BUSY, 5.0),
            0.0,
        )
    vm.run_pass(1.0)
    assert (vm.selections, len(vm.queue)) == (2, number)
    vm.room["m"] = 2
    vm.selections = 0
    vm.run_pass(2.0)
    assert vm.selections == 4 and len(vm.served()) == 2


def test_request_with_exclusions_selects_for_itself():
    """Guards against a request that waits because another one has tried all servers."""
    vm = Vm({"m": 0})
    vm.arrive(waiting_request(own=True))
    vm.arrive(waiting_request())
    vm.selections = 0
    vm.run_pass(1.0)
    assert vm.selections == 2


@pytest.mark.parametrize(
    ("found", "code", "at_ms"),
    [
        (NoReplicaReady("model", None), "model_missing", 801.0),
        (NoReplicaReady("adapter", 400.0), "adapter_loading", 601.0),
        (NoReplicaReady(BUSY, 5.0), "busy", 996.0),
        (NoReplicaReady("no-backend", None), "no_backend", 1.0),
        (NoReplicaReady("paused", 100.0), "backend_paused", 1.0),
        (Refused(503, "version_new", ""), "version_new", 1.0),
    ],
)
def test_waiting_request_is_refused_in_time(found, code, at_ms):
    """Guards against requests that wait on though they cannot start in time."""
    vm = Vm({"m": found})
    for team in "ab":
        vm.queue.add(waiting_request(team), NoReplicaReady("model", None), 0.0)
    if at_ms > 1.0:
        vm.run_pass(at_ms - 2.0)
    assert not vm.ended
    vm.run_pass(at_ms)
    assert [got.code for _, got in vm.ended] == [code, code]
    assert not len(vm.queue) and vm.queue.next_pass_ms() == float("inf")


def test_selection_that_fails_ends_only_its_request():
    """Guards against one request on which each pass fails for all others."""
    vm = Vm({"m": ValueError(), "n": 1})
    for target in "mn":
        vm.queue.add(waiting_request(target=target), NoReplicaReady("model", None), 0.0)
    vm.run_pass(1.0)
    assert {type(got) for _, got in vm.ended} == {ValueError, SelectedReplica}


def test_too_long_a_queue_is_refused_at_once_with_spread_times():
    """Guards against requests that wait in vain, and that all come back together."""
    vm = Vm({"m": 0})
    for _ in range(40):
        vm.arrive(waiting_request(start_ms=60_000.0))
    for tick in range(1, 31):
        vm.room["m"] = 1
        vm.run_pass(100.0 * tick)
    late = [waiting_request(now_ms=3_000.0, start_ms=100.0) for _ in range(50)]
    for new in late:
        new.deadline_ms = 70_000.0
    refused = [vm.arrive(new) for new in late]
    assert {r.code for r in refused} == {"busy"}
    times_ms = sorted(r.retry_after_ms for r in refused)
    left_ms = late[0].request.deadline_ms - 3_000.0
    assert times_ms[-1] <= max(50.0, RETRY_AFTER_FRACTION * left_ms)
    assert vm.queue.next_pass_ms() <= 3_000.0 + BUSY_RECHECK_MS
