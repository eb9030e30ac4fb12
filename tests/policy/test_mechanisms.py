"""One test for each failure found: each fails without the code that answers it."""

import math

from support.policy import MS, Router, S, members

from flintridge import api
from flintridge.api import EndpointState, Outcome, UpdateKind
from flintridge.policy.balancer import HEALTHY, LEAST_SHARE, SICK, ConcurrencyLimiter


def rounds(gate: ConcurrencyLimiter, now: int, slow: bool, count: int = 40) -> int:
    for _ in range(count):
        now += 10 * MS
        gate.note(now, slow, now)
    return now


def test_a_gate_narrows_when_attempts_are_slow_and_widens_again():
    """Overload answered by more attempts; a limit that never grew back after a spell."""
    gate = ConcurrencyLimiter(40.0)
    gate.inflight = 40
    now = rounds(gate, 0, slow=True, count=400)
    narrow = gate.limit
    assert narrow < 20
    gate.inflight = int(narrow) + 1
    rounds(gate, now, slow=False, count=400)
    assert gate.limit > narrow + 3


def test_an_unreached_limit_narrows_from_what_is_in_flight():
    """Many routers, each with few requests out, all far under limits that mean nothing."""
    gate = ConcurrencyLimiter(94.0)
    gate.inflight = 9
    rounds(gate, 0, slow=True, count=20)
    assert gate.limit < 10


def test_work_without_a_place_is_refused_before_its_aim():
    router = Router(count=2)
    uids = [router.ask(f"k{i}") for i in range(30)]
    waiting = [u for u in uids if u not in router.tries]
    assert waiting
    router.pass_time(500 * MS)
    assert all(isinstance(router.answers[u], api.Reject) for u in waiting)


def test_a_slow_spell_does_not_teach_that_a_class_is_hopeless():
    router = Router(count=3)
    for i in range(60):  # served, but far too late
        uid = router.ask(f"k{i}")
        router.now += 1500 * MS
        router.end(uid, Outcome.OK)
    uid = router.ask("again")
    assert router.tries.get(uid) == 1


def test_worthier_requests_get_the_next_place():
    classes = (
        api.RequestClass(priority_weight=1.0, latency_objective_ns=S),
        api.RequestClass(priority_weight=8.0, latency_objective_ns=S),
    )
    router = Router(count=2, classes=classes, weight_by_work=True)
    first = [router.ask(f"k{i}", deadline=router.now + S) for i in range(4)]
    plain = router.ask("plain", 0)
    worthy = router.ask("worthy", 1)
    newest = router.ask("newest", 0)
    assert {plain, worthy, newest}.isdisjoint(router.tries)
    router.end(first[0], Outcome.OK)
    assert worthy in router.tries and not {plain, newest} & set(router.tries)


def test_a_tenant_beyond_its_quota_waits_behind():
    tenants = (api.Tenant("flood", 2.0), api.Tenant("calm", 2.0))
    router = Router(count=2, tenants=tenants, over_quota_weight=0.05, fleet_size=50)
    first = [router.ask(f"k{i}", tenant=0) for i in range(20)]
    calm = router.ask("calm", tenant=1)
    flood = router.ask("flood", tenant=0)  # newer, so first among equals
    router.end(first[0], Outcome.OK)
    assert calm in router.tries and flood not in router.tries


def test_a_retry_goes_on_from_its_first_try():
    """Retry storms: a repeat whose first try's aim has passed is not worth a place."""
    for changes in ({"retry": True}, {"work_ns": 12_345_678}):
        router = Router(count=2)
        blockers = [router.ask(f"b{i}") for i in range(8)]
        first = router.ask("k", work_ns=changes.get("work_ns"))
        assert first not in router.tries and blockers
        router.pass_time(500 * MS)
        assert isinstance(router.answers[first], api.Reject)
        again = router.ask("k", **changes)
        assert isinstance(router.answers.get(again), api.Reject)
        other = router.ask("other", **changes)
        assert other not in router.answers


