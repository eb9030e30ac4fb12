"""Rules on what nodes hear of one another: nothing fresher than it is, nobody missed for long, few bytes.

Judged from the nodes' consoles, the starts, ends and pauses of processes and what is wrong on the ways.
"""

import math
from collections import deque
from dataclasses import dataclass

from flintridge.lab.judge.facts import History
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.lives import ProcessLifetime
from flintridge.lab.records import DatagramRelayed, FaultChanged, LinkFaultChanged, MembershipReported

RULES = ("peers_stale", "peers_gap", "peers_cut_off", "peers_deaf", "peers_bytes")

NEAR_MS = 20.0  # a claim is told in whole milliseconds, and a node's clock is read a little before or after
LOOPBACK_NEAR_MS = 150.0  # the same where processes start, stop and are signalled in real time
LONGEST_GAP_MS = 1_500.0  # a pause beyond this must make all old
SETTLE_MS = 10_000.0  # beyond the limit of knowledge, until all that live are heard again
WAY_MS = 300.0  # that a datagram may be on its way, beside what a fault adds
COUNTED = ("heard", "through", "suspect")  # standings that count as heard
ZONE_FAULTS = ("cut", "zone_loss", "slow_link")


@dataclass(slots=True)
class Truth:
    """What the records tell of processes and ways."""

    lives: dict[str, list[ProcessLifetime]]
    ways: list[LinkFaultChanged]
    near: float
    called: dict[
        str, ProcessLifetime
    ]  # processes by what they call their lives, as far as their consoles told it

    def lived(self, node: str, life: str, since: float, until: float) -> bool:
        """Whether that life ran, and did not stand still, at any time between these. Of one that no console
        told of, any process of its node stands in."""
        known = self.called.get(life)
        for one in self.lives.get(node, ()) if known is None else (known,):
            begin = max(since, one.started - self.near)
            end = min(until, (math.inf if one.end is None else one.end.at_ms) + self.near)
            pauses = [*one.pauses, *([(one.paused_at, math.inf)] if one.paused_at is not None else [])]
            for a, b in sorted(pauses):
                if a + self.near < begin:  # it stood still by then
                    begin = max(begin, b - self.near)
            if begin <= end:
                return True
        return False


def check(day: History, findings: Findings) -> None:
    views = [record for record in day.records if isinstance(record, MembershipReported)]
    if not views:
        return
    near = LOOPBACK_NEAR_MS if day.loopback else NEAR_MS
    ways = [record for record in day.records if isinstance(record, LinkFaultChanged)]
    called = {view.incarnation: day.lives.at(view.node, view.at_ms) for view in views}
    truth = Truth(day.lives.by_node, ways, near, called)
    for view in views:
        _stale(view, truth, findings)
        _gap(view, truth, findings)
    _cut_off(day, views, truth, findings)
    _deaf(day, views, truth, findings)
    _bytes(day, truth, findings)


def _stale(view: MembershipReported, truth: Truth, findings: Findings) -> None:
    """Of nobody is it known that it lived at a time, or later, where it did not."""
    for name, life, state, ago in view.members:
        if ago < 0 or not truth.lives.get(name) or truth.lived(name, life, view.at_ms - ago, view.at_ms):
            continue
        text = f"{view.node} holds that {name} ({life}, {state}) lived {ago:.0f} ms ago; it did not since"
        ends = [one.end for one in truth.lives[name] if one.end is not None]
        findings.add("peers_stale", view.at_ms, text, [view, *ends], node=view.node)
        return


def _gap(view: MembershipReported, truth: Truth, findings: Findings) -> None:
    """After a pause nothing counts that was known before."""
    for one in truth.lives.get(view.node, ()):
        for since, until in one.pauses:
            if until - since <= LONGEST_GAP_MS + truth.near or not until + truth.near < view.at_ms:
                continue
            if one.end is not None and view.at_ms > one.end.at_ms:
                continue
            for name, life, state, ago in view.members:
                if state in COUNTED and ago >= 0 and view.at_ms - ago < until - truth.near:
                    text = (
                        f"{view.node} counts {name} ({life}) by what it knew {ago:.0f} ms ago, before"
                        f" the end of its own pause {view.at_ms - until:.0f} ms ago"
                    )
                    findings.add("peers_gap", view.at_ms, text, [view], node=view.node)
                    return


