"""Parsing of a file in the node's own format into a `NodeConfig`."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import msgspec

from flintridge.config.address import Address, optional_address
from flintridge.config.decoding import decode
from flintridge.config.errors import AddressError, ConfigError
from flintridge.config.faults import UNSET, ConfigFault, ConfigFaultsError
from flintridge.config.fleet_validation import fleet_size_faults
from flintridge.config.model import Budgets, Known, NodeFile, Peers, State
from flintridge.config.node_config import BudgetsConfig, NodeConfig, PeersConfig, StateConfig
from flintridge.config.node_file_settings import policy_settings
from flintridge.config.node_file_validation import validate_node_file

# The same limits as in flintridge/membership/messages.py, which a node without peers does not import.
KEY_BYTES_MIN = 16
KEY_BYTES_MAX = 64
ADDRESS_ALLOWED = "a numeric address with a port"
DEFAULT_NAME = "node"


def parse_node_file(file: str, text: bytes, env: Mapping[str, str]) -> NodeConfig:
    """Parse a file in the node's own format.

    Args:
        file: The file's name; the suffix `.json` selects JSON, any other one TOML.
        text: The file's bytes.
        env: Environment variables, which supply addresses and a name that the file omits.

    Raises:
        ConfigError: The file is not valid; the message has one line for each fault.
    """
    try:
        node_file = decode(file, text, NodeFile, validate_node_file)
        return _NodeConfigBuilder(file, node_file, env).build()
    except ConfigFaultsError as error:
        raise ConfigError(str(error)) from error


class _NodeConfigBuilder:
    """Completes a valid file with values of the environment, and collects faults of the result."""

    def __init__(self, file: str, node_file: NodeFile, env: Mapping[str, str]) -> None:
        self._file = file
        self._node_file = node_file
        self._env = env
        self._faults: list[ConfigFault] = []

    def build(self) -> NodeConfig:
        """Build the configuration.

        Raises:
            ConfigFaultsError: A value is invalid, or is missing in both the file and the environment.
        """
        node_file = self._node_file
        listen = self._required_address("listen", node_file.listen, "PROXY_LISTEN")
        discovery = self._required_address("discovery", node_file.discovery, "PROXY_DISCOVERY")
        console = self._console(listen, discovery)
        peers = None if node_file.peers is None else self._peers(node_file.peers)
        self._check_fleet_size()
        if self._faults or listen is None or discovery is None:
            raise ConfigFaultsError(self._faults)
        return NodeConfig(
            name=self._name or DEFAULT_NAME,
            listen=listen,
            discovery=discovery,
            seed=int(node_file.seed, 16),
            settings=policy_settings(node_file),
            zones=node_file.zones,
            kinds=node_file.kinds,
            known=None if node_file.known is None else _discovery_list(node_file.known),
            sockets=node_file.machine.sockets,
            memory_mb=node_file.machine.memory_mb,
            log_level=node_file.log.level,
            log_repeats_per_s=node_file.log.repeats_per_s,
            console=console,
            peers=peers,
            budgets=None if node_file.budgets is None else budgets_config(node_file.budgets),
            state=None if node_file.state is None else state_config(node_file.state),
        )

    @property
    def _name(self) -> str | None:
        return self._node_file.name or self._env.get("PROXY_NAME")

    def _report(self, path: str, value: Any, reason: str, allowed: str) -> None:
        self._faults.append(ConfigFault(self._file, path, value, reason, allowed))

    def _required_address(self, path: str, text: str | None, variable: str) -> Address | None:
        text = text or self._env.get(variable)
        try:
            return Address.parse(text)
        except AddressError:
            reason = f"is missing, and {variable} has no address either"
            self._report(path, UNSET if text is None else text, reason, ADDRESS_ALLOWED)
            return None

    def _console(self, listen: Address | None, discovery: Address | None) -> Address | None:
        text = self._node_file.console or self._env.get("PROXY_CONSOLE")
        try:
            console = optional_address(text)
        except AddressError:
            self._report("console", text, "is not an address", ADDRESS_ALLOWED)
            return None
        if not self._faults and console in (listen, discovery):
            self._report("console", text, "is also the listen or discovery address", "an address of its own")
        return console

    def _peers(self, peers: Peers) -> PeersConfig | None:
        """Build the configuration of [peers]. Returns None if its key file has a fault, which is reported."""
        if not self._name:
            reason = "is missing, and PROXY_NAME is not set: peers identify a node by its name"
            self._report("name", UNSET, reason, "a name of its own")
        key = None
        if peers.key_file is not None:
            key = self._peer_key(peers.key_file)
            if key is None:
                return None
        return PeersConfig(
            listen=Address.parse(peers.listen),
            known=tuple((name, Address.parse(text)) for name, text in peers.known.items()),
            fleet=peers.fleet,
            key=key,
            bytes_per_s=peers.bytes_per_s,
        )

    def _peer_key(self, key_file: str) -> bytes | None:
        """Read the key without its line ending. Returns None if the file has a fault, which is reported."""
        allowed = f"a file of {KEY_BYTES_MIN} to {KEY_BYTES_MAX} bytes"
        try:
            with open(key_file, "rb") as opened:
                key = opened.read(KEY_BYTES_MAX + 2).strip(b"\r\n")
        except OSError as error:
            self._report("peers.key_file", key_file, str(error.strerror), allowed)
            return None
        if not KEY_BYTES_MIN <= len(key) <= KEY_BYTES_MAX:
            self._report("peers.key_file", key_file, f"must be {allowed}", allowed)
            return None
        return key

    def _check_fleet_size(self) -> None:
        """Check `fleet_size` if PROXY_NAME supplies the name; for a name in the file this is already done."""
        name = self._env.get("PROXY_NAME")
        if self._node_file.budgets is None or self._node_file.name or not name:
            return
        faults = fleet_size_faults(self._node_file, name)
        self._faults += [replace(fault, file=self._file) for fault in faults]


def budgets_config(budgets: Budgets) -> BudgetsConfig:
    """Convert a valid table [budgets]."""
    return BudgetsConfig(**msgspec.structs.asdict(budgets))


def state_config(state: State) -> StateConfig:
    """Convert a valid table [state]."""
    return StateConfig(**msgspec.structs.asdict(state))


def _discovery_list(known: Known) -> dict[str, Any]:
    """Convert to discovery's format, with all keys: the node parses it like discovery's responses."""
    members = [msgspec.structs.asdict(member) for member in known.members]
    return {"revision": known.revision, "complete": known.complete, "members": members}
