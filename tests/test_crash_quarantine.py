"""Tests of the decision which prompt parts are kept from engines."""

import random

import pytest

from cassiamount import crash_quarantine
from cassiamount.change_counter import ChangeCounter
from cassiamount.crash_quarantine import (
    CRASH_INTERVAL_MS,
    MIN_CRASHES,
    MIN_CRASHES_AFTER_ANSWERS,
    QUARANTINE_MS,
    CrashQuarantine,
    RequestParts,
    SuspectRequest,
)

STEP_MS = 1_000.0


def make_quarantine():
    return CrashQuarantine(ChangeCounter())


def waiting(*requests, waited_ms=500.0):
    return [SuspectRequest.from_parts(parts, waited_ms) for parts in requests]


def crash(quarantine, number, *requests, at_ms=None, waited_ms=500.0):
    at_ms = number * STEP_MS if at_ms is None else at_ms
    requests = waiting(*requests, waited_ms=waited_ms)
    return quarantine.record_crash(f"e{number}", 1, requests, at_ms)


def is_blocked(quarantine, *parts, now_ms=20 * STEP_MS):
    return quarantine.blocked_for_ms(parts, now_ms) > 0


def test_part_of_crashes_is_rejected_and_what_shares_its_other_parts_is_not():
    """Guards against requests that crash engines again, and against others refused."""
    quarantine = make_quarantine()
    for number in range(MIN_CRASHES):
        assert not is_blocked(quarantine, "f", "bad")
        crash(quarantine, number, ["f", "bad"], ["f", f"m{number}"])
        quarantine.record_answer(["f"], (number + 0.5) * STEP_MS)
    assert quarantine.rules() == [frozenset({"bad"})]
    assert is_blocked(quarantine, "g", "bad", "m")
    assert not is_blocked(quarantine, "f", "m1")


def test_first_part_without_an_answer_since_is_not_rejected_for_another_part():
    """Guards against the loss of all requests that share a first part."""
    quarantine = make_quarantine()
    quarantine.record_answer(["f"], -60 * STEP_MS)
    for number in range(MIN_CRASHES_AFTER_ANSWERS + 1):
        crash(quarantine, number, ["f", "bad"], ["f", f"m{number}"])
    assert quarantine.rules() == [frozenset({"bad"})]


def test_part_that_begins_to_crash_engines_after_answers_is_rejected():
    """Guards against a part that is trusted for ever after one answer."""
    quarantine = make_quarantine()
    quarantine.record_answer(["f", "bad"], -1.0)
    for number in range(MIN_CRASHES_AFTER_ANSWERS):
        assert not quarantine.rules()
        crash(quarantine, number, ["f", "bad"])
        quarantine.record_answer(["f"], (number + 0.5) * STEP_MS)
    assert quarantine.rules() == [frozenset({"bad"})]


def test_engines_that_end_at_once_count_once():
    """Guards against a power failure that quarantines what was asked for then."""
    quarantine = make_quarantine()
    for number in range(6):
        crash(quarantine, number, ["f"], at_ms=number * CRASH_INTERVAL_MS / 6)
    assert not quarantine.rules()


def test_combination_is_narrowed_by_a_crash_without_one_of_its_parts():
    """Guards against a part that is rejected only beside one that came with it."""
    quarantine = make_quarantine()
    for number in range(MIN_CRASHES):
        crash(quarantine, number, ["f", "m", "bad"])
    assert not is_blocked(quarantine, "f", "m")
    assert not is_blocked(quarantine, "g", "bad")
    crash(quarantine, 9, ["g", "bad"])
    assert quarantine.rules() == [frozenset({"bad"})]


def test_answer_releases_a_part():
    """Guards against a sound part that stays rejected."""
    quarantine = make_quarantine()
    for number in range(MIN_CRASHES):
        crash(quarantine, number, ["sound"])
    assert is_blocked(quarantine, "sound")
    assert quarantine.record_answer(["sound"], 4 * STEP_MS)
    assert not is_blocked(quarantine, "sound")
    crash(quarantine, 5, ["sound"])
    assert not is_blocked(quarantine, "sound")