def test_reads_of_one_key_share_a_fetch():
    router = Router(count=4)
    uids = [router.ask("k") for _ in range(2)]
    missed_at = router.server_of(uids[0])
    for uid in uids:
        router.end(uid, Outcome.MISS)
    assert [server for server, _ in router.out.values()] == ["10.9.9.9:80"]
    router.end(uids[0], Outcome.OK)
    assert router.server_of(uids[1]) == missed_at


def test_a_failed_fetch_is_taken_over():
    router = Router(count=4)
    uids = [router.ask("k") for _ in range(2)]
    for uid in uids:
        router.end(uid, Outcome.MISS)
    router.end(uids[0], Outcome.ERROR)
    assert router.server_of(uids[1]) == "10.9.9.9:80"


def homes(router: Router, count: int = 300) -> list[str]:
    found = []
    for i in range(count):
        uid = router.ask(f"home{i}")
        found.append(router.server_of(uid))
        router.now += 20 * MS
        router.end(uid, Outcome.OK)
    return found


def test_a_server_that_errors_fast_is_not_seen_as_empty():
    router = Router(count=5)
    bad = "10.0.0.2:80"
    for i in range(400):
        uid = router.ask(f"k{i}")
        at_bad = router.server_of(uid) == bad
        router.now += (1 if at_bad else 20) * MS
        router.end(uid, Outcome.ERROR if at_bad else Outcome.OK)
        if uid not in router.answers:
            router.now += 20 * MS
            router.end(uid, Outcome.OK)
    share = router.balancer.share(router.balancer.servers[bad])
    assert LEAST_SHARE <= share < 0.3
    after = homes(router, 100)
    assert 0 < after.count(bad) < 100 / 5 / 2  # left, not emptied: it is tried on


def test_a_fleet_that_is_slow_as_a_whole_is_not_moved():
    router = Router(count=5)
    for i in range(300):
        uid = router.ask(f"k{i}")
        router.now += (20 if i < 150 else 400) * MS
        router.end(uid, Outcome.OK)
    assert all(router.balancer.share(router.balancer.servers[s]) > 0.6 for s in router.balancer.ready)


def test_a_heavy_request_is_no_sign_of_load():
    router = Router(count=3)
    router.balancer.caches.starting = False
    before = router.balancer.caches.limit
    for i in range(60):
        uid = router.ask(f"k{i}", work_ns=300 * MS)
        router.now += 400 * MS  # past half the aim, but most of it its own work
        router.end(uid, Outcome.OK)
    assert router.balancer.caches.limit >= before


def test_a_key_has_one_place_in_all_zones_in_calm_and_in_trouble():
    """Copies in each zone cost the origin as many times the fetches; a fleet that took them in calm and
    changed to one ring in trouble missed nearly all of its keys just when the origin had no room."""
    listed = tuple(api.Endpoint(f"10.0.{z}.{i}:80", zone=z) for z in range(3) for i in range(4))
    places: list[list[str]] = []
    for zone in range(3):
        for trouble in (False, True):
            router = Router(count=1, prices=api.Prices(cross_zone=0.06), zone=zone)
            router.tell(api.EndpointUpdate(UpdateKind.FULL, 2, listed))
            if trouble:
                router.balancer.origin.narrowed_at = router.balancer.caches.narrowed_at = router.now
            asked = []
            for i in range(30):
                asked.append(router.server_of(uid := router.ask(f"k{i}")))
                router.end(uid, Outcome.OK)
            places.append(asked)
    assert all(asked == places[0] for asked in places)
    assert len({server.split(".")[2] for server in places[0]}) == 3


def test_a_limit_under_one_is_one_attempt_at_a_time_with_pauses():
    """Hundreds of routers with one attempt out each may be more than the fleet can do."""
    router = Router(count=2, fleet_size=40)
    gate = router.balancer.caches
    gate.starting, gate.limit = False, 0.25
    first, second = router.ask("a"), router.ask("b")
    assert first in router.tries and second not in router.tries
    router.pass_time(100 * MS)
    router.end(first, Outcome.OK)
    assert second not in router.tries
    router.pass_time(290 * MS)
    assert second not in router.tries
    router.pass_time(20 * MS)
    assert second in router.tries


