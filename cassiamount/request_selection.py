"""Selection of a replica for one request of a fleet, with what excludes replicas."""

from .fleet import allowed_regions
from .fleet_orders import SOFTWARE_MARK, ZONES_MARK
from .relayed_request import Refused
from .replica_selection import NoReplicaReady, clamp_retry_after_ms


class RequestSelection:
    """Asks the selector for a request, without the replicas that it must not get.

    Parameters
    ----------
    state : FleetState
    selector : ReplicaSelector
    """

    __slots__ = ("_state", "_selector")

    def __init__(self, state, selector):
        self._state = state
        self._selector = selector

    def select(self, request, now_ms):
        """Select a replica for a request.

        Returns
        -------
        SelectedReplica or NoReplicaReady

        Raises
        ------
        Refused
            If only replicas could take it to which it must not be sent.
        """
        exclude = set(request.unreachable_backends)
        if len(request.tried) < request.route.attempts:
            exclude.update(request.tried)
        unsettled = self._unsettled(request, now_ms)
        exclude.update(view.record.name for view in unsettled)
        exclude.update(self._outside_regions(request))
        if request.is_model_request:
            found = self._selector.select_for_model(
                request.service,
                request.metadata,
                now_ms,
                exclude,
                request.reserved,
                request.software,
                priority=request.selection_priority,
            )
        else:
            found = self._selector.select_for_service(
                request.service,
                now_ms,
                exclude,
                request.reserved,
                request.software,
                priority=request.selection_priority,
            )
        if (
            isinstance(found, NoReplicaReady)
            and found.reason == "no-backend"
            and self.is_mixed(request)
        ):
            raise Refused(
                503,
                "version_gone",
                "no replica of the version that began this stream can go on with it",
            )
        if isinstance(found, NoReplicaReady) and found.wait_ms is None:
            self._check_unsettled(request, found, unsettled)
        return found

    def _outside_regions(self, request):
        """Return the backend servers that may not get a request of its regions."""
        regions = allowed_regions(request.route, request.team)
        if regions is None:
            return ()
        region_of = self._state.settings.zone_regions.get
        return [
            view.record.name
            for view in self._state.view.of_service(request.service)
            if region_of(view.record.zone) not in regions
        ]

    def _unsettled(self, request, now_ms):
        """Return view -> time in ms for replicas where a stream may not begin yet."""
        route = request.route
        if request.software is not None or not (route.streamed and route.retryable):
            return {}
        waits_ms = self._state.software.unsettled(request.service, now_ms)
        if not waits_ms:
            return {}
        return {
            view: waits_ms[view.record.software]
            for view in self._state.view.of_service(request.service)
            if view.record.software in waits_ms
        }

    def _check_unsettled(self, request, found, unsettled):
        """Refuse a request that only replicas of a new version could take."""
        waits_ms = [
            wait_ms
            for view, wait_ms in unsettled.items()
            if not request.is_model_request or request.metadata.model in view.ready
        ]
        if waits_ms or (unsettled and found.reason == "no-backend"):
            raise Refused(
                503,
                "version_new",
                "not all VMs know the replicas' software version yet",
                clamp_retry_after_ms(min(waits_ms or unsettled.values())),
            )

    def is_mixed(self, request):
        """Return whether some replicas may not go on with a begun stream."""
        return request.software is not None and any(
            view.record.software != request.software
            for view in self._state.view.of_service(request.service)
        )

    def waiting_target(self, request):
        """Return what a request waits for, with its software version if that matters.

        A model that is loaded at another version, or only in regions that may not have
        the request, is not missing to the placement.
        """
        if not request.is_model_request:
            return request.target
        pin = request.software if self.is_mixed(request) else ""
        zones = self._zones_without_model(request)
        if zones:
            pin += ZONES_MARK + ",".join(zones)
        return request.metadata.model + SOFTWARE_MARK + pin if pin else request.target

    def _zones_without_model(self, request):
        """Return the zones of a request's regions if no engine there has its model."""
        outside = set(self._outside_regions(request))
        if not outside:
            return ()
        allowed = [
            view
            for view in self._state.view.of_service(request.service)
            if view.record.name not in outside
        ]
        if any(request.metadata.model in view.ready for view in allowed):
            return ()
        return sorted({view.record.zone for view in allowed})
