"""What the caller-facing application sees of the VM's state."""


class NodeView:
    """Configuration, keys and readiness of one VM, read at each use.

    Parameters
    ----------
    config : LogStream
        The ``config`` stream.
    key_staleness_limit_s : float or None
        Longest time without contact to the log for which keys are accepted.
    """

    __slots__ = ("_config", "_limit_s", "leaving", "shutting_down")

    def __init__(self, config, key_staleness_limit_s):
        self._config = config
        self._limit_s = key_staleness_limit_s
        self.leaving = False
        self.shutting_down = False

    @property
    def configuration(self):
        """The configuration in force, or None before there is one.

        Also None if the keys are staler than the operator allows: the VM then cannot
        tell which ones were withdrawn.
        """
        fold = self._config.fold
        if fold.version == 0 or self.stale:
            return None
        return fold.configuration

    @property
    def keys(self):
        """The key table."""
        return self._config.fold.keys

    @property
    def stale(self):
        """Whether the keys are older than the operator allows."""
        if self._limit_s is None:
            return False
        return self._config.follower.stale_ms > self._limit_s * 1000

    @property
    def ready(self):
        """Whether the balancer may send requests here."""
        return not self.leaving and self.configuration is not None
