"""The ordered log of a run's records, and its encoding as JSON lines."""

import hashlib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec

from flintridge.lab.records import AnyRecord

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AnyRecord)


def body_digest(body: bytes) -> str:
    """Return the digest of a value or receipt in the log: 16 hex digits of BLAKE2b."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


class RecordLog:
    """The ordered log of one run.

    Attributes:
        records: All records so far.
        add: Appends a record, and calls the watchers with it.
    """

    def __init__(self) -> None:
        self.records: list[AnyRecord] = []
        self.add: Callable[[AnyRecord], None] = self.records.append
        self._watchers: list[Callable[[AnyRecord], None]] = []

    def watch(self, watcher: Callable[[AnyRecord], None]) -> None:
        """Call `watcher` with each new record after it was appended to the log."""
        self._watchers.append(watcher)
        self.add = self._add_and_notify

    def _add_and_notify(self, record: AnyRecord) -> None:
        self.records.append(record)
        for watcher in self._watchers:
            watcher(record)

    def __iter__(self) -> Iterator[AnyRecord]:
        return iter(self.records)

    def __len__(self) -> int:
        return len(self.records)

    def digest(self) -> str:
        """Return a hash of the whole log in its order; equal runs have equal digests."""
        digest = hashlib.blake2b(digest_size=16)
        for record in self.records:
            digest.update(_encoder.encode(record))
            digest.update(b"\n")
        return digest.hexdigest()

    def write(self, path: Path) -> None:
        """Write one JSON line for each record."""
        with path.open("wb") as file:
            for record in self.records:
                file.write(_encoder.encode(record) + b"\n")


def read_records(lines: Iterable[bytes]) -> Iterator[AnyRecord]:
    """Decode records from their JSON lines.

    Raises:
        msgspec.DecodeError: A line is not a record.
    """
    for line in lines:
        yield _decoder.decode(line)
