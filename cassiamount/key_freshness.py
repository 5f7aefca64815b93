"""Whether this VM's knowledge of the keys is recent enough to admit requests."""

# A proof is used until this much before the limit: the request's way to the backend
# server takes some of it.
REQUEST_TRANSIT_MARGIN_MS = 400.0


class StreamFreshness:
    """Age of the knowledge of one stream of the platform's store.

    A proof says that at some time all records of the stream were known. It counts from
    when the read was sent, and goes from VM to VM with its age. Ages are taken by a
    clock that runs on while the machine is suspended.
    """

    __slots__ = ("current_as_of_ms",)

    def __init__(self):
        self.current_as_of_ms = None

    def confirm(self, as_of_ms):
        """Take a proof; an older one changes nothing."""
        if self.current_as_of_ms is None or as_of_ms > self.current_as_of_ms:
            self.current_as_of_ms = as_of_ms

    def age_ms(self, now_ms):
        """Return the age of the last proof, infinite without one."""
        return (
            float("inf")
            if self.current_as_of_ms is None
            else now_ms - self.current_as_of_ms
        )


class KeyFreshness(StreamFreshness):
    """Freshness of the configuration with its keys.

    Parameters
    ----------
    limit_ms : float or None
        Time after which a withdrawn key must not work; None sets no limit.
    """

    __slots__ = ("limit_ms",)

    def __init__(self, limit_ms=None):
        super().__init__()
        self.limit_ms = limit_ms

    def is_fresh(self, now_ms):
        """Return whether requests with a key may be admitted."""
        if self.limit_ms is None:
            return self.current_as_of_ms is not None
        return self.age_ms(now_ms) < self.limit_ms - REQUEST_TRANSIT_MARGIN_MS
