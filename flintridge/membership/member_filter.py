"""A Bloom filter with one hash over members, for a state exchange that asks for those that are missing."""

from collections.abc import Iterable
from zlib import crc32

from flintridge.membership.member import Member

SALT_BYTES = 4
SALT_BITS = 8 * SALT_BYTES
MIN_FILTER_BYTES = 8


def encode_filter(members: Iterable[Member], peer_count: int, salt: int) -> bytes:
    """The salt, and eight bits for each of `peer_count` names; each of `members` sets one of them.

    Two members may share a bit; as the salt is another each time, not for long.

    Args:
        members: Those that the other side shall leave out.
        peer_count: Configured peers.
        salt: SALT_BITS random bits.
    """
    bits = bytearray(max(MIN_FILTER_BYTES, peer_count))
    for member in members:
        index = _bit_index(member, salt, len(bits))
        bits[index >> 3] |= 1 << (index & 7)
    return salt.to_bytes(SALT_BYTES, "big") + bits


def members_not_in(encoded_filter: bytes, members: list[Member]) -> list[Member]:
    """Those of `members` that a filter does not have; all, where it is empty."""
    if len(encoded_filter) <= SALT_BYTES:
        return members
    salt = int.from_bytes(encoded_filter[:SALT_BYTES], "big")
    bits = encoded_filter[SALT_BYTES:]
    missing = []
    for member in members:
        index = _bit_index(member, salt, len(bits))
        if not bits[index >> 3] >> (index & 7) & 1:
            missing.append(member)
    return missing


def _bit_index(member: Member, salt: int, filter_bytes: int) -> int:
    return crc32(member.incarnation.to_bytes(8, "big"), salt) % (8 * filter_bytes)
