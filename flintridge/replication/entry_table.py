"""The entries of a replica in buckets of keys, with a digest of each bucket and one of all of them."""

import hashlib
from typing import NamedTuple, Self

from flintridge.replication.entry import Entry, Key


class Difference(NamedTuple):
    """The entries of those buckets, within a range, of which digests differ.

    Attributes:
        end: The bucket after the last one that was compared.
        buckets: Those that differ.
        entries: All of their keys, in order, with their entries.
    """

    end: int
    buckets: tuple[int, ...]
    entries: tuple[tuple[Key, Entry], ...]


class EntryTable:
    """A map of entries with digests that are equal where two tables hold the same writes.

    Attributes:
        entries: All of them, by key.
        digests: One for each bucket, in order.
    """

    def __init__(self, bucket_count: int) -> None:
        """A table without entries; tables with other numbers of buckets can't be compared."""
        self.entries: dict[Key, Entry] = {}
        self.digests = [0] * bucket_count
        self._buckets: list[dict[Key, None]] = [{} for _ in range(bucket_count)]
        self._root: int | None = None

    def put(self, key: Key, entry: Entry) -> None:
        """Replace the entry of a key; one that is empty is removed."""
        before = self.entries.get(key)
        bucket = _hash_63_bits("\0".join(key)) % len(self._buckets)
        self._root = None
        if before is not None:
            self.digests[bucket] ^= entry_digest(key, before)
        if entry.versions or entry.version_vector:
            self.entries[key] = entry
            self._buckets[bucket][key] = None
            self.digests[bucket] ^= entry_digest(key, entry)
        else:
            self.entries.pop(key, None)
            self._buckets[bucket].pop(key, None)

    def root(self) -> int:
        """A digest of all buckets."""
        if self._root is None:
            self._root = _hash_63_bits(repr(self.digests))
        return self._root

    def keys_in(self, bucket: int) -> list[Key]:
        """The keys of a bucket, in the order in which they were put.

        Raises:
            IndexError: There is no such bucket.
        """
        return list(self._buckets[bucket])

    def difference(self, digests: tuple[int, ...], first: int, max_bytes: int) -> Difference:
        """Compare buckets with another table's digests, of which there are as many.

        Args:
            digests: One for each bucket of the other table.
            first: The bucket to begin with.
            max_bytes: Of entries; no bucket is begun beyond it, but one is always compared.
        """
        buckets: list[int] = []
        entries: list[tuple[Key, Entry]] = []
        size = 0
        end = first
        while end < len(self.digests) and (end == first or size < max_bytes):
            if self.digests[end] != digests[end]:
                buckets.append(end)
                for key in sorted(self._buckets[end]):
                    entry = self.entries[key]
                    entries.append((key, entry))
                    size += approximate_size(key, entry)
            end += 1
        return Difference(end, tuple(buckets), tuple(entries))

    def clone(self) -> Self:
        """A table of its own with the same content."""
        clone = type(self)(0)
        clone.entries = dict(self.entries)
        clone.digests = list(self.digests)
        clone._buckets = [dict(bucket) for bucket in self._buckets]
        clone._root = self._root
        return clone


def entry_digest(key: Key, entry: Entry) -> int:
    """Of the dots alone, as times differ from one replica to another."""
    if entry.versions:
        return _hash_63_bits(f"{key!r}{[version.dot for version in entry.versions]!r}")
    seen = [(component.writer, component.up_to) for component in entry.version_vector]
    return _hash_63_bits(f"{key!r} was {seen!r}")


def approximate_size(key: Key, entry: Entry) -> int:
    """Bytes of an entry, about."""
    versions_size = sum(
        len(version.body) + len(version.author) + len(version.reason) + 48 for version in entry.versions
    )
    return versions_size + 32 * len(entry.version_vector) + len(key[0]) + len(key[1])


def _hash_63_bits(text: str) -> int:
    """Of 63 bits, as a field of a message holds no more; nodes of all releases must hash alike."""
    digest = hashlib.blake2b(text.encode(), digest_size=8, person=b"flintridge-copy").digest()
    return int.from_bytes(digest) >> 1
