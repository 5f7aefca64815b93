"""Holds the right to order engines, plans their changes and carries them out."""

import asyncio

import structlog

from .background import BackgroundTasks
from .engine_belief import AdapterChange
from .engine_residency import residency_of
from .fleet_orders import (
    ACCEPTED,
    CONFLICT,
    FENCED,
    HELD,
    LOAD,
    NO_ANSWER,
    UNLOAD,
    EngineOrder,
    target_of,
)
from .fleet_placement import RETRY_MS, UNLOAD_MS, FleetPlacement
from .metadata_store import StoreUnavailable
from .order_lease import LEASE_MS, RENEW_MS

# Pause between two plans when nothing asks for one sooner.
PLAN_MS = 100.0
# Time that the other VMs need to hear that a model is about to be unloaded.
DRAIN_NOTICE_MS = 60.0
# Pause between reports while a change is under way.
REPORT_MS = 60.0
# An engine without requests for a model unloads it within this time.
IDLE_UNLOAD_MS = 25.0
# A load that is not there this long after it was due has failed.
OVERDUE_MS = 6_000.0
# An adapter is there this long after its order, unless it is seen sooner.
ADAPTER_MS = 14.0
ORDER_TRIES = 6
# Reports of engines are as of up to this long ago.
REPORT_LAG_MS = 130.0
TRY_PAUSE_MS = 40.0
# Up to this many other VMs hear of each change at once; in larger fleets only those
# whose requests it concerns, and the others with the next report.
SMALL_FLEET = 12
# Share of the processor's time that plans may take.
PLAN_SHARE = 0.25

log = structlog.get_logger()


class OrderRefused(Exception):
    """An order was not carried out; the change ends."""


