"""The task that publishes checkpoints of a stream before its records expire."""

import asyncio
from uuid import uuid4

import structlog

from .errors import AppendOutcomeUnknown, InvalidRecord, PlatformUnavailable
from .records import Checkpoint

CHECK_INTERVAL_MS = 1000

log = structlog.get_logger()


class CheckpointTask:
    """Publishes checkpoints of one stream, taking turns with the other VMs.

    Parameters
    ----------
    vm : str
        Identity of this VM.
    follower : Follower
    appender : Appender
    schedule : CheckpointSchedule
        Decides when this VM publishes.
    members : callable
        Returns the identities of the VMs that may publish.
    clock : SystemClock or ManualClock
    """

    def __init__(self, vm, follower, appender, schedule, members, clock):
        self._vm = vm
        self._follower = follower
        self._appender = appender
        self._schedule = schedule
        self._members = members
        self._clock = clock
        follower.add_listener(self._on_stream_update)

    def _on_stream_update(self, update):
        now_ms = self._clock.monotonic_ms()
        for item in update.processed:
            if isinstance(item.record, Checkpoint):
                self._schedule.on_checkpoint(
                    item.offset, item.record.covers_offset, now_ms
                )

    async def run(self):
        """Publish each checkpoint that is due from this VM, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            await self._publish_if_due()

    async def _publish_if_due(self):
        now_ms = self._clock.monotonic_ms()
        fold = self._follower.fold
        if not self._follower.freshness.reached_head:
            return
        earliest = self._follower.cursor.earliest
        if not self._schedule.is_due(
            fold.next_offset, earliest, self._members(), now_ms
        ):
            return
        self._schedule.on_attempt(now_ms)
        covers_offset = fold.next_offset - 1
        record = Checkpoint(uuid4().hex, self._vm, covers_offset, fold.to_state())
        try:
            await self._appender.append(record)
        except (AppendOutcomeUnknown, InvalidRecord, PlatformUnavailable) as error:
            log.warning(
                "checkpoint_failed", stream=self._follower.stream, error=str(error)
            )
        else:
            log.info(
                "checkpoint_published",
                stream=self._follower.stream,
                covers_offset=covers_offset,
            )
