"""Encoding of the endpoint list as the JSON that discovery sends."""

from collections.abc import Iterable
from typing import Any

from flintridge.lab.fabric import Fabric
from flintridge.lab.world.endpoint_list import Endpoint, EndpointChange

EndpointListBody = dict[str, Any]
"""The complete list or a change of it, before it is encoded as JSON."""


class EndpointEncoder:
    """Builds the bodies of responses, with the addresses that a node uses for each endpoint."""

    def __init__(self, fabric: Fabric) -> None:
        """Create an encoder that uses the addresses and the clock of this fabric."""
        self._fabric = fabric

    def body(
        self, node: str, revision: int, changes: Iterable[EndpointChange], *, complete: bool
    ) -> EndpointListBody:
        """Return the body of a response to a node.

        Args:
            node: Name of the node.
            revision: Revision of the list.
            changes: All endpoints of the list, or only those that changed.
            complete: Whether `changes` are the complete list.
        """
        members = [self._member(node, change.endpoint) for change in changes]
        return {"revision": revision, "complete": complete, "members": members}

    def _member(self, node: str, endpoint: Endpoint) -> dict[str, Any]:
        host, port = self._fabric.address(endpoint.party, node)
        started = endpoint.started_at
        return {
            "id": endpoint.id,
            "host_port": f"{host}:{port}",
            "locality": endpoint.zone,
            "flavor": endpoint.kind,
            "cell": endpoint.cell,
            "phase": endpoint.phase.value,
            "size": endpoint.weight,
            "up_since_ms": round(self._fabric.clock.unix_ms(started)) if started else 0,
        }
