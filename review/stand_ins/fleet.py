"""A small deployment of stand-ins around one node."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.stand_ins.discovery import Discovery
from review.stand_ins.platform import Node
from review.stand_ins.record import Record
from review.stand_ins.servers import CacheServer, Origin, World

RULE_BROKEN = 1
RULE_HELD = 0
COULD_NOT_RUN = 2
TIME_LIMIT_S = 110.0


class CouldNotRunError(Exception):
    """The case could not run, so it shows nothing."""


class Fleet:
    """Discovery, cache servers, an origin and one node.

    Attributes:
        world: What the servers share.
        discovery: The stand-in for discovery.
        caches: The cache servers.
        origin: The origin.
        node: The node.
    """

    def __init__(
        self,
        record: Record,
        cache_type: type[CacheServer] = CacheServer,
        origin_type: type[Origin] = Origin,
        cache_count: int = 3,
    ) -> None:
        self.world = World(record)
        self.discovery = Discovery(record)
        self.caches = [cache_type(f"cache-{number}", self.world) for number in range(1, cache_count + 1)]
        self.origin = origin_type(self.world)
        self.node = Node(record)

    async def start(self, settings: dict[str, Any], **limits: float) -> None:
        """Start everything and wait until the node is ready.

        Raises:
            CouldNotRunError: The node does not get ready.
        """
        for cache in self.caches:
            await cache.start()
            self.discovery.list(cache.name, cache.port, "box")
        await self.origin.start()
        self.discovery.list("origin-1", self.origin.port, "origin")
        await self.discovery.start()
        self.node.configure(self.discovery.port, settings, self.discovery.document(), **limits)
        self.node.start()
        if not await self.node.wait_until_ready():
            raise CouldNotRunError("the node does not get ready")


def main(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit as its script has to.

    Args:
        case: Runs the case, with the disruption or without; returns whether the rule held. It ends its nodes.
        folder: The folder of the case, for the record.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # so that the node is ended too
    try:
        held = asyncio.run(asyncio.wait_for(_run(case, record, trouble), TIME_LIMIT_S))
    except (CouldNotRunError, TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    else:
        code = RULE_HELD if held else RULE_BROKEN
        record.say("the rule held" if held else "the rule was broken")
    finally:
        record.write()
    sys.exit(code)


async def _run(case: Callable[[Record, bool], Awaitable[bool]], record: Record, trouble: bool) -> bool:
    record.say("with the disruption" if trouble else "without the disruption")
    return await case(record, trouble)
