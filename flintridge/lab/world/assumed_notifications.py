"""Assumed notifications: when a node counts as notified of the endpoint list although it was not.

The model favours the node: anything that may excuse it (a cut link, a failed call, a pause) postpones that
time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from flintridge.lab.world.endpoint_list import EndpointChange, EndpointList

WATCH_GAP_MS = 200.0  # a watch counts as continued if the next call follows its response within this time
RESPONSE_ASSUMED_MS = 6000.0  # a response counts as received this long after its call, even if it is lost
WATCH_RESPONSE_ASSUMED_MS = 2000.0  # the response to a watch counts as received this long after its wait
RELOAD_ASSUMED_MS = 4000.0  # the list as of a SIGHUP counts as received this long after it
FAILED_CALL_FACTOR = 4.0  # multiplies the time within which a node has to call, after a failed call


@dataclass(slots=True, frozen=True)
class UnconfirmedRevision:
    """A revision that counts as received from a later time on, even if the response was lost.

    Attributes:
        assumed_at: When it starts to count as received (ms of the run).
        revision: The revision.
    """

    assumed_at: float
    revision: int


@dataclass(slots=True)
class SubscriberState:
    """What discovery knows about a node's process.

    Attributes:
        notified: The revision up to which it is notified.
        last_contact: When it last called, or its watch was last open (ms of the run).
        failed: Whether its last call failed.
        paused: Whether the process is paused.
        open_calls: Time when the response to an open call counts as received (ms of the run), by call key.
        unconfirmed: Revisions that start to count as received at a later time.
    """

    notified: int
    last_contact: float
    failed: bool = False
    paused: bool = False
    open_calls: dict[int, float] = field(default_factory=dict)
    unconfirmed: list[UnconfirmedRevision] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class AssumedNotification:
    """A node starts to count as notified although it was not.

    Attributes:
        node: Name of the node.
        revision: The revision up to which it counts as notified.
        changes: The changes that it is assumed to know from now on.
    """

    node: str
    revision: int
    changes: list[EndpointChange]


class NotificationModel:
    """Tracks the calls of each node and determines which nodes to assume notified."""

    def __init__(
        self, endpoints: EndpointList, poll_within_ms: float, is_cut_off: Callable[[str], bool]
    ) -> None:
        """Start with no node.

        Args:
            endpoints: The endpoint list.
            poll_within_ms: Time within which a node has to make its next call (ms).
            is_cut_off: Returns whether calls of a node currently cannot reach discovery.
        """
        self._endpoints = endpoints
        self._poll_within_ms = poll_within_ms
        self._is_cut_off = is_cut_off
        self._subscribers: dict[str, SubscriberState] = {}

    def started(self, now: float, node: str, revision: int) -> None:
        """Add a new process of a node, which its configuration has notified of this revision."""
        self._subscribers[node] = SubscriberState(revision, now)

    def stopped(self, node: str) -> None:
        """Remove the process of a node, which has ended."""
        self._subscribers.pop(node, None)

    def paused(self, now: float, node: str, paused: bool) -> None:
        """Set whether a process is paused; its time to make the next call restarts."""
        subscriber = self._subscribers.get(node)
        if subscriber is not None:
            subscriber.paused = paused
            subscriber.last_contact = max(subscriber.last_contact, now)

    def called(self, now: float, node: str, key: int, wait_until: float) -> None:
        """Add a call that arrived.

        Args:
            now: Time of the run in milliseconds.
            node: Name of the calling node.
            key: Key of the call.
            wait_until: End of its wait (ms of the run); not after `now` for a call that may not wait.
        """
        subscriber = self._subscribers.get(node)
        if subscriber is None:
            return
        subscriber.last_contact = now
        if wait_until > now:
            subscriber.open_calls[key] = wait_until + WATCH_RESPONSE_ASSUMED_MS
        else:
            subscriber.open_calls[key] = now + RESPONSE_ASSUMED_MS

    def responded(
        self, now: float, node: str, key: int, revision: int, *, watches: bool, delivered: bool
    ) -> None:
        """End a call with a response.

        Args:
            now: Time of the run in milliseconds.
            node: Name of the calling node.
            key: Key of the call.
            revision: Revision of the list in the response.
            watches: Whether the call was allowed to wait.
            delivered: Whether the response can reach the node.
        """
        subscriber = self._subscribers.get(node)
        if subscriber is None:
            return
        assumed_at = subscriber.open_calls.pop(key, now + RESPONSE_ASSUMED_MS)
        subscriber.last_contact = now + (WATCH_GAP_MS if watches else 0.0)
        subscriber.failed = not delivered
        if delivered:
            subscriber.notified = max(subscriber.notified, revision)
        else:
            subscriber.unconfirmed.append(UnconfirmedRevision(max(assumed_at, now), revision))

    def failed(self, now: float, node: str, key: int) -> None:
        """End a call that failed with an error or will never get a response."""
        subscriber = self._subscribers.get(node)
        if subscriber is not None:
            subscriber.open_calls.pop(key, None)
            subscriber.last_contact = now
            subscriber.failed = True

    def disconnected(self, now: float, node: str, key: int, *, broken: bool) -> None:
        """End a call that the node abandoned before its response.

        The call counts as failed only if the connection was reset or the time of the call was over, which is
        `WATCH_RESPONSE_ASSUMED_MS` before its response would count as received.

        Args:
            now: Time of the run in milliseconds.
            node: Name of the calling node.
            key: Key of the call.
            broken: Whether the connection was reset.
        """
        subscriber = self._subscribers.get(node)
        if subscriber is None or key not in subscriber.open_calls:
            return
        assumed_at = subscriber.open_calls.pop(key)
        subscriber.last_contact = now
        if broken or now >= assumed_at - WATCH_RESPONSE_ASSUMED_MS:
            subscriber.failed = True

    def unreachable(self, now: float, node: str) -> None:
        """Treat a node whose calls cannot reach discovery at `now` (ms) like a node whose call failed."""
        subscriber = self._subscribers.get(node)
        if subscriber is not None:
            subscriber.last_contact = max(subscriber.last_contact, now)
            subscriber.failed = True

    def reloaded(self, now: float, node: str) -> None:
        """Note a SIGHUP with a new address of discovery; a correct node calls that address immediately."""
        subscriber = self._subscribers.get(node)
        if subscriber is not None:
            unconfirmed = UnconfirmedRevision(now + RELOAD_ASSUMED_MS, self._endpoints.revision)
            subscriber.unconfirmed.append(unconfirmed)

    def check(self, now: float) -> list[AssumedNotification]:
        """Return the nodes that start to count as notified by `now` (ms), once for each change."""
        assumed: list[AssumedNotification] = []
        for node, subscriber in self._subscribers.items():
            if subscriber.notified == self._endpoints.revision:
                subscriber.unconfirmed.clear()
                continue
            if subscriber.paused:
                continue
            if self._is_cut_off(node):
                self.unreachable(now, node)
                continue
            revision = max(
                self._pop_due_unconfirmed(now, subscriber), self._overdue_revision(now, subscriber)
            )
            if revision > subscriber.notified:
                changes = self._endpoints.changes_between(subscriber.notified, revision)
                subscriber.notified = revision
                if changes:
                    assumed.append(AssumedNotification(node, revision, changes))
        return assumed

    @staticmethod
    def _pop_due_unconfirmed(now: float, subscriber: SubscriberState) -> int:
        """Remove the unconfirmed revisions that are due and return the latest of them; 0 if there is none."""
        due = [item.revision for item in subscriber.unconfirmed if item.assumed_at <= now]
        if due:
            subscriber.unconfirmed = [item for item in subscriber.unconfirmed if item.assumed_at > now]
        return max(due, default=0)

    def _overdue_revision(self, now: float, subscriber: SubscriberState) -> int:
        """Return the revision listed longer ago than a node may go without a call; 0 while it is in time."""
        within_ms = self._poll_within_ms * (FAILED_CALL_FACTOR if subscriber.failed else 1.0)
        if subscriber.open_calls or subscriber.last_contact + within_ms > now:
            return 0
        return self._endpoints.revision_at(now - within_ms)
