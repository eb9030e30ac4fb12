"""Discovery without its sockets: the endpoint list, the calls, and who is notified."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from flintridge.lab.scenario.model import Discovery, Span
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.assumed_notifications import NotificationModel
from flintridge.lab.world.call_queue import OK, CallQueue, CallResponse
from flintridge.lab.world.draws import draw
from flintridge.lab.world.endpoint_list import Endpoint, EndpointChange, EndpointList

MIN_FIRST_REVISION = 20
MAX_FIRST_REVISION = 2000  # excluded


@dataclass(slots=True, frozen=True)
class Notification:
    """A node counts as notified.

    Attributes:
        node: The node.
        revision: Of the list.
        complete: Whether it is the complete list.
        endpoints: Of the list, or those that changed.
        assumed: Whether it counts as notified although it may not be.
    """

    node: str
    revision: int
    complete: bool
    endpoints: tuple[Endpoint, ...]
    assumed: bool


class DiscoveryModel:
    """One service for all nodes, at whatever addresses.

    `calls.slow` and `endpoints.stale_since` may be set at any time; `set_down` is a call, as it ends others.

    Attributes:
        endpoints: The endpoint list.
        calls: The calls to it.
        notifications: Who counts as notified.
    """

    def __init__(
        self, spec: Discovery, poll_within_ms: float, seeds: Seeds, is_cut_off: Callable[[str], bool]
    ) -> None:
        """Start with an empty list.

        Args:
            spec: What the scenario says of it.
            poll_within_ms: Time within which a node has to call.
            seeds: Where its draws come from.
            is_cut_off: Whether no call of a node can arrive at present.
        """
        rng = seeds.of("discovery")
        self.endpoints = EndpointList(
            rng.randrange(MIN_FIRST_REVISION, MAX_FIRST_REVISION),
            _draws_of(spec.notice_s, seeds.of("discovery/notice")),
            _draws_of(spec.silent_s, seeds.of("discovery/silent")),
        )
        self.calls = CallQueue(self.endpoints, draw(rng, spec.call_ms), spec.line_ms, spec.timeout_ms)
        self.notifications = NotificationModel(self.endpoints, poll_within_ms, is_cut_off)

    @property
    def down(self) -> str:
        """How it is down, as `CallQueue.down`."""
        return self.calls.down

    def set_down(self, now: float, mode: str) -> list[CallResponse]:
        """Go down, or come up with "".

        Args:
            now: Time of the run in milliseconds.
            mode: As `CallQueue.down`.

        Returns:
            What is written to the calls that this ends.
        """
        closed = self.calls.set_down(mode)
        for call in closed.calls:
            self.notifications.failed(now, call.node, call.key)
        return closed.responses

    def call(self, now: float, key: int, node: str, after: int, wait_ms: float) -> CallResponse | None:
        """Take in a node's call; the arguments are those of `CallQueue.arrive`.

        Returns:
            A response only if discovery is down and says so; all others come from `advance`.
        """
        arrival = self.calls.arrive(now, key, node, after, wait_ms)
        self.notifications.called(now, node, key, arrival.call.wait_until)
        if self.down:
            self.notifications.failed(now, node, key)
        return arrival.response

    def disconnect(self, now: float, key: int, *, broken: bool = False) -> None:
        """End a call whose caller is gone at `now` (ms); `broken`: by a reset."""
        call = self.calls.leave(key)
        if call is not None:
            self.notifications.disconnected(now, call.node, key, broken=broken)

    def advance(self, now: float) -> list[CallResponse]:
        """List what is due at `now` (ms), and go on with the calls; the responses to write."""
        self.endpoints.advance(now)
        return self.calls.advance(now)

    def due(self) -> float | None:
        """When `advance` has something to do next (ms of the run), if nothing else happens."""
        times = [at for at in (self.endpoints.due(), self.calls.due()) if at is not None]
        return min(times) if times else None

    def responded(self, now: float, response: CallResponse, *, delivered: bool) -> Notification | None:
        """Take note of a response.

        Args:
            now: Time of the run in milliseconds.
            response: What was written.
            delivered: Whether the bytes are on their way.

        Returns:
            What the node is notified of by it.
        """
        call = response.call
        if response.malformed or response.status != OK:
            self.notifications.failed(now, call.node, call.key)
            return None
        self.notifications.responded(
            now, call.node, call.key, response.revision, watches=call.watches, delivered=delivered
        )
        if not delivered or not (response.changes or response.complete):
            return None
        return _notification(call.node, response.revision, response.changes, complete=response.complete)

    def node_started(self, now: float, node: str) -> Notification:
        """Take note of a new process, which has the complete list as its known one.

        Args:
            now: Time of the run in milliseconds.
            node: The node.

        Returns:
            What it is notified of by that.
        """
        revision = self.endpoints.revision
        self.notifications.started(now, node, revision)
        return _notification(node, revision, self.endpoints.snapshot(), complete=True)

    def check(self, now: float) -> list[Notification]:
        """Who counts as notified by `now` (ms) without having been."""
        return [
            _notification(item.node, item.revision, item.changes, assumed=True)
            for item in self.notifications.check(now)
        ]


def _notification(
    node: str,
    revision: int,
    changes: Sequence[EndpointChange],
    *,
    complete: bool = False,
    assumed: bool = False,
) -> Notification:
    return Notification(node, revision, complete, tuple(change.endpoint for change in changes), assumed)


def _draws_of(span_s: Span, rng: random.Random) -> Callable[[], float]:
    """Draws milliseconds from a span of seconds, one at a time."""
    return lambda: draw(rng, span_s) * 1000
