"""Tests of the sums of request rates over several VMs."""

import random

import pytest

from cassiamount.request_rates import RequestRate, RequestRates

MODELS = [f"m{n}" for n in range(12)]


def naive_total(reports, sources, now_ms):
    """Return (fast, slow, last request) by model, each rate decayed on its own."""
    totals = {}
    for source, model, rate in reports:
        if source in sources:
            copy = RequestRate.from_value(rate.to_value(now_ms), now_ms)
            fast, slow, last_ms = totals.get(model, (0.0, 0.0, 0.0))
            last_ms = max(last_ms, rate.last_request_ms)
            totals[model] = (fast + copy.fast_per_s, slow + copy.slow_per_s, last_ms)
    return totals


@pytest.mark.parametrize("seed", range(5))
def test_kept_sums_are_those_of_all_rates(seed):
    """Guards against sums that miss a change, a restart or a VM that is gone."""
    rng = random.Random(seed)
    rates, known, now_ms = RequestRates(), {}, 0.0
    for version in range(200):
        now_ms += rng.expovariate(1 / 50)
        source = f"vm{rng.randrange(4)}"
        action = rng.random()
        if action < 0.05:
            rates.remove_source(source)
            known = {k: r for k, r in known.items() if k[0] != source}
        elif action < 0.1:
            rates.on_restart(source)
            moved = {m: r for (s, b, m), r in known.items() if (s, b) == (source, 0)}
            if any(s == source and not b for s, b, _ in known):
                known = {k: r for k, r in known.items() if k[0] != source}
                known |= {(source, 1, model): rate for model, rate in moved.items()}
        else:
            chosen = rng.sample(MODELS, 3)
            values = [rng.random(), rng.random(), 0.0, rng.randrange(9), 0]
            for copies in (known, None):
                report = {m: RequestRate.from_value(values, now_ms) for m in chosen}
                if copies is None:
                    rates.apply(source, report, version)
                else:
                    copies.update({(source, 0, m): r for m, r in report.items()})
        sources = {"vm0", "vm1", "vm2"} if version % 40 > 20 else {f"vm{version % 3}"}
        reports = [(s, model, rate) for (s, _, model), rate in known.items()]
        expected = naive_total(reports, sources, now_ms)
        found = rates.total(sources, now_ms)
        assert found.keys() == expected.keys()
        for model, (fast, slow, last_ms) in expected.items():
            assert found[model].fast_per_s == pytest.approx(fast, abs=0.01)
            assert found[model].slow_per_s == pytest.approx(slow, abs=0.01)
            assert found[model].last_request_ms == last_ms


def test_report_names_only_the_models_that_changed_at_its_sources():
    """Guards against reports that repeat rates, or that leave out new ones."""
    rates = RequestRates()
    for version, (source, model) in enumerate([("a", "x"), ("b", "y"), ("a", "z")], 1):
        rates.record_request(source, model, False, False, 0.0, version)
    assert rates.total(["a"], 1.0, 0).keys() == {"x", "z"}
    assert rates.total(["a"], 1.0, 1).keys() == {"z"}
    assert rates.total(["a", "b"], 1.0, 1).keys() == {"y", "z"}
    assert rates.total(["b"], 1.0, 2) == {}
