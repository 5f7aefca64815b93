"""Unit tests of the engine ledger."""

import pytest

from cassiamount.configuration import configuration_from_document
from cassiamount.engine_ledger import EngineLedger
from cassiamount.engine_orders import (
    ACCEPTED,
    DRAIN_MS,
    LOAD_MODEL,
    LOST,
    MAX_ORDER_DELAY_MS,
    STATE_DONE,
    STATE_RUNNING,
    STATE_UNKNOWN,
    UNLOAD_ADAPTER,
    UNLOAD_MODEL,
    Order,
    RecordIntent,
    RecordOutcome,
    SendOrder,
)
from cassiamount.load_report import LoadReport, Resident
from cassiamount.records import IntendOrder
from tests.test_orders import document

HOMES = {"x": "z1", "y": "z1", "z": "z2"}
START_MS = 20_000.0


class Driver:
    """Drives the ledger of zone z1, with engines e1 and e2 in z1, e3 and e4 in z2."""

    def __init__(self, resident_names, checks_fence=False, reports=True):
        self.now_ms = 0.0
        self.resident_names = resident_names
        self.checks_fence = checks_fence
        self.ledger = EngineLedger("z1", 0.0)
        adapters = [{"name": "a", "base": "x", "version": "1", "memory_mb": 1}]
        configuration = configuration_from_document(
            {**document(), "adapters": adapters}
        )
        self.ledger.set_configuration(configuration, HOMES, 0.0)
        if reports:
            self.wait(START_MS)

    def report(self, engine, names, lag_ms=0.0):
        residents = [
            Resident(n, "adapter" if n == "a" else "model", "1", "ready", 40)
            for n in names
        ]
        self.ledger.on_report(
            LoadReport(
                engine,
                "i",
                memory_used_mb=40 * len(residents),
                memory_capacity_mb=100,
                residents=residents,
                checks_fence=self.checks_fence,
                as_of_ms=self.now_ms - lag_ms,
            ),
            self.now_ms,
        )

    def wait(self, duration_ms):
        """Advance the time, with reports that list the engines' actual residents."""
        for _ in range(int(duration_ms // 500)):
            self.now_ms += 500.0
            for engine in ("e1", "e2", "e3", "e4"):
                self.report(engine, self.resident_names.get(engine, ""))

    def intend(self, action, engine, name):
        order = Order(f"{action}{engine}{name}", engine, action, name, "1", 40)
        commands = self.ledger.intend(order, self.now_ms)
        if commands:
            assert isinstance(commands[0], RecordIntent)
            self.ledger.on_intent_recorded(order.order_id, 7, self.now_ms)
        return order if commands else None

    def due(self, kind):
        commands = self.ledger.advance(self.now_ms)
        return [c.order.name for c in commands if isinstance(c, kind)]

    def send(self, order, *answers):
        for answer in answers:
            attempt = self.ledger.on_sent(order.order_id, self.now_ms)
            self.ledger.on_answer(order.order_id, attempt, answer, self.now_ms)

    def state(self, order, state, queried_ms=None):
        queried_ms = self.now_ms if queried_ms is None else queried_ms
        self.ledger.on_state(order.order_id, state, queried_ms, self.now_ms)


def test_unanswered_attempt_keeps_memory_after_a_later_unload():
    """Guards against a late attempt that loads into memory reserved for another model.

    The first attempt is unanswered and may still arrive after the model was unloaded.
    """
    driver = Driver({"e1": "", "e2": "x"})
    load = driver.intend(LOAD_MODEL, "e1", "x")
    driver.send(load, LOST, ACCEPTED)
    driver.state(load, STATE_DONE)
    driver.resident_names["e1"] = "x"
    driver.wait(6_000.0)
    unload = driver.intend(UNLOAD_MODEL, "e1", "x")
    driver.wait(DRAIN_MS)
    driver.send(unload, ACCEPTED)
    driver.state(unload, STATE_DONE)
    driver.resident_names["e1"] = ""
    driver.wait(8_000.0)
    assert driver.ledger.free_mb("e1") == 60
    assert driver.due(RecordOutcome) == ["x"]
    driver.ledger.on_outcome_recorded(unload.order_id)
    driver.wait(MAX_ORDER_DELAY_MS)
    assert driver.due(RecordOutcome) == ["x"]
    driver.ledger.on_outcome_recorded(load.order_id)
    assert driver.ledger.free_mb("e1") == 100


def test_outcome_is_final_at_once_if_the_engine_checks_fences():
    """Guards against memory reserved for attempts that the engine would refuse."""
    driver = Driver({"e2": "x"}, checks_fence=True)
    load = driver.intend(LOAD_MODEL, "e1", "x")
    driver.send(load, LOST, ACCEPTED)
    driver.state(load, STATE_DONE)
    assert driver.due(RecordOutcome) == ["x"]


def test_lagging_report_frees_no_memory():
    """Guards against a loaded copy removed by a report taken before the load."""
    driver = Driver({"e2": "x"})
    load = driver.intend(LOAD_MODEL, "e1", "x")
    driver.send(load, ACCEPTED)
    driver.state(load, STATE_DONE)
    driver.ledger.on_outcome_recorded(load.order_id)
    driver.now_ms += 1_000.0
    driver.report("e1", "", lag_ms=900.0)
    assert driver.ledger.free_mb("e1") == 60


def test_lagging_report_restores_no_copy():
    """Guards against an unloaded copy that counts as the remaining one.

    A report taken before the unload, but received after it, still lists the copy.
    """
    driver = Driver({"e1": "x", "e2": "x"})
    unload = driver.intend(UNLOAD_MODEL, "e1", "x")
    driver.wait(DRAIN_MS)
    driver.send(unload, ACCEPTED)
    driver.state(unload, STATE_DONE)
    driver.ledger.on_outcome_recorded(unload.order_id)
    driver.now_ms += 1_000.0
    driver.report("e1", "x", lag_ms=900.0)
    assert driver.intend(UNLOAD_MODEL, "e2", "x") is None


def test_copy_being_unloaded_does_not_count():
    """Guards against two unloads that each rely on the other's copy."""
    driver = Driver({"e1": "x", "e2": "x"})
    assert driver.intend(UNLOAD_MODEL, "e1", "x")
    assert driver.intend(UNLOAD_MODEL, "e2", "x") is None


@pytest.mark.parametrize(("name", "allowed"), [("x", False), ("z", True)])
def test_home_zone_ignores_copies_in_other_zones(name, allowed):
    """Guards against holders of two zones that unload both copies concurrently."""
    driver = Driver({"e1": name, "e3": name})
    assert bool(driver.intend(UNLOAD_MODEL, "e1", name)) == allowed


def test_unload_waits_for_the_drain_and_is_checked_again():
    """Guards against an unload while requests use the model or as the last copy.

    The other copy disappears during the drain.
    """
    driver = Driver({"e1": "x", "e2": "x"})
    driver.intend(UNLOAD_MODEL, "e1", "x")
    driver.wait(DRAIN_MS - 500)
    assert driver.ledger.draining() == {("e1", "x")}
    assert driver.due(SendOrder) == []
    driver.resident_names["e2"] = ""
    driver.wait(500)
    assert driver.due(SendOrder) == []
    assert driver.ledger.draining() == set()


def test_model_is_unloaded_after_its_adapters():
    """Guards against an adapter without its model, and against two drain periods."""
    driver = Driver({"e1": "xa", "e2": "x"}, checks_fence=True)
    assert driver.intend(UNLOAD_MODEL, "e1", "x") is None
    adapter = driver.intend(UNLOAD_ADAPTER, "e1", "a")
    assert driver.intend(UNLOAD_MODEL, "e1", "x")
    driver.wait(DRAIN_MS)
    assert driver.due(SendOrder) == ["a"]
    driver.send(adapter, ACCEPTED)
    assert driver.due(SendOrder) == []
    driver.state(adapter, STATE_DONE)
    assert driver.due(SendOrder) == ["x"]


def test_unknown_state_queried_before_acceptance_is_ignored():
    """Guards against a load in progress that counts as failed."""
    driver = Driver({})
    load = driver.intend(LOAD_MODEL, "e1", "x")
    driver.send(load, ACCEPTED)
    driver.state(load, STATE_UNKNOWN, queried_ms=driver.now_ms)
    driver.now_ms += 100.0
    assert driver.due(RecordOutcome) == []
    driver.state(load, STATE_RUNNING)
    driver.now_ms += 100.0
    driver.state(load, STATE_UNKNOWN)
    assert driver.due(RecordOutcome) == ["x"]


def test_unknown_order_does_not_expire_before_the_maximum_delay():
    """Guards against memory freed while an attempt may still arrive."""
    driver = Driver({})
    load = driver.intend(LOAD_MODEL, "e1", "x")
    driver.send(load, LOST)
    driver.wait(MAX_ORDER_DELAY_MS - 500)
    driver.state(load, STATE_UNKNOWN)
    assert driver.due(RecordOutcome) == [] and driver.ledger.free_mb("e1") == 60
    driver.wait(6_000.0)
    driver.state(load, STATE_UNKNOWN)
    assert driver.due(RecordOutcome) == ["x"]


def test_successor_waits_for_reports_and_keeps_unsettled_orders():
    """Guards against a new holder that reuses memory its predecessor reserved."""
    driver = Driver({}, reports=False)
    record = IntendOrder("i", "v", "old", "e1", LOAD_MODEL, "x", "1", 40, 1)
    driver.ledger.rebuild([(3, record)], 0.0)
    driver.wait(4_000.0)
    assert driver.ledger.free_mb("e2") == 0
    driver.wait(4_000.0)
    assert driver.ledger.free_mb("e2") == 100
    assert driver.ledger.free_mb("e1") == 60


def test_memory_is_never_reserved_twice():
    """Guards against loads that fit one by one but not together."""
    driver = Driver({"e1": "x"})
    assert driver.intend(LOAD_MODEL, "e1", "y")
    assert driver.intend(LOAD_MODEL, "e1", "z") is None
