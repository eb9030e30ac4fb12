"""Cross-field validation of the tables [peers], [budgets] and [state] of a node's own format.

Each function accepts a file in which other values are invalid: an invalid value is `UNSET`, and `UNSET`
conflicts with nothing.
"""

import ipaddress
import re
from collections.abc import Iterator, Sequence

from flintridge.config.address import Address
from flintridge.config.cross_field import address_faults
from flintridge.config.errors import AddressError
from flintridge.config.faults import UNSET, ConfigFault, all_valid, fault_at
from flintridge.config.model import Budgets, NodeFile, Peers, RequestClass, State
from flintridge.config.type_validation import joined_path

PEERS_MAX = 2000  # peers that one node can track
PEER_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
# Keys of [budgets] that each enable a fleet-wide limit; at least one of them must be set.
BUDGET_SWITCHES = ("tenants", "floors", "cold", "cache_places", "origin_places", "repeats_per_s")
# How much longer a lease of permits must last than the attempts that started under it, because a process may
# stall for that long.
PERMIT_LEASE_MARGIN_MS = 1_500.0
# The largest fraction of peers.bytes_per_s for leases, and likewise for state: half of the bytes is for
# datagrams, and membership needs the rest of that half.
PEER_BYTES_FRACTION = 0.25
KEY_RANGES = 256  # number of ranges that keys are divided into, as in flintridge/replication/limits.py
# An exchange must transfer one full key range within this time: a whole exchange may last 10 s.
RANGE_EXCHANGE_S = 4.0


def validate_fleet_tables(file: NodeFile) -> Iterator[ConfigFault]:
    """Report all values in these tables that conflict with each other or with the rest of the file."""
    if all_valid(file.peers) and file.peers is not None:
        yield from _peers_faults(file, file.peers)
    if all_valid(file.budgets) and file.budgets is not None:
        yield from _budgets_faults(file, file.budgets)
    if all_valid(file.state) and file.state is not None:
        yield from _state_faults(file, file.state)


def _peers_faults(file: NodeFile, peers: Peers) -> Iterator[ConfigFault]:
    yield from address_faults("peers.listen", peers.listen)
    for field in ("listen", "discovery", "console"):
        used = getattr(file, field)
        if all_valid(used, peers.listen) and used and used == peers.listen:
            yield fault_at(
                "peers.listen", peers.listen, f"is also the {field} address", "an address of its own"
            )
    if all_valid(peers.listen, peers.key_file) and peers.key_file is None and not _is_loopback(peers.listen):
        allowed = "a loopback address, or a key_file"
        reason = f"must be {allowed}: without a key the traffic of any host is accepted"
        yield fault_at("peers.listen", peers.listen, reason, allowed)
    if all_valid(peers.known):
        yield from _known_peers_faults(file, peers)


def _known_peers_faults(file: NodeFile, peers: Peers) -> Iterator[ConfigFault]:
    if not 1 <= len(peers.known) <= PEERS_MAX:
        allowed = f"1 to {PEERS_MAX} peers"
        yield fault_at("peers.known", f"{len(peers.known)} names", f"must be {allowed}", allowed)
    first_name: dict[str, str] = {}
    for name, text in peers.known.items():
        path = joined_path("peers.known", name)
        if not PEER_NAME.fullmatch(name):
            allowed = "1 to 64 letters, digits, dots, dashes or underscores"
            yield fault_at(path, name, f"is not a valid name: it must be {allowed}", allowed)
        yield from address_faults(path, text)
        if not all_valid(text):
            continue
        is_this_node = all_valid(peers.listen, file.name) and file.name and text == peers.listen
        if text in first_name and not is_this_node:
            yield fault_at(path, text, f"is the address of {first_name[text]} too", "an address of its own")
        first_name.setdefault(text, name)
        if is_this_node and name != file.name:
            yield fault_at(path, text, "is the address that this node itself listens on", "a peer's address")


def _budgets_faults(file: NodeFile, budgets: Budgets) -> Iterator[ConfigFault]:
    peers = file.peers
    if peers is None:
        allowed = "only beside a table [peers]"
        reason = f"is allowed {allowed}: nodes lease parts of a limit to peers that they reach"
        yield fault_at("budgets", UNSET, reason, allowed)
    switches = (
        budgets.tenants,
        budgets.floors,
        budgets.slow_start,
        budgets.cache_permits,
        budgets.origin_permits,
        budgets.retries_per_s,
    )
    if all_valid(*switches) and not any(switches):
        allowed = f"one of {', '.join(BUDGET_SWITCHES)}"
        yield fault_at("budgets", UNSET, f"enables no limit: it must set {allowed}", allowed)
    yield from _permits_faults(file, budgets)
    yield from _quotas_faults(file, budgets)
    if peers is None or not all_valid(peers):
        return
    yield from _bytes_faults("budgets.bytes_per_s", budgets.bytes_per_s, peers)
    if all_valid(file.name) and file.name:
        yield from fleet_size_faults(file, file.name)


