"""Tests of rate and burst that all VMs keep together."""

import random

import pytest

from cassiamount.fleet import TeamConfig
from cassiamount.shared_quota import GONE_PEER_MS, SILENT_PEER_MS, SharedQuota

RATE = 1_000.0
BURST = 2_000.0
TEAMS = {"t": TeamConfig("t", (), None, RATE, BURST, 1.0, True)}


def quota(full=True):
    shared = SharedQuota(full)
    shared.set_teams(TEAMS, 0.0)
    return shared


def test_refused_request_learns_when_tokens_are_back():
    """Guards against a time to come back that is too early or made up."""
    shared = quota()
    assert shared.charge("t", BURST, 0.0) == 0.0
    wait_ms = shared.charge("t", 500.0, 0.0)
    assert 500.0 <= wait_ms <= 520.0
    assert shared.charge("t", 500.0, wait_ms + 0.01) == 0.0


def test_request_larger_than_the_burst_is_served_once_it_is_full():
    """Guards against a large request that can never be admitted."""
    shared = quota()
    assert shared.charge("t", 3 * BURST, 0.0) == 0.0
    assert shared.charge("t", 1.0, 1_000.0) > 0


def test_tokens_that_did_not_run_come_back():
    """Guards against a team that pays for refusals."""
    shared = quota()
    shared.charge("t", BURST, 0.0)
    shared.give_back("t", BURST, 0.0)
    assert shared.charge("t", BURST, 0.0) == 0.0
    assert shared.used_tokens()["t"] == BURST


def test_restart_gives_no_second_burst():
    """Guards against twice the burst when all VMs start again at once."""
    shared = quota(full=False)
    assert shared.charge("t", 100.0, 0.0) > 0
    shared.on_peer("p", 1, {"t": 5_000.0}, 10.0)
    assert shared.charge("t", 100.0, 200.0) == 0.0


@pytest.mark.parametrize(
    ("silent_ms", "share"),
    [
        (SILENT_PEER_MS / 2, 1.0),
        (SILENT_PEER_MS + 1, 0.5),
        (GONE_PEER_MS + 1, 1.0),
    ],
    ids=["heard", "silent", "gone"],
)
def test_share_while_a_peer_is_silent(silent_ms, share):
    """Guards against both sides of a partition that use the whole rate."""
    shared = quota()
    shared.on_peer("p", 1, {}, 0.0)
    shared.review_peers(silent_ms)
    assert shared.share == share


def test_use_of_peers_is_counted_once():
    """Guards against repeated reports that debit the same tokens again."""
    shared = quota()
    for now_ms in (0.0, 1.0, 2.0):
        shared.on_peer("p", 1, {"t": 1_500.0}, now_ms)
    assert shared.charge("t", 500.0, 2.0) == 0.0
    assert shared.charge("t", 100.0, 2.0) > 0


def test_restarted_peer_counts_from_zero():
    """Guards against a restarted peer whose use is taken for a refund."""
    shared = quota()
    shared.on_peer("p", 1, {"t": 1_900.0}, 0.0)
    shared.on_peer("p", 2, {"t": 100.0}, 1.0)
    assert shared.charge("t", 10.0, 1.0) > 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(("count", "period_ms"), [(7, 100), (60, 1_000)])
def test_all_vms_together_stay_near_the_rate(seed, count, period_ms):
    """Guards against overrun at six times the rate, also with rare reports.

    One VM is cut off from the third second on; in every window of eight seconds the sum
    stays below (rate x window + burst) x 1.1.
    """
    rng = random.Random(seed)
    vms = [quota() for _ in range(count)]
    taken = []
    for step in range(2_000):
        now_ms = 10.0 * step
        vm = rng.randrange(count)
        tokens = rng.choice([20.0, 60.0, 130.0])
        if vms[vm].charge("t", tokens, now_ms) == 0.0:
            taken.append((now_ms, tokens))
        if now_ms % period_ms:
            continue
        for index, other in enumerate(vms):
            for peer, reporter in enumerate(vms):
                cut = now_ms > 3_000 and 0 in (index, peer)
                if peer != index and not cut:
                    other.on_peer(str(peer), 1, reporter.used_tokens(), now_ms)
            other.review_peers(now_ms)
    window_ms = 8_000
    limit = (RATE * window_ms / 1000 + BURST) * 1.1
    for start_ms, _ in taken:
        end_ms = start_ms + window_ms
        assert sum(t for at, t in taken if start_ms <= at < end_ms) <= limit
