"""Mistakes to plant in a node that was just put together, so that the judge can show that it sees them.

Each wraps or replaces something of this one Node's objects; the node's own code has no part in it.
"""

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from flintridge import api
from flintridge.codec.memcache.encoder import encode_response
from flintridge.core.request import Request, UpstreamAttempt
from flintridge.core.response import Responder, Response
from flintridge.downstream.connection import ClientConnection
from flintridge.downstream.pipeline import PendingResponse
from flintridge.lab.defects.wrapping import Alter, every, put, wrap_replies
from flintridge.node import Node
from flintridge.policy.admission_queue import AdmissionQueue
from flintridge.policy.balancer import Balancer
from flintridge.policy.endpoint_state import Server
from flintridge.policy.open_request import OpenRequest
from flintridge.policy.slow_start import WarmUpUse, weight_root
from flintridge.runtime.clock import sleep, to_ns
from flintridge.upstream.connection import UpstreamConnection

OFTEN = 10  # each tenth request is hit
CLIENT_WAIT_MS = 1000.0  # of a client that names no time


def balancer_of(node: Node) -> Balancer:
    """The node's decision module. Raises TypeError where a trial put another one in."""
    module = node.core.policy_driver.policy
    if not isinstance(module, Balancer):
        raise TypeError(f"{type(module).__name__} is not the module that these defects are made for")
    return module


def _wait(request: Request) -> float:
    return CLIENT_WAIT_MS if request.timeout_ms is None else request.timeout_ms


# Answers to clients


def answer_after_deadline(node: Node) -> None:
    """Each tenth final answer is written 300 ms after its client's time is over."""
    hit = every(OFTEN)

    def alter(request: Request, reply: Responder) -> Responder:
        due = node.clock.now() + _wait(request) + 300
        return _Delayed(node, reply, lambda: due) if hit() else reply

    wrap_replies(node, alter)


def refusal_held_back(node: Node) -> None:
    """Refusals and failures are kept until 15 ms before the client's time is over."""

    def alter(request: Request, reply: Responder) -> Responder:
        due = node.clock.now() + _wait(request) - 15
        return _Delayed(node, reply, lambda: due, served=False)

    wrap_replies(node, alter)


class _Delayed(Alter):
    """Answers not before an instant."""

    def __init__(self, node: Node, reply: Responder, due: Callable[[], float], served: bool = True) -> None:
        super().__init__(reply)
        self._node = node
        self._due = due
        self._delays_served = served

    def _at(self, call: Callable[..., None], *args: Any) -> None:
        if self._due() <= self._node.clock.now():
            call(*args)
        else:
            self._node.clock.call_at(self._due(), call, *args)

    def respond(self, response: Response) -> None:
        if self._delays_served:
            self._at(self.reply.respond, response)
        else:
            self.reply.respond(response)

    def reject(self, retry_after_ms: float) -> None:
        self._at(self.reply.reject, retry_after_ms)

    def fail(self) -> None:
        self._at(self.reply.fail)


def client_never_answered(node: Node) -> None:
    """Each tenth request's final answer is forgotten."""
    hit = every(OFTEN)

    class Silent(Alter):
        def respond(self, response: Response) -> None: ...

        def reject(self, retry_after_ms: float) -> None: ...

        def fail(self) -> None: ...

    wrap_replies(node, lambda _, reply: Silent(reply) if hit() else reply)


def two_answers(node: Node) -> None:
    """Each tenth served answer is written twice."""
    hit = every(OFTEN)

    class Twice(Alter):
        def respond(self, response: Response) -> None:
            self.reply.respond(response)
            pending = self.reply
            if not isinstance(pending, PendingResponse):
                return
            connection = pending.connection
            if isinstance(connection, ClientConnection) and not connection._writer.is_closing():
                connection._writer.writelines(encode_response(pending.id, response))

    wrap_replies(node, lambda _, reply: Twice(reply) if hit() else reply)


def invented_value(node: Node) -> None:
    """Each tenth value has its last byte changed."""
    hit = every(OFTEN)

    class Changed(Alter):
        def respond(self, response: Response) -> None:
            last = b"#" if not response.body.endswith(b"#") else b"%"
            self.reply.respond(Response(response.body[:-1] + last, response.receipt))

    wrap_replies(node, lambda _, reply: Changed(reply) if hit() else reply)


