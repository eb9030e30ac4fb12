"""The configuration of nodes in virtual time that are peers."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from flintridge.config.address import Address
from flintridge.config.model import Budgets as NodeBudgets
from flintridge.config.node_config import BudgetsConfig, PeersConfig
from flintridge.config.node_file import budgets_config
from flintridge.lab.backend.virtual.fabric import VirtualFabric
from flintridge.lab.partial.admin_records import FLEET, KEY, datagram_record
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario.model import Budgets, Peers
from flintridge.membership.messages import MessageCodec


@dataclass(slots=True, frozen=True)
class VirtualPeers:
    """The peer configuration of the nodes of a run, and the limits that the nodes share.

    Attributes:
        settings: The scenario's table of peers.
        names: The names of all nodes.
        entropy: Returns the given number of random bytes, for the nodes' own random draws.
        budgets: The scenario's table of shared limits; None if the nodes share no limits.
    """

    settings: Peers
    names: tuple[str, ...]
    entropy: Callable[[int], bytes]
    budgets: Budgets | None = None

    def shared(self) -> BudgetsConfig | None:
        """Return the shared limits for `NodeConfig.budgets`."""
        if self.budgets is None:
            return None
        return budgets_config(msgspec.convert(msgspec.to_builtins(self.budgets), NodeBudgets))

    def config(self, fabric: VirtualFabric, node: str) -> PeersConfig:
        """Return the peer configuration of a node.

        Args:
            fabric: The fabric, which has the addresses.
            node: The node's name.
        """
        known = tuple((name, Address(*fabric.address("peers", name))) for name in self.names)
        listen = Address(*fabric.address("peers", node))
        return PeersConfig(listen, known, FLEET, self._key(), self.settings.bytes_per_s)

    def recorder(self, fabric: VirtualFabric, log: RecordLog) -> Callable[[str, str, bytes, str], None]:
        """Return a function that records a datagram, given its source, target, content and outcome.

        Args:
            fabric: The fabric, which has the clock.
            log: The log of the run's records.
        """
        codec = MessageCodec(FLEET, self._key())

        def record(source: str, target: str, data: bytes, outcome: str) -> None:
            log.add(datagram_record(codec, fabric.clock.now(), source, target, data, outcome))

        return record

    def _key(self) -> bytes | None:
        return KEY if self.settings.sealed else None
