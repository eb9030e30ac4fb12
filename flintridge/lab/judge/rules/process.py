"""Rules on a node's process: it ends only when told to, answers bad clients in kind, and leaks nothing."""

import math
from itertools import accumulate

from flintridge.lab.judge.facts import History
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.lives import ProcessLifetime
from flintridge.lab.records import ConnectionCount, MalformedClientEnded, NodeStateChanged, RequestSent

RULES = ("stopped", "leak", "bad_clients", "unready", "quiesced")

LAST_MS = 250.0  # for writing out the last answers, and for the end of the process
IDLE = 2.0  # times the connections that would do, and
IDLE_BY = 50  # more; attempts that never got a connection leave no record
CLIMB = 1.5  # times the most of the day's first quarter, and
CLIMB_BY = 50  # more connections in its last one
QUARTERS = 4
DRAINED_MS = 2000.0  # after the call to drain, from when on a node takes no more requests
BACK_MS = 2000.0  # after the end of a drain, until which a node says yes again


def check(day: History, findings: Findings) -> None:
    for node in day.lives.by_node:
        for life in day.lives.by_node[node]:
            _stopped(day, life, findings)
    _leaks(day, findings)
    _quiesced(day, findings)
    for record in day.records:
        if isinstance(record, MalformedClientEnded) and record.outcome == "served":
            text = f"{record.node} served a client that sent what cannot be read ({record.kind})"
            findings.add("bad_clients", record.at_ms, text, [record], node=record.node)


def _stopped(day: History, life: ProcessLifetime, findings: Findings) -> None:
    def found(t: float, text: str) -> None:
        proof: list[NodeStateChanged | None] = [life.term, life.end]
        findings.add("stopped", t, f"{life.node} {text}", proof, node=life.node)

    term, end = life.term, life.end
    if end is not None and end.state == "stuck":
        found(end.at_ms, f"was stuck: {end.text}" if end.text else "was stuck")
    elif term is None:
        if end is not None and end.state == "exited":
            found(end.at_ms, f"ended by itself with code {end.code}")
    elif life.pauses or life.paused_at is not None:
        return  # what it could do in its time is not known
    else:
        limit = term.at_ms + day.patience_ms + LAST_MS + day.slacks.limit
        ended = end.at_ms if end is not None else math.inf
        if end is not None and end.state == "exited" and end.code != 0:
            found(end.at_ms, f"ended with code {end.code} after SIGTERM")
        elif day.had_its_time(life):
            found(
                ended, f"had not ended by itself when it was killed {ended - term.at_ms:.0f} ms after SIGTERM"
            )
        elif min(ended, day.end) > limit:
            found(limit, f"had not ended {limit - term.at_ms:.0f} ms after SIGTERM")


def _quiesced(day: History, findings: Findings) -> None:
    """A node told to drain sends its clients away, and takes them again soon after the drain's end."""
    ends = ("back", "term", "killed", "exited", "stuck", "started")
    said = [r for r in day.records if isinstance(r, NodeStateChanged)]
    for i, call in enumerate(said):
        if call.state != "quiesced":
            continue
        end = next((r for r in said[i + 1 :] if r.node == call.node and r.state in ends), None)
        until = day.end if end is None else end.at_ms
        since = call.at_ms + DRAINED_MS + day.slacks.limit
        for record in day.records:
            if isinstance(record, RequestSent) and record.node == call.node and since < record.at_ms < until:
                late_ms = record.at_ms - call.at_ms
                text = f"{call.node} still takes requests {late_ms:.0f} ms after it was told to drain"
                findings.add("quiesced", record.at_ms, text, [call, record], node=call.node)
                break
        if end is None or end.state != "back":
            continue
        limit = end.at_ms + BACK_MS + day.slacks.limit
        after = [r for r in said[said.index(end) + 1 :] if r.node == call.node and r.at_ms <= limit]
        if limit < day.end and not any(r.state in ("ready", *ends) for r in after):
            text = f"{call.node} had not said yes {limit - end.at_ms:.0f} ms after the end of its drain"
            findings.add("quiesced", limit, text, [call, end], node=call.node)


# Connections


