"""Scripts of malformed clients: the data that each kind sends."""

import random
from collections.abc import Callable
from typing import NamedTuple, get_args, get_type_hints

from flintridge.lab.load.commands import Command, CommandEncoder, new_id
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.scenario import model

MALFORMED_KINDS: tuple[str, ...] = get_args(get_args(get_type_hints(model.BadClients)["kinds"])[0])
RESPONSE_LIMIT_MS = 3000.0
HUGE_VALUE_LIMIT_MS = 6000.0
MAX_SENT_BYTES = 2_000_000
CHUNK_BYTES = 64 * 1024
TIMEOUT_MS = 1000  # the timeout that the commands contain
FLOOD_LINES_PER_CHUNK = 2000
BAD_LENGTHS = ("-5", "12x", "99999999999", "5.0", "")
BAD_TIMEOUTS = ("-5", "soon", "nan", "1e999", "", "0x10")


class ValidPrefix(NamedTuple):
    """A valid request before the malformed data. It is recorded like any other, but metrics don't count it.

    Attributes:
        request_id: The request's id.
        command: The encoded request.
    """

    request_id: str
    command: Command


class MalformedScript(NamedTuple):
    """The data that a malformed client sends.

    Attributes:
        first: Sent first.
        repeated: Sent repeatedly after `first`, until `total_bytes` are sent.
        total_bytes: The total number of bytes to send, including `first`.
        limit_ms: How long the node has to respond or close the connection.
        valid_prefix: The valid request at the start of `first`; None if there is none.
    """

    first: bytes
    repeated: bytes = b""
    total_bytes: int = 0
    limit_ms: float = RESPONSE_LIMIT_MS
    valid_prefix: ValidPrefix | None = None


class _Source(NamedTuple):
    """What scripts are built from: a request as a regular client would send it."""

    request: GeneratedRequest
    request_id: str
    encoder: CommandEncoder
    rng: random.Random

    @property
    def options(self) -> str:
        return f"Pc={self.request.class_name},d={TIMEOUT_MS}"

    def command(self) -> Command:
        return self.encoder.encode(self.request, self.request_id, TIMEOUT_MS)


def malformed_script(
    kind: str, request: GeneratedRequest, encoder: CommandEncoder, rng: random.Random
) -> MalformedScript:
    """Build a script.

    Args:
        kind: One of `MALFORMED_KINDS`.
        request: A request as a regular client would send it.
        encoder: Encodes the script's valid commands.
        rng: The random generator.

    Raises:
        ValueError: The kind is unknown.
    """
    build = _BUILDERS.get(kind)
    if build is None:
        raise ValueError(f"unknown kind of bad client: {kind!r}")
    return build(_Source(request, new_id(rng), encoder, rng))


def _endless_line(source: _Source) -> MalformedScript:
    start = f"mg {source.request.key} v O{source.request_id} P".encode()
    return MalformedScript(start, b"x" * CHUNK_BYTES, MAX_SENT_BYTES)


def _bad_length(source: _Source) -> MalformedScript:
    length = source.rng.choice(BAD_LENGTHS)
    line = f"ms {source.request.key} {length} O{source.request_id} {source.options}\r\nhello\r\n"
    return MalformedScript(line.encode())


def _huge_value(source: _Source) -> MalformedScript:
    line = f"ms {source.request.key} {MAX_SENT_BYTES} O{source.request_id} {source.options}\r\n".encode()
    return MalformedScript(line, b"v" * CHUNK_BYTES, len(line) + MAX_SENT_BYTES, HUGE_VALUE_LIMIT_MS)


def _unknown_class(source: _Source) -> MalformedScript:
    options = f"Pc=no-such-{source.request_id[:4]},d={TIMEOUT_MS}"
    return MalformedScript(f"mg {source.request.key} v O{source.request_id} {options}\r\n".encode())


def _bad_deadline(source: _Source) -> MalformedScript:
    timeout = source.rng.choice(BAD_TIMEOUTS)
    options = f"Pc={source.request.class_name},d={timeout}"
    return MalformedScript(f"mg {source.request.key} v O{source.request_id} {options}\r\n".encode())


def _no_id(source: _Source) -> MalformedScript:
    missing = source.rng.choice(("O ", ""))
    return MalformedScript(f"mg {source.request.key} v {missing}{source.options}\r\n".encode())


def _used_id(source: _Source) -> MalformedScript:
    command = source.command()
    prefix = ValidPrefix(source.request_id, command)
    return MalformedScript(command.data + command.data, valid_prefix=prefix)


def _half_command(source: _Source) -> MalformedScript:
    data = source.command().data
    return MalformedScript(data[: source.rng.randrange(2, len(data) - 1)])


def _flood(source: _Source) -> MalformedScript:
    line = b"please %s\r\n" % source.request_id.encode()
    return MalformedScript(b"", line * FLOOD_LINES_PER_CHUNK, MAX_SENT_BYTES)


def _send_nothing(_: _Source) -> MalformedScript:
    return MalformedScript(b"")


_BUILDERS: dict[str, Callable[[_Source], MalformedScript]] = {
    "endless_line": _endless_line,
    "bad_length": _bad_length,
    "huge_value": _huge_value,
    "unknown_class": _unknown_class,
    "bad_deadline": _bad_deadline,
    "no_id": _no_id,
    "used_id": _used_id,
    "half_command": _half_command,
    "flood": _flood,
    "silent": _send_nothing,
}
