"""Switches mechanisms off one at a time and looks for the test that notices.

``python -m tests.mutations`` copies the tree, changes one line, runs the tests that
guard the mechanism, and prints a row for each. It exits 1 if a mutation survives.
"""

import argparse
import json
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COPIED = (
    "cassiamount",
    "standins",
    "tests",
    "bench",
    "examples",
    "pyproject.toml",
    "requirements.txt",
)


class Mutation:
    """One line that disables a mechanism, and the tests that must fail."""

    __slots__ = ("name", "file", "old", "new", "tests")

    def __init__(self, name, file, old, new, *tests):
        self.name = name
        self.file = file
        self.old = old
        self.new = new
        self.tests = tests


MUTATIONS = (
    Mutation(
        "fleet: evacuated zones get no requests",
        "cassiamount/fleet_view.py",
        "if not self.evacuations.is_evacuated(view.record.zone)",
        "if True",
        "tests/test_zone_evacuation.py",
    ),
    Mutation(
        "fleet: zone and turn are checked with the open connection",
        "cassiamount/fleet_relay.py",
        "reason = self._why_not_now(selected)",
        "reason = None",
        "tests/test_zone_evacuation.py",
    ),
    Mutation(
        "fleet: only copies end sooner for a VM that learned late",
        "cassiamount/zone_evacuation.py",
        "until_ms = min(until_ms, latest_ms)",
        "pass",
        "tests/test_zone_evacuation.py",
    ),
    Mutation(
        "fleet: orders have no rank",
        "cassiamount/fleet_state.py",
        "if key != CONFIGURATION_KEY:",
        "if False:",
        "tests/test_zone_evacuation.py",
    ),
    Mutation(
        "fleet: VMs out of sight keep their share of a cold server",
        "cassiamount/cold_servers.py",
        "FORGET_VM_MS = 600_000.0",
        "FORGET_VM_MS = 0.0",
        "tests/test_cold_servers.py",
    ),
    Mutation(
        "fleet: nothing for cold servers in the first second",
        "cassiamount/fleet_state.py",
        "is_new = self.now_ms() < self._begun_ms + COLD_WINDOW_MS",
        "is_new = False",
        "tests/test_cold_servers.py",
    ),
    Mutation(
        "fleet: requests to a cold server are spaced when they are sent",
        "cassiamount/cold_servers.py",
        "if now_ms - sent_ms < MIN_SPACING_FRACTION * interval_ms or not (",
        "if not (",
        "tests/test_cold_servers.py",
    ),
    Mutation(
        "no team with a limit before all VMs are known",
        "cassiamount/fleet_relay.py",
        "if team.rate_tokens_per_s > 0 and not state.knows_fleet:",
        "if False:",
        "tests/test_fleet_quota.py",
    ),
    Mutation(
        "VMs that were not heard of share the rate",
        "cassiamount/fleet_state.py",
        "self.quota.unheard_vms = len(self.peers.unheard_vms())",
        "self.quota.unheard_vms = 0",
        "tests/test_fleet_quota.py",
    ),
    Mutation(
        "places are told to peers",
        "cassiamount/fleet_state.py",
        "places=peers.places_for(name, since),",
        "places=[],",
        "tests/test_fleet_quota.py",
    ),
    Mutation(
        "further copies only where room lacks",
        "cassiamount/model_planner.py",
        "return served_per_s * self._lacking_room(model)",
        "return served_per_s",
        "tests/test_fleet_placement.py",
    ),
    Mutation(
        "streams go on at their software version",
        "cassiamount/fleet_view.py",
        "and software in (None, view.record.software)",
        "and True",
        "tests/test_stream_versions.py",
    ),
    Mutation(
        "one version is the only one if the past is known",
        "cassiamount/software_versions.py",
        "if self._known_since_ms > now_ms - STREAM_LIFE_MS:",
        "if False:",
        "tests/test_software_versions.py",
    ),
    Mutation(
        "streams in the store",
        "cassiamount/software_store.py",
        "                await self._write_streams()",
        "                pass",
        "tests/test_stream_versions.py",
    ),
    Mutation(
        "servers that leave get nothing",
        "cassiamount/server_notices.py",
        "return server in self._leaving",
        "return False",
        "tests/test_server_notices.py",
    ),
    Mutation(
        "a pause is only extended",
        "cassiamount/server_notices.py",
        "if until_ms <= max(now_ms, self._pauses_ms.get(server, 0.0)):",
        "if until_ms <= now_ms:",
        "tests/test_server_notices.py",
    ),
    Mutation(
        "outstanding blocks count against the burst",
        "cassiamount/token_bucket.py",
        "headroom_tokens = max(0.0, self.burst_tokens - self.total_tokens)",
        "headroom_tokens = max(0.0, self.burst_tokens - self.level_tokens)",
        "tests/test_budget.py",
    ),
    Mutation(
        "refunds limited by the peak since the charge",
        "cassiamount/token_bucket.py",
        "peak_tokens = max(peak_tokens, peak)",
        "pass",
        "tests/test_budget.py",
    ),
    Mutation(
        "reports applied once",
        "cassiamount/budget.py",
        "if sequence <= self._last_sequences.get(holder, 0):",
        "if False:",
        "tests/test_budget.py",
    ),
    Mutation(
        "claim of a lease names the last renewal read",
        "cassiamount/zone_state.py",
        "if record.seen_offset < lease.seen_offset:",
        "if False:",
        "tests/test_leases.py",
    ),
    Mutation(
        "no promise while a claim may arrive",
        "cassiamount/leases.py",
        "if self._pending is not None:\n"
        '            return PromiseReply(False, "a claim may',
        'if False:\n            return PromiseReply(False, "a claim may',
        "tests/test_leases.py",
    ),
    Mutation(
        "extension needs the promise of all",
        "cassiamount/leases.py",
        "if not self._missing_promises:",
        "if True:",
        "tests/test_leases.py",
    ),
    Mutation(
        "publish names the version in force",
        "cassiamount/config_state.py",
        "if record.base_version != self.version:",
        "if False:",
        "tests/test_config_state.py",
    ),
    Mutation(
        "withdrawn key leaves the table",
        "cassiamount/keys.py",
        "self._withdrawn.add(key_hash)\n        self._teams.pop(key_hash, None)",
        "self._withdrawn.add(key_hash)",
        "tests/test_keys.py",
        "tests/test_config_state.py",
    ),
    Mutation(
        "key checked again at dispatch",
        "cassiamount/dispatcher.py",
        "if request_info.key_hash and not self._key_is_valid(request_info.key_hash):",
        "if False:",
        "tests/test_dispatcher.py",
    ),
    Mutation(
        "ticket belongs to the key's team",
        "cassiamount/edge.py",
        "request_info.team == name\n                and request_info.request_id"
        " == arrival.request_id,",
        "True,",
        "tests/test_request_team.py",
    ),
    Mutation(
        "key removed from headers",
        "cassiamount/redaction.py",
        "if name not in KEY_HEADERS\n        and not",
        "if True or not",
        "tests/test_edge.py",
    ),
    Mutation(
        "response carries the request's identifier",
        "cassiamount/backend_client.py",
        "if response.headers.get(REQUEST_ID_HEADER) != request_id:",
        "if False:",
        "tests/test_relay.py",
        "tests/test_edge.py",
    ),
    Mutation(
        "claim is won before the dispatch",
        "cassiamount/claims.py",
        "return AppendClaim()",
        "return ClaimWon(request_id)",
        "tests/test_claims.py",
    ),
    Mutation(
        "refused retry says whether it may have run",
        "cassiamount/dispatcher.py",
        "refusals.no_replica(not_run=not retry.entry.maybe_ran)",
        "refusals.no_replica(not_run=True)",
        "tests/test_dispatcher.py",
    ),
    Mutation(
        "leaving backend server gets no work",
        "cassiamount/routing.py",
        "if name not in self._leaving\n",
        "if True\n",
        "tests/test_routing.py",
    ),
    Mutation(
        "unsettled load keeps its memory",
        "cassiamount/engine_ledger.py",
        "if order.engine == engine and order.is_load:",
        "if False:",
        "tests/test_engine_ledger.py",
        "tests/test_orders.py",
    ),
    Mutation(
        "no reading over a gap in the log",
        "cassiamount/stream_cursor.py",
        "if offset > self.read_offset:",
        "if False:",
        "tests/test_stream_cursor.py",
    ),
    Mutation(
        "claims before the head of a trimmed stream are not won",
        "cassiamount/stream_cursor.py",
        "self.fold.restart(self._buffer_offset, next_offset)",
        "self.fold.restart(self._buffer_offset, self._buffer_offset)",
        "tests/test_stream_cursor.py",
    ),
    Mutation(
        "retries are limited to a share of the traffic",
        "cassiamount/retries.py",
        "self.available -= 1.0",
        "pass",
        "tests/test_relay.py",
    ),
    Mutation(
        "large request is not overtaken",
        "cassiamount/budget_admission.py",
        "if self._waiting_by_team.get(request_info.team) or not self._charge(entry):",
        "if not self._charge(entry):",
        "tests/test_dispatcher.py",
    ),
    Mutation(
        "fleet: keys are refused once their proof is old",
        "cassiamount/key_freshness.py",
        "return self.age_ms(now_ms) < self.limit_ms - REQUEST_TRANSIT_MARGIN_MS",
        "return True",
        "tests/test_key_freshness.py",
    ),
    Mutation(
        "fleet: a silent peer takes a share of the rate",
        "cassiamount/shared_quota.py",
        "share = reachable_vms / known_vms",
        "share = 1.0",
        "tests/test_shared_quota.py",
    ),
    Mutation(
        "fleet: use of peers is debited once",
        "cassiamount/shared_quota.py",
        "used_since_report = tokens - previously_used.get(team, 0.0)",
        "used_since_report = tokens",
        "tests/test_shared_quota.py",
    ),
    Mutation(
        "fleet: repeats stay within a VM's share",
        "cassiamount/shared_retries.py",
        "if window.retries + 1 > allowed:",
        "if False:",
        "tests/test_shared_retries.py",
    ),
    Mutation(
        "fleet: no reading over a gap",
        "cassiamount/metadata_store.py",
        "if self.next_offset is None or from_offset > self.next_offset:",
        "if self.next_offset is None:",
        "tests/test_metadata_store.py",
    ),
    Mutation(
        "fleet: a part of an event is held back",
        "cassiamount/event_framing.py",
        "complete_events = bytes(self._buffer[:end])\n        del self._buffer[:end]",
        "complete_events = bytes(self._buffer)\n        self._buffer.clear()",
        "tests/test_event_framing.py",
    ),
    Mutation(
        "fleet: foreign answers are passed over",
        "cassiamount/backend_connection.py",
        "self._matches_request = self._answers_request(metadata.request_id)",
        "self._matches_request = True",
        "tests/test_backend_connection.py",
    ),
    Mutation(
        "fleet: an answer without an ID needs a connection of its own",
        "cassiamount/backend_connection.py",
        "if self._sends == 1 and not (response_id and self._request_id):",
        "if not (response_id and self._request_id):",
        "tests/test_backend_connection.py",
    ),
    Mutation(
        "fleet: bytes beyond an answer close the connection",
        "cassiamount/backend_connection.py",
        "self._has_excess_bytes = not self._busy",
        "self._has_excess_bytes = False",
        "tests/test_backend_connection.py",
    ),
    Mutation(
        "fleet: a begun stream gets no error",
        "cassiamount/response_forwarding.py",
        "if request.response_started or metadata.status in NOT_RUN_STATUSES:",
        "if metadata.status in NOT_RUN_STATUSES:",
        "tests/test_response_forwarding.py",
    ),
    Mutation(
        "fleet: a status that means not run needs the mark",
        "cassiamount/response_forwarding.py",
        "if request.response_started or metadata.status in NOT_RUN_STATUSES:",
        "if request.response_started:",
        "tests/test_response_forwarding.py",
    ),
    Mutation(
        "fleet: candidates that do not reach the store are replaced",
        "cassiamount/fleet_controller.py",
        "self._state.on_store_response(False)",
        "pass",
        "tests/test_store_calls.py",
    ),
    Mutation(
        "fleet: states are refreshed",
        "cassiamount/peer_table.py",
        "if changed or use_due or refresh_due:",
        "if changed or use_due:",
        "tests/test_peer_table.py",
    ),
    Mutation(
        "fleet: a bad reply does not end the link",
        "cassiamount/peer_exchange.py",
        "except Exception as error:",
        "except KeyError as error:",
        "tests/test_peer_exchange.py",
    ),
    Mutation(
        "fleet: a reset answer without a length is not whole",
        "cassiamount/backend_connection.py",
        "            exc is None\n            and self._eof_received",
        "            True",
        "tests/test_backend_connection.py",
    ),
    Mutation(
        "fleet: a successor waits while the holder acts",
        "cassiamount/order_lease.py",
        "allowed = peers.fence == 0 and self._lease_valid(now_ms)",
        "allowed = self._lease_valid(now_ms)",
        "tests/test_order_lease.py",
    ),
    Mutation(
        "fleet: holders do not take turns",
        "cassiamount/order_lease.py",
        "self._cooldown_until_ms = max(\n"
        "                self._cooldown_until_ms, now_ms + self._cooldown_ms\n"
        "            )",
        "pass",
        "tests/test_order_lease.py",
    ),
    Mutation(
        "fleet: a fenced holder is silent",
        "cassiamount/order_lease.py",
        "            and self.generation > self._fenced_generation\n",
        "",
        "tests/test_order_lease.py",
    ),
    Mutation(
        "fleet: an engine is asked before the first order",
        "cassiamount/fleet_placement.py",
        "            and engine.accepted_orders is not None\n",
        "",
        "tests/test_fleet_placement.py",
    ),
    Mutation(
        "a closed address counts for its own roster only",
        "cassiamount/lease_state.py",
        "            if not times:\n                return None",
        "            if not times:\n                continue",
        "tests/test_leases.py",
    ),
    Mutation(
        "fleet: a stop counts from its request",
        "cassiamount/graceful_stop.py",
        "self._requested_ms + self._grace_ms - CLOSE_RESERVE_MS - now_ms",
        "self._grace_ms - CLOSE_RESERVE_MS",
        "tests/test_graceful_stop.py",
    ),
    Mutation(
        "fleet: adapters on their way count",
        "cassiamount/engine_state.py",
        "residents.setdefault(model, set()).add(adapter)",
        "pass",
        "tests/test_fleet_placement.py",
    ),
    Mutation(
        "fleet: a replica hears that its caller left",
        "cassiamount/fleet_relay.py",
        "            else:\n                connection.abort()",
        "            else:\n                pass",
        "tests/test_fleet_node.py::test_replica_sees_that_the_caller_disconnected",
    ),
    Mutation(
        "fleet: a part of a report is not taken for the whole",
        "cassiamount/fleet_state.py",
        "if report.since <= link.received_version:",
        "if True:",
        "tests/test_fleet_state.py",
    ),
    Mutation(
        "fleet: what a peer told is passed on",
        "cassiamount/metadata_store.py",
        "if mark_changed or not equivalent:",
        "if not equivalent:",
        "tests/test_metadata_store.py",
    ),
    Mutation(
        "fleet: the last holder's word outlives it",
        "cassiamount/engine_residency.py",
        "if now_ms - self._last_heard_ms <= RESIDENCY_EXPIRY_MS:",
        "if False:",
        "tests/test_fleet_state.py",
    ),
    Mutation(
        "fleet: adapters in use need copies",
        "cassiamount/fleet_placement.py",
        "copies = max(copies, math.ceil(adapter_copies))",
        "pass",
        "tests/test_fleet_placement.py",
    ),
    Mutation(
        "fleet: only copies at engines that were asked are spare",
        "cassiamount/fleet_placement.py",
        "            model in engine.ready and engine.accepted_orders is not None\n",
        "            model in engine.ready\n",
        "tests/test_fleet_placement.py",
    ),
    Mutation(
        "fleet: only ready copies are spare",
        "cassiamount/fleet_placement.py",
        "            model in engine.ready and engine.accepted_orders is not None\n",
        "            engine.accepted_orders is not None\n",
        "tests/test_fleet_placement.py",
    ),
    Mutation(
        "fleet: leaving replicas get no work",
        "cassiamount/fleet_view.py",
        "if not view.leaving and view.record.name not in exclude",
        "if view.record.name not in exclude",
        "tests/test_replica_selection.py",
    ),
    Mutation(
        "fleet: a stop refuses what waits",
        "cassiamount/replica_waiting.py",
        "if self._state.stopping:\n            return stopping_refusal()",
        "if False:\n            return stopping_refusal()",
        "tests/test_fleet_node.py",
    ),
    Mutation(
        "fleet: what may have run is not repeated",
        "cassiamount/fleet_relay.py",
        "allowed = (\n"
        "            failure.not_run and not request.may_have_run\n"
        "        ) or request.route.retryable",
        "allowed = True",
        "tests/test_fleet_node.py",
    ),
    Mutation(
        "fleet: forged headers are dropped",
        "cassiamount/platform/headers.py",
        "if name in dropped or",
        "if",
        "tests/platform/test_adapter.py",
    ),
    Mutation(
        "restored: a read is compared with the era of its answer",
        "cassiamount/platform/store.py",
        "if found_era != era:",
        "if False:",
        "tests/platform/test_store.py",
    ),
    Mutation(
        "restored: a reader learns of a new era from any answer",
        "cassiamount/platform/store.py",
        "if era < self._era:",
        "if False:",
        "tests/platform/test_store.py",
    ),
    Mutation(
        "restored: a generation of an earlier era is not named",
        "cassiamount/platform/store.py",
        "known if known_era == self._era else 0",
        "known",
        "tests/platform/test_store.py",
    ),
    Mutation(
        "restored: an answer of an earlier era renews no lease",
        "cassiamount/order_lease.py",
        "if answer.generation < self.generation:",
        "if False:",
        "tests/test_order_lease.py",
    ),
    Mutation(
        "restored: ranks decide between eras",
        "cassiamount/metadata_store.py",
        "return (order, record.offset) <= (self._order(known), known.offset)",
        "return record.offset <= known.offset",
        "tests/test_metadata_store.py",
    ),
    Mutation(
        "restored: a lost configuration stays",
        "cassiamount/metadata_store.py",
        "if self._keeps_lost and era_of(offset) < era:",
        "if False:",
        "tests/test_metadata_store.py",
    ),
    Mutation(
        "restored: what a VM carries goes to its peers",
        "cassiamount/fleet_state.py",
        "carried = view.carried_since(link.acked_version)",
        "carried = []",
        "tests/test_fleet_state.py::"
        "test_vm_that_has_only_a_restored_copy_learns_what_its_peers_have",
    ),
    Mutation(
        "restored: the first report to a peer has what a VM carries",
        "cassiamount/fleet_state.py",
        "if (carried := view.carried_since(0))",
        "if (carried := [])",
        "tests/test_fleet_state.py::"
        "test_vm_that_has_only_a_restored_copy_learns_what_its_peers_have",
    ),
    Mutation(
        "restored: a new era is not current at once",
        "cassiamount/fleet_state.py",
        "self._settled_ms = now_ms + ERA_SETTLE_MS",
        "pass",
        "tests/test_restored_store.py",
    ),
    Mutation(
        "restored: lost entries are kept for a while",
        "cassiamount/fleet_state.py",
        "self._lost_until_ms[name] = now_ms + LOST_ENTRY_GRACE_MS",
        "pass",
        "tests/test_fleet_state.py::"
        "test_entry_that_a_restored_store_has_lost_is_kept_until_it_is_written_again",
    ),
    Mutation(
        "restored: VMs register again",
        "cassiamount/fleet_node.py",
        "while self.state.store_era <= registered_era:",
        "while True:",
        "tests/test_fleet_node.py::test_vm_writes_again_what_the_store_has_lost",
    ),
    Mutation(
        "restored: the quarantine is written again",
        "cassiamount/quarantine_store.py",
        "or self._state.store_era > self._era",
        "",
        "tests/test_fleet_node.py::test_vm_writes_again_what_the_store_has_lost",
    ),
    Mutation(
        "crash: requests without a prompt are checked",
        "cassiamount/relayed_request.py",
        "fingerprint = self._fingerprint(team_name)",
        "fingerprint = FINGERPRINT_PREFIX + self.metadata.request_id",
        "tests/test_crashing_requests.py",
    ),
    Mutation(
        "crash: only whole answers clear a request",
        "cassiamount/crash_detector.py",
        "if attempt.is_answer:",
        "if True:",
        "tests/test_crash_detector.py",
    ),
    Mutation(
        "crash: what ends with its connection is no evidence",
        "cassiamount/fleet_relay.py",
        "if connection.was_lost or (outcome is not None and not connection.usable):",
        "if isinstance(outcome, AttemptFailure) and not connection.usable:",
        "tests/test_crashing_prompts.py",
    ),
    Mutation(
        "crash: a request that was sent between two crashes separates them",
        "cassiamount/crash_quarantine.py",
        "if sent_ms >= counted_ms or crash.at_ms >= counted_ms + CRASH_INTERVAL_MS:",
        "if crash.at_ms >= counted_ms + CRASH_INTERVAL_MS:",
        "tests/test_crash_quarantine.py",
    ),
    Mutation(
        "crash: requests that can't be told apart are all rejected",
        "cassiamount/crash_quarantine.py",
        "return tied or [rule]",
        "return [rule]",
        "tests/test_crash_quarantine.py",
    ),
    Mutation(
        "left: nothing is sent for a caller that has left",
        "cassiamount/fleet_relay.py",
        "if request.inbound.caller.has_left():",
        "if False:",
        "tests/test_callers_left.py",
    ),
    Mutation(
        "left: the own stack sends nothing for a caller that has left",
        "cassiamount/relay.py",
        "if self.has_left():",
        "if False:",
        "tests/test_callers_left_edge.py",
    ),
    Mutation(
        "left: a connection that is not read is asked for its end",
        "cassiamount/serving.py",
        "if self.flow.held and not self.has_left():",
        "if self.flow.held:",
        "tests/test_callers_left.py",
    ),
    Mutation(
        "left: the request that runs learns of the end",
        "cassiamount/serving.py",
        "running.disconnected = True",
        "pass",
        "tests/test_callers_left.py",
    ),
    Mutation(
        "left: what is given up is taken back",
        "cassiamount/connection_end.py",
        "connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)",
        "pass",
        "tests/test_callers_left.py",
    ),
)


