"""Rules on what nodes know of one another, judged by their admin APIs, their processes and their links.

`peers_stale`: no node reports that another was alive at a time when it was not. `peers_gap`: after a long
pause, a node no longer uses what it knew before. `peers_cut_off`: a node whose incoming links are all cut
learns nothing new. `peers_deaf`: once links and processes are stable for long enough, every node knows all
nodes that live. `peers_bytes`: a process sends its peers no more bytes a second than allowed.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.process_history import ProcessLifetime
from flintridge.lab.records import DatagramRelayed, FaultChanged, LinkFaultChanged, MembershipReported

RULES = ("peers_stale", "peers_gap", "peers_cut_off", "peers_deaf", "peers_bytes")

# Ages are reported in whole milliseconds, and a node reads its clock a little before or after the report.
TOLERANCE_MS = 20.0
REAL_TIME_TOLERANCE_MS = 150.0  # also covers how long processes take to start, stop and handle signals
MAX_HARMLESS_PAUSE_MS = 1_500.0  # after a longer pause, a node must not use what it knew before
SETTLE_MS = 10_000.0  # added to a node's age limit: by then it must know all nodes that live
REACHABLE_STATES = ("heard", "through", "suspect")
ZONE_FAULTS = ("cut", "zone_loss", "slow_link")
# A link is unusable beyond any of these.
MAX_USABLE_LOSS = 0.35
MAX_USABLE_DELAY_MS = 200
MIN_USABLE_BYTES_PER_S = 20_000
BYTE_WINDOW_MS = 1000


@dataclass(slots=True)
class _GroundTruth:
    """What the records show of processes and links.

    Attributes:
        processes: The processes of each node.
        link_faults: The changes of link faults, in order of time.
        tolerance_ms: How much a reported age may differ from the true one.
        by_incarnation: Processes by incarnation, as far as their admin APIs reported it.
    """

    processes: dict[str, list[ProcessLifetime]]
    link_faults: list[LinkFaultChanged]
    tolerance_ms: float
    by_incarnation: dict[str, ProcessLifetime]

    def was_alive(self, node: str, incarnation: str, since_ms: float, until_ms: float) -> bool:
        """Whether the incarnation ran, without being paused, at any time of this span.

        If no admin API reported the incarnation, any process of the node counts.
        """
        known = self.by_incarnation.get(incarnation)
        candidates = self.processes.get(node, []) if known is None else [known]
        return any(self._was_running(process, since_ms, until_ms) for process in candidates)

    def _was_running(self, process: ProcessLifetime, since_ms: float, until_ms: float) -> bool:
        end_ms = math.inf if process.end is None else process.end.at_ms
        running_from_ms = max(since_ms, process.started_ms - self.tolerance_ms)
        for pause in sorted(process.all_pauses):
            if pause.start_ms + self.tolerance_ms < running_from_ms:  # it was paused by then
                running_from_ms = max(running_from_ms, pause.end_ms - self.tolerance_ms)
        return running_from_ms <= min(until_ms, end_ms + self.tolerance_ms)


class _Isolation(NamedTuple):
    """A span in which every link into a node was cut, and the cut with which it began."""

    start_ms: float
    end_ms: float
    cut: LinkFaultChanged


def check(history: History, findings: Findings) -> None:
    """Add all violations of the rules on the nodes' knowledge of one another."""
    reports = [record for record in history.records if isinstance(record, MembershipReported)]
    if not reports:
        return
    ground_truth = _GroundTruth(
        processes=history.processes.by_node,
        link_faults=[record for record in history.records if isinstance(record, LinkFaultChanged)],
        tolerance_ms=REAL_TIME_TOLERANCE_MS if history.is_real_time else TOLERANCE_MS,
        by_incarnation={
            report.incarnation: history.processes.at(report.node, report.at_ms) for report in reports
        },
    )
    for report in reports:
        _check_stale(report, ground_truth, findings)
        _check_pauses(report, ground_truth, findings)
    _check_isolated(history, reports, ground_truth, findings)
    _check_reachable(history, reports, ground_truth, findings)
    _check_bytes(history, ground_truth, findings)