class OrderRunner:
    """The tasks of the VM that holds the right to order.

    Parameters
    ----------
    state : FleetState
    store, engines : object
        Clients of the platform.
    exchange : PeerExchange
    metrics : Metrics
    """

    def __init__(self, state, store, engines, exchange, metrics):
        self._state = state
        self._store = store
        self._engines = engines
        self._lease = state.lease
        self._exchange = exchange
        self._metrics = metrics
        self._placements = {}
        self._tasks = BackgroundTasks()
        self._wake = asyncio.Event()
        self._acting = False

    def wake(self):
        """Plan at once: requests wait for something."""
        self._wake.set()

    async def renew(self):
        """Keep asking for the lease."""
        member = self._state.settings.vm_name
        while not self._state.stopping:
            sent_ms = self._state.now_ms()
            try:
                answer = await self._store.join_lease(
                    member, self._lease_ms(), self._lease.generation
                )
                if self._lease.on_answer(answer, sent_ms, self._state.now_ms()):
                    log.info(
                        "order_lease_taken" if answer.holds else "order_lease_lost",
                        fence=answer.generation,
                    )
            except StoreUnavailable as error:
                log.debug("lease_not_renewed", error=str(error))
            await asyncio.sleep(RENEW_MS / 1000)

    def _lease_ms(self):
        return max(LEASE_MS, self._state.settings.min_lease_ms)

    async def release(self):
        """Give the lease up at a planned stop."""
        self._lease.release(self._state.now_ms())
        try:
            await self._store.leave_lease(self._state.settings.vm_name)
        except StoreUnavailable as error:
            log.info("lease_not_released", error=str(error))

    async def run(self):
        """Plan while this VM holds the right to order."""
        while True:
            try:
                async with asyncio.timeout(PLAN_MS / 1000):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            if not self._state.may_order():
                self._stop_acting()
                continue
            if not self._acting:
                self._acting = True
                log.info("orders_begun", fence=self._lease.generation)
            begun_ms = self._state.now_ms()
            self._plan()
            took_ms = self._state.now_ms() - begun_ms
            await asyncio.sleep(took_ms * (1 / PLAN_SHARE - 1) / 1000)

    def _stop_acting(self):
        if self._acting:
            self._acting = False
            log.info("orders_ended", fence=self._lease.generation)
            self._placements.clear()
            self._tasks.cancel()
            self._state.set_own_residency(None, {})

    def _plan(self):
        configuration = self._state.configuration
        if configuration is None:
            return
        now_ms = self._state.now_ms()
        running = self._state.running()
        waiting = self._state.all_waiting()
        asked = self._state.asked.total
        for service in configuration.services.values():
            if service.engine is None:
                continue
            placement = self._placement(service, now_ms)
            placement.set_engines(
                {
                    view.record.name: view.record
                    for view in self._state.view.of_service(service.name)
                }
            )
            placement.set_demand(running, waiting, asked, now_ms)
            for belief in placement.engines.values():
                self._ask_if_unknown(belief, now_ms)
            for change in placement.plan(now_ms):
                self._begin(placement, change)
        self._publish()

    def _ask_if_unknown(self, belief, now_ms):
        if (
            belief.orders is None
            and belief.change is None
            and not belief.asking
            and now_ms - belief.asked_ms > REPORT_MS
        ):
            belief.asking = True
            self._tasks.start(self._ask(belief))

    def _placement(self, service, now_ms):
        placement = self._placements.get(service.name)
        if placement is None:
            placement = self._placements[service.name] = FleetPlacement(
                service.name, service.engine, self._state.settings.first_start, now_ms
            )
        elif placement.rule is not service.engine:
            placement.set_rule(service.engine)
        return placement

    def _begin(self, placement, change):
        belief = placement.engines[change.engine]
        if isinstance(change, AdapterChange):
            self._tasks.start(self._load_adapter(placement, belief, change))
            return
        log.info(
            "placement_change",
            engine=change.engine,
            model=change.model,
            victims=list(change.victims),
            gain_per_s=round(change.gain_per_s, 2),
            from_store=change.from_store,
            eta_ms=round(change.eta_ms - self._state.now_ms()),
        )
        self._tasks.start(self._change(placement, belief, change))

    def _publish(self):
        """Let all VMs know what the engines hold."""
        if not self._acting:
            return
        now_ms = self._state.now_ms()
        residency = {
            belief.record.name: residency_of(belief, now_ms)
            for placement in self._placements.values()
            for belief in placement.engines.values()
        }
        queued = {}
        for placement in self._placements.values():
            queued.update(placement.queue_due(now_ms))
        before = self._state.residency.own
        queued_before = self._state.residency.own_queued
        self._state.set_own_residency(residency, queued)
        if before is None or len(self._state.peers.addresses) <= SMALL_FLEET:
            changed = before is None or changes_of(before, residency)
            if changed or queued.keys() != queued_before.keys():
                self._exchange.exchange_soon()
            return
        engines, targets = changes_of(before, residency) or ((), ())
        for name in self._state.peers.concerned(engines, targets, now_ms):
            self._exchange.exchange_soon(name)

    async def _change(self, placement, belief, change):
        try:
            self._publish()
            if change.victims:
                await asyncio.sleep(DRAIN_NOTICE_MS / 1000)
            for victim in change.victims:
                await self._unload(placement, belief, victim)
            await self._load(placement, belief, change)
        except OrderRefused as error:
            belief.retry_ms = self._state.now_ms() + RETRY_MS
            log.info(
                "placement_change_failed",
                engine=change.engine,
                model=change.model,
                reason=str(error),
            )
        finally:
            belief.ordered_ms = self._state.now_ms()
            belief.change = None
            belief.loading.pop(change.model, None)
            belief.drained -= set(change.victims)
            self._publish()
            self.wake()

    async def _unload(self, placement, belief, victim):
        if victim not in belief.ready:
            return
        running = self._state.running().get(belief.record.name, {})
        idle = not any(name.partition("/")[0] == victim for name in running)
        await self._order(placement, belief, UNLOAD, victim, "")
        belief.ready.pop(victim, None)
        if idle:
            belief.unloading_ms = self._state.now_ms() + UNLOAD_MS
            await asyncio.sleep(IDLE_UNLOAD_MS / 1000)
            return
        await self._until(placement, belief, lambda ready: victim not in ready, 0.0)

    async def _load(self, placement, belief, change):
        model = change.model
        rule = placement.rule.models[model]
        known = belief.in_memory, belief.on_disk
        load_ms = rule.load_ms
        if model in known[0]:
            load_ms = rule.host_load_ms
        elif model in known[1]:
            load_ms = rule.disk_load_ms
        belief.loading[model] = self._state.now_ms() + load_ms
        await self._order(placement, belief, LOAD, model, "")
        due_ms = self._state.now_ms() + load_ms
        belief.loading[model] = change.eta_ms = due_ms
        self._metrics.count("model_loads_total", from_store=change.from_store)
        self._publish()
        await asyncio.sleep(load_ms * 0.9 / 1000)
        await self._until(placement, belief, lambda ready: model in ready, due_ms)
        belief.loaded_ms[model] = self._state.now_ms()
        log.info(
            "model_ready",
            engine=change.engine,
            model=model,
            late_ms=round(self._state.now_ms() - due_ms),
        )

    async def _until(self, placement, belief, reached, due_ms):
        """Wait until an engine reports what was ordered."""
        overdue_ms = max(due_ms, self._state.now_ms()) + OVERDUE_MS
        while self._state.now_ms() < overdue_ms:
            report = await self._report(belief)
            if report is not None and not report.busy:
                belief.on_report(report)
                if report.orders >= belief.orders and reached(report.residents):
                    return
            if belief.record.name not in placement.engines:
                raise OrderRefused("engine gone")
            await asyncio.sleep(REPORT_MS / 1000)
        raise OrderRefused("not done in time")

    async def _load_adapter(self, placement, belief, change):
        key = (change.model, change.adapter)
        try:
            if change.victim is not None:
                name, adapter = change.victim
                await self._order(placement, belief, UNLOAD, name, adapter)
                belief.ready.get(name, set()).discard(adapter)
            await self._order(placement, belief, LOAD, change.model, change.adapter)
            belief.adapters_coming[key] = self._state.now_ms() + ADAPTER_MS
            await asyncio.sleep(ADAPTER_MS / 1000)
            if change.model in belief.ready:
                belief.ready[change.model].add(change.adapter)
                belief.adapter_used_ms[key] = self._state.now_ms()
        except OrderRefused as error:
            log.info(
                "adapter_load_failed",
                engine=change.engine,
                adapter=target_of(*key),
                reason=str(error),
            )
            await asyncio.sleep(TRY_PAUSE_MS / 1000)
        finally:
            belief.ordered_ms = self._state.now_ms()
            belief.adapters_coming.pop(key, None)
            belief.adapters_leaving.discard(change.victim)
            self._publish()
            self.wake()

    async def _order(self, placement, belief, action, model, adapter):
        """Send an order until the engine accepts it or it cannot be accepted.

        Each order names how many the engine accepted before, so that of an order
        without an answer and its repetition only one is carried out.
        """
        if belief.order_lock is None:
            belief.order_lock = asyncio.Lock()
        async with belief.order_lock:
            unanswered = 0
            for _ in range(ORDER_TRIES):
                if belief.orders is None:
                    raise OrderRefused("engine does not report")
                belief.ordered_ms = self._state.now_ms()
                if action == LOAD:
                    if not placement.fits(belief, model, adapter):
                        # Another change that should have made room has failed.
                        raise OrderRefused("no room")
                    placement.check_memory(belief, model, adapter)
                    if adapter:
                        due_ms = belief.ordered_ms + ADAPTER_MS
                        belief.adapters_coming[(model, adapter)] = due_ms
                answer = await self._send(placement, belief, action, model, adapter)
                if answer == ACCEPTED:
                    belief.orders += 1
                    return
                if answer == HELD:
                    # The unload of an unused adapter is done at once, and counts.
                    if action == UNLOAD and adapter in belief.ready.get(model, ()):
                        belief.orders += 1
                    return
                if answer == NO_ANSWER:
                    unanswered += 1
                    continue
                if answer == CONFLICT and self._state.now_ms() < belief.unloading_ms:
                    # An unload before is not quite done; the engine's count is right.
                    await asyncio.sleep(TRY_PAUSE_MS / 1000)
                    continue
                expected, belief.orders = belief.orders, None
                if answer == CONFLICT and unanswered:
                    report = await self._report_after_lag(belief)
                    if (
                        report is not None
                        and report.orders == expected + 1
                        and _took_effect(report, action, model, adapter)
                    ):
                        # One of the copies without an answer was carried out.
                        belief.orders = report.orders
                        return
                raise OrderRefused(answer)
            belief.orders = None
            raise OrderRefused("no answer")

    async def _send(self, placement, belief, action, model, adapter):
        now_ms = self._state.now_ms()
        if not self._state.may_order():
            raise OrderRefused("lease lost")
        if placement.engines.get(belief.record.name) is not belief:
            raise OrderRefused("engine gone")
        self._state.last_order_ms = now_ms
        order = EngineOrder(
            belief.record.name,
            belief.record.address,
            action,
            model,
            adapter,
            belief.orders,
            self._state.settings.vm_name,
            self._lease.generation,
        )
        answer = await self._engines.order(order)
        log.info(
            "order_answered",
            engine=order.engine,
            action=action,
            target=target_of(model, adapter),
            expected=order.expected_orders,
            fence=order.fence,
            answer=answer,
            took_ms=round(self._state.now_ms() - now_ms, 1),
        )
        self._metrics.count("orders_total", action=action, answer=answer)
        if answer == FENCED:
            self._lease.on_fenced(order.fence, self._state.now_ms())
        return answer

    async def _report(self, belief):
        return await self._engines.report(belief.record.name, belief.record.address)

    async def _report_after_lag(self, belief):
        """Return a report that shows all orders sent so far."""
        waited_ms = self._state.now_ms() - belief.ordered_ms
        if waited_ms < REPORT_LAG_MS:
            await asyncio.sleep((REPORT_LAG_MS - waited_ms) / 1000)
        return await self._report(belief)

    async def _ask(self, belief):
        """Learn what an engine holds, once its report shows all earlier orders."""
        try:
            report = await self._report_after_lag(belief)
            # A busy engine does not say what it is loading.
            if report is not None and not report.busy:
                belief.on_report(report)
                log.info(
                    "engine_asked",
                    engine=belief.record.name,
                    orders=report.orders,
                    models=sorted(belief.ready),
                    on_disk=sorted(belief.on_disk),
                )
                self.wake()
            else:
                belief.asked_ms = self._state.now_ms()
        finally:
            belief.asking = False


def _took_effect(report, action, model, adapter):
    """Return whether an order without an answer was accepted after all."""
    if not adapter and report.busy:
        return True
    held = (
        adapter in report.residents.get(model, ())
        if adapter
        else (model in report.residents)
    )
    held = held or target_of(model, adapter) in report.pending
    return held if action == LOAD else not held


def changes_of(before, after):
    """Return what other VMs should hear of at once.

    Parameters
    ----------
    before, after : dict of str to Residency

    Returns
    -------
    (set of str, set of str) or None
        Engines that changed, and models and adapters that came there.
    """
    engines = before.keys() ^ after.keys()
    targets = set()
    for name, item in after.items():
        known = before.get(name)
        if known is not None and not item.differs(known):
            continue
        engines.add(name)
        came = item.targets()
        targets |= came if known is None else came - known.targets()
    return (engines, targets) if engines else None
