"""What one VM of a fleet says of itself to all others."""


class VmState:
    """A VM's state as of one of its sequence numbers.

    Parameters
    ----------
    vm, zone, address : str
    started_ms : int
        Distinguishes two starts of a VM.
    sequence : int
        Increases with each change of this state since the start.
    capacity : float
        Processor cores; VMs with more of them take the roles that cost most.
    stopping : bool
    store_reachable : bool
    fence : int
        Fencing token if this VM holds the order lease, else 0.
    used_tokens : dict of str to float
        Tokens charged since the VM's start, by team.
    voucher : str
        The VM that hears this VM's own reports and says whether they go on.
    lost : bool
        Whether the voucher no longer hears them.
    """

    __slots__ = (
        "vm",
        "zone",
        "address",
        "started_ms",
        "sequence",
        "capacity",
        "stopping",
        "store_reachable",
        "fence",
        "used_tokens",
        "voucher",
        "lost",
    )

    def __init__(
        self,
        vm,
        zone,
        address,
        started_ms,
        sequence=1,
        capacity=0.0,
        stopping=False,
        store_reachable=False,
        fence=0,
        used_tokens=None,
        voucher="",
        lost=False,
    ):
        self.vm = vm
        self.zone = zone
        self.address = address
        self.started_ms = started_ms
        self.sequence = sequence
        self.capacity = capacity
        self.stopping = stopping
        self.store_reachable = store_reachable
        self.fence = fence
        self.used_tokens = used_tokens or {}
        self.voucher = voucher
        self.lost = lost

    @property
    def age_order(self):
        """Sorts the states of one VM from old to new."""
        return self.started_ms, self.sequence

    @property
    def rank(self):
        """Sorts VMs; the first ones take the roles that cost most."""
        return -self.capacity, self.vm

    def to_value(self):
        """Return the list that represents this state in a report."""
        return [getattr(self, name) for name in self.__slots__]
