"""A Bloom filter over members, with one hash; a state exchange uses it to ask for missing members."""

from collections.abc import Iterable
from zlib import crc32

from flintridge.membership.member import Member

SALT_BYTES = 4
SALT_BITS = 8 * SALT_BYTES
MIN_FILTER_BYTES = 8


def encode_filter(members: Iterable[Member], peer_count: int, salt: int) -> bytes:
    """Encode the salt and eight bits per configured peer; each of `members` sets one bit.

    Two members may collide in one filter, but not for long, since each filter has a new salt.

    Args:
        members: The members that the other side shall leave out.
        peer_count: Number of configured peers.
        salt: SALT_BITS random bits, drawn for each filter.
    """
    bits = bytearray(max(MIN_FILTER_BYTES, peer_count))
    for member in members:
        index = _bit_index(member, salt, len(bits))
        bits[index >> 3] |= 1 << (index & 7)
    return salt.to_bytes(SALT_BYTES, "big") + bits


def members_not_in(encoded_filter: bytes, members: list[Member]) -> list[Member]:
    """The members that are not in a filter; all of them if the filter is empty."""
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
