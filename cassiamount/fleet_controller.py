"""Plans the changes of all engines and executes them while this VM holds the lease."""

import asyncio

import structlog

from .background import BackgroundTasks
from .engine_residency import engine_residency
from .engine_state import AdapterChange
from .fleet_orders import (
    ACCEPTED,
    ALREADY_DONE,
    CONFLICT,
    FENCED,
    LOAD,
    NO_ANSWER,
    UNLOAD,
    EngineOrder,
    target_name,
)
from .fleet_placement import CHANGE_RETRY_MS, UNLOAD_CONFIRMED_MS, FleetPlacement
from .metadata_store import StoreUnavailable
from .order_lease import LEASE_MS, RENEW_INTERVAL_MS
from .plan_schedule import PLAN_INTERVAL_MS, PlanSchedule
from .processor_time import PLAN

# Time that the other VMs need to learn that a model is about to be unloaded.
DRAIN_NOTICE_MS = 60.0
# Interval between the first requests for an engine's report; it grows by this factor up
# to the maximum, because an unload waits for the engine's requests to end.
REPORT_POLL_MS = 60.0
REPORT_POLL_FACTOR = 1.4
MAX_REPORT_POLL_MS = 400.0
# Requests for engine reports at the same time, so that a slow link delays them instead
# of filling up.
MAX_CONCURRENT_REPORTS = 8
# Time that an engine takes to unload a model without requests.
IDLE_UNLOAD_MS = 25.0
# A load or unload that no report shows this long after it was due has failed.
CHANGE_TIMEOUT_MS = 6_000.0
# Assumed time from an adapter's order until it is loaded, unless a report shows it
# sooner.
ADAPTER_LOAD_MS = 14.0
MAX_ORDER_ATTEMPTS = 6
# Maximum age of the state that an engine's report shows.
MAX_REPORT_LAG_MS = 130.0
# Delay before an order is sent again, and after a failed adapter load.
ORDER_RETRY_MS = 40.0
# Maximum fraction of the processor's time for planning.
PLAN_CPU_FRACTION = 0.25

log = structlog.get_logger()


class OrderFailed(Exception):
    """An order was not executed or its outcome is unknown; the change is abandoned."""


