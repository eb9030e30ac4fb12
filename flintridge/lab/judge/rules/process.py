"""Rules on a node's process.

`stopped`: a process ends only after SIGTERM, and then in time. `leak`: see `connection_leaks`. `quiesced`: a
draining node accepts no requests, and becomes ready again soon after the drain. `bad_clients`: a node serves
no malformed request. `unready` is never violated; it is kept for programs that read results by rule names.
"""

import math

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.process_history import ProcessLifetime
from flintridge.lab.judge.rules import connection_leaks
from flintridge.lab.records import MalformedClientEnded, NodeStateChanged, RequestSent

RULES = ("stopped", "leak", "bad_clients", "unready", "quiesced")

EXIT_LIMIT_MS = 250.0  # time to write the last responses and to exit
DRAIN_START_LIMIT_MS = 2000.0  # a node may still accept requests this long after the call to drain
READY_LIMIT_MS = 2000.0  # a node must report that it is ready within this time after the end of a drain
DRAIN_ENDS = ("back", "term", "killed", "exited", "stuck", "started")  # states that end a drain


def check(history: History, findings: Findings) -> None:
    """Add all violations of the rules on processes."""
    for processes in history.processes.by_node.values():
        for process in processes:
            _check_stopped(history, process, findings)
    connection_leaks.check(history, findings)
    _check_drains(history, findings)
    for record in history.records:
        if isinstance(record, MalformedClientEnded) and record.outcome == "served":
            text = f"{record.node} served a client that sent malformed data ({record.kind})"
            findings.add("bad_clients", record.at_ms, text, [record], node=record.node)


def _check_stopped(history: History, process: ProcessLifetime, findings: Findings) -> None:
    """`stopped`: a process exits only after SIGTERM, in time and with code 0."""
    termination = process.termination
    end = process.end
    if end is not None and end.state == "stuck":
        _report_stopped(process, end.at_ms, f"got stuck: {end.text}" if end.text else "got stuck", findings)
    elif termination is None:
        if end is not None and end.state == "exited":
            _report_stopped(process, end.at_ms, f"exited without SIGTERM, with code {end.code}", findings)
    elif process.pauses or process.paused_since_ms is not None:
        return  # it is not known how much time the process had
    else:
        _check_termination(history, process, termination, findings)


def _check_termination(
    history: History, process: ProcessLifetime, termination: NodeStateChanged, findings: Findings
) -> None:
    end = process.end
    term_ms = termination.at_ms
    limit_ms = term_ms + history.termination_time_ms + EXIT_LIMIT_MS + history.tolerances.limit_ms
    end_ms = end.at_ms if end is not None else math.inf
    if end is not None and end.state == "exited" and end.code != 0:
        _report_stopped(process, end_ms, f"exited with code {end.code} after SIGTERM", findings)
    elif history.had_termination_time(process):
        late_ms = end_ms - term_ms
        text = f"had not exited when it was killed {late_ms:.0f} ms after SIGTERM"
        _report_stopped(process, end_ms, text, findings)
    elif min(end_ms, history.end_ms) > limit_ms:
        text = f"had not exited {limit_ms - term_ms:.0f} ms after SIGTERM"
        _report_stopped(process, limit_ms, text, findings)


def _report_stopped(process: ProcessLifetime, at_ms: float, text: str, findings: Findings) -> None:
    proof = [process.termination, process.end]
    findings.add("stopped", at_ms, f"{process.node} {text}", proof, node=process.node)


def _check_drains(history: History, findings: Findings) -> None:
    """`quiesced`: a draining node accepts no requests, and is ready again soon after the drain."""
    changes = [record for record in history.records if isinstance(record, NodeStateChanged)]
    for i, call in enumerate(changes):
        if call.state != "quiesced":
            continue
        later = [change for change in changes[i + 1 :] if change.node == call.node]
        end = next((change for change in later if change.state in DRAIN_ENDS), None)
        _check_no_requests(history, call, history.end_ms if end is None else end.at_ms, findings)
        if end is not None and end.state == "back":
            _check_ready_after_drain(history, call, end, later[later.index(end) + 1 :], findings)


def _check_no_requests(history: History, call: NodeStateChanged, until_ms: float, findings: Findings) -> None:
    """`quiesced`: a draining node accepts no requests later than DRAIN_START_LIMIT_MS after the call."""
    since_ms = call.at_ms + DRAIN_START_LIMIT_MS + history.tolerances.limit_ms
    for record in history.records:
        if not isinstance(record, RequestSent) or record.node != call.node:
            continue
        if since_ms < record.at_ms < until_ms:
            late_ms = record.at_ms - call.at_ms
            text = f"{call.node} still accepts requests {late_ms:.0f} ms after the call to drain"
            findings.add("quiesced", record.at_ms, text, [call, record], node=call.node)
            return


def _check_ready_after_drain(
    history: History,
    call: NodeStateChanged,
    end: NodeStateChanged,
    later: list[NodeStateChanged],
    findings: Findings,
) -> None:
    """`quiesced`: a node reports that it is ready within READY_LIMIT_MS after the drain."""
    limit_ms = end.at_ms + READY_LIMIT_MS + history.tolerances.limit_ms
    if limit_ms >= history.end_ms:
        return
    for change in later:
        if change.at_ms <= limit_ms and (change.state == "ready" or change.state in DRAIN_ENDS):
            return
    text = f"{call.node} was not ready {limit_ms - end.at_ms:.0f} ms after the end of its drain"
    findings.add("quiesced", limit_ms, text, [call, end], node=call.node)
