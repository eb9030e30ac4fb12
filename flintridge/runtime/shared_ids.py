"""Claims on request ids that the processes of one node share, as files in a common folder.

During an upgrade a client may leave the old process and send its request again to the new one. An id is
claimed by creating a file that must not exist; its name is a digest of the id. A process removes its own
files. Those of a process that has ended are removed by the one that remains. The ids that a process remembers
when it begins to share are too many for a file each: it publishes them in one file.
"""

import contextlib
import hashlib
import os
from collections.abc import Iterable

from flintridge.telemetry.log import EventLog

# Beside the folder of the node's lock files, in which each entry counts as a process.
FOLDER_SUFFIX = "-ids"
PUBLISHED_PREFIX = "published-"
UNFINISHED_PREFIX = "unfinished-"
UNIQUE_BYTES = 8  # of the name of a published file
DIGEST_BYTES = 16


def digest_of(request_id: str) -> bytes:
    """Return what stands for a request id, whose own length clients choose."""
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()


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
        self._claimed: set[bytes] = set()  # the digests of this process's files
        self._published: frozenset[bytes] = frozenset()  # what other processes have published
        self._has_failed = False

    def open(self) -> None:
        """Create the folder if it does not exist."""
        try:
            os.makedirs(self._folder, mode=0o700, exist_ok=True)
        except OSError as error:
            self._note_failure(error)

    def publish(self, digests: Iterable[bytes]) -> None:
        """Publish the ids that this process remembers, in one file that appears complete."""
        suffix = os.urandom(UNIQUE_BYTES).hex()
        unfinished = self._path(UNFINISHED_PREFIX + suffix)
        try:
            descriptor = os.open(unfinished, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
            with os.fdopen(descriptor, "wb") as file:
                file.write(b"".join(digests))
            os.rename(unfinished, self._path(PUBLISHED_PREFIX + suffix))
        except OSError as error:
            self._note_failure(error)

    def read_published(self) -> int:
        """Read what processes have published: these ids count as claimed until `forget_published`.

        Returns:
            The number of ids.
        """
        digests: set[bytes] = set()
        try:
            for name in os.listdir(self._folder):
                if name.startswith(PUBLISHED_PREFIX):
                    digests.update(_read_digests(self._path(name)))
        except OSError as error:
            self._note_failure(error)
        self._published = frozenset(digests)
        return len(self._published)

    def forget_published(self) -> None:
        """Forget what processes have published."""
        self._published = frozenset()

    def give_up_all(self) -> list[str]:
        """Give up this process's claims.

        Returns:
            The names of all files, also those of processes that have ended. If no other process is running,
            they may be removed.
        """
        self._claimed.clear()
        try:
            return os.listdir(self._folder)
        except OSError:
            return []

    def remove(self, names: Iterable[str]) -> None:
        """Remove files."""
        for name in names:
            with contextlib.suppress(OSError):
                os.unlink(self._path(name))

    def claim(self, digest: bytes) -> bool:
        """Claim an id for this process; False if another process has claimed it."""
        if digest in self._published:
            return False
        try:
            descriptor = os.open(self._path(digest.hex()), os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        except FileExistsError:
            return digest in self._claimed
        except OSError as error:
            self._note_failure(error)
            return True
        os.close(descriptor)
        self._claimed.add(digest)
        return True

    def release(self, digest: bytes) -> None:
        """Give up this process's claim on an id."""
        if digest in self._claimed:
            self._claimed.discard(digest)
            self.remove([digest.hex()])

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def _note_failure(self, error: OSError) -> None:
        if not self._has_failed:
            self._has_failed = True
            self._log.event("shared_ids_failed", folder=self._folder, error=str(error))


def _read_digests(path: str) -> Iterable[bytes]:
    """Return the digests in a file.

    Raises:
        OSError: The file can't be read.
    """
    with open(path, "rb") as file:
        data = file.read()
    return (data[start : start + DIGEST_BYTES] for start in range(0, len(data), DIGEST_BYTES))
