"""Admin API responses about the service: status and fields for each state of a node."""

import pytest

from flintridge.core.admin_routes import AdminResponse
from flintridge.operator_routes import OperatorRoutes


class Node:
    """A node whose state the test sets."""

    def __init__(self, state: str = "serving", can_serve: bool = True, terminating: bool = False) -> None:
        self.state = state
        self.can_serve = can_serve
        self.terminating = terminating
        self.connection_count = 3
        self.unanswered = 2

    def quiesce(self) -> bool:
        self.state = "draining"
        return True

    def resume(self) -> bool:
        self.state = "leaving" if self.terminating else "serving"
        return not self.terminating


def call(node: Node, method: bytes, path: bytes) -> AdminResponse:
    return OperatorRoutes(node).routes()[path][method]()


@pytest.mark.parametrize(
    ("state", "can_serve", "status"),
    [("serving", True, 200), ("draining", True, 200), ("starting", False, 503), ("leaving", False, 503)],
)
def test_health_when_requested_then_has_the_state_and_its_status_whether_the_node_can_serve(
    state, can_serve, status
):
    response = call(Node(state, can_serve), b"GET", b"/admin/health")
    assert response == AdminResponse(status, {"state": state, "connections": 3, "requests": 2})


def test_quiesce_when_called_then_returns_the_new_state():
    assert call(Node(), b"POST", b"/admin/quiesce") == AdminResponse(200, {"state": "draining"})


@pytest.mark.parametrize(
    ("terminating", "response"),
    [(False, AdminResponse(200, {"state": "serving"})), (True, AdminResponse(409, {"state": "leaving"}))],
)
def test_resume_when_the_process_is_about_to_end_then_is_a_conflict(terminating, response):
    assert call(Node("draining", terminating=terminating), b"POST", b"/admin/resume") == response
