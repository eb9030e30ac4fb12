"""`flintridge ring`: a list of servers from a file, as discovery gives it or as a configuration holds it."""

from typing import Any, NamedTuple

from flintridge.config.decoding import decode_values, syntax_fault
from flintridge.config.faults import UNSET, ConfigFault, ConfigFaultsError
from flintridge.config.loader import is_node_format
from flintridge.config.model import Listed as OwnListed
from flintridge.config.model import NodeFile
from flintridge.config.node_file_validation import validate_node_file
from flintridge.config.platform_model import ListedServer, PlatformFile, ServerList, Settings
from flintridge.config.platform_validation import validate_platform_file, validate_server_list
from flintridge.config.syntax import ConfigSyntaxError, parse_json, parse_toml

ORIGIN = "origin"  # the kind that discovery gives the origin, where no configuration names another


class Cache(NamedTuple):
    """A server on the ring."""

    id: str
    zone: str
    weight: float
    address: str
    cell: int
    kind: str
    up_since_ms: float  # Unix time; 0: long ago


class Fleet(NamedTuple):
    """What a file says of a fleet; servers in the order of their ids."""

    file: str
    revision: int
    caches: tuple[Cache, ...]
    off: dict[str, str]  # listed, but off the ring: the id and why

    @property
    def zones(self) -> list[str]:
        return sorted({cache.zone for cache in self.caches})


def read(file: str, origin_kind: str | None = None) -> Fleet:
    """The fleet in a file; `origin_kind` goes before what a configuration says.

    Raises ConfigFaultsError with every fault of the file, or OSError.
    """
    with open(file, "rb") as opened:
        text = opened.read()
    try:
        raw = parse_toml(text) if file.endswith(".toml") else parse_json(text)
    except ConfigSyntaxError as error:
        raise syntax_fault(file, error) from error
    listed, origin = _held(file, raw)
    if listed is None:
        raise ConfigFaultsError(
            [ConfigFault(file, "known", UNSET, "is missing: this file holds no list of servers")]
        )
    return _fleet(file, listed.revision, listed.members, origin if origin_kind is None else origin_kind)


def _held(file: str, raw: Any) -> tuple[Any, str | None]:
    """The list in a file of any of the three forms, None where there is none, and the origin's kind."""
    names = raw if isinstance(raw, dict) else ()
    if "members" in names and "settings" not in names and "classes" not in names:
        return decode_values(file, raw, ServerList, validate_server_list), ORIGIN
    if is_node_format(file, raw):
        own = decode_values(file, raw, NodeFile, validate_node_file)
        return own.known, own.origin_kind
    if "settings" in names:
        platform = decode_values(file, raw, PlatformFile, validate_platform_file)
        return platform.known, _platform_origin(platform.settings)
    reason = "must be a list of servers (revision, complete, members) or a node's configuration"
    raise ConfigFaultsError([ConfigFault(file, "", UNSET, reason)])


def _platform_origin(settings: Settings) -> str | None:
    """As the node counts it: a position among the kinds, in the mode that has an origin."""
    kinds, at = settings.kinds or (), settings.family_info.origin_kind
    return kinds[at] if settings.family_info.mode == "aside" and 0 <= at < len(kinds) else None


def _fleet(
    file: str, revision: int, members: tuple[ListedServer | OwnListed, ...], origin: str | None
) -> Fleet:
    caches: list[Cache] = []
    off: dict[str, str] = {}
    for one in sorted(members, key=lambda member: member.id):
        if one.phase != "in_service":
            off[one.id] = one.phase
        elif origin is not None and one.flavor == origin:
            off[one.id] = "the origin"
        else:
            weight = 1.0 if one.size is None else one.size
            address, since = one.host_port or "", one.up_since_ms or 0.0
            caches.append(Cache(one.id, one.locality, weight, address, one.cell or 0, one.flavor, since))
    return Fleet(file, revision, tuple(caches), off)
