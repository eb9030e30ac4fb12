"""The decisions of flintridge: bounded-load consistent hashing. The interface is in flintridge/api.py."""

import bisect
import hashlib
import heapq
import itertools
import math
import random
import struct
from array import array
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from flintridge import api
from flintridge.api import NEVER_EXECUTED, Effect, EndpointState, Outcome, UpdateKind

MS = 1_000_000
POINTS = 200  # of each server on the ring
EPSILON = 0.5  # a server may hold this much more than the average
LATE_PART = 0.5  # an attempt that takes more than this part of its class's aim counts as slow
SLOW_PART = 0.2  # of attempts that may be slow before a gate narrows
UNTRIED_PART = 0.45  # of a try's time that a request waits for its first attempt
LEAST_SHARE = 0.1  # what a sick server keeps of its keys and cap, to be tried on
HEALTHY = 1.3  # up to this multiple of the fleet's cost a server counts as well
CALM = 5000 * MS  # this long after a gate last narrowed there is room for niceties
QUOTA_SLACK = 1.5  # a router's part of a tenant's traffic may be this much over the mean part
QUOTA_LEAST = 8.0  # requests a tenant may send in a row: with few a second, chance alone bunches them
LEAST_LIMIT = 0.1  # of a gate: what it lets through is still enough to notice that things are well again
BAR = 1000 * MS  # of a server that could not be reached, at first
LONGEST_BAR = 16 * BAR
DOUBT = 2.0  # outcomes like those of its kind that a server is credited with before its own
SPOILT_COST = 2.0  # of an answer that could not be read, in multiples of the usual
BROKEN_COST = 4.0  # of a connection that broke
FADE = 5000 * MS  # half of the evidence on a server is gone after this
PATIENT = 4.0  # times the usual latency that an answer may take, at the least
SILENT = (Outcome.TIMEOUT, Outcome.RESET)
STALE_SPAN = 20_000 * MS  # a trouble of connections is looked for again after this
SHARES_AGE = 500 * MS  # a server's own outcomes count at once; costs and warm-up move slower than this
COLD_PART = 0.5  # of what rule 4 allows is used: the estimate of a server's capacity may be that far off
SICK = 0.5  # below this share of its keys a server's failures are its own
MIN_CAP = 2  # a router with about one request out a server cannot tell a second one from chance
REPEATS = -1  # the budget of repeated attempts, kept like a tenant's quota
LOW_BITS = (1 << 32) - 1  # of a ring entry: the server's number (24 bits) and the rank among its points (8)


