"""Messages between VMs that no decision object defines."""


class PeerUnavailable(Exception):
    """A peer did not answer, or answered with an error."""


class ProbeInfo:
    """What a VM says about itself.

    Parameters
    ----------
    vm : str
        Identity.
    zone : str
    log_reachable, leaving : bool
    next_offsets : dict of str to int
        By stream.
    leaving_backends : tuple of str
    withdrawn_key_hashes : tuple of str
    demand_tokens : dict of str to int
        Tokens asked for since the VM started, by model or adapter.
    """

    __slots__ = (
        "vm",
        "zone",
        "log_reachable",
        "leaving",
        "next_offsets",
        "leaving_backends",
        "withdrawn_key_hashes",
        "demand_tokens",
    )

    def __init__(
        self,
        vm,
        zone,
        log_reachable,
        leaving,
        next_offsets=None,
        leaving_backends=(),
        withdrawn_key_hashes=(),
        demand_tokens=None,
    ):
        self.vm = vm
        self.zone = zone
        self.log_reachable = log_reachable
        self.leaving = leaving
        self.next_offsets = {} if next_offsets is None else next_offsets
        self.leaving_backends = tuple(leaving_backends)
        self.withdrawn_key_hashes = tuple(withdrawn_key_hashes)
        self.demand_tokens = {} if demand_tokens is None else demand_tokens


class StreamPage:
    """Records of a stream that a peer read from the log.

    Parameters
    ----------
    records : list of tuple of (int, object)
        Offset and JSON value.
    earliest, next_offset : int
    """

    __slots__ = ("records", "earliest", "next_offset")

    def __init__(self, records, earliest, next_offset):
        self.records = records
        self.earliest = earliest
        self.next_offset = next_offset


class StreamSnapshot:
    """State of a fold at a peer."""

    __slots__ = ("covers_offset", "state")

    def __init__(self, covers_offset, state):
        self.covers_offset = covers_offset
        self.state = state
