"""Models and adapters at each engine, as the holder of the order lease knows them."""

from .fleet_orders import target_name

# The residency that the last lease holder reported stays valid for this long after it
# was last heard of, because the platform's list is up to 2 s older.
RESIDENCY_EXPIRY_MS = 2_500.0
# A ready time that changes by less is not reported again.
READY_TIME_TOLERANCE_MS = 50.0
# The same for a model that no engine loads yet; its time is only an estimate.
QUEUED_TIME_TOLERANCE_MS = 250.0


class Residency:
    """What the VM that holds the order lease knows about one engine.

    Parameters
    ----------
    started_wall_ms : int
        Wall-clock time at which the engine started.
    ready : dict of str to list of str
        Loaded model -> its loaded adapters.
    loading : dict of str to float
        Model or adapter -> time at which it should be ready; in a report, in ms after
        the report.
    drained : list of str
        Models that are about to be evicted and get no new requests.
    """

    __slots__ = ("started_wall_ms", "ready", "loading", "drained")

    def __init__(self, started_wall_ms, ready, loading, drained):
        self.started_wall_ms = started_wall_ms
        self.ready = ready
        self.loading = loading
        self.drained = drained

    def targets(self):
        """Return the models and adapters that are loaded or loading."""
        held = {
            target_name(model, adapter)
            for model, adapters in self.ready.items()
            for adapter in ("", *adapters)
        }
        return held | self.loading.keys()

    def differs(self, known):
        """Return whether a VM that has `known` needs this update."""
        return (
            self.started_wall_ms != known.started_wall_ms
            or self.ready != known.ready
            or self.drained != known.drained
            or self.loading.keys() != known.loading.keys()
            or any(
                abs(at_ms - known.loading[name]) > READY_TIME_TOLERANCE_MS
                for name, at_ms in self.loading.items()
            )
        )

    def to_value(self, now_ms):
        """Return the list that represents this object in a report of this moment."""
        loading = {name: round(at_ms - now_ms) for name, at_ms in self.loading.items()}
        return [self.started_wall_ms, self.ready, loading, self.drained]

    @classmethod
    def from_value(cls, value, now_ms):
        """Return the object that a report of this moment represents."""
        started_wall_ms, ready, loading, drained = value
        loading = {name: now_ms + in_ms for name, in_ms in loading.items()}
        return cls(started_wall_ms, ready, loading, drained)


class ResidencyPart:
    """Changes of the engines and of the queued models, as a report contains them.

    Parameters
    ----------
    fence : int
        Fencing token of the lease holder whose knowledge this is.
    age_ms : float
        Time since the holder was last heard of.
    engines : dict of str to (int, list or None)
        Engine -> number of the holder's change, and `Residency.to_value`; None for an
        engine that is gone.
    queued : dict of str to (int, float or None)
        Model without a copy -> number of the change, and time in ms until some engine
        should have loaded it; None for a model that is no longer queued.
    """

    __slots__ = ("fence", "age_ms", "engines", "queued")

    def __init__(self, fence, age_ms, engines, queued):
        self.fence = fence
        self.age_ms = age_ms
        self.engines = engines
        self.queued = queued

    def to_value(self):
        """Return the list that represents this object in a report."""
        return [self.fence, self.age_ms, self.engines, self.queued]


class _Entry:
    """One engine's residency or one model's time; a value of None is a removal."""

    __slots__ = ("value", "change", "version")

    def __init__(self, value, change, version):
        self.value = value
        # Number of the change at the holder, the same on all VMs.
        self.change = change
        # Version of this VM's own state at which the entry last changed here.
        self.version = version


