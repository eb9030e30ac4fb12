"""The rule `leak`: a node has no more open connections than it needs and is allowed."""

import math
from itertools import accumulate, pairwise
from typing import NamedTuple

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.records import ConnectionCount

# A node may have IDLE_FACTOR times the connections that it needs, plus IDLE_EXTRA: attempts that never got a
# connection leave no record.
IDLE_FACTOR = 2.0
IDLE_EXTRA = 50
# In the run's last quarter, a node may have GROWTH_FACTOR times the maximum of the first quarter, plus
# GROWTH_EXTRA connections.
GROWTH_FACTOR = 1.5
GROWTH_EXTRA = 50
QUARTERS = 4


class _InFlightChange(NamedTuple):
    """A change of the number of attempts in flight."""

    at_ms: float
    by: int


def check(history: History, findings: Findings) -> None:
    """Add connection leaks, at most one violation per node."""
    by_node: dict[str, list[ConnectionCount]] = {}
    for record in history.records:
        if isinstance(record, ConnectionCount):
            by_node.setdefault(record.node, []).append(record)
    idle_ms = 1000 * max(kind.idle_s for kind in history.scenario.kinds)
    for node, samples in by_node.items():
        # While links are disturbed, servers may not see that a node has closed: these samples are left out.
        clear = [s for s in samples if not history.links_disturbed(s.at_ms - idle_ms, s.at_ms)]
        if _check_limit(history, node, clear, findings) or _check_idle(history, node, clear, findings):
            continue
        _check_growth(history, node, clear, findings)


def _check_limit(history: History, node: str, samples: list[ConnectionCount], findings: Findings) -> bool:
    """`leak`: a node has no more connections than its descriptors allow."""
    limit = history.scenario.nodes.sockets
    for sample in samples:
        count = sample.server_side + sample.client_side
        if count > limit:
            text = (
                f"{node} has {count} connections, {sample.server_side} of them to servers; "
                f"{limit} are allowed"
            )
            findings.add("leak", sample.at_ms, text, [sample], node=node)
            return True
    return False


def _check_idle(history: History, node: str, samples: list[ConnectionCount], findings: Findings) -> bool:
    """`leak`: a node has no connections to servers that no attempt can have needed.

    A node opens a connection only when all that it has are in use. This check also finds a leak that the
    limit of descriptors stopped before `_check_growth` could see it grow.
    """
    if all(sample.server_side <= IDLE_EXTRA for sample in samples):
        return False
    required = _required_connections(history, node)
    if not required:  # without any attempt, the need is not known
        return False
    for sample in samples:
        if sample.server_side > IDLE_FACTOR * required + IDLE_EXTRA:
            text = (
                f"{node} has {sample.server_side} connections to servers; {required} are enough for the "
                f"maximum of its attempts in flight at each server"
            )
            findings.add("leak", sample.at_ms, text, [sample], node=node)
            return True
    return False


def _required_connections(history: History, node: str) -> int:
    """Return the sum over all servers of the maximum of a node's attempts in flight."""
    by_server: dict[str, list[_InFlightChange]] = {}
    for outcome in history.outcomes.values():
        if outcome.record.node == node:
            changes = by_server.setdefault(outcome.server, [])
            changes.append(_InFlightChange(outcome.record.started_ms, 1))
            changes.append(_InFlightChange(outcome.in_flight_until_ms, -1))
    return sum(max(accumulate(change.by for change in sorted(changes))) for changes in by_server.values())


def _check_growth(history: History, node: str, samples: list[ConnectionCount], findings: Findings) -> None:
    """`leak`: connections to servers don't grow throughout the run unless the attempts in flight do."""
    quarter_ms = 1000 * history.scenario.length_s / QUARTERS
    quarters: list[list[ConnectionCount]] = [[] for _ in range(QUARTERS)]
    for sample in samples:
        if 0 <= sample.at_ms < QUARTERS * quarter_ms:
            quarters[int(sample.at_ms // quarter_ms)].append(sample)
    if not all(quarters):
        return
    minimum = [min(sample.server_side for sample in quarter) for quarter in quarters]
    maximum = [max(sample.server_side for sample in quarter) for quarter in quarters]
    if not _is_growing(minimum) or not _is_growing(maximum):
        return
    if minimum[-1] <= GROWTH_FACTOR * maximum[0] + GROWTH_EXTRA:
        return
    in_flight = _peaks_in_flight(history, node, quarter_ms)
    if in_flight[-1] > GROWTH_FACTOR * in_flight[0] + GROWTH_EXTRA:
        return
    text = (
        f"{node} has a growing number of connections to servers: at most {maximum[0]} in the first quarter "
        f"of the run, at least {minimum[-1]} in the last; its maximum of attempts in flight did not grow as "
        f"much ({in_flight[0]}, then {in_flight[-1]})"
    )
    proof = [quarters[0][0], *(quarter[-1] for quarter in quarters)]
    findings.add("leak", quarters[-1][-1].at_ms, text, proof, node=node)


def _is_growing(values: list[int]) -> bool:
    return all(later > earlier for earlier, later in pairwise(values))


def _peaks_in_flight(history: History, node: str, quarter_ms: float) -> list[int]:
    """Return the maximum of a node's attempts in flight in each quarter of the run."""
    changes: list[_InFlightChange] = []
    for outcome in history.outcomes.values():
        if outcome.record.node == node:
            changes.append(_InFlightChange(outcome.record.started_ms, 1))
            changes.append(_InFlightChange(outcome.in_flight_until_ms, -1))
    changes.sort()
    peaks = [0] * QUARTERS
    in_flight = 0
    for change in changes:
        in_flight += change.by
        quarter = math.floor(change.at_ms / quarter_ms)
        if 0 <= quarter < QUARTERS:
            peaks[quarter] = max(peaks[quarter], in_flight)
    return peaks
