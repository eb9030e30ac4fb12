"""A shared file by which the lab sets the faults of a node's operating system, and the node counts them.

The process needs no thread, signal or event of its loop: it compares a number in memory before each call. The
file outlives the process: the next one starts with the current state, and the counts go on.
"""

import mmap
import struct
from pathlib import Path

import msgspec

from flintridge.lab.faults.injection import SystemState

FILE_BYTES = 64 * 1024
VERSION = struct.Struct("<Q")  # odd while the lab writes
LENGTH = struct.Struct("<Q")
COUNTER_NAMES = (
    "injected_accept",
    "injected_connect",
    "injected_socket",
    "injected_read",
    "injected_write",
    "injected_short_io",
    "injected_stall",
    "injected_clock_step",
    "injected_folder",
    "injected_half_written",
)
COUNT = struct.Struct("<Q")
COUNTS_OFFSET = VERSION.size + LENGTH.size
STATE_OFFSET = COUNTS_OFFSET + len(COUNTER_NAMES) * COUNT.size

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(SystemState)


class FaultChannel:
    """One side of a node's channel."""

    def __init__(self, path: Path) -> None:
        """Open the channel, and make its file where there is none.

        Args:
            path: The file.

        Raises:
            OSError: If it cannot be made or opened.
        """
        if not path.exists():
            path.write_bytes(bytes(FILE_BYTES))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), FILE_BYTES)
        self._version = 0

    def close(self) -> None:
        """Close this side; the file stays."""
        self._memory.close()

    # The lab's side

    def set_state(self, state: SystemState) -> None:
        """Set what is wrong with the node's operating system.

        Args:
            state: All that is wrong.

        Raises:
            ValueError: If it is too large for the file.
        """
        data = _encoder.encode(state)
        if len(data) > FILE_BYTES - STATE_OFFSET:
            raise ValueError(f"{len(data)} bytes of faults at once are too many for one node")
        (version,) = VERSION.unpack_from(self._memory, 0)
        VERSION.pack_into(self._memory, 0, version + 1)
        LENGTH.pack_into(self._memory, VERSION.size, len(data))
        self._memory[STATE_OFFSET : STATE_OFFSET + len(data)] = data
        VERSION.pack_into(self._memory, 0, version + 2)

    def counts(self) -> dict[str, int]:
        """Return the faults injected so far by their counters' names, without those that are 0."""
        counts: dict[str, int] = {}
        for index, name in enumerate(COUNTER_NAMES):
            (count,) = COUNT.unpack_from(self._memory, _count_offset(index))
            if count:
                counts[name] = count
        return counts

    # The process's side

    def changed_state(self) -> SystemState | None:
        """Return the state where it changed since the last call."""
        (version,) = VERSION.unpack_from(self._memory, 0)
        if version == self._version or version % 2:
            return None
        (length,) = LENGTH.unpack_from(self._memory, VERSION.size)
        data = self._memory[STATE_OFFSET : STATE_OFFSET + length]
        if VERSION.unpack_from(self._memory, 0)[0] != version:
            return None  # the lab is writing: the next call will see it
        self._version = version
        return _decoder.decode(data)

    def add(self, name: str, increment: int) -> None:
        """Count faults that were injected.

        Args:
            name: The counter's name.
            increment: How many there were.
        """
        offset = _count_offset(COUNTER_NAMES.index(name))
        (count,) = COUNT.unpack_from(self._memory, offset)
        COUNT.pack_into(self._memory, offset, count + increment)


def _count_offset(index: int) -> int:
    return COUNTS_OFFSET + index * COUNT.size
