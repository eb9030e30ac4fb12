"""A few processes that lease one another fractions of a limit, over links that lose, double and hold back.

Time goes in steps of 5 true units; each process's clock makes 4 or 6 of them, so that two run apart by as
much as the terms allow. A lease of 10 lasts two or three steps for a lessee, three or four for its grantor.
"""

import itertools
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace
from typing import Self

from flintridge.leases.allocation import Allocation, Lease, ProcessId
from flintridge.leases.fleet_limit import LeaseTerms
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest

STEP = 5.0
TERMS = LeaseTerms(even_fraction=2, floor=1, lease_ms=10.0, clock_drift=0.2)
LONG_AGO = 40.0  # before the start: no lease of a previous incarnation counts


@dataclass(slots=True, frozen=True)
class Process:
    name: str
    life: int
    clock: float
    speed: float  # of its clock, a step
    allocation: Allocation
    paused: bool = False

    @property
    def peer(self) -> ProcessId:
        return ProcessId(self.name, self.life)


Flying = tuple[str, ProcessId, LeaseMessage]  # to whom, from whom


@dataclass(slots=True, frozen=True)
class Left:
    """How often each may still happen."""

    asks: int = 2
    renews: int = 1
    losses: int = 1
    doubles: int = 1
    pauses: int = 1
    restarts: int = 1
    forgoes: int = 0  # requests canceled before they are answered


