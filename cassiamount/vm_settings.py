"""Settings of one VM that runs in front of a fleet."""

import structlog

log = structlog.get_logger()


class VmSettings:
    """Settings that a VM reads when it starts.

    Parameters
    ----------
    vm_name, zone : str
    caller_address, ready_address, peer_address : str
        ``IP:port`` for callers, for the load balancer's probes and for other VMs.
    store_address : str
        ``IP:port`` of the platform's metadata store.
    seed_addresses : sequence of str
        Peer addresses of some VMs; they may be stale.
    free_ports : sequence of int
        First and last port of the range that the system may use for itself.
    first_start : bool
        Whether this is the first start of the whole system.
    heartbeat_ms : float
        Interval of the backend servers' heartbeats.
    drain_ms : float
        Time after which a leaving backend server must get no more requests.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    key_limit_ms : float or None
        Time after which a withdrawn API key must be refused.
    retry_ratio, retry_slack, retry_window_s : float
        Retries allowed on all VMs together within a window: a fraction of the requests
        plus a fixed number.
    order_turn_ms : float
        Time within which two holders of the order lease must not both send orders.
    min_lease_ms : float
        Shortest lease that the store grants.
    processor_cores : float
        Processor capacity of this VM.
    max_descriptors : int or None
        Most descriptors that the VM's process may open.
    memory_mb : float
        Memory beyond which the platform kills the VM's process.
    selects_by_load : bool
        Whether servers are selected by the load and the pace that they report, where
        they do, and requests wait on the VM for room.
    evacuate_ms : float
        Time after the write of an order to evacuate a zone from which no request may
        reach its backend servers.
    cold_overrun, cold_slack : float
        Requests that a cold server takes in any one second: a multiple of its service's
        limit plus a number.
    zone_regions : dict of str to str
        Region of each availability zone; empty if the settings name none.
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
        "processor_cores",
        "max_descriptors",
        "memory_mb",
        "selects_by_load",
        "evacuate_ms",
        "cold_overrun",
        "cold_slack",
        "zone_regions",
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


def readable_regions(zones):
    """Return zone -> region for the entries that can be read; log the others.

    Only requests that are limited to some regions depend on them, and a VM that does
    not start for a wrong entry serves none.
    """
    if not isinstance(zones, dict):
        log.warning("zone_regions_unreadable", value=repr(zones)[:80])
        return {}
    regions = {}
    for zone, region in zones.items():
        if isinstance(zone, str) and isinstance(region, str) and region:
            regions[zone] = region
        else:
            log.warning("zone_region_unreadable", zone=repr(zone)[:80])
    return regions
