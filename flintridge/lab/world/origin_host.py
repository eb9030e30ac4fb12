"""The origin on a fabric: its listeners, its troubles, and the model's time."""

import asyncio
from functools import partial

from flintridge.lab.fabric import Fabric
from flintridge.lab.records import AttemptExecuted, RecordLog, ServerStateChanged
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.objects import Counter, Objects
from flintridge.lab.world.origin import OriginModel
from flintridge.lab.world.origin_conn import OriginConnection, OriginRequest
from flintridge.lab.world.server_host import ServerHost


class OriginHost(ServerHost):
    """The one origin: it speaks HTTP/1.1 at the address of the party `id`.

    Turn `model.slow` and `model.down` (or `down` here) at any time; the latter needs a running loop.
    """

    is_origin = True

    def __init__(
        self,
        fabric: Fabric,
        log: RecordLog,
        truth: GroundTruth,
        objects: Objects,
        scenario: Scenario,
        seeds: Seeds,
        nodes: list[str],
        id: str = "origin",
    ) -> None:
        spec = scenario.origin
        idle_ms = min(kind.idle_s for kind in scenario.kinds) * 1000
        probes = scenario.limits.health_checks
        super().__init__(id, fabric, log, truth, objects, probes, nodes, spec.connections, idle_ms)
        self.model = OriginModel(spec, seeds.of("origin"), self._turned)
        self._wanted = False  # started and not stopped
        self._fallen = False
        self._windows = {c.name: spec.repeats_s * 1000 or c.deduplication_window_ms for c in scenario.classes}
        self._effects = Counter()
        self._down = ""
        self._opening: asyncio.Task[None] | None = None

    def window_ms(self, cls: str) -> float:
        """Within which a repeat of a keyed write is dropped."""
        return self._windows.get(cls, 0.0)

    # Its life

    async def start(self, cold: bool = False) -> None:
        """Listen. It is never cold. Raises OSError."""
        self._say("started")
        self.up = self._wanted = True
        await self._open()

    def stop(self, how: str = "crash") -> None:
        """Connections are reset, new ones refused, what had not ended is lost; keys of writes that have run
        are still known afterwards."""
        self._wanted = False
        if self.up:
            self._say("stopped")
            self._close()

    @property
    def down(self) -> str:
        return self.model.down

    @down.setter
    def down(self, how: str) -> None:
        self.model.down = how

    def _turned(self) -> None:
        """The knob `down` was turned."""
        was, self._down = self._down, self.model.down
        if was == self._down:
            return
        if self._down == "refuses" and self.up:
            self._say("stopped")
            self._close()
        elif was == "refuses":
            self._reopen()
        if was == "silent":  # whoever still waits on those has given up by now
            self.reset_connections()

    def _reopen(self) -> None:
        """Listen again, once nothing speaks against it any more."""
        if self._wanted and not self.up and not self._fallen and self._down != "refuses":
            self._say("back")
            self.up = True
            self._opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        await self._listen(self.id, partial(OriginConnection, self))

    def _close(self) -> None:
        self._shut()
        self.model.collapse()
        self.reset_connections()

    def _say(self, state: str) -> None:
        capacity = self.model.capacity if state in ("started", "back") else 0.0
        said = ServerStateChanged(
            at_ms=self.clock.now(), server=self.id, state=state, zone=self.model.zone, capacity=capacity
        )
        self.log.add(said)

    def fall(self) -> None:
        """Too much was asked of it: it stops until `model.fallen_until`."""
        if self.up:
            self._fallen = True
            self._say("fallen")
            self._close()
            self.clock.call_at(self.model.fallen_until, self._stand_up)

    def _stand_up(self) -> None:
        self._fallen = False
        self._reopen()

    # Time

    def settle(self, now: float) -> None:
        """Answer what has ended, and be called again when more does."""
        model = self.model
        for job in model.advance(now):
            assert isinstance(job, OriginRequest)
            self.finish(now, job)
        self._wake_at(model.due())

    def finish(self, now: float, job: OriginRequest) -> None:
        """A job has its outcome: let it take effect, and answer."""
        uid = job.uid
        body = b""
        if job.outcome == "receipt":
            body = self._receipt(job)
        if job.ran:
            repeat = job.write and job.leader is not None
            said = AttemptExecuted(
                at_ms=now,
                server=self.id,
                attempt_id=job.number,
                request_id=uid,
                idempotency_key=job.idem,
                is_repeat=repeat,
            )
            self.log.add(said)
        if job.connection is None:
            return
        if job.outcome == "value":
            body = self.objects.body(job.key, self.objects.version(job.key), self.id, uid)
            if self.model.down != "silent":
                self.objects.origin_answered(uid, job.key, now)
        job.connection.answer(now, job, body)

    def _receipt(self, job: OriginRequest) -> bytes:
        """Of a write that takes effect now, or of the one that it repeats."""
        if isinstance(job.leader, OriginRequest):
            return job.leader.receipt
        self.objects.changed(job.key)
        job.receipt = self.objects.receipt(job.uid, self._effects.next())
        return job.receipt
