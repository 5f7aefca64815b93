"""Sends the dispatcher's token requests and reports to the owners of budgets."""

import asyncio

import structlog

from .dispatch_messages import GrantsReceived, ReportsDone
from .peer_messages import PeerUnavailable

log = structlog.get_logger()


class BudgetClient:
    """Calls the coordinator in background tasks for the dispatcher.

    Results are sent to the dispatcher's mailbox as `GrantsReceived` and `ReportsDone`.

    Parameters
    ----------
    mailbox : Mailbox
        Mailbox of the dispatcher.
    coordinator : Coordinator
        Has ``async ask(token_requests)``, which returns the answers by team, and
        ``async report(report)``, which returns whether the report need not be sent
        again.
    """

    def __init__(self, mailbox, coordinator):
        self._mailbox = mailbox
        self._coordinator = coordinator
        self._tasks = set()
        self._reports_in_flight = set()

    def request_tokens(self, token_requests):
        """Request tokens from owners; `GrantsReceived` follows in any case."""
        self._start(self._request_tokens(token_requests))

    def report(self, reports):
        """Send the reports that are not being sent already."""
        for report in reports:
            key = (report.owner, report.sequence)
            if key not in self._reports_in_flight:
                self._reports_in_flight.add(key)
                self._start(self._send_report(report, key))

    async def _request_tokens(self, token_requests):
        answers = {}
        try:
            answers = await self._coordinator.ask(token_requests)
        except PeerUnavailable as error:
            log.warning("budget_owner_unreachable", error=str(error))
        finally:
            teams = frozenset(request.team for request in token_requests)
            self._mailbox.send(GrantsReceived(teams, answers))

    async def _send_report(self, report, key):
        try:
            if await self._coordinator.report(report):
                self._mailbox.send(ReportsDone([report]))
        finally:
            self._reports_in_flight.discard(key)

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