def _check_stale(report: MembershipReported, ground_truth: _GroundTruth, findings: Findings) -> None:
    """`peers_stale`: no node reports that another was alive at a time after its end or in its pause."""
    for name, incarnation, state, age_ms in report.members:
        processes = ground_truth.processes.get(name)
        if age_ms < 0 or not processes:
            continue
        if ground_truth.was_alive(name, incarnation, report.at_ms - age_ms, report.at_ms):
            continue
        what = f"{report.node} reports that {name} ({incarnation}, {state})"
        text = f"{what} was alive {age_ms:.0f} ms ago; it was not, then or since"
        ends = [process.end for process in processes if process.end is not None]
        findings.add("peers_stale", report.at_ms, text, [report, *ends], node=report.node)
        return


def _check_pauses(report: MembershipReported, ground_truth: _GroundTruth, findings: Findings) -> None:
    """`peers_gap`: after a long pause, a node does not use what it knew before."""
    for process in ground_truth.processes.get(report.node, ()):
        for pause in process.pauses:
            if pause.end_ms - pause.start_ms <= MAX_HARMLESS_PAUSE_MS + ground_truth.tolerance_ms:
                continue
            if pause.end_ms + ground_truth.tolerance_ms >= report.at_ms:
                continue
            if process.end is not None and report.at_ms > process.end.at_ms:
                continue
            if _report_outdated(report, pause.end_ms, ground_truth, findings):
                return


def _report_outdated(
    report: MembershipReported, pause_end_ms: float, ground_truth: _GroundTruth, findings: Findings
) -> bool:
    for name, incarnation, state, age_ms in report.members:
        if state not in REACHABLE_STATES or age_ms < 0:
            continue
        if report.at_ms - age_ms < pause_end_ms - ground_truth.tolerance_ms:
            text = (
                f"{report.node} counts {name} ({incarnation}) by information {age_ms:.0f} ms old, from "
                f"before the end of its own pause {report.at_ms - pause_end_ms:.0f} ms ago"
            )
            findings.add("peers_gap", report.at_ms, text, [report], node=report.node)
            return True
    return False


def _check_isolated(
    history: History, reports: list[MembershipReported], ground_truth: _GroundTruth, findings: Findings
) -> None:
    """`peers_cut_off`: a node learns nothing new while every link into it is cut."""
    nodes = [f"n{i}" for i in range(history.scenario.nodes.count)]
    for node in nodes:
        isolations = _isolations(node, nodes, ground_truth.link_faults)
        for report in reports:
            for isolation in isolations:
                if report.node != node or not isolation.start_ms < report.at_ms < isolation.end_ms:
                    continue
                alive_ms = [report.at_ms - age_ms for *_, age_ms in report.members if age_ms >= 0]
                newest_ms = max(alive_ms, default=-math.inf)
                if newest_ms > isolation.start_ms + ground_truth.tolerance_ms:
                    late_ms = newest_ms - isolation.start_ms
                    text = (
                        f"{node} knows that a peer was alive {late_ms:.0f} ms after every link to it was cut"
                    )
                    findings.add("peers_cut_off", report.at_ms, text, [isolation.cut, report], node=node)


def _isolations(node: str, nodes: list[str], link_faults: list[LinkFaultChanged]) -> list[_Isolation]:
    isolations: list[_Isolation] = []
    is_cut: dict[str, bool] = {}
    cut: LinkFaultChanged | None = None
    for change in link_faults:
        if change.target != node:
            continue
        is_cut[change.source] = change.cut
        is_isolated = all(is_cut.get(other, False) for other in nodes if other != node)
        if is_isolated and cut is None:
            cut = change
        elif not is_isolated and cut is not None:
            isolations.append(_Isolation(cut.at_ms, change.at_ms, cut))
            cut = None
    if cut is not None:
        isolations.append(_Isolation(cut.at_ms, math.inf, cut))
    return isolations


def _check_reachable(
    history: History, reports: list[MembershipReported], ground_truth: _GroundTruth, findings: Findings
) -> None:
    """`peers_deaf`: long after the last fault or process change, each node knows all nodes that live."""
    zone_faults = [r for r in history.records if isinstance(r, FaultChanged) and r.name in ZONE_FAULTS]
    disturbed_ms = [record.at_ms for record in (*ground_truth.link_faults, *zone_faults)]
    for report in reports:
        settled_ms = report.at_ms - report.limit_ms - SETTLE_MS
        if any(settled_ms < at_ms <= report.at_ms for at_ms in disturbed_ms):
            continue
        if _has_zone_fault(zone_faults, report.at_ms) or _has_link_fault(
            ground_truth.link_faults, report.at_ms
        ):
            continue
        alive = _alive_nodes(ground_truth, settled_ms, report.at_ms)
        if alive is not None and alive > report.reachable:
            text = (
                f"{report.node} reaches {report.reachable} of {alive} nodes that live, long after the last "
                "fault"
            )
            findings.add("peers_deaf", report.at_ms, text, [report], node=report.node)


