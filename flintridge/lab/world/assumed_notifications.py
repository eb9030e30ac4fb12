"""Assumed notifications: when a node counts as notified of the endpoint list although it was not.

The model favours the node: what might excuse it (a cut link, a call that failed, a pause) puts the moment
off.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from flintridge.lab.world.endpoint_list import EndpointChange, EndpointList

WATCH_GAP_MS = 200.0  # a watch goes on if the next call comes within this of a response
RESPONSE_ASSUMED_MS = 6000.0  # after which a response counts as received, arrived or not,
WATCH_RESPONSE_ASSUMED_MS = 2000.0  # and after the wait of a call that might wait
RELOAD_ASSUMED_MS = 4000.0  # after SIGHUP
FAILED_CALL_FACTOR = 4.0  # times as long that a node has after a failed call


@dataclass(slots=True, frozen=True)
class UnconfirmedRevision:
    """A revision that counts as received later, arrived or not.

    Attributes:
        assumed_at: From when on it does (ms of the run).
        revision: The revision.
    """

    assumed_at: float
    revision: int


@dataclass(slots=True)
class SubscriberState:
    """What discovery knows of a node's process.

    Attributes:
        notified: The revision up to which it is notified.
        last_contact: When it last called, or its watch was last open (ms of the run).
        failed: Whether its last call failed.
        paused: Whether the process stands still.
        open_calls: When the response to each open call counts as received (ms of the run), by its key.
        unconfirmed: Revisions that count as received later.
    """

    notified: int
    last_contact: float
    failed: bool = False
    paused: bool = False
    open_calls: dict[int, float] = field(default_factory=dict)
    unconfirmed: list[UnconfirmedRevision] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class AssumedNotification:
    """A node counts as notified.

    Attributes:
        node: The node.
        revision: Up to this revision.
        changes: What it is assumed to know by it.
    """

    node: str
    revision: int
    changes: list[EndpointChange]


class NotificationModel:
    """Follows the calls of each node and tells whom to assume notified."""

    def __init__(
        self, endpoints: EndpointList, poll_within_ms: float, is_cut_off: Callable[[str], bool]
    ) -> None:
        """Start with no node.

        Args:
            endpoints: The list.
            poll_within_ms: Time within which a node has to call.
            is_cut_off: Whether no call of a node can arrive at present.
        """
        self._endpoints = endpoints
        self._poll_within_ms = poll_within_ms
        self._is_cut_off = is_cut_off
        self._subscribers: dict[str, SubscriberState] = {}

    def started(self, now: float, node: str, revision: int) -> None:
        """Take note of a new process, notified of the list by its configuration."""
        self._subscribers[node] = SubscriberState(revision, now)

    def stopped(self, node: str) -> None:
        """Take note that a process is gone."""
        self._subscribers.pop(node, None)

    def paused(self, now: float, node: str, paused: bool) -> None:
        """Take note that a process stands still, or goes on; its time begins anew then."""
        subscriber = self._subscribers.get(node)
        if subscriber is not None:
            subscriber.paused = paused
            subscriber.last_contact = max(subscriber.last_contact, now)

    def called(self, now: float, node: str, key: int, wait_until: float) -> None:
        """Take note of a call.

        Args:
            now: Time of the run in milliseconds.
            node: The caller.
            key: Of the call.
            wait_until: End of its wait (ms of the run), in the past for one that may not wait.
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
        """Take note of a response.

        Args:
            now: Time of the run in milliseconds.
            node: The caller.
            key: Of the call.
            revision: Up to which the response goes.
            watches: Whether the call might wait.
            delivered: Whether the bytes are on their way.
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
        """Take note of a call that ended in an error, or was never answered."""
        subscriber = self._subscribers.get(node)
        if subscriber is not None:
            subscriber.open_calls.pop(key, None)
            subscriber.last_contact = now
            subscriber.failed = True

    def disconnected(self, now: float, node: str, key: int, *, broken: bool) -> None:
        """Take note that a node left a call before its response.

        That is no failed call unless its time was over.

        Args:
            now: Time of the run in milliseconds.
            node: The caller.
            key: Of the call.
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
        """Take note that no call of a node can arrive at `now` (ms): as good as one that failed."""
        subscriber = self._subscribers.get(node)
        if subscriber is not None:
            subscriber.last_contact = max(subscriber.last_contact, now)
            subscriber.failed = True

    def reloaded(self, now: float, node: str) -> None:
        """Take note of a SIGHUP with another address: a sound node calls there at once."""
        subscriber = self._subscribers.get(node)
        if subscriber is not None:
            unconfirmed = UnconfirmedRevision(now + RELOAD_ASSUMED_MS, self._endpoints.revision)
            subscriber.unconfirmed.append(unconfirmed)

    def check(self, now: float) -> list[AssumedNotification]:
        """Who counts as notified by `now` (ms) without having been; of each change once."""
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
            revision = max(self._take_unconfirmed(now, subscriber), self._overdue(now, subscriber))
            if revision > subscriber.notified:
                changes = self._endpoints.changes_between(subscriber.notified, revision)
                subscriber.notified = revision
                if changes:
                    assumed.append(AssumedNotification(node, revision, changes))
        return assumed

    @staticmethod
    def _take_unconfirmed(now: float, subscriber: SubscriberState) -> int:
        """The latest revision that counts as received by now; 0 for none."""
        due = [item.revision for item in subscriber.unconfirmed if item.assumed_at <= now]
        if due:
            subscriber.unconfirmed = [item for item in subscriber.unconfirmed if item.assumed_at > now]
        return max(due, default=0)

    def _overdue(self, now: float, subscriber: SubscriberState) -> int:
        """The revision that a node which makes no call counts as notified of by its age; 0 for none."""
        within_ms = self._poll_within_ms * (FAILED_CALL_FACTOR if subscriber.failed else 1.0)
        if subscriber.open_calls or subscriber.last_contact + within_ms > now:
            return 0
        return self._endpoints.revision_at(now - within_ms)
