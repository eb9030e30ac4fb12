"""Admin API routes for a node's service: health, and start and end of a drain."""

from typing import Protocol

from flintridge.core.admin_routes import AdminResponse, Routes

OK = 200
CONFLICT = 409
SERVICE_UNAVAILABLE = 503


class OperatedNode(Protocol):
    """The part of a node that the operators' routes use."""

    @property
    def state(self) -> str:
        """The state of the service, as the admin API names it."""

    @property
    def can_serve(self) -> bool:
        """Whether the node can serve requests, even if it is draining."""

    @property
    def terminating(self) -> bool:
        """Whether the process is terminating."""

    @property
    def connection_count(self) -> int:
        """Number of open client connections."""

    @property
    def unanswered(self) -> int:
        """Number of requests without a final response."""

    def quiesce(self) -> bool:
        """Start a drain; False if the node is draining, drained or terminating already."""

    def resume(self) -> bool:
        """End the drain; False if there was none or the process is terminating."""


class OperatorRoutes:
    """Handles the operators' calls for one node."""

    def __init__(self, node: OperatedNode) -> None:
        """Handle calls for `node`."""
        self._node = node

    def routes(self) -> Routes:
        """Return the handlers by path and method."""
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
