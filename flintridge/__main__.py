"""The daemon: reads its configuration, starts one node, and minds the signals."""

import signal
import sys

early: list[int] = []  # signals to read the configuration again that came before a node could
if __name__ == "__main__":
    # Guards the start: a SIGHUP that comes while modules are imported and the configuration is read would end
    # the program, and one that comes after it was read must not be lost.
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    # One that is told to end before it serves has taken nothing: that is an end as good as any. It must not
    # wait for the configuration either.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

import asyncio
import contextlib
import os

from flintridge.config.errors import ConfigError
from flintridge.config.loader import load_config
from flintridge.config.node_config import NodeConfig
from flintridge.node import Node
from flintridge.runtime.clock import SystemClock, TurnSelector
from flintridge.runtime.listener import ListenError
from flintridge.telemetry.log import Log


async def run(config: NodeConfig, log: Log, turns: TurnSelector | None = None) -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, said: _unhandled(log, said))
    ending = asyncio.Event()
    # From here on the loop minds what comes: the node starts, serves as it must, and leaves.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    # What is signalled until the loop goes on is carried out by the handler that stands then.
    loop.add_signal_handler(signal.SIGHUP, early.append, signal.SIGHUP)
    node = Node(config, SystemClock(loop, turns=turns), log, shared=os.environ.get("TMPDIR") or "/tmp")
    loop.add_signal_handler(signal.SIGHUP, _reload, node)
    loop.add_signal_handler(signal.SIGUSR1, node.tell_counters)
    await node.start()
    if early:
        log.event("reload_early")
        _reload(node)
    await ending.wait()
    await node.leave()


async def _whole_life(config: NodeConfig, log: Log, turns: TurnSelector) -> None:
    await run(config, log, turns)
    _mind_no_more(asyncio.get_running_loop())


def _mind_no_more(loop: asyncio.AbstractEventLoop) -> None:
    """Of a process that does nothing more.

    Guards a good end, and the last lines of the log, against a signal that comes behind it: a loop that
    closes leaves each of its signals to the system's default, which ends the process like one killed."""
    minded = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
    signal.pthread_sigmask(signal.SIG_BLOCK, minded)
    for number in minded:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _reload(node: Node) -> None:
    """It never raises: a node in service must not end, nor lose a request, by a file that is bad."""
    try:
        new = load_config()
    except ConfigError as error:
        node.refuse_reload(error)
    else:
        node.reload(new)


def _unhandled(log: Log, said: dict[str, object]) -> None:
    error = said.get("exception")
    if isinstance(error, BaseException):
        log.error("unhandled", error, message=str(said.get("message")))
    else:
        log.event("unhandled", message=str(said.get("message")))


def _refused(error: ConfigError) -> int:
    for line in str(error).splitlines():
        print(f"flintridge: {line}", file=sys.stderr)
    return 2


def main() -> int:
    try:
        config = load_config()
    except ConfigError as error:
        return _refused(error)
    log = Log(config.name, level=config.log_level, repeats_per_s=config.log_repeats_per_s)
    try:
        turns = TurnSelector()
        with (
            contextlib.suppress(KeyboardInterrupt),
            asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(turns)) as runner,
        ):
            runner.run(_whole_life(config, log, turns))
    except ConfigError as error:
        return _refused(error)
    except ListenError as error:
        print(f"flintridge: {error}", file=sys.stderr)
        return 1
    finally:
        log.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
