"""State of one lease, as the records of a zone's log stream define it."""


class Lease:
    """State of one lease.

    The holder, the fence and the rosters decide which claims are accepted. A fence
    identifies the tenure of one holder and grows with each accepted claim.

    Parameters
    ----------
    holder : str
        Identity of the VM whose claim was accepted last.
    fence : int
        Offset + 1 of that claim in the zone's stream.
    seen_offset : int
        Offset + 1 of the last accepted claim or renewal.
    roster : frozenset of str
        Identities of the zone's members at the last accepted claim or renewal.
    previous_roster : frozenset of str or None
        Identities of the members at the claim or renewal before that one, if it had
        the same fence.
    released : bool
    note : dict, optional
        For a released lease, the data that its holder left for its successor. For a
        lease that was claimed after a release, the note of the previous holder.
        Otherwise None.
    addresses, previous_addresses : frozenset of str
        Addresses of the members in `roster` and `previous_roster`, except the holder.
    """

    __slots__ = (
        "holder",
        "fence",
        "seen_offset",
        "roster",
        "previous_roster",
        "released",
        "note",
        "addresses",
        "previous_addresses",
    )

    def __init__(
        self,
        holder,
        fence,
        seen_offset,
        roster,
        previous_roster=None,
        released=False,
        note=None,
        addresses=(),
        previous_addresses=(),
    ):
        self.holder = holder
        self.fence = fence
        self.seen_offset = seen_offset
        self.roster = frozenset(roster)
        self.previous_roster = (
            None if previous_roster is None else frozenset(previous_roster)
        )
        self.released = released
        self.note = note
        self.addresses = frozenset(addresses)
        self.previous_addresses = frozenset(previous_addresses)

    def apply_renewal(self, seen_offset, roster, addresses):
        """Apply an accepted renewal."""
        self.seen_offset = seen_offset
        self.previous_roster, self.roster = self.roster, frozenset(roster)
        self.previous_addresses = self.addresses
        self.addresses = frozenset(addresses)

    def may_claim(self, vm, address=""):
        """Whether `vm` may claim the lease without stating that it is orphaned.

        The holder extends its lease once all members of the roster that it knows
        have promised not to claim it. The log may hold a renewal that the holder has
        not read yet, so the holder may know either of the last two rosters. Only VMs
        in both may claim, because the holder needs their promise in either case. The
        two last rosters suffice as the holder has at most one pending renewal.

        A VM that has the address of a roster member counts as that member. The holder
        asks for promises by address and at most one process listens on an address,
        so the holder cannot get the promise of the process that was there before.

        Parameters
        ----------
        vm : str
        address : str
            Address under which `vm` is registered; empty if it is not registered.
        """
        if self.released:
            return True
        rosters = self._rosters()
        if all(roster <= {self.holder} for roster, _ in rosters):
            return True
        return all(
            vm in roster or (address and address in addresses)
            for roster, addresses in rosters
        )

    def extension_blocked_since_ms(self, refused_ms):
        """Return since when the holder can no longer extend the lease by promises.

        An extension needs a promise of every member of the roster that the holder
        knows. A process listens on its address from before its registration until it
        ends, so a process whose address refuses connections can make no promise.

        Parameters
        ----------
        refused_ms : dict of str to float
            Address -> time at which it refused a connection.

        Returns
        -------
        float or None
            None unless an address of each roster refused a connection.
        """
        latest_ms = None
        for _, addresses in self._rosters():
            times = [refused_ms[each] for each in addresses if each in refused_ms]
            if not times:
                return None
            latest_ms = max(min(times), latest_ms or min(times))
        return latest_ms

    def _rosters(self):
        rosters = [(self.roster, self.addresses)]
        if self.previous_roster is not None:
            rosters.append((self.previous_roster, self.previous_addresses))
        return rosters