def _permits_faults(file: NodeFile, budgets: Budgets) -> Iterator[ConfigFault]:
    for key, permits in (
        ("cache_places", budgets.cache_permits),
        ("origin_places", budgets.origin_permits),
    ):
        if all_valid(permits, file.fleet_size) and 0 < permits < file.fleet_size:
            allowed = f"0, or at least the fleet_size of {file.fleet_size}: each node has a permit of its own"
            yield fault_at(f"budgets.{key}", permits, f"must be {allowed}", allowed)
        if not all_valid(permits, budgets.lease_ms, file.classes) or not permits:
            continue
        if all_valid(*file.classes):
            yield from _permit_lease_faults(budgets.lease_ms, file.classes)


def _permit_lease_faults(lease_ms: float, classes: Sequence[RequestClass]) -> Iterator[ConfigFault]:
    """Report a lease that can expire while an attempt holds its permit.

    An attempt may hold its permit as long as its client waits, that is until the request's deadline.
    """
    deadlines_ms = [request_class.deadline_ms for request_class in classes]
    if not all_valid(*deadlines_ms):
        return
    minimum_ms = max(deadlines_ms) + PERMIT_LEASE_MARGIN_MS
    if lease_ms < minimum_ms:
        allowed = (
            f"at least {minimum_ms:g}: the longest deadline_ms of a class plus {PERMIT_LEASE_MARGIN_MS:g}"
        )
        yield fault_at("budgets.lease_ms", lease_ms, f"must be {allowed}", allowed)


def _quotas_faults(file: NodeFile, budgets: Budgets) -> Iterator[ConfigFault]:
    if all_valid(budgets.tenants, file.tenants) and budgets.tenants and all_valid(*file.tenants):
        quotas = [tenant.quota_per_s for tenant in file.tenants]
        if all_valid(*quotas) and not any(quotas):
            reason = "must be false: no tenant has a quota_per_s above 0"
            yield fault_at("budgets.tenants", budgets.tenants, reason, "false, or a tenant with a quota")
    if all_valid(budgets.tenants, budgets.strict) and budgets.strict and not budgets.tenants:
        yield fault_at("budgets.strict", budgets.strict, "must be false while tenants is false", "false")


def _state_faults(file: NodeFile, state: State) -> Iterator[ConfigFault]:
    peers = file.peers
    if peers is None:
        allowed = "only beside a table [peers]"
        reason = f"is allowed {allowed}: it is replicated between peers that reach one another"
        yield fault_at("state", UNSET, reason, allowed)
    if peers is None or not all_valid(peers) or not all_valid(peers.bytes_per_s):
        return
    yield from _bytes_faults("state.bytes_per_s", state.bytes_per_s, peers)
    if all_valid(state.entries, state.entry_bytes):
        range_bytes_max = RANGE_EXCHANGE_S * peers.bytes_per_s / 2
        entries_max = int(range_bytes_max * KEY_RANGES / state.entry_bytes)
        if state.entries > entries_max:
            allowed = f"at most {entries_max}, given state.entry_bytes and peers.bytes_per_s"
            reason = f"must be {allowed}: a replica could not catch up with more in time"
            yield fault_at("state.entries", state.entries, reason, allowed)


def _bytes_faults(path: str, bytes_per_s: float, peers: Peers) -> Iterator[ConfigFault]:
    if not all_valid(bytes_per_s, peers.bytes_per_s):
        return
    maximum = PEER_BYTES_FRACTION * peers.bytes_per_s
    if bytes_per_s > maximum:
        allowed = f"at most {maximum:g}, a quarter of peers.bytes_per_s"
        yield fault_at(path, bytes_per_s, f"must be {allowed}", allowed)


def fleet_size_faults(file: NodeFile, name: str) -> Iterator[ConfigFault]:
    """Report a fleet_size with which the nodes' equal allocations do not add up to the whole limit.

    Args:
        file: A file with a table [budgets].
        name: This node's own name; `peers.known` may contain it too.
    """
    if file.peers is None or not all_valid(file.fleet_size, file.peers.known):
        return
    nodes = len({name, *file.peers.known})
    if file.fleet_size != nodes:
        reason = f"must be {nodes}, the names in peers.known and {name} itself: they share each limit equally"
        yield fault_at("fleet_size", file.fleet_size, reason, str(nodes))


def _is_loopback(text: str) -> bool:
    try:
        return ipaddress.ip_address(Address.parse(text).host).is_loopback
    except AddressError:
        return True  # `address_faults` reports it
