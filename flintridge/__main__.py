"""The real node: reads its configuration, puts the parts together, and minds the signals."""

import asyncio
import contextlib
import signal
import sys

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
