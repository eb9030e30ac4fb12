"""The origin on a fabric: runs its listeners, its faults and the time of its model."""

import asyncio
from collections.abc import Callable
from functools import partial

from flintridge.lab.records import AttemptExecuted, ServerStateChanged
from flintridge.lab.world.environment import Environment
from flintridge.lab.world.objects import Counter
from flintridge.lab.world.origin_model import OriginModel
from flintridge.lab.world.origin_request import OriginRequest
from flintridge.lab.world.outcomes import Outcome
from flintridge.lab.world.server_host import ServerHost

ORIGIN = "origin"  # both its party and its id

ConnectionFactory = Callable[["OriginHost", str], asyncio.Protocol]
"""Creates a connection from the origin's host and the name of the node."""


class OriginHost(ServerHost):
    """The only origin of a run; it serves HTTP/1.1 at the addresses of its party.

    `model.slow` and `model.down` may be set at any time; setting `model.down` needs a running event loop.

    Attributes:
        model: The model of the origin.
    """

    is_origin = True

    def __init__(self, environment: Environment, make_connection: ConnectionFactory) -> None:
        """Create an origin that does not listen yet.

        Args:
            environment: Objects that all servers share.
            make_connection: Creates its connections.
        """
        scenario = environment.scenario
        spec = scenario.origin
        idle_ms = min(kind.idle_s for kind in scenario.kinds) * 1000
        super().__init__(ORIGIN, environment, spec.connections, idle_ms)
        self.model = OriginModel(spec, environment.seeds.of("origin"), self._on_down_changed)
        self._make_connection = make_connection
        self._started = False  # whether it was started and has not been stopped since
        self._crashed = False
        self._windows_ms = {
            cls.name: spec.repeats_s * 1000 or cls.deduplication_window_ms for cls in scenario.classes
        }
        self._executed_writes = Counter()
        self._down = ""
        self._opening: asyncio.Task[None] | None = None

    def deduplication_window_ms(self, class_name: str) -> float:
        """Return the time within which a repeated keyed write of this class is not executed (ms)."""
        return self._windows_ms.get(class_name, 0.0)

    # Listeners

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: An address is already in use.
        """
        self._log_state("started")
        self.up = True
        self._started = True
        await self._open()

    def stop(self) -> None:
        """End the process: open connections are reset, new ones are refused, unfinished requests are lost.

        The idempotency keys of executed writes are kept.
        """
        self._started = False
        if self.up:
            self._log_state("stopped")
            self._shut_down_model()

    def _on_down_changed(self) -> None:
        before = self._down
        self._down = self.model.down
        if before == self._down:
            return
        if self._down == "refuses" and self.up:
            self._log_state("stopped")
            self._shut_down_model()
        elif before == "refuses":
            self._reopen()
        if before == "silent":  # nodes that still wait on these connections have given up by now
            self.reset_connections()

    def _reopen(self) -> None:
        """Listen again unless the origin is stopped, crashed or refuses connections."""
        if self._started and not self.up and not self._crashed and self._down != "refuses":
            self._log_state("back")
            self.up = True
            self._opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        await self._listen(self.id, partial(self._make_connection, self))

    def _shut_down_model(self) -> None:
        self._shut_down()
        self.model.drop_all()
        self.reset_connections()

    def _log_state(self, state: str) -> None:
        capacity = self.model.capacity if state in ("started", "back") else 0.0
        self.log.add(
            ServerStateChanged(
                at_ms=self.clock.now(),
                server=self.id,
                state=state,
                zone=self.model.zone,
                capacity=capacity,
            )
        )

    def crash_by_overload(self) -> None:
        """Stop until `model.crashed_until`, because too much work arrived."""
        if self.up:
            self._crashed = True
            self._log_state("fallen")
            self._shut_down_model()
            self.clock.call_at(self.model.crashed_until, self._recover)

    def _recover(self) -> None:
        self._crashed = False
        self._reopen()

    # Time

    def settle(self, now: float) -> None:
        """Respond to requests that ended by `now` (ms) and set the timer for the next end."""
        model = self.model
        for job in model.advance(now):
            assert isinstance(job, OriginRequest)
            self.finish(now, job)
        self._wake_at(model.due())

    def finish(self, now: float, request: OriginRequest) -> None:
        """Apply the effect of a request and respond.

        Args:
            now: Time of the run in milliseconds.
            request: The request, whose outcome is set.
        """
        body = b""
        if request.outcome is Outcome.RECEIPT:
            body = self._receipt(request)
        if request.executed:
            self._log_executed(now, request)
        if request.connection is None:
            return
        if request.outcome is Outcome.VALUE:
            version = self.objects.version(request.key)
            body = self.objects.body(request.key, version, self.id, request.request_id)
            if self.model.down != "silent":
                self.objects.fill_misses(request.request_id, request.key, now)
        request.connection.respond(now, request, body)

    def _log_executed(self, now: float, request: OriginRequest) -> None:
        self.log.add(
            AttemptExecuted(
                at_ms=now,
                server=self.id,
                attempt_id=request.attempt_id,
                request_id=request.request_id,
                idempotency_key=request.idempotency_key,
                is_repeat=request.write and request.leader is not None,
            )
        )

    def _receipt(self, request: OriginRequest) -> bytes:
        """Apply a write and return its receipt; a repeat returns the receipt of the write that it repeats."""
        if isinstance(request.leader, OriginRequest):
            return request.leader.receipt
        self.objects.update(request.key)
        request.receipt = self.objects.receipt(request.request_id, self._executed_writes.next())
        return request.receipt