@dataclass(slots=True, frozen=True)
class Leases:
    """`make` builds an allocation, so that a defect may be planted in each."""

    terms: LeaseTerms
    processes: tuple[Process, ...]
    left: Left
    flying: tuple[Flying, ...] = ()
    make: Callable[[LeaseTerms, float], Allocation] = Allocation

    @classmethod
    def begin(
        cls,
        speeds: tuple[float, ...],
        left: Left | None = None,
        terms: LeaseTerms = TERMS,
        make: Callable[[LeaseTerms, float], Allocation] = Allocation,
    ) -> Self:
        """A process for each of `speeds`, all of which began long ago."""
        processes = tuple(
            Process("abcdef"[i], 1, LONG_AGO, speed, make(terms, 0.0)) for i, speed in enumerate(speeds)
        )
        return cls(terms, processes, left or Left(), (), make)

    # What can happen

    def steps(self) -> Iterator[tuple[str, Self]]:
        yield "time goes on", self._tick()
        for i, process in enumerate(self.processes):
            yield from self._of_process(i, process)
        for word in dict.fromkeys(self.flying):
            yield from self._of_word(word)

    def _of_process(self, i: int, process: Process) -> Iterator[tuple[str, Self]]:
        left, name = self.left, process.name
        if process.paused:
            yield f"{name} goes on", self._with(i, replace(process, paused=False))
        elif left.pauses:
            yield f"{name} is stopped", self._with(i, replace(process, paused=True), pauses=-1)
        if left.restarts:
            anew = self.make(self.terms, process.clock)
            life = replace(process, life=process.life + 1, allocation=anew, paused=False)
            yield f"{name} is killed and starts anew", self._with(i, life, restarts=-1)
        if process.paused:
            return
        for other in self.processes:
            if other.name != name and left.asks:
                allocation = process.allocation.copy()
                request = allocation.request(
                    process.clock, other.name, self.terms.even_fraction - self.terms.floor
                )
                after = self._with(i, replace(process, allocation=allocation), asks=-1)
                yield f"{name} asks {other.name}", after._send(other.name, process.peer, request)
        for grantor, id in process.allocation.requested:
            if (grantor, id) not in process.allocation.acquired and left.forgoes:
                allocation = process.allocation.copy()
                cancellation = allocation.cancel(grantor, id)
                after = self._with(i, replace(process, allocation=allocation), forgoes=-1)
                yield (
                    f"{name} cancels its request to {grantor}",
                    after._send(grantor, process.peer, cancellation),
                )
        for grantor, id in process.allocation.acquired:
            allocation = process.allocation.copy()
            renewal = allocation.renewal(process.clock, grantor, id) if left.renews else None
            if renewal is not None:
                after = self._with(i, replace(process, allocation=allocation), renews=-1)
                yield f"{name} renews its lease from {grantor}", after._send(grantor, process.peer, renewal)
            allocation = process.allocation.copy()
            release = allocation.release(grantor, id)
            if release is not None:
                after = self._with(i, replace(process, allocation=allocation))
                yield f"{name} releases a lease of {grantor}", after._send(grantor, process.peer, release)

    def _of_word(self, word: Flying) -> Iterator[tuple[str, Self]]:
        to, source, said = word
        what = f"{type(said).__name__} from {source[0]} to {to}"
        i = next(i for i, process in enumerate(self.processes) if process.name == to)
        process = self.processes[i]
        if not process.paused:
            allocation = process.allocation.copy()
            answer = allocation.receive(process.clock, source, said)
            after = self._without(word)._with(i, replace(process, allocation=allocation))
            if answer is not None:
                after = after._send(source[0], process.peer, answer)
            yield f"{what} arrives", after
        if self.left.losses:
            yield f"{what} is lost", replace(self._without(word), left=self._spend(losses=-1))
        if self.left.doubles:
            doubled = tuple(sorted((*self.flying, word), key=repr))
            yield f"{what} is doubled", replace(self, flying=doubled, left=self._spend(doubles=-1))

    def _tick(self) -> Self:
        moved = []
        for process in self.processes:
            clock, allocation = process.clock + process.speed, process.allocation
            if not process.paused:
                allocation = allocation.copy()
                allocation.remove_expired(clock)
            moved.append(replace(process, clock=clock, allocation=allocation))
        return replace(self, processes=tuple(moved))

    def _spend(self, **less: int) -> Left:
        return replace(self.left, **{name: getattr(self.left, name) + by for name, by in less.items()})

    def _with(self, i: int, process: Process, **less: int) -> Self:
        processes = (*self.processes[:i], process, *self.processes[i + 1 :])
        return replace(self, processes=processes, left=self._spend(**less))

    def _send(self, to: str, source: ProcessId, word: LeaseMessage) -> Self:
        return replace(self, flying=tuple(sorted((*self.flying, (to, source, word)), key=repr)))

    def _without(self, word: Flying) -> Self:
        at = self.flying.index(word)
        return replace(self, flying=self.flying[:at] + self.flying[at + 1 :])

    # What must hold

    def broken(self) -> str:
        used = {process.name: process.allocation.usable(process.clock) for process in self.processes}
        limit = self.terms.even_fraction * len(self.processes)
        if sum(used.values()) > limit:
            return f"{used} may be used together, of a limit of {limit}"
        low = [name for name, amount in used.items() if amount < self.terms.floor]
        return f"{low[0]} holds less than its floor: {used}" if low else ""

    # What cannot be told apart

    def key(self) -> Hashable:
        """By times to go, not by the time; the least over all ways to call the processes."""
        names = [process.name for process in self.processes]
        keys = []
        speeds = [process.speed for process in self.processes]
        for order in itertools.permutations(range(len(names))):
            if [speeds[k] for k in order] != speeds:
                continue
            called = {names[i]: j for j, i in enumerate(order)}
            keys.append(repr((self._state(called, order), self._words(called))))
        return min(keys), self.left

    def _state(self, called: dict[str, int], order: tuple[int, ...]) -> list[object]:
        state: list[object] = []
        lives = {process.name: process.life for process in self.processes}
        for i in order:
            process = self.processes[i]
            now, held = process.clock, process.allocation
            lent = sorted(
                (
                    called[peer.name],
                    lives[peer.name] - peer.incarnation,
                    id,
                    lease.amount,
                    lease.expires_at - now,
                )
                for (peer, id), lease in held.granted.items()
                if lease.expires_at > now
            )
            borrowed = sorted(
                _owed(called[name], id, lease, now) for (name, id), lease in held.acquired.items()
            )
            asked = sorted((called[name], id, amount) for (name, id), amount in held.requested.items())
            young = max(0.0, held.started_at + self.terms.grantor_lease_ms - now)
            state.append((process.speed, process.paused, young, lent, borrowed, asked, held.last_lease_id))
        return state

    def _words(self, called: dict[str, int]) -> list[str]:
        by_name = {process.name: process for process in self.processes}
        words: list[str] = []
        for to, (name, life), word in self.flying:
            back = by_name[name].life - life
            # A stamp counts on the clock of whoever asked; beyond a lease it is all the same how old it is.
            asker = by_name[to] if isinstance(word, LeaseGrant) else by_name[name]
            stamp = getattr(word, "requested_at", None)
            age = None if stamp is None else min(asker.clock - stamp, 2 * self.terms.lease_ms)
            amount = getattr(word, "amount", 0)
            words.append(
                repr((called[to], called[name], back, type(word).__name__, word.lease_id, amount, age))
            )
        return sorted(words)


def _owed(name: int, id: int, lease: Lease, now: float) -> tuple[int, int, int, float]:
    return name, id, lease.amount, max(0.0, lease.expires_at - now)


SPEEDS = tuple(itertools.combinations_with_replacement((0.8 * STEP, 1.2 * STEP), 3))
__all__ = ["SPEEDS", "TERMS", "LeaseRelease", "LeaseRequest", "Leases", "Left"]