def value_mixed_up(node: Node) -> None:
    """Each tenth read is given the value of the read that was served before it."""
    hit = every(OFTEN)
    before: list[Response] = []

    class Mixed(Alter):
        def respond(self, response: Response) -> None:
            other = before[0] if before and not response.receipt and hit() else response
            if not response.receipt:
                before[:] = [response]
            self.reply.respond(other)

    wrap_replies(node, lambda _, reply: Mixed(reply))


def dropped_at_sigterm(node: Node) -> None:
    """SIGTERM closes the listener and every connection at once, whatever is open on them."""

    async def leave() -> None:
        node.downstream.close()
        await sleep(node.clock, 50.0)

    put(node.downstream, "leave", leave)


def slow_to_leave(node: Node) -> None:
    """After SIGTERM all is answered, but the process stays on for as long as one may like."""
    leave = node.downstream.leave

    async def stay() -> None:
        await leave()
        longest = max(cls.deadline_ns for cls in node.core.settings.classes) / 1e6
        await sleep(node.clock, longest + 2000)

    put(node.downstream, "leave", stay)


def drain_ignored(node: Node) -> None:
    """The call to drain is told yes, and nothing is done."""
    put(node, "quiesce", lambda: True)


def stays_drained(node: Node) -> None:
    """The end of a drain is told yes, and the node stays drained."""
    put(node, "resume", lambda: True)


def breaks_on_leaving(node: Node) -> None:
    """After SIGTERM all is answered, but then the program ends by an error."""

    async def broken() -> None:
        await node.downstream.leave()
        await node.close()
        raise RuntimeError("planted")

    put(node, "leave", broken)


# Attempts


def keyed_write_twice_past_window(node: Node) -> None:
    """A keyed write without an answer is sent again, but only once its window is over."""
    _sent_again(
        node, api.Effect.KEYED, lambda request: request.request_class.deduplication_window_ns + to_ns(100.0)
    )


def retry_of_what_may_have_run(node: Node) -> None:
    """A request of an unsafe class that has no answer after 100 ms is sent once more."""
    _sent_again(node, api.Effect.UNSAFE, lambda _: to_ns(100.0))


def _sent_again(node: Node, effect: api.Effect, timeout_ns: Callable[[OpenRequest], int]) -> None:
    """The first attempt of what has this effect is awaited for `timeout_ns`, and then may_send's word on the
    effect does not count: time and number still bound the attempts."""
    balancer = balancer_of(node)
    retries = balancer.retries
    usual_timeout_ns = balancer.attempt_timeout.timeout_ns
    may_send = retries.may_send
    repeat_by = retries.repeat_by

    def impatient(request: OpenRequest, queue: AdmissionQueue, now: int) -> int:
        first = request.request_class.effect is effect and not request.attempts[1:]
        return timeout_ns(request) if first else usual_timeout_ns(request, queue, now)

    def regardless(request: OpenRequest, endpoint: api.Endpoint, now: int) -> bool:
        if request.request_class.effect is not effect:
            return may_send(request, endpoint, now)
        in_time = now < request.event.deadline
        return in_time and len(request.attempts) < retries.max_attempts

    def always(request: OpenRequest) -> float:
        return math.inf if request.request_class.effect is effect else repeat_by(request)

    put(retries, "repeat_by", always)  # else the delivery would not write it
    put(balancer.attempt_timeout, "timeout_ns", impatient)
    put(retries, "may_send", regardless)


def refuses_what_may_have_run(node: Node) -> None:
    """Where a failure is due, as a repeat may do harm, the client is told to come again."""
    driver = node.core.policy_driver
    carry_out = driver.carry_out

    def mild(action: api.Action) -> None:
        carry_out(api.Reject(action.id, to_ns(50.0)) if isinstance(action, api.Fail) else action)

    put(driver, "carry_out", mild)


def attempts_without_cap(node: Node) -> None:
    """The limit of attempts is taken for a much larger one."""
    balancer = balancer_of(node)
    settings = balancer.settings
    more = replace(settings, limits=replace(settings.limits, max_attempts=1000))
    put(balancer.retries, "max_attempts", more.limits.max_attempts)
    put(node.core, "settings", more)