def test_rejected_for_a_limited_time():
    """Guards against a Retry-After time after which a request is rejected again."""
    quarantine = make_quarantine()
    for number in range(MIN_CRASHES):
        crash(quarantine, number, ["bad"])
    now_ms = 10 * STEP_MS
    end_ms = now_ms + quarantine.blocked_for_ms(["bad"], now_ms)
    assert now_ms < end_ms <= now_ms + QUARANTINE_MS
    quarantine.remove_expired(end_ms + 1.0)
    assert not is_blocked(quarantine, "bad", now_ms=end_ms + 1.0)
    assert quarantine.part_since(0, end_ms + 1.0) is None


def test_vms_learn_from_each_other():
    """Guards against a VM that knows only the crashes that it saw itself."""
    first, second, third = make_quarantine(), make_quarantine(), make_quarantine()
    third.record_answer(["sound"], 0.5 * STEP_MS)
    for number, seen_by in enumerate([first, second, first]):
        crash(seen_by, number + 1, ["sound", "bad"])
    assert not first.rules()
    now_ms = 4 * STEP_MS
    for source, target in [(second, first), (first, third), (first, second)]:
        assert target.apply(source.part_since(0, now_ms), now_ms)
    for target in (first, second):
        target.apply(third.part_since(0, now_ms), now_ms)
    for quarantine in (first, second, third):
        assert quarantine.rules() == [frozenset({"bad"})]
    assert not first.apply(third.part_since(0, now_ms), now_ms)


def test_late_vm_gets_the_rules_and_the_answers_that_release_them():
    """Guards against a VM that quarantines again what the others released."""
    old, new = make_quarantine(), make_quarantine()
    for number in range(MIN_CRASHES):
        crash(old, number, ["sound"])
        crash(old, number + 10, ["bad"], at_ms=number * STEP_MS + 500.0)
    now_ms = 20 * STEP_MS
    old.record_answer(["sound"], now_ms)
    assert new.apply(old.part_since(0, now_ms), now_ms)
    assert new.rules() == old.rules() == [frozenset({"bad"})]
    new.load_rules([frozenset({"sound"})], now_ms)
    assert new.rules() == [frozenset({"bad"})]


@pytest.mark.parametrize("seed", range(60))
def test_any_part_is_found_and_no_other_is_rejected(seed):
    """Guards against wrong decisions for any mix of requests, answers and crashes."""
    rng = random.Random(seed)
    vms = [make_quarantine() for _ in range(rng.choice([1, 3, 7]))]
    firsts = [f"f{n}" for n in range(rng.randrange(1, 4))]
    others = [f"m{n}" for n in range(rng.randrange(1, 30))]
    now_ms, crashes = 0.0, 0

    def sound():
        return [rng.choice(firsts), *rng.sample(others, min(len(others), 2))]

    for step in range(400):
        now_ms += rng.uniform(10.0, 200.0)
        if rng.random() < 0.9:
            request = sound()
            vm = rng.choice(vms)
            if not vm.blocked_for_ms(request, now_ms):
                vm.record_answer(request, now_ms)
        if step > 40 and rng.random() < 0.1:
            request = sound()
            request.insert(rng.randrange(len(request) + 1), "bad")
            vm = rng.choice(vms)
            if not vm.blocked_for_ms(request, now_ms):
                crashes += 1
                vm.record_crash(f"e{step}", 1, waiting(request), now_ms)
                for _ in range(rng.randrange(3)):
                    other = rng.choice(vms)
                    other.record_crash(f"e{step}", 1, waiting(sound()), now_ms)
        source, target = rng.choice(vms), rng.choice(vms)
        part = source.part_since(0, now_ms)
        if part is not None:
            target.apply(part, now_ms)
    for _ in vms:
        for source in vms:
            for target in vms:
                part = source.part_since(0, now_ms)
                if part is not None:
                    target.apply(part, now_ms)
    assert all(vm.rules() == [frozenset({"bad"})] for vm in vms)
    assert crashes <= MIN_CRASHES + 2 * len(vms)


