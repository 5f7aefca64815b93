"""Tests of the token buckets that are replicated on all VMs."""

import random

import pytest

from cassiamount.fleet import TeamConfig
from cassiamount.shared_quota import PEER_EXPIRY_MS, PEER_TIMEOUT_MS, SharedQuota

RATE_TOKENS_PER_S = 1_000.0
BURST_TOKENS = 2_000.0
TEAMS = {"t": TeamConfig("t", (), None, RATE_TOKENS_PER_S, BURST_TOKENS, 1.0, True)}


def make_quota(start_full=True):
    quota = SharedQuota(start_full)
    quota.set_teams(TEAMS, 0.0)
    return quota


def test_refused_request_gets_the_time_until_tokens_are_available():
    """Guards against a wait time after which the request is refused again."""
    quota = make_quota()
    assert quota.charge("t", BURST_TOKENS, 0.0) == 0.0
    wait_ms = quota.charge("t", 500.0, 0.0)
    assert 500.0 <= wait_ms <= 520.0
    assert quota.charge("t", 500.0, wait_ms + 0.01) == 0.0


def test_request_larger_than_the_burst_is_served_once_it_is_full():
    """Guards against a large request that can never be admitted."""
    quota = make_quota()
    assert quota.charge("t", 3 * BURST_TOKENS, 0.0) == 0.0
    assert quota.charge("t", 1.0, 1_000.0) > 0


def test_tokens_of_a_request_that_did_not_run_are_refunded():
    """Guards against a team that is charged for requests that did not run."""
    quota = make_quota()
    quota.charge("t", BURST_TOKENS, 0.0)
    quota.refund("t", BURST_TOKENS, 0.0)
    assert quota.charge("t", BURST_TOKENS, 0.0) == 0.0
    assert quota.used_tokens()["t"] == BURST_TOKENS


def test_restart_gives_no_second_burst():
    """Guards against a second burst when all VMs restart at once."""
    quota = make_quota(start_full=False)
    assert quota.charge("t", 100.0, 0.0) > 0
    quota.on_peer_report("p", 1, {"t": 5_000.0}, 10.0)
    assert quota.charge("t", 100.0, 200.0) == 0.0


@pytest.mark.parametrize(
    ("silent_ms", "share"),
    [
        (PEER_TIMEOUT_MS / 2, 1.0),
        (PEER_TIMEOUT_MS + 1, 0.5),
        (PEER_EXPIRY_MS + 1, 1.0),
    ],
    ids=["heard", "silent", "gone"],
)
def test_share_while_a_peer_is_silent(silent_ms, share):
    """Guards against both sides of a network partition using the whole rate."""
    quota = make_quota()
    quota.on_peer_report("p", 1, {}, 0.0)
    quota.update_share(silent_ms)
    assert quota.share == share


def test_use_of_peers_is_counted_once():
    """Guards against repeated reports that debit the same tokens twice."""
    quota = make_quota()
    for now_ms in (0.0, 1.0, 2.0):
        quota.on_peer_report("p", 1, {"t": 1_500.0}, now_ms)
    assert quota.charge("t", 500.0, 2.0) == 0.0
    assert quota.charge("t", 100.0, 2.0) > 0


def test_restarted_peer_counts_from_zero():
    """Guards against a lower count after a peer's restart applied as a refund."""
    quota = make_quota()
    quota.on_peer_report("p", 1, {"t": 1_900.0}, 0.0)
    quota.on_peer_report("p", 2, {"t": 100.0}, 1.0)
    assert quota.charge("t", 10.0, 1.0) > 0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(("count", "period_ms"), [(7, 100), (60, 1_000)])
def test_all_vms_together_stay_near_the_rate(seed, count, period_ms):
    """Guards against overspending under overload, also with infrequent reports.

    Requests arrive at about seven times the rate; one VM is partitioned from the
    others after three seconds. In each window of eight seconds the admitted tokens stay
    within (rate x window + burst) x 1.1.
    """
    rng = random.Random(seed)
    vms = [make_quota() for _ in range(count)]
    admitted = []
    for step in range(2_000):
        now_ms = 10.0 * step
        vm = rng.randrange(count)
        tokens = rng.choice([20.0, 60.0, 130.0])
        if vms[vm].charge("t", tokens, now_ms) == 0.0:
            admitted.append((now_ms, tokens))
        if now_ms % period_ms:
            continue
        for index, other in enumerate(vms):
            for peer, reporter in enumerate(vms):
                is_partitioned = now_ms > 3_000 and 0 in (index, peer)
                if peer != index and not is_partitioned:
                    other.on_peer_report(str(peer), 1, reporter.used_tokens(), now_ms)
            other.update_share(now_ms)
    window_ms = 8_000
    limit = (RATE_TOKENS_PER_S * window_ms / 1000 + BURST_TOKENS) * 1.1
    for start_ms, _ in admitted:
        end_ms = start_ms + window_ms
        assert sum(t for at, t in admitted if start_ms <= at < end_ms) <= limit
