"""Split of a team's rate and burst between the availability zones."""

# An owner keeps this fraction of its burst for its own zone and lends the rest to other
# zones. At 0.25, 0.3% of the requests within the rate were refused although nothing had
# failed; at 0.02 none were (bench.budgets, seed 1, 7 VMs, even load).
LOAN_RESERVE_FRACTION = 0.02


def zone_share(configuration, zone):
    """Return the fraction of each team's rate and burst that a zone gets, by weight."""
    total_weight = sum(each.weight for each in configuration.zones.values())
    if zone not in configuration.zones or not total_weight:
        return 0.0
    return configuration.zones[zone].weight / total_weight


def reachable_burst(configuration, team, zone):
    """Return the largest cost of a request that a zone can admit.

    It is the zone's share of the burst and what the other zones can lend of theirs.

    Parameters
    ----------
    configuration : Configuration
    team : Team
    zone : str

    Returns
    -------
    int
        In tokens.
    """
    share = zone_share(configuration, zone)
    lent = (1 - share) * (1 - LOAN_RESERVE_FRACTION) if share else 0.0
    return int(team.burst_tokens * (share + lent))
