"""Whether this VM's knowledge of the keys is recent enough to admit requests."""

# A proof is used until this much before the limit: the request's way to the backend
# server takes some of it.
MARGIN_MS = 400.0


class Freshness:
    """Age of the knowledge of one stream of the platform's store.

    A proof says that at some time all records of the stream were known. It counts from
    when the read was sent, and goes from VM to VM with its age. Ages are taken by a
    clock that runs on while the machine is suspended.
    """

    __slots__ = ("proved_ms",)

    def __init__(self):
        self.proved_ms = None

    def prove(self, at_ms):
        """Take a proof; an older one changes nothing."""
        if self.proved_ms is None or at_ms > self.proved_ms:
            self.proved_ms = at_ms

    def age_ms(self, now_ms):
        """Return the age of the last proof, infinite without one."""
        return float("inf") if self.proved_ms is None else now_ms - self.proved_ms


class KeyFreshness(Freshness):
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

    def admits(self, now_ms):
        """Return whether requests with a key may be admitted."""
        if self.limit_ms is None:
            return self.proved_ms is not None
        return self.age_ms(now_ms) < self.limit_ms - MARGIN_MS