def _cut_off(day: History, views: list[MembershipReported], truth: Truth, findings: Findings) -> None:
    """Where every way into a node is cut it learns nothing new."""
    nodes = [f"n{i}" for i in range(day.scenario.nodes.count)]
    for node in nodes:
        cut: dict[str, bool] = {}
        since: float | None = None
        spans: list[tuple[float, float, LinkFaultChanged]] = []
        begun: LinkFaultChanged | None = None
        for way in truth.ways:
            if way.target != node:
                continue
            cut[way.source] = way.cut
            alone = all(cut.get(other, False) for other in nodes if other != node)
            if alone and since is None:
                since, begun = way.at_ms, way
            elif not alone and since is not None and begun is not None:
                spans.append((since, way.at_ms, begun))
                since = None
        if since is not None and begun is not None:
            spans.append((since, math.inf, begun))
        for view in views:
            for start, end, way in spans:
                if view.node != node or not start < view.at_ms < end:
                    continue
                newest = max((view.at_ms - ago for *_, ago in view.members if ago >= 0), default=-math.inf)
                if newest > start + truth.near:
                    text = f"{node} knows of a life {newest - start:.0f} ms after every way to it was cut"
                    findings.add("peers_cut_off", view.at_ms, text, [way, view], node=node)


def _deaf(day: History, views: list[MembershipReported], truth: Truth, findings: Findings) -> None:
    """Long enough after the last trouble each node hears all that live."""
    troubles = [(record.at_ms, _bad(record)) for record in truth.ways]
    zones = [
        (r.at_ms, r.begins) for r in day.records if isinstance(r, FaultChanged) and r.name in ZONE_FAULTS
    ]
    for view in views:
        settled = view.at_ms - view.limit_ms - SETTLE_MS
        if any(settled < t <= view.at_ms for t, _ in [*troubles, *zones]):
            continue
        on = sum(1 if begins else -1 for t, begins in zones if t <= view.at_ms)
        if on > 0 or _troubled(truth.ways, view.at_ms):
            continue
        alive = 0
        for lives in truth.lives.values():
            steady = [
                one
                for one in lives
                if one.started <= view.at_ms
                and (one.end is None or one.end.at_ms > view.at_ms)
                and one.paused_at is None
            ]
            changed = [one.started for one in lives] + [one.end.at_ms for one in lives if one.end is not None]
            changed += [edge for one in lives for pause in one.pauses for edge in pause]
            if any(settled < at <= view.at_ms for at in changed) or not lives:
                alive = -1
                break
            alive += bool(steady)
        if alive > view.reachable:
            text = (
                f"{view.node} hears {view.reachable} of {alive} nodes that live, long after the last trouble"
            )
            findings.add("peers_deaf", view.at_ms, text, [view], node=view.node)


def _bad(way: LinkFaultChanged) -> bool:
    return (
        way.cut or way.loss > 0.35 or way.added_delay_ms + way.jitter_ms > 200 or 0 < way.bytes_per_s < 20_000
    )


def _troubled(ways: list[LinkFaultChanged], t: float) -> bool:
    """Whether some way is so bad at that time that nodes need not hear one another."""
    last: dict[tuple[str, str], LinkFaultChanged] = {}
    for way in ways:
        if way.at_ms <= t:
            last[way.source, way.target] = way
    return any(_bad(way) for way in last.values())


def _bytes(day: History, truth: Truth, findings: Findings) -> None:
    """No second in which a process's datagrams are more than its bound lets pass; told once a node."""
    assert day.scenario.peers is not None
    rate = day.scenario.peers.bytes_per_s
    windows: dict[str, deque[DatagramRelayed]] = {}
    sums: dict[str, int] = {}
    for record in day.records:
        if (
            not isinstance(record, DatagramRelayed)
            or record.outcome == "doubled"
            or sums.get(record.source, 0) < 0
        ):
            continue
        window = windows.setdefault(record.source, deque())
        window.append(record)
        total = sums.get(record.source, 0) + record.size
        while window[0].at_ms <= record.at_ms - 1000 + 2 * truth.near:
            total -= window.popleft().size
        sums[record.source] = total
        # Two lives of a name have a second's bytes each: one that was killed, and the next.
        lives = [one.started for one in truth.lives.get(record.source, ())]
        if total > rate and not any(record.at_ms - 1000 - truth.near <= at <= record.at_ms for at in lives):
            text = f"{record.source} sent {total} bytes to its peers within a second; {rate:g} are allowed"
            findings.add("peers_bytes", record.at_ms, text, [window[0], record], node=record.source)
            sums[record.source] = -1
