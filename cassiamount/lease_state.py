"""State of one lease, as the fold of a zone's stream shows it."""


class Lease:
    """State of one lease.

    Parameters
    ----------
    holder : str
        Identity of the VM whose claim was accepted last.
    fence : int
        Offset + 1 of that claim.
    seen_offset : int
        Offset + 1 of the last accepted claim or renewal.
    roster : frozenset of str
        Identities of the members at the last accepted claim or renewal.
    previous_roster : frozenset of str or None
        The same at the one before, if that had the same fence.
    released : bool
    note : dict, optional
        Of a released lease: what its holder left. Of a lease that was claimed after
        a release: the note of the predecessor. Otherwise None.
    addresses, previous_addresses : frozenset of str
        Addresses of the members of the two rosters without the holder.
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
        """Take note of an accepted renewal."""
        self.seen_offset = seen_offset
        self.previous_roster, self.roster = self.roster, frozenset(roster)
        self.previous_addresses = self.addresses
        self.addresses = frozenset(addresses)

    def may_claim(self, vm, address=""):
        """Whether `vm` may claim the lease without stating that it is orphaned.

        The holder extends its lease with the promises of the roster that it knows.
        The last renewal may be in the log without the holder knowing, so only VMs in
        both of the last two rosters may claim: those are in the one it knows,
        whichever that is. The holder keeps at most one renewal unresolved.

        A VM that has the address of another roster member counts as that member. The
        holder asks for promises by address and at most one process listens on an
        address, so the holder cannot get the promise of the process that was there.

        Parameters
        ----------
        vm : str
        address : str
            Where `vm` is registered; empty if it is not.
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
        """Return since when the holder can get no promises of all its roster.

        The process at an address listens from before its registration to its end, so
        an address that refuses connections shows that its promises have ended.

        Parameters
        ----------
        closed_ms : dict of str to float
            Address -> time at which it refused a connection.

        Returns
        -------
        float or None
            None if that is not shown for both rosters.
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