def test_a_lost_server_does_not_narrow_the_gate_for_the_rest():
    router = Router(count=5, limits=api.Limits(max_attempts=9))
    lost = "10.0.0.2:80"
    for i in range(300):
        uid = router.ask(f"k{i}")
        while uid not in router.answers:
            silent = router.server_of(uid) == lost
            router.now += 10 * MS
            router.end(uid, Outcome.RESET if silent else Outcome.OK)
    assert router.balancer.health(router.balancer.servers[lost]) < SICK
    gate = router.balancer.caches
    gate.seen = gate.slow = 0
    for _ in range(20):
        uid = router.ask("k")
        attempt = router.balancer.held[uid].attempts[0]
        router.balancer.servers[attempt.server].inflight -= 1  # as if it had been tried at the lost one
        router.balancer.servers[lost].inflight += 1
        attempt.server = lost
        router.end(uid, Outcome.CONNECT_FAILED, final=True)
    assert gate.slow == 0


def test_a_cut_off_part_of_the_fleet_does_not_pass_for_usual():
    """A zone that is lost to this router: with the mean as measure half a fleet failing looked half well."""
    router = Router(count=6, limits=api.Limits(max_attempts=9))
    lost = {f"10.0.0.{i}:80" for i in range(3)}
    for i in range(300):
        uid = router.ask(f"k{i}")
        while uid not in router.answers:
            silent = router.server_of(uid) in lost
            router.now += (60 if silent else 20) * MS
            router.end(uid, Outcome.RESET if silent else Outcome.OK)
    for name in router.balancer.ready:
        health = router.balancer.health(router.balancer.servers[name])
        assert health < SICK if name in lost else health == 1


def test_the_last_attempt_is_kept_for_the_origin():
    router = Router(limits=api.Limits(max_attempts=2))
    uid = router.ask("k")
    router.end(uid, Outcome.FULL)
    assert router.server_of(uid) == "10.9.9.9:80"


def test_a_server_that_cannot_be_reached_is_left_alone_for_longer_each_time():
    """More routers than a server accepts connections from: each settles on the servers that it has."""
    router = Router(count=3)
    full = router.server_of(router.ask("k"))
    pauses = []
    for _ in range(4):
        tried_at = router.now
        router.end(next(iter(router.out))[0], Outcome.CONNECT_FAILED)
        for uid, _ in list(router.out):
            router.end(uid, Outcome.OK)
        while router.server_of(uid := router.ask("k")) != full:
            router.end(uid, Outcome.OK)
            router.pass_time(100 * MS)
        pauses.append(router.now - tried_at)
    assert pauses[0] >= 500 * MS and pauses[3] >= 4 * S
    router.end(uid, Outcome.OK)
    assert router.balancer.servers[full].unreached == 0


def test_what_a_server_met_rarely_showed_fades():
    """A router that meets a server every few seconds must not leave it for good after one bad answer."""
    router = Router(count=5)
    for i in range(40):
        router.now += 20 * MS
        uid = router.ask(f"k{i}")
        router.now += 20 * MS
        router.end(uid, Outcome.OK)
    bad = router.balancer.servers[router.server_of(uid := router.ask("k"))]
    router.end(uid, Outcome.ERROR)
    once = router.balancer.health(bad)
    router.now += 30 * S
    router.ask("later")
    assert once < 1 == router.balancer.health(bad)


def test_what_is_beyond_quotas_yields_first():
    """With one request out at each of many routers, waiting order alone cannot protect the others' share."""
    tenants = (api.Tenant("flood", 2.0), api.Tenant("calm", 2.0))
    router = Router(count=2, tenants=tenants, over_quota_weight=0.05, fleet_size=50)
    router.balancer.spare = 0.0
    flood = [router.ask(f"k{i}", tenant=0) for i in range(20)]
    refused = [uid for uid in flood if isinstance(router.answers.get(uid), api.Reject)]
    assert 0 < len(refused) < 20 and refused == flood[-len(refused) :]
    assert router.ask("calm", tenant=1) not in router.answers


