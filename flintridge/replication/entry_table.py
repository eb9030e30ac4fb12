"""The entries of a replica in buckets of keys, with a digest of each bucket and one of all buckets."""

import hashlib
from typing import NamedTuple, Self

from flintridge.replication.entry import Entry, Key


class Difference(NamedTuple):
    """The entries of the buckets, within a range, whose digests differ.

    Attributes:
        end: Bucket after the last one that was compared.
        buckets: Buckets that differ.
        entries: All keys of these buckets, in order, with their entries.
    """

    end: int
    buckets: tuple[int, ...]
    entries: tuple[tuple[Key, Entry], ...]


class EntryTable:
    """A map of entries with digests, which are equal for tables that hold the same writes.

    Attributes:
        entries: All entries, by key.
        digests: Digest of each bucket, in order.
    """

    def __init__(self, bucket_count: int) -> None:
        """Create an empty table. Only tables with the same number of buckets can be compared."""
        self.entries: dict[Key, Entry] = {}
        self.digests = [0] * bucket_count
        self._buckets: list[dict[Key, None]] = [{} for _ in range(bucket_count)]
        self._root: int | None = None

    def put(self, key: Key, entry: Entry) -> None:
        """Replace the entry of a key; an empty entry removes the key."""
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
        """Compare the buckets with the digests of another table that has as many buckets.

        Args:
            digests: Digest of each bucket of the other table.
            first: First bucket to compare.
            max_bytes: Size of the entries beyond which no further bucket is compared; at least one bucket is.
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
        """Return an independent table with the same content."""
        clone = type(self)(0)
        clone.entries = dict(self.entries)
        clone.digests = list(self.digests)
        clone._buckets = [dict(bucket) for bucket in self._buckets]
        clone._root = self._root
        return clone


def entry_digest(key: Key, entry: Entry) -> int:
    """Digest of an entry's dots or version vector, without times, since these differ between replicas."""
    if entry.versions:
        return _hash_63_bits(f"{key!r}{[version.dot for version in entry.versions]!r}")
    seen = [(component.writer, component.up_to) for component in entry.version_vector]
    return _hash_63_bits(f"{key!r} was {seen!r}")


def approximate_size(key: Key, entry: Entry) -> int:
    """Approximate size of an entry in bytes."""
    versions_size = sum(
        len(version.body) + len(version.author) + len(version.reason) + 48 for version in entry.versions
    )
    return versions_size + 32 * len(entry.version_vector) + len(key[0]) + len(key[1])


def _hash_63_bits(text: str) -> int:
    """Hash a text to 63 bits, the most that a message field holds; nodes of all releases must hash alike."""
    digest = hashlib.blake2b(text.encode(), digest_size=8, person=b"flintridge-copy").digest()
    return int.from_bytes(digest) >> 1
