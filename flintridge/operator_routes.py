"""The admin API's routes of a node's service: its health, and the begin and end of a drain."""

from typing import Protocol

from flintridge.core.admin_routes import AdminResponse, Routes

OK = 200
CONFLICT = 409
SERVICE_UNAVAILABLE = 503


class OperatedNode(Protocol):
    """A node, as far as operators ask and tell it."""

    @property
    def state(self) -> str:
        """Where it is between start and end, as the admin API names it."""

    @property
    def can_serve(self) -> bool:
        """Whether it can serve, told to or not."""

    @property
    def terminating(self) -> bool:
        """Whether its process is about to end."""

    @property
    def connection_count(self) -> int:
        """Open connections of clients."""

    @property
    def unanswered(self) -> int:
        """Requests without a final response."""

    def quiesce(self) -> bool:
        """Drain; False where that had been asked before."""

    def resume(self) -> bool:
        """End the drain; False where there was none, or the process is about to end."""


class OperatorRoutes:
    """Answers the calls of operators for one node."""

    def __init__(self, node: OperatedNode) -> None:
        """Answer for `node`."""
        self._node = node

    def routes(self) -> Routes:
        """The calls by path and method."""
        return {
            b"/admin/health": {b"GET": self._health},
            b"/admin/quiesce": {b"POST": self._quiesce},
            b"/admin/resume": {b"POST": self._resume},
        }

    def _health(self) -> AdminResponse:
        node = self._node
        fields = {"state": node.state, "connections": node.connection_count, "requests": node.unanswered}
        return AdminResponse(OK if node.can_serve else SERVICE_UNAVAILABLE, fields)

    def _quiesce(self) -> AdminResponse:
        self._node.quiesce()
        return AdminResponse(OK, {"state": self._node.state})

    def _resume(self) -> AdminResponse:
        self._node.resume()
        return AdminResponse(CONFLICT if self._node.terminating else OK, {"state": self._node.state})
