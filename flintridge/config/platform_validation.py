"""Cross-field validation of the platform's JSON: values that are valid one by one, but conflict."""

from collections.abc import Iterator, Sequence, Sized
from typing import Any

from flintridge.config.cross_field import (
    address_faults,
    console_address_faults,
    duplicate_faults,
    member_address_faults,
    missing_member_address_faults,
)
from flintridge.config.faults import ConfigFault, all_valid, fault_at
from flintridge.config.platform_model import PlatformFile, ServerList, Service, Settings


def validate_platform_file(file: PlatformFile) -> Iterator[ConfigFault]:
    """Report all values that conflict with each other; values that are invalid are `UNSET` in the file."""
    yield from address_faults("listen", file.listen or None)
    yield from address_faults("discovery", file.discovery or None)
    yield from address_faults("console", file.console or None)
    yield from console_address_faults(file)
    if all_valid(file.settings):
        yield from _settings_faults(file.settings)
    if all_valid(file.known) and file.known:
        yield from _known_faults(file.known)


def validate_server_list(servers: ServerList) -> Iterator[ConfigFault]:
    """Report all values that conflict in a file that contains only discovery's list."""
    if all_valid(servers.complete) and not servers.complete:
        yield fault_at(
            "complete", False, "must be true: this is an update of a list, not a whole list", "true"
        )
    if not all_valid(servers.members):
        return
    yield from duplicate_faults(servers.members, "members", "id")
    yield from member_address_faults(servers.members, "members")
    yield from missing_member_address_faults(servers.members, "members")


def _known_faults(known: ServerList) -> Iterator[ConfigFault]:
    if not all_valid(known.members):
        return
    yield from duplicate_faults(known.members, "known.members", "id")
    yield from member_address_faults(known.members, "known.members")
    yield from missing_member_address_faults(known.members, "known.members")


def _settings_faults(settings: Settings) -> Iterator[ConfigFault]:
    services: Sequence[Service] = ()
    if all_valid(settings.services):
        services = settings.services or ()
    for i, service in enumerate(services):
        if all_valid(service):
            yield from _service_faults(service, f"settings.services[{i}]")
    yield from duplicate_faults(services, "settings.services", "name")
    if all_valid(settings.tenants):
        yield from duplicate_faults(settings.tenants or (), "settings.tenants", "name")
    yield from _position_faults("settings.zone", settings.zone, settings.zones, "zones")
    if all_valid(settings.family_info):
        origin_kind = settings.family_info.origin_kind
        yield from _position_faults("settings.familyInfo.originKind", origin_kind, settings.kinds, "kinds")
    if all_valid(settings.self_index, settings.fleet_size):
        nodes = range(settings.fleet_size or 1)
        yield from _position_faults(
            "settings.selfIndex", settings.self_index, nodes, "the fleet of fleetSize"
        )


def _service_faults(service: Service, path: str) -> Iterator[ConfigFault]:
    objective_ns = service.latency_objective_ns
    deadline_ns = service.deadline_ns
    if not all_valid(objective_ns, deadline_ns) or objective_ns is None or deadline_ns is None:
        return
    if objective_ns > deadline_ns:
        allowed = f"at most the hardLimitNs of {deadline_ns:.0f}"
        yield fault_at(f"{path}.sloNs", objective_ns, f"must be {allowed}", allowed)


def _position_faults(path: str, position: Any, names: Sized | None, names_path: str) -> Iterator[ConfigFault]:
    """Report a position that is outside its list; without a list it cannot be checked."""
    if not all_valid(position, names) or position is None or not names:
        return
    if position >= len(names):
        allowed = f"0 to {len(names) - 1}"
        yield fault_at(path, position, f"must be {allowed}, a position in {names_path}", allowed)
