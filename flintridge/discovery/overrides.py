"""Overrides of the endpoint list by operators: servers that are taken out of service."""

from collections.abc import Callable
from dataclasses import replace

from flintridge.api import Endpoint, EndpointState, EndpointUpdate, UpdateKind


class EndpointOverrides:
    """The node's endpoint list with overrides applied: a server taken out is reported as draining.

    Only servers on the list are ever reported; an override adds none.

    Attributes:
        taken_out: The servers that operators took out of service.
    """

    def __init__(self, notify: Callable[[EndpointUpdate], None]) -> None:
        """`notify` is called with each update, after overrides were applied to it."""
        self.taken_out: frozenset[str] = frozenset()
        self._notify = notify
        self._listed: dict[str, Endpoint] = {}
        self._version = 0

    def apply(self, update: EndpointUpdate) -> None:
        """Apply a list or a change to it, and report it with overrides."""
        if update.kind is not UpdateKind.FAILED:
            self._record(update)
        self._notify(replace(update, endpoints=tuple(map(self._overridden, update.endpoints))))

    def take_out(self, servers: frozenset[str]) -> None:
        """Replace the set of servers that are out of service, and report those that change."""
        changed = [
            endpoint
            for server, endpoint in self._listed.items()
            if (server in servers) != (server in self.taken_out)
        ]
        self.taken_out = servers
        if changed:
            endpoints = tuple(map(self._overridden, changed))
            self._notify(EndpointUpdate(UpdateKind.DELTA, self._version, endpoints))

    def _record(self, update: EndpointUpdate) -> None:
        if update.kind is not UpdateKind.DELTA:
            self._listed.clear()
        self._version = update.version
        for endpoint in update.endpoints:
            self._listed[endpoint.server] = endpoint
            if endpoint.state is EndpointState.GONE:
                del self._listed[endpoint.server]

    def _overridden(self, endpoint: Endpoint) -> Endpoint:
        if endpoint.server in self.taken_out and endpoint.state is EndpointState.READY:
            return replace(endpoint, state=EndpointState.DRAINING)
        return endpoint
