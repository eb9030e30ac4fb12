"""The simulator adapter: a program that runs one policy for each router instance of the simulator.

It reads batches of lines from standard input and replies to each batch with action lines on standard output.
"""

import json
import sys
from collections.abc import Iterator
from typing import TextIO

from flintridge.config.platform_settings import settings_from
from flintridge.policy.balancer import Balancer
from flintridge.simulator_codec import MalformedInputError, decode_event, encode_action, single_line

ERROR_LINE_MAX_CHARS = 200


class PolicyHost:
    """The router instances of this process, which share no state.

    Attributes:
        instances: The policy of each instance, by instance number.
    """

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}

    def handle_batch(self, now_ns: int, lines: Iterator[str]) -> list[str]:
        """Process the commands and events of one instant.

        Args:
            now_ns: The instant, in nanoseconds.
            lines: Command and event lines.

        Returns:
            The action lines of the policies, and a PANIC line for each event whose handling raised an error.

        Raises:
            MalformedInputError: A line is malformed; the lines before it have been processed.
        """
        output: list[str] = []
        for line in lines:
            try:
                name, instance_text, *rest = line.split(" ", 2)
                instance = int(instance_text)
                if name == "PROVISION":
                    self._provision(instance, rest[0])
                    continue
                if name == "TEARDOWN":
                    self.instances.pop(instance, None)
                    continue
                event = decode_event(line, lines)
            except (ValueError, KeyError, IndexError, TypeError, AttributeError, StopIteration) as error:
                raise _malformed(line, repr(error)) from error
            if instance not in self.instances:
                continue
            try:
                actions = self.instances[instance].handle(now_ns, event)
            except Exception as error:  # reported as PANIC, which ends the scenario
                output.append(f"PANIC {instance} {type(error).__name__}: {single_line(str(error))}")
                continue
            output.extend(encode_action(instance, action) for action in actions)
        return output

    def _provision(self, instance: int, arguments: str) -> None:
        seed, _, settings = arguments.partition(" ")
        self.instances[instance] = Balancer(settings_from(json.loads(settings)), int(seed))


def serve(source: TextIO, sink: TextIO) -> None:
    """Process batches until the input ends.

    Args:
        source: The input. A batch is a CLOCK line, command and event lines, and a YOUR_TURN line.
        sink: Receives the action lines of each batch, followed by a YIELD line.

    Raises:
        MalformedInputError: A line is malformed, or the input ends within a batch.
    """
    host = PolicyHost()
    now_ns: int | None = None  # None between batches
    batch: list[str] = []
    for raw_line in source:
        line = raw_line.rstrip("\n")
        if line == "YOUR_TURN":
            if now_ns is None:
                raise MalformedInputError("malformed line 'YOUR_TURN': no CLOCK before it")
            output = host.handle_batch(now_ns, iter(batch))
            sink.write("\n".join([*output, "YIELD"]) + "\n")
            sink.flush()
            now_ns = None
            batch = []
        elif now_ns is not None:
            batch.append(line)
        elif line:
            now_ns = _decode_clock(line)
    if now_ns is not None:
        raise MalformedInputError(f"input ended within the batch of clock {now_ns}")


def main() -> int:
    """Serve on standard input and output.

    Returns:
        The exit code.
    """
    try:
        serve(sys.stdin, sys.stdout)
    except ValueError as error:
        print(f"flintridge: {error}", file=sys.stderr)
        return 1
    return 0


def _decode_clock(line: str) -> int:
    name, _, now_ns = line.partition(" ")
    if name != "CLOCK" or not now_ns.isdigit():
        raise _malformed(line, "expected a CLOCK line")
    return int(now_ns)


def _malformed(line: str, reason: str) -> MalformedInputError:
    return MalformedInputError(f"malformed line {line[:ERROR_LINE_MAX_CHARS]!r}: {reason}")


if __name__ == "__main__":
    sys.exit(main())