def test_bad_rounds_halve_what_is_let_in_beyond_quotas_and_good_ones_bring_it_back():
    router = Router(count=2)
    for outcome, least, most in ((Outcome.FULL, 0.0, 0.5), (Outcome.OK, 0.51, 1.0)):
        for i in range(200):
            uid = router.ask(f"k{i}")
            router.now += 10 * MS
            while uid not in router.answers and (uid, router.tries.get(uid, 0) - 1) in router.out:
                router.end(uid, outcome)
            router.pass_time(100 * MS)
        assert least <= router.balancer.spare <= most


def test_connections_dropped_unseen_are_closed_before_they_are_that_old():
    router = Router(count=3)
    lost, reopened = [], 0
    for i in range(60):
        router.now += 800 * MS if i % 2 else 100 * MS
        uid = router.ask(f"k{i % 3}")
        idle = router.balancer.held[uid].attempts[0].idle
        reopened += i >= 3 and idle is None
        lost.append((idle or 0) > 500 * MS)
        router.now += 900 * MS if lost[-1] else 20 * MS
        router.end(uid, Outcome.TIMEOUT if lost[-1] else Outcome.OK, final=True)
    assert sum(lost) <= 12 and reopened > 20  # left open, most would be lost


def test_slow_handshakes_do_not_narrow_the_gate():
    router = Router(count=3, limits=api.Limits(max_attempts=4, conn_idle_ns=50 * MS))
    for i in range(40):
        router.now += 100 * MS
        uid = router.ask(f"k{i}")
        router.now += 400 * MS
        router.end(uid, Outcome.OK)
    assert router.balancer.caches.narrowed_at == -math.inf


def test_silence_leaves_time_for_another_attempt_where_a_repeat_is_harmless():
    router = Router(count=3)
    for i in range(20):
        uid = router.ask(f"k{i}")
        router.now += 20 * MS
        router.end(uid, Outcome.OK)
    router.ask("k")
    assert router.sends[-1].timeout_ns == 250 * MS  # slow from then on; waited for longer, the next is late
    router.ask("k", 2)  # unsafe
    assert router.sends[-1].timeout_ns == 0
    router.balancer.caches.narrowed_at = router.now
    router.ask("k")
    assert router.sends[-1].timeout_ns == 0


def test_a_request_without_a_place_is_given_up_before_half_of_its_time():
    """Guards clients against being held until it is too late to come again or to try elsewhere."""
    router = Router(count=1)
    router.balancer.caches.limit, router.balancer.caches.starting = 1.0, False
    router.ask("k0")
    waiting = router.ask("k1", deadline=router.now + 1000 * MS)
    router.pass_time(440 * MS)
    assert waiting not in router.answers
    router.pass_time(20 * MS)
    assert isinstance(router.answers[waiting], api.Reject)


def test_a_refusal_says_when_to_come_again_by_the_line_and_within_the_settings():
    """Guards against clients that come back at once into the same full line."""

    def told(limit: float, **limits) -> int:
        router = Router(count=1, limits=api.Limits(max_attempts=4, retry_after=True, **limits))
        router.balancer.caches.limit, router.balancer.caches.starting = limit, False
        for i in range(8):
            waiting = router.ask(f"k{i}", deadline=router.now + 1000 * MS)
        router.pass_time(460 * MS)
        return router.answers[waiting].retry_after_ns

    assert 0 < told(2.0, max_retry_after_ns=60 * S) < told(1.0, max_retry_after_ns=60 * S)
    assert told(1.0, max_retry_after_ns=30 * MS) == 30 * MS


def test_where_the_settings_forbid_it_a_refusal_names_no_time():
    router = Router(count=1)
    router.balancer.caches.limit, router.balancer.caches.starting = 1.0, False
    router.ask("k0")
    waiting = router.ask("k1", deadline=router.now + 1000 * MS)
    router.pass_time(460 * MS)
    assert router.answers[waiting] == api.Reject(waiting, 0)


