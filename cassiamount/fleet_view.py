"""Backend servers as one VM sees them: load, failures, loaded models, draining."""

from collections import deque

from .invariants import LEAVING_BACKEND_IDLE, require
from .zone_evacuation import ZoneEvacuations

# Outcomes of attempts older than this do not count towards a failure rate.
OUTCOME_WINDOW_MS = 4_000.0
# With fewer failures in the window the failure rate counts as 0.
MIN_FAILURES = 3
# A backend server with fewer outcomes does not count as healthier than another one.
MIN_OUTCOMES = 5
# A backend server is avoided from this failure rate on, if another one of its service
# fails at less than half of that server's rate.
MAX_FAILURE_FRACTION = 0.25
# An avoided backend server gets requests again after this time.
AVOID_MS = 3_000.0
# The same after a connection to it could not be opened.
UNREACHABLE_AVOID_MS = 700.0
# Weight of a new sample in the exponential moving averages.
SAMPLE_WEIGHT = 0.1


class BackendView:
    """What one VM knows about one backend server.

    Parameters
    ----------
    record : BackendRecord
    """

    __slots__ = (
        "record",
        "leaving",
        "own_requests",
        "peer_requests",
        "service_ms",
        "first_byte_ms",
        "avoided_until_ms",
        "missing_until_ms",
        "ready",
        "loading",
        "drained",
        "own_requests_by_target",
        "_outcomes",
        "_failures",
    )

    def __init__(self, record):
        self.record = record
        self.leaving = record.leaving
        self.own_requests = 0
        self.peer_requests = 0
        self.service_ms = None
        self.first_byte_ms = None
        self.avoided_until_ms = 0.0
        # Target of requests -> time until which the server is assumed to lack it.
        self.missing_until_ms = {}
        # Loaded model -> its loaded adapters.
        self.ready = record.residents
        # Model or adapter -> time at which it should be ready.
        self.loading = {}
        # Models that are about to be evicted and get no new requests.
        self.drained = frozenset()
        self.own_requests_by_target = {}
        self._outcomes = deque()
        self._failures = 0

    @property
    def load(self):
        """Number of requests of all VMs at the backend server."""
        return self.own_requests + self.peer_requests

    def record_outcome(self, failed, now_ms):
        """Record whether an attempt failed."""
        self._outcomes.append((now_ms, failed))
        self._failures += failed

    def failures(self, now_ms):
        """Return the numbers of failures and of all outcomes in the window."""
        while self._outcomes and self._outcomes[0][0] < now_ms - OUTCOME_WINDOW_MS:
            self._failures -= self._outcomes.popleft()[1]
        return self._failures, len(self._outcomes)

    def failure_share(self, now_ms):
        """Return the fraction of attempts that failed, or 0 if only a few did."""
        failures, outcomes = self.failures(now_ms)
        return failures / outcomes if failures >= MIN_FAILURES else 0.0

    def record_times(self, first_byte_ms, service_ms):
        """Add the latencies of a finished attempt to the moving averages."""
        self.first_byte_ms = _moving_average(self.first_byte_ms, first_byte_ms)
        self.service_ms = _moving_average(self.service_ms, service_ms)


def _moving_average(average, sample):
    return sample if average is None else average + SAMPLE_WEIGHT * (sample - average)


