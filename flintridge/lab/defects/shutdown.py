"""Planted defects in how a node drains and stops."""

from flintridge.lab.defects.connections import abort_unprocessed
from flintridge.lab.defects.interception import replace_attribute
from flintridge.node import Node
from flintridge.runtime.clock import sleep

SERVING_AFTER_SIGTERM_MS = 450.0  # how long `stops_too_soon_after_sigterm` still processes new requests
CLOSED_PAUSE_MS = 50.0  # between closing all connections and the end of the process
DEADLINE_OVERRUN_MS = 2000.0  # how much longer than the longest deadline `slow_to_leave` stays up


def dropped_at_sigterm(node: Node) -> None:
    """On SIGTERM the listener and all connections are closed immediately, even those with open requests."""

    async def leave() -> None:
        node.downstream.close()
        await sleep(node.clock, CLOSED_PAUSE_MS)

    replace_attribute(node.downstream, "leave", leave)


def stops_too_soon_after_sigterm(node: Node) -> None:
    """Requests read more than 0.45 s after SIGTERM are ignored, and their connections are closed."""
    leave = node.downstream.leave
    sigterm_at: float | None = None

    async def leave_and_record_time() -> None:
        nonlocal sigterm_at
        if sigterm_at is None:
            sigterm_at = node.clock.now()
        await leave()

    replace_attribute(node.downstream, "leave", leave_and_record_time)
    abort_unprocessed(
        node,
        lambda _: sigterm_at is not None and node.clock.now() - sigterm_at > SERVING_AFTER_SIGTERM_MS,
    )


def slow_to_leave(node: Node) -> None:
    """After SIGTERM all requests are answered, but the process ends 2 s later than the longest deadline."""
    leave = node.downstream.leave

    async def leave_late() -> None:
        await leave()
        max_deadline_ms = max(cls.deadline_ns for cls in node.core.settings.classes) / 1e6
        await sleep(node.clock, max_deadline_ms + DEADLINE_OVERRUN_MS)

    replace_attribute(node.downstream, "leave", leave_late)


def drain_ignored(node: Node) -> None:
    """The call to drain the node is acknowledged, but has no effect."""
    replace_attribute(node, "quiesce", lambda: True)


def stays_drained(node: Node) -> None:
    """The call to end a drain is acknowledged, but the node stays drained."""
    replace_attribute(node, "resume", lambda: True)


def breaks_on_leaving(node: Node) -> None:
    """After SIGTERM all requests are answered, but then the process ends with an error."""

    async def leave_and_raise() -> None:
        await node.downstream.leave()
        await node.close()
        raise RuntimeError("planted")

    replace_attribute(node, "leave", leave_and_raise)
