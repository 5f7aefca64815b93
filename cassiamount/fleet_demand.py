"""Running and waiting requests and request rates of all VMs, as one VM knows them."""

from .request_rates import RequestRates

# Source of this VM's own requests.
OWN_SOURCE = ""


class FleetDemand:
    """Requests of this VM, and those that its peers report, by the reporting peer.

    Parameters
    ----------
    view : FleetView
    counter : ChangeCounter
    """

    __slots__ = (
        "waiting",
        "rates",
        "version",
        "_view",
        "_counter",
        "_running",
        "_waiting",
    )

    def __init__(self, view, counter):
        # Model or adapter -> number of requests that wait on this VM.
        self.waiting = {}
        self.rates = RequestRates()
        # Grows with each change of the requests and rates of any VM.
        self.version = 0
        self._view = view
        self._counter = counter
        # Peer -> backend server -> target -> requests; peer -> target -> requests.
        self._running = {}
        self._waiting = {}

    def record_request(self, model, latency_sensitive, with_adapter, now_ms):
        """Count a request for a model that this VM received."""
        self.version += 1
        self.rates.record_request(
            OWN_SOURCE,
            model,
            latency_sensitive,
            with_adapter,
            now_ms,
            self._counter.next(),
        )

    def apply(self, peer, running, waiting, rates):
        """Replace what a peer reported before.

        Parameters
        ----------
        peer : str
        running : dict of str to dict of str to int or None
            None if the running requests were not reported again.
        waiting : dict of str to int
        rates : dict of str to RequestRate
        """
        if running is not None and running != self._running.get(peer):
            self._running[peer] = running
            self.version += 1
        if waiting or self._waiting.get(peer):
            self.version += 1
        self._waiting[peer] = waiting
        if rates:
            self.rates.apply(peer, rates, self._counter.next())
            self.version += 1

    def on_restart(self, peer):
        """Drop the requests of a peer's earlier start, but not their rates."""
        self._running.pop(peer, None)
        self._waiting.pop(peer, None)
        self.rates.on_restart(peer)

    def remove(self, peer):
        """Forget what a peer reported."""
        self._running.pop(peer, None)
        self._waiting.pop(peer, None)
        self.rates.remove_source(peer)

    def peers(self):
        """Return the peers that reported requests."""
        return self._waiting.keys()

    def running_of(self, peer):
        """Return the running requests that a peer reported."""
        return self._running.get(peer, {})

    def waiting_of(self, peer):
        """Return the waiting requests that a peer reported."""
        return self._waiting.get(peer, {})

    def running_by_backend(self, peers):
        """Return the number of requests that some peers reported, by backend server."""
        totals = {}
        for peer in peers:
            for backend, targets in self._running.get(peer, {}).items():
                totals[backend] = totals.get(backend, 0) + sum(targets.values())
        return totals

    def running(self, peers):
        """Return this VM's requests and those that some peers reported.

        Returns
        -------
        dict of str to dict of str to int
            Backend server -> model, adapter or service -> requests.
        """
        totals = {
            name: dict(view.own_requests_by_target)
            for name, view in self._view.backends.items()
            if view.own_requests_by_target
        }
        for peer in peers:
            for backend, targets in self._running.get(peer, {}).items():
                sums = totals.setdefault(backend, {})
                for target, count in targets.items():
                    sums[target] = sums.get(target, 0) + count
        return totals

    def waiting_total(self, peers):
        """Return the requests that wait here and at some peers, by target."""
        totals = {target: count for target, count in self.waiting.items() if count}
        for peer in peers:
            for target, count in self._waiting.get(peer, {}).items():
                totals[target] = totals.get(target, 0) + count
        return totals

    def rates_total(self, peers, now_ms, since_version=-1):
        """Return the request rates here and at some peers, by model."""
        return self.rates.total([OWN_SOURCE, *peers], now_ms, since_version)
