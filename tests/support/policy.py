"""A small driver for the policy: one router with its clock and its attempts in flight."""

import random
from collections.abc import Callable
from dataclasses import replace

from flintridge import Balancer, api
from flintridge.api import Outcome
from flintridge.policy.open_request import Attempt, OpenRequest

MS = 1_000_000
S = 1_000 * MS
START = 1_000 * S
ORIGIN_KIND = 9


def settings(**changes) -> api.Settings:
    values = {
        "classes": (
            api.RequestClass(name="read", latency_objective_ns=500 * MS, deadline_ns=2 * S),
            api.RequestClass(
                name="keyed",
                latency_objective_ns=S,
                deadline_ns=3 * S,
                effect=api.Effect.KEYED,
                deduplication_window_ns=400 * MS,
            ),
            api.RequestClass(
                name="unsafe", latency_objective_ns=S, deadline_ns=3 * S, effect=api.Effect.UNSAFE
            ),
        ),
        "rules": api.Rules(
            answer_slack_ns=20 * MS,
            drain_grace_ns=500 * MS,
            slow_start_fraction=0.3,
            slow_start_ns=10 * S,
            overload_multiple=3.0,
            overload_window_ns=S,
        ),
        "limits": api.Limits(max_attempts=4, cancel=True),
        "discovery": api.DiscoveryMode.POLLED,
        "mode": api.CacheMode.ASIDE,
        "origin_kind": ORIGIN_KIND,
    }
    return api.Settings(**(values | changes))


def members(count: int, **changes) -> tuple[api.Endpoint, ...]:
    caches = tuple(api.Endpoint(f"10.0.0.{i}:80", **changes) for i in range(count))
    return (*caches, api.Endpoint("10.9.9.9:80", kind=ORIGIN_KIND))


def open_request(key: str | None = "k", now: int = START, **changes) -> OpenRequest:
    """A new request. `changes` may name fields of `OpenRequest`, of the event or of the request class."""
    event = {"deadline": now + 2 * S, "id": "r1"}
    request_class = {"latency_objective_ns": 500 * MS, "deadline_ns": 2 * S}
    attempt_budget_ns = changes.pop("attempt_budget_ns", S)
    slow_after_ns = changes.pop("slow_after_ns", 250 * MS)
    for name in list(changes):
        if name in api.RequestReceived.__slots__:
            event[name] = changes.pop(name)
        elif name in api.RequestClass.__slots__:
            request_class[name] = changes.pop(name)
    received = api.RequestReceived(key=key, **event)
    request = OpenRequest.received(
        received, api.RequestClass(**request_class), attempt_budget_ns, slow_after_ns
    )
    for name, value in changes.items():
        setattr(request, name, value)
    return request


def attempted(request: OpenRequest, server: str, outcome: Outcome, cell: int = 0) -> Attempt:
    """Add an attempt that has ended to a request."""
    attempt = Attempt(server, START, None)
    request.attempts.append(attempt)
    request.record_end(attempt, outcome, api.Endpoint(server, cell=cell))
    return attempt


def ended(outcome: Outcome, latency_ns: int = 10 * MS, **changes) -> api.AttemptEnded:
    """The event for the end of an attempt."""
    return api.AttemptEnded("r1", 0, "s", outcome, latency_ns, False, **changes)


class Router:
    def __init__(self, count: int = 5, seed: int = 1, **changes) -> None:
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.now = START
        self.next_id = 0
        self.attempts_made: dict[str, int] = {}
        self.in_flight: dict[tuple[str, int], tuple[str, int]] = {}  # (request, attempt) -> server, sent at
        self.deadlines: dict[str, int] = {}
        self.final_responses: dict[str, api.Action] = {}
        self.timers: list[tuple[int, int]] = []
        self.sends: list[api.Send] = []
        self.first = self.notify(api.EndpointUpdate(api.UpdateKind.CACHED, 1, members(count)))

    def notify(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, api.Send):
                assert action.id not in self.final_responses, "sent after the final response"
                attempt = self.attempts_made.get(action.id, 0)
                self.attempts_made[action.id] = attempt + 1
                self.in_flight[action.id, attempt] = (action.server, self.now)
                self.sends.append(action)
            elif isinstance(action, (api.Reject, api.Fail)):
                assert action.id not in self.final_responses, "two final responses"
                self.final_responses[action.id] = action
            elif isinstance(action, api.SetTimer):
                self.timers.append((action.at, action.token))
        return actions

    def request(self, key: str | None = "k", cls: int = 0, **changes) -> str:
        self.next_id += 1
        request_id = f"r{self.next_id}"
        deadline = changes.pop("deadline", self.now + self.settings.classes[cls].deadline_ns)
        self.deadlines[request_id] = deadline
        self.notify(api.RequestReceived(request_id, deadline, cls, key, **changes))
        return request_id

    def server_of(self, request_id: str) -> str:
        return self.in_flight[request_id, self.attempts_made[request_id] - 1][0]

    def end_attempt(
        self, request_id: str, outcome: Outcome, final: bool | None = None, **more
    ) -> list[api.Action]:
        attempt = self.attempts_made[request_id] - 1
        server, sent = self.in_flight.pop((request_id, attempt))
        closed = outcome is Outcome.OK or request_id in self.final_responses if final is None else final
        if outcome is Outcome.OK:
            self.final_responses.setdefault(request_id, api.Log("served"))
        return self.notify(
            api.AttemptEnded(request_id, attempt, server, outcome, self.now - sent, closed, **more)
        )

    def advance(self, ns: int) -> None:
        """Advance the clock and fire the timers that become due."""
        until = self.now + ns
        while due := [t for t in self.timers if t[0] <= until]:
            at, token = min(due)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.notify(api.TimerFired(token))
        self.now = until


def actions_under_load(
    seed: int, event_changes: Callable[[int], dict[str, bool]] = lambda _: {}, **changes
) -> list[api.Action]:
    """Play random requests of a small fleet in overload, and return all actions.

    Args:
        seed: Determines the requests and the ends of their attempts.
        event_changes: Returns the fields of the request with this number that differ.
        changes: Settings that differ.
    """
    rng = random.Random(seed)
    tenants = (api.Tenant("one", 4.0), api.Tenant("two", 40.0))
    router = Router(count=2, **({"tenants": tenants} | changes))
    actions: list[api.Action] = []
    for number in range(300):
        deadline = router.now + rng.randint(100, 1500) * MS
        key, class_index = f"k{rng.randrange(20)}", rng.choice((0, 0, 0, 1))
        event = api.RequestReceived(f"r{number}", deadline, class_index, key, tenant=rng.randrange(2))
        router.deadlines[event.id] = deadline
        actions += router.notify(replace(event, **event_changes(number)))
        router.advance(rng.randint(0, 20) * MS)
        while router.in_flight and rng.random() < 0.4:
            request_id, _ = rng.choice(list(router.in_flight))
            actions += router.end_attempt(request_id, rng.choice((Outcome.OK, Outcome.MISS, Outcome.FULL)))
    assert {api.Send, api.Reject} <= {type(action) for action in actions}
    return actions
