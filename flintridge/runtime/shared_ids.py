"""Claims on request ids that the processes of one node share, as files in a common folder.

During an upgrade a client may leave the old process and send its request again to the new one. An id is
claimed by creating a file that must not exist; its name is a digest of the id. A process removes its own
files. Those of a process that has ended are removed by the one that remains.
"""

import contextlib
import hashlib
import os

from flintridge.telemetry.log import EventLog

# Beside the folder of the node's lock files, in which each entry counts as a process.
FOLDER_SUFFIX = "-ids"


class SharedIds:
    """The claims of this process. After an error of the file system an id counts as claimed."""

    def __init__(self, node_folder: str, log: EventLog) -> None:
        """Prepare claims; `open` creates the folder.

        Args:
            node_folder: The folder that the node's processes share.
            log: Receives the event `shared_ids_failed`.
        """
        self._folder = node_folder + FOLDER_SUFFIX
        self._log = log
        self._claimed: set[str] = set()  # the names of this process's files
        self._has_failed = False

    def open(self) -> None:
        """Create the folder if it does not exist."""
        try:
            os.makedirs(self._folder, mode=0o700, exist_ok=True)
        except OSError as error:
            self._note_failure(error)

    def remove_all(self) -> None:
        """Remove all claims, also those of processes that have ended; no other process may be running."""
        self._claimed.clear()
        with contextlib.suppress(OSError):
            for name in os.listdir(self._folder):
                self._remove(name)

    def claim(self, request_id: str) -> bool:
        """Claim an id for this process; False if another process has claimed it."""
        name = _file_name(request_id)
        try:
            descriptor = os.open(self._path(name), os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        except FileExistsError:
            return name in self._claimed
        except OSError as error:
            self._note_failure(error)
            return True
        os.close(descriptor)
        self._claimed.add(name)
        return True

    def release(self, request_id: str) -> None:
        """Give up this process's claim on an id."""
        name = _file_name(request_id)
        if name in self._claimed:
            self._claimed.discard(name)
            self._remove(name)

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def _remove(self, name: str) -> None:
        with contextlib.suppress(OSError):
            os.unlink(self._path(name))

    def _note_failure(self, error: OSError) -> None:
        if not self._has_failed:
            self._has_failed = True
            self._log.event("shared_ids_failed", folder=self._folder, error=str(error))


def _file_name(request_id: str) -> str:
    return hashlib.blake2b(request_id.encode(), digest_size=16).hexdigest()