def test_the_walk_ends_once_no_server_is_left_also_after_a_failure():
    """Guards the node's core in a zone loss: each pick then walked the whole ring, about 1 ms of CPU."""

    class Steps(list):
        count = 0

        def __getitem__(self, i):
            self.count += 1
            return super().__getitem__(i)

    router = Router(count=4)
    uid = router.ask("k")
    held = router.balancer.held[uid]
    held.failed = list(router.balancer.ready)
    router.balancer.ring = Steps(router.balancer.ring)
    lookups = 2 * len(router.balancer.ring).bit_length()  # of the search for the key's place
    assert router.balancer.pick(held) is None
    assert router.balancer.ring.count <= lookups
    held.failed = held.failed[:1]
    for server in router.balancer.servers.values():
        server.barred_until = router.now + S
    router.balancer.ring.count = 0
    assert router.balancer.pick(held) in router.balancer.ready
    assert router.balancer.ring.count < len(router.balancer.ring) / 4


def test_nothing_of_the_module_grows_with_servers_and_requests_that_come_and_go():
    """Guards a long day: servers are replaced by others with new ids, some while attempts are out there."""
    router = Router(count=3)
    kept = members(3)
    sizes = []
    for i in range(60):
        new = api.Endpoint(f"new-{i}:80")
        router.tell(api.EndpointUpdate(UpdateKind.DELTA, 2 + i, (new,)))
        for j in range(12):
            router.ask(f"k{i}-{j}")
        gone = [api.Endpoint(new.server, EndpointState.GONE)]
        router.tell(
            api.EndpointUpdate(
                *((UpdateKind.FULL, 2 + i, kept) if i % 2 else (UpdateKind.DELTA, 2 + i, gone))
            )
        )
        router.pass_time(30 * MS)
        for uid, _ in list(router.out):
            router.end(uid, Outcome.FULL, final=True)
        refused = router.ask("k", deadline=router.now)
        assert refused in router.answers
        router.pass_time(3 * S)
        b = router.balancer
        sizes.append([len(x) for x in (b.servers, b.known, b.ring, b.held, b.timers, b.refused, b.shares)])
    assert sizes[-1] == sizes[19] and len(router.balancer.servers) == 4


def test_a_number_that_is_free_again_stands_for_its_new_server_only():
    router = Router(count=3)
    out = router.ask("k")
    server = router.server_of(out)
    router.tell(api.EndpointUpdate(UpdateKind.DELTA, 2, (api.Endpoint(server, EndpointState.GONE),)))
    assert server in router.balancer.servers  # an attempt is out there
    router.tell(api.EndpointUpdate(UpdateKind.DELTA, 3, (api.Endpoint("new:80"),)))
    router.end(out, Outcome.RESET, final=True)
    assert server not in router.balancer.servers
    router.tell(api.EndpointUpdate(UpdateKind.DELTA, 4, (api.Endpoint("newer:80"),)))
    names = {s: router.balancer.known[known.number] for s, known in router.balancer.servers.items()}
    assert all(s == name for s, name in names.items()) and len(names) == 5


def test_failures_everywhere_do_not_make_costs_climb_without_end():
    """Each failure was weighed against a fleet's cost that held the failures before: 10,000 times the usual
    within seconds of full queues, and a share of a tenth for servers that were well."""
    router = Router(count=6)
    for i in range(600):
        uid = router.ask(f"k{i}")
        router.pass_time(10 * MS)
        router.end(uid, Outcome.FULL if i % 3 == 0 and i > 60 else Outcome.OK, final=True)
    balancer = router.balancer
    assert balancer.fleet_cost <= HEALTHY / LEAST_SHARE * 1.1
    balancer.refresh_shares()
    assert min(balancer.shares.values()) > 0.5


def test_the_quick_refusals_of_a_sick_server_narrow_no_gate_while_others_are_well():
    """One small server left full: a gate at its floor, a hundred requests waiting, and four servers idle."""
    router = Router(count=6)
    for i in range(300):
        uid = router.ask(f"k{i}")
        router.pass_time(10 * MS)
        sick = router.server_of(uid) == "10.0.0.0:80"
        router.end(uid, Outcome.FULL if sick else Outcome.OK, final=True)
    caches = router.balancer.caches
    assert router.balancer.shares["10.0.0.0:80"] < SICK
    for key in (f"n{i}" for i in range(1000)):
        uid = router.ask(key)
        if router.server_of(uid) == "10.0.0.0:80":
            break
        router.pass_time(10 * MS)
        router.end(uid, Outcome.OK)
    other = router.ask(key)
    assert router.server_of(other) != "10.0.0.0:80"  # to be tried on, not to be filled
    router.pass_time(10 * MS)
    router.end(other, Outcome.OK)
    before = caches.limit = 12.0
    for _ in range(40):
        router.end(uid, Outcome.FULL, final=True)
        uid = router.ask(key)
        for _ in range(2):  # at the next server
            good = router.ask(key)
            router.pass_time(10 * MS)
            router.end(good, Outcome.OK)
    assert router.server_of(uid) == "10.0.0.0:80" and caches.limit >= before


