"""Between the real processes of a day whose nodes hear one another: relays, and a look at consoles."""

import asyncio
from typing import Any

import orjson

from flintridge.config.address import Address
from flintridge.config.platform_config import node_config
from flintridge.lab.backend.loopback_fabric import LoopbackFabric
from flintridge.lab.partial.own import own_format
from flintridge.lab.partial.relay import Relay
from flintridge.lab.partial.views import FLEET, KEY, VIEW_MS, datagram_of, held_of, view_of
from flintridge.lab.records import RecordLog
from flintridge.lab.scenario.model import Peers
from flintridge.lab.world.link_table import LinkTable
from flintridge.membership.messages import MessageCodec

CALL_S = 1.0  # for a console's answer; one that is late is no view


class PeerNet:
    """Relays for each direction of each pair of `names`, and what the consoles tell in the log."""

    def __init__(
        self, fabric: LoopbackFabric, log: RecordLog, part: Peers, names: tuple[str, ...], key_file: str
    ) -> None:
        """`key_file`: where the fleet's key lies, for the nodes to read."""
        self._fabric, self._log, self._part, self.names = fabric, log, part, names
        self._key_file = key_file
        self._codec = MessageCodec(FLEET, KEY if part.sealed else None)
        self.relays: dict[tuple[str, str], Relay] = {}
        # Mistakes of whoever configures nodes, made before a start: another address for a peer, another name.
        self.addresses: dict[tuple[str, str], tuple[str, int]] = {}
        self.renamed: dict[str, str] = {}
        # Further parts of each node's configuration, and of one node's, by name.
        self.tables: dict[str, Any] = {}
        self.own_tables: dict[str, dict[str, Any]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Once; later calls do nothing. Raises OSError."""
        if self.relays:
            return
        links = self._fabric.links
        assert isinstance(links, LinkTable)
        for a in self.names:
            for b in self.names:
                if a == b:
                    continue
                ways = links.link(a, b), links.link(b, a)
                listen, to = self._fabric.address(f"peer-{b}", a), self._fabric.address("peers", b)
                relay = self.relays[a, b] = Relay(a, b, listen, to, ways, self._fabric.clock, self._passed)
                await relay.open()
        self._tasks = [asyncio.ensure_future(self._watch(name)) for name in self.names]

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for relay in self.relays.values():
            relay.close()

    def console(self, node: str) -> tuple[str, int]:
        return self._fabric.address("console", node)

    def own(self, node: str, config: dict[str, Any]) -> dict[str, Any]:
        """A node's configuration in its own format, with its peers, from the platform's."""
        made = own_format(node_config(config, {}))
        made["name"] = self.renamed.get(node, node)
        made["console"] = str(Address(*self.console(node)))
        made["peers"] = {
            "listen": str(Address(*self._fabric.address("peers", node))),
            "known": {b: str(Address(*self._peer(node, b))) for b in self.names if b != node},
            "fleet": FLEET,
            "bytes_per_s": self._part.bytes_per_s,
            **({"key_file": self._key_file} if self._part.sealed else {}),
        }
        return made | self.tables | self.own_tables.get(node, {})

    def _peer(self, node: str, other: str) -> tuple[str, int]:
        return self.addresses.get((node, other)) or self._fabric.address(f"peer-{other}", node)

    async def ask(
        self, node: str, path: str = "/admin/peers", method: str = "GET", body: bytes = b""
    ) -> dict[str, Any] | None:
        """What the console of a node says; None where it says nothing in time."""
        try:
            return await asyncio.wait_for(self._ask(node, path, method, body), CALL_S)
        except (OSError, TimeoutError, ValueError):
            return None

    async def _ask(self, node: str, path: str, method: str, body: bytes) -> dict[str, Any]:
        reader, writer = await asyncio.open_connection(*self.console(node))
        try:
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: lab\r\n{length}\r\n".encode() + body)
            answer = await reader.read(-1)
        finally:
            writer.close()
        said: dict[str, Any] = orjson.loads(answer.partition(b"\r\n\r\n")[2])
        return said

    async def _watch(self, node: str) -> None:
        while True:
            await asyncio.sleep(VIEW_MS / 1000)
            asked_at = self._fabric.clock.now()
            said = await self.ask(node)
            if said is not None and "lives" in said:
                # Of the call, not of the answer: what it tells was so at the earliest then.
                self._log.add(view_of(asked_at, node, said))
            if "budgets" in self.tables or "budgets" in self.own_tables.get(node, {}):
                asked_at = self._fabric.clock.now()
                said = await self.ask(node, "/admin/budgets")
                for held in held_of(asked_at, node, said) if said and "budgets" in said else ():
                    self._log.add(held)

    def _passed(self, source: str, target: str, data: bytes, fate: str) -> None:
        self._log.add(datagram_of(self._codec, self._fabric.clock.now(), source, target, data, fate))
