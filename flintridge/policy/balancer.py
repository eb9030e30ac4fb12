"""The decisions of a node: the server for a request, retries, rejections. Why: docs/design/policy.md."""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from flintridge import api
from flintridge.api import NEVER_EXECUTED, AttemptEnded, Effect, EndpointState, Outcome, UpdateKind
from flintridge.policy.concurrency_limiter import NS_PER_MS, Attempt, ConcurrencyLimiter, OpenRequest
from flintridge.policy.hash_ring import NUMBER_MASK, POINTS, HashRing, place_of

NS_PER_S = 1000 * NS_PER_MS
SLOW_FRACTION = 0.5  # an attempt that takes more of its latency objective counts as slow
RECOVERED_AFTER_NS = 5 * NS_PER_S  # since a limit last decreased: there is capacity for more than is needed
MIN_FLOOR = 0.1  # of a limit: enough to notice a recovery
LOAD_SLACK = 0.5  # a server may have this much more in flight than the average
MIN_CAP = 2  # a node with about one attempt at a server can't tell a second one from chance
FRACTIONS_MAX_AGE_NS = 500 * NS_PER_MS  # a server's own outcomes count at once
MIN_HEALTH = 0.1  # what an unhealthy server keeps of its keys and cap, to be tried on
HEALTHY_COST_FACTOR = 1.3  # up to this multiple of the fleet's cost a server is healthy
UNHEALTHY = 0.5  # below this health a server's failures are its own
PRIOR_OUTCOMES = 2.0  # like those of its kind, that a server is credited with before its own
EVIDENCE_HALF_LIFE_NS = 5 * NS_PER_S
MALFORMED_COST_FACTOR = 2.0  # of the usual cost
RESET_COST_FACTOR = 4.0
SLOW_START_BUDGET_FRACTION = 0.5  # of what rule 4 allows: the estimate of capacity may be that far off
QUOTA_SLACK = 1.5  # a node's fraction of a tenant's traffic may be this much over the mean
MIN_DEPTH_TOKENS = 8.0  # with few requests a second, chance alone bunches them
RETRY_BUDGET = -1  # its bucket, among those of the tenants
TIMEOUT_LATENCY_FACTOR = 4.0  # times the usual latency: an attempt may take as long at the least
CONNECT_BACKOFF_NS = NS_PER_S  # to a server that could not be connected to, at first
CONNECT_BACKOFF_MAX_NS = 16 * CONNECT_BACKOFF_NS
NO_RESPONSE = (Outcome.TIMEOUT, Outcome.RESET)
NO_SIGN_OF_LOAD = (Outcome.CANCELLED, Outcome.WITHDRAWN, Outcome.CONNECT_FAILED)
STALL_ALLOWANCE_MS = 150.0  # a node may be held up for so long between a look at the clock and a write
STALE_EVIDENCE_NS = 20 * NS_PER_S  # connections that are dropped unseen are looked for again after this


@dataclass(slots=True, eq=False)
class Server:
    """What this node knows of one server; cache servers and origins alike."""

    endpoint: api.Endpoint
    number: int  # on the ring
    inflight: int = 0  # this node's attempts
    cost: float = 0.0  # mean time for each unit of expected work; failures count as slow
    evidence: float = 0.0  # outcomes behind the cost, at `cost_at`
    cost_at: int = 0
    used_at: int = 0  # its connection, last; 0: there may be none
    connect_failures: int = 0  # in a row
    backoff_until: int = 0
    recent_sends: deque[tuple[int, float]] = field(default_factory=deque)  # while warming up, with their work
    recent_work: float = 0.0
    admission_draw: float = 0.0  # while warming up: of this rule window's first send, 0 to 1
    draw_expires_at: int = 0


def fingerprint(event: api.RequestReceived) -> tuple[int, int, str | None, int | None]:
    return event.class_index, event.tenant, event.key, event.work_ns  # what a retry has in common with it


