"""The rule `drain`: a node sends no new attempts to a server that it knows to be leaving or gone.

The grace period `drain_grace_ms` starts when the node is notified.
"""

import math
from dataclasses import dataclass, field

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.tolerances import ROUNDING_MS
from flintridge.lab.records import AttemptReceived, EndpointNotified, NodeStateChanged

RULES = ("drain",)


@dataclass(slots=True)
class KnownEndpoints:
    """The endpoint list as far as one process of a node was notified of it.

    Attributes:
        unavailable: Servers that must get no new attempts, each with the first notification of that.
        listed: Servers that were in any list.
        first_complete: The first complete list; None if there was none.
    """

    unavailable: dict[str, EndpointNotified] = field(default_factory=dict)
    listed: dict[str, None] = field(default_factory=dict)
    first_complete: EndpointNotified | None = None

    def update(self, notification: EndpointNotified) -> None:
        """Apply a notification."""
        current: dict[str, None] = {}
        for server, phase, _ in notification.endpoints:
            current[server] = None
            self.listed[server] = None
            if phase == "in_service":
                self.unavailable.pop(server, None)
            else:
                self.unavailable.setdefault(server, notification)
        if notification.complete:
            self.first_complete = self.first_complete or notification
            for server in self.listed:
                if server not in current:
                    self.unavailable.setdefault(server, notification)

    def unavailable_since(self, server: str, started_ms: float) -> EndpointNotified | None:
        """Return the first notification that a server is unavailable; None if it is available or not known.

        A server that was in no list may be known from an older list. It is unavailable since the first
        complete list, unless it started after that: then the attempt was meant for the server that had the
        address before.
        """
        if server in self.listed:
            return self.unavailable.get(server)
        if self.first_complete is not None and started_ms < self.first_complete.at_ms:
            return self.first_complete
        return None


def check(history: History, findings: Findings) -> None:
    """Add all attempts at servers that their node knew to be unavailable."""
    grace_ms = history.scenario.rules.drain_grace_ms + history.tolerances.limit_ms
    known: dict[str, KnownEndpoints] = {}
    for record in history.records:
        match record:
            case EndpointNotified():
                known.setdefault(record.node, KnownEndpoints()).update(record)
            case NodeStateChanged(state="started"):
                known[record.node] = KnownEndpoints()
            case AttemptReceived() if record.node in known:
                starts = history.server_starts.get(record.server)
                started_ms = starts[0].at_ms if starts else -math.inf
                notification = known[record.node].unavailable_since(record.server, started_ms)
                if notification is None:
                    continue
                if record.started_ms > notification.at_ms + grace_ms + ROUNDING_MS:
                    _report(record, notification, findings)


def _report(record: AttemptReceived, notification: EndpointNotified, findings: Findings) -> None:
    late_ms = record.started_ms - notification.at_ms
    source = f"revision {notification.revision}{', assumed' if notification.assumed else ''}"
    text = (
        f"{record.node} sent {record.request_id} to {record.server} {late_ms:.1f} ms after it was "
        f"notified ({source}) that it is leaving or gone"
    )
    findings.add(
        "drain",
        record.started_ms,
        text,
        [notification, record],
        request_id=record.request_id,
        node=record.node,
        server=record.server,
    )
