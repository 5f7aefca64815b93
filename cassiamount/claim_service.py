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
MAX_OUTCOME_WAIT_MS = 5_000.0
MAX_STORED_BODY_BYTES = 64 << 10
MAX_CONTENT_TYPE_CHARACTERS = 256
# Pauses between attempts to write an outcome or to abandon a claim.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 10.0
# An append whose answer was lost can still arrive this long after; until then the
# claim is looked for.
MAX_APPEND_DELAY_MS = 60_000.0


class ClaimPartition:
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

    def __init__(
        self, table, get_partition, clock, metrics, max_wait_ms=MAX_OUTCOME_WAIT_MS
    ):
        self.table = table
        self._get_partition = get_partition
        self._clock = clock
        self._metrics = metrics
        self._max_wait_ms = max_wait_ms
        self._changed = asyncio.Event()
        self._background = set()

    def on_state_changed(self):
        """Wake the repeats that wait; called when a claims stream was read."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def claim(self, team, key, fingerprint, request_id):
        """Decide whether a request may run.

        Returns
        -------
        Claimed, StoredOutcome or Refusal
        """
        partition = self._get_partition(team, key)
        deadline_ms = self._clock.monotonic_ms() + self._max_wait_ms
        appended = False
        while True:
            # Taken before the decision, so that no change is missed between both.
            changed = self._changed
            lookup_result = partition.state.lookup(team, key, fingerprint)
            decision = self.table.decide(lookup_result, request_id, fingerprint)
            if isinstance(decision, AppendClaim):
                if appended:
                    # Read back, and gone since; the caller may begin anew.
                    self.table.discard_claim(request_id)
                    return log_unavailable()
                refusal = await self._append_claim(
                    partition, team, key, fingerprint, request_id
                )
                if refusal is not None:
                    return refusal
                appended = True
                continue
            if isinstance(decision, ClaimWon):
                return ClaimedRequest(self, partition, request_id)
            if appended:
                self.table.discard_claim(request_id)
                appended = False
            if not isinstance(decision, WaitForOutcome):
                return decision
            left_ms = deadline_ms - self._clock.monotonic_ms()
            if left_ms <= 0 or not await _wait_for_change(changed, left_ms):
                return in_progress()

    async def _append_claim(self, partition, team, key, fingerprint, request_id):
        """Append a claim and wait until it was read back; return a refusal or None."""
        self.table.mark_claimed(request_id)
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
            self.table.discard_claim(request_id)
            self._metrics.count("claims_total", outcome="log_unavailable")
            return log_unavailable()
        except (AppendOutcomeUnknown, asyncio.CancelledError) as error:
            # The claim may be in the log or still arrive there, so it is withdrawn.
            self.table.mark_never_dispatched(request_id)
            self.spawn_background(self._abandon(partition, request_id))
            if isinstance(error, asyncio.CancelledError):
                raise
            self._metrics.count("claims_total", outcome="append_unknown")
            return log_unavailable()
        return None

    async def record_outcome(self, claimed, response):
        """Write the outcome of a request that may have run."""
        is_stored = (
            response.body is not None and len(response.body) <= MAX_STORED_BODY_BYTES
        )
        body = base64.b64encode(response.body).decode() if is_stored else None
        record = RecordOutcome(
            uuid.uuid4().hex,
            self.table.vm,
            claimed.request_id,
            response.status,
            response.content_type[:MAX_CONTENT_TYPE_CHARACTERS],
            body,
            self._clock.wall_ms(),
        )
        self.table.store_outcome(claimed.request_id, record)
        self.on_state_changed()
        await self._append_with_retries(claimed.partition, record)
        self.table.remove_request(claimed.request_id)

    async def abandon(self, claimed):
        """Give up the claim of a request that was never dispatched."""
        self.table.mark_never_dispatched(claimed.request_id)
        await self._abandon(claimed.partition, claimed.request_id)

    async def _abandon(self, partition, request_id):
        started_ms = self._clock.monotonic_ms()
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            claim = partition.state.get_claim(request_id)
            if claim is not None and claim.state != IN_PROGRESS:
                break
            if claim is not None:
                record = AbandonClaim(uuid.uuid4().hex, self.table.vm, request_id)
                await self._append_with_retries(partition, record)
            elif self._clock.monotonic_ms() - started_ms > MAX_APPEND_DELAY_MS:
                break
            else:
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)
        self.table.remove_request(request_id)

    async def _append_with_retries(self, partition, record):
        """Append a record for as long as it takes."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                return await partition.appender.append(record)
            except (PlatformUnavailable, AppendOutcomeUnknown):
                # The first append can still arrive; the fold rejects the later one,
                # because the request has ended by then.
                record.id = uuid.uuid4().hex
                self._metrics.count("claim_append_retries_total")
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 2)

    def spawn_background(self, coroutine):
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def wait_background(self):
        """Wait until every outcome and abandonment is in the log."""
        while self._background:
            await asyncio.wait(set(self._background))


class ClaimedRequest:
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

    def mark_dispatched(self):
        """Check the claim just before the request is sent."""
        self.partition.state.check_dispatch(self.request_id)
        self.service.table.mark_dispatched(self.request_id)

    def mark_not_accepted(self):
        """Note that the backend server did not accept the request."""
        self.service.table.mark_not_accepted(self.request_id)

    async def run(self, job, caller, relay):
        """Run the claimed call and write its end to the log.

        Parameters
        ----------
        job : ServiceJob
        caller : Caller
        relay : Relay
        """
        response = None
        try:
            response = await relay.run(job, caller)
        except CallerGone:
            # What arrived of the response is lost; the call may have run.
            pass
        finally:
            self._record_end(job, response)

    def _record_end(self, job, response):
        service = self.service
        was_not_run = job.state.dispatches == 0
        if response is not None and response.refusal is not None:
            was_not_run = response.refusal.not_run
        if was_not_run:
            service.spawn_background(service.abandon(self))
            return
        if response is None:
            refusal = Refusal(
                502, "outcome_unknown", "the response was lost", not_run=False
            )
            response = Answer(502, "application/json", error_body(refusal), refusal)
        service.spawn_background(service.record_outcome(self, response))


async def _wait_for_change(changed, left_ms):
    try:
        async with asyncio.timeout(left_ms / 1000):
            await changed.wait()
    except TimeoutError:
        return False
    return True
