"""State machine tests of calls with idempotency keys, with a log that fails."""

import asyncio
import random
import selectors

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cassiamount.backend_client import AttemptBroken, NotAccepted
from cassiamount.claim_service import ClaimPartition, ClaimService
from cassiamount.claim_state import ClaimState
from cassiamount.claims import ClaimTable
from cassiamount.errors import AppendOutcomeUnknown, PlatformUnavailable
from cassiamount.jobs import ServiceJob
from cassiamount.metrics import Metrics
from cassiamount.relay import Relay
from cassiamount.requests import Dispatch, Refusal, RequestInfo
from cassiamount.service_calls import ServiceCalls
from cassiamount.tracing import NO_TRACE

VMS = st.integers(0, 2)


class VirtualSelector(selectors.SelectSelector):
    """Advances the virtual time where a real selector would block."""

    now_s = 0.0

    def select(self, timeout=None):
        self.now_s += timeout or 0.0
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time: timers fire without real waiting."""

    def __init__(self):
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self):
        return self.virtual_selector.now_s


class LoopClock:
    def __init__(self, loop):
        self.loop = loop

    def monotonic_ms(self):
        return self.loop.time() * 1000

    def wall_ms(self):
        return 1_700_000_000_000 + int(self.loop.time() * 1000)


class Log:
    """The shared log; a failed append may still write its record, at once or later."""

    def __init__(self):
        self.records = []
        self.available = True
        self.delayed_appends = []


class FakeAppender:
    """Appends a record and waits until its VM has read it back."""

    def __init__(self, log, state):
        self.log = log
        self.state = state
        self.failure_modes = []
        self.pending_reads = []

    async def append(self, record):
        if not self.log.available:
            raise PlatformUnavailable("log")
        failure_mode = self.failure_modes.pop() if self.failure_modes else "ok"
        if failure_mode == "lost":
            raise PlatformUnavailable("log")
        if failure_mode == "unknown-late":
            self.log.delayed_appends.append(record)
        else:
            self.log.records.append(record)
        if failure_mode != "ok":
            raise AppendOutcomeUnknown("log")
        offset = len(self.log.records) - 1
        read = asyncio.get_running_loop().create_future()
        self.pending_reads.append((offset, read))
        await read
        return offset


class FakeResponse:
    """A complete response of a backend server."""

    status = 200
    headers = {"Content-Type": "text/plain"}
    content_type = "text/plain"
    delimited = True

    def __init__(self, body):
        self.parts = [body, b""]

    async def chunk(self):
        return self.parts.pop(0)

    def release(self):
        pass

    def close(self):
        pass


class Environment:
    """State outside the VMs: requests sent to and run by the backend, and replies."""

    def __init__(self):
        self.pending_sends = []
        self.run_counts = {}
        # Requests whose response was lost, so no VM knows whether they ran.
        self.maybe_ran = set()
        self.replies = []
        self.gone = set()


class FakeCaller:
    def __init__(self, environment, call):
        self.environment = environment
        self.call = call

    def watch(self, on_stall):
        return lambda: None

    async def refuse(self, refusal, param=None):
        self.environment.replies.append((self.call, refusal))

    async def respond(self, status, headers, body):
        replayed = (b"idempotent-replayed", b"true") in headers
        self.environment.replies.append((self.call, (status, body, replayed)))


class Call:
    def __init__(self, key, body, request_id):
        self.key = key
        self.body = body
        self.request_id = request_id


class Vm:
    """A VM with real claims and relay.

    It also serves as the relay's dispatcher and backend client, both fakes.
    """

    def __init__(self, environment, log, loop, number, incarnation):
        self.environment, self.name = environment, f"vm-{number}@{incarnation}"
        self.state = ClaimState()
        self.appender = FakeAppender(log, self.state)
        self.open = set()
        clock, metrics = LoopClock(loop), Metrics()
        partition = ClaimPartition(self.state, self.appender)
        self.service = ClaimService(
            ClaimTable(self.name, environment.gone.__contains__),
            lambda team, key: partition,
            clock,
            metrics,
        )
        self.relay = Relay(self, self, clock, metrics, random.Random(1))
        self.calls = ServiceCalls(self, self.service)
        self.tasks = []

    def running(self):
        """Return all tasks of this VM, with its background tasks."""
        return {*self.tasks, *self.relay._background, *self.service._background}

    def follow(self, log, count):
        """Read up to `count` records of the log."""
        for offset in range(self.state.next_offset, len(log.records))[:count]:
            self.state.apply(offset, log.records[offset])
        for offset, read in self.appender.pending_reads:
            if offset < self.state.next_offset and not read.done():
                read.set_result(None)
        self.service.on_state_changed()

    async def call(self, call):
        now_ms = self.service._clock.monotonic_ms()
        request_info = RequestInfo(
            call.request_id,
            "t",
            service="s",
            deadline_ms=now_ms + 30_000,
            idempotent=False,
        )
        job = ServiceJob(
            request_info,
            "POST",
            "/orders",
            [],
            call.body,
            b"",
            lambda request_info: None,
            NO_TRACE,
            now_ms + 60_000,
        )
        arrival = type("Arrival", (), {})()
        arrival.request_id, arrival.caller = (
            call.request_id,
            FakeCaller(self.environment, call),
        )
        await self.calls._claimed(job, arrival, call.key)

    async def submit(self, request_info):
        await asyncio.sleep(0)
        return self._dispatch(request_info, 1)

    async def retry(self, request_info, attempt, failed_backend):
        return self._dispatch(request_info, attempt)

    def _dispatch(self, request_info, attempt):
        if not self.open and attempt > 2:
            return Refusal(503, "not_run", "none")
        assert request_info.request_id not in self.open
        self.open.add(request_info.request_id)
        return Dispatch(request_info, "b", "a", attempt)

    async def ended(self, attempt_ended):
        self.open.remove(attempt_ended.request_id)

    async def send(self, *arguments, new_connection, begin_send):
        """Replace `BackendClient.send`; the rule `backend_responds` ends the call."""
        assert new_connection
        begin_send()
        response = asyncio.get_running_loop().create_future()
        self.environment.pending_sends.append((arguments[5], arguments[4], response))
        return await response


class ClaimMachine(RuleBasedStateMachine):
    """Callers retry calls on any VM while the log, VMs and the backend server fail."""

    @initialize()
    def start(self):
        self.loop = VirtualLoop()
        self.environment, self.log = Environment(), Log()
        self.vms = [Vm(self.environment, self.log, self.loop, n, 0) for n in range(3)]
        self.calls, self.incarnation = [], 0

    def run_loop(self, seconds=0.001):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(vm=VMS, key=st.sampled_from("kl"), body=st.sampled_from([b"1", b"1", b"2"]))
    def call(self, vm, key, body):
        call = Call(key, body, f"r{len(self.calls)}")
        self.calls.append(call)
        task = self.loop.create_task(self.vms[vm].call(call))
        self.vms[vm].tasks.append(task)
        self.run_loop()

    @rule(vm=VMS, count=st.integers(1, 5))
    def follow(self, vm, count):
        self.vms[vm].follow(self.log, count)
        self.run_loop()

    @rule(
        index=st.integers(0, 3),
        outcome=st.sampled_from(["ok", "ok", "refused", "lost", "never-arrived"]),
    )
    def backend_responds(self, index, outcome):
        if index >= len(self.environment.pending_sends):
            return
        request_id, body, response = self.environment.pending_sends.pop(index)
        if outcome in ("ok", "lost"):
            self.environment.run_counts[request_id] = (
                self.environment.run_counts.get(request_id, 0) + 1
            )
        if not response.done():
            if outcome == "ok":
                response.set_result(FakeResponse(b"did " + body))
            elif outcome == "refused":
                response.set_exception(NotAccepted("refused"))
            else:
                self.environment.maybe_ran.add(request_id)
                response.set_exception(AttemptBroken("lost"))
        self.run_loop()

    @rule(vm=VMS, failure_mode=st.sampled_from(["lost", "unknown", "unknown-late"]))
    def append_fails(self, vm, failure_mode):
        self.vms[vm].appender.failure_modes.append(failure_mode)

    @rule()
    def late_append_arrives(self):
        if self.log.delayed_appends:
            self.log.records.append(self.log.delayed_appends.pop(0))

    @rule()
    def toggle_log(self):
        self.log.available = not self.log.available

    @rule(vm=VMS, detected=st.booleans())
    def vm_dies(self, vm, detected):
        old = self.vms[vm]
        # Repeated, because a cancelled task may start another one. The real process
        # would just end.
        while running := [task for task in old.running() if not task.done()]:
            for task in running:
                task.cancel()
            self.run_loop()
        self.incarnation += 1
        self.vms[vm] = Vm(self.environment, self.log, self.loop, vm, self.incarnation)
        if detected:
            self.environment.gone.add(old.name)

    @rule(seconds=st.sampled_from([0.1, 1.0, 6.0]))
    def time_passes(self, seconds):
        self.run_loop(seconds)

    @invariant()
    def never_two_runs_and_every_refusal_true(self):
        if not hasattr(self, "environment"):
            return
        run_counts = self.environment.run_counts
        by_call = {}
        for call in self.calls:
            count = run_counts.get(call.request_id, 0)
            by_call[call.key] = by_call.get(call.key, 0) + count
        # The test is shorter than the idempotency window, so each key runs at most one
        # request, whichever body came first.
        assert all(count <= 1 for count in by_call.values()), by_call
        for call, response in self.environment.replies:
            ran = run_counts.get(call.request_id, 0)
            if isinstance(response, Refusal):
                assert not (response.not_run and ran), response
                if response.status == 422:
                    assert {c.body for c in self.calls if c.key == call.key} != {b"1"}
                continue
            _, body, replayed = response
            if b"error" not in body:
                assert body == b"did " + call.body
                assert ran == (0 if replayed else 1)

    def recover(self, seconds):
        """Complete all pending sends, appends and reads."""
        while self.environment.pending_sends:
            self.backend_responds(0, "ok")
        self.log.records.extend(self.log.delayed_appends)
        self.log.delayed_appends.clear()
        for vm in self.vms:
            vm.follow(self.log, 1_000)
        self.run_loop(seconds)

    def check_unrun_keys_are_free(self):
        """Check that a key whose requests did not run is available, if no VM died."""
        perhaps_ran = self.environment.maybe_ran | set(self.environment.run_counts)
        taken = {call.key for call in self.calls if call.request_id in perhaps_ran}
        for key in {call.key for call in self.calls} - taken:
            self.call(0, key, b"1")
            for _ in range(3):
                self.recover(1.0)
            assert self.environment.run_counts.get(self.calls[-1].request_id) == 1, key

    def teardown(self):
        """Check that after recovery every caller has got its response."""
        if not hasattr(self, "environment"):
            return
        self.log.available = True
        for vm in self.vms:
            vm.appender.failure_modes.clear()
        self.environment.gone.update(f"vm-{n}@{i}" for n in range(3) for i in range(50))
        self.environment.gone.difference_update(vm.name for vm in self.vms)
        for _ in range(12):
            self.recover(11.0)
        self.never_two_runs_and_every_refusal_true()
        assert not any(vm.open for vm in self.vms)
        unfinished = [task for vm in self.vms for task in vm.tasks if not task.done()]
        assert not unfinished
        for vm in self.vms:
            for task in vm.tasks:
                task.result()
            assert vm.service.table.pending == 0
        if self.incarnation == 0:
            self.check_unrun_keys_are_free()
        self.run_loop(70.0)
        assert not asyncio.all_tasks(self.loop)
        self.loop.close()


class SecondClaimMachine(ClaimMachine):
    """The same machine; Hypothesis derives other examples from its name."""


# 1,000 examples of up to 50 steps in each of two tests, which can run in parallel; one
# of them took 52 s on an idle core. The examples are the same in each run.
CLAIM_MACHINE_SETTINGS = settings(
    derandomize=True, max_examples=1_000, stateful_step_count=50, deadline=None
)
TestClaims = ClaimMachine.TestCase
TestClaimsSecond = SecondClaimMachine.TestCase
TestClaims.settings = TestClaimsSecond.settings = CLAIM_MACHINE_SETTINGS
