"""Which VMs of a fleet exchange reports with each other.

In a small fleet every VM exchanges reports with every other one. In a larger fleet each
VM does so with one VM of its availability zone only, the relay, which passes on what it
hears, and the relays of all zones do so with each other. The number of exchanges then
grows with the number of VMs and not with its square.
"""

import orjson

from .json_shapes import address, number, optional, row, text

# Up to this number of VMs, every pair exchanges reports.
MAX_MESH_VMS = 12
# Failing VMs of a zone, in order of preference, that are tried again all the time.
MAX_RETRIED = 3
# Whose requests a report sums up: those of the sender, of the sender and the VMs whose
# relay it is, or of all VMs but the receiver.
OWN = "own"
ZONE = "zone"
OTHERS = "others"
# Address, zone and capacity in a VM's record.
PLACE_SHAPE = row(address, optional(text), number)


class VmPlace:
    """Where a VM is, as far as a choice of the relay needs it.

    Parameters
    ----------
    name, address : str
    zone : str or None
        None if only the address is known.
    capacity : float
        Processor cores.
    """

    __slots__ = ("name", "address", "zone", "capacity")

    def __init__(self, name, address, zone=None, capacity=0.0):
        self.name = name
        self.address = address
        self.zone = zone
        self.capacity = capacity

    @property
    def rank(self):
        """Sorts VMs; the first one of a zone is its relay."""
        return -self.capacity, self.name

    def to_value(self):
        """Return the list that represents this place in a report."""
        return [self.name, self.address, self.zone, self.capacity]


class PeerTopology:
    """The links that one VM needs.

    Parameters
    ----------
    own : VmPlace
    places : dict of str to VmPlace
        The other VMs that may be running.
    failing : collection of str
        VMs to which this VM's own exchanges fail.
    """

    __slots__ = ("own", "is_mesh", "relay", "relays", "unplaced", "preferred")

    def __init__(self, own, places, failing):
        self.own = own
        placed = [place for place in places.values() if place.zone is not None]
        # VMs of which only the address is known; an exchange tells the rest.
        self.unplaced = {p.name for p in places.values() if p.zone is None}
        self.is_mesh = len(places) < MAX_MESH_VMS
        # The relay of this VM's zone; None if it is this VM itself.
        self.relay = None
        # The relays of the other zones.
        self.relays = set()
        # Failing VMs that would be preferred to those chosen.
        self.preferred = set()
        zones = {}
        for place in placed:
            zones.setdefault(place.zone, []).append(place)
        for zone, members in zones.items():
            if zone == own.zone:
                first = self._first([*members, own], failing)
                self.relay = None if first is own else first.name
            else:
                first = self._first(members, failing)
                if first is not None:
                    self.relays.add(first.name)

    def _first(self, members, failing):
        failed = []
        first = None
        for place in sorted(members, key=lambda place: place.rank):
            if place is self.own or place.name not in failing:
                first = place
                break
            failed.append(place.name)
        self.preferred.update(failed[:MAX_RETRIED])
        return first

    def linked(self, places):
        """Return the names of the VMs to which this VM sends reports on its own."""
        if self.is_mesh:
            return set(places)
        if self.relay is not None:
            names = {self.relay}
            own_zone = self.own.zone
            names |= {name for name in self.preferred if places[name].zone == own_zone}
        else:
            names = self.relays | self.preferred
        return names | self.unplaced

    def speaks_for(self, peer, places):
        """Return whose requests a report to a peer includes, for example `ZONE`."""
        if self.is_mesh:
            return OWN
        place = places.get(peer)
        if place is None or place.zone is None:
            return OWN
        if place.zone != self.own.zone or place.rank < self.own.rank:
            # Also for a member that is not the relay: what the relay sums up would
            # come back to it through that member.
            return ZONE
        return OTHERS

    def counts(self, peer, places):
        """Return whether the requests that a peer reports are to be counted.

        A VM that this VM has left as its relay sums up what the new one does too.
        """
        place = places.get(peer)
        if self.is_mesh or place is None:
            return True
        return (
            place.zone != self.own.zone
            or peer == self.relay
            or place.rank > self.own.rank
        )


def encode_place(state):
    """Return a VM's record in the store, by its `VmState`."""
    return orjson.dumps([state.address, state.zone, state.capacity])


def decode_place(value):
    """Return address, zone and capacity from a VM's record in the store.

    The record of an earlier version of this program is only the address.
    """
    try:
        place = orjson.loads(value)
        PLACE_SHAPE([place])
        address, zone, capacity = place
    except (ValueError, TypeError):
        return value.decode("utf-8", "replace"), None, 0.0
    return address, zone, float(capacity)
