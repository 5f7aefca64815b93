"""Staleness of this VM's copy of the API keys, which bounds how long it is used."""

# Keys count as stale this long before the limit, because forwarding the request to the
# backend server also takes time.
REQUEST_TRANSIT_MARGIN_MS = 400.0


class StreamFreshness:
    """Time since this VM's copy of one metadata store stream was last known current.

    A confirmation says that the copy had all records that the stream had at the time
    when the read was sent. Confirmations are relayed between VMs as ages. The clock
    must advance while the machine is suspended.
    """

    __slots__ = ("current_as_of_ms",)

    def __init__(self):
        self.current_as_of_ms = None

    def confirm(self, as_of_ms):
        """Record that the copy was current at `as_of_ms`; older times are ignored."""
        if self.current_as_of_ms is None or as_of_ms > self.current_as_of_ms:
            self.current_as_of_ms = as_of_ms

    def age_ms(self, now_ms):
        """Return the time since the last confirmation, infinite without one."""
        return (
            float("inf")
            if self.current_as_of_ms is None
            else now_ms - self.current_as_of_ms
        )


class KeyFreshness(StreamFreshness):
    """Freshness of the configuration stream, which contains the keys.

    Parameters
    ----------
    limit_ms : float or None
        Time after which a withdrawn key must be rejected on all VMs; with None, keys
        are used however old the last confirmation is.
    """

    __slots__ = ("limit_ms",)

    def __init__(self, limit_ms=None):
        super().__init__()
        self.limit_ms = limit_ms

    def is_fresh(self, now_ms):
        """Return whether the keys are recent enough to admit requests with a key."""
        if self.limit_ms is None:
            return self.current_as_of_ms is not None
        return self.age_ms(now_ms) < self.limit_ms - REQUEST_TRANSIT_MARGIN_MS