def _alive_nodes(ground_truth: _GroundTruth, settled_ms: float, at_ms: float) -> int | None:
    """Return how many nodes have a running process; None if any process changed since `settled_ms`."""
    alive = 0
    for processes in ground_truth.processes.values():
        if not processes or any(settled_ms < change <= at_ms for change in _changes_ms(processes)):
            return None
        if any(_is_running(process, at_ms) for process in processes):
            alive += 1
    return alive


def _changes_ms(processes: list[ProcessLifetime]) -> list[float]:
    changes_ms = [process.started_ms for process in processes]
    changes_ms += [process.end.at_ms for process in processes if process.end is not None]
    changes_ms += [edge_ms for process in processes for pause in process.pauses for edge_ms in pause]
    return changes_ms


def _is_running(process: ProcessLifetime, at_ms: float) -> bool:
    if process.started_ms > at_ms or process.paused_since_ms is not None:
        return False
    return process.end is None or process.end.at_ms > at_ms


def _has_zone_fault(zone_faults: list[FaultChanged], at_ms: float) -> bool:
    active = sum(1 if fault.begins else -1 for fault in zone_faults if fault.at_ms <= at_ms)
    return active > 0


def _is_unusable(link: LinkFaultChanged) -> bool:
    if link.cut or link.loss > MAX_USABLE_LOSS:
        return True
    if link.added_delay_ms + link.jitter_ms > MAX_USABLE_DELAY_MS:
        return True
    return 0 < link.bytes_per_s < MIN_USABLE_BYTES_PER_S


def _has_link_fault(link_faults: list[LinkFaultChanged], at_ms: float) -> bool:
    """Whether any link is unusable at that time, so that nodes need not know of one another."""
    last: dict[tuple[str, str], LinkFaultChanged] = {}
    for link in link_faults:
        if link.at_ms <= at_ms:
            last[link.source, link.target] = link
    return any(_is_unusable(link) for link in last.values())


@dataclass(slots=True)
class _SentBytes:
    """The datagrams that a node sent within a second.

    Attributes:
        datagrams: The datagrams, in the order of their sending.
        total: Sum of their sizes in bytes.
        is_reported: Whether a violation of the node was added.
    """

    datagrams: deque[DatagramRelayed]
    total: int = 0
    is_reported: bool = False

    def add(self, datagram: DatagramRelayed, tolerance_ms: float) -> None:
        self.datagrams.append(datagram)
        self.total += datagram.size
        # The window is shorter by how much the clocks of both ends may differ.
        while self.datagrams[0].at_ms <= datagram.at_ms - BYTE_WINDOW_MS + 2 * tolerance_ms:
            self.total -= self.datagrams.popleft().size


def _check_bytes(history: History, ground_truth: _GroundTruth, findings: Findings) -> None:
    """`peers_bytes`: a process sends at most `bytes_per_s` in datagrams; one violation per node."""
    assert history.scenario.peers is not None
    limit = history.scenario.peers.bytes_per_s
    by_node: dict[str, _SentBytes] = {}
    for record in history.records:
        if not isinstance(record, DatagramRelayed) or record.outcome == "doubled":
            continue
        sent = by_node.setdefault(record.source, _SentBytes(deque()))
        if sent.is_reported:
            continue
        sent.add(record, ground_truth.tolerance_ms)
        if sent.total <= limit or _started_recently(ground_truth, record):
            continue
        text = f"{record.source} sent {sent.total} bytes to its peers within a second; {limit:g} are allowed"
        proof = [sent.datagrams[0], record]
        findings.add("peers_bytes", record.at_ms, text, proof, node=record.source)
        sent.is_reported = True


def _started_recently(ground_truth: _GroundTruth, record: DatagramRelayed) -> bool:
    """Whether a process of the sender started within the window.

    Then the previous process, which was killed, and the new one may each have sent a second's bytes.
    """
    since_ms = record.at_ms - BYTE_WINDOW_MS - ground_truth.tolerance_ms
    processes = ground_truth.processes.get(record.source, ())
    return any(since_ms <= process.started_ms <= record.at_ms for process in processes)
