"""The node's program: reads the configuration, runs one node, and handles signals."""

import signal
import sys

early_reloads: list[int] = []  # SIGHUPs received before a node exists that could reload
if __name__ == "__main__":
    # By default SIGHUP would terminate the program while it imports modules and reads the configuration. One
    # that arrives after the configuration was read must not be lost either, so it is recorded.
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))
    # A process that receives SIGTERM before it serves has accepted nothing, so this is a clean exit. It also
    # must not wait until the configuration can be read.
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
    """Run one node until it has shut down gracefully after SIGTERM or SIGINT.

    Args:
        config: The node's configuration.
        log: Receives the node's log events.
        selector: The event loop's selector if it tracks when input arrived; None otherwise.

    Raises:
        ConfigError: The configured endpoint list is malformed.
        ListenError: A listener could not be opened.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: _log_unhandled(log, context))
    termination = asyncio.Event()
    # From here on the event loop handles SIGTERM and SIGINT: the node completes its start, then shuts down
    # gracefully.
    for number in TERMINATION_SIGNALS:
        loop.add_signal_handler(number, termination.set)
    # A SIGHUP that is pending when the loop next runs is handled by whichever handler is installed by then.
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
    """Run the program.

    Returns:
        The exit code.
    """
    try:
        config = load_config()
    except ConfigError as error:
        return _report_error(error)
    log = Log(config.name, level=config.log_level, repeats_per_s=config.log_repeats_per_s)
    try:
        _run_in_event_loop(config, log)
    except (ConfigError, ListenError) as error:
        return _report_error(error)
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
    """Ignore all handled signals once the node has terminated.

    A closing event loop restores the default action of its signals. A late signal would then kill the
    process, which would lose the exit code and the last lines of the log.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _reload(node: Node) -> None:
    """Read the configuration again and apply it.

    Never raises: an invalid file must not stop a serving node or make it lose requests.
    """
    try:
        config = load_config()
    except ConfigError as error:
        node.reject_reload(error)
    else:
        node.reload(config)


def _log_unhandled(log: Log, context: dict[str, object]) -> None:
    """Log an uncaught exception that the event loop reports."""
    error = context.get("exception")
    message = str(context.get("message"))
    if isinstance(error, BaseException):
        log.error("unhandled", error, message=message)
    else:
        log.event("unhandled", message=message)


def _report_error(error: ConfigError | ListenError) -> int:
    """Print the error to standard error and return the matching exit code."""
    for line in str(error).splitlines():
        print(f"flintridge: {line}", file=sys.stderr)
    return EXIT_BAD_CONFIG if isinstance(error, ConfigError) else EXIT_NOT_LISTENING


if __name__ == "__main__":
    sys.exit(main())
