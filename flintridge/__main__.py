"""The node's program: reads its configuration, runs one node, and handles signals."""

import signal
import sys

early_reloads: list[int] = []  # SIGHUPs that came before there was a node to reload
if __name__ == "__main__":
    # Guards the start: a SIGHUP that comes while modules are imported and the configuration is read would end
    # the program, and one that comes after it was read must not be lost.
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    # A process that is told to end before it serves has accepted nothing: that is a clean exit. It must not
    # wait for the configuration either.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

import asyncio
import contextlib
import os

from flintridge.config.errors import ConfigError
from flintridge.config.loader import load_config
from flintridge.config.node_config import NodeConfig
from flintridge.node import Node
from flintridge.runtime.clock import ArrivalTrackingSelector, SystemClock
from flintridge.runtime.listener import ListenError
from flintridge.telemetry.log import Log

EXIT_OK = 0
EXIT_NOT_LISTENING = 1
EXIT_BAD_CONFIG = 2

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*TERMINATION_SIGNALS, signal.SIGHUP, signal.SIGUSR1)


async def run(config: NodeConfig, log: Log, selector: ArrivalTrackingSelector | None = None) -> None:
    """Run one node until SIGTERM or SIGINT has ended it gracefully.

    Args:
        config: The node's.
        log: Takes its events.
        selector: The event loop's, where that notes arrivals.

    Raises:
        ConfigError: The configured endpoint list is malformed.
        ListenError: A listener could not be opened.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: _log_unhandled(log, context))
    termination = asyncio.Event()
    # From here on the loop handles what comes: the node starts, serves as it must, and terminates.
    for number in TERMINATION_SIGNALS:
        loop.add_signal_handler(number, termination.set)
    # What is signalled until the loop goes on is carried out by the handler that is set then.
    loop.add_signal_handler(signal.SIGHUP, early_reloads.append, signal.SIGHUP)
    clock = SystemClock(loop, selector=selector)
    node = Node(config, clock, log, shared_directory=os.environ.get("TMPDIR") or "/tmp")
    loop.add_signal_handler(signal.SIGHUP, _reload, node)
    loop.add_signal_handler(signal.SIGUSR1, node.log_counters)
    await node.start()
    if early_reloads:
        log.event("reload_early")
        _reload(node)
    await termination.wait()
    await node.leave()


def main() -> int:
    """Run the program; the exit code."""
    try:
        config = load_config()
    except ConfigError as error:
        return _exit_for(error)
    log = Log(config.name, level=config.log_level, repeats_per_s=config.log_repeats_per_s)
    try:
        _run_in_event_loop(config, log)
    except (ConfigError, ListenError) as error:
        return _exit_for(error)
    finally:
        log.close()
    return EXIT_OK


def _run_in_event_loop(config: NodeConfig, log: Log) -> None:
    selector = ArrivalTrackingSelector()
    with (
        contextlib.suppress(KeyboardInterrupt),
        asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner,
    ):
        runner.run(_run_and_ignore_signals(config, log, selector))


async def _run_and_ignore_signals(config: NodeConfig, log: Log, selector: ArrivalTrackingSelector) -> None:
    await run(config, log, selector)
    _ignore_signals(asyncio.get_running_loop())


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore whatever comes once the node has terminated.

    Guards the exit code, and the last lines of the log, against a late signal: a loop that closes leaves each
    of its signals to the system's default, which ends the process like one killed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _reload(node: Node) -> None:
    """Read the configuration again.

    It never raises: a node in service must not end, nor lose a request, by a file that is bad.
    """
    try:
        config = load_config()
    except ConfigError as error:
        node.reject_reload(error)
    else:
        node.reload(config)


def _log_unhandled(log: Log, context: dict[str, object]) -> None:
    """Log what the event loop reports of an exception that nobody caught."""
    error = context.get("exception")
    message = str(context.get("message"))
    if isinstance(error, BaseException):
        log.error("unhandled", error, message=message)
    else:
        log.event("unhandled", message=message)


def _exit_for(error: ConfigError | ListenError) -> int:
    """Tell the operator why the program ends; the exit code."""
    for line in str(error).splitlines():
        print(f"flintridge: {line}", file=sys.stderr)
    return EXIT_BAD_CONFIG if isinstance(error, ConfigError) else EXIT_NOT_LISTENING


if __name__ == "__main__":
    sys.exit(main())
