"""Tests of the state of a claims stream."""

import json

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cassiamount.claim_state import (
    ClaimState,
    FingerprintMismatch,
    KeyAvailable,
    KeyHeld,
)
from cassiamount.errors import InvalidRecord, InvariantViolation, OffsetGap
from cassiamount.records import (
    AbandonClaim,
    ClaimRequest,
    GiveKey,
    RecordOutcome,
)
from cassiamount.stream_state import Applied, Rejected

WINDOW_MS = 1_000
RETENTION_MS = WINDOW_MS + 200
MAX_CLAIMS = 4
MAX_BODY_BYTES = 10
START_MS = 1_000_000
# Clock offset of each VM; the clock of the last one is far ahead.
SKEWS_MS = {"vm-a@1": 0, "vm-b@1": 3, "vm-c@1": 100 * WINDOW_MS}
VMS = list(SKEWS_MS)
UNDECODABLE = object()
BODY_SIZES = st.sampled_from([None, 4, 8])


def new_state():
    return ClaimState("claims-0", WINDOW_MS, MAX_CLAIMS, MAX_BODY_BYTES)


class ClaimMachine(RuleBasedStateMachine):
    """VMs that claim, dispatch, finish and abandon requests, each with a state."""

    @initialize()
    def start(self):
        self.now_ms = START_MS
        self.log = []
        self.times_ms = []
        self.earliest = 0
        self.readers = {vm: new_state() for vm in VMS}
        # Request -> (VM, key, time at which its claim was appended).
        self.requests = {}
        # Key -> requests that were dispatched.
        self.dispatched = {}
        self.ended = set()

    def append(self, record):
        self.log.append(record)
        self.times_ms.append(self.now_ms)

    def wall_ms(self, vm):
        return self.now_ms + SKEWS_MS[vm]

    @rule(step_ms=st.sampled_from([1, 50, WINDOW_MS // 2, WINDOW_MS + 5]))
    def wait(self, step_ms):
        self.now_ms += step_ms

    @rule(vm=st.sampled_from(VMS), key=st.sampled_from("klm"), other=st.booleans())
    def claim_only(self, vm, key, other):
        self.claim(vm, key, "g" if other else "f")

    def claim(self, vm, key, fingerprint):
        """Append a claim if the VM's state allows it; return the request or None."""
        state = self.readers[vm]
        if not isinstance(state.lookup("team", key, fingerprint), KeyAvailable):
            return None
        request = f"r{len(self.requests)}"
        self.requests[request] = (vm, key, self.now_ms)
        wall_ms = self.wall_ms(vm)
        self.append(
            ClaimRequest(request, vm, "team", key, fingerprint, request, wall_ms)
        )
        return request

    @rule(vm=st.sampled_from(VMS), key=st.sampled_from("klm"), size=BODY_SIZES)
    def claim_and_run(self, vm, key, size):
        request = self.claim(vm, key, "f")
        if request is not None:
            self.read(vm, len(self.log))
            self.dispatch(request)
            self.finish_or_abandon(request, size, vm)

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def dispatch_any(self, data):
        self.dispatch(data.draw(st.sampled_from(sorted(self.requests))))

    def dispatch(self, request):
        vm, key, claimed_ms = self.requests[request]
        dispatched = self.dispatched.setdefault(key, set())
        if request in self.ended | dispatched or not self.readers[vm].holds_key(
            request
        ):
            return
        # `ClaimState` checks the dispatch itself, in addition to the check below.
        self.readers[vm].check_dispatch(request)
        for earlier in dispatched:
            # Small differences between the VMs' clocks can shorten the window.
            assert abs(claimed_ms - self.requests[earlier][2]) > WINDOW_MS - 100
        dispatched.add(request)

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), size=BODY_SIZES, vm=st.sampled_from(VMS))
    def finish_or_abandon_any(self, data, size, vm):
        request = data.draw(st.sampled_from(sorted(self.requests)))
        self.finish_or_abandon(request, size, vm)

    def finish_or_abandon(self, request, size, vm):
        owner, key, _ = self.requests[request]
        if request in self.ended:
            return
        if request in self.dispatched.get(key, ()):
            body = None if size is None else "x" * size
            self.ended.add(request)
            self.append(outcome(request, owner, body, self.wall_ms(owner)))
        else:
            # Only the VM that made the claim may abandon it; an abandonment by
            # another VM is rejected.
            if vm == owner:
                self.ended.add(request)
            self.append(AbandonClaim(f"a{request}{vm}", vm, request))

    @precondition(lambda self: self.earliest < len(self.log))
    @rule(data=st.data())
    def append_again(self, data):
        position = data.draw(st.integers(self.earliest, len(self.log) - 1))
        # A writer that gets no reply to an append retries within seconds.
        if self.now_ms - self.times_ms[position] < WINDOW_MS:
            self.append(self.log[position])

    @rule()
    def append_undecodable(self):
        self.append(UNDECODABLE)

    @rule(vm=st.sampled_from(VMS), count=st.integers(1, 8))
    def read(self, vm, count):
        state = self.readers[vm]
        state.restart(self.earliest, len(self.log))
        for _ in range(min(count, len(self.log) - state.next_offset)):
            self.deliver(state, state.next_offset)

    def deliver(self, state, offset):
        if self.log[offset] is UNDECODABLE:
            state.skip(offset)
        else:
            state.apply(offset, self.log[offset])

    @rule(vm=st.sampled_from(VMS), data=st.data())
    def deliver_out_of_order(self, vm, data):
        state = self.readers[vm]
        before = state.to_state()
        if self.earliest < len(self.log):
            offset = data.draw(st.integers(self.earliest, len(self.log) - 1))
            if offset < state.next_offset:
                self.deliver(state, offset)
            elif offset > state.next_offset:
                with pytest.raises(OffsetGap):
                    self.deliver(state, offset)
        assert state.to_state() == before

    @rule()
    def trim(self):
        while (
            self.earliest < len(self.log)
            and self.times_ms[self.earliest] < self.now_ms - RETENTION_MS
        ):
            self.earliest += 1

    @rule(vm=st.sampled_from(VMS), peer=st.sampled_from(VMS))
    def restart_vm(self, vm, peer):
        """Restart a VM: it loses its requests and may load the snapshot of a peer."""
        self.ended |= {id for id, (owner, *_) in self.requests.items() if owner == vm}
        state = self.readers[vm] = new_state()
        if peer != vm:
            snapshot = json.loads(json.dumps(self.readers[peer].to_state()))
            state.load_state(self.readers[peer].next_offset - 1, snapshot)
            assert state.digest() == self.readers[peer].digest()

    @invariant()
    def memory_is_bounded(self):
        for state in getattr(self, "readers", {}).values():
            assert len(state) <= MAX_CLAIMS
            assert state.body_bytes <= MAX_BODY_BYTES

    def teardown(self):
        if not hasattr(self, "log"):
            return
        first, second = ClaimState("x", WINDOW_MS), ClaimState("x", WINDOW_MS)
        for offset in range(len(self.log)):
            self.deliver(first, offset)
        for offset in range(len(self.log)):
            for repeated_offset in range(max(0, offset - 2), offset + 1):
                self.deliver(second, repeated_offset)
        assert first.digest() == second.digest()


TestClaimState = ClaimMachine.TestCase
# 2,000 examples took 68 s on a busy machine; 1,600 stay below 60 s.
TestClaimState.settings = settings(
    derandomize=True, max_examples=1600, stateful_step_count=50, deadline=None
)


def claim(request, vm="vm-a@1", key="k", fingerprint="f", wall_ms=START_MS):
    return ClaimRequest(request, vm, "team", key, fingerprint, request, wall_ms)


def outcome(request, vm="vm-a@1", body="abcd", wall_ms=START_MS):
    return RecordOutcome("o" + request, vm, request, 200, "text/plain", body, wall_ms)


def state_with(*records):
    state = new_state()
    results = [state.apply(offset, record) for offset, record in enumerate(records)]
    return state, results


LATE_MS = START_MS + WINDOW_MS + 1


@pytest.mark.parametrize(
    ("records", "fingerprint", "expected", "request_id"),
    [
        ([], "f", KeyAvailable, None),
        ([claim("r1")], "f", KeyHeld, "r1"),
        ([claim("r1"), claim("r2", "vm-b@1")], "f", KeyHeld, "r1"),
        ([claim("r1")], "g", FingerprintMismatch, "r1"),
        ([claim("r1"), AbandonClaim("a", "vm-a@1", "r1")], "f", KeyAvailable, None),
        ([claim("r1"), AbandonClaim("a", "vm-b@1", "r1")], "f", KeyHeld, "r1"),
        # A late second copy of an abandoned claim must not get the key.
        (
            [claim("r1"), AbandonClaim("a", "vm-a@1", "r1"), claim("r1")],
            "f",
            KeyAvailable,
            None,
        ),
        ([claim("r1"), claim("r2", key="l", wall_ms=LATE_MS)], "f", KeyAvailable, None),
        # The stream time jumps when a second VM writes again; the claim made just
        # before has not expired.
        (
            [
                claim("r0", key="l"),
                claim("r1", "vm-b@1", wall_ms=LATE_MS),
                claim("r2", key="m", wall_ms=LATE_MS),
            ],
            "f",
            KeyHeld,
            "r1",
        ),
        # A single VM whose clock runs ahead does not make claims expire.
        (
            [claim("r1"), claim("r2", "vm-c@1", "l", wall_ms=10 * LATE_MS)],
            "f",
            KeyHeld,
            "r1",
        ),
        # Claims of a VM whose clock runs ahead expire like those of other VMs.
        (
            [
                claim("r0", key="l"),
                claim("r1", "vm-c@1", wall_ms=10 * LATE_MS),
                claim("r2", key="m"),
                claim("r3", key="n", wall_ms=LATE_MS),
            ],
            "f",
            KeyAvailable,
            None,
        ),
        # A rejected claim restarts the idempotency window.
        (
            [
                claim("r1"),
                claim("r2", wall_ms=START_MS + WINDOW_MS // 2),
                claim("r3", key="l", wall_ms=LATE_MS),
            ],
            "f",
            KeyHeld,
            "r1",
        ),
    ],
)
def test_second_arrival(records, fingerprint, expected, request_id):
    """Guards against a request that runs twice, and a key that stays held forever."""
    state, _ = state_with(*records)
    found = state.lookup("team", "k", fingerprint)
    assert type(found) is expected
    if request_id is not None:
        assert found.claim.request_id == request_id


@pytest.mark.parametrize(
    ("record", "reason"),
    [
        (claim("r2"), "request r1 holds the key"),
        (outcome("r9"), "holds no claim"),
        (outcome("r1", "vm-b@1"), "belongs to vm-a@1"),
        (GiveKey("x", "o", "team", "hash"), "does not belong"),
    ],
)
def test_rejected_record(record, reason):
    """Guards against a record that changes the claim of another VM or request."""
    state, results = state_with(claim("r1"), record)
    assert isinstance(results[1], Rejected)
    assert reason in results[1].reason
    assert state.lookup("team", "k", "f").claim.status == 0


def test_first_outcome_stays_and_large_bodies_are_dropped_oldest_first():
    """Guards against an outcome that is replaced, and against unbounded memory."""
    state, results = state_with(
        claim("r1"),
        outcome("r1", body="12345678"),
        outcome("r1", body="other"),
        claim("r2", key="l"),
        outcome("r2", body="abcd"),
    )
    assert [type(result) for result in results[1:3]] == [Applied, Rejected]
    first, second = state.get_claim("r1"), state.get_claim("r2")
    assert (first.status, first.body) == (200, None)
    assert (second.status, second.body) == (200, "abcd")


def test_full_partition_rejects_new_claims():
    """Guards against a claim that is dropped, so that its request can run twice."""
    claims = [claim(f"r{number}", key=f"k{number}") for number in range(MAX_CLAIMS + 1)]
    state, results = state_with(*claims)
    assert f"holds {MAX_CLAIMS} claims" in results[-1].reason
    assert not state.holds_key(f"r{MAX_CLAIMS}")
    assert state.holds_key("r0")


def test_claim_after_trimmed_records_is_not_won():
    """Guards against accepting a claim that lost to one trimmed from the log."""
    state = new_state()
    state.restart(5, 6)
    state.apply(5, claim("r1"))
    state.apply(6, claim("r2", key="l"))
    assert not state.holds_key("r1")
    assert state.holds_key("r2")


@pytest.mark.parametrize("records", [[], [claim("r1"), outcome("r1")]])
def test_dispatch_without_a_claim_in_progress_is_a_violation(records):
    """Guards against dispatching a request that has no claim or has run."""
    state, _ = state_with(*records)
    with pytest.raises(InvariantViolation, match="at-most-once"):
        state.check_dispatch("r1")


def test_malformed_snapshot_changes_nothing():
    """Guards against a malformed snapshot that is loaded in part."""
    state, _ = state_with(claim("r1"))
    before = state.to_state()
    for malformed in ({}, {**before, "claims": [[1]]}, {**before, "bodies": ["r1"]}):
        with pytest.raises(InvalidRecord):
            state.load_state(9, malformed)
        assert state.to_state() == before


def test_snapshot_that_covers_no_more_changes_nothing():
    """Guards against losing claims to the snapshot of a peer that is behind."""
    state, _ = state_with(claim("r1"))
    state.load_state(0, new_state().to_state())
    assert state.holds_key("r1")
