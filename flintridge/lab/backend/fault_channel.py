"""How the lab tells a node's process what goes wrong, and the process what it caused: a shared file.

No thread, signal or event of the loop is needed in the process, which looks at a number in memory before each
call. The file outlives the process: the next one starts with the state that holds, and the counts go on.
"""

import mmap
import struct
from pathlib import Path

import msgspec

from flintridge.lab.faults.injection import SystemState

SIZE = 64 * 1024  # bytes of the file
VERSION = struct.Struct("<Q")  # odd while the lab writes
LENGTH = struct.Struct("<Q")
COUNTED = (
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
COUNTS_AT = VERSION.size + LENGTH.size
STATE_AT = COUNTS_AT + len(COUNTED) * COUNT.size

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(SystemState)


class FaultChannel:
    """One side's view of a node's channel."""

    def __init__(self, path: Path) -> None:
        """Raises OSError."""
        if not path.exists():
            path.write_bytes(bytes(SIZE))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), SIZE)
        self._seen = 0

    def close(self) -> None:
        """Let the file go; it stays where it is."""
        self._memory.close()

    # The lab's side

    def tell(self, state: SystemState) -> None:
        """Raises ValueError for a state that is too large."""
        data = _encoder.encode(state)
        if len(data) > SIZE - STATE_AT:
            raise ValueError(f"{len(data)} bytes of faults at once are too many for one node")
        (version,) = VERSION.unpack_from(self._memory, 0)
        VERSION.pack_into(self._memory, 0, version + 1)
        LENGTH.pack_into(self._memory, VERSION.size, len(data))
        self._memory[STATE_AT : STATE_AT + len(data)] = data
        VERSION.pack_into(self._memory, 0, version + 2)

    def counts(self) -> dict[str, int]:
        """What was caused so far, without what never was."""
        found = {
            name: int(COUNT.unpack_from(self._memory, _place(nth))[0]) for nth, name in enumerate(COUNTED)
        }
        return {name: count for name, count in found.items() if count}

    # The process's side

    def news(self) -> SystemState | None:
        """The state, where it changed since the last call."""
        (version,) = VERSION.unpack_from(self._memory, 0)
        if version == self._seen or version % 2:
            return None
        (length,) = LENGTH.unpack_from(self._memory, VERSION.size)
        data = self._memory[STATE_AT : STATE_AT + length]
        if VERSION.unpack_from(self._memory, 0)[0] != version:
            return None  # the lab writes just now: the next call will see it
        self._seen = version
        return _decoder.decode(data)

    def add(self, name: str, more: int) -> None:
        """Count what was caused."""
        place = _place(COUNTED.index(name))
        (count,) = COUNT.unpack_from(self._memory, place)
        COUNT.pack_into(self._memory, place, count + more)


def _place(nth: int) -> int:
    return COUNTS_AT + nth * COUNT.size
