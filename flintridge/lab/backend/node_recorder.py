"""Records of what is observed of real nodes."""

from flintridge.lab.backend.node_output import MAX_TEXT_CHARACTERS
from flintridge.lab.fabric import RunClock
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import ConnectionCount, NodeLogLine, NodeStateChanged


class NodeRecorder:
    """Adds records of nodes at the present time."""

    def __init__(self, log: RecordLog, clock: RunClock, with_log_lines: bool) -> None:
        """Record into a log.

        Args:
            log: The run's records.
            clock: The run's clock.
            with_log_lines: Whether the nodes' log lines are recorded.
        """
        self._log = log
        self._clock = clock
        self._with_log_lines = with_log_lines

    def state(self, node: str, state: str, code: int = 0, text: str = "") -> None:
        """Record that a node's process starts, ends, or is sent a signal.

        Args:
            node: The node's name.
            state: What happened.
            code: The exit code, at an end.
            text: More about it.
        """
        text = text[:MAX_TEXT_CHARACTERS]
        now = self._clock.now()
        self._log.add(NodeStateChanged(at_ms=now, node=node, state=state, code=code, text=text))

    def connections(self, node: str, with_servers: int, with_clients: int) -> None:
        """Record how many connections a node has."""
        now = self._clock.now()
        self._log.add(
            ConnectionCount(at_ms=now, node=node, server_side=with_servers, client_side=with_clients)
        )

    def log_line(self, node: str, event: str, line: bytes) -> None:
        """Record a line of a node's log, where these are recorded."""
        if self._with_log_lines:
            text = line.decode(errors="replace")
            self._log.add(NodeLogLine(at_ms=self._clock.now(), node=node, event=event, fields=text))
