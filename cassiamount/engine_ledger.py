"""Ledger of the orders to a zone's engines and of the memory that they reserve."""

from .engine_memory import EngineMemory
from .engine_orders import (
    ACCEPTED,
    DRAIN_MS,
    HOME_ZONES_PROPAGATION_MS,
    LOAD_ADAPTER,
    LOST,
    NOT_SENT,
    OUTCOME_DONE,
    OUTCOME_EXPIRED,
    OUTCOME_FAILED,
    RESEND_DELAY_MS,
    STATE_DONE,
    STATE_FAILED,
    STATE_QUERY_INTERVAL_MS,
    STATE_RUNNING,
    UNLOAD_MODEL,
    Order,
    QueryOrderState,
    RecordIntent,
    RecordOutcome,
    SendOrder,
)
from .invariants import MEMORY_NOT_OVERCOMMITTED, MODELS_REACHABLE, require
from .pending_order import PendingOrder


class EngineLedger:
    """Orders to the engines of one zone under one lease.

    An order reserves its memory from its intent until its outcome is recorded. The
    ledger does no I/O: it returns commands, and the caller reports their results.

    Parameters
    ----------
    zone : str
    now_ms : float
        Time at which the lease was taken.
    """

    __slots__ = (
        "_zone",
        "_lease_taken_ms",
        "_engines",
        "_pending_orders",
        "_adapter_bases",
        "_home_zones",
        "_home_zones_changed_ms",
    )

    def __init__(self, zone, now_ms):
        self._zone = zone
        self._lease_taken_ms = now_ms
        self._engines = {}
        self._pending_orders = {}
        self._adapter_bases = {}
        self._home_zones = {}
        self._home_zones_changed_ms = now_ms

    def set_configuration(self, configuration, home_zones, now_ms):
        """Apply the engines and adapters of a configuration.

        Parameters
        ----------
        configuration : Configuration
        home_zones : dict
            Model -> zone whose holder never removes the last ready copy there.
        now_ms : float
        """
        engines = {b.name: b for b in configuration.backends.values() if b.memory_mb}
        for name in set(self._engines) - set(engines):
            del self._engines[name]
        for name, backend in engines.items():
            if name in self._engines:
                self._engines[name].backend = backend
            else:
                self._engines[name] = EngineMemory(backend, self._lease_taken_ms)
        self._adapter_bases = {a.name: a.base for a in configuration.adapters.values()}
        if home_zones != self._home_zones:
            self._home_zones = dict(home_zones)
            self._home_zones_changed_ms = now_ms

    def rebuild(self, intents, now_ms):
        """Add the unsettled orders of earlier lease holders.

        Parameters
        ----------
        intents : iterable of (int, IntendOrder)
            Offsets and intents.
        now_ms : float
        """
        for offset, record in intents:
            base = self._adapter_bases.get(record.name, "")
            order = Order(
                record.order_id,
                record.engine,
                record.action,
                record.name,
                record.version,
                record.memory_mb,
                base,
                offset + 1,
            )
            pending = self._pending_orders[order.order_id] = PendingOrder(order)
            pending.recorded_ms = now_ms
            # The earlier holder may have sent the order until its lease ended; `now_ms`
            # is a safe upper bound on that time.
            pending.in_flight_attempts[0] = now_ms
            pending.last_sent_ms = now_ms

    def reserved_mb(self, engine):
        """Return the memory that resident copies and unsettled loads may use."""
        memory = self._engines[engine]
        sizes = {key: copy.memory_mb for key, copy in memory.copies.items()}
        for pending in self._pending_orders.values():
            order = pending.order
            if order.engine == engine and order.is_load:
                sizes[order.key] = max(sizes.get(order.key, 0), order.memory_mb)
        return memory.overhead_mb + sum(sizes.values())

    def free_mb(self, engine):
        """Return the memory that a new load may use; 0 while that is not known."""
        memory = self._engines[engine]
        if not memory.known:
            return 0
        return max(0, memory.capacity_mb - self.reserved_mb(engine))

    def engines(self):
        """Return the `EngineMemory` of each engine of all zones, by name."""
        return self._engines

    def unsettled(self):
        """Return the orders without a recorded outcome."""
        return [pending.order for pending in self._pending_orders.values()]

    def draining(self):
        """Return the (engine, name) pairs of unloads that have no outcome yet."""
        return {
            (p.order.engine, p.order.name)
            for p in self._pending_orders.values()
            if not p.order.is_load and p.outcome is None
        }

    def ready_copies(self, name, now_ms):
        """Return the (engine, version) of each copy that certainly serves requests."""
        unloading = {
            (p.order.engine, p.order.key)
            for p in self._pending_orders.values()
            if not p.order.is_load
        }
        return {
            (engine, key[1])
            for engine, memory in self._engines.items()
            if memory.usable(now_ms) and memory.known
            for key in memory.copies
            if key[0] == name
            and memory.reported_ready(key)
            and (engine, key) not in unloading
        }

    def rejection_reason(self, order, now_ms):
        """Return why an order is not allowed now, or an empty string if it is."""
        memory = self._engines.get(order.engine)
        if memory is None or memory.backend.zone != self._zone:
            return "the engine is not in this zone"
        if not memory.known or not memory.usable(now_ms):
            return "no recent report of the engine"
        for pending in self._pending_orders.values():
            other = pending.order
            if other.engine != order.engine:
                continue
            if other.name == order.name:
                if other.is_load == order.is_load or not other.is_load:
                    return "an order for the same name is unsettled"
                if pending.outcome is None:
                    return "a load of the same name is in progress"
            if order.name == other.base and other.is_load and not order.is_load:
                return "an adapter of the model is being loaded"
            if order.base and order.base == other.name and not other.is_load:
                return "the adapter's model is being unloaded"
        if order.is_load:
            return self._load_rejection_reason(order, memory)
        return self._unload_rejection_reason(order, memory, now_ms)

    def intend(self, order, now_ms):
        """Reserve memory for an order and return the command to record its intent.

        Returns an empty list if the order is not allowed.
        """
        if order.order_id in self._pending_orders or self.rejection_reason(
            order, now_ms
        ):
            return []
        self._pending_orders[order.order_id] = PendingOrder(order)
        self._require_no_overcommit(order)
        return [RecordIntent(order)]

    def on_intent_recorded(self, order_id, offset, now_ms):
        """Handle the append of an order's intent at `offset`."""
        pending = self._pending_orders[order_id]
        pending.order.fence = offset + 1
        pending.recorded_ms = now_ms

    def on_intent_not_recorded(self, order_id):
        """Remove an order whose intent is certainly not in the log."""
        self._pending_orders.pop(order_id, None)

    def on_sent(self, order_id, now_ms):
        """Register an attempt that is about to be sent; return its number."""
        pending = self._pending_orders[order_id]
        pending.last_attempt += 1
        pending.in_flight_attempts[pending.last_attempt] = now_ms
        pending.last_sent_ms = now_ms
        return pending.last_attempt

    def on_answer(self, order_id, attempt, answer, now_ms):
        """Handle an engine's answer to one attempt to send an order."""
        pending = self._pending_orders.get(order_id)
        if pending is None or answer == LOST:
            return
        pending.in_flight_attempts.pop(attempt, None)
        if answer == NOT_SENT:
            return
        if answer == ACCEPTED:
            pending.accepted_ms = now_ms
        else:
            pending.refused_ms = now_ms
        # Have the next `advance` query what became of the order.
        pending.queried_ms = float("-inf")

    def on_state(self, order_id, state, queried_ms, now_ms):
        """Handle the state of an order that was queried at `queried_ms`."""
        pending = self._pending_orders.get(order_id)
        if pending is None or pending.outcome is not None:
            return
        order = pending.order
        memory = self._engines.get(order.engine)
        if state == STATE_DONE:
            pending.outcome = OUTCOME_DONE
            if memory is None:
                return
            if order.is_load:
                kind = "adapter" if order.action == LOAD_ADAPTER else "model"
                memory.on_loaded(order.key, kind, order.memory_mb, now_ms)
            else:
                memory.on_unloaded(order.key, now_ms)
        elif state == STATE_FAILED:
            pending.outcome = OUTCOME_FAILED
        elif state == STATE_RUNNING:
            pending.accepted_ms = now_ms
        elif memory is not None:
            pending.on_unknown_state(queried_ms, memory.earliest_as_of_ms)

    def on_outcome_recorded(self, order_id):
        """Remove an order whose outcome is in the log."""
        self._pending_orders.pop(order_id, None)

    def on_outcome_not_recorded(self, order_id):
        """Have the next `advance` record an outcome again."""
        if order_id in self._pending_orders:
            self._pending_orders[order_id].recording_outcome = False

    def on_report(self, report, now_ms):
        """Handle a load report of an engine of any zone."""
        memory = self._engines.get(report.backend)
        if memory is None:
            return
        memory.on_report(report, now_ms)

    def advance(self, now_ms):
        """Return due commands: send orders, query states and record outcomes."""
        commands = []
        for pending in list(self._pending_orders.values()):
            if pending.recorded_ms is None or pending.recording_outcome:
                continue
            if pending.order.engine not in self._engines:
                pending.in_flight_attempts.clear()
                pending.outcome = pending.outcome or OUTCOME_EXPIRED
            if pending.outcome is not None:
                if pending.outcome_is_final(self._engines.get(pending.order.engine)):
                    pending.recording_outcome = True
                    commands.append(RecordOutcome(pending.order, pending.outcome))
            elif self._due_to_send(pending, now_ms):
                commands.append(SendOrder(pending.order))
            elif pending.last_sent_ms is not None and (
                now_ms - pending.queried_ms >= STATE_QUERY_INTERVAL_MS
            ):
                pending.queried_ms = now_ms
                commands.append(QueryOrderState(pending.order))
        return commands

    def _load_rejection_reason(self, order, memory):
        if order.key in memory.copies:
            return "already resident"
        if order.memory_mb > self.free_mb(order.engine):
            return "not enough free memory"
        if order.base and not any(
            key[0] == order.base and memory.reported_ready(key) for key in memory.copies
        ):
            return "the adapter's model is not ready"
        return ""

    def _unload_rejection_reason(self, order, memory, now_ms):
        if order.key not in memory.copies:
            return "not resident"
        if order.action != UNLOAD_MODEL:
            return ""
        if any(
            self._adapter_bases.get(key[0]) == order.name
            and (order.engine, key[0]) not in self.draining()
            for key in memory.copies
        ):
            return "adapters of the model are resident"
        if not self._another_copy_remains(order, now_ms):
            return "no other ready copy is certain"
        return ""

    def _another_copy_remains(self, order, now_ms):
        """Whether another copy certainly remains after this one is unloaded.

        The holders of the zones decide concurrently. Two holders can't each rely on the
        other's copy: outside its own zone, a holder counts only copies in the model's
        home zone, and the home zone's holder counts none in other zones.
        """
        if now_ms - self._home_zones_changed_ms < HOME_ZONES_PROPAGATION_MS:
            return False
        zones = {self._zone, self._home_zones.get(order.name, self._zone)}
        return any(
            self._engines[engine].backend.zone in zones
            and (engine, version) != (order.engine, order.version)
            for engine, version in self.ready_copies(order.name, now_ms)
        )

    def _due_to_send(self, pending, now_ms):
        order = pending.order
        memory = self._engines[order.engine]
        if not memory.known or pending.answered:
            return False
        if pending.last_sent_ms is not None:
            queried_since = pending.queried_ms > pending.last_sent_ms
            if not queried_since or now_ms - pending.last_sent_ms < RESEND_DELAY_MS:
                return False
        if memory.checks_fence and self._overtakes(pending):
            return False
        if order.is_load:
            if self.reserved_mb(order.engine) > memory.capacity_mb:
                return False
            self._require_no_overcommit(order)
            return True
        if now_ms - pending.recorded_ms < DRAIN_MS:
            return False
        if order.action != UNLOAD_MODEL:
            return True
        if any(self._adapter_bases.get(key[0]) == order.name for key in memory.copies):
            # A model and its adapters drain at the same time. The adapters are unloaded
            # first.
            return False
        if not self._another_copy_remains(order, now_ms):
            if pending.last_sent_ms is None:
                pending.outcome = OUTCOME_EXPIRED
            return False
        require(
            bool(self.ready_copies(order.name, now_ms)),
            MODELS_REACHABLE,
            model=order.name,
            engine=order.engine,
        )
        return True

    def _overtakes(self, pending):
        """Whether the engine would refuse an older order once it accepted this one."""
        return any(
            other.order.engine == pending.order.engine
            and other.recorded_ms is not None
            # An adapter doesn't wait for the order of its model, because the model is
            # unloaded after its adapters in any case.
            and self._adapter_bases.get(pending.order.name) != other.order.name
            and other.order.fence < pending.order.fence
            and other.outcome is None
            and not other.answered
            for other in self._pending_orders.values()
        )

    def _require_no_overcommit(self, order):
        memory = self._engines[order.engine]
        require(
            not order.is_load or self.reserved_mb(order.engine) <= memory.capacity_mb,
            MEMORY_NOT_OVERCOMMITTED,
            engine=order.engine,
            reserved_mb=self.reserved_mb(order.engine),
            capacity_mb=memory.capacity_mb,
        )
