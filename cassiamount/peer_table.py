"""Latest reports of the other VMs of a fleet."""

from .fleet_reports import Versions
from .order_lease import PeerSummary

# Interval of the reports to one peer in a small fleet.
REPORT_PERIOD_MS = 100.0
# Maximum number of reports that a VM exchanges in a second, so that reports do not
# overload the small VMs of a large fleet.
REPORTS_PER_S = 60.0
# A peer without a report for this long counts as unreachable.
PEER_TIMEOUT_MS = 700.0
# The same in report periods, for large fleets: a single lost report does not make a
# peer unreachable.
PEER_TIMEOUT_PERIODS = 2.5
# A peer without a report for this long is removed.
PEER_EXPIRY_MS = 20_000.0


class Peer:
    """The last report of one peer, merged with its earlier ones.

    Parameters
    ----------
    report : VmReport
        Its `asked` has the counts of all models.
    last_report_ms : float
    residency : dict of str to Residency or None
        All engines, with times of this VM's clock; only of a lease holder.
    queued : dict of str to float
        Model -> time at which some engine should have it ready.
    seen : Versions
        Versions up to which this VM has all changes of the peer's state.
    """

    __slots__ = ("report", "last_report_ms", "residency", "queued", "seen")

    def __init__(self, report, last_report_ms, residency, queued, seen):
        self.report = report
        self.last_report_ms = last_report_ms
        self.residency = residency
        self.queued = queued
        self.seen = seen


class PeerTable:
    """The latest report of each peer.

    Parameters
    ----------
    own_name : str
    """

    def __init__(self, own_name):
        self.own_name = own_name
        self.peers = {}
        # Name -> address of each VM that may be running.
        self.addresses = {}

    def on_report(self, report, now_ms):
        """Apply a report, unless it is of an earlier start of the peer.

        Returns
        -------
        bool
            Whether it was applied.
        """
        known = self.peers.get(report.vm)
        if known is not None and report.started_ms < known.report.started_ms:
            return False
        for name, address in list(self.addresses.items()):
            if address == report.address:
                # Seed addresses are entered without the names of their VMs.
                del self.addresses[name]
        if not report.stopping:
            self.addresses[report.vm] = report.address
        is_same_start = (
            known is not None and known.report.started_ms == report.started_ms
        )
        self.peers[report.vm] = self._merge_report(
            report, known if is_same_start else None, now_ms
        )
        return True

    def _merge_report(self, report, known, now_ms):
        """Return the `Peer` of a report merged with earlier ones of the same start."""
        seen = Versions()
        residency = None
        if report.residency is not None:
            residency = {
                name: item.shifted(now_ms) for name, item in report.residency.items()
            }
        if known is not None:
            seen.asked = known.seen.asked
            report.asked = {**known.report.asked, **report.asked}
            if residency is not None and known.residency is not None:
                seen.residency = known.seen.residency
                residency = {**known.residency, **residency}
        if report.since.asked <= seen.asked:
            seen.asked = report.versions.asked
        if residency is not None and report.since.residency <= seen.residency:
            seen.residency = report.versions.residency
        queued = {name: now_ms + ms for name, ms in report.queued.items()}
        return Peer(report, now_ms, residency, queued, seen)

    def report_period_ms(self):
        """Return the interval of reports to one peer."""
        return max(REPORT_PERIOD_MS, 1000 * len(self.addresses) / REPORTS_PER_S)

    def timeout_ms(self):
        """Return the time without a report after which a peer is unreachable."""
        return max(PEER_TIMEOUT_MS, PEER_TIMEOUT_PERIODS * self.report_period_ms())

    def seen_versions(self, name):
        """Return the start of a peer and the `Versions` of its state on this VM."""
        known = self.peers.get(name)
        if known is None:
            return 0, Versions()
        return known.report.started_ms, known.seen

    def remove_expired(self, now_ms):
        """Remove expired peers; return their names."""
        expired = [
            name
            for name, peer in self.peers.items()
            if now_ms - peer.last_report_ms > PEER_EXPIRY_MS
        ]
        for name in expired:
            del self.peers[name]
        return expired

    def live_reports(self, now_ms):
        """Return the reports of all reachable peers."""
        timeout_ms = self.timeout_ms()
        return [
            peer.report
            for peer in self.peers.values()
            if now_ms - peer.last_report_ms <= timeout_ms
        ]

    def vm_count(self, now_ms):
        """Return how many VMs may be sending requests, including this one."""
        return 1 + sum(
            now_ms - peer.last_report_ms <= PEER_EXPIRY_MS and not peer.report.stopping
            for peer in self.peers.values()
        )

    def store_reader_rank(self, now_ms):
        """Return this VM's rank by name among the VMs that can read the store."""
        return sum(
            report.vm < self.own_name and not report.stopping and report.store_reachable
            for report in self.live_reports(now_ms)
        )

    def running_elsewhere(self, now_ms):
        """Return requests of reachable peers: backend server -> target -> count."""
        total = {}
        for report in self.live_reports(now_ms):
            for backend, targets in report.running.items():
                sums = total.setdefault(backend, {})
                for target, count in targets.items():
                    sums[target] = sums.get(target, 0) + count
        return total

    def waiting_elsewhere(self, now_ms):
        """Return the number of requests that wait at reachable peers, by target."""
        total = {}
        for report in self.live_reports(now_ms):
            for target, count in report.waiting.items():
                total[target] = total.get(target, 0) + count
        return total

    def affected_peers(self, engines, targets, now_ms):
        """Return the peers that have requests affected by a change of engines.

        Parameters
        ----------
        engines : collection of str
            Engines that changed.
        targets : collection of str
            Models and adapters that became available.
        now_ms : float

        Returns
        -------
        list of str
        """
        return [
            report.vm
            for report in self.live_reports(now_ms)
            if not report.waiting.keys().isdisjoint(targets)
            or not report.running.keys().isdisjoint(engines)
        ]

    def peer_summary(self, now_ms):
        """Return the state of the peers on which the order lease depends."""
        reachable = [
            report for report in self.live_reports(now_ms) if not report.stopping
        ]
        known = sum(not peer.report.stopping for peer in self.peers.values())
        fence = max((report.fence for report in reachable), default=0)
        return PeerSummary(len(reachable), known, fence)

    def holder(self, now_ms):
        """Return the report of the peer that holds the order lease, or None."""
        holders = [report for report in self.live_reports(now_ms) if report.fence]
        return max(holders, key=lambda report: report.fence, default=None)
