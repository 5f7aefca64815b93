"""Builds the status of one VM for operators."""

from .load_report import LEAVING
from .status import (
    BackendStatus,
    BudgetStatus,
    ResidentStatus,
    StreamStatus,
    VmStatus,
)

# A backend server without a report for this long counts as unreachable.
REPORT_LIMIT_MS = 5_000


class ReportBoard:
    """The last load report of each backend server; a listener of the load poller."""

    __slots__ = ("_clock", "_reports")

    def __init__(self, clock):
        self._clock = clock
        self._reports = {}

    def send(self, message):
        """Take a `LoadReported` message."""
        report = message.report
        self._reports[report.backend] = (report, self._clock.monotonic_ms())

    def last(self, backend):
        """Return the last report and its age in milliseconds, or (None, None)."""
        if backend not in self._reports:
            return None, None
        report, at_ms = self._reports[backend]
        return report, self._clock.monotonic_ms() - at_ms


class NodeStatus:
    """Collects what the parts of a VM tell about themselves.

    Parameters
    ----------
    identity, zone : str
    clock : SystemClock
    view : NodeView
    streams : LogStreams
    coordinator : Coordinator
    dispatcher : Dispatcher
    board : ReportBoard
    """

    def __init__(
        self, identity, zone, clock, view, streams, coordinator, dispatcher, board
    ):
        self._identity = identity
        self._zone = zone
        self._clock = clock
        self._view = view
        self._streams = streams
        self._coordinator = coordinator
        self._dispatcher = dispatcher
        self._board = board
        self._started_ms = clock.monotonic_ms()

    def __call__(self):
        """Return the `VmStatus`."""
        config = self._streams.config
        coordination = self._coordinator.status()
        return VmStatus(
            vm=self._identity,
            zone=self._zone,
            state=self._state(),
            uptime_ms=self._clock.monotonic_ms() - self._started_ms,
            log_reachable=self._streams.log_response_age_ms < REPORT_LIMIT_MS,
            configuration_version=config.fold.version,
            configuration_staleness_ms=config.follower.stale_ms,
            admitted_requests=self._dispatcher.active,
            queued_requests=self._dispatcher.queued,
            members=sorted(self._streams.zone.fold.roster()),
            streams=[self._stream(stream) for stream in self._streams],
            leases=coordination.leases,
            backends=self._backends(),
            budgets=self._budgets(coordination),
            withdrawn_here=sorted(self._view.keys.withdrawn_here),
        )

    def _state(self):
        if self._view.leaving:
            return "leaving"
        return "live" if self._view.ready else "starting"

    def _stream(self, stream):
        rejections = [
            {
                "offset": rejection.offset,
                "kind": getattr(rejection, "kind", ""),
                "id": getattr(rejection, "id", ""),
                "vm": getattr(rejection, "vm", ""),
                "reason": rejection.reason,
            }
            for rejection in getattr(stream.fold, "rejections", ())
        ]
        return StreamStatus(
            stream=stream.name,
            next_offset=stream.fold.next_offset,
            staleness_ms=stream.follower.stale_ms,
            digest=stream.fold.digest(),
            rejections=rejections,
        )

    def _backends(self):
        configuration = self._streams.config.fold.configuration
        return [
            self._backend(backend)
            for _, backend in sorted(configuration.backends.items())
        ]

    def _backend(self, backend):
        report, age_ms = self._board.last(backend.name)
        status = BackendStatus(
            name=backend.name,
            zone=backend.zone,
            kind=backend.kind,
            state=self._backend_state(backend.name, report, age_ms),
            report_age_ms=age_ms,
        )
        if report is not None:
            status.running = report.running
            status.waiting = report.waiting
            status.memory_used_mb = report.memory_used_mb
            status.memory_capacity_mb = report.memory_capacity_mb
            status.residents = [
                ResidentStatus(
                    name=resident.name,
                    kind=resident.kind,
                    version=resident.version,
                    state=resident.state,
                    memory_mb=resident.memory_mb,
                )
                for resident in report.residents
            ]
        return status

    def _backend_state(self, name, report, age_ms):
        if name in self._streams.config.fold.drained:
            return "drained"
        if report is None or age_ms > REPORT_LIMIT_MS:
            return "unreachable"
        if report.state == LEAVING or name in self._coordinator.leaving_backends():
            return "leaving"
        return "live"

    def _budgets(self, coordination):
        held = self._dispatcher.held_tokens()
        teams = sorted(set(held) | set(coordination.levels))
        budgets = []
        for team in teams:
            level_tokens, outstanding_tokens = coordination.levels.get(team, (0, 0))
            budgets.append(
                BudgetStatus(
                    team=team,
                    owned=team in coordination.levels,
                    level_tokens=float(level_tokens),
                    outstanding_tokens=float(outstanding_tokens),
                    held_tokens=float(held.get(team, 0)),
                )
            )
        return budgets
