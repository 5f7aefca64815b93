"""Carries asks and reports between the dispatcher and the owners of budgets."""

import asyncio

import structlog

from .dispatch_messages import GrantsReceived, ReportsDone
from .peer_messages import PeerUnavailable

log = structlog.get_logger()


class BudgetClient:
    """Sends what the dispatcher asks for and returns the answers as messages.

    Parameters
    ----------
    mailbox : Mailbox
        The dispatcher's.
    coordinator : Coordinator
        Has ``async ask(asks)``, which returns answers by team, and ``async
        report(report)``, which returns whether it need not be sent again.
    """

    def __init__(self, mailbox, coordinator):
        self._mailbox = mailbox
        self._coordinator = coordinator
        self._tasks = set()
        self._reports_in_flight = set()

    def request_tokens(self, token_requests):
        """Ask the owners; `GrantsArrived` follows in any case."""
        self._start(self._request_tokens(token_requests))

    def report(self, reports):
        """Send reports that are not on their way already."""
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