def asks_after_the_answer(node: Node) -> None:
    """Each tenth request is sent to its server once more, 400 ms after its client has the answer."""
    hit = every(OFTEN)
    start = node.dispatcher.start

    def once_more(attempt: UpstreamAttempt) -> None:
        now = node.clock.now()
        start(
            replace(
                attempt,
                number=1000,
                sent_at=now,
                deadline=now + 500,
                ended=False,
                abort=None,
                request_ended=False,
            )
        )

    class Later(Alter):
        uid = ""

        def respond(self, response: Response) -> None:
            self.reply.respond(response)
            if (attempt := started.pop(self.uid, None)) is not None:
                node.clock.call_at(node.clock.now() + 400, once_more, attempt)

    def alter(request: Request, reply: Responder) -> Responder:
        if request.write or not hit():
            return reply
        later = Later(reply)
        later.uid = request.id.decode("ascii")
        return later

    started: dict[str, UpstreamAttempt] = {}

    def noted(attempt: UpstreamAttempt) -> None:
        started[attempt.id] = attempt
        start(attempt)

    put(node.dispatcher, "start", noted)
    wrap_replies(node, alter)


def key_altered(node: Node) -> None:
    """Each tenth attempt asks for another key than the client did."""
    _alter_requests(node, lambda request: replace(request, key=request.key + b"x"))


def time_left_not_told(node: Node) -> None:
    """Servers are told the client's whole time, however much of it is over."""
    _alter_requests(node, lambda request: replace(request, timeout_span=None), often=1)


def retries_told_whole_time(node: Node) -> None:
    """Further attempts at a request, at caches and at the origin, tell the client's whole time."""
    _alter_requests(node, lambda request: replace(request, timeout_span=None), often=1, from_number=1)


def _alter_requests(
    node: Node, change: Callable[[Request], Request], often: int = OFTEN, from_number: int = 0
) -> None:
    hit = every(often)
    start = node.dispatcher.start

    def altered(attempt: UpstreamAttempt) -> None:
        if attempt.number >= from_number and hit():
            attempt.request = change(attempt.request)
        start(attempt)

    put(node.dispatcher, "start", altered)


# The fleet


def fresh_work_3s_after_drain(node: Node) -> None:
    """What the list says of servers that leave is taken in 4 s late."""
    tell = node.discovery_watcher._notify

    def late(members: api.EndpointUpdate) -> None:
        leaving = any(m.state is not api.EndpointState.READY for m in members.endpoints)
        if leaving:
            node.clock.call_at(node.clock.now() + 4000, tell, members)
        else:
            tell(members)

    put(node.discovery_watcher, "_notify", late)


def cold_budget_ignored(node: Node) -> None:
    """A server that has just started is taken for a warm one, and for the best of all."""
    balancer = balancer_of(node)

    def is_within_budget(endpoint: api.Endpoint, use: WarmUpUse, work: float, now: int) -> bool:
        return True

    def warmth(endpoint: api.Endpoint, now: int) -> float:
        return 1.0

    def fraction(server: Server, now: int) -> float:
        root = weight_root(server.endpoint.weight, balancer.table.max_weight)
        return balancer.outliers.health(server, now) * root

    put(balancer.slow_start, "is_within_budget", is_within_budget)
    put(balancer.slow_start, "warmth", warmth)
    put(balancer.outliers, "fraction", fraction)
    _prefer_cold(balancer, is_within_budget)


def _prefer_cold(balancer: Balancer, may_get: Callable[[api.Endpoint, WarmUpUse, float, int], bool]) -> None:
    """A cold server is picked before all others, as long as it may get more."""
    pick = balancer.selection.pick

    def eager(request: OpenRequest, now: int) -> str | None:
        cold_ns = balancer.settings.rules.slow_start_ns
        for name in balancer.ready:
            server = balancer.servers[name]
            started = server.endpoint.started_at
            is_cold = started and now - started < cold_ns and name not in request.failed_servers
            if is_cold and may_get(server.endpoint, server.warm_up, request.work, now):
                return name
        return pick(request, now)

    put(balancer.selection, "pick", eager)


def cold_budget_not_divided(node: Node) -> None:
    """Each node sends a cold server at once all that it may get from the whole fleet."""
    balancer = balancer_of(node)
    node_work = balancer.slow_start.node_work
    put(balancer.slow_start, "node_work", lambda: balancer.settings.fleet_size * node_work())
    _prefer_cold(balancer, balancer.slow_start.is_within_budget)


def connection_leak(node: Node) -> None:
    """Connections to servers are neither used again nor closed, and no longer counted."""
    lost: list[UpstreamConnection] = []

    def forget(server: str, connection: UpstreamConnection, names_request: bool = True) -> None:
        lost.append(connection)
        node.dispatcher.pool.open_count -= 1

    put(node.dispatcher.pool, "release", forget)