def _leaks(day: History, findings: Findings) -> None:
    by_node: dict[str, list[ConnectionCount]] = {}
    for record in day.records:
        if isinstance(record, ConnectionCount):
            by_node.setdefault(record.node, []).append(record)
    for node, samples in by_node.items():
        # While links are hit servers may not see that a node has closed: these count for nothing.
        idle = 1000 * _longest_idle(day)
        clear = [s for s in samples if not day.links_hit(s.at_ms - idle, s.at_ms)]
        if not _over(day, node, clear, findings) and not _idle(day, node, clear, findings):
            _climbs(day, node, clear, findings)


def _longest_idle(day: History) -> float:
    return max(kind.idle_s for kind in day.scenario.kinds)


def _over(day: History, node: str, samples: list[ConnectionCount], findings: Findings) -> bool:
    room = day.scenario.nodes.sockets
    for sample in samples:
        held = sample.server_side + sample.client_side
        if held > room:
            text = (
                f"{node} holds {held} connections, {sample.server_side} of them to servers; "
                f"{room} are allowed"
            )
            findings.add("leak", sample.at_ms, text, [sample], node=node)
            return True
    return False


def _idle(day: History, node: str, samples: list[ConnectionCount], findings: Findings) -> bool:
    """Connections to servers that no attempt can have needed: a node opens one where all it has are in use.

    Also where its descriptors ended the growth before it could be seen as one.
    """
    needed = _needed(day, node)
    for sample in samples if needed else ():  # without any attempt nothing is known
        if sample.server_side > IDLE * needed + IDLE_BY:
            text = (
                f"{node} holds {sample.server_side} connections to servers, where {needed} would do for "
                f"the most attempts that it ever had out at each"
            )
            findings.add("leak", sample.at_ms, text, [sample], node=node)
            return True
    return False


def _needed(day: History, node: str) -> int:
    """The most attempts that a node had out at once at each server, added up."""
    by_server: dict[str, list[tuple[float, int]]] = {}
    for sent in day.sent.values():
        record = sent.record
        if record.node == node:
            ended = sent.ended
            over = record.at_ms + record.time_left_ms if ended is None else ended
            by_server.setdefault(record.server, []).extend([(record.started_ms, 1), (over, -1)])
    return sum(max(accumulate(change for _, change in sorted(events))) for events in by_server.values())


def _climbs(day: History, node: str, samples: list[ConnectionCount], findings: Findings) -> None:
    """Connections to servers that grow through all of the day, though what is out at them does not."""
    length = 1000 * day.scenario.length_s / QUARTERS
    parts: list[list[ConnectionCount]] = [[] for _ in range(QUARTERS)]
    for sample in samples:
        if 0 <= sample.at_ms < QUARTERS * length:
            parts[int(sample.at_ms // length)].append(sample)
    if not all(parts):
        return
    least = [min(s.server_side for s in part) for part in parts]
    most = [max(s.server_side for s in part) for part in parts]
    climbs = all(least[i + 1] > least[i] and most[i + 1] > most[i] for i in range(QUARTERS - 1))
    if not climbs or least[-1] <= CLIMB * most[0] + CLIMB_BY:
        return
    out = _peaks(day, node, length)
    if out[-1] > CLIMB * out[0] + CLIMB_BY:
        return
    first, last = parts[0][0], parts[-1][-1]
    text = (
        f"{node} holds more and more connections to servers: at most {most[0]} in the first quarter of the "
        f"day, at least {least[-1]} in the last, with no more attempts out at once ({out[0]}, then {out[-1]})"
    )
    findings.add("leak", last.at_ms, text, [first, *(part[-1] for part in parts)], node=node)


def _peaks(day: History, node: str, length: float) -> list[int]:
    """The most attempts that a node had out at once in each quarter of the day."""
    events: list[tuple[float, int]] = []
    for sent in day.sent.values():
        record = sent.record
        if record.node == node:
            ended = sent.ended
            events += [
                (record.started_ms, 1),
                (record.at_ms + record.time_left_ms if ended is None else ended, -1),
            ]
    events.sort()
    peaks, out = [0] * QUARTERS, 0
    for t, change in events:
        out += change
        quarter = math.floor(t / length)
        if 0 <= quarter < QUARTERS:
            peaks[quarter] = max(peaks[quarter], out)
    return peaks
