"""Cross-field checks that both formats share: duplicates and addresses.

All functions accept values of a file in which other values are invalid: an invalid value is `UNSET`, and
`UNSET` conflicts with nothing.
"""

from collections.abc import Iterator, Sequence
from typing import Any, Protocol

from flintridge.config.address import ADDRESS_FORMAT, Address
from flintridge.config.errors import AddressError
from flintridge.config.faults import UNSET, ConfigFault, all_valid, fault_at


class HasAddresses(Protocol):
    """A configuration file, as far as it contains the addresses of a node."""

    @property
    def listen(self) -> str | None:
        """The address on which the node accepts clients."""

    @property
    def discovery(self) -> str | None:
        """The address of the discovery service."""

    @property
    def console(self) -> str | None:
        """The address of the admin API."""


def duplicate_faults(entries: Sequence[Any], path: str, field: str) -> Iterator[ConfigFault]:
    """Report entries of a list whose `field` has the same value as that of an earlier entry."""
    first_index: dict[Any, int] = {}
    for i, entry in enumerate(entries):
        value = getattr(entry, field) if all_valid(entry) else entry
        if not all_valid(value) or value is None:
            continue
        if value in first_index:
            reason = f"is the {field} of {path}[{first_index[value]}] too"
            yield fault_at(f"{path}[{i}].{field}", value, reason)
        first_index.setdefault(value, i)


def address_faults(path: str, text: Any) -> Iterator[ConfigFault]:
    """Report an address that a node cannot use; a missing address is not a fault."""
    if not all_valid(text) or text is None:
        return
    try:
        Address.parse(text)
    except AddressError:
        yield fault_at(path, text, f"must be {ADDRESS_FORMAT}", ADDRESS_FORMAT)


def member_address_faults(members: Sequence[Any], path: str) -> Iterator[ConfigFault]:
    """Report servers of a list whose `host_port` a node cannot use."""
    for i, member in enumerate(members):
        if all_valid(member):
            yield from address_faults(f"{path}[{i}].host_port", member.host_port)


def missing_member_address_faults(members: Sequence[Any], path: str) -> Iterator[ConfigFault]:
    """Report servers of a list in the platform's format that have no address and are not terminated."""
    for i, member in enumerate(members):
        if not all_valid(member) or not all_valid(member.phase):
            continue
        if member.phase != "terminated" and member.host_port is None:
            yield fault_at(f"{path}[{i}].host_port", UNSET, "is missing, and the server is not terminated")


def console_address_faults(file: HasAddresses) -> Iterator[ConfigFault]:
    """Report an admin API address that is also the `listen` or the `discovery` address."""
    for field in ("listen", "discovery"):
        used = getattr(file, field)
        if all_valid(file.console, used) and file.console and file.console == used:
            yield fault_at("console", file.console, f"is also the {field} address", "an address of its own")
