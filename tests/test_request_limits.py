"""Tests of the limits that backend servers name, as VMs share them."""

import math
import random

import pytest

from cassiamount.change_counter import ChangeCounter
from cassiamount.request_limits import (
    CHECK_MS,
    RELEASE_MS,
    REPORT_MS,
    RequestLimits,
)

SERVER = ("b1", 1)
WINDOW_MS = 4_000.0


def make_limits(names):
    return {name: RequestLimits(name, ChangeCounter(), lambda: names) for name in names}


@pytest.mark.parametrize("vms", [1, 2, 3, 7, 60])
@pytest.mark.parametrize("limit_per_s", [0.2, 1.0, 1.4, 5.0, 30.0, 200.0])
def test_all_vms_together_keep_a_limit(vms, limit_per_s):
    """Guards against VMs that each use a limit, or begin at the same moment."""
    names = [f"v{n}" for n in range(vms)]
    limits = make_limits(names)
    for vm in limits.values():
        vm.record_answer(SERVER, limit_per_s, 0.0)
    sent = []
    now_ms = 0.0
    while now_ms < 10_000.0:
        for vm in limits.values():
            if vm.delay_ms(SERVER, now_ms) == 0.0:
                sent.append(vm.reserve(SERVER, now_ms))
        now_ms += 1.0
    most = max(sum(t <= at < t + WINDOW_MS for at in sent) for t in sent)
    assert most <= 1.5 * limit_per_s * WINDOW_MS / 1000 + 5
    assert len(sent) >= limit_per_s * 9


@pytest.mark.parametrize(
    ("answered_after_ms", "limited"),
    [(RELEASE_MS - 1.0, True), (RELEASE_MS, False)],
    ids=["soon", "later"],
)
def test_limit_ends_with_answers_without_one(answered_after_ms, limited):
    """Guards against a limit for ever, and against one that a single answer ends."""
    limits = make_limits(["v1"])["v1"]
    limits.record_answer(SERVER, 1.0, 0.0)
    limits.record_answer(SERVER, None, answered_after_ms)
    assert limits.is_limited(SERVER) is limited
    assert (limits.delay_ms(SERVER, 1e6) == 0.0) or limited


def test_peers_learn_of_a_limit_and_of_its_end():
    """Guards against VMs that keep a limit only once a server told them itself."""
    limits = make_limits(["v1", "v2"])
    first, second = limits["v1"], limits["v2"]
    assert first.record_answer(SERVER, 1.4, 0.0)
    assert second.apply(first.part_since(0, 10.0), 20.0)
    assert second.is_limited(SERVER)
    assert not first.apply(second.part_since(0, 30.0), 40.0)
    assert not first.record_answer(SERVER, 1.4, REPORT_MS)
    assert not second.apply(first.part_since(0, 1_010.0), 1_020.0)
    assert first.record_answer(SERVER, None, REPORT_MS + RELEASE_MS)
    assert second.apply(first.part_since(0, 3_100.0), 3_110.0)
    assert not second.is_limited(SERVER)
    assert second.part_since(0, 3_200.0).limits[0][2] is None


def test_older_limit_does_not_replace_a_newer_one():
    """Guards against a late report that brings an ended or changed limit back."""
    limits = make_limits(["v1"])["v1"]
    limits.record_answer(SERVER, 5.0, 0.0)
    late = limits.part_since(0, 0.0)
    limits.record_answer(SERVER, 2.0, 100.0)
    assert not limits.apply(late, 90.0)
    assert limits.part_since(0, 100.0).limits == [["b1", 1, 2.0, 0]]


def test_few_vms_send_to_a_server_that_takes_few_requests():
    """Guards against a burst of all VMs, and against one set of VMs for all servers."""
    names = [f"v{n}" for n in range(60)]
    senders = {}
    for number in range(20):
        server = (f"b{number}", 1)
        for name, vm in make_limits(names).items():
            vm.record_answer(server, 1.0, 0.0)
            if vm.delay_ms(server, 0.0) < math.inf:
                senders.setdefault(server, set()).add(name)
            else:
                assert vm.retry_after_ms(server, 0.0) <= 1_000.0
    assert {len(names) for names in senders.values()} == {4}
    assert len(set().union(*senders.values())) > 20


def test_limit_that_no_answer_confirms_is_checked():
    """Guards against a server that is left alone although its limit has ended."""
    limits = make_limits(["v1"])["v1"]
    limits.record_answer(SERVER, 1.0, 0.0)
    assert not limits.is_stale(SERVER, CHECK_MS)
    assert limits.is_stale(SERVER, CHECK_MS + 1.0)
    limits.remove_others([])
    assert not limits.is_limited(SERVER)


@pytest.mark.parametrize("seed", range(40))
def test_reports_in_any_order_end_in_the_same_limits(seed):
    """Guards against VMs that go on with different limits, or report for ever."""
    rng = random.Random(seed)
    names = [f"v{n}" for n in range(5)]
    limits = make_limits(names)
    now_ms = 0.0
    for _ in range(200):
        now_ms += rng.uniform(1.0, 500.0)
        vm = limits[rng.choice(names)]
        vm.record_answer(SERVER, rng.choice([None, 1.0, 2.0]), now_ms)
        source, target = rng.sample(names, 2)
        part = limits[source].part_since(0, now_ms)
        if part is not None:
            limits[target].apply(part, now_ms + rng.uniform(0.0, 20.0))
    now_ms += 10_000.0
    limits["v0"].record_answer(SERVER, 3.0, now_ms)
    for _ in range(3):
        for source in names:
            for target in names:
                part = limits[source].part_since(0, now_ms)
                if source != target and part is not None:
                    limits[target].apply(part, now_ms)
    found = {str(vm.part_since(0, now_ms).limits[0][2]) for vm in limits.values()}
    assert found == {"3.0"}
