"""A stand-in for discovery: the whole list, and a watch that waits for changes."""

import asyncio
import json
import re
from typing import Any

from review.stand_ins.http_messages import read_request
from review.stand_ins.record import Record

HOST = "127.0.0.1"


class Discovery:
    """Serves the list of servers over HTTP/1.1.

    Attributes:
        port: The port that it listens on, once started.
        revision: The revision of the list.
    """

    def __init__(self, record: Record) -> None:
        self.port = 0
        self.revision = 1
        self._record = record
        self._members: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}  # revision of the last change, by id
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def list(self, server: str, port: int, kind: str, phase: str = "in_service") -> None:
        """Add a server, before the start."""
        self._members[server] = {
            "id": server,
            "host_port": f"{HOST}:{port}",
            "locality": "east",
            "flavor": kind,
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }
        self._changed_at[server] = self.revision

    async def change(self, server: str, **fields: object) -> None:
        """Change the entry of a server; a new revision is told to all watches."""
        async with self._changed:
            self.revision += 1
            self._members[server].update(fields)
            self._changed_at[server] = self.revision
            self._changed.notify_all()

    def document(self, after: int | None = None) -> dict[str, Any]:
        """The whole list, or the entries that changed after a revision."""
        members = [
            entry
            for server, entry in self._members.items()
            if after is None or self._changed_at[server] > after
        ]
        return {"revision": self.revision, "complete": after is None, "members": members}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                after = re.search(r"after=(\d+)", request.target)
                wait = re.search(r"wait_ms=(\d+)", request.target)
                if after is not None:
                    await self._wait_for_change(int(after[1]), int(wait[1]) if wait else 0)
                body = json.dumps(self.document(int(after[1]) if after else None)).encode()
                self._record.add("discovery", f"{request.target} -> revision {self.revision}")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # the node has gone, or the run is over
        finally:
            writer.close()

    async def _wait_for_change(self, after: int, wait_ms: int) -> None:
        async def newer() -> None:
            async with self._changed:
                await self._changed.wait_for(lambda: self.revision > after)

        try:
            await asyncio.wait_for(newer(), wait_ms / 1000)
        except TimeoutError:
            return
