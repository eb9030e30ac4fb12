"""Sharing of request ids between the processes of a node, for as long as there are several."""

import math

from flintridge.core.executed_ids import ID_BYTES, REMEMBERED_MS, ExecutedIds
from flintridge.runtime.clock import Clock, sleep
from flintridge.runtime.shared_ids import SharedIds
from flintridge.runtime.worker_processes import COUNT_INTERVAL_MS, WorkerProcesses
from flintridge.telemetry.log import EventLog

# How long after the next count of the other processes a new process begins to listen.
LISTEN_MARGIN_MS = 50.0
# Files are removed in batches with pauses, as the event loop waits for the file system meanwhile.
REMOVED_AT_ONCE = 200
REMOVAL_INTERVAL_MS = 20.0


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
        self._stop_at = math.inf  # when sharing ends, if no other process starts before
        self._files_to_remove: list[str] = []
        self._closed = False

    async def wait_for_others(self) -> None:
        """Wait until other processes have shared the ids of their requests; call this before listening.

        Guards against executing a request twice that another process has open, or has executed.
        """
        if self._processes.count > 1:
            await sleep(self._clock, COUNT_INTERVAL_MS + LISTEN_MARGIN_MS)
            self._read_published()

    def process_count_changed(self, count: int) -> None:
        """Begin to share ids, or end it some time after the other processes have ended."""
        if count == 1:  # requests of the processes that have ended may still be sent again
            self._stop_at = self._clock.now() + REMEMBERED_MS
            self._clock.call_at(self._stop_at, self._stop)
            return
        self._stop_at = math.inf
        if self._ids.claims is None:
            self._begin()

    def close(self) -> None:
        """Leave the claims of this process to the others."""
        self._closed = True

    def _begin(self) -> None:
        self._files_to_remove.clear()  # what is left of earlier claims could belong to another process now
        self._shared_ids.open()
        for digest in self._ids.open_digests():
            self._shared_ids.claim(digest)
        self._shared_ids.publish(self._ids.remembered_digests())
        self._ids.claims = self._shared_ids

    def _read_published(self) -> None:
        """Take over what other processes remembered before they began to share, for as long as they would."""
        used_bytes = ID_BYTES * self._shared_ids.read_published()
        self._ids.memory.charge(used_bytes)
        self._clock.call_at(self._clock.now() + REMEMBERED_MS, self._forget_published, used_bytes)

    def _forget_published(self, used_bytes: int) -> None:
        self._shared_ids.forget_published()
        self._ids.memory.release(used_bytes)

    def _stop(self) -> None:
        if self._closed or self._clock.now() < self._stop_at:
            return
        self._ids.claims = None
        self._files_to_remove = self._shared_ids.give_up_all()
        self._remove_files()

    def _remove_files(self) -> None:
        if not self._files_to_remove or self._closed:
            return
        self._shared_ids.remove(self._files_to_remove[-REMOVED_AT_ONCE:])
        del self._files_to_remove[-REMOVED_AT_ONCE:]
        self._clock.call_at(self._clock.now() + REMOVAL_INTERVAL_MS, self._remove_files)
