"""A small driver for the module: one router, its clock, and what it has out."""

from flintridge import Balancer, api
from flintridge.api import Outcome

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


class Router:
    def __init__(self, count: int = 5, seed: int = 1, **changes) -> None:
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.now = START
        self.next_id = 0
        self.tries: dict[str, int] = {}
        self.out: dict[tuple[str, int], tuple[str, int]] = {}  # (request, attempt) -> server, sent at
        self.deadlines: dict[str, int] = {}
        self.answers: dict[str, api.Action] = {}
        self.timers: list[tuple[int, int]] = []
        self.sends: list[api.Send] = []
        self.first = self.tell(api.EndpointUpdate(api.UpdateKind.CACHED, 1, members(count)))

    def tell(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, api.Send):
                assert action.id not in self.answers, "sent after the final answer"
                attempt = self.tries.get(action.id, 0)
                self.tries[action.id] = attempt + 1
                self.out[action.id, attempt] = (action.server, self.now)
                self.sends.append(action)
            elif isinstance(action, (api.Reject, api.Fail)):
                assert action.id not in self.answers, "two final answers"
                self.answers[action.id] = action
            elif isinstance(action, api.SetTimer):
                self.timers.append((action.at, action.token))
        return actions

    def ask(self, key: str | None = "k", cls: int = 0, **changes) -> str:
        self.next_id += 1
        uid = f"r{self.next_id}"
        deadline = changes.pop("deadline", self.now + self.settings.classes[cls].deadline_ns)
        self.deadlines[uid] = deadline
        self.tell(api.RequestReceived(uid, deadline, cls, key, **changes))
        return uid

    def server_of(self, uid: str) -> str:
        return self.out[uid, self.tries[uid] - 1][0]

    def end(self, uid: str, outcome: Outcome, final: bool | None = None, **more) -> list[api.Action]:
        attempt = self.tries[uid] - 1
        server, sent = self.out.pop((uid, attempt))
        closed = outcome is Outcome.OK or uid in self.answers if final is None else final
        if outcome is Outcome.OK:
            self.answers.setdefault(uid, api.Log("served"))
        return self.tell(api.AttemptEnded(uid, attempt, server, outcome, self.now - sent, closed, **more))

    def pass_time(self, ns: int) -> None:
        """Move the clock on, ringing what comes due on the way."""
        until = self.now + ns
        while due := [t for t in self.timers if t[0] <= until]:
            at, token = min(due)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.tell(api.TimerFired(token))
        self.now = until
