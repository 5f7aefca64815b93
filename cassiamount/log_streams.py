"""Streams of the log that one VM follows, each with its tasks."""

from .appender import Appender
from .checkpoint_task import CheckpointTask
from .checkpoints import CheckpointSchedule
from .claim_state import ClaimState
from .config_state import ConfigState
from .follower import LONG_POLL_MS, Follower
from .zone_state import ZoneState

CONFIG_STREAM = "config"
# Records that arrive within this time share an append, because the log accepts only a
# few hundred appends per second from all VMs together.
CLAIM_APPEND_INTERVAL_MS = 20
ZONE_APPEND_INTERVAL_MS = 20
# Long poll of all streams but the zone's. A new record ends a long poll at once, so a
# longer one delays no records. The zone's stream keeps the short default: its reads
# also tell whether the log is reachable, which leases must know within a second.
EXTENDED_LONG_POLL_MS = 4_000


def zone_stream(zone):
    """Return the name of a zone's stream."""
    return f"zone-{zone}"


def claim_stream(number):
    """Return the name of the stream of a claim partition."""
    return f"claims-{number}"


class LogStream:
    """A stream with its follower, its appender and an optional checkpoint task."""

    __slots__ = ("name", "fold", "follower", "appender", "checkpoint_task")

    def __init__(self, name, fold, follower, appender, checkpoint_task=None):
        self.name = name
        self.fold = fold
        self.follower = follower
        self.appender = appender
        self.checkpoint_task = checkpoint_task

    def supervise(self, supervisor):
        """Register the stream's tasks with a supervisor."""
        supervisor.add(f"follow-{self.name}", self.follower.run)
        supervisor.add(f"append-{self.name}", self.appender.run)
        if self.checkpoint_task is not None:
            supervisor.add(f"checkpoint-{self.name}", self.checkpoint_task.run)


class LogStreams:
    """The streams that one VM follows.

    Parameters
    ----------
    settings : DaemonSettings
    vm : str
        Identity of this VM.
    log : LogClient
    peers : PeerLogRelay
    clock : SystemClock or ManualClock
    members : callable
        Returns the identities of the VMs that may publish checkpoints.
    """

    def __init__(self, settings, vm, log, peers, clock, members):
        self._settings = settings
        self._vm = vm
        self._log = log
        self._peers = peers
        self._clock = clock
        self._members = members
        self.config = self._open(CONFIG_STREAM, ConfigState(), 0, True)
        name = zone_stream(settings.zone)
        zone = ZoneState(settings.zone)
        self.zone = self._open(name, zone, ZONE_APPEND_INTERVAL_MS, True)
        self.claims = [
            self._open_claims(number) for number in range(settings.claim_partitions)
        ]

    def __iter__(self):
        return iter([self.config, self.zone, *self.claims])

    def by_name(self, name):
        """Return the stream `name`, or None if this VM does not follow it."""
        for stream in self:
            if stream.name == name:
                return stream
        return None

    @property
    def log_response_age_ms(self):
        """Time since the log's last response on any stream, in milliseconds."""
        return min(stream.follower.log_response_age_ms for stream in self)

    def _open_claims(self, number):
        name = claim_stream(number)
        fold = ClaimState(name, self._settings.idempotency_window_ms)
        return self._open(name, fold, CLAIM_APPEND_INTERVAL_MS, False)

    def _open(self, name, fold, append_interval_ms, has_checkpoints):
        long_poll_ms = (
            LONG_POLL_MS if isinstance(fold, ZoneState) else EXTENDED_LONG_POLL_MS
        )
        follower = Follower(
            name,
            fold,
            self._log,
            self._peers,
            self._clock,
            long_poll_ms=long_poll_ms,
        )
        appender = Appender(
            follower, self._log, self._peers, interval_ms=append_interval_ms
        )
        checkpoint_task = None
        if has_checkpoints:
            schedule = CheckpointSchedule(
                self._vm,
                name,
                self._settings.log_retention_ms,
                now_ms=self._clock.monotonic_ms(),
            )
            checkpoint_task = CheckpointTask(
                self._vm, follower, appender, schedule, self._members, self._clock
            )
        return LogStream(name, fold, follower, appender, checkpoint_task)
