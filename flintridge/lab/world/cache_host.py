"""A cache server on a fabric: its lives, its listeners, and the model's time."""

import asyncio
from functools import partial

from flintridge.lab.fabric import Fabric, Listener
from flintridge.lab.records import Log, Ran, ServerSaid
from flintridge.lab.scenario.model import Kind, Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import Truth
from flintridge.lab.world.cache import CacheModel, Machine
from flintridge.lab.world.cache_conn import CacheConnection, Request
from flintridge.lab.world.commands import BUSY, FAILED, miss_answer, value_answer
from flintridge.lab.world.objects import Objects
from flintridge.lab.world.store import Store


class CacheHost:
    """One server, by its id as discovery lists it.

    `model` is of its present or last life; knobs set on it hold for later lives too. `started_at` is the
    start on the day's clock (ms), `started_unix` the same as discovery tells it; both 0: long ago. It listens
    at the address of `listen_as`, and its links are those of that party.
    """

    def __init__(
        self,
        id: str,
        kind: Kind,
        zone: str,
        cell: int,
        weight: float,
        fabric: Fabric,
        log: Log,
        truth: Truth,
        objects: Objects,
        scenario: Scenario,
        seeds: Seeds,
        nodes: list[str],
    ) -> None:
        self.id = id
        self.kind = kind
        self.zone = zone
        self.cell = cell
        self.weight = weight
        self.listen_as = id
        self.up = False
        self.started_at = 0.0
        self.started_unix = 0.0
        self.fabric = fabric
        self.clock = fabric.clock
        self.log = log
        self.truth = truth
        self.objects = objects
        self.probes = scenario.limits.probes
        self.wire_rng = seeds.of(f"server/{id}/wire")
        self.connections: dict[CacheConnection, None] = {}  # a set that keeps its order
        self._rules = scenario.rules
        self._seeds = seeds
        self._nodes = nodes
        self._machine = Machine(kind, seeds.of(f"server/{id}"))
        self._store = Store(objects, kind.memory_mb, scenario.keys.ttl_s)
        self._lives = 0
        self._listeners: list[Listener] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self.model = self._new_model(cold=False)
        objects.register(id, self._store, lambda: self.up)

    def _new_model(self, cold: bool) -> CacheModel:
        rng = self._seeds.of(f"server/{self.id}/life/{self._lives}")
        now = self.clock.now()
        return CacheModel(self.kind, self._machine, self._rules, self._store, rng, now, cold, self.catch_up)

    # Its life

    @property
    def draining(self) -> bool:
        """Whether it is up and turns new work away because it was told to drain."""
        return self.up and self.model.draining

    async def start(self, cold: bool, at_address_of: str | None = None) -> None:
        """A new life: cold and empty, or warm with the copies of the last one. The first one, if warm, began
        long ago. Raises RuntimeError where it is up, OSError where it cannot listen."""
        if self.up:
            raise RuntimeError(f"server {self.id} is up")
        if at_address_of is not None:
            self.listen_as = at_address_of
        old, now = self.model, self.clock.now()
        if cold:
            self._store.clear()
        self._lives += 1
        life = self._lives
        long_ago = life == 1 and not cold
        self.started_at = 0.0 if long_ago else now
        self.started_unix = 0.0 if long_ago else self.clock.unix_ms(now)
        self.model = self._new_model(cold)
        self.model.take_knobs(old)
        self.up = True
        self._say_started()
        try:
            for node in self._nodes:
                factory = partial(CacheConnection, self, node)
                listener = await self.fabric.listen(self.listen_as, node, factory)
                if life != self._lives or not self.up:  # stopped while it was starting
                    listener.close()
                    return
                self._listeners.append(listener)
        except OSError:
            self.stop()
            raise

    def _say_started(self) -> None:
        model = self.model
        self.log.add(
            ServerSaid(
                t=self.clock.now(),
                server=self.id,
                state="started",
                zone=self.zone,
                cell=self.cell,
                capacity=model.warm_capacity,
                cold_from=self.kind.cold_from if model.cold_ms else 1.0,
                cold_ms=model.cold_ms,
            )
        )

    def stop(self, how: str = "crash") -> None:
        """The process ends: connections are reset, new ones refused, all it did is lost. `how` "gone" and
        "fallen" are recorded by that name, anything else as stopped. Nothing happens where it is down."""
        if not self.up:
            return
        self.up = False
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self.clock.now()
        state = how if how in ("gone", "fallen") else "stopped"
        self.log.add(ServerSaid(t=now, server=self.id, state=state, zone=self.zone, cell=self.cell))
        self.reset_connections()

    def fall(self) -> None:
        """Pushed over (rule 4): it stays down until somebody starts it."""
        self.stop("fallen")

    def drain(self) -> None:
        """It knows that it drains: new work is turned away, what it has goes on."""
        if self.up and not self.model.draining:
            self.model.draining = True
            now = self.clock.now()
            self.log.add(ServerSaid(t=now, server=self.id, state="draining", zone=self.zone, cell=self.cell))

    def reset_connections(self) -> None:
        """End all connections with a RST, as when a machine is back after its peers gave it up."""
        now = self.clock.now()
        for connection in list(self.connections):
            connection.kill(now)

    # Time

    def catch_up(self) -> None:
        """Bring the model up to date, as before and after a knob is turned."""
        if self.up:
            self.settle(self.clock.now())

    def settle(self, now: float) -> None:
        """Answer what has ended, and be called again when more does."""
        model = self.model
        for job in model.advance(now):
            assert isinstance(job, Request)
            if not self.up:  # it ended over the answer to another
                return
            self.finish(now, job)
            if job.connection is not None:
                job.connection.flush(now)
        if model.fallen:
            self.fall()
            return
        due = model.due()
        # A timer that comes too early does no harm; to set each anew would cost more.
        if due is not None and (self._timer is None or due < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self.clock.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        # Rounding may bring the timer a hair too early: it would then be set for the same instant for ever.
        self.settle(max(self.clock.now(), self._timer_at))

    def finish(self, now: float, job: Request) -> None:
        """A job has its outcome: make the answer, which leaves in its turn."""
        outcome, uid = job.outcome, job.uid
        if job.ran:
            self.log.add(Ran(t=now, server=self.id, number=job.number, uid=uid, idem=job.idem))
        if outcome == "value":
            if job.connection is not None:
                job.body = self.objects.body(job.key, job.version, self.id, uid)
                job.answer = value_answer(uid, job.body)
        elif outcome == "miss":
            if not job.write:
                self.objects.missed(uid, self.id)
            job.answer = miss_answer(uid)
        else:
            job.answer = BUSY if outcome == "busy" else FAILED
