"""What this VM heard from the other VMs of a fleet."""

from .order_lease import Surroundings

# A peer that was not heard for this long counts as silent.
SILENT_MS = 700.0
# A peer that was silent for this long is forgotten.
FORGET_MS = 20_000.0


class Peer:
    """The last report of one peer."""

    __slots__ = ("report", "heard_ms")

    def __init__(self, report, heard_ms):
        self.report = report
        self.heard_ms = heard_ms


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
        self.peers[report.vm] = Peer(report, now_ms)
        return True

    def forget_old(self, now_ms):
        """Drop peers that were silent for long; return their names."""
        gone = [
            name
            for name, peer in self.peers.items()
            if now_ms - peer.heard_ms > FORGET_MS
        ]
        for name in gone:
            del self.peers[name]
        return gone

    def heard(self, now_ms):
        """Return the reports of the peers that are heard."""
        return [
            peer.report
            for peer in self.peers.values()
            if now_ms - peer.heard_ms <= SILENT_MS
        ]

    def vms(self, now_ms):
        """Return how many VMs may be sending requests, this one included."""
        return 1 + sum(
            now_ms - peer.heard_ms <= FORGET_MS and not peer.report.stopping
            for peer in self.peers.values()
        )

    def rank(self, now_ms):
        """Return this VM's place by name among the VMs that are heard."""
        return sum(
            report.vm < self.own_name and not report.stopping and report.store_reachable
            for report in self.heard(now_ms)
        )

    def running_elsewhere(self, now_ms):
        """Return requests of the heard peers: backend server -> target -> count."""
        total = {}
        for report in self.heard(now_ms):
            for backend, targets in report.running.items():
                sums = total.setdefault(backend, {})
                for target, count in targets.items():
                    sums[target] = sums.get(target, 0) + count
        return total

    def waiting_elsewhere(self, now_ms):
        """Return requests that wait at the heard peers, by model or adapter."""
        total = {}
        for report in self.heard(now_ms):
            for target, count in report.waiting.items():
                total[target] = total.get(target, 0) + count
        return total

    def surroundings(self, now_ms):
        """Return what the lease for orders depends on."""
        heard = [report for report in self.heard(now_ms) if not report.stopping]
        known = sum(not peer.report.stopping for peer in self.peers.values())
        fence = max((report.fence for report in heard), default=0)
        return Surroundings(len(heard), known, fence)

    def holder(self, now_ms):
        """Return the report of the peer that holds the right to order, or None."""
        holders = [report for report in self.heard(now_ms) if report.fence]
        return max(holders, key=lambda report: report.fence, default=None)
