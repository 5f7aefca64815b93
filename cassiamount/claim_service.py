"""Claims idempotency keys in the log and records outcomes there."""

import asyncio
import base64
import uuid

import xxhash

from .answers import Answer, CallerGone, error_body
from .claim_state import IN_PROGRESS
from .claims import (
    AppendClaim,
    ClaimWon,
    WaitForOutcome,
    in_progress,
    log_unavailable,
)
from .errors import AppendOutcomeUnknown, PlatformUnavailable
from .records import AbandonClaim, ClaimRequest, RecordOutcome
from .requests import Refusal

# Longest wait of a repeat for the first outcome; after it the caller is told to ask
# again, so that a slow call does not hold many connections.
WAIT_MS = 5_000.0
KEPT_BODY_BYTES = 64 << 10
MAX_CONTENT_TYPE_CHARACTERS = 256
# Pauses between attempts to write an outcome or to abandon a claim.
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 10.0
# An append whose answer was lost can still arrive this long after; until then the
# claim is looked for.
LATE_APPEND_MS = 60_000.0


class Partition:
    """One ``claims-<n>`` stream on this VM.

    Parameters
    ----------
    state : ClaimState
    appender : Appender
    """

    __slots__ = ("state", "appender")

    def __init__(self, state, appender):
        self.state = state
        self.appender = appender


def partition_number(team, key, partitions):
    """Return the number of the ``claims-<n>`` stream for an idempotency key."""
    return xxhash.xxh64_intdigest((team + key).encode()) % partitions


