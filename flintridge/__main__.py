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

CHANGEABLE = ("discovery", "sockets", "memory_mb")  # without a restart


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
    module = Balancer(config.settings, config.seed)
    core = Core(module, config.settings, clock, config.held_bytes, log, counters)
    room = config.server_sockets
    delivery = Delivery(transports, config.settings, clock, room, core.attempt_ended, log, counters)
    watch = TransportWatch(config.discovery, transports, clock, core.told, log, counters)
    core.attach(delivery, watch)
    side = SenderSide(core, config.settings, transports, clock, config.client_sockets, log, counters)
    reloader.attach(core, delivery, side, watch)
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
        self._parts: tuple[Core, Delivery, SenderSide, TransportWatch] | None = None

    def attach(self, core: Core, delivery: Delivery, side: SenderSide, watch: TransportWatch) -> None:
        self._parts = core, delivery, side, watch
        self._apply()  # a signal may have come before there were parts

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
        # The list that the file holds is an old one; this node's own is newer.
        names = [field.name for field in fields(NodeConfig) if field.name != "known"]
        changed = [name for name in names if getattr(new, name) != getattr(old, name)]
        now = {name: getattr(new, name) for name in changed if name in CHANGEABLE}
        self._config = replace(old, **now)  # what holds, whatever else the file says
        waits = [name for name in changed if name not in now]
        self._log.event("reloaded", changed=list(now), until_restart=waits)
        self._apply()

    def _apply(self) -> None:
        if self._parts is None:
            return
        core, delivery, side, watch = self._parts
        core.held_bytes = self._config.held_bytes
        delivery.room, side.room = self._config.server_sockets, self._config.client_sockets
        if watch.discovery != self._config.discovery:
            watch.move(self._config.discovery)


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
