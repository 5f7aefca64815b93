"""Claims idempotency keys in the log and records the outcomes of their requests."""

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

# A retry waits this long for the outcome of the first request. Then its caller is told
# to retry later, so that retries of a slow call do not hold many connections.
MAX_OUTCOME_WAIT_MS = 5_000.0
MAX_STORED_BODY_BYTES = 64 << 10
MAX_CONTENT_TYPE_CHARACTERS = 256
# Bounds of the exponential delay between attempts to record an outcome or to abandon a
# claim.
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 10.0
# A claim whose append got no reply can still show up in the log for this long, so the
# VM looks for it until then, to abandon it.
MAX_APPEND_DELAY_MS = 60_000.0


class ClaimPartition:
    """State and appender of one ``claims-<n>`` stream on this VM.

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
    """Return which ``claims-<n>`` stream holds the claims of an idempotency key."""
    return xxhash.xxh64_intdigest((team + key).encode()) % partitions


class ClaimService:
    """Claims idempotency keys and records the outcomes of their requests.

    Parameters
    ----------
    table : ClaimTable
    get_partition : callable
        Returns the `ClaimPartition` for a team and an idempotency key.
    clock, metrics : object
    max_wait_ms : float
        Time that a retry waits for the outcome of the first request.
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
        """Wake the waiting retries; called after a claims stream was read."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def claim(self, team, key, fingerprint, request_id):
        """Claim an idempotency key for a request.

        Returns
        -------
        ClaimedRequest, StoredOutcome or Refusal
            `ClaimedRequest` if the request may run. Otherwise the recorded response of
            the request that holds the key, or why there is none.
        """
        partition = self._get_partition(team, key)
        deadline_ms = self._clock.monotonic_ms() + self._max_wait_ms
        appended = False
        while True:
            # Taken before the decision, so that a change in between is not missed.
            changed = self._changed
            lookup_result = partition.state.lookup(team, key, fingerprint)
            decision = self.table.decide(lookup_result, request_id, fingerprint)
            if isinstance(decision, AppendClaim):
                if appended:
                    # The claim was read back from the log but does not hold the key,
                    # so the request did not run and the caller may retry it.
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
        """Append a claim and wait for its read-back; return a refusal if that fails."""
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
            # The claim may be in the log or get there later, so it is abandoned.
            self.table.mark_never_dispatched(request_id)
            self.spawn_background(self._abandon(partition, request_id))
            if isinstance(error, asyncio.CancelledError):
                raise
            self._metrics.count("claims_total", outcome="append_unknown")
            return log_unavailable()
        return None

    async def record_outcome(self, claimed, response):
        """Record the outcome of a request that may have run."""
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
        """Abandon the claim of a request that did not run."""
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
        """Append a record; retry until it is in the log."""
        retry_delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                return await partition.appender.append(record)
            except (PlatformUnavailable, AppendOutcomeUnknown):
                # The failed append can still get into the log. `ClaimState` rejects
                # the second of the two records, because the first ended the claim.
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
        """Wait until all outcomes and abandonments are in the log."""
        while self._background:
            await asyncio.wait(set(self._background))


class ClaimedRequest:
    """A request of this VM that holds its idempotency key.

    Parameters
    ----------
    service : ClaimService
    partition : ClaimPartition
    request_id : str
    """

    __slots__ = ("service", "partition", "request_id")

    def __init__(self, service, partition, request_id):
        self.service = service
        self.partition = partition
        self.request_id = request_id

    def mark_dispatched(self):
        """Record that the request is sent to a backend server; check that it may be."""
        self.partition.state.check_dispatch(self.request_id)
        self.service.table.mark_dispatched(self.request_id)

    def mark_not_accepted(self):
        """Record that the backend server refused the request; it may be sent again."""
        self.service.table.mark_not_accepted(self.request_id)

    async def run(self, job, caller, relay):
        """Run the request and record its outcome or abandon its claim.

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
            # The response is lost, but the request may have run.
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
