"""The list of servers that the stand-ins for discovery of a drain soak share, with all of its changes."""

import asyncio
import time
from dataclasses import dataclass

IN_SERVICE = "in_service"
TERMINATING = "terminating"
TERMINATED = "terminated"


@dataclass(frozen=True)
class Change:
    """A change of one server.

    Attributes:
        revision: The revision of the list with this change.
        at: The instant of the change, in seconds of the monotonic clock.
        server: The server's id.
        phase: The server's phase from then on.
    """

    revision: int
    at: float
    server: str
    phase: str


class MemberList:
    """The servers by id, with their phases.

    Attributes:
        changes: All changes, in order; the first ones are the list as it was at first.
    """

    def __init__(self, servers: list[str], padding: int) -> None:
        """List servers in service, and `padding` others that drain, which only make the list long."""
        self.changes: list[Change] = []
        self._phases: dict[str, str] = {}
        self._changed = asyncio.Event()
        for number in range(padding):
            self.change(f"padding-{number}", TERMINATING)
        for server in servers:
            self.change(server, IN_SERVICE)

    @property
    def revision(self) -> int:
        """The revision of the list."""
        return len(self.changes)

    def change(self, server: str, phase: str) -> None:
        """Change the phase of a server, and wake all watches."""
        self.changes.append(Change(self.revision + 1, time.monotonic(), server, phase))
        self._phases[server] = phase
        if phase == TERMINATED:
            del self._phases[server]
        self._changed.set()
        self._changed = asyncio.Event()

    def in_service(self, kind: str) -> list[str]:
        """The servers of a kind that are in service."""
        return self._of_kind(kind, IN_SERVICE)

    def terminating(self, kind: str) -> list[str]:
        """The servers of a kind that drain."""
        return self._of_kind(kind, TERMINATING)

    def _of_kind(self, kind: str, phase: str) -> list[str]:
        return [name for name, its in self._phases.items() if its == phase and name.startswith(f"{kind}-")]

    async def wait_for_change(self, after: int, wait_s: float) -> None:
        """Wait until there is a revision newer than `after`, at most for `wait_s` seconds."""
        end = time.monotonic() + wait_s
        while self.revision <= after and time.monotonic() < end:
            try:
                await asyncio.wait_for(self._changed.wait(), end - time.monotonic())
            except TimeoutError:
                return

    def document(self, ports: dict[str, int], after: int | None = None) -> dict:
        """The whole list in discovery's format, or the entries that changed after a revision.

        Args:
            ports: The port of each server, for one node.
            after: The revision; None for the whole list.
        """
        if after is None:
            phases = dict(self._phases)
        else:
            phases = {change.server: change.phase for change in self.changes[after:]}
        members = [_entry(server, phase, ports.get(server, 1)) for server, phase in phases.items()]
        return {"revision": self.revision, "complete": after is None, "members": members}


def _entry(server: str, phase: str, port: int) -> dict:
    flavor = server.partition("-")[0]
    return {"id": server, "host_port": f"127.0.0.1:{port}", "flavor": flavor, "phase": phase, "size": 1.0}