def place_of(text: str) -> int:
    """A place on the ring, as the first entry that could stand there."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") & ~LOW_BITS


def points(server: str, number: int) -> list[int]:
    """The ring entries of a server, eight to a digest: a large fleet's ring is built often."""
    places: list[int] = []
    for i in range(POINTS // 8):
        places += struct.unpack(">8Q", hashlib.blake2b(f"{server}#{i}".encode()).digest())
    return [place & ~LOW_BITS | number << 8 | rank for rank, place in enumerate(places)]


@dataclass(slots=True, eq=False)
class Server:
    """What this router knows of one server."""

    member: api.Endpoint
    number: int  # on the ring
    inflight: int = 0  # this router's own
    cost: float = 0.0  # mean time for each unit of expected work, lately; failures count as slow
    evidence: float = 0.0  # outcomes behind it, fading with time
    cost_at: int = 0
    used_at: int = 0  # its connection, last; 0: there may be none
    unreached: int = 0  # connections that failed in a row
    barred_until: int = 0
    recent: deque[tuple[int, float]] = field(default_factory=deque)  # while cold: sends of a rule window
    recent_work: float = 0.0
    luck: float = 0.0  # while cold: of this rule window's first send, in 0 to 1
    drawn_until: int = 0


@dataclass(slots=True, eq=False)
class ConcurrencyLimiter:
    """How many attempts may be out at once at the caches, or at the origin, and who waits for a place.

    Additive increase, multiplicative decrease on the part of a round's attempts that fail or are slow. Guards
    servers against more than they can do in time: overload, retry storms, a flushed cache. It could harm
    where slow answers have nothing to do with load: it then refuses work at its floor.
    """

    limit: float
    floor: float = 1.0
    most: float = math.inf  # places: what may be out in any case
    step: float = 1.0  # what a good round adds to the limit
    inflight: int = 0
    peak: int = 0  # of what was in flight in this round
    next_at: int = 0  # with a limit under one: the next attempt may go then
    timer_at: int = 0
    narrowed_at: float = -math.inf
    starting: bool = True  # doubles until the first sign of trouble
    round_from: int = 0
    seen: int = 0
    slow: int = 0
    left: int = 0
    waiting: list[tuple[float, int, "OpenRequest"]] = field(
        default_factory=list
    )  # heap: worthiest, newest first

    def calm(self, now: int) -> bool:
        return now > self.narrowed_at + CALM

    def room(self, now: int) -> bool:
        # A limit under one is one attempt at a time with a pause after each: one out at each of hundreds of
        # routers may be more than the servers behind the gate can do.
        return self.inflight < min(self.most, max(1.0, self.limit)) and (
            self.inflight > 0 or now >= self.next_at
        )

    def ended(self, now: int, latency_ns: int) -> None:
        self.inflight -= 1
        self.next_at = now + int(latency_ns * (1 / self.limit - 1)) if self.limit < 1 else 0

    def leave(self) -> None:
        """A request that waited is finished; its entry is dropped with many others at once."""
        self.left += 1
        if self.left > 32 and self.left > len(self.waiting) / 2:
            self.waiting = [entry for entry in self.waiting if entry[2].gate is self and not entry[2].done]
            heapq.heapify(self.waiting)
            self.left = 0

    def note(self, now: int, slow: bool, sent_at: int) -> bool | None:
        """Whether this outcome ended a round, and narrowed the gate."""
        self.seen += 1
        self.slow += slow
        if self.seen < max(8, self.inflight) or sent_at < self.round_from:
            return None
        narrowed = self.slow > SLOW_PART * self.seen
        if narrowed:
            self.starting = False
            self.narrowed_at = now
            # A limit that was never reached tells nothing, nor do the few in flight in the moment of a lull.
            base = min(self.limit, max(self.peak, self.inflight) + 1)
            self.limit = max(self.floor, base * (1 - 0.3 * self.slow / self.seen))
        elif self.inflight + 1 >= 0.7 * self.limit:
            self.limit += self.limit if self.starting else max(self.step, 0.05 * self.limit)
        self.round_from = now
        self.seen = self.slow = 0
        self.peak = self.inflight
        return narrowed


@dataclass(slots=True)
class Attempt:
    server: str
    sent_at: int
    idle: int | None = None  # how long its connection had been unused; None: it had to be opened
    open: bool = True
    moot: bool = False  # it was never sent


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that this router still has to answer, or whose attempts are still out."""

    event: api.RequestReceived
    cls: api.RequestClass
    arrived: int  # of the client's first try, as far as known
    came: int  # of this try
    over_quota: bool = False
    gate: ConcurrencyLimiter | None = None  # where it waits
    missed_at: str | None = None  # the first server that missed: it stores what the origin answers
    prefer: str | None = None  # the server that has just stored its key
    attempts: list[Attempt] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)  # servers that failed it
    spoilt: list[str] = field(default_factory=list)  # servers whose answer could not be read, once
    ran_at: int | None = None  # send of the first attempt that may have run, once its outcome is in
    ran_on: api.Endpoint | None = None
    done: bool = False


class Balancer:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0
        self.out: list[api.Action] = []
        self.servers: dict[str, Server] = {}  # every listed one, and those gone with attempts still out
        self.known: list[str] = []  # the servers by number; a number that is free again stands for none
        self.free_numbers: list[int] = []
        self.ring = array("Q")
        self.on_ring: set[str] = set()
        self.ready: list[str] = []
        self.origins: list[str] = []
        self.caches, self.origin = ConcurrencyLimiter(4.0), ConcurrencyLimiter(8.0)
        self.latency: dict[tuple[int, bool], float] = {}  # of served attempts, by class and if at the origin
        self.idles: deque[tuple[int, int, bool]] = deque(maxlen=16)  # at, idle time before, silence after
        self.stale_after = math.inf  # idle time
        self.fleet_cost: float | None = None
        self.good_cost: float | None = None  # mean of the attempts that did not fail, at whichever server
        self.kinds: dict[int, float] = {}  # mean cost at machines of a kind
        self.top_weight = 0.0  # of the caches: the largest ever listed
        self.mean_weight = 1.0  # of those ready
        self.shares: dict[str, float] = {}  # of each ready server, not older than SHARES_AGE
        self.share_sum = 0.0
        self.shares_until = 0
        self.load_from, self.load_sum = 0, 0.0  # the window in which served work is added up
        self.warm_load = 0.0  # work that this router saw a warm server do in a rule window, at the most
        self.mean_work = 0.0  # of requests
        self.held: dict[str, OpenRequest] = {}
        self.timers: dict[int, Callable[[], None]] = {}
        self.order = itertools.count()
        self.fetches: dict[str, list[OpenRequest]] = {}  # keys that are being fetched, and who waits for them
        # First arrival and quota of what was refused: a flagged retry goes on from there. Guards against
        # storms, whose late repeats would be served for nothing and eat the tenants' quotas.
        self.refused: dict[tuple[int, int, str | None, int | None], tuple[int, bool | None]] = {}
        self.tokens: dict[int, tuple[float, int]] = {}  # of each tenant: left, and at which time
        even = QUOTA_SLACK / settings.fleet_size
        self.quotas = {i: even * tenant.quota_per_s for i, tenant in enumerate(settings.tenants)}
        self.spare = 1.0  # part of what is beyond quotas that is let in
        self.holdings = api.AllocationUpdate()
        self.asks, self.watch_failures = settings.discovery is api.DiscoveryMode.POLLED, 0
        self.handlers = {
            api.EndpointUpdate: self.on_list,
            api.RequestReceived: self.on_request,
            api.AttemptEnded: self.on_attempt_ended,
            api.StreamStarted: self.on_finished,
            api.ClientDisconnected: self.on_finished,
            api.TimerFired: self.on_timer,
            api.AllocationUpdate: self.on_holdings,
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.now, self.out = now, []
        if now >= self.holdings.valid_until and self.holdings.fallback:
            self.on_holdings(self.holdings.fallback)
        if handler := self.handlers.get(type(event)):  # none for probes and peers, which are not used
            handler(event)  # type: ignore[operator]  # each takes the one kind that it stands for
        return self.out

    # The list of servers

    def on_list(self, event: api.EndpointUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            self.watch_failures += 1
            # Told 6 s after it is back: a call it never saw (3 s) and a pause fit. Pushed: told at once.
            pause = self.random.uniform(250, 500) * 2 ** min(self.watch_failures - 1, 2 * self.asks)
            self.timer(self.now + int(pause * MS), lambda: self.out.append(api.Watch()))
            return
        self.watch_failures = 0
        listed = {m.server: m for m in event.endpoints}
        if event.kind is not UpdateKind.DELTA:
            listed |= {s: api.Endpoint(s, EndpointState.GONE) for s in self.servers if s not in listed}
        for server, member in listed.items():
            known = self.servers.get(server)
            if known is None:
                if member.state is EndpointState.GONE:
                    continue
                number = self.free_numbers.pop() if self.free_numbers else len(self.known)
                self.servers[server] = Server(member, number)
                self.known[number : number + 1] = [server]
            elif member.state is EndpointState.GONE:
                known.member = replace(known.member, state=EndpointState.GONE, started_at=0)
            else:
                known.barred_until *= member.started_at == known.member.started_at
                known.member = member
        self.build_ring()
        for server in [s for s, known in self.servers.items() if known.member.state is EndpointState.GONE]:
            self.drop(server)
        if event.kind is UpdateKind.CACHED and self.asks:
            self.out.append(api.Watch())

    def drop(self, server: str) -> None:
        """Forget one that is gone, once no attempt is out there. Guards a long day, with ever new ids,
        against growing lists; it is off the ring, so its number is free."""
        if self.servers[server].inflight == 0:
            self.free_numbers.append(self.servers.pop(server).number)

    def is_origin(self, member: api.Endpoint) -> bool:
        return self.settings.mode is api.CacheMode.ASIDE and member.kind == self.settings.origin_kind

    def gate_of(self, server: Server) -> ConcurrencyLimiter:
        return self.origin if self.is_origin(server.member) else self.caches

    def build_ring(self) -> None:
        ready = [s for s in self.servers.values() if s.member.state is EndpointState.READY]
        self.origins = sorted(s.member.server for s in ready if self.is_origin(s.member))
        caches = [s for s in ready if not self.is_origin(s.member)]
        self.ready = [s.member.server for s in caches]
        weights = [s.member.weight for s in caches if s.member.weight > 0]
        if weights:
            self.top_weight = max(self.top_weight, *weights)
            self.mean_weight = sum(weights) / len(weights)
        self.shares_until = 0
        self.set_floors()
        if self.caches.starting:
            self.caches.limit = max(self.caches.limit, 2.0 * len(self.ready))
        if self.on_ring != set(self.ready):
            stay = {self.servers[s].number for s in self.ready if s in self.on_ring}
            ring = [entry for entry in self.ring if entry >> 8 & 0xFFFFFF in stay]
            for name in set(self.ready) - self.on_ring:
                ring += points(name, self.servers[name].number)
            ring.sort()
            self.ring, self.on_ring = array("Q", ring), set(self.ready)

    def set_floors(self) -> None:
        """All routers' floors together let one attempt a server in, and a good round adds as many."""
        even = len(self.ready) / self.settings.fleet_size
        self.caches.floor, self.origin.floor = (
            max(LEAST_LIMIT, part * self.holdings.concurrency_floors) for part in (even, min(2.0, even))
        )
        self.caches.step, self.origin.step = (min(1.0, gate.floor) for gate in (self.caches, self.origin))

    # The ordinary path

    def on_request(self, event: api.RequestReceived) -> None:
        if event.id in self.held:
            return
        request = self.held[event.id] = OpenRequest(
            event, self.settings.classes[event.class_index], self.now, self.now
        )
        work = self.work(request)
        self.mean_work = self.mean_work + 0.05 * (work - self.mean_work) if self.mean_work else work
        repeat = event.retry or event.work_ns is not None
        known = self.refused.pop(self.likeness(event), None) if repeat else None
        if known is None or self.now >= known[0] + request.cls.deadline_ns:
            known = self.now, None
        request.arrived, over = known
        request.over_quota = (
            self.beyond_quota(event.tenant) if over is None or self.holdings.strict_quotas else over
        )
        if request.over_quota and (self.holdings.strict_quotas or self.random.random() >= self.spare):
            self.give_up(request)
        else:
            self.route(request)

    def route(self, request: OpenRequest) -> None:
        write = request.event.write and self.settings.mode is api.CacheMode.ASIDE
        self.enter(request, self.origin if write else self.caches)

    # Waiting for a place

    def enter(self, request: OpenRequest, gate: ConcurrencyLimiter) -> None:
        """Send at once where there is a place, else wait for one: the worthiest first, the newest of equals.

        Whoever could no longer be answered in time is refused early. Newest first because under lasting
        overload first-come order serves all too late. It could harm one much quicker than its class's usual.
        """
        request.gate = gate
        heapq.heappush(gate.waiting, (-self.value(request), -next(self.order), request))
        self.admit(gate)
        self.wait(request.event.id)

    def wait(self, request_id: str) -> None:
        request = self.held.get(request_id)
        if request is not None and request.gate is not None and not request.done:
            until = self.last_start(request, request.gate)
            if until <= self.now:
                self.give_up(request)
            else:
                self.timer(until, partial(self.wait, request_id))

    def last_start(self, request: OpenRequest, gate: ConcurrencyLimiter) -> int:
        cls, event = request.cls, request.event
        # A slow spell must not teach that a class is hopeless.
        usual = min(
            self.latency.get((event.class_index, gate is self.origin), 0.0),
            LATE_PART * cls.latency_objective_ns,
        )
        until = min(
            request.arrived + (cls.deadline_ns if cls.late_weight_fraction else cls.latency_objective_ns),
            event.deadline,
        )
        if all(attempt.moot for attempt in request.attempts):
            # A client told early may still come again in time. Where there is a place it goes at once,
            # however slow its class was: else that would never be known again.
            waits = max(0.0, UNTRIED_PART * (event.deadline - request.came) - usual)
            return min(until - int(usual), request.came + int(waits))
        return until - int(usual)

    def value(self, request: OpenRequest) -> float:
        """Worth for each unit of work, and less for what is beyond the tenant's quota."""
        worth = request.cls.priority_weight * (self.settings.over_quota_weight if request.over_quota else 1)
        usual = max(self.latency.get((request.event.class_index, False), 0.0), MS)
        return worth if self.settings.weight_by_work else worth / usual

    @staticmethod
    def likeness(event: api.RequestReceived) -> tuple[int, int, str | None, int | None]:
        return event.class_index, event.tenant, event.key, event.work_ns

    def beyond_quota(self, tenant: int) -> bool:
        """Whether the tenant has spent this router's part of its quota: it then waits last and yields first.

        Guards the others against one that floods. A router that gets an uneven part of a tenant's traffic
        judges too strictly or too mildly, which matters only while a gate is narrow.
        """
        if not self.quotas.get(tenant):
            return False
        tokens = self.fill(tenant)
        self.tokens[tenant] = (tokens - 1 if tokens >= 1 else tokens, self.now)
        return tokens < 1

    def rate(self, tenant: int) -> float:
        return self.quotas.get(tenant, 0.0) * self.holdings.tenants.get(tenant, 1.0)

    def fill(self, tenant: int) -> float:
        depth = max(QUOTA_LEAST, rate := self.rate(tenant))
        tokens, at = self.tokens.get(tenant, (depth, self.now))
        return min(depth, tokens + rate * (self.now - at) / (1000 * MS))

    def on_holdings(self, event: api.AllocationUpdate) -> None:
        # By the rates of before: a loan must not count for a time in which its lender had the use of it.
        self.tokens = {tenant: (self.fill(tenant), self.now) for tenant in self.tokens}
        self.holdings, self.quotas[REPEATS] = event, event.retries_per_s
        self.caches.most, self.origin.most = event.cache_permits, event.origin_permits
        self.set_floors()

    def admit_all(self) -> None:
        self.admit(self.caches)
        self.admit(self.origin)

    def admit(self, gate: ConcurrencyLimiter) -> None:
        passed: list[tuple[float, int, OpenRequest]] = []
        while gate.waiting and gate.room(self.now) and len(passed) < 4:
            entry = heapq.heappop(gate.waiting)
            request = entry[2]
            if request.gate is not gate:
                continue
            if self.last_start(request, gate) < self.now:
                self.give_up(request)
                continue
            fetched = self.fetched_key(request) if gate is self.origin else None
            if fetched in self.fetches:
                self.fetches[fetched].append(request)
                continue
            origins = (s for s in self.origins if s not in request.failed)
            server = next(origins, None) if gate is self.origin else self.pick(request)
            if server is None and gate is self.origin:
                self.give_up(request)
            elif server is None:
                passed.append(entry)
            else:
                request.gate = None
                self.send(request, server)
                if fetched is not None and not request.done:
                    self.fetches[fetched] = []
        for entry in passed:
            heapq.heappush(gate.waiting, entry)
        if gate.waiting and gate.inflight == 0 and self.now < gate.next_at != gate.timer_at:
            gate.timer_at = gate.next_at
            self.timer(gate.next_at, self.admit_all)

    def pick(self, request: OpenRequest) -> str | None:
        """The first server clockwise from the key that is under the cap."""
        if not self.ready:
            return None
        if self.now >= self.shares_until:
            self.refresh_shares()
        shares = self.shares
        average = (self.caches.inflight + 1) / self.share_sum
        seen = set(request.failed)

        def free(name: str) -> bool:
            server = self.servers[name]
            least = MIN_CAP if shares[name] >= SICK * self.root(server) else 1
            cap = max(least, math.ceil((1 + EPSILON) * average * shares[name]))
            return server.inflight < cap and self.cold_room(server, request)

        if request.prefer in shares and request.prefer not in seen and free(request.prefer):
            return request.prefer
        # One ring for all zones: a copy of each key in every zone costs the origin many more fetches,
        # and a fleet that changes to one ring in trouble misses nearly all just when the origin has no room.
        barred: str | None = None
        ring, known = self.ring, self.known
        start = bisect.bisect_left(ring, place_of(request.event.key or request.event.id))
        # The walk ends with the last server that is left: one that failed this request is no longer to come.
        left = len(shares) - sum(name in shares for name in seen)
        for i in itertools.chain(range(start, len(ring)), range(start)):
            if not left:
                break
            entry = ring[i]
            name = known[entry >> 8 & 0xFFFFFF]
            if name in seen or entry & 0xFF >= shares[name] * self.root(self.servers[name]) * POINTS:
                continue
            seen.add(name)
            left -= 1
            if self.servers[name].barred_until > self.now:
                barred = barred or name
            elif free(name):
                return name
        return barred

    # Servers that cannot be reached: more routers than one accepts connections from, slow handshakes, one
    # that is off before the list says so. Each failed connection bars it for twice as long, so a router
    # settles on those it has connections to. It could harm where one comes back unnoticed.

    def note_reached(self, server: Server, event: api.AttemptEnded) -> None:
        if event.outcome is Outcome.CONNECT_FAILED:
            server.unreached += 1
            bar = min(BAR * 2 ** (server.unreached - 1), LONGEST_BAR)
            server.barred_until = self.now + int(bar * self.random.uniform(0.5, 1))
        elif event.outcome not in (Outcome.CANCELLED, Outcome.WITHDRAWN, Outcome.TIMEOUT):
            server.unreached = server.barred_until = 0

    # Slow and failing servers: the time that a server takes for each unit of expected work, against the
    # fleet's, sets its share of keys and of the cap. A failed attempt counts as very slow, so one that errors
    # fast is not seen as empty. It keeps a small share on which it is tried again, and a fleet that is slow
    # as a whole is not moved at all. What one met rarely showed is weighed against its kind's cost and fades.
    # It could harm where a server's keys cost more than their hints say.

    # A machine of a larger listed weight gets as many more keys. At once it holds more by the root only, as
    # what it holds is sooner done. Guards small machines, which turned a quarter of all away while large ones
    # idled. It could harm where listed weights are far from the truth.

    def root(self, server: Server) -> float:
        weight = server.member.weight
        return math.sqrt(min(1.0, weight / self.top_weight)) if weight and self.top_weight else 1.0

    def share(self, server: Server) -> float:
        return self.warmth(server) * self.health(server) * self.root(server)

    def refresh_shares(self) -> None:
        """All shares anew, at most once in SHARES_AGE: to walk a large fleet for each request costs CPU."""
        # The cost of the server a third from the best: a lost zone must not pass for usual.
        if usual := self.fleet_cost:
            costs = sorted(self.likely_cost(self.servers[s], usual) for s in self.ready)
            self.fleet_cost = costs[len(costs) // 3]
        self.shares = {s: self.share(self.servers[s]) for s in self.ready}
        self.share_sum = sum(self.shares.values())
        self.shares_until = self.now + SHARES_AGE

    def health(self, server: Server) -> float:
        if not self.fleet_cost:
            return 1.0
        part = HEALTHY * self.fleet_cost / self.likely_cost(server, self.fleet_cost)
        return min(1.0, max(LEAST_SHARE, part))

    def likely_cost(self, server: Server, usual: float) -> float:
        """Its own where much is known of it, else what machines of its kind cost."""
        weight = self.fade(server)
        return (weight * server.cost + DOUBT * self.kinds.get(server.member.kind, usual)) / (weight + DOUBT)

    def fade(self, server: Server) -> float:
        return server.evidence * math.pow(0.5, (self.now - server.cost_at) / FADE)

    def note_cost(
        self, server: Server, request: OpenRequest, event: api.AttemptEnded, failed: bool, spoilt: bool
    ) -> None:
        expected = request.event.work_ns or self.latency.get((request.event.class_index, False))
        if not expected:
            return
        cost = event.latency_ns / expected
        # A failure is weighed against what goes well. Guards against costs that climb by themselves: weighed
        # against the fleet's cost, which holds failures too, each made the next one cost more, without end.
        usual_cost = self.good_cost or cost
        worst = usual_cost * HEALTHY / LEAST_SHARE
        if spoilt or event.outcome is Outcome.RESET:  # at all alike a few may be: many in a row shall tell
            cost = max(cost, (SPOILT_COST if spoilt else BROKEN_COST) * usual_cost)
        elif not failed:
            cost = min(cost, worst)
            self.good_cost = usual_cost + 0.03 * (cost - usual_cost)
            # A kind is as fast as its machines that are well: idle ones must not look like one that fails.
            kind = server.member.kind
            self.kinds[kind] = self.kinds.get(kind, cost) + 0.03 * (cost - self.kinds.get(kind, cost))
        cost = worst if failed else min(cost, worst)
        weight = min(9.0, self.fade(server))
        server.cost += (cost - server.cost) / (weight + 1)
        server.evidence, server.cost_at = weight + 1, self.now
        if self.fleet_cost is None:
            self.fleet_cost = cost
        if server.member.server in self.shares:
            now_has = self.share(server)
            self.share_sum += now_has - self.shares[server.member.server]
            self.shares[server.member.server] = now_has

    # Cold servers: a server that has just started gets its share of keys and of the cap as it warms up, and
    # never more work in a rule window than this router's part of what rule 4 allows all of them. Its capacity
    # is judged by the work that warm servers were seen to do, so each router keeps to its part of traffic.
    # A part of less than one request is kept by chance, drawn once a window: one try at each of hundreds of
    # routers is far more than a server can do. It could harm by too low an estimate: keys then walk on.

    def warmth(self, server: Server) -> float:
        rules, started = self.settings.rules, server.member.started_at
        if started == 0 or self.now - started >= rules.slow_start_ns:
            return 1.0
        return (
            rules.slow_start_fraction
            + (1 - rules.slow_start_fraction) * max(self.now - started, 0) / rules.slow_start_ns
        )

    def cold_room(self, server: Server, request: OpenRequest) -> bool:
        rules, share = self.settings.rules, self.warmth(server)
        if share == 1 or not rules.overload_multiple or not rules.overload_window_ns:
            return True
        while server.recent and server.recent[0][0] <= self.now - rules.overload_window_ns:
            server.recent_work -= server.recent.popleft()[1]
        weight = (server.member.weight or self.mean_weight) / self.mean_weight
        budget = COLD_PART * rules.overload_multiple * share * self.own_part() * weight
        if server.recent:
            return server.recent_work + self.work(request) <= budget
        server.recent_work = 0.0
        if self.now >= server.drawn_until:
            server.luck, server.drawn_until = self.random.random(), self.now + rules.overload_window_ns
        # A key may be heavy: by the mean alone all routers together sent its server as many times too much.
        return server.luck * max(self.mean_work, self.work(request)) <= budget

    def own_part(self) -> float:
        """This router's part of what a warm server can do in a rule window.

        At least an even part of what the quotas let in, as a quiet hour shows little. Without quotas a server
        is taken to do one request within the shortest aim, as less would be of no use.
        """
        settings, window = self.settings, self.settings.rules.overload_window_ns
        let_in = sum(t.quota_per_s for t in settings.tenants) * window / (1000 * MS) / max(1, len(self.ready))
        each = let_in or window / max(1, min(cls.latency_objective_ns for cls in settings.classes))
        return max(self.warm_load, each * self.mean_work / settings.fleet_size * self.holdings.slow_start)

    def work(self, request: OpenRequest) -> float:
        return 1.0 if request.event.work_ns is None else request.event.work_ns / MS

    def note_served(self, server: Server, request: OpenRequest) -> None:
        window = self.settings.rules.overload_window_ns
        if not window or self.warmth(server) < 1:
            return
        if self.now >= self.load_from + window:
            warm = sum(self.warmth(self.servers[s]) == 1 for s in self.ready)
            if warm and self.load_from:
                seen = self.load_sum / warm * window / (self.now - self.load_from)
                self.warm_load = max(seen, 0.9 * self.warm_load)
            self.load_from, self.load_sum = self.now, 0.0
        self.load_sum += self.work(request)

    def send(self, request: OpenRequest, server: str) -> None:
        if not self.may_send(request, server):
            self.give_up(request)
            return
        known = self.servers[server]
        idle = 0 if known.inflight else self.now - known.used_at if known.used_at else None
        if idle is not None and idle > min(self.stale_after, self.settings.limits.conn_idle_ns):
            self.out.append(api.CloseIdleConnections(server))
            idle = None
        if not request.attempts and self.holdings.retries_per_attempt:
            self.tokens[REPEATS] = self.fill(REPEATS) + self.holdings.retries_per_attempt, self.now
        request.attempts.append(Attempt(server, self.now, idle))
        known.inflight += 1
        gate = self.gate_of(known)
        gate.inflight += 1
        gate.peak = max(gate.peak, gate.inflight)
        if gate is self.caches and self.warmth(known) < 1:
            known.recent.append((self.now, self.work(request)))
            known.recent_work += self.work(request)
        # Should it be told of a drain right after this, it may begin to write until the grace is over.
        grace, wait = self.settings.rules.drain_grace_ns or math.inf, self.patience(request, gate)
        self.out.append(api.Send(request.event.id, server, wait, self.now + grace, self.repeat_by(request)))

    # Connections dropped unseen: told from sickness by the idle time: most attempts on those unused as long
    # got no answer, few of the others. They are closed before they are that old, until STALE_SPAN is over.
    # It could harm where many servers fall silent at once.

    def note_idle(self, server: Server, attempt: Attempt, outcome: Outcome) -> None:
        lost = outcome in SILENT
        if outcome is Outcome.CONNECT_FAILED or outcome is Outcome.RESET:
            server.used_at = 0
        elif outcome not in (Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.WITHDRAWN):
            server.used_at = self.now
        if not (lost or outcome in (Outcome.OK, Outcome.MISS)):
            return
        self.idles.append((self.now, attempt.idle or 0, lost))
        since = self.now - STALE_SPAN
        all_lost = sum(lost for at, _, lost in self.idles if at > since)
        self.stale_after, silent = math.inf, 0
        if all_lost < 2:
            return
        recent = sorted(((idle, lost) for at, idle, lost in self.idles if at > since), reverse=True)
        for count, (idle, was_lost) in enumerate(recent, 1):
            silent += was_lost
            told_apart = silent > count / 2 and all_lost - silent <= (len(recent) - count) / 4
            if was_lost and idle and silent >= 2 and told_apart:
                self.stale_after = 0.8 * idle

    def patience(self, request: OpenRequest, gate: ConcurrencyLimiter) -> int:
        """How long to wait for an answer before another attempt; 0: until the client gives up.

        Until this one counts as slow and takes some times the usual, if rule 2 allows another and that can
        still be in time. Guards against lost answers, silent connections and machines that hang. Not used
        while the gate is narrow, as it would add to an overload. It could harm where hints are far low.
        """
        cls = request.cls
        calm = gate.calm(self.now) or self.stale_after < math.inf
        if self.is_last(request) or not calm or not self.may_repeat(request):
            return 0
        usual = self.latency.get((request.event.class_index, gate is self.origin), 0.0)
        wait = max(
            (request.event.work_ns or 0) + int(LATE_PART * cls.latency_objective_ns), int(PATIENT * usual)
        )
        in_time = wait <= self.last_start(request, gate) - self.now
        return wait if in_time and (cls.effect is Effect.SAFE or wait < cls.deduplication_window_ns) else 0

    def may_repeat(self, request: OpenRequest) -> bool:
        """Whether a repeat is harmless by now, wherever it runs."""
        effect, group = request.cls.effect, request.cls.deduplication_scope
        dropped = (
            effect is Effect.KEYED
            and group is api.DeduplicationScope.ALL
            and self.now <= self.repeat_by(request)
        )
        return effect is Effect.SAFE or dropped

    @staticmethod
    def repeat_by(request: OpenRequest) -> float:
        """Until when it may be sent once more; always, while none of its attempts may have run."""
        window = {Effect.SAFE: math.inf, Effect.KEYED: request.cls.deduplication_window_ns, Effect.UNSAFE: -1}
        return math.inf if request.ran_at is None else request.ran_at + window[request.cls.effect]

    # One fetch for each key: while one is out at the origin, other reads of the key that missed wait for it
    # and then ask the server that stored it. Guards the origin; where answers are not kept, a follower loses
    # the time of one cache trip.

    def fetched_key(self, request: OpenRequest) -> str | None:
        return None if request.event.write else request.event.key

    def end_fetch(self, request: OpenRequest, outcome: Outcome) -> None:
        for follower in self.fetches.pop(self.fetched_key(request) or "", []):
            if follower.gate is not self.origin or follower.done:
                continue
            if stored := outcome is Outcome.OK and request.missed_at is not None:
                follower.prefer = request.missed_at
            self.enter(follower, self.caches if stored else self.origin)

    # Outcomes

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self.held.get(event.id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.open:
            return
        attempt.open, attempt.moot = False, event.outcome is Outcome.WITHDRAWN
        known = self.servers[attempt.server]
        known.inflight -= 1
        if known.member.state is EndpointState.GONE:
            self.drop(attempt.server)
        gate = self.gate_of(known)
        gate.ended(self.now, event.latency_ns)
        good = event.outcome in (Outcome.OK, Outcome.MISS)
        # Nor does a connection that breaks tell of load, or of its server: one that died is refused next.
        spoilt = event.malformed or event.outcome is Outcome.RESET
        failed = not good and not spoilt
        unreached = event.outcome is Outcome.CONNECT_FAILED
        dropped = event.outcome in SILENT and (attempt.idle or 0) > self.stale_after
        if event.outcome not in (Outcome.CANCELLED, Outcome.WITHDRAWN):
            # What counts is the time beyond its own work: a heavy request is no sign of load.
            waited = event.latency_ns - (request.event.work_ns or 0)
            if attempt.idle is None and gate is self.caches:
                waited -= self.settings.limits.connect_timeout_ns
            late = waited > LATE_PART * request.cls.latency_objective_ns
            # What a server known as sick fails to do is its own trouble: a lost zone must not starve others.
            # Nor do connections tell of it, nor the quick refusals of a sick server.
            counts = good or not (unreached or dropped or self.health(known) < SICK)
            if counts and (narrowed := gate.note(self.now, late or failed, attempt.sent_at)) is not None:
                self.spare = self.spare / 2 if narrowed else min(1.0, self.spare + 0.05)
        if gate is self.caches:
            self.note_idle(known, attempt, event.outcome)
            self.note_reached(known, event)
            if not dropped and event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL, *SILENT):
                self.note_cost(known, request, event, failed, event.malformed)
        if event.outcome is Outcome.OK:
            usual = (request.event.class_index, gate is self.origin)
            known_latency = self.latency.get(usual, float(event.latency_ns))
            self.latency[usual] = known_latency + 0.05 * (event.latency_ns - known_latency)
            if gate is self.caches:
                self.note_served(known, request)
        if event.outcome is Outcome.MISS and request.missed_at is None:
            request.missed_at = attempt.server
        if gate is self.origin:
            self.end_fetch(request, event.outcome)
        if event.outcome not in NEVER_EXECUTED and request.ran_at is None:
            request.ran_at, request.ran_on = attempt.sent_at, known.member
        if event.final or request.done:
            self.forget(request)
        elif not any(a.open for a in request.attempts):
            self.next_step(request, attempt, event.outcome, spoilt)
        self.admit(gate)

    def next_step(
        self, request: OpenRequest, attempt: Attempt, outcome: Outcome, spoilt: bool = False
    ) -> None:
        repeats = not attempt.moot and outcome is not Outcome.MISS  # that is the way to the origin
        if self.now >= request.event.deadline or (repeats and self.beyond_quota(REPEATS)):
            self.give_up(request)
        elif self.settings.mode is api.CacheMode.ASIDE and (outcome is Outcome.MISS or self.is_last(request)):
            self.enter(request, self.origin)  # the last attempt is kept for it: another cache could only miss
        else:
            # An answer spoilt or broken off says little of its server, which has the key by now: it may be
            # asked once more. So may an origin whose answer was lost; not one that turns requests away.
            lost = attempt.server in self.origins and outcome is not Outcome.FULL
            again = (spoilt or lost) and attempt.server not in request.spoilt
            (request.spoilt if again else request.failed).append(attempt.server)
            self.route(request)

    def is_last(self, request: OpenRequest) -> bool:
        return len(request.attempts) >= self.settings.limits.max_attempts - 1

    def may_send(self, request: OpenRequest, server: str) -> bool:
        """Rule 2, the attempts cap and the client's patience."""
        late = self.now >= request.event.deadline or self.now > self.repeat_by(request)
        if late or len(request.attempts) >= self.settings.limits.max_attempts:
            return False
        first, then = request.ran_on, self.servers[server].member
        if first is None or self.may_repeat(request):
            return True
        return (
            first.zone == then.zone
            if request.cls.deduplication_scope is api.DeduplicationScope.ZONE
            else first.cell == then.cell
        )

    def give_up(self, request: OpenRequest) -> None:
        """The final answer when nothing more can be done: a refusal where trying again is harmless."""
        harmless = request.ran_at is None or self.may_repeat(request)
        self.refused.pop(likeness := self.likeness(request.event), None)
        self.refused[likeness] = (request.arrived, request.over_quota)
        for oldest in list(itertools.islice(self.refused, 2)):
            if self.now >= self.refused[oldest][0] + self.settings.classes[oldest[0]].deadline_ns:
                del self.refused[oldest]
        if len(self.refused) > self.settings.limits.max_open:
            self.refused.pop(next(iter(self.refused)))
        uid, back = request.event.id, self.come_back(request)
        self.out.append(api.Reject(uid, back) if harmless else api.Fail(uid))
        self.forget(request)

    def come_back(self, request: OpenRequest) -> int:
        """When the client may find a place: its quota has room again, or those before it have had their turn.

        Reckoned from this router's own line and pace. It could harm where the line shrinks much faster.
        """
        limits, event = self.settings.limits, request.event
        if not limits.retry_after:
            return 0
        rate = self.rate(event.tenant)
        if request.over_quota and rate:
            tokens, at = self.tokens.get(event.tenant, (1.0, self.now))
            wait = max(0.0, 1 - tokens) * 1000 * MS / rate - (self.now - at)
        else:
            asks_origin = request.event.write or request.missed_at is not None
            gate = self.origin if asks_origin and self.settings.mode is api.CacheMode.ASIDE else self.caches
            usual = self.latency.get(
                (event.class_index, gate is self.origin), LATE_PART * request.cls.latency_objective_ns
            )
            line = max(0, len(gate.waiting) - gate.left) + gate.inflight
            wait = max(usual * line / max(gate.limit, gate.floor), gate.next_at - self.now)
        return int(min(max(wait, 1 * MS), limits.max_retry_after_ns))

    def forget(self, request: OpenRequest) -> None:
        request.done = True
        if request.gate is not None:
            request.gate.leave()
            request.gate = None
        if not any(a.open for a in request.attempts):
            self.held.pop(request.event.id, None)

    def on_finished(self, event: api.StreamStarted | api.ClientDisconnected) -> None:
        """The client has its answer, or a stream that is its own from now on, or is gone."""
        if (request := self.held.get(event.id)) is not None:
            self.forget(request)

    # Timers

    def timer(self, at: int, call: Callable[[], None]) -> None:
        token = next(self.order)
        self.timers[token] = call
        self.out.append(api.SetTimer(at, token))

    def on_timer(self, event: api.TimerFired) -> None:
        if call := self.timers.pop(event.token, None):
            call()
