"""What this VM heard from the other VMs of a fleet."""

from .fleet_reports import Versions
from .order_lease import PeerSummary

# Interval of the reports to one peer while there are few VMs.
REPORT_PERIOD_MS = 100.0
# Reports that a VM exchanges in one second at most, so that a large fleet does not use
# up its small VMs.
REPORTS_PER_S = 60.0
# A peer that was not heard for this long counts as silent.
PEER_TIMEOUT_MS = 700.0
# The same in intervals, for large fleets: one lost report does not make a peer silent.
PEER_TIMEOUT_PERIODS = 2.5
# A peer that was silent for this long is forgotten.
PEER_EXPIRY_MS = 20_000.0


class Peer:
    """The last report of one peer, completed by what earlier ones said.

    Parameters
    ----------
    report : VmReport
        `asked` is complete.
    heard_ms : float
    residency : dict of str to Residency or None
        Complete, with times of this VM's clock; only of a holder.
    queued : dict of str to float
        Model -> time at which it should be at some engine.
    has : Versions
        Up to which all parts of the peer's state are here.
    """

    __slots__ = ("report", "last_report_ms", "residency", "queued", "seen")

    def __init__(self, report, last_report_ms, residency, queued, seen):
        self.report = report
        self.last_report_ms = last_report_ms
        self.residency = residency
        self.queued = queued
        self.seen = seen


class PeerTable:
    """Reports of the peers, newest each.

    Parameters
    ----------
    own_name : str
    """

    def __init__(self, own_name):
        self.own_name = own_name
        self.peers = {}
        # Addresses of VMs that may be up: name -> address.
        self.addresses = {}

    def on_report(self, report, now_ms):
        """Take a report; one of an earlier start of the peer is ignored.

        Returns
        -------
        bool
            Whether it was taken.
        """
        known = self.peers.get(report.vm)
        if known is not None and report.started_ms < known.report.started_ms:
            return False
        for name, address in list(self.addresses.items()):
            if address == report.address:
                # A seed is known only by its address.
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
        """Return the `Peer` of a report and what earlier reports of its start said."""
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
        """Return after which time a peer counts as silent."""
        return max(PEER_TIMEOUT_MS, PEER_TIMEOUT_PERIODS * self.report_period_ms())

    def seen_versions(self, name):
        """Return the start of a peer and the `Versions` of its state known here."""
        known = self.peers.get(name)
        if known is None:
            return 0, Versions()
        return known.report.started_ms, known.seen

    def remove_expired(self, now_ms):
        """Drop peers that were silent for long; return their names."""
        expired = [
            name
            for name, peer in self.peers.items()
            if now_ms - peer.last_report_ms > PEER_EXPIRY_MS
        ]
        for name in expired:
            del self.peers[name]
        return expired

    def live_reports(self, now_ms):
        """Return the reports of the peers that are heard."""
        timeout_ms = self.timeout_ms()
        return [
            peer.report
            for peer in self.peers.values()
            if now_ms - peer.last_report_ms <= timeout_ms
        ]

    def vm_count(self, now_ms):
        """Return how many VMs may be sending requests, this one included."""
        return 1 + sum(
            now_ms - peer.last_report_ms <= PEER_EXPIRY_MS and not peer.report.stopping
            for peer in self.peers.values()
        )

    def store_reader_rank(self, now_ms):
        """Return this VM's place by name among the VMs that are heard."""
        return sum(
            report.vm < self.own_name and not report.stopping and report.store_reachable
            for report in self.live_reports(now_ms)
        )

    def running_elsewhere(self, now_ms):
        """Return requests of the heard peers: backend server -> target -> count."""
        total = {}
        for report in self.live_reports(now_ms):
            for backend, targets in report.running.items():
                sums = total.setdefault(backend, {})
                for target, count in targets.items():
                    sums[target] = sums.get(target, 0) + count
        return total

    def waiting_elsewhere(self, now_ms):
        """Return requests that wait at the heard peers, by model or adapter."""
        total = {}
        for report in self.live_reports(now_ms):
            for target, count in report.waiting.items():
                total[target] = total.get(target, 0) + count
        return total

    def affected_peers(self, engines, targets, now_ms):
        """Return the peers whose requests a change of engines concerns.

        Parameters
        ----------
        engines : collection of str
            Those that changed.
        targets : collection of str
            Models and adapters that came.
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
        """Return what the lease for orders depends on."""
        heard = [report for report in self.live_reports(now_ms) if not report.stopping]
        known = sum(not peer.report.stopping for peer in self.peers.values())
        fence = max((report.fence for report in heard), default=0)
        return PeerSummary(len(heard), known, fence)

    def holder(self, now_ms):
        """Return the report of the peer that holds the right to order, or None."""
        holders = [report for report in self.live_reports(now_ms) if report.fence]
        return max(holders, key=lambda report: report.fence, default=None)
