"""A large fleet on virtual time: real VMs on modelled links, engines and callers.

``World`` runs the real state, exchange, controller and relay of many VMs in one event
loop without waiting. Links have a bandwidth and a latency, engines execute orders and
requests, the store grants the lease, and callers follow Retry-After. Processor time is
not modelled.
"""

from .engines import STAGES
from .world import World, WorldConfig, small_world

__all__ = ["STAGES", "World", "WorldConfig", "small_world"]