class ClaimService:
    """Claims idempotency keys and records outcomes.

    Parameters
    ----------
    table : ClaimTable
    partition_of : callable
        Returns the `Partition` for a team and a key.
    clock, metrics : object
    wait_ms : float
    """

    def __init__(self, table, partition_of, clock, metrics, wait_ms=WAIT_MS):
        self.table = table
        self._partition_of = partition_of
        self._clock = clock
        self._metrics = metrics
        self._wait_ms = wait_ms
        self._changed = asyncio.Event()
        self._background = set()

    def state_changed(self):
        """Wake the repeats that wait; called when a claims stream was read."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def claim(self, team, key, fingerprint, request_id):
        """Decide whether a request may run.

        Returns
        -------
        Claimed, StoredOutcome or Refusal
        """
        partition = self._partition_of(team, key)
        deadline_ms = self._clock.monotonic_ms() + self._wait_ms
        appended = False
        while True:
            # Taken before the decision, so that no change is missed between both.
            changed = self._changed
            found = partition.state.lookup(team, key, fingerprint)
            decision = self.table.decide(found, request_id, fingerprint)
            if isinstance(decision, AppendClaim):
                if appended:
                    # Read back, and gone since; the caller may begin anew.
                    self.table.lost(request_id)
                    return log_unavailable()
                refusal = await self._append(
                    partition, team, key, fingerprint, request_id
                )
                if refusal is not None:
                    return refusal
                appended = True
                continue
            if isinstance(decision, ClaimWon):
                return Claimed(self, partition, request_id)
            if appended:
                self.table.lost(request_id)
                appended = False
            if not isinstance(decision, WaitForOutcome):
                return decision
            left_ms = deadline_ms - self._clock.monotonic_ms()
            if left_ms <= 0 or not await _wait(changed, left_ms):
                return in_progress()

    async def _append(self, partition, team, key, fingerprint, request_id):
        """Append a claim and wait until it was read back; return a refusal or None."""
        self.table.claiming(request_id)
        record = ClaimRequest(
            uuid.uuid4().hex,
            self.table.vm,
            team,
            key,
            fingerprint,
            request_id,
            self._clock.wall_ms(),
        )
        try:
            await partition.appender.append(record)
        except PlatformUnavailable:
            self.table.lost(request_id)
            self._metrics.count("claims_total", outcome="log_unavailable")
            return log_unavailable()
        except (AppendOutcomeUnknown, asyncio.CancelledError) as error:
            # The claim may be in the log or still arrive there, so it is withdrawn.
            self.table.never_dispatched(request_id)
            self.spawn(self._abandon(partition, request_id))
            if isinstance(error, asyncio.CancelledError):
                raise
            self._metrics.count("claims_total", outcome="append_unknown")
            return log_unavailable()
        return None

    async def record(self, claimed, answer):
        """Write the outcome of a request that may have run."""
        kept = answer.body is not None and len(answer.body) <= KEPT_BODY_BYTES
        body = base64.b64encode(answer.body).decode() if kept else None
        record = RecordOutcome(
            uuid.uuid4().hex,
            self.table.vm,
            claimed.request_id,
            answer.status,
            answer.content_type[:MAX_CONTENT_TYPE_CHARACTERS],
            body,
            self._clock.wall_ms(),
        )
        self.table.ended(claimed.request_id, record)
        self.state_changed()
        await self._persist(claimed.partition, record)
        self.table.recorded(claimed.request_id)

    async def abandon(self, claimed):
        """Give up the claim of a request that was never dispatched."""
        self.table.never_dispatched(claimed.request_id)
        await self._abandon(claimed.partition, claimed.request_id)

    async def _abandon(self, partition, request_id):
        started_ms = self._clock.monotonic_ms()
        pause_s = MIN_PAUSE_S
        while True:
            claim = partition.state.claim_of(request_id)
            if claim is not None and claim.state != IN_PROGRESS:
                break
            if claim is not None:
                record = AbandonClaim(uuid.uuid4().hex, self.table.vm, request_id)
                await self._persist(partition, record)
            elif self._clock.monotonic_ms() - started_ms > LATE_APPEND_MS:
                break
            else:
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_PAUSE_S, pause_s * 2)
        self.table.recorded(request_id)

    async def _persist(self, partition, record):
        """Append a record for as long as it takes."""
        pause_s = MIN_PAUSE_S
        while True:
            try:
                return await partition.appender.append(record)
            except (PlatformUnavailable, AppendOutcomeUnknown):
                # The first append can still arrive; the fold rejects the later one,
                # because the request has ended by then.
                record.id = uuid.uuid4().hex
                self._metrics.count("claim_append_retries_total")
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_PAUSE_S, pause_s * 2)

    def spawn(self, coroutine):
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def settle(self):
        """Wait until every outcome and abandonment is in the log."""
        while self._background:
            await asyncio.wait(set(self._background))


class Claimed:
    """A claim that this VM won.

    Parameters
    ----------
    service : ClaimService
    partition : Partition
    request_id : str
    """

    __slots__ = ("service", "partition", "request_id")

    def __init__(self, service, partition, request_id):
        self.service = service
        self.partition = partition
        self.request_id = request_id

    def dispatching(self):
        """Check the claim just before the request is sent."""
        self.partition.state.check_dispatch(self.request_id)
        self.service.table.dispatching(self.request_id)

    def not_accepted(self):
        """Note that the backend server did not accept the request."""
        self.service.table.not_accepted(self.request_id)

    async def run(self, job, caller, relay):
        """Run the claimed call and write its end to the log.

        Parameters
        ----------
        job : ServiceJob
        caller : Caller
        relay : Relay
        """
        answer = None
        try:
            answer = await relay.run(job, caller)
        except CallerGone:
            # What arrived of the response is lost; the call may have run.
            pass
        finally:
            self._ended(job, answer)

    def _ended(self, job, answer):
        service = self.service
        never_run = job.state.dispatches == 0
        if answer is not None and answer.refusal is not None:
            never_run = answer.refusal.not_run
        if never_run:
            service.spawn(service.abandon(self))
            return
        if answer is None:
            refusal = Refusal(
                502, "outcome_unknown", "the response was lost", not_run=False
            )
            answer = Answer(502, "application/json", error_body(refusal), refusal)
        service.spawn(service.record(self, answer))


async def _wait(changed, left_ms):
    try:
        async with asyncio.timeout(left_ms / 1000):
            await changed.wait()
    except TimeoutError:
        return False
    return True