@pytest.mark.parametrize(
    ("waited_ms", "is_rejected"),
    [(60.0, True), (100.0, True), (150.0, False)],
    ids=["sent between", "sent at the crash", "sent before"],
)
def test_server_that_got_the_request_after_a_crash_counts_although_it_is_soon(
    waited_ms, is_rejected
):
    """Guards against quick repetitions that count as one power failure."""
    quarantine = make_quarantine()
    for number in range(MIN_CRASHES):
        at_ms = 100.0 * number
        crash(quarantine, number, ["request:x"], at_ms=at_ms, waited_ms=waited_ms)
    assert is_blocked(quarantine, "request:x") == is_rejected


def test_request_beside_the_one_that_crashes_servers_is_not_rejected():
    """Guards against other requests of a route that are rejected with one of them."""
    quarantine = make_quarantine()
    for number in range(MIN_CRASHES):
        crash(quarantine, number, ["request:x"], [f"request:{number}"])
    assert quarantine.rules() == [frozenset({"request:x"})]


def test_request_without_a_prompt_does_not_hide_a_prompt_part():
    """Guards against a crashing prompt part for which only one request is rejected."""
    quarantine = make_quarantine()
    for number in range(MIN_CRASHES):
        crash(quarantine, number, ["request:x", "bad"])
    assert not is_blocked(quarantine, "request:y", "bad")
    crash(quarantine, 5, ["request:y", "bad"])
    assert quarantine.rules() == [frozenset({"bad"})]


def test_requests_that_waited_at_the_same_crashes_are_all_rejected():
    """Guards against a guess that leaves the request which crashes servers alone."""
    quarantine = make_quarantine()
    for number in range(MIN_CRASHES):
        crash(quarantine, number, ["request:x"], ["request:y"])
    assert set(quarantine.rules()) == {
        frozenset({"request:x"}),
        frozenset({"request:y"}),
    }


def test_answers_to_single_requests_do_not_displace_those_to_prompt_parts(monkeypatch):
    """Guards against a part that counts as never answered in busy times."""
    monkeypatch.setattr(crash_quarantine, "MAX_ANSWERED_PARTS", 3)
    quarantine = make_quarantine()
    quarantine.record_answer(["part"], -1.0)
    for number in range(5):
        quarantine.record_answer([f"request:{number}"], 0.0)
    for number in range(MIN_CRASHES):
        crash(quarantine, number, ["part"])
    assert not is_blocked(quarantine, "part")


def test_long_prompt_is_suspected_at_every_place():
    """Guards against a part that is never suspected, for its place in the prompt."""
    for place in (0, 31, 32, 33, 500, 3_999):
        quarantine = make_quarantine()
        for number in range(MIN_CRASHES):
            parts = [f"{number}-{n}" for n in range(3_999)]
            parts.insert(place, "bad")
            crash(quarantine, number, parts)
        assert quarantine.rules() == [frozenset({"bad"})]


def test_evidence_is_bounded_and_keeps_the_first_suspects():
    """Guards against long prompts that take up the memory, and hide what crashes."""
    quarantine = make_quarantine()
    for number in range(40):
        requests = [["bad", *(f"{number}-{k}-{n}" for n in range(4_000))] for k in "ab"]
        crash(quarantine, number, *requests, *([f"{number}-{k}"] for k in range(99)))
        size_bytes = sum(
            crash_quarantine.MIN_NAME_BYTES * len(request["parts"])
            for request in map(request_value, evidence(quarantine))
        )
        assert size_bytes <= crash_quarantine.MAX_EVIDENCE_BYTES
        assert is_blocked(quarantine, "bad") == (number >= MIN_CRASHES - 1)


def evidence(quarantine):
    """Return the requests that a report to a new peer holds."""
    part = quarantine.part_since(0, 0.0)
    return [request for crash in part.crashes for request in crash[3]]


def request_value(item):
    return dict(zip(("key", "age_ms", "parts"), item, strict=True))


@pytest.mark.parametrize("name", ["b" * 64, "b" * 65, "b" * 4_000])
def test_long_names_are_known_by_a_short_one(name):
    """Guards against a few long names that take up the memory for all others."""
    parts = list(RequestParts("request:x", lambda: [name]))
    assert parts[0] == "request:x"
    assert len(parts[1]) <= crash_quarantine.MAX_NAME_BYTES
    assert parts == list(RequestParts("request:x", lambda: [name]))
    assert parts != list(RequestParts("request:x", lambda: [name + "c"]))
