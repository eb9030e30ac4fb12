"""Model of discovery without sockets: the endpoint list, the calls, and which nodes are notified."""

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
MAX_FIRST_REVISION = 2000  # exclusive


@dataclass(slots=True, frozen=True)
class Notification:
    """A notification of a node.

    Attributes:
        node: Name of the node.
        revision: Revision of the list.
        complete: Whether `endpoints` are the complete list.
        endpoints: All endpoints of the list, or only those that changed.
        assumed: Whether the node only counts as notified and may not have received the list.
    """

    node: str
    revision: int
    complete: bool
    endpoints: tuple[Endpoint, ...]
    assumed: bool


class DiscoveryModel:
    """One discovery service for all nodes, independent of its addresses.

    `calls.slow` and `endpoints.stale_since` may be set at any time. `set_down` is a method because going
    down ends calls.

    Attributes:
        endpoints: The endpoint list.
        calls: The queue of calls.
        notifications: Tracks which nodes count as notified.
    """

    def __init__(
        self, spec: Discovery, poll_within_ms: float, seeds: Seeds, is_cut_off: Callable[[str], bool]
    ) -> None:
        """Start with an empty list.

        Args:
            spec: The scenario's settings of discovery.
            poll_within_ms: Time within which a node has to make its next call (ms).
            seeds: Source of its random numbers.
            is_cut_off: Returns whether calls of a node currently cannot reach discovery.
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
        """How discovery is down, as in `CallQueue.down`."""
        return self.calls.down

    def set_down(self, now: float, mode: str) -> list[CallResponse]:
        """Go down in this mode, or come up if `mode` is empty.

        Args:
            now: Time of the run in milliseconds.
            mode: One of the modes of `CallQueue.down`.

        Returns:
            Responses to the calls that end because discovery goes down.
        """
        closed = self.calls.set_down(mode)
        for call in closed.calls:
            self.notifications.failed(now, call.node, call.key)
        return closed.responses

    def call(self, now: float, key: int, node: str, after: int, wait_ms: float) -> CallResponse | None:
        """Queue a node's call; the arguments are those of `CallQueue.arrive`.

        Returns:
            The response if discovery is down and responds; `advance` returns all other responses.
        """
        arrival = self.calls.arrive(now, key, node, after, wait_ms)
        self.notifications.called(now, node, key, arrival.call.wait_until)
        if self.down:
            self.notifications.failed(now, node, key)
        return arrival.response

    def disconnect(self, now: float, key: int, *, broken: bool = False) -> None:
        """End a call whose connection closed at `now` (ms); `broken`: it was reset."""
        call = self.calls.remove(key)
        if call is not None:
            self.notifications.disconnected(now, call.node, key, broken=broken)

    def advance(self, now: float) -> list[CallResponse]:
        """List changes that are due at `now` (ms), serve calls, and return the responses to write."""
        self.endpoints.advance(now)
        return self.calls.advance(now)

    def due(self) -> float | None:
        """Return when `advance` next has something to do (ms of the run), if nothing changes until then."""
        times = [at for at in (self.endpoints.due(), self.calls.due()) if at is not None]
        return min(times) if times else None

    def responded(self, now: float, response: CallResponse, *, delivered: bool) -> Notification | None:
        """Record that a response was written.

        Args:
            now: Time of the run in milliseconds.
            response: The response.
            delivered: Whether the response can reach the node.

        Returns:
            The notification that the response contains; None if there is none.
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
        """Add a new process of a node, whose configuration holds the complete list.

        Args:
            now: Time of the run in milliseconds.
            node: Name of the node.

        Returns:
            The notification by the configuration.
        """
        revision = self.endpoints.revision
        self.notifications.started(now, node, revision)
        return _notification(node, revision, self.endpoints.snapshot(), complete=True)

    def check(self, now: float) -> list[Notification]:
        """Return the assumed notifications up to `now` (ms)."""
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
    """Return a function that draws a number of milliseconds from a span of seconds."""
    return lambda: draw(rng, span_s) * 1000
