"""Judges attempts at servers that drain or have left: when each change counts as told to a node process."""

import math
from dataclasses import dataclass, field

from support.drain_discovery import Told
from support.drain_list import IN_SERVICE, Change, MemberList

SILENCE_S = 6.0  # a change counts as told so long after its watch fell silent, or discovery could be reached
MOVE_S = 4.0  # what is pushed counts so long after the address of discovery has changed
SLACK_S = 0.05


@dataclass
class Attempts:
    """The attempts of one node process, by server: the instants at which they arrived."""

    told: Told
    arrived_at: dict[str, list[float]] = field(default_factory=dict)


def counts_as_told_at(change: Change, told: Told, is_pushed: bool) -> float:
    """When a change counts as told to a node process, in seconds of the monotonic clock."""
    known_at = max(change.at, told.started_at)
    for outage in told.outages:
        if (
            outage.start < known_at + SILENCE_S
            and outage.end > known_at
            and told.written(change.revision) > outage.start
        ):
            known_at = outage.end
    for moved_at in told.moved_at:
        if moved_at <= known_at + SILENCE_S and told.written(change.revision) > moved_at:
            known_at = max(known_at, moved_at + (MOVE_S if is_pushed else 0.0))
    at = known_at if is_pushed else known_at + SILENCE_S
    for silence in told.silences:
        if silence.contains(known_at):
            at = max(known_at, silence.start + SILENCE_S)
    return min(at, told.written(change.revision))


def late_attempts(
    members: MemberList, attempts: Attempts, is_pushed: bool, grace_s: float, stall_s: float
) -> list[str]:
    """Describe the attempts that began after the grace of a drain or removal.

    Args:
        members: The list and its changes.
        attempts: The attempts of one node process.
        is_pushed: Whether lists are pushed.
        grace_s: The grace of a drain.
        stall_s: For how long the stand-ins may have been held up.
    """
    findings: list[str] = []
    for server, instants in attempts.arrived_at.items():
        changes = [change for change in members.changes if change.server == server]
        for number, change in enumerate(changes):
            if change.phase == IN_SERVICE:
                continue
            returns = [later.at for later in changes[number:] if later.phase == IN_SERVICE]
            told_at = counts_as_told_at(change, attempts.told, is_pushed)
            latest = told_at + grace_s + SLACK_S + stall_s
            late = [at for at in instants if latest < at < min(returns, default=math.inf)]
            if late:
                written_at = attempts.told.written(change.revision)
                findings.append(
                    f"{len(late)} attempts at {server}, {change.phase} at {change.at:.2f},"
                    f" told at {told_at:.2f} (written at {written_at:.2f}): {late[0]:.2f} to {late[-1]:.2f}"
                )
    return findings
