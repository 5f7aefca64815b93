"""Carries one request of a caller to a backend server of the fleet and back."""

import asyncio

from .answer_passing import AnswerPasser
from .backend_messages import Attempt
from .fleet import choose_target
from .model_demand import LATENCY_SENSITIVE_OBJECTIVE_MS
from .relay_job import (
    LAST_ANSWER_MS,
    AttemptFailure,
    BrokenStream,
    Refused,
    RelayJob,
)
from .replica_choice import DECISION_MS, Choice, return_ms
from .requests import ADMITTED, COMPLETE, DISPATCHED, Refusal

# A backend server that could not be reached is not tried for this long.
UNREACHABLE_MS = 700.0
# A model that a replica says it lacks is not asked for there for this long.
MISSING_MS = 400.0
# Connections that may fail before a request is refused.
CONNECT_TRIES = 4
# Share of a route's objective for which a request waits for a decision on its model.
UNDECIDED_SHARE = 0.8
# A caller that was told to come back counts as waiting a little longer than that.
RETURN_SLACK_MS = 400.0
FULL_RETURN_MS = 150.0
STALE_KEYS_RETURN_MS = 1_000.0
STARTING_RETURN_MS = 500.0
# Another VM can take the request at once.
STOPPING_RETURN_MS = 50.0


