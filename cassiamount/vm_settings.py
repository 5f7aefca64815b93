"""Settings of one VM that runs in front of a fleet."""


class VmSettings:
    """What a VM is told at its start.

    Parameters
    ----------
    vm_name, zone : str
    caller_address, ready_address, peer_address : str
        ``IP:port`` for callers, for the balancer's probes and for other VMs.
    store_address : str
        The platform's metadata store.
    seed_addresses : sequence of str
        Peer addresses of some VMs; they may be stale.
    free_ports : sequence of int
        First and last port for the system's own use.
    first_start : bool
        Whether the whole system starts for the first time.
    heartbeat_ms : float
        Interval at which backend servers report.
    drain_ms : float
        Time after which a leaving backend server must get no more work.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    key_limit_ms : float or None
        Time after which a withdrawn key must not work.
    retry_ratio, retry_slack, retry_window_s : float
        Repeats allowed over all VMs in a window: a share of the requests, and some.
    order_turn_ms : float
        Two holders of the right to order must not act within this time.
    min_lease_ms : float
        Shortest lease that the store grants.
    """

    __slots__ = (
        "vm_name",
        "zone",
        "caller_address",
        "ready_address",
        "peer_address",
        "store_address",
        "seed_addresses",
        "free_ports",
        "first_start",
        "heartbeat_ms",
        "drain_ms",
        "grace_s",
        "key_limit_ms",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "order_turn_ms",
        "min_lease_ms",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])

    def changes(self, other):
        """Return the names of the fields in which other settings differ."""
        return [
            name
            for name in self.__slots__
            if getattr(self, name) != getattr(other, name)
        ]

    @property
    def ip(self):
        """The VM's own IP address."""
        return self.caller_address.rpartition(":")[0]
