"""Records observations of real nodes."""

from flintridge.lab.backend.node_output import MAX_TEXT_CHARACTERS
from flintridge.lab.fabric import RunClock
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import ConnectionCount, NodeLogLine, NodeStateChanged


class NodeRecorder:
    """Adds records about nodes, with the current time."""

    def __init__(self, log: RecordLog, clock: RunClock, with_log_lines: bool) -> None:
        """Create a recorder.

        Args:
            log: The log of the run's records.
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
            state: The new state, such as "started" or "exited".
            code: The exit code if the process ended.
            text: Further details.
        """
        text = text[:MAX_TEXT_CHARACTERS]
        now = self._clock.now()
        self._log.add(NodeStateChanged(at_ms=now, node=node, state=state, code=code, text=text))

    def connections(self, node: str, with_servers: int, with_clients: int) -> None:
        """Record the numbers of a node's connections with servers and with clients."""
        now = self._clock.now()
        self._log.add(
            ConnectionCount(at_ms=now, node=node, server_side=with_servers, client_side=with_clients)
        )

    def log_line(self, node: str, event: str, line: bytes) -> None:
        """Record a line of a node's log if log lines are recorded."""
        if self._with_log_lines:
            text = line.decode(errors="replace")
            self._log.add(NodeLogLine(at_ms=self._clock.now(), node=node, event=event, fields=text))