def test_a_gate_narrows_from_the_most_in_flight_not_from_a_lull():
    gate = ConcurrencyLimiter(40.0)
    gate.peak, gate.inflight = 38, 2
    rounds(gate, 0, slow=True, count=8)
    assert gate.limit > 20


def test_a_lost_answer_of_the_origin_is_asked_for_again_but_not_its_refusal():
    for outcome, again in ((Outcome.TIMEOUT, True), (Outcome.RESET, True), (Outcome.FULL, False)):
        router = Router(count=3)
        uid = router.ask("k")
        router.end(uid, Outcome.MISS)
        origin = router.server_of(uid)
        assert router.sends[-1].timeout_ns == 250 * MS  # not until the client gives up
        router.pass_time(250 * MS)
        router.end(uid, outcome)
        assert router.server_of(uid) != origin  # it may be stored by now
        router.end(uid, Outcome.MISS)
        assert (uid not in router.answers and router.server_of(uid) == origin) is again


def test_one_sick_machine_does_not_make_others_of_its_kind_look_sick():
    """Guards the measure of the fleet: with idle ones as bad, one that refused all kept its keys."""
    router = Router(count=6)
    for i in range(400):
        uid = router.ask(f"k{i}")
        sick = router.server_of(uid) == "10.0.0.0:80"
        router.pass_time(10 * MS)
        router.end(uid, Outcome.FULL if sick else Outcome.OK, final=True)
    balancer = router.balancer
    balancer.now = router.now + 60 * S  # what is known of each by itself has faded
    balancer.refresh_shares()
    costs = [balancer.likely_cost(s, 1.0) for s in balancer.servers.values() if s.evidence]
    assert max(costs) < 1.3, costs


def test_connections_that_break_at_all_servers_alike_are_no_sign_of_load():
    """Guards gates and shares: with one in eight reset, gates closed and healthy servers lost their keys."""
    router, same = Router(count=6), 0
    for i in range(400):
        uid = router.ask(f"k{i}")
        home = router.server_of(uid)
        router.pass_time(10 * MS)
        router.end(uid, Outcome.RESET if i % 4 == 0 else Outcome.OK)
        if i % 4 == 0:
            same += router.server_of(uid) == home
            router.pass_time(10 * MS)
            router.end(uid, Outcome.OK)
    assert same > 80  # of 100: it has the key
    router.balancer.refresh_shares()
    assert router.balancer.caches.narrowed_at == -math.inf and min(router.balancer.shares.values()) > 0.5


def test_an_attempt_that_was_never_sent_does_not_make_a_request_tried():
    """Guards against refusals late in a client's time though nothing was ever written for it."""
    router = Router(count=1, limits=api.Limits(max_attempts=4, cancel=True))
    uid = router.ask(deadline=router.now + 1000 * MS)
    router.balancer.caches.limit, router.balancer.caches.starting = 0.5, False
    router.balancer.caches.next_at = router.now + 5 * S  # no place before its time is over
    router.end(uid, Outcome.WITHDRAWN)
    router.pass_time(460 * MS)
    assert isinstance(router.answers.get(uid), api.Reject)


def test_a_class_that_was_slow_is_tried_again_where_there_is_a_place():
    """Guards against a class that is refused for ever: what would show it quick again was never sent."""
    router = Router(count=3)
    router.balancer.latency[0, False] = 10 * S  # of a slow spell
    uid = router.ask(deadline=router.now + 500 * MS)  # 0.45 of it is less than half the aim
    assert router.server_of(uid) and uid not in router.answers
    late = router.ask(deadline=router.now + 100 * MS)  # but not with less time left than half its aim
    assert isinstance(router.answers.get(late), api.Reject)