class FleetRelay:
    """Serves requests of callers.

    Parameters
    ----------
    state : FleetState
    choice : ReplicaChoice
    pool : ChannelPool
    codec : object
        `encode_call` and `answer_headers` of the platform.
    prefixes : PrefixMemory
    metrics : Metrics
    log : object
        structlog logger.
    rng : random.Random
    ask_holder : callable
        Called when a request begins to wait for a model or adapter.
    """

    def __init__(
        self, state, choice, pool, codec, prefixes, metrics, log, rng, ask_holder
    ):
        self._state = state
        self._choice = choice
        self._pool = pool
        self._codec = codec
        self._prefixes = prefixes
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._ask_holder = ask_holder
        self._answers = AnswerPasser(codec, state.clock)
        self._changed = asyncio.Event()
        state.listeners.append(self._on_change)

    def _on_change(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, inbound):
        """Answer one request."""
        job = None
        status, code = 0, "ok"
        try:
            job = self._admit(inbound)
            status = await self._run_to_deadline(job)
        except Refused as refused:
            status, code = refused.status, refused.code
            await self._refuse(inbound, job, refused)
        except BrokenStream as broken:
            code = f"broken: {broken}"
            inbound.caller.abort()
        except asyncio.CancelledError:
            code = "caller-gone"
            raise
        finally:
            self._finish(inbound, job, status, code)

    # Admission.

    def _admit(self, inbound):
        call = inbound.facts
        state = self._state
        configuration = state.configuration
        now_ms = state.now_ms()
        if configuration is None:
            raise Refused(503, "starting", "no configuration yet", STARTING_RETURN_MS)
        route = configuration.routes.find(call.host, call.path)
        if route is None:
            raise Refused(404, "no_route", "no such route")
        team = self._team(configuration, route, call, now_ms)
        service = choose_target(route, self._rng)
        rule = configuration.services.get(service)
        engine = rule is not None and rule.engine is not None and bool(call.model)
        if engine and call.model not in rule.engine.models:
            raise Refused(404, "unknown_model", "no such model")
        job = RelayJob(inbound, route, service, engine, team, now_ms)
        job.version = configuration.version
        state.retries.note_request(service, now_ms)
        if engine:
            hurried = route.objective_ms <= LATENCY_SENSITIVE_OBJECTIVE_MS
            state.asked.record_request(call.model, hurried, bool(call.adapter))
        if team is not None:
            tokens = team.cost_tokens(call.tokens)
            wait_ms = state.quota.charge(team.name, tokens, now_ms)
            if wait_ms > 0:
                raise Refused(
                    429, "rate_exceeded", "rate and burst are used up", wait_ms
                )
            job.charged_tokens = tokens
        job.state.move(ADMITTED)
        return job

    def _team(self, configuration, route, call, now_ms):
        if route.open or not configuration.keyed:
            return None
        if not self._state.keys.admits(now_ms):
            raise Refused(
                503,
                "keys_not_fresh",
                "the keys' state is not known well enough",
                STALE_KEYS_RETURN_MS,
            )
        team = configuration.team_of(call.key)
        if team is None:
            raise Refused(401, "unknown_key", "unknown key")
        return team

    # The way to a backend server and back.

    async def _run_to_deadline(self, job):
        loop = asyncio.get_running_loop()
        left_ms = job.deadline_ms + LAST_ANSWER_MS - self._state.now_ms()
        try:
            async with asyncio.timeout_at(loop.time() + left_ms / 1000):
                return await self._run(job)
        except TimeoutError:
            if job.started:
                raise BrokenStream("time limit") from None
            if job.may_have_run:
                raise Refused(504, "time_limit", "no answer in time") from None
            raise Refused(
                503, "time_limit", "not begun in time", FULL_RETURN_MS
            ) from None

    async def _run(self, job):
        while True:
            choice = await self._find_replica(job)
            channel = await self._connect(job, choice.view)
            if channel is None:
                continue
            outcome = await self._attempt(job, choice, channel)
            if isinstance(outcome, int):
                return outcome
            self._prepare_repeat(job, outcome)

    async def _find_replica(self, job):
        first_wait_ms = None
        undecided_ms = None
        try:
            while True:
                now_ms = self._state.now_ms()
                found = self._choose(job, now_ms)
                if isinstance(found, Choice):
                    if (
                        now_ms + found.wait_ms > max(job.patience_until_ms, now_ms + 1)
                        and found.wait_ms > job.route.objective_ms
                    ):
                        raise Refused(
                            503, "full", "all replicas are full", found.wait_ms
                        )
                    return found
                if first_wait_ms is None:
                    first_wait_ms = now_ms
                if found.wait_ms is not None:
                    undecided_ms = None
                elif undecided_ms is None:
                    undecided_ms = now_ms
                try:
                    self._check_wait(job, found, undecided_ms, now_ms)
                except Refused as refused:
                    self._expect_return(job, refused)
                    raise
                await self._wait_for_change(job, found)
        finally:
            self._end_wait(job)
            if first_wait_ms is not None:
                waited_ms = self._state.now_ms() - first_wait_ms
                self._metrics.observe_ms("wait_ms", waited_ms, cause="replica")

    def _choose(self, job, now_ms):
        exclude = set(job.connects_failed)
        if len(job.tried) < job.route.attempts:
            exclude.update(job.tried)
        if job.engine:
            return self._choice.engine(job.service, job.call, now_ms, exclude)
        return self._choice.plain(job.service, now_ms, exclude)

    def _check_wait(self, job, found, undecided_ms, now_ms):
        """Refuse a request at once that will not be served in time.

        Parameters
        ----------
        job : RelayJob
        found : WaitFor
        undecided_ms : float or None
            Since when nobody can say how long it will wait.
        now_ms : float
        """
        if self._state.stopping:
            raise Refused(503, "stopping", "this VM stops", STOPPING_RETURN_MS)
        if found.reason == "no-backend":
            raise Refused(503, "no_backend", "no backend server", return_ms(None))
        if found.wait_ms is None:
            # An engine or the place of an adapter soon becomes free.
            limit_ms = max(DECISION_MS, UNDECIDED_SHARE * job.route.objective_ms)
            if now_ms - undecided_ms > limit_ms:
                raise Refused(
                    503,
                    f"{found.reason}_missing",
                    "no replica holds what was asked for",
                    return_ms(job.route.objective_ms),
                )
        elif now_ms + found.wait_ms > job.patience_until_ms:
            raise Refused(
                503,
                f"{found.reason}_loading",
                "what was asked for is not loaded yet",
                return_ms(found.wait_ms),
            )

    def _expect_return(self, job, refused):
        """Let a caller that will come back count as waiting until then."""
        if self._state.stopping or not job.engine or refused.return_after_ms is None:
            return
        waiting = self._state.waiting
        target = job.target
        waiting[target] = waiting.get(target, 0) + 1
        asyncio.get_running_loop().call_later(
            (refused.return_after_ms + RETURN_SLACK_MS) / 1000,
            self._end_wait_of,
            target,
        )
        self._ask_holder()

    async def _wait_for_change(self, job, found):
        target = job.target
        if target not in job.waited:
            job.waited[target] = True
            self._log.info(
                "request_waits",
                request_id=job.call.request_id,
                target=target,
                reason=found.reason,
                expected_ms=None if found.wait_ms is None else round(found.wait_ms),
                patience_ms=round(job.patience_until_ms - self._state.now_ms()),
                placement_age_ms=self._state.placement_age_ms(),
            )
            waiting = self._state.waiting
            waiting[target] = waiting.get(target, 0) + 1
            self._ask_holder()
        timeout_ms = DECISION_MS if found.wait_ms is None else 400.0
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await changed.wait()
        except TimeoutError:
            return

    def _end_wait(self, job):
        for target in job.waited:
            self._end_wait_of(target)
        job.waited.clear()

    def _end_wait_of(self, target):
        left = self._state.waiting.get(target, 1) - 1
        if left > 0:
            self._state.waiting[target] = left
        else:
            self._state.waiting.pop(target, None)

    async def _connect(self, job, view):
        channel = self._pool.take_idle(view.record.address)
        if channel is None:
            try:
                channel = await self._pool.open(view.record.address)
            except OSError as error:
                now_ms = self._state.now_ms()
                view.avoided_until_ms = now_ms + UNREACHABLE_MS
                job.connects_failed.add(view.record.name)
                self._log.info(
                    "backend_unreachable",
                    request_id=job.call.request_id,
                    backend=view.record.name,
                    error=type(error).__name__,
                )
                if len(job.connects_failed) >= CONNECT_TRIES:
                    raise Refused(
                        503, "no_backend", "no backend server", return_ms(None)
                    ) from error
                return None
        known = self._state.view.backends.get(view.record.name)
        if known is not view or view.leaving:
            # It left while the connection was opened.
            self._pool.give_back(channel)
            return None
        self._check_key_again(job)
        return channel

    def _check_key_again(self, job):
        """Refuse a request whose key was withdrawn while it waited."""
        configuration = self._state.configuration
        if job.team is None or configuration.version == job.version:
            return
        job.version = configuration.version
        team = configuration.team_of(job.call.key)
        if team is None or team.name != job.team.name:
            raise Refused(401, "unknown_key", "unknown key")

    async def _attempt(self, job, choice, channel):
        """Send the request once.

        Returns
        -------
        int or AttemptFailure
            The status that was delivered, or why there was none.
        """
        view = choice.view
        state = self._state
        name = view.record.name
        sent_ms = state.now_ms()
        if name not in job.tried:
            job.tried.append(name)
        attempt = Attempt(
            name,
            view.record.address,
            job.deadline_ms - sent_ms,
            job.rank,
            "" if job.team is None else job.team.name,
            job.last_event,
        )
        inbound = job.inbound
        data = self._codec.encode_call(
            job.call.method, inbound.target, inbound.headers, inbound.body, attempt
        )
        state.view.note_sent(name, job.target)
        if job.engine:
            self._prefixes.note_sent(name, job.call)
        if job.state.state != DISPATCHED:
            job.state.move(DISPATCHED)
        job.sends += 1
        self._log.info(
            "request_sent",
            request_id=job.call.request_id,
            backend=name,
            send=job.sends,
            expected_ms=round(choice.wait_ms),
            load=view.load,
            left_ms=round(attempt.time_left_ms),
            last_event=job.last_event,
            placement_age_ms=self._state.placement_age_ms(),
        )
        outcome = None
        job.first_ms = None
        try:
            channel.send(data, job.call.request_id)
            outcome = await self._answers.take(job, channel)
            return outcome
        finally:
            state.view.note_ended(view, job.target)
            now_ms = state.now_ms()
            if isinstance(outcome, int):
                self._pool.give_back(channel)
                if outcome < 500:
                    view.note_times(
                        (job.first_ms or now_ms) - sent_ms, now_ms - sent_ms
                    )
            elif outcome is not None and outcome.reusable:
                self._pool.give_back(channel)
            else:
                channel.abort()
            self._note_outcome(job, view, outcome, now_ms)

    def _note_outcome(self, job, view, outcome, now_ms):
        if outcome is None:
            if not job.started:
                job.may_have_run = True
            return
        if isinstance(outcome, AttemptFailure):
            if outcome.not_run:
                if outcome.status == 421 and job.engine:
                    view.missing[job.target] = now_ms + MISSING_MS
                return
            failed = True
        else:
            failed = outcome >= 500
        if self._state.view.note_outcome(view, failed, now_ms):
            self._log.info(
                "backend_avoided",
                backend=view.record.name,
                failure_share=round(view.failure_share(now_ms), 2),
            )

    # Repeats.

    def _prepare_repeat(self, job, failure):
        """Let the request be sent once more, or end it with a true answer."""
        now_ms = self._state.now_ms()
        if failure.not_run and not job.may_have_run:
            job.state.not_accepted()
        elif not job.started:
            job.state.move(ADMITTED)
        allowed = (failure.not_run and not job.may_have_run) or job.route.repeatable
        if allowed and job.may_repeat(now_ms):
            vms = self._state.peers.vms(now_ms)
            if self._state.retries.take(job.service, vms, now_ms):
                self._log.info(
                    "request_repeated",
                    request_id=job.call.request_id,
                    tried=job.tried,
                    reason=failure.reason,
                    last_event=job.last_event,
                )
                return
        if job.started:
            raise BrokenStream(failure.reason)
        if job.may_have_run:
            raise Refused(502, "backend_failed", f"no valid answer: {failure.reason}")
        raise Refused(503, "not_accepted", "the replica is full", FULL_RETURN_MS)

    # The end.

    async def _refuse(self, inbound, job, refused):
        not_run = refused.status not in (502, 504)
        after_ms = refused.return_after_ms
        refusal = Refusal(
            refused.status,
            refused.code,
            refused.message,
            not_run,
            None if after_ms is None else round(after_ms / 1000, 3),
        )
        if job is not None:
            job.state.check_refusal(refusal)
            if not_run and job.team is not None:
                self._state.quota.give_back(
                    job.team.name, job.charged_tokens, self._state.now_ms()
                )
        await inbound.caller.refuse(refusal)

    def _finish(self, inbound, job, status, code):
        took_ms = self._state.now_ms() - inbound.arrived_ms
        if job is not None and job.state.state != COMPLETE:
            job.state.move(COMPLETE)
        self._metrics.request_ended(status, code.partition(":")[0], took_ms)
        configuration = self._state.configuration
        self._log.info(
            "request_ended",
            request_id=inbound.facts.request_id,
            status=status,
            code=code,
            route=None if job is None else job.route.name,
            target=None if job is None else job.target,
            tried=[] if job is None else job.tried,
            sends=0 if job is None else job.sends,
            version=0 if configuration is None else configuration.version,
            took_ms=round(took_ms, 1),
        )
