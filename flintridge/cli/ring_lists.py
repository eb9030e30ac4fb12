"""`flintridge ring`: reading a list of servers from a file in discovery's format or a configuration."""

from typing import Any, NamedTuple

from flintridge.cli.exits import FileFaults
from flintridge.config.decoding import decode_values, syntax_fault
from flintridge.config.faults import UNSET, ConfigFault, ConfigFaultsError
from flintridge.config.loader import is_node_format
from flintridge.config.model import Known, NodeFile
from flintridge.config.model import Listed as NodeFileServer
from flintridge.config.node_file_validation import validate_node_file
from flintridge.config.platform_model import ListedServer, PlatformFile, ServerList, Settings
from flintridge.config.platform_validation import validate_platform_file, validate_server_list
from flintridge.config.syntax import ConfigSyntaxError, parse_json, parse_toml

ORIGIN = "origin"  # the origin's kind in discovery's list, unless a configuration names another


class Cache(NamedTuple):
    """A cache server on the ring."""

    id: str
    zone: str
    weight: float
    address: str
    cell: int
    kind: str
    up_since_ms: float  # Unix time; 0: long ago


class Fleet(NamedTuple):
    """The fleet in a file, with the servers in the order of their ids."""

    file: str
    revision: int
    caches: tuple[Cache, ...]
    off_ring: dict[str, str]  # servers that are listed but not on the ring: the reason by id

    @property
    def zones(self) -> list[str]:
        """The zones of the servers on the ring, sorted by name."""
        return sorted({cache.zone for cache in self.caches})


def read_fleet(file: str, origin_kind: str | None = None) -> Fleet:
    """Read the fleet in a file.

    Args:
        file: The path of the file.
        origin_kind: The kind of the origin; None: the kind that the file gives.

    Raises:
        ConfigFaultsError: The file has faults; the error has all of them.
        OSError: The file cannot be read.
    """
    with open(file, "rb") as opened:
        text = opened.read()
    try:
        raw = parse_toml(text) if file.endswith(".toml") else parse_json(text)
    except ConfigSyntaxError as error:
        raise syntax_fault(file, error) from error
    listing = _listing(file, raw)
    if listing.servers is None:
        raise ConfigFaultsError(
            [ConfigFault(file, "known", UNSET, "is missing: this file has no list of servers")]
        )
    origin = listing.origin_kind if origin_kind is None else origin_kind
    return _fleet(file, listing.servers.revision, listing.servers.members, origin)


def read_fleets(files: list[str], origin_kind: str | None = None) -> list[Fleet]:
    """Read the fleets in several files.

    Raises:
        CommandError: A file has faults or cannot be read; the message has the faults of all files.
    """
    fleets: list[Fleet] = []
    faults = FileFaults()
    for file in files:
        with faults.collected(file):
            fleets.append(read_fleet(file, origin_kind))
    faults.raise_collected()
    return fleets


class _Listing(NamedTuple):
    """The list of servers in a file, None if there is none, and the origin's kind."""

    servers: ServerList | Known | None
    origin_kind: str | None


def _listing(file: str, raw: Any) -> _Listing:
    """Decode a file in any of the three formats."""
    names = raw if isinstance(raw, dict) else ()
    if "members" in names and "settings" not in names and "classes" not in names:
        return _Listing(decode_values(file, raw, ServerList, validate_server_list), ORIGIN)
    if is_node_format(file, raw):
        node = decode_values(file, raw, NodeFile, validate_node_file)
        return _Listing(node.known, node.origin_kind)
    if "settings" in names:
        platform = decode_values(file, raw, PlatformFile, validate_platform_file)
        return _Listing(platform.known, _platform_origin(platform.settings))
    reason = "must be a list of servers (revision, complete, members) or a node's configuration"
    raise ConfigFaultsError([ConfigFault(file, "", UNSET, reason)])


def _platform_origin(settings: Settings) -> str | None:
    """Return the origin's kind, which is at the position `originKind` in `kinds`; only mode aside has one."""
    kinds = settings.kinds or ()
    position = settings.family_info.origin_kind
    if settings.family_info.mode == "aside" and 0 <= position < len(kinds):
        return kinds[position]
    return None


def _fleet(
    file: str, revision: int, members: tuple[ListedServer | NodeFileServer, ...], origin: str | None
) -> Fleet:
    caches: list[Cache] = []
    off_ring: dict[str, str] = {}
    for member in sorted(members, key=lambda member: member.id):
        if member.phase != "in_service":
            off_ring[member.id] = member.phase
        elif origin is not None and member.flavor == origin:
            off_ring[member.id] = "the origin"
        else:
            caches.append(_cache(member))
    return Fleet(file, revision, tuple(caches), off_ring)


def _cache(member: ListedServer | NodeFileServer) -> Cache:
    return Cache(
        id=member.id,
        zone=member.locality,
        weight=1.0 if member.size is None else member.size,
        address=member.host_port or "",
        cell=member.cell or 0,
        kind=member.flavor,
        up_since_ms=member.up_since_ms or 0.0,
    )