class FleetView:
    """All backend servers in the platform's list.

    Parameters
    ----------
    notices : ServerNotices
    evacuations : ZoneEvacuations, optional
    """

    def __init__(self, notices, evacuations=None):
        self.notices = notices
        self.evacuations = evacuations or ZoneEvacuations()
        self.backends = {}
        # Model whose load is queued -> time at which some engine should have it ready.
        self.queued = {}
        self._by_service = {}

    def replace(self, records):
        """Apply a new version of the platform's list of backend servers.

        Parameters
        ----------
        records : dict of str to BackendRecord

        Returns
        -------
        list of str
            Names of servers that are new, restarted, began to drain or are gone.
        """
        changed = []
        for name in list(self.backends):
            if name not in records:
                self.backends[name].leaving = True
                del self.backends[name]
                changed.append(name)
        for name, record in records.items():
            known = self.backends.get(name)
            if known is None or known.record.started_wall_ms != record.started_wall_ms:
                self.backends[name] = BackendView(record)
                changed.append(name)
                continue
            if record.leaving and not known.leaving:
                changed.append(name)
            known.record = record
            # A server that began to drain does not become available before a restart.
            known.leaving = known.leaving or record.leaving
        self._by_service = {}
        for view in self.backends.values():
            self._by_service.setdefault(view.record.service, []).append(view)
        self.apply_notices()
        return changed

    def apply_notices(self):
        """Let no server become available again that has said that it leaves."""
        for view in self.backends.values():
            if self.notices.leaves(view.record.start):
                view.leaving = view.record.leaving = True

    def of_service(self, service):
        """Return the views of a service's backend servers."""
        return self._by_service.get(service, ())

    def usable(self, service, now_ms, exclude=(), software=None):
        """Return the views of the backend servers that may get a request.

        Avoided backend servers are left out, unless all are avoided.

        Parameters
        ----------
        service : str
        now_ms : float
        exclude : collection of str
        software : str, optional
            The only software version that may get it.
        """
        views = [
            view
            for view in self.willing(service, exclude, software)
            if self.notices.may_send(view.record.start, now_ms)
        ]
        healthy = [view for view in views if view.avoided_until_ms <= now_ms]
        return healthy or views

    def healthy(self, views, now_ms, exclude=(), software=None):
        """Return those of some views that may get a request and are not avoided.

        If there are any, `usable` returns them too, and no other ones of `views`.
        """
        return [
            view
            for view in self._willing(views, exclude, software)
            if view.avoided_until_ms <= now_ms
            and self.notices.may_send(view.record.start, now_ms)
        ]

    def willing(self, service, exclude=(), software=None):
        """Return `usable` with the servers that want nothing from this VM for now."""
        return self._willing(self.of_service(service), exclude, software)

    def _willing(self, views, exclude, software):
        return [
            view
            for view in self._staying(views, exclude, software)
            if not self.evacuations.is_evacuated(view.record.zone)
        ]

    def _staying(self, views, exclude, software):
        return [
            view
            for view in views
            if not view.leaving
            and view.record.name not in exclude
            and software in (None, view.record.software)
        ]

    def only_copies(self, service, now_ms, exclude=(), software=None):
        """Return the usable servers of zones that were just ordered to be evacuated.

        They may get requests for models that no other server has.
        """
        if not self.evacuations.zones:
            return []
        return [
            view
            for view in self._staying(self.of_service(service), exclude, software)
            if self.evacuations.is_evacuated(view.record.zone)
            and self.evacuations.accepts(view.record.zone, now_ms, is_only_copy=True)
            and self.notices.may_send(view.record.start, now_ms)
        ]

    def record_sent(self, name, model):
        """Count a request that is about to be sent, and return the server's view."""
        view = self.backends.get(name)
        require(
            view is not None and not view.leaving, LEAVING_BACKEND_IDLE, backend=name
        )
        view.own_requests += 1
        view.own_requests_by_target[model] = (
            view.own_requests_by_target.get(model, 0) + 1
        )
        return view

    def record_ended(self, view, model):
        """Stop counting a request that has ended."""
        view.own_requests -= 1
        left = view.own_requests_by_target.get(model, 1) - 1
        if left > 0:
            view.own_requests_by_target[model] = left
        else:
            view.own_requests_by_target.pop(model, None)

    def record_outcome(self, view, failed, now_ms):
        """Record an outcome; return whether the backend server is avoided from now."""
        view.record_outcome(failed, now_ms)
        share = view.failure_share(now_ms)
        if share < MAX_FAILURE_FRACTION:
            return False
        if view.avoided_until_ms > now_ms or not self._has_healthier_replica(
            view, share, now_ms
        ):
            return False
        view.avoided_until_ms = now_ms + AVOID_MS
        return True

    def _has_healthier_replica(self, view, share, now_ms):
        """Return whether another replica fails at less than half of a failure rate."""
        for other in self.of_service(view.record.service):
            if other is view or other.leaving:
                continue
            failures, outcomes = other.failures(now_ms)
            if outcomes >= MIN_OUTCOMES and 2 * failures < share * outcomes:
                return True
        return False