class EngineResidency:
    """Residency of all engines: this VM's own while it holds the lease, else a peer's.

    It is newer than the platform's list of backend servers. A VM passes it on, so that
    the holder reports each change only to the VMs that it has a link to.

    Parameters
    ----------
    counter : ChangeCounter
    """

    __slots__ = (
        "active",
        "fence",
        "source",
        "_counter",
        "_engines",
        "_queued",
        "_change",
        "_heard_ms",
    )

    def __init__(self, counter):
        # Whether this VM holds the order lease and fills the table itself.
        self.active = False
        self.fence = 0
        # The peer that reported the table; None if it is this VM's own.
        self.source = None
        self._counter = counter
        self._engines = {}
        self._queued = {}
        self._change = 0
        self._heard_ms = -float("inf")

    def set_own(self, fence, residency, queued, now_ms):
        """Set what this VM knows and plans while it holds the order lease.

        Parameters
        ----------
        fence : int
        residency : dict of str to Residency
        queued : dict of str to float
            Model -> time at which some engine should have loaded it.
        now_ms : float

        Returns
        -------
        ResidencyChanges
        """
        if fence != self.fence or self.source is not None:
            self._begin_table(fence, None)
        self.active = True
        self._heard_ms = now_ms
        self._change += 1
        changes = ResidencyChanges()
        for name, item in residency.items():
            self._update_engine(name, item, changes)
        for name in self._engines.keys() - residency.keys():
            if self._engines[name].value is not None:
                changes.add(name, self._engines[name].value, None)
                self._set(self._engines, name, None, self._change)
        for model, at_ms in queued.items():
            known = self._queued.get(model)
            if (
                known is None
                or known.value is None
                or abs(known.value - at_ms) > QUEUED_TIME_TOLERANCE_MS
            ):
                changes.targets.add(model)
                self._set(self._queued, model, at_ms, self._change)
        for model in self._queued.keys() - queued.keys():
            if self._queued[model].value is not None:
                self._set(self._queued, model, None, self._change)
        return changes

    def update_own(self, engine, item, now_ms):
        """Set what this VM knows of one engine while it holds the order lease.

        Returns
        -------
        ResidencyChanges
        """
        self._heard_ms = now_ms
        self._change += 1
        changes = ResidencyChanges()
        self._update_engine(engine, item, changes)
        return changes

    def _update_engine(self, name, item, changes):
        known = self._engines.get(name)
        before = None if known is None else known.value
        if before is None or item.differs(before):
            changes.add(name, before, item)
            self._set(self._engines, name, item, self._change)

    def end_own(self):
        """Keep the table as that of the last holder, because the lease is lost."""
        self.active = False

    def apply(self, part, source, now_ms):
        """Apply a peer's report.

        Returns
        -------
        ResidencyChanges or None
            None if the report is of an earlier holder or this VM holds the lease.
        """
        if self.active or part.fence < self.fence:
            return None
        if part.fence > self.fence:
            self._begin_table(part.fence, source)
        self.source = source
        self._heard_ms = max(self._heard_ms, now_ms - part.age_ms)
        changes = ResidencyChanges()
        for name, (change, value) in part.engines.items():
            known = self._engines.get(name)
            if known is not None and known.change >= change:
                continue
            item = None if value is None else Residency.from_value(value, now_ms)
            changes.add(name, None if known is None else known.value, item)
            self._set(self._engines, name, item, change)
        for model, (change, in_ms) in part.queued.items():
            known = self._queued.get(model)
            if known is not None and known.change >= change:
                continue
            if in_ms is not None:
                changes.targets.add(model)
            at_ms = None if in_ms is None else now_ms + in_ms
            self._set(self._queued, model, at_ms, change)
        return changes

    def part_for(self, peer, since_version, now_ms):
        """Return the `ResidencyPart` that a peer lacks, or None if there is none."""
        if not self.fence or peer == self.source:
            return None
        engines = {
            name: (
                entry.change,
                None if entry.value is None else entry.value.to_value(now_ms),
            )
            for name, entry in _changed_since(self._engines, since_version)
        }
        queued = {
            model: (
                entry.change,
                None if entry.value is None else round(entry.value - now_ms),
            )
            for model, entry in _changed_since(self._queued, since_version)
        }
        return ResidencyPart(self.fence, round(self.age_ms(now_ms)), engines, queued)

    def is_current(self, now_ms):
        """Return whether a lease holder was heard of recently."""
        return self.age_ms(now_ms) <= RESIDENCY_EXPIRY_MS

    def of(self, engine):
        """Return the `Residency` of an engine, or None."""
        entry = self._engines.get(engine)
        return None if entry is None else entry.value

    def engines(self):
        """Return the `Residency` of each engine by name."""
        return {n: entry.value for n, entry in self._engines.items() if entry.value}

    def queued(self):
        """Return the time at which each queued model should be loaded."""
        return {
            model: entry.value
            for model, entry in self._queued.items()
            if entry.value is not None
        }

    def age_ms(self, now_ms):
        """Return the time since the holder was last heard of."""
        return 0.0 if self.active else now_ms - self._heard_ms

    def _begin_table(self, fence, source):
        self.fence = fence
        self.source = source
        self._engines = {}
        self._queued = {}
        self._change = 0

    def _set(self, table, key, value, change):
        # The entries stay in the order of their versions.
        table.pop(key, None)
        table[key] = _Entry(value, change, self._counter.next())


def _changed_since(table, version):
    """Yield (key, entry) of a table's entries of later versions, the last one first."""
    for key, entry in reversed(table.items()):
        if entry.version <= version:
            return
        yield key, entry


class ResidencyChanges:
    """What changed at the engines, for the requests that it concerns.

    Attributes
    ----------
    engines : set of str
        Engines that changed.
    targets : set of str
        Models and adapters that were added, and models that were queued.
    withdrawn : set of str
        Engines at which models were drained or removed.
    """

    __slots__ = ("engines", "targets", "withdrawn")

    def __init__(self):
        self.engines = set()
        self.targets = set()
        self.withdrawn = set()

    def add(self, engine, before, after):
        """Add the change of one engine between two of its `Residency` values."""
        self.engines.add(engine)
        if after is None:
            self.withdrawn.add(engine)
            return
        added = after.targets()
        if before is not None:
            added -= before.targets()
            if before.ready.keys() - after.ready.keys() or (
                set(after.drained) - set(before.drained)
            ):
                self.withdrawn.add(engine)
        self.targets |= added

    def __bool__(self):
        return bool(self.engines or self.targets)


def engine_residency(engine):
    """Return the `Residency` that describes an `EngineState`."""
    coming = dict(engine.loading)
    if engine.change is not None:
        coming[engine.change.model] = engine.change.eta_ms
    for (model, adapter), at_ms in engine.adapters_loading.items():
        # An adapter that is only planned is due at once: a time in the past, which
        # unlike the present one does not differ with each call.
        coming[target_name(model, adapter)] = 0.0 if at_ms is None else at_ms
    return Residency(
        engine.record.started_wall_ms,
        {name: sorted(held) for name, held in engine.ready.items()},
        coming,
        sorted(engine.drained),
    )
