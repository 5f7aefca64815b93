"""Load of backend servers as all VMs know it, and the time to a first event there."""

import heapq
import math

from .load_counts import LOWEST_PRIORITY, Backlog, LoadPart, SentRequest, ServerLoad
from .peer_topology import OWN, ZONE
from .start_estimate import StartEstimate, expected_excess, room_wait_ms
from .start_times import ServiceTimes

# Load that a server told is not used for longer; it changes many times a second.
MAX_TOLD_AGE_MS = 1_000.0
# The load that a server tells is reported to peers again after this time, so that it
# takes at most two rows of a report to a relay's member for each of its servers.
REPORT_TOLD_MS = 200.0
# A pace outside of this range is taken for the limit: servers slow down by 2 to 5
# times, and a pace of 0 would attract all requests.
MIN_PACE_PERCENT = 25
MAX_PACE_PERCENT = 2_000


class ReplicaLoads:
    """Loads of all backend servers, and estimates by them.

    Servers are named by pairs of their name and the wall-clock time of their start.

    Parameters
    ----------
    counter : ChangeCounter
    """

    __slots__ = (
        "_counter",
        "_servers",
        "_services",
        "_kv_tokens",
        "_times",
        "_zone",
        "_counted",
    )

    def __init__(self, counter):
        self._counter = counter
        self._servers = {}
        # Service whose servers tell their pace -> version of that.
        self._services = {}
        self._kv_tokens = {}
        self._times = {}
        # Peers whose requests count, and those among them in this VM's zone.
        self._counted = self._zone = frozenset()

    def set_services(self, services):
        """Apply the memory of the services' engines, from the configuration."""
        self._kv_tokens = {
            name: rule.engine.kv_tokens
            for name, rule in services.items()
            if rule.engine is not None
        }

    def is_enabled(self, service):
        """Return whether a server of a service has told its pace."""
        return service in self._services

    def times_of(self, service):
        """Return the `ServiceTimes` of a service."""
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = ServiceTimes(service in self._kv_tokens)
        return times

    # Events.

    def record_told(
        self, server, running, waiting, slots, pace_percent, now_ms, service=""
    ):
        """Record the load that a server told; figures that it did not tell are None.

        Returns
        -------
        bool
            Whether the service is known to tell its pace from now on.
        """
        if (running, waiting, slots, pace_percent) == (None, None, None, None):
            return False
        if pace_percent is not None:
            pace_percent = max(MIN_PACE_PERCENT, min(MAX_PACE_PERCENT, pace_percent))
        known = self._server(server)
        self._set_told(known, (running, waiting, slots, pace_percent), now_ms)
        if pace_percent is None or not service or service in self._services:
            return False
        self._services[service] = self._counter.next()
        return True

    def _set_told(self, known, told, told_ms):
        if told_ms <= known.told_ms:
            return
        known.told_ms = told_ms
        known.told = told
        if told_ms >= known.told_reported_ms + REPORT_TOLD_MS:
            known.told_reported_ms = told_ms
            known.told_version = self._counter.next()

    def record_sent(
        self,
        server,
        request_id,
        prefill_tokens,
        total_tokens,
        now_ms,
        priority=LOWEST_PRIORITY,
        service="",
        estimate=None,
        streamed=True,
    ):
        """Count a request that is sent.

        Parameters
        ----------
        server : (str, int)
        request_id : hashable
            Distinguishes this attempt from the others at the server.
        prefill_tokens, total_tokens : int
            Prompt tokens that the server has not cached; prompt and output tokens.
        now_ms : float
        priority : int, optional
        service : str, optional
        estimate : StartEstimate, optional
            The one by which the server was selected.
        streamed : bool, optional
            Whether a first event tells when the answer begins; otherwise the estimate
            does.
        """
        known = self._server(server)
        known.service = service
        sent = SentRequest(prefill_tokens, total_tokens, now_ms, priority, estimate)
        known.sent[request_id] = sent
        known.own.tokens += total_tokens
        known.own.add_waiting(sent)
        self._on_change(known, 1, now_ms)
        if not streamed and estimate is not None:
            due_ms = now_ms + estimate.first_event_ms
            heapq.heappush(known.presumed, (due_ms, known.version, request_id))

    def record_begun(self, server, request_id, now_ms):
        """Record the first event; return the `StartEstimate` that foretold it, if any.

        Returns
        -------
        (StartEstimate, float) or None
            Also the time that the first event has taken.
        """
        known = self._server(server)
        sent = known.sent.get(request_id)
        if sent is None or sent.begun_ms is not None:
            return None
        self._begin(known, sent, now_ms)
        estimate = sent.estimate
        if estimate is None:
            return None
        took_ms = now_ms - sent.sent_ms
        if not estimate.slot_wait_ms:
            self.times_of(known.service).record_start(
                estimate.prefill_tokens, took_ms / estimate.slowdown
            )
        return estimate, took_ms

    def record_ended(self, server, request_id, now_ms, is_complete=True):
        """Stop counting a request; `is_complete` tells if it got its whole answer."""
        known = self._servers.get(server)
        sent = None if known is None else known.sent.pop(request_id, None)
        if sent is None:
            return
        known.own.tokens -= sent.tokens
        if sent.begun_ms is None:
            known.own.add_waiting(sent, -1)
        if sent.estimate is not None and (sent.begun_ms is not None or is_complete):
            ran_ms = now_ms - (sent.sent_ms if sent.begun_ms is None else sent.begun_ms)
            self.times_of(known.service).record_run(ran_ms / sent.estimate.pace)
        self._on_change(known, -1, now_ms)

    def _begin(self, known, sent, now_ms):
        sent.begun_ms = now_ms
        known.own.add_waiting(sent, -1)
        known.own_version = known.version = self._counter.next()

    def _on_change(self, known, requests, now_ms):
        known.own_version = known.version = self._counter.next()
        known.changes.append((now_ms, requests))
        while known.changes[0][0] < now_ms - MAX_TOLD_AGE_MS:
            known.changes.popleft()

    def _review(self, known, now_ms):
        """Count requests as begun that should be and whose start no event tells."""
        while known.presumed and known.presumed[0][0] <= now_ms:
            sent = known.sent.get(heapq.heappop(known.presumed)[2])
            if sent is not None and sent.begun_ms is None:
                self._begin(known, sent, now_ms)

    def _server(self, server):
        known = self._servers.get(server)
        if known is None:
            known = self._servers[server] = ServerLoad()
        return known

    def remove_others(self, servers):
        """Forget the servers that are gone."""
        for server in self._servers.keys() - servers:
            del self._servers[server]

    # Estimates.

    def estimate(self, view, metadata, cached_tokens, now_ms, priority=LOWEST_PRIORITY):
        """Estimate the time to the first event of a request.

        Parameters
        ----------
        view : BackendView
        metadata : RequestMetadata or None
            None for a request that names no model.
        cached_tokens : int
            Prompt tokens that the server has probably cached.
        now_ms : float
        priority : int, optional
            Requests of lower priority numbers are ahead of it.

        Returns
        -------
        StartEstimate
        """
        record = view.record
        known = self._server(record.start)
        self._review(known, now_ms)
        times = self.times_of(record.service)
        requests, age_ms, told_age_ms = self._requests(view, known, now_ms)
        own, peers = known.own, known.all
        last = priority + 1
        peer_ahead = sum(peers.requests[:last])
        peer_tokens = sum(peers.prefill_tokens[:last])
        slots = max(1, record.slots)
        pace = 1.0
        if told_age_ms <= MAX_TOLD_AGE_MS:
            slots = min(slots, known.told[2] or slots)
            pace = (known.told[3] or 100) / 100
        ahead = sum(own.requests[:last]) + peer_ahead
        not_begun = sum(own.requests) + sum(peers.requests)
        if not_begun > requests:
            # The server told after the peers' reports that it holds fewer requests.
            peer_tokens *= requests / not_begun
            ahead *= requests / not_begun
            not_begun = requests
        prompt_tokens = 0
        if metadata is not None:
            prompt_tokens = max(0, (metadata.prompt_tokens or 0) - cached_tokens)
        if peer_tokens:
            # Of an old backlog most was prefilled since, unless it waits for slots.
            queued_ms = max(0, requests - slots) * pace * times.run_ms / slots
            lasts_ms = queued_ms + pace * times.start_ms(peer_tokens)
            peer_tokens *= math.exp((known.counted_ms - now_ms) / lasts_ms)
        tokens = peer_tokens + sum(own.prefill_tokens[:last]) + prompt_tokens
        excess = expected_excess(
            requests - not_begun + ahead + 1 - slots,
            requests * min(1.0, age_ms / times.run_ms),
        )
        result = StartEstimate(
            0.0,
            age_ms,
            min(requests, slots),
            max(0, requests - slots),
            tokens,
            pace,
            slots,
            excess * pace * times.run_ms / slots,
            own.tokens + peers.tokens,
        )
        result.prompt_ms = result.slowdown * prompt_tokens * times.ms_per_token
        # A request that names no model gets its answer as a whole.
        start_ms = times.run_ms if metadata is None else times.start_ms(tokens)
        result.first_event_ms = result.slot_wait_ms + result.slowdown * start_ms
        return result

    def _requests(self, view, known, now_ms):
        """Return the requests at a server, the age of this count and of what it told.

        The newer one of the servers' and the VMs' counts is used.
        """
        counted_age_ms = 0.0
        if view.peer_requests:
            counted_age_ms = max(0.0, now_ms - known.counted_ms)
        counted = view.load
        told_age_ms = max(0.0, now_ms - known.told_ms)
        running, waiting = known.told[:2]
        if (
            running is None
            or waiting is None
            or told_age_ms > min(MAX_TOLD_AGE_MS, counted_age_ms)
        ):
            return counted, min(counted_age_ms, MAX_TOLD_AGE_MS), told_age_ms
        told = running + waiting
        for at_ms, change in known.changes:
            if at_ms > known.told_ms:
                told += change
        # Requests that have got this server, but whose connection is still opened.
        told += max(0, view.own_requests - len(known.sent))
        return max(told, view.own_requests), told_age_ms, told_age_ms

    def room_wait_ms(self, view, estimate, metadata, priority):
        """Return the time until a server has room for a request; 0 if it has now."""
        service = view.record.service
        return room_wait_ms(
            estimate,
            self.times_of(service),
            self._kv_tokens.get(service, 0),
            metadata,
            priority,
        )

    # Exchange with peers.

    def set_counted(self, peers, zone_peers):
        """Set whose requests count, and which of these VMs are in this VM's zone."""
        peers, zone_peers = frozenset(peers), frozenset(zone_peers)
        if (peers, zone_peers) == (self._counted, self._zone):
            return
        self._counted, self._zone = peers, zone_peers
        for known in self._servers.values():
            if known.peers:
                known.all, known.zone = Backlog(), Backlog()
                for peer, backlog in known.peers.items():
                    self._add(known, peer, backlog)
                known.version = self._counter.next()

    def _add(self, known, peer, backlog, sign=1):
        if peer in self._counted:
            known.all.add(backlog, sign)
            if peer in self._zone:
                known.zone.add(backlog, sign)

    def remove_peer(self, peer):
        """Forget the requests that a peer reported."""
        for known in self._servers.values():
            backlog = known.peers.pop(peer, None)
            if backlog is not None:
                self._add(known, peer, backlog, -1)
                known.version = self._counter.next()

    def part_since(self, since_version, now_ms, receiver="", scope=OWN):
        """Return the `LoadPart` of changes after a version, or None.

        Parameters
        ----------
        since_version : int
        now_ms : float
        receiver : str, optional
            VM whose own requests are left out.
        scope : str, optional
            Whose requests to report, for example `OWN`.
        """
        if not self._services:
            return None
        told, backlogs = [], []
        for server, known in self._servers.items():
            self._review(known, now_ms)
            told_age_ms = now_ms - known.told_ms
            if known.told_version > since_version and told_age_ms <= MAX_TOLD_AGE_MS:
                told.append([*server, *known.told, max(0, round(told_age_ms))])
            version = known.own_version if scope == OWN else known.version
            if version <= since_version:
                continue
            backlog, age_ms = self._backlog_for(known, receiver, scope, now_ms)
            # An empty one as well: the receiver may have one that was not empty.
            waiting = backlog.waiting_value()
            backlogs.append([*server, age_ms, backlog.tokens, waiting])
        services = [
            n for n, version in self._services.items() if version > since_version
        ]
        if not (services or told or backlogs):
            return None
        return LoadPart(services, told, backlogs)

    def _backlog_for(self, known, receiver, scope, now_ms):
        if scope == OWN or not known.peers:
            return known.own, 0
        backlog = Backlog()
        backlog.add(known.own)
        backlog.add(known.zone if scope == ZONE else known.all)
        counted = self._zone if scope == ZONE else self._counted
        if receiver in counted and receiver in known.peers:
            backlog.add(known.peers[receiver], -1)
        age_ms = min(MAX_TOLD_AGE_MS, max(0.0, now_ms - known.counted_ms))
        return backlog, round(age_ms)

    def apply(self, part, peer, now_ms):
        """Apply what a peer reported."""
        for service in part.services:
            if service not in self._services:
                self._services[service] = self._counter.next()
        for *server, running, waiting, slots, pace_percent, age_ms in part.told:
            told_ms = now_ms - max(0.0, age_ms)
            known = self._server(tuple(server))
            self._set_told(known, (running, waiting, slots, pace_percent), told_ms)
        for *server, age_ms, tokens, waiting in part.backlogs:
            known = self._server(tuple(server))
            backlog = Backlog()
            backlog.tokens = tokens
            for priority, requests, prefill_tokens in waiting:
                priority = min(priority, LOWEST_PRIORITY)
                backlog.requests[priority] += requests
                backlog.prefill_tokens[priority] += prefill_tokens
            before = known.peers.pop(peer, None)
            if before is not None:
                self._add(known, peer, before, -1)
            if tokens or waiting:
                known.peers[peer] = backlog
                self._add(known, peer, backlog)
            known.counted_ms = max(known.counted_ms, now_ms - max(0.0, age_ms))
            known.version = self._counter.next()