def less_stall(span_ns: int) -> int:
    """How much of a drain's grace or a deduplication window a write may be decided in, in nanoseconds.

    A stall right behind the last look at the clock then still ends within the span. Spans go down to 300 ms,
    so the allowance takes no more than a half: with less of a window left no repeat would ever be sent.
    """
    return span_ns - min(int(STALL_ALLOWANCE_MS * NS_PER_MS), span_ns // 2)


class Balancer:
    """The decisions of one node: events in, actions out; only `handle` is called from outside."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[api.Action] = []
        self.timers: dict[int, Callable[[], None]] = {}
        self.order = itertools.count()  # of timers, and of requests that wait
        self.watch_failures = 0
        self.servers: dict[str, Server] = {}  # every listed one, and those gone with attempts in flight
        self.names: list[str] = []  # of servers by number; a free number stands for none
        self.free_numbers: list[int] = []
        self.ring = HashRing()
        self.ready: list[str] = []  # cache servers on the ring
        self.origins: list[str] = []
        self.origin_kind = settings.origin_kind if settings.mode is api.CacheMode.ASIDE else None
        self.max_weight = 0.0  # of a cache server ever listed
        self.mean_weight = 1.0  # of those ready
        self.caches = ConcurrencyLimiter(4.0)
        self.origin = ConcurrencyLimiter(8.0)
        self.open_requests: dict[str, OpenRequest] = {}
        self.fetches: dict[str, list[OpenRequest]] = {}  # keys that are being fetched, and who waits for them
        self.rejected: dict[tuple[int, int, str | None, int | None], tuple[int, bool]] = {}  # by fingerprint
        even = QUOTA_SLACK / settings.fleet_size
        self.rates_per_s = {i: even * tenant.quota_per_s for i, tenant in enumerate(settings.tenants)}
        self.buckets: dict[int, tuple[float, int]] = {}  # tokens of each tenant, and at which time
        self.admitted_over_quota = 1.0  # fraction of what is beyond quotas
        self.allocation = api.AllocationUpdate()
        self.idle_outcomes: deque[tuple[int, int, bool]] = deque(maxlen=16)  # at, idle before, lost
        self.stale_after_ns = math.inf  # connections are closed once they are idle for longer
        self.fleet_cost: float | None = None
        self.success_cost: float | None = None  # of attempts that did not fail, at whichever server
        self.kind_costs: dict[int, float] = {}  # of machines of a kind, while they are well
        self.fractions: dict[str, float] = {}  # of keys and cap, of each ready server
        self.fraction_sum = 0.0
        self.fractions_fresh_until = 0
        self.mean_work = 0.0  # of requests
        self.warm_work = 0.0  # that this node saw a warm server do in a rule window, at the most
        self.window_started_at = 0
        self.window_work = 0.0  # of all warm servers
        self.handlers: dict[type, Callable[..., None]] = {  # health checks and peers' messages are not used
            api.EndpointUpdate: self.on_endpoints,
            api.RequestReceived: self.on_request,
            api.AttemptEnded: self.on_attempt_ended,
            api.StreamStarted: self.on_finished,
            api.ClientDisconnected: self.on_finished,
            api.TimerFired: self.on_timer,
            api.AllocationUpdate: self.on_allocation,
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """The actions to carry out, in order; `now` is in nanoseconds."""
        self.now = now
        self.actions = []
        if now >= self.allocation.valid_until and self.allocation.fallback:
            self.on_allocation(self.allocation.fallback)
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        return self.actions

    def on_endpoints(self, event: api.EndpointUpdate) -> None:
        is_polled = self.settings.discovery is api.DiscoveryMode.POLLED
        if event.kind is UpdateKind.FAILED:
            self.watch_failures += 1
            pause_ms = self.random.uniform(250, 500) * 2 ** min(self.watch_failures - 1, 2 * is_polled)
            self.set_timer(self.now + int(pause_ms * NS_PER_MS), lambda: self.actions.append(api.Watch()))
            return
        self.watch_failures = 0
        listed = {endpoint.server: endpoint for endpoint in event.endpoints}
        if event.kind is not UpdateKind.DELTA:
            listed |= {s: api.Endpoint(s, EndpointState.GONE) for s in self.servers if s not in listed}
        for endpoint in listed.values():
            self.update_server(endpoint)
        self.list_ready()
        for server in [s for s in self.servers.values() if s.endpoint.state is EndpointState.GONE]:
            self.forget_unused(server)
        if event.kind is UpdateKind.CACHED and is_polled:
            self.actions.append(api.Watch())

    def update_server(self, endpoint: api.Endpoint) -> None:
        server = self.servers.get(endpoint.server)
        if server is not None:
            if endpoint.state is EndpointState.GONE:
                endpoint = replace(server.endpoint, state=EndpointState.GONE, started_at=0)
            elif endpoint.started_at != server.endpoint.started_at:
                server.backoff_until = 0
            server.endpoint = endpoint
        elif endpoint.state is not EndpointState.GONE:
            number = self.free_numbers.pop() if self.free_numbers else len(self.names)
            self.servers[endpoint.server] = Server(endpoint, number)
            self.names[number : number + 1] = [endpoint.server]

    def forget_unused(self, server: Server) -> None:  # guards a long day, with ever new ids
        if server.endpoint.state is EndpointState.GONE and server.inflight == 0:
            self.free_numbers.append(server.number)
            del self.servers[server.endpoint.server]

    def list_ready(self) -> None:
        ready = [s for s in self.servers.values() if s.endpoint.state is EndpointState.READY]
        self.origins = sorted(s.endpoint.server for s in ready if s.endpoint.kind == self.origin_kind)
        caches = [s for s in ready if s.endpoint.kind != self.origin_kind]
        self.ready = [s.endpoint.server for s in caches]
        weights = [s.endpoint.weight for s in caches if s.endpoint.weight > 0]
        if weights:
            self.max_weight = max(self.max_weight, *weights)
            self.mean_weight = sum(weights) / len(weights)
        self.fractions_fresh_until = 0
        self.set_floors()
        if self.caches.doubling:
            self.caches.limit = max(self.caches.limit, 2.0 * len(self.ready))
        self.ring.replace({s.endpoint.server: s.number for s in caches})

    def set_floors(self) -> None:  # all nodes' floors together admit one attempt a server
        even = len(self.ready) / self.settings.fleet_size
        for limiter, servers in ((self.caches, even), (self.origin, min(2.0, even))):
            limiter.floor = max(MIN_FLOOR, servers * self.allocation.concurrency_floors)
            limiter.step = min(1.0, limiter.floor)

    def limiter_for(self, asks_origin: bool) -> ConcurrencyLimiter:
        return self.origin if asks_origin and self.origin_kind is not None else self.caches

    def limiter_of(self, server: Server) -> ConcurrencyLimiter:
        return self.origin if server.endpoint.kind == self.origin_kind else self.caches

    def on_request(self, event: api.RequestReceived) -> None:
        if event.id in self.open_requests:
            return
        request_class = self.settings.classes[event.class_index]
        work = 1.0 if event.work_ns is None else event.work_ns / NS_PER_MS
        slow_after_ns = SLOW_FRACTION * request_class.latency_objective_ns
        request = OpenRequest(event, request_class, slow_after_ns, work, self.now, self.now)
        self.open_requests[event.id] = request
        self.mean_work = self.mean_work + 0.05 * (work - self.mean_work) if self.mean_work else work
        may_be_retry = event.retry or event.work_ns is not None
        rejected = self.rejected.pop(fingerprint(event), None) if may_be_retry else None
        is_strict = self.allocation.strict_quotas
        is_known = rejected is not None and self.now < rejected[0] + request_class.deadline_ns
        if rejected is not None and is_known:
            request.first_arrived_at, request.over_quota = rejected
        if not is_known or is_strict:
            request.over_quota = not self.try_take_token(event.tenant)
        if request.over_quota and (is_strict or self.random.random() >= self.admitted_over_quota):
            self.reject_or_fail(request)
        else:
            self.enqueue(request, self.limiter_for(request.event.write))

    def enqueue(self, request: OpenRequest, limiter: ConcurrencyLimiter) -> None:  # sends where it may
        limiter.push(request, self.priority(request), next(self.order))
        self.admit(limiter)
        self.wait(request.event.id)

    def wait(self, request_id: str) -> None:  # rejects early what could not be answered in time
        request = self.open_requests.get(request_id)
        if request is None or request.limiter is None or request.done:
            return
        latest = request.limiter.latest_start(request)
        if latest <= self.now:
            self.reject_or_fail(request)
        else:
            self.set_timer(latest, partial(self.wait, request_id))

    def priority(self, request: OpenRequest) -> float:  # weight for each unit of work
        weight = request.request_class.priority_weight
        if request.over_quota:
            weight *= self.settings.over_quota_weight
        mean_latency_ns = max(self.caches.mean_latency_ns(request), NS_PER_MS)
        return weight if self.settings.weight_by_work else weight / mean_latency_ns

    def on_allocation(self, event: api.AllocationUpdate) -> None:
        self.buckets = {
            tenant: (self.tokens(tenant), self.now) for tenant in self.buckets
        }  # by the old rates
        self.allocation = event
        self.rates_per_s[RETRY_BUDGET] = event.retries_per_s
        self.caches.max_permits = event.cache_permits
        self.origin.max_permits = event.origin_permits
        self.set_floors()

    def try_take_token(self, tenant: int) -> bool:
        if not self.rates_per_s.get(tenant):
            return True
        tokens = self.tokens(tenant)
        self.buckets[tenant] = (tokens - 1 if tokens >= 1 else tokens, self.now)
        return tokens >= 1

    def rate_per_s(self, tenant: int) -> float:
        return self.rates_per_s.get(tenant, 0.0) * self.allocation.tenants.get(tenant, 1.0)

    def tokens(self, tenant: int) -> float:
        rate_per_s = self.rate_per_s(tenant)
        depth = max(MIN_DEPTH_TOKENS, rate_per_s)
        tokens, at = self.buckets.get(tenant, (depth, self.now))
        return min(depth, tokens + rate_per_s * (self.now - at) / NS_PER_S)

    def admit_all(self) -> None:
        self.admit(self.caches)
        self.admit(self.origin)

    def admit(self, limiter: ConcurrencyLimiter) -> None:
        passed: list[tuple[float, int, OpenRequest]] = []
        while limiter.queue and limiter.has_permit(self.now) and len(passed) < 4:
            entry = heapq.heappop(limiter.queue)
            request = entry[2]
            if request.limiter is not limiter:
                continue
            if limiter.latest_start(request) < self.now:
                self.reject_or_fail(request)
            elif limiter is self.origin:
                self.admit_at_origin(request)
            else:
                server = self.pick(request)
                if server is None:
                    passed.append(entry)
                else:
                    self.send(request, server)
        for entry in passed:
            heapq.heappush(limiter.queue, entry)
        if limiter.queue and limiter.inflight == 0 and self.now < limiter.next_at != limiter.timer_at:
            limiter.timer_at = limiter.next_at
            self.set_timer(limiter.next_at, self.admit_all)

    def admit_at_origin(self, request: OpenRequest) -> None:  # one fetch for each key
        key = None if request.event.write else request.event.key
        server = next((name for name in self.origins if name not in request.failed_servers), None)
        if key is not None and key in self.fetches:
            self.fetches[key].append(request)
        elif server is None:
            self.reject_or_fail(request)
        else:
            self.send(request, server)
            if key is not None and not request.done:
                self.fetches[key] = []

    def end_fetch(self, request: OpenRequest, outcome: Outcome) -> None:  # its followers go on
        is_stored = outcome is Outcome.OK and request.missed_at is not None
        key = "" if request.event.write else request.event.key or ""
        for follower in self.fetches.pop(key, []):
            if follower.limiter is self.origin and not follower.done:
                if is_stored:
                    follower.preferred = request.missed_at
                self.enqueue(follower, self.caches if is_stored else self.origin)

    def pick(self, request: OpenRequest) -> str | None:  # the first clockwise that is below its cap
        if not self.ready:
            return None
        if self.now >= self.fractions_fresh_until:
            self.refresh_fractions()
        fractions = self.fractions
        average = (self.caches.inflight + 1) / self.fraction_sum
        seen = set(request.failed_servers)
        preferred = request.preferred
        if preferred in fractions and preferred not in seen and self.is_free(preferred, request, average):
            return preferred
        backing_off: str | None = None  # the last resort
        remaining = len(fractions) - sum(name in fractions for name in seen)
        for entry in self.ring.walk(place_of(request.event.key or request.event.id)):
            if not remaining:
                break
            name = self.names[entry >> 8 & NUMBER_MASK]
            server = self.servers[name]
            if name in seen or entry & 0xFF >= fractions[name] * self.weight_root(server) * POINTS:
                continue
            seen.add(name)
            remaining -= 1
            if server.backoff_until > self.now:
                backing_off = backing_off or name
            elif self.is_free(name, request, average):
                return name
        return backing_off

    def is_free(self, name: str, request: OpenRequest, average: float) -> bool:
        server = self.servers[name]
        fraction = self.fractions[name]
        minimum = MIN_CAP if fraction >= UNHEALTHY * self.weight_root(server) else 1
        cap = max(minimum, math.ceil((1 + LOAD_SLACK) * average * fraction))
        return server.inflight < cap and self.is_within_budget(server, request)

    def weight_root(self, server: Server) -> float:  # it counts for its points, and for its cap
        weight = server.endpoint.weight
        return math.sqrt(min(1.0, weight / self.max_weight)) if weight and self.max_weight else 1.0

    def fraction(self, server: Server) -> float:  # of keys and cap
        return self.warmth(server) * self.health(server) * self.weight_root(server)

    def refresh_fractions(self) -> None:  # not for each request: in a large fleet that costs CPU
        baseline = self.fleet_cost
        if baseline:  # that of the server a third from the best: a lost zone must not pass for usual
            costs = sorted(self.likely_cost(self.servers[name], baseline) for name in self.ready)
            self.fleet_cost = costs[len(costs) // 3]
        self.fractions = {name: self.fraction(self.servers[name]) for name in self.ready}
        self.fraction_sum = sum(self.fractions.values())
        self.fractions_fresh_until = self.now + FRACTIONS_MAX_AGE_NS

    def health(self, server: Server) -> float:  # from MIN_HEALTH to 1
        if not self.fleet_cost:
            return 1.0
        health = HEALTHY_COST_FACTOR * self.fleet_cost / self.likely_cost(server, self.fleet_cost)
        return min(1.0, max(MIN_HEALTH, health))

    def likely_cost(self, server: Server, baseline: float) -> float:  # its own, its kind's or `baseline`
        evidence = self.evidence(server)
        prior = PRIOR_OUTCOMES * self.kind_costs.get(server.endpoint.kind, baseline)
        return (evidence * server.cost + prior) / (evidence + PRIOR_OUTCOMES)

    def evidence(self, server: Server) -> float:  # it fades
        return server.evidence * math.pow(0.5, (self.now - server.cost_at) / EVIDENCE_HALF_LIFE_NS)

    def record_cost(self, server: Server, request: OpenRequest, event: AttemptEnded, failed: bool) -> None:
        expected_ns = request.event.work_ns or self.caches.mean_latency_ns(request)
        if not expected_ns:
            return
        cost = event.latency_ns / expected_ns
        baseline = self.success_cost or cost  # not with failures: costs rose without end
        highest = baseline * HEALTHY_COST_FACTOR / MIN_HEALTH
        if failed:
            cost = highest
        elif event.malformed:
            cost = max(cost, MALFORMED_COST_FACTOR * baseline)
        elif event.outcome is Outcome.RESET:
            cost = max(cost, RESET_COST_FACTOR * baseline)
        else:
            cost = min(cost, highest)
            self.success_cost = baseline + 0.03 * (cost - baseline)
            kind_cost = self.kind_costs.get(server.endpoint.kind, cost)
            self.kind_costs[server.endpoint.kind] = kind_cost + 0.03 * (cost - kind_cost)
        cost = min(cost, highest)
        evidence = min(9.0, self.evidence(server))
        server.cost += (cost - server.cost) / (evidence + 1)
        server.evidence = evidence + 1
        server.cost_at = self.now
        if self.fleet_cost is None:
            self.fleet_cost = cost
        name = server.endpoint.server
        if name in self.fractions:
            fraction = self.fraction(server)
            self.fraction_sum += fraction - self.fractions[name]
            self.fractions[name] = fraction

    def warmth(self, server: Server) -> float:  # the fraction of its capacity that it has by now
        rules = self.settings.rules
        age_ns = self.now - server.endpoint.started_at
        if server.endpoint.started_at == 0 or age_ns >= rules.slow_start_ns:
            return 1.0
        minimum = rules.slow_start_fraction
        return minimum + (1 - minimum) * max(age_ns, 0) / rules.slow_start_ns

    def is_within_budget(self, server: Server, request: OpenRequest) -> bool:  # while it is warming up
        rules = self.settings.rules
        warmth = self.warmth(server)
        if warmth == 1 or not rules.overload_multiple or not rules.overload_window_ns:
            return True
        while server.recent_sends and server.recent_sends[0][0] <= self.now - rules.overload_window_ns:
            server.recent_work -= server.recent_sends.popleft()[1]
        weight = (server.endpoint.weight or self.mean_weight) / self.mean_weight
        budget = SLOW_START_BUDGET_FRACTION * rules.overload_multiple * warmth * self.node_work() * weight
        if server.recent_sends:
            return server.recent_work + request.work <= budget
        server.recent_work = 0.0  # less than one request is kept by chance
        if self.now >= server.draw_expires_at:
            server.admission_draw = self.random.random()
            server.draw_expires_at = self.now + rules.overload_window_ns
        return server.admission_draw * max(self.mean_work, request.work) <= budget

    def node_work(self) -> float:  # this node's part of what a warm server can do in a rule window
        window_ns = self.settings.rules.overload_window_ns
        quotas = sum(tenant.quota_per_s for tenant in self.settings.tenants)
        requests = quotas * window_ns / NS_PER_S / max(1, len(self.ready))
        if not requests:  # less than one within the shortest objective would be of no use
            requests = window_ns / max(1, min(each.latency_objective_ns for each in self.settings.classes))
        even = requests * self.mean_work / self.settings.fleet_size
        return max(self.warm_work, even * self.allocation.slow_start)

    def record_served(self, server: Server, request: OpenRequest) -> None:
        window_ns = self.settings.rules.overload_window_ns
        if not window_ns or self.warmth(server) < 1:
            return
        age_ns = self.now - self.window_started_at
        if age_ns >= window_ns:
            warm = sum(self.warmth(self.servers[name]) == 1 for name in self.ready)
            if warm and self.window_started_at:
                self.warm_work = max(self.window_work / warm * window_ns / age_ns, 0.9 * self.warm_work)
            self.window_started_at = self.now
            self.window_work = 0.0
        self.window_work += request.work

    def send(self, request: OpenRequest, name: str) -> None:
        request.limiter = None
        server = self.servers[name]
        if not self.may_send(request, server):
            self.reject_or_fail(request)
            return
        idle_ns = 0 if server.inflight else self.now - server.used_at if server.used_at else None
        if idle_ns is not None and idle_ns > min(self.stale_after_ns, self.settings.limits.conn_idle_ns):
            self.actions.append(api.CloseIdleConnections(name))
            idle_ns = None
        if not request.attempts and self.allocation.retries_per_attempt:
            tokens = self.tokens(RETRY_BUDGET) + self.allocation.retries_per_attempt
            self.buckets[RETRY_BUDGET] = (tokens, self.now)
        request.attempts.append(Attempt(name, self.now, idle_ns))
        server.inflight += 1
        limiter = self.limiter_of(server)
        limiter.inflight += 1
        limiter.peak_inflight = max(limiter.peak_inflight, limiter.inflight)
        if limiter is self.caches and self.warmth(server) < 1:
            server.recent_sends.append((self.now, request.work))
            server.recent_work += request.work
        grace_ns = less_stall(self.settings.rules.drain_grace_ns)  # of a drain that is notified now
        begin_by = self.now + (grace_ns or math.inf)
        timeout_ns = self.attempt_timeout_ns(request, limiter)
        self.actions.append(api.Send(request.event.id, name, timeout_ns, begin_by, self.repeat_by(request)))

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.open_requests.get(event.id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.open:
            return
        attempt.open = False
        attempt.withdrawn = event.outcome is Outcome.WITHDRAWN
        server = self.servers[attempt.server]
        server.inflight -= 1
        self.forget_unused(server)
        limiter = self.limiter_of(server)
        limiter.release(self.now, event.latency_ns)
        self.record(request, attempt, server, event)
        if event.outcome is Outcome.MISS and request.missed_at is None:
            request.missed_at = attempt.server
        if limiter is self.origin:
            self.end_fetch(request, event.outcome)
        if event.outcome not in NEVER_EXECUTED and request.executed_at is None:
            request.executed_at = attempt.sent_at
            request.executed_by = server.endpoint
        if event.final or request.done:
            self.finish(request)
        elif not any(each.open for each in request.attempts):
            self.next_step(request, attempt, event)
        self.admit(limiter)

    def record(self, request: OpenRequest, attempt: Attempt, server: Server, event: AttemptEnded) -> None:
        limiter = self.limiter_of(server)
        outcome = event.outcome
        succeeded = outcome in (Outcome.OK, Outcome.MISS)
        failed = not (succeeded or event.malformed or outcome is Outcome.RESET)
        is_stale = outcome in NO_RESPONSE and (attempt.idle_ns or 0) > self.stale_after_ns
        is_load = outcome not in NO_SIGN_OF_LOAD and not is_stale
        if succeeded or (is_load and self.health(server) >= UNHEALTHY):
            waited_ns = event.latency_ns - (request.event.work_ns or 0)  # a heavy request is no sign of load
            if attempt.idle_ns is None and limiter is self.caches:
                waited_ns -= self.settings.limits.connect_timeout_ns
            is_slow = failed or waited_ns > request.slow_after_ns
            is_bad_round = limiter.record(self.now, is_slow, attempt.sent_at)
            if is_bad_round:
                self.admitted_over_quota /= 2
            elif is_bad_round is not None:
                self.admitted_over_quota = min(1.0, self.admitted_over_quota + 0.05)
        if limiter is self.caches:
            self.record_idle(server, attempt, outcome)
            self.record_connect(server, outcome)
            if not is_stale and outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL, *NO_RESPONSE):
                self.record_cost(server, request, event, failed)
        if outcome is Outcome.OK:
            limiter.record_latency(request, event.latency_ns)
            if limiter is self.caches:
                self.record_served(server, request)

    def record_connect(self, server: Server, outcome: Outcome) -> None:  # exponential backoff with jitter
        if outcome is Outcome.CONNECT_FAILED:
            server.connect_failures += 1
            backoff_ns = min(CONNECT_BACKOFF_NS * 2 ** (server.connect_failures - 1), CONNECT_BACKOFF_MAX_NS)
            server.backoff_until = self.now + int(backoff_ns * self.random.uniform(0.5, 1))
        elif outcome not in (Outcome.CANCELLED, Outcome.WITHDRAWN, Outcome.TIMEOUT):
            server.connect_failures = server.backoff_until = 0

    def record_idle(self, server: Server, attempt: Attempt, outcome: Outcome) -> None:
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            server.used_at = 0
        elif outcome not in (Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.WITHDRAWN):
            server.used_at = self.now
        lost = outcome in NO_RESPONSE
        if lost or outcome in (Outcome.OK, Outcome.MISS):
            self.idle_outcomes.append((self.now, attempt.idle_ns or 0, lost))
            self.detect_stale_connections(self.now - STALE_EVIDENCE_NS)

    def detect_stale_connections(self, since: int) -> None:  # the network drops idle ones unseen
        self.stale_after_ns = math.inf
        all_lost = sum(lost for at, _, lost in self.idle_outcomes if at > since)
        if all_lost < 2:
            return
        recent = sorted(((idle, lost) for at, idle, lost in self.idle_outcomes if at > since), reverse=True)
        lost_here = 0  # of those idle for as long or longer
        for count, (idle_ns, lost) in enumerate(recent, 1):
            lost_here += lost
            is_distinct = lost_here > count / 2 and all_lost - lost_here <= (len(recent) - count) / 4
            if lost and idle_ns and lost_here >= 2 and is_distinct:
                self.stale_after_ns = 0.8 * idle_ns

    def next_step(self, request: OpenRequest, attempt: Attempt, event: AttemptEnded) -> None:  # or the end
        missed = event.outcome is Outcome.MISS
        is_retry = not attempt.withdrawn and not missed
        if self.now >= request.event.deadline or (is_retry and not self.try_take_token(RETRY_BUDGET)):
            self.reject_or_fail(request)
        elif self.limiter_for(missed or self.is_last(request)) is self.origin:
            self.enqueue(request, self.origin)  # the last attempt is kept for it: another cache can only miss
        elif attempt.withdrawn and attempt.server in self.origins:
            self.enqueue(request, self.origin)
        else:
            is_broken = event.malformed or event.outcome in (Outcome.RESET, Outcome.WITHDRAWN)
            is_lost = attempt.server in self.origins and event.outcome is not Outcome.FULL
            may_be_repeated = (is_broken or is_lost) and attempt.server not in request.repeated_servers
            if may_be_repeated:
                request.repeated_servers.append(attempt.server)
            elif not attempt.withdrawn or set(self.ready) - {attempt.server, *request.failed_servers}:
                request.failed_servers.append(attempt.server)  # unless it is the only one, and no fault of it
            self.enqueue(request, self.limiter_for(request.event.write))

    def is_last(self, request: OpenRequest) -> bool:
        return request.attempts_made >= self.settings.limits.max_attempts - 1

    def repeat_by(self, request: OpenRequest) -> float:  # until when it may be sent again
        request_class = request.request_class
        if request.executed_at is None or request_class.effect is Effect.SAFE:
            return math.inf
        is_keyed = request_class.effect is Effect.KEYED
        return request.executed_at + (less_stall(request_class.deduplication_window_ns) if is_keyed else -1)

    def is_repeatable(self, request: OpenRequest) -> bool:  # at whichever server
        request_class = request.request_class
        if request_class.effect is Effect.KEYED:
            is_everywhere = request_class.deduplication_scope is api.DeduplicationScope.ALL
            return is_everywhere and self.now <= self.repeat_by(request)
        return request_class.effect is Effect.SAFE

    def may_send(self, request: OpenRequest, server: Server) -> bool:  # by rule 2, and in time
        is_late = self.now >= request.event.deadline or self.now > self.repeat_by(request)
        if is_late or request.attempts_made >= self.settings.limits.max_attempts:
            return False
        first = request.executed_by
        if first is None or self.is_repeatable(request):
            return True
        if request.request_class.deduplication_scope is api.DeduplicationScope.ZONE:
            return first.zone == server.endpoint.zone
        return first.cell == server.endpoint.cell

    def attempt_timeout_ns(self, request: OpenRequest, limiter: ConcurrencyLimiter) -> int:  # 0: none
        is_recovered = self.now > limiter.decreased_at + RECOVERED_AFTER_NS or self.stale_after_ns < math.inf
        if self.is_last(request) or not is_recovered or not self.is_repeatable(request):
            return 0
        request_class = request.request_class
        slow_ns = (request.event.work_ns or 0) + int(request.slow_after_ns)
        timeout_ns = max(slow_ns, int(TIMEOUT_LATENCY_FACTOR * limiter.mean_latency_ns(request)))
        is_in_time = timeout_ns <= limiter.latest_start(request) - self.now
        window_ns = less_stall(request_class.deduplication_window_ns)
        is_safe = request_class.effect is Effect.SAFE or timeout_ns < window_ns
        return timeout_ns if is_in_time and is_safe else 0

    def reject_or_fail(self, request: OpenRequest) -> None:  # rejects where a repeat is harmless
        newest = fingerprint(request.event)
        self.rejected.pop(newest, None)
        self.rejected[newest] = (request.first_arrived_at, request.over_quota)
        for oldest in list(itertools.islice(self.rejected, 2)):
            if self.now >= self.rejected[oldest][0] + self.settings.classes[oldest[0]].deadline_ns:
                del self.rejected[oldest]
        if len(self.rejected) > self.settings.limits.max_open:
            del self.rejected[next(iter(self.rejected))]
        if request.executed_at is None or self.is_repeatable(request):
            self.actions.append(api.Reject(request.event.id, self.retry_after_ns(request)))
        else:
            self.actions.append(api.Fail(request.event.id))
        self.finish(request)

    def retry_after_ns(self, request: OpenRequest) -> int:  # its quota or the queue has capacity then
        limits = self.settings.limits
        rate_per_s = self.rate_per_s(request.event.tenant)
        if not limits.retry_after:
            return 0
        if request.over_quota and rate_per_s:
            tokens, at = self.buckets.get(request.event.tenant, (1.0, self.now))
            wait_ns = max(0.0, 1 - tokens) * NS_PER_S / rate_per_s - (self.now - at)
        else:
            limiter = self.limiter_for(request.event.write or request.missed_at is not None)
            waiting = max(0, len(limiter.queue) - limiter.abandoned) + limiter.inflight
            mean_latency_ns = limiter.mean_latency_ns(request, request.slow_after_ns)
            queue_ns = mean_latency_ns * waiting / max(limiter.limit, limiter.floor)
            wait_ns = max(queue_ns, limiter.next_at - self.now)
        return int(min(max(wait_ns, NS_PER_MS), limits.max_retry_after_ns))

    def finish(self, request: OpenRequest) -> None:
        request.done = True
        if request.limiter is not None:
            request.limiter.abandon()
            request.limiter = None
        if not any(attempt.open for attempt in request.attempts):
            self.open_requests.pop(request.event.id, None)

    def on_finished(self, event: api.StreamStarted | api.ClientDisconnected) -> None:
        request = self.open_requests.get(event.id)
        if request is not None:
            self.finish(request)

    def set_timer(self, at: int, call: Callable[[], None]) -> None:
        token = next(self.order)
        self.timers[token] = call
        self.actions.append(api.SetTimer(at, token))

    def on_timer(self, event: api.TimerFired) -> None:
        self.timers.pop(event.token, lambda: None)()
