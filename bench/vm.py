"""One entry VM: the decision objects of the daemon's dispatcher on virtual time."""

from bench.baselines import ROUTERS, FifoQueue, LimitQueue
from cassiamount.admission import AdmissionQueue
from cassiamount.admission_results import Refused
from cassiamount.budget_holder import BudgetHolder
from cassiamount.budget_messages import Grant, NotOwner
from cassiamount.requests import BROKEN, DONE, NOT_ACCEPTED, AttemptEnded
from cassiamount.routing import NoReplica

QUEUES = {"fair": AdmissionQueue, "fifo": FifoQueue, "limit": LimitQueue}
# As in the dispatcher: a shortage that ends within this time is waited out.
BUDGET_WAIT_MS = 200.0
ATTEMPTS = 3


class Vm:
    """Admits, queues and routes offers; tells `on_end(offer, result)`.

    Results are ``served`` with the attempt, or the reason of a refusal.
    """

    def __init__(self, world, name, zone):
        self.world = world
        self.clock = world.clock
        self.name = name
        self.zone = zone
        self.queue = QUEUES[world.policies.admission]()
        distance_ms = 2 * world.deployment.zone_ms
        self.router = ROUTERS[world.policies.routing](zone, distance_ms)
        self.router.set_configuration(world.configuration)
        self.holder = BudgetHolder(f"{name}@1")
        for team in world.configuration.teams.values():
            self.holder.set_team(
                team.name, team.burst_tokens / len(world.deployment.zones), 0.0
            )
        self.charges = {}
        self.offers = {}
        self.attempts = {}
        self.short = {}
        self.asked = set()
        self.totals = {}

    def submit(self, offer):
        """Take a request from a caller."""
        request_info = offer.request_info
        self.offers[request_info.request_id] = offer
        # Demand counts a team's requests once they are within its rate.
        if not self._charge(request_info):
            waiting = self.short.setdefault(request_info.team, [])
            waiting.append((request_info, self.clock.now_ms))
            self.ask()

    def _charge(self, request_info):
        charge = self.holder.charge(
            request_info.team, request_info.cost_tokens, self.clock.now_ms
        )
        if charge is None:
            return False
        self.charges[request_info.request_id] = charge
        for name in filter(None, (request_info.model, request_info.adapter)):
            self.totals[name] = self.totals.get(name, 0) + request_info.cost_tokens
        result = self.queue.offer(request_info, self.clock.now_ms)
        if isinstance(result, Refused):
            self._refuse(request_info, result.refusal.code)
            return True
        for victim, refusal in result.displaced:
            self._refuse(victim, refusal.code)
        self.pump()
        return True

    def ask(self):
        """Ask owners for blocks; the nearest zone first, then loans."""
        for ask in self.holder.due_token_requests(self.clock.now_ms):
            if ask.team not in self.asked:
                self.asked.add(ask.team)
                zones = self.world.zones_by_distance(self.zone)
                self._ask_zone(ask, zones, self.clock.now_ms, float("inf"))

    def _ask_zone(self, ask, zones, sent_ms, retry_after_ms):
        zone, rest = zones[0], zones[1:]
        delay_ms = self.world.delay_ms(self.zone, zone)

        def answer():
            owner = self.world.owners.get(zone)
            holder = self.holder.vm
            if zone != self.zone:
                holder = f"zone/{self.zone}/{self.name}"
            result = NotOwner()
            if owner is not None and self.world.connected(self.zone, zone):
                result = owner.grant(
                    ask.team, holder, ask.want_tokens, ask.min_tokens, self.clock.now_ms
                )
            self.clock.after(delay_ms, take, result)

        def take(result):
            if isinstance(result, Grant):
                deadline_ms = sent_ms + result.lifetime_ms * 0.99
                grant = Grant(result.grant_id, result.tokens, deadline_ms)
                self.holder.add_grant(ask.team, grant, self.clock.now_ms)
                self._answered(ask.team, 0.0)
                return
            wait_ms = getattr(result, "retry_after_ms", float("inf"))
            wait_ms = min(wait_ms, retry_after_ms)
            if rest:
                self._ask_zone(ask, rest, sent_ms, wait_ms)
            else:
                self._answered(ask.team, wait_ms)

        self.clock.after(delay_ms, answer)

    def _answered(self, team, wait_ms):
        self.asked.discard(team)
        now_ms = self.clock.now_ms
        still = []
        for request_info, since_ms in self.short.pop(team, []):
            if self._charge(request_info):
                continue
            if now_ms - since_ms + wait_ms <= BUDGET_WAIT_MS:
                still.append((request_info, since_ms))
            else:
                self._refuse(request_info, "rate_exceeded")
        if still:
            self.short[team] = still
            self.clock.after(max(5.0, wait_ms), self.ask)

    def report_use(self):
        """Report use and refunds to the owners, and refill blocks."""
        for report in self.holder.reports(self.clock.now_ms):
            zone = report.owner[0]
            owner = self.world.owners.get(zone)
            if owner is None or not self.world.connected(self.zone, zone):
                self.holder.report_done(report)
                continue
            holder = self.holder.vm
            if zone != self.zone:
                holder = f"zone/{self.zone}/{self.name}"
            owner.report(
                holder,
                report.sequence,
                report.uses,
                report.refunds,
                self.clock.now_ms,
            )
            self.holder.report_done(report)
        self.ask()

    def tick(self):
        """Expire what waited too long, and try the queue again."""
        for request_info in self.queue.expire(self.clock.now_ms):
            self._refuse(request_info, "deadline_passed")
        self.pump()

    def pump(self):
        """Send what can be sent."""
        while True:
            choices = {}

            def ready(request_info, choices=choices):
                choice = self.router.choose(
                    request_info, self.clock.now_ms, self.world.rng
                )
                choices[request_info.request_id] = choice
                return not isinstance(choice, NoReplica)

            request_info = self.queue.take(self.clock.now_ms, ready)
            if request_info is None:
                return
            self._send(request_info, choices[request_info.request_id].backend)

    def _send(self, request_info, backend):
        self.router.on_sent(request_info, backend)
        request_id = request_info.request_id
        self.attempts[request_id] = self.attempts.get(request_id, 0) + 1
        engine = self.world.engines[backend]
        delay_ms = self.world.delay_ms(self.zone, engine.zone)
        sent_ms = self.clock.now_ms

        def arrive():
            if self.world.connected(self.zone, engine.zone):
                engine.submit(self.offers[request_id], done)
            else:
                self.clock.after(
                    delay_ms, self._ended, request_info, backend, None, sent_ms
                )

        def done(attempt):
            self.clock.after(
                delay_ms, self._ended, request_info, backend, attempt, sent_ms
            )

        self.clock.after(delay_ms, arrive)

    def _ended(self, request_info, backend, attempt, sent_ms):
        offer = self.offers[request_info.request_id]
        now_ms = self.clock.now_ms
        cut = not self.world.connected(self.zone, self.world.engines[backend].zone)
        if attempt is None or attempt.first_ms is None:
            # Refused, or no connection: it certainly did not run there.
            outcome = NOT_ACCEPTED
        elif cut:
            outcome = BROKEN
        else:
            outcome = DONE
        used = request_info.prompt_tokens + offer.output_tokens
        first_ms = attempt.first_ms - sent_ms if outcome == DONE else 0.0
        self.router.on_ended(
            AttemptEnded(
                request_info.request_id,
                backend,
                outcome,
                used,
                first_ms,
                now_ms - sent_ms,
            ),
            now_ms,
        )
        if outcome == DONE:
            self._settle(request_info, used)
            self.world.on_end(offer, "served", attempt)
        elif outcome == BROKEN and self.attempts[request_info.request_id] >= ATTEMPTS:
            self._refuse(request_info, "broken")
        else:
            self.queue.requeue(request_info, now_ms)
        self.pump()

    def _refuse(self, request_info, reason):
        offer = self.offers[request_info.request_id]
        self._settle(request_info, 0)
        self.world.on_end(offer, reason, None)

    def _settle(self, request_info, used_tokens):
        request_id = request_info.request_id
        charge = self.charges.pop(request_id, None)
        if charge is not None:
            self.world.on_use(request_info.team, charge.charged_ms, used_tokens)
            self.holder.settle(charge, used_tokens, self.clock.now_ms)
        self.queue.settle(request_info, used_tokens)
        del self.offers[request_id]
        self.attempts.pop(request_id, None)
