"""The real node: reads its configuration, puts the parts together, and minds the signals."""

import asyncio
import contextlib
import signal
import sys
from dataclasses import fields, replace

from flintridge.decide import Balancer
from flintridge.net.clock import SystemClock
from flintridge.net.core import Core
from flintridge.net.counters import Counters
from flintridge.net.delivery import Delivery
from flintridge.net.log import Log
from flintridge.net.sender import SenderSide
from flintridge.net.transport_map import TransportMap, TransportWatch, known_list
from flintridge.settings import ConfigError, NodeConfig, load_config

SPARE = (
    24  # descriptors for the listener, discovery, the event loop, the log, and connections on their way in
)
SENDER_PART = 0.6  # of the others, for clients; the rest is for servers


async def run(config: NodeConfig, log: Log) -> None:
    loop = asyncio.get_running_loop()
    clock, counters = SystemClock(loop), Counters()
    loop.set_exception_handler(lambda _, said: _unhandled(log, said))
    ending = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ending.set)
    reloader = Reloader(config, log, counters)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: log.event("counters", **counters.snapshot()))

    transports = TransportMap(config.zones, config.kinds, config.settings, clock)
    known = known_list(config, transports)
    core = Core(Balancer(config.settings, config.seed), config.settings, clock, log, counters)
    sockets = config.sockets - SPARE if config.sockets > 4 * SPARE else config.sockets // 2
    clients = int(SENDER_PART * sockets)
    delivery = Delivery(
        transports, config.settings, clock, sockets - clients, core.attempt_ended, log, counters
    )
    watch = TransportWatch(config.discovery, transports, clock, core.told, log, counters)
    core.attach(delivery, watch)
    reloader.attach(watch)
    side = SenderSide(core, config.settings, transports, clock, clients, log, counters)
    core.told(known)
    port = await side.listen(config.listen)
    log.event("serving", host=config.listen.host, port=port, members=len(known.members))

    await ending.wait()
    log.event("leaving")
    await side.leave()
    await watch.close()
    await delivery.close()
    log.event("counters", **counters.snapshot())
    log.event("left")


class Reloader:
    """SIGHUP: the configuration is read again, and what can change without a restart does."""

    def __init__(self, config: NodeConfig, log: Log, counters: Counters) -> None:
        self._config = config
        self._log = log
        self._counters = counters
        self._watch: TransportWatch | None = None

    def attach(self, watch: TransportWatch) -> None:
        self._watch = watch
        if self._config.discovery != watch.discovery:  # told by a signal that came before there was a watch
            watch.move(self._config.discovery)

    def reload(self) -> None:
        """It never raises: a node in service must not end, nor lose a request, by a file that is bad."""
        self._counters.add("reloads")
        try:
            new = load_config()
        except ConfigError as error:
            self._counters.add("reloads_refused")
            self._log.event("reload_refused", error=str(error))
            return
        old = self._config
        self._config = replace(old, discovery=new.discovery)  # what holds, whatever the file says
        parts = [field.name for field in fields(NodeConfig) if field.name not in ("discovery", "known")]
        waits = [name for name in parts if getattr(new, name) != getattr(old, name)]
        moved = new.discovery != old.discovery
        # The list that the file holds is an old one; this node's own is newer.
        self._log.event("reloaded", discovery_moved=moved, until_restart=waits)
        if moved and self._watch is not None:
            self._watch.move(new.discovery)


def _unhandled(log: Log, said: dict[str, object]) -> None:
    error = said.get("exception")
    if isinstance(error, BaseException):
        log.error("unhandled", error, message=str(said.get("message")))
    else:
        log.event("unhandled", message=str(said.get("message")))


def main() -> int:
    try:
        config = load_config()
    except ConfigError as error:
        print(f"flintridge: {error}", file=sys.stderr)
        return 2
    log = Log(config.name)
    try:
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(run(config, log))
    except ConfigError as error:
        print(f"flintridge: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"flintridge: {config.listen.host}:{config.listen.port}: {error}", file=sys.stderr)
        return 1
    finally:
        log.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
