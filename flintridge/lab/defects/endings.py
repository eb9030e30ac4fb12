"""Planted defects in how requests, clients and connections end."""

from collections.abc import Callable

from flintridge.core.request import Request
from flintridge.core.response import Responder
from flintridge.downstream.connection import ClientConnection
from flintridge.downstream.pipeline import PendingResponse
from flintridge.lab.defects.wrapping import Alter, every, put, wrap_replies
from flintridge.node import Node

OFTEN = 10  # each tenth request is hit
CLOSE_AFTER_MS = 100.0  # from the reading of a request to the close of its connection
IMPATIENT_MS = 450.0  # after SIGTERM, from when on `stops_too_soon_after_sigterm` answers no more


class Silent(Alter):
    """A Responder for what is never answered where no server answered it."""

    def reject(self, retry_after_ms: float) -> None:
        """Say nothing of the rejection."""

    def fail(self) -> None:
        """Say nothing of the failure."""


def connection_of(reply: Responder) -> ClientConnection | None:
    """The client's connection; None where the reply is no client's."""
    if not isinstance(reply, PendingResponse) or not isinstance(reply.connection, ClientConnection):
        return None
    return reply.connection


def client_gone_ignored(node: Node) -> None:
    """The node takes no notice of clients that close: what is open for them is tried on."""
    put(node.core, "client_disconnected", lambda request_id: None)


def closes_first_requests(node: Node) -> None:
    """Each tenth request that is the first on its connection has that closed at once, with no answer."""
    hit = every(OFTEN)

    def alter(_: Request, reply: Responder) -> Responder:
        connection = connection_of(reply)
        if connection is not None and not connection.has_requested and hit():
            node.clock.call_at(node.clock.now(), connection.abort)
        return reply

    wrap_replies(node, alter)


def closes_what_it_read(node: Node) -> None:
    """Each tenth request on a connection that has served is sent nowhere, and 100 ms later that is closed."""
    hit = every(OFTEN)
    _close_unanswered(node, lambda connection: connection.has_requested and hit())


def stops_too_soon_after_sigterm(node: Node) -> None:
    """What comes 0.45 s after SIGTERM or later is sent nowhere, and its connection closed."""
    leave = node.downstream.leave
    told_at: list[float] = []

    async def noted() -> None:
        told_at.append(node.clock.now())
        await leave()

    put(node.downstream, "leave", noted)
    _close_unanswered(node, lambda _: bool(told_at) and node.clock.now() - told_at[0] > IMPATIENT_MS)


def _close_unanswered(node: Node, hit: Callable[[ClientConnection], bool]) -> None:
    """Requests on connections for which `hit` says so are never processed."""
    submit = node.core.submit

    def submitted(
        request: Request, reply: Responder, kept: int = 0, arrived_after: float | None = None
    ) -> str:
        connection = connection_of(reply)
        if connection is None or not hit(connection):
            return submit(request, reply, kept, arrived_after)
        node.core.memory_budget.release(kept)
        node.clock.call_at(node.clock.now() + CLOSE_AFTER_MS, connection.abort)
        return request.id.decode("ascii")

    put(node.core, "submit", submitted)


def trouble_frees_requests(node: Node) -> None:
    """A request that no server answers gets no answer from the node either."""
    wrap_replies(node, lambda _, reply: Silent(reply))


def forgets_what_is_behind(node: Node) -> None:
    """Requests that come while another one is open on their connection are never answered as failed."""

    def alter(_: Request, reply: Responder) -> Responder:
        connection = connection_of(reply)
        behind = connection is not None and len(connection._pipeline) > 1
        return Silent(reply) if behind else reply

    wrap_replies(node, alter)
