"""The origin on a fabric: its listeners, its faults, and the model's time."""

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

ORIGIN = "origin"  # its party, and its id

ConnectionFactory = Callable[["OriginHost", str], asyncio.Protocol]
"""Makes the connection of a node, by its name, to the origin."""


class OriginHost(ServerHost):
    """The one origin: it speaks HTTP/1.1 at the addresses of its party.

    Set `model.slow` and `model.down` at any time; the latter needs a running loop.

    Attributes:
        model: What it does.
    """

    is_origin = True

    def __init__(self, environment: Environment, connect: ConnectionFactory) -> None:
        """Make an origin that does not listen yet.

        Args:
            environment: What all servers share.
            connect: Makes its connections.
        """
        scenario = environment.scenario
        spec = scenario.origin
        idle_ms = min(kind.idle_s for kind in scenario.kinds) * 1000
        super().__init__(ORIGIN, environment, spec.connections, idle_ms)
        self.model = OriginModel(spec, environment.seeds.of("origin"), self._on_down_changed)
        self._connect = connect
        self._started = False  # and not stopped since
        self._crashed = False
        self._windows_ms = {
            cls.name: spec.repeats_s * 1000 or cls.deduplication_window_ms for cls in scenario.classes
        }
        self._executed_writes = Counter()
        self._down = ""
        self._opening: asyncio.Task[None] | None = None

    def deduplication_window_ms(self, class_name: str) -> float:
        """Time within which a repeat of a keyed write of this class is not executed."""
        return self._windows_ms.get(class_name, 0.0)

    # Listeners

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: An address is taken.
        """
        self._log_state("started")
        self.up = True
        self._started = True
        await self._open()

    def stop(self) -> None:
        """End the process: connections are reset, new ones refused, what had not ended is lost.

        Idempotency keys of writes that were executed are still known afterwards.
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
        if before == "silent":  # whoever still waits on those has given up by now
            self.reset_connections()

    def _reopen(self) -> None:
        """Listen again, once nothing prevents it any more."""
        if self._started and not self.up and not self._crashed and self._down != "refuses":
            self._log_state("back")
            self.up = True
            self._opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        await self._listen(self.id, partial(self._connect, self))

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
        """Stop until `model.crashed_until`, as too much arrived."""
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
        """Respond to what has ended by `now` (ms), and be called again when more does."""
        model = self.model
        for job in model.advance(now):
            assert isinstance(job, OriginRequest)
            self.finish(now, job)
        self._wake_at(model.due())

    def finish(self, now: float, request: OriginRequest) -> None:
        """Let a request that has its outcome take effect, and respond.

        Args:
            now: Time of the run in milliseconds.
            request: The request.
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
        """Of a write that takes effect now, or of the one that it repeats."""
        if isinstance(request.leader, OriginRequest):
            return request.leader.receipt
        self.objects.update(request.key)
        request.receipt = self.objects.receipt(request.request_id, self._executed_writes.next())
        return request.receipt
