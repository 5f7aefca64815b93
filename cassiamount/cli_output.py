"""Output of the command line: tables for people, JSON for programs."""

import json
import sys

from rich.console import Console
from rich.table import Table
from rich.text import Text

from .status import UnreachableVm

# Columns of tables when the output is no terminal.
PIPE_WIDTH = 160


class Output:
    """Writes results to standard output and errors to standard error.

    Parameters
    ----------
    as_json : bool
        Write one JSON object instead of text; errors are part of it.
    """

    __slots__ = ("as_json", "_console", "_errors")

    def __init__(self, as_json=False):
        self.as_json = as_json
        width = None if sys.stdout.isatty() else PIPE_WIDTH
        self._console = Console(highlight=False, soft_wrap=True, width=width)
        self._errors = Console(stderr=True, highlight=False, soft_wrap=True)

    def result(self, value, lines=(), tables=()):
        """Write the result of a command.

        Parameters
        ----------
        value : object
            Written as JSON.
        lines : iterable of str
            Written as text.
        tables : iterable of rich.table.Table
        """
        if self.as_json:
            json.dump(value, sys.stdout, indent=2)
            sys.stdout.write("\n")
            return
        for line in lines:
            self._print(self._console, line)
        for table in tables:
            if table.row_count:
                self._console.print(table, soft_wrap=False)

    def note(self, message):
        """Write a line for people to standard error."""
        self._print(self._errors, message)

    def error(self, code, message, details=(), **fields):
        """Write an error.

        Parameters
        ----------
        code : str
            For programs, for example ``lost_race``.
        message : str
        details : iterable of str
            Further lines.
        **fields
            Further fields of the JSON form.
        """
        if self.as_json:
            value = {"error": {"code": code, "message": message, **fields}}
            json.dump(value, sys.stdout, indent=2)
            sys.stdout.write("\n")
            return
        self._print(self._errors, f"error: {message}")
        for line in details:
            self._print(self._errors, line)

    @staticmethod
    def _print(console, line):
        # Text, because names in brackets would be read as markup.
        console.print(Text(str(line)))


def table(title, *columns, rows):
    """Return a table whose cells are plain text."""
    result = Table(title=title, title_justify="left")
    for column in columns:
        # Cells fold instead of being cut, since operators copy hashes and fences.
        result.add_column(column, overflow="fold")
    for row in rows:
        result.add_row(*(Text("-" if cell is None else str(cell)) for cell in row))
    return result


def show_json(state):
    """Return the JSON of ``show``."""
    return {
        "version": state.version,
        "next_offset": state.next_offset,
        "digest": state.digest(),
        "document": state.document,
        "keys": [
            {"key_hash": key_hash, "team": given.team, "label": given.label}
            for key_hash, given in sorted(state.given_keys.items())
        ],
        "withdrawn": sorted(state.keys.withdrawn),
        "drained": sorted(state.drained),
        "rejections": [
            {
                "offset": rejection.offset,
                "kind": rejection.kind,
                "id": rejection.id,
                "vm": rejection.vm,
                "reason": rejection.reason,
            }
            for rejection in state.rejections
        ],
    }


def show_tables(state):
    """Return the tables of ``show``."""
    configuration = state.configuration
    yield table(
        "Teams",
        "team",
        "priority",
        "rate (tokens/s)",
        "burst (tokens)",
        "models",
        "adapters",
        "services",
        "keys",
        rows=[
            (
                team.name,
                team.priority,
                team.rate_tokens_per_s,
                team.burst_tokens,
                len(team.models),
                len(team.adapters),
                len(team.services),
                len(team.key_hashes)
                + sum(given.team == team.name for given in state.given_keys.values()),
            )
            for team in configuration.teams.values()
        ],
    )
    yield table(
        "Backend servers",
        "backend",
        "zone",
        "address",
        "kind",
        "state",
        rows=[
            (
                backend.name,
                backend.zone,
                backend.address,
                backend.service or backend.kind,
                "drained" if backend.name in state.drained else "in use",
            )
            for backend in configuration.backends.values()
        ],
    )
    if state.given_keys:
        rows = [
            (key, given.team, given.label) for key, given in state.given_keys.items()
        ]
        yield table("Keys given", "key hash", "team", "label", rows=rows)
    if state.rejections:
        yield table(
            "Rejected records",
            "offset",
            "kind",
            "writer",
            "reason",
            rows=[
                (item.offset, item.kind, item.vm, item.reason)
                for item in state.rejections
            ],
        )


def status_json(statuses):
    """Return the JSON of ``status``."""
    return {"vms": [status.to_json() for status in statuses]}


def status_tables(statuses):
    """Return the tables of ``status``."""
    reached = [item for item in statuses if not isinstance(item, UnreachableVm)]
    missed = [item for item in statuses if isinstance(item, UnreachableVm)]
    yield table(
        "VMs",
        "VM",
        "zone",
        "state",
        "log",
        "version",
        "stale",
        "running",
        "queued",
        rows=[
            (
                vm.vm,
                vm.zone,
                vm.state,
                "reachable" if vm.log_reachable else "out of reach",
                vm.configuration_version,
                _seconds(vm.configuration_staleness_ms),
                vm.admitted_requests,
                vm.queued_requests,
            )
            for vm in reached
        ]
        + [
            (vm.address, None, f"unreachable: {vm.reason}", *[None] * 5)
            for vm in missed
        ],
    )
    yield _replica_table(reached)
    yield table(
        "Budgets",
        "team",
        "VM",
        "role",
        "level",
        "outstanding",
        "held",
        rows=[
            (
                budget.team,
                vm.vm,
                "owner" if budget.owned else "holder",
                _count(budget.level_tokens) if budget.owned else None,
                _count(budget.outstanding_tokens) if budget.owned else None,
                _count(budget.held_tokens),
            )
            for vm in reached
            for budget in vm.budgets
        ],
    )
    yield _lease_table(reached)


def _replica_table(reached):
    newest = {}
    for vm in reached:
        for backend in vm.backends:
            known = newest.get(backend.name)
            if known is None or _age(backend) < _age(known):
                newest[backend.name] = backend
    return table(
        "Replicas (the newest report)",
        "backend",
        "zone",
        "state",
        "running",
        "waiting",
        "memory (MB)",
        "report age",
        "residents",
        rows=[
            (
                backend.name,
                backend.zone,
                backend.state,
                backend.running,
                backend.waiting,
                f"{backend.memory_used_mb}/{backend.memory_capacity_mb}",
                _seconds(backend.report_age_ms),
                ", ".join(_resident(item) for item in backend.residents),
            )
            for _, backend in sorted(newest.items())
        ],
    )


def _lease_table(reached):
    leases = {}
    for vm in reached:
        for lease in vm.leases:
            known = leases.get((vm.zone, lease.lease))
            if known is None or lease.fence > known.fence:
                leases[vm.zone, lease.lease] = lease
    return table(
        "Leases",
        "zone",
        "lease",
        "holder",
        "fence",
        "remaining",
        rows=[
            (
                zone,
                lease.lease,
                lease.holder or None,
                lease.fence,
                _seconds(lease.remaining_ms) + (" (promised)" * lease.extended),
            )
            for (zone, _), lease in sorted(leases.items())
        ],
    )


def _age(backend):
    return float("inf") if backend.report_age_ms is None else backend.report_age_ms


def _resident(item):
    return item.name if item.state == "ready" else f"{item.name} ({item.state})"


def _seconds(milliseconds):
    return "never" if milliseconds is None else f"{milliseconds / 1000:.1f} s"


def _count(tokens):
    return f"{tokens:.0f}"