class FleetController:
    """Acquires the order lease, and plans and executes changes while it is held.

    The order lease lets one VM of the fleet send load and unload orders to engines.

    Parameters
    ----------
    state : FleetState
    store, engines : object
        Clients of the platform's metadata store and of the engines.
    exchange : PeerExchange
    metrics : Metrics
    stats : IntervalStats
    processor : ProcessorTime
    """

    def __init__(self, state, store, engines, exchange, metrics, stats, processor):
        self._processor = processor
        self._state = state
        self._store = store
        self._engines = engines
        self._lease = state.lease
        self._exchange = exchange
        self._metrics = metrics
        self._stats = stats
        self._placements = {}
        self._tasks = BackgroundTasks()
        self._wake = asyncio.Event()
        self._schedule = PlanSchedule()
        # Models and adapters that requests wait for, as far as plans know.
        self._waited_for = set()
        self._active = False
        # Whether this VM has joined the lease's group and not left it.
        self._is_member = False
        # Held during calls on the group, so that none overtakes the leave of a stop.
        self._group_calls = asyncio.Lock()
        self._report_slots = asyncio.Semaphore(MAX_CONCURRENT_REPORTS)

    def wake(self):
        """Plan soon, because an engine has become free or the lease has come."""
        if self._lease.granted or self._active:
            self._schedule.hasten()
            self._wake.set()

    def on_waiting(self, targets):
        """Act on models and adapters for which requests have begun to wait.

        Those that the plans know of already need no further one.

        Parameters
        ----------
        targets : collection of str
        """
        if not (self._lease.granted or self._active):
            return
        new = targets - self._waited_for
        if not new:
            return
        self._waited_for |= new
        if any(p.lacks(target) for target in new for p in self._placements.values()):
            self._schedule.hasten()
        self._wake.set()

    async def renew_lease(self):
        """Request and renew the order lease until this VM stops."""
        member = self._state.settings.vm_name
        while not self._state.stopping:
            if not self._state.seeks_lease(self._is_member):
                if self._is_member:
                    self._is_member = not await self._leave_lease()
                await asyncio.sleep(RENEW_INTERVAL_MS / 1000)
                continue
            self._is_member = True
            try:
                async with self._group_calls:
                    if self._state.stopping:
                        return
                    sent_ms = self._state.now_ms()
                    answer = await self._store.join_lease(
                        member, self._lease_ms(), self._lease.generation
                    )
                self._state.on_store_response(True)
                if answer.generation != self._lease.generation:
                    log.info(
                        "lease_group_changed",
                        fence=answer.generation,
                        before=self._lease.generation,
                        is_holder=answer.is_holder,
                    )
                if self._lease.on_answer(answer, sent_ms, self._state.now_ms()):
                    self.wake()
                    log.info(
                        "order_lease_taken" if answer.is_holder else "order_lease_lost",
                        fence=answer.generation,
                    )
            except StoreUnavailable as error:
                # Another VM becomes a candidate if this one cannot reach the store.
                self._state.on_store_response(False)
                log.debug("lease_not_renewed", error=str(error))
            await asyncio.sleep(RENEW_INTERVAL_MS / 1000)

    def _lease_ms(self):
        return max(LEASE_MS, self._state.settings.min_lease_ms)

    async def release_lease(self):
        """Release the order lease at a planned stop."""
        self._lease.release(self._state.now_ms())
        async with self._group_calls:
            await self._leave_lease()

    async def _leave_lease(self):
        """Leave the lease's group; return whether the store has answered."""
        try:
            await self._store.leave_lease(self._state.settings.vm_name)
        except StoreUnavailable as error:
            log.info("lease_not_released", error=str(error))
            return False
        return True

    async def run(self):
        """Plan periodically while this VM holds the order lease."""
        # An earlier run may have failed after marking engines as changing.
        self._deactivate()
        while True:
            wait_s = None
            if self._active:
                wait_s = self._schedule.wait_ms(self._state.now_ms()) / 1000
            elif self._lease.granted:
                wait_s = PLAN_INTERVAL_MS / 1000
            try:
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()
            except TimeoutError:
                pass
            is_woken = self._wake.is_set()
            self._wake.clear()
            if not self._state.may_order():
                self._deactivate()
                continue
            if not self._active:
                self._active = True
                log.info("orders_begun", fence=self._lease.generation)
            plan_started_ms = self._state.now_ms()
            demand = self._state.demand.version
            is_settled = all(p.is_settled() for p in self._placements.values())
            if self._schedule.is_due(plan_started_ms, demand, is_settled):
                self._schedule.record_plan(plan_started_ms, demand)
                with self._processor.measure(PLAN):
                    self._plan_all()
                took_ms = self._state.now_ms() - plan_started_ms
                self._stats.observe_ms("plan", took_ms)
            elif is_woken:
                self._schedule.record_pass(plan_started_ms)
                with self._processor.measure(PLAN):
                    self._order_adapters()
                took_ms = self._state.now_ms() - plan_started_ms
            else:
                continue
            rest_ms = took_ms * (1 / PLAN_CPU_FRACTION - 1)
            pause_ms = self._schedule.pause_ms(self._state.now_ms())
            await asyncio.sleep(max(rest_ms, pause_ms) / 1000)

    def status(self):
        """Return what the holder of the order lease has to do, for the log."""
        fields = {}
        for placement in self._placements.values():
            for name, value in placement.status(self._state.now_ms()).items():
                fields[name] = fields.get(name, 0) + value
        return fields

    def _deactivate(self):
        if self._active:
            self._active = False
            log.info("orders_ended", fence=self._lease.generation)
            self._placements.clear()
            self._waited_for.clear()
            self._schedule = PlanSchedule()
            self._tasks.cancel()
            self._state.end_own_residency()

    def _plan_all(self):
        configuration = self._state.configuration
        if configuration is None:
            return
        now_ms = self._state.now_ms()
        running = self._state.running_requests()
        waiting = self._state.waiting_requests()
        self._waited_for = set(waiting)
        rates = self._state.request_rates()
        services = [s for s in configuration.services.values() if s.engine is not None]
        for name in self._placements.keys() - {s.name for s in services}:
            # No order of a change under way finds its engine.
            self._placements.pop(name).engines.clear()
        for service in services:
            placement = self._placement_for(service, now_ms)
            placement.set_engines(
                {
                    view.record.name: view.record
                    for view in self._state.view.of_service(service.name)
                }
            )
            placement.evacuated = frozenset(self._state.evacuations.zones)
            placement.set_limited(
                {
                    view.record.name
                    for view in self._state.view.of_service(service.name)
                    if self._state.limits.is_limited(view.record.start)
                    or self._state.notices.pause_ms(view.record.start, now_ms) > 0
                }
            )
            placement.set_demand(running, waiting, rates, now_ms)
            for engine in placement.engines.values():
                self._query_if_unknown(engine, now_ms)
            for change in placement.plan(now_ms):
                self._start_change(placement, change)
        self._publish_all()

    def _order_adapters(self):
        """Order the adapters that requests wait for, between two plans."""
        running = self._state.running_requests()
        waiting = self._state.waiting_requests()
        self._waited_for = set(waiting)
        now_ms = self._state.now_ms()
        for placement in self._placements.values():
            placement.set_requests(running, waiting, now_ms)
            for change in placement.plan_adapters(now_ms):
                self._start_change(placement, change)
                self._publish(placement, placement.engines[change.engine])

    def _query_if_unknown(self, engine, now_ms):
        if (
            engine.accepted_orders is None
            and engine.change is None
            and not engine.querying
            and now_ms - engine.query_failed_ms > REPORT_POLL_MS
        ):
            engine.querying = True
            self._tasks.start(self._query_engine(engine))

    def _placement_for(self, service, now_ms):
        placement = self._placements.get(service.name)
        if placement is None:
            placement = self._placements[service.name] = FleetPlacement(
                service.name, service.engine, self._state.settings.first_start, now_ms
            )
        elif placement.rule is not service.engine:
            placement.set_rule(service.engine)
        return placement

    def _start_change(self, placement, change):
        engine = placement.engines[change.engine]
        if isinstance(change, AdapterChange):
            self._tasks.start(self._run_adapter_change(placement, engine, change))
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
        self._tasks.start(self._run_model_change(placement, engine, change))

    def _publish_all(self):
        """Publish the residency of all engines and the queued models."""
        if not self._active:
            return
        residency = {}
        queued = {}
        for placement in self._placements.values():
            queued.update(placement.queued)
            for engine in placement.engines.values():
                residency[engine.record.name] = engine_residency(engine)
        self._tell_peers(self._state.set_own_residency(residency, queued))

    def _publish(self, placement, engine):
        """Publish the residency of one engine after a change of it."""
        name = engine.record.name
        if self._active and placement.engines.get(name) is engine:
            item = engine_residency(engine)
            self._tell_peers(self._state.update_own_residency(name, item))

    def _tell_peers(self, changes):
        if changes:
            for name in self._state.peers_to_tell(changes):
                self._exchange.exchange_soon(name)

    async def _run_model_change(self, placement, engine, change):
        try:
            self._publish(placement, engine)
            if change.victims:
                await asyncio.sleep(DRAIN_NOTICE_MS / 1000)
            for victim in change.victims:
                await self._unload(placement, engine, victim)
            await self._load(placement, engine, change)
        except Exception as error:
            engine.retry_at_ms = self._state.now_ms() + CHANGE_RETRY_MS
            self._check_failure(engine, error)
            log.info(
                "placement_change_failed",
                engine=change.engine,
                model=change.model,
                reason=str(error) or repr(error),
            )
        finally:
            engine.last_order_ms = self._state.now_ms()
            engine.change = None
            engine.loading.pop(change.model, None)
            engine.drained -= set(change.victims)
            self._publish(placement, engine)
            self.wake()

    def _check_failure(self, engine, error):
        """Log a failure that is no outcome of an order, and ask for the engine anew."""
        if not isinstance(error, OrderFailed):
            engine.accepted_orders = None
            log.error("engine_change_broken", engine=engine.record.name, exc_info=error)

    async def _unload(self, placement, engine, victim):
        if victim not in engine.ready:
            return
        running = self._state.running_requests().get(engine.record.name, {})
        idle = not any(name.partition("/")[0] == victim for name in running)
        await self._order_until_accepted(placement, engine, UNLOAD, victim, "")
        engine.ready.pop(victim, None)
        if idle:
            engine.unloading_until_ms = self._state.now_ms() + UNLOAD_CONFIRMED_MS
            await asyncio.sleep(IDLE_UNLOAD_MS / 1000)
            return
        await self._wait_until_reported(
            placement, engine, lambda ready: victim not in ready, 0.0
        )

    async def _load(self, placement, engine, change):
        model = change.model
        rule = placement.rule.models.get(model)
        if rule is None:
            raise OrderFailed("the configuration has left out the model")
        load_ms, _ = engine.load_ms(rule)
        engine.loading[model] = self._state.now_ms() + load_ms
        await self._order_until_accepted(placement, engine, LOAD, model, "")
        due_ms = self._state.now_ms() + load_ms
        engine.loading[model] = change.eta_ms = due_ms
        self._metrics.count("model_loads_total", from_store=change.from_store)
        self._publish(placement, engine)
        await asyncio.sleep(load_ms * 0.9 / 1000)
        await self._wait_until_reported(
            placement, engine, lambda ready: model in ready, due_ms
        )
        engine.loaded_ms[model] = self._state.now_ms()
        log.info(
            "model_ready",
            engine=change.engine,
            model=model,
            late_ms=round(self._state.now_ms() - due_ms),
        )

    async def _wait_until_reported(self, placement, engine, is_done, due_ms):
        """Wait until a report of an engine shows the expected models."""
        deadline_ms = max(due_ms, self._state.now_ms()) + CHANGE_TIMEOUT_MS
        poll_ms = REPORT_POLL_MS
        while self._state.now_ms() < deadline_ms:
            report = await self._fetch_report(engine)
            if report is not None and not report.busy:
                engine.on_report(report)
                if report.accepted_orders >= engine.accepted_orders and is_done(
                    report.residents
                ):
                    return
            if engine.record.name not in placement.engines:
                raise OrderFailed("engine is no longer listed")
            await asyncio.sleep(poll_ms / 1000)
            poll_ms = min(MAX_REPORT_POLL_MS, REPORT_POLL_FACTOR * poll_ms)
        raise OrderFailed("no report showed the result in time")

    async def _run_adapter_change(self, placement, engine, change):
        key = (change.model, change.adapter)
        try:
            if change.victim is not None:
                name, adapter = change.victim
                await self._order_until_accepted(
                    placement, engine, UNLOAD, name, adapter
                )
                engine.ready.get(name, set()).discard(adapter)
            await self._order_until_accepted(
                placement, engine, LOAD, change.model, change.adapter
            )
            engine.adapters_loading[key] = self._state.now_ms() + ADAPTER_LOAD_MS
            await asyncio.sleep(ADAPTER_LOAD_MS / 1000)
            if change.model in engine.ready:
                engine.ready[change.model].add(change.adapter)
                engine.adapter_used_ms[key] = self._state.now_ms()
        except Exception as error:
            self._check_failure(engine, error)
            log.info(
                "adapter_load_failed",
                engine=change.engine,
                adapter=target_name(*key),
                reason=str(error) or repr(error),
            )
            await asyncio.sleep(ORDER_RETRY_MS / 1000)
        finally:
            engine.last_order_ms = self._state.now_ms()
            engine.adapters_loading.pop(key, None)
            engine.adapters_unloading.discard(change.victim)
            self._publish(placement, engine)
            self.wake()

    async def _order_until_accepted(self, placement, engine, action, model, adapter):
        """Send an order until the engine accepts it or retries are useless.

        Each order states how many orders the engine has accepted before, so that an
        order without an answer and its retries are executed only once.
        """
        if engine.order_lock is None:
            engine.order_lock = asyncio.Lock()
        async with engine.order_lock:
            unanswered = 0
            for _ in range(MAX_ORDER_ATTEMPTS):
                if engine.accepted_orders is None:
                    raise OrderFailed("engine state is unknown")
                engine.last_order_ms = self._state.now_ms()
                if action == LOAD:
                    if not placement.fits(engine, model, adapter):
                        # Another change that should have freed memory has failed.
                        raise OrderFailed("not enough memory or adapter slots")
                    placement.check_memory(engine, model, adapter)
                    if adapter:
                        due_ms = engine.last_order_ms + ADAPTER_LOAD_MS
                        engine.adapters_loading[(model, adapter)] = due_ms
                answer = await self._send_order(
                    placement, engine, action, model, adapter
                )
                if answer == ACCEPTED:
                    engine.accepted_orders += 1
                    return
                if answer == ALREADY_DONE:
                    # Unloading an unused adapter takes no time, and the engine counts
                    # the order.
                    if action == UNLOAD and adapter in engine.ready.get(model, ()):
                        engine.accepted_orders += 1
                    return
                if answer == NO_ANSWER:
                    unanswered += 1
                    continue
                if (
                    answer == CONFLICT
                    and self._state.now_ms() < engine.unloading_until_ms
                ):
                    # A previous unload is not finished; the expected count is correct.
                    await asyncio.sleep(ORDER_RETRY_MS / 1000)
                    continue
                expected, engine.accepted_orders = engine.accepted_orders, None
                if answer == CONFLICT and unanswered:
                    report = await self._fetch_settled_report(engine)
                    if (
                        report is not None
                        and report.accepted_orders == expected + 1
                        and _took_effect(report, action, model, adapter)
                    ):
                        # One of the attempts without an answer was executed.
                        engine.accepted_orders = report.accepted_orders
                        return
                raise OrderFailed(answer)
            engine.accepted_orders = None
            raise OrderFailed("engine did not answer")

    async def _send_order(self, placement, engine, action, model, adapter):
        now_ms = self._state.now_ms()
        if not self._state.may_order():
            raise OrderFailed("order lease lost")
        if placement.engines.get(engine.record.name) is not engine:
            raise OrderFailed("engine is no longer listed")
        order = EngineOrder(
            engine.record.name,
            engine.record.address,
            action,
            model,
            adapter,
            engine.accepted_orders,
            self._state.settings.vm_name,
            self._lease.generation,
        )
        answer = await self._engines.order(order)
        self._stats.observe_ms("order", self._state.now_ms() - now_ms)
        self._stats.count("orders")
        self._stats.count("orders_unanswered", int(answer == NO_ANSWER))
        log.info(
            "order_answered",
            engine=order.engine,
            action=action,
            target=target_name(model, adapter),
            expected=order.expected_orders,
            fence=order.fence,
            answer=answer,
            took_ms=round(self._state.now_ms() - now_ms, 1),
        )
        self._metrics.count("orders_total", action=action, answer=answer)
        if answer == FENCED:
            self._lease.on_fenced(order.fence, self._state.now_ms())
        return answer

    async def _fetch_report(self, engine):
        async with self._report_slots:
            sent_ms = self._state.now_ms()
            report = await self._engines.report(
                engine.record.name, engine.record.address
            )
        self._stats.observe_ms("engine_report", self._state.now_ms() - sent_ms)
        self._stats.count("engine_reports")
        self._stats.count("engine_reports_failed", int(report is None))
        return report

    async def _fetch_settled_report(self, engine):
        """Return a report new enough to show all orders sent so far."""
        waited_ms = self._state.now_ms() - engine.last_order_ms
        if waited_ms < MAX_REPORT_LAG_MS:
            await asyncio.sleep((MAX_REPORT_LAG_MS - waited_ms) / 1000)
        return await self._fetch_report(engine)

    async def _query_engine(self, engine):
        """Get an engine's state from a report that shows all earlier orders."""
        try:
            report = await self._fetch_settled_report(engine)
            # The report of a busy engine does not show what it is loading.
            if report is not None and not report.busy:
                engine.on_report(report)
                log.info(
                    "engine_asked",
                    engine=engine.record.name,
                    orders=report.accepted_orders,
                    models=sorted(engine.ready),
                    on_disk=sorted(engine.on_disk),
                )
                self.wake()
            else:
                engine.query_failed_ms = self._state.now_ms()
        finally:
            engine.querying = False


def _took_effect(report, action, model, adapter):
    """Return whether a report shows that an order without an answer was accepted."""
    if not adapter and report.busy:
        return True
    held = (
        adapter in report.residents.get(model, ())
        if adapter
        else (model in report.residents)
    )
    held = held or target_name(model, adapter) in report.pending
    return held if action == LOAD else not held
