"""Operators' orders to evacuate availability zones, as one VM knows them."""

import math

# From this time after the write of an order no request may reach the zone, unless the
# platform's settings name another one.
EVACUATE_MS = 5_000.0
# Fraction of that time, from when this VM learned of an order, in which a request for a
# model without a ready copy elsewhere may still go to the zone. The rest is for the
# way of the order to the VMs and for the way of the request.
ONLY_COPY_FRACTION = 0.4
# The same from the last time at which the order had certainly not been written, for a
# VM that learned late.
ONLY_COPY_LATEST_FRACTION = 0.8
# Removals that are remembered at most.
MAX_REMOVALS = 1_000


class _Order:
    """One order, and the requests that were last seen to run in its zone."""

    __slots__ = ("learned_ms", "only_copy_until_ms", "running", "is_empty")

    def __init__(self, learned_ms, only_copy_until_ms):
        self.learned_ms = learned_ms
        self.only_copy_until_ms = only_copy_until_ms
        # None until it was counted.
        self.running = None
        self.is_empty = False


class ZoneEvacuations:
    """Which zones get no requests, and which return after an evacuation.

    Parameters
    ----------
    bound_ms : float
        Time after the write of an order from which no request may reach the zone.
    """

    __slots__ = ("bound_ms", "changes", "_orders", "_removed_ms")

    def __init__(self, bound_ms=EVACUATE_MS):
        self.bound_ms = bound_ms
        # Number of changes of the orders, from which others see that there was one.
        self.changes = 0
        self._orders = {}
        # Zone -> time at which this VM learned that its order was removed.
        self._removed_ms = {}

    @property
    def zones(self):
        """The zones with an order."""
        return self._orders.keys()

    def set_order(self, zone, now_ms, absent_ms=None):
        """Apply an order; return whether it is new.

        Parameters
        ----------
        zone : str
        now_ms : float
        absent_ms : float, optional
            Time at which the order had certainly not been written; `now_ms` by default.
            An order of unknown age (minus infinity) has no time for only copies.
        """
        if zone in self._orders:
            return False
        until_ms = now_ms + ONLY_COPY_FRACTION * self.bound_ms
        if absent_ms is not None:
            latest_ms = absent_ms + ONLY_COPY_LATEST_FRACTION * self.bound_ms
            until_ms = min(until_ms, latest_ms)
        self._orders[zone] = _Order(now_ms, until_ms)
        self._removed_ms.pop(zone, None)
        self.changes += 1
        return True

    def remove_order(self, zone, now_ms):
        """Apply the removal of an order; return whether there was one."""
        if self._orders.pop(zone, None) is None:
            return False
        self._removed_ms[zone] = now_ms
        if len(self._removed_ms) > MAX_REMOVALS:
            del self._removed_ms[next(iter(self._removed_ms))]
        self.changes += 1
        return True

    def is_evacuated(self, zone):
        """Return whether there is an order to evacuate a zone."""
        return zone in self._orders

    def was_removed(self, zone):
        """Return whether this VM knows that the zone's last order was removed."""
        return zone in self._removed_ms

    def accepts(self, zone, now_ms, is_only_copy=False):
        """Return whether a zone may get a request.

        Parameters
        ----------
        zone : str
        now_ms : float
        is_only_copy : bool
            Whether no server elsewhere has what the request needs.
        """
        order = self._orders.get(zone)
        if order is None:
            return True
        return is_only_copy and now_ms < order.only_copy_until_ms

    def recovering_until_ms(self, zone, cold_ms):
        """Return until when servers of a zone count as cold because of an order.

        Parameters
        ----------
        zone : str
        cold_ms : float
            For how long a server of the service is cold.

        Returns
        -------
        float
            Infinite while there is an order, minus infinity if there was none.
        """
        if zone in self._orders:
            return math.inf
        return self._removed_ms.get(zone, -math.inf) + cold_ms

    def record_running(self, zone, own, others):
        """Record how many requests still run in an evacuated zone.

        Parameters
        ----------
        zone : str
        own, others : int
            Requests of this VM, and of all others.

        Returns
        -------
        bool
            Whether the last one has ended since the call before.
        """
        order = self._orders[zone]
        order.running = (own, others)
        was_empty, order.is_empty = order.is_empty, not own and not others
        return order.is_empty and not was_empty

    def running_requests(self):
        """Return how many requests of all VMs were last seen in evacuated zones."""
        return sum(sum(order.running or ()) for order in self._orders.values())

    def status(self, now_ms):
        """Return the orders with what still runs in their zones, for operators."""
        return {
            zone: {
                "ordered_ms": round(now_ms - order.learned_ms),
                "empty": order.is_empty,
                "own_requests": None if order.running is None else order.running[0],
                "other_requests": None if order.running is None else order.running[1],
            }
            for zone, order in self._orders.items()
        }
