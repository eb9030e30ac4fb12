"""A shared file through which the lab sets a node's operating system faults and reads their counts.

The node's process needs no thread, signal or event loop for this: it compares a version number in shared
memory before each system call. The file outlives the process: the next process starts with the current state
and adds to the same counts.
"""

import mmap
import struct
from pathlib import Path

import msgspec

from flintridge.lab.faults.injection import SystemState

FILE_BYTES = 64 * 1024
VERSION = struct.Struct("<Q")  # odd while the lab is writing the state
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
    """One end of the channel between the lab and a node's process."""

    def __init__(self, path: Path) -> None:
        """Open the channel, and create its file if it does not exist.

        Args:
            path: The shared file.

        Raises:
            OSError: If the file cannot be created or opened.
        """
        if not path.exists():
            path.write_bytes(bytes(FILE_BYTES))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), FILE_BYTES)
        self._version = 0

    def close(self) -> None:
        """Close this end; the file remains."""
        self._memory.close()

    # Used by the lab

    def set_state(self, state: SystemState) -> None:
        """Set the faults of the node's operating system.

        Args:
            state: All current faults; they replace the previous ones.

        Raises:
            ValueError: If the encoded state is too large for the file.
        """
        data = _encoder.encode(state)
        if len(data) > FILE_BYTES - STATE_OFFSET:
            raise ValueError(f"the faults of one node take {len(data)} bytes, too many for the channel")
        (version,) = VERSION.unpack_from(self._memory, 0)
        VERSION.pack_into(self._memory, 0, version + 1)
        LENGTH.pack_into(self._memory, VERSION.size, len(data))
        self._memory[STATE_OFFSET : STATE_OFFSET + len(data)] = data
        VERSION.pack_into(self._memory, 0, version + 2)

    def counts(self) -> dict[str, int]:
        """Return the number of injected faults by counter name, without counters that are 0."""
        counts: dict[str, int] = {}
        for index, name in enumerate(COUNTER_NAMES):
            (count,) = COUNT.unpack_from(self._memory, _count_offset(index))
            if count:
                counts[name] = count
        return counts

    # Used by the node's process

    def changed_state(self) -> SystemState | None:
        """Return the state if it changed since the last call, else None."""
        (version,) = VERSION.unpack_from(self._memory, 0)
        if version == self._version or version % 2:
            return None
        (length,) = LENGTH.unpack_from(self._memory, VERSION.size)
        data = self._memory[STATE_OFFSET : STATE_OFFSET + length]
        if VERSION.unpack_from(self._memory, 0)[0] != version:
            return None  # the lab is writing: a later call returns the new state
        self._version = version
        return _decoder.decode(data)

    def add(self, name: str, increment: int) -> None:
        """Add to the counter of an injected fault.

        Args:
            name: The counter's name.
            increment: The number of faults to add.
        """
        offset = _count_offset(COUNTER_NAMES.index(name))
        (count,) = COUNT.unpack_from(self._memory, offset)
        COUNT.pack_into(self._memory, offset, count + increment)


def _count_offset(index: int) -> int:
    return COUNTS_OFFSET + index * COUNT.size