class UnknownLine(Exception):
    """The line of a mutation does not stand in its file exactly once."""


def run(mutation, directory):
    """Return the first failing test of a mutated copy, or None."""
    path = directory / mutation.file
    original = path.read_text()
    if original.count(mutation.old) != 1:
        raise UnknownLine(f"{mutation.name}: {mutation.file}")
    path.write_text(original.replace(mutation.old, mutation.new))
    command = [sys.executable, "-m", "pytest", "-x", "-q", "-p", "no:cacheprovider"]
    try:
        done = subprocess.run(
            [*command, *mutation.tests], cwd=directory, capture_output=True, text=True
        )
    finally:
        path.write_text(original)
    if done.returncode == 0:
        return None
    failed = [line for line in done.stdout.splitlines() if line.startswith("FAILED")]
    return failed[0].split()[1] if failed else f"pytest status {done.returncode}"


def main():
    """Run all mutations, or those whose name contains a text."""
    parser = argparse.ArgumentParser(prog="tests.mutations", description=__doc__)
    parser.add_argument("--only", default="", help="part of a name")
    options = parser.parse_args()
    rows = []
    with tempfile.TemporaryDirectory(prefix="cassiamount-mutations-") as name:
        directory = Path(name)
        for entry in COPIED:
            source = ROOT / entry
            if source.is_dir():
                ignored = shutil.ignore_patterns("__pycache__", ".hypothesis")
                shutil.copytree(source, directory / entry, ignore=ignored)
            else:
                shutil.copy(source, directory / entry)
        for mutation in MUTATIONS:
            if options.only not in mutation.name:
                continue
            test = run(mutation, directory)
            rows.append({"mutation": mutation.name, "failing_test": test})
            print(json.dumps(rows[-1]), flush=True)
    sys.exit(any(row["failing_test"] is None for row in rows))


if __name__ == "__main__":
    main()
