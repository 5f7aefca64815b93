"""Tests of the set of reachable VMs, which is kept between the reports of others."""

import random

import pytest

from cassiamount.change_counter import ChangeCounter
from cassiamount.peer_table import PeerTable
from cassiamount.peer_topology import MAX_MESH_VMS
from cassiamount.vm_state import VmState

NAMES = [f"v{n:02d}" for n in range(MAX_MESH_VMS + 4)]


def make_state(rng, name, started_ms, sequence):
    voucher = rng.choice(["own", *NAMES[:3]])
    return VmState(
        name,
        f"z{int(name[1:]) % 3}",
        f"{name}:1",
        started_ms,
        sequence,
        stopping=rng.random() < 0.05,
        store_reachable=True,
        fence=rng.choice([0, 0, 7]),
        voucher=voucher,
        lost=rng.random() < 0.1,
    )


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("count", [6, len(NAMES)], ids=["mesh", "relays"])
def test_reachable_vms_are_those_that_a_scan_of_all_finds(seed, count):
    """Guards against VMs that stay reachable in silence, or unreachable when heard."""
    rng = random.Random(seed)
    table = PeerTable(VmState("own", "z0", "own:1", 1), ChangeCounter())
    now_ms = 0.0
    for sequence in range(2, 600):
        now_ms += rng.expovariate(1 / 60)
        name = rng.choice(NAMES[:count])
        action = rng.random()
        if action < 0.4:
            table.on_contact(name, 1, now_ms)
            table.apply_states([make_state(rng, name, 1, sequence)], name, now_ms)
        elif action < 0.6:
            states = [make_state(rng, n, 1, sequence) for n in rng.sample(NAMES, 2)]
            table.apply_states(states, name, now_ms)
        elif action < 0.8:
            table.on_vouched({name: rng.uniform(0.0, 3_000.0)}, now_ms)
        elif action < 0.9:
            now_ms += rng.choice([0.0, 700.0, 2_500.0])
        linked = [n for n in table.links if table.is_linked(n, now_ms)]
        assert table.linked_names(now_ms) == linked
        table.mark_lost(now_ms)
        table.remove_expired(now_ms)
        linked = [n for n in table.links if table.is_linked(n, now_ms)]
        assert table.linked_names(now_ms) == linked
        oldest_ms = now_ms - table.timeout_ms()
        heard_ms = table.all_heard_ms()
        expected = {
            n
            for n, at in heard_ms.items()
            if at >= oldest_ms and not table.states[n].lost
        }
        live = table.live_states(now_ms)
        assert {state.vm for state in live} == expected
        stopping = {n for n, state in table.states.items() if state.stopping}
        assert table.peer_summary(now_ms).heard == len(expected - stopping)
        assert table.sending_vms() == sorted({"own", *table.states} - stopping)
        fences = [state.fence for state in live]
        holder = table.holder(now_ms)
        assert (0 if holder is None else holder.fence) == max(fences, default=0)
