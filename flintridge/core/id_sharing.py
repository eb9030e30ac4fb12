"""Sharing of request ids between the processes of a node, for as long as there are several."""

from flintridge.core.executed_ids import REMEMBERED_MS, ExecutedIds
from flintridge.runtime.clock import Clock, sleep
from flintridge.runtime.shared_ids import SharedIds
from flintridge.runtime.worker_processes import COUNT_INTERVAL_MS, WorkerProcesses
from flintridge.telemetry.log import EventLog

# How long after the next count of the other processes a new process begins to listen.
LISTEN_MARGIN_MS = 50.0


class IdSharing:
    """Claims the ids of this process's requests while other processes of the node run."""

    def __init__(self, processes: WorkerProcesses, ids: ExecutedIds, clock: Clock, log: EventLog) -> None:
        """Start without sharing.

        Args:
            processes: The processes of the node.
            ids: The ids of this process's requests.
            clock: The node's clock.
            log: The node's log.
        """
        self._processes = processes
        self._ids = ids
        self._clock = clock
        self._shared_ids = SharedIds(processes.folder, log)
        self._closed = False

    async def wait_for_others(self) -> None:
        """Wait until other processes have shared the ids of their requests; call this before listening.

        Guards against executing a request twice that another process has open.
        """
        if self._processes.count > 1:
            await sleep(self._clock, COUNT_INTERVAL_MS + LISTEN_MARGIN_MS)

    def process_count_changed(self, count: int) -> None:
        """Begin to share ids, or end it some time after the other processes have ended."""
        if count == 1:  # requests of the processes that have ended may still be sent again
            self._clock.call_at(self._clock.now() + REMEMBERED_MS, self._stop)
        elif self._ids.claims is None:
            self._shared_ids.open()
            for request_id in self._ids:
                self._shared_ids.claim(request_id)
            self._ids.claims = self._shared_ids

    def close(self) -> None:
        """Leave the claims of this process to the others."""
        self._closed = True

    def _stop(self) -> None:
        if self._processes.count == 1 and not self._closed:
            self._ids.claims = None
            self._shared_ids.remove_all()
