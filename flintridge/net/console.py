"""The console's sockets: few places of its own, which no crowd of clients and no silent caller can take."""

import asyncio

from flintridge.fronts.console import AdminExchange, Routes
from flintridge.net.parting import part
from flintridge.runtime.clock import Clock, DeadlineExceededError, with_timeout
from flintridge.runtime.listener import Listener, open_listener
from flintridge.settings import CONSOLE_PLACES, Address
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

CALL_TIME = 3_000.0  # until which a call must be whole


class AdminApi:
    def __init__(
        self,
        routes: Routes,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        places: int = CONSOLE_PLACES,
    ) -> None:
        self._routes = routes
        self._clock = clock
        self._log = log
        self._counters = counters
        self._places = places
        self._listening: Listener | None = None
        self._callers: dict[asyncio.StreamWriter, asyncio.Task[None] | None] = {}  # the oldest first

    async def listen(self, address: Address) -> int:
        """Open the listener; the port. Raises OSError where it can't be opened: it is shared with nobody."""
        self._listening = await open_listener(self._accepted, address, shared=False)
        return self._listening.port

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._callers) >= self._places:
            # Guards those who call against those who only hold a place: the one that has had its place for
            # longest has said nothing whole so far, as an answer is given at once.
            oldest = next(iter(self._callers))
            self._counters.add("console_made_place")
            self._drop(oldest)
        self._callers[writer] = asyncio.current_task()
        self._counters.add("console_calls")
        exchange = AdminExchange(self._routes)
        try:
            try:
                parts = await with_timeout(self._clock, CALL_TIME, self._answer(exchange, reader))
            except DeadlineExceededError:
                self._counters.add("console_late")
                parts = exchange.late()
            if parts is not None:
                writer.writelines(parts)
                await part(self._clock, reader, writer)
        except OSError:
            pass  # the caller's end of the connection
        except asyncio.CancelledError:
            if writer in self._callers:
                raise  # else it made place, and nobody waits for this task
        except Exception as error:
            self._counters.add("console_errors")
            self._log.error("console_broke", error)
        finally:
            self._callers.pop(writer, None)
            writer.close()

    async def _answer(self, exchange: AdminExchange, reader: asyncio.StreamReader) -> list[bytes] | None:
        """None where the caller ends before its call is whole."""
        while data := await reader.read(4096):
            if (parts := exchange.feed(data)) is not None:
                return parts
        return None

    def _drop(self, writer: asyncio.StreamWriter) -> None:
        task = self._callers.pop(writer)
        if task is not None:
            task.cancel()
        writer.close()

    def close(self) -> None:
        if self._listening is not None:
            self._listening.close()
        for writer in list(self._callers):
            self._drop(writer)
