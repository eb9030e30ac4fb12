"""The network between the real processes of a run: relays, and the polling of the nodes' admin APIs."""

import asyncio
import itertools
from collections.abc import Mapping
from typing import Any

import orjson

from flintridge.config.address import Address
from flintridge.config.platform_config import node_config
from flintridge.lab.backend.loopback_fabric import LoopbackFabric
from flintridge.lab.partial.admin_records import (
    FLEET,
    KEY,
    REPORT_INTERVAL_MS,
    datagram_record,
    lease_records,
    membership_record,
)
from flintridge.lab.partial.node_file_format import JsonObject, to_node_file
from flintridge.lab.partial.relay import Relay, RelayRoute, SocketAddress
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario.model import Peers
from flintridge.lab.world.link_table import LinkTable
from flintridge.membership.messages import MessageCodec

ADMIN_TIMEOUT_S = 1.0
MEMBERSHIP_PATH = "/admin/peers"
LEASES_PATH = "/admin/budgets"

Direction = tuple[str, str]  # sending node, receiving node


class PeerNetwork:
    """Runs a relay for each direction between two nodes, and records what the nodes' admin APIs report.

    Attributes:
        names: The names of the nodes.
        relays: The relays by direction; empty until `open` is called.
        address_overrides: Wrong peer addresses for the nodes' configuration, by node and peer.
        name_overrides: Wrong node names for the nodes' configuration, by node.
        tables: Additional tables for the configuration of every node.
        node_tables: Additional tables for the configuration of single nodes, by node.
    """

    def __init__(
        self,
        fabric: LoopbackFabric,
        log: RecordLog,
        settings: Peers,
        names: tuple[str, ...],
        key_file: str,
    ) -> None:
        """Prepare the network.

        Args:
            fabric: Provides the addresses, the links and the clock.
            log: The log for the records of reports and datagrams.
            settings: The scenario's `peers` table.
            names: The names of the nodes.
            key_file: The path of the file with the fleet's key, for the nodes' configuration.
        """
        self._fabric = fabric
        self._log = log
        self._settings = settings
        self.names = names
        self._key_file = key_file
        self._codec = MessageCodec(FLEET, KEY if settings.sealed else None)
        self.relays: dict[Direction, Relay] = {}
        self.address_overrides: dict[Direction, SocketAddress] = {}
        self.name_overrides: dict[str, str] = {}
        self.tables: dict[str, Any] = {}
        self.node_tables: dict[str, dict[str, Any]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Open all relays and start to poll the admin APIs; later calls do nothing.

        Raises:
            OSError: A relay's address cannot be bound.
        """
        if self.relays:
            return
        links = self._fabric.links
        assert isinstance(links, LinkTable)
        for source, target in itertools.permutations(self.names, 2):
            route = RelayRoute(
                source,
                target,
                forward_link=links.link(source, target),
                return_link=links.link(target, source),
                listen_address=self._fabric.address(f"peer-{target}", source),
                target_address=self._fabric.address("peers", target),
            )
            relay = Relay(route, self._fabric.clock, self._record_datagram)
            self.relays[source, target] = relay
            await relay.open()
        self._tasks = [asyncio.ensure_future(self._poll_admin_api(name)) for name in self.names]

    def close(self) -> None:
        """Close all relays and stop polling the admin APIs."""
        for task in self._tasks:
            task.cancel()
        for relay in self.relays.values():
            relay.close()

    def admin_address(self, node: str) -> SocketAddress:
        """Return the address of a node's admin API."""
        return self._fabric.address("console", node)

    def node_file(self, node: str, config: Mapping[str, Any]) -> JsonObject:
        """Return the content of a node's configuration file, with its peers.

        Args:
            node: The name of the node.
            config: The platform's settings for the node.
        """
        table = to_node_file(node_config(config, {}))
        table["name"] = self.name_overrides.get(node, node)
        table["console"] = str(Address(*self.admin_address(node)))
        peers: JsonObject = {
            "listen": str(Address(*self._fabric.address("peers", node))),
            "known": {
                peer: str(Address(*self._peer_address(node, peer))) for peer in self.names if peer != node
            },
            "fleet": FLEET,
            "bytes_per_s": self._settings.bytes_per_s,
        }
        if self._settings.sealed:
            peers["key_file"] = self._key_file
        table["peers"] = peers
        return table | self.tables | self.node_tables.get(node, {})

    def _peer_address(self, node: str, peer: str) -> SocketAddress:
        override = self.address_overrides.get((node, peer))
        return override or self._fabric.address(f"peer-{peer}", node)

    async def request_admin(
        self, node: str, path: str = MEMBERSHIP_PATH, method: str = "GET", body: bytes = b""
    ) -> JsonObject | None:
        """Return the body of a response of a node's admin API; None after `ADMIN_TIMEOUT_S` without one."""
        try:
            return await asyncio.wait_for(self._request_admin(node, path, method, body), ADMIN_TIMEOUT_S)
        except (OSError, TimeoutError, ValueError):
            return None

    async def _request_admin(self, node: str, path: str, method: str, body: bytes) -> JsonObject:
        reader, writer = await asyncio.open_connection(*self.admin_address(node))
        try:
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: lab\r\n{length}\r\n".encode() + body)
            raw = await reader.read(-1)
        finally:
            writer.close()
        response: JsonObject = orjson.loads(raw.partition(b"\r\n\r\n")[2])
        return response

    async def _poll_admin_api(self, node: str) -> None:
        """Record the node's reports, each with the time of its request.

        That is the earliest time at which the report can have been true.
        """
        clock = self._fabric.clock
        while True:
            await asyncio.sleep(REPORT_INTERVAL_MS / 1000)
            requested_at = clock.now()
            response = await self.request_admin(node)
            if response is not None and "lives" in response:
                self._log.add(membership_record(requested_at, node, response))
            if "budgets" not in self.tables and "budgets" not in self.node_tables.get(node, {}):
                continue
            requested_at = clock.now()
            response = await self.request_admin(node, LEASES_PATH)
            if response is not None and "budgets" in response:
                for record in lease_records(requested_at, node, response):
                    self._log.add(record)

    def _record_datagram(self, source: str, target: str, data: bytes, outcome: str) -> None:
        self._log.add(datagram_record(self._codec, self._fabric.clock.now(), source, target, data, outcome))
