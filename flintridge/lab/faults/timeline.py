"""Plays a scenario's faults: starts each at its time or trigger, and removes its effects at its end."""

import asyncio
from functools import partial

import msgspec

from flintridge.lab.fabric import Fabric, NodeRunner
from flintridge.lab.faults.active_faults import ActiveFault, ActiveFaults
from flintridge.lab.faults.fault_recorder import FaultRecorder
from flintridge.lab.faults.fleet_reconciler import FleetReconciler
from flintridge.lab.faults.load_controls import LoadControls
from flintridge.lab.faults.load_reconciler import LoadReconciler
from flintridge.lab.faults.node_reconciler import NodeReconciler
from flintridge.lab.faults.server_replacement import ServerReplacement
from flintridge.lab.faults.step_queue import Step, StepPhase, StepQueue
from flintridge.lab.faults.target_selection import fault_generators
from flintridge.lab.faults.targets import resolve_targets
from flintridge.lab.faults.triggers import TriggerWait
from flintridge.lab.scenario import model as m
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.fleet import SimulatedFleet

RESTART_MS = 1000.0  # time between the stop and the restart of a drained server with `back`


class Timeline:
    """The faults of one run."""

    def __init__(
        self,
        scenario: m.Scenario,
        seeds: Seeds,
        fleet: SimulatedFleet,
        fabric: Fabric,
        nodes: NodeRunner,
        load_controls: LoadControls,
    ) -> None:
        """Prepare the faults of a scenario; `run` plays them.

        Args:
            scenario: The scenario.
            seeds: The seeds of the run; each fault has a random generator of its own.
            fleet: The fleet.
            fabric: The backend's network and clock.
            nodes: The nodes' processes.
            load_controls: Controls of the clients.
        """
        self._faults = scenario.faults
        self._fleet = fleet
        self._clock = fabric.clock
        self._generators = fault_generators(scenario.faults, seeds)
        self._active = ActiveFaults()
        self._fleet_reconciler = FleetReconciler(fleet, fabric, self._active)
        self._nodes = NodeReconciler(fleet, nodes, self._active, self._clock)
        self._load = LoadReconciler(scenario.faults, load_controls, self._active)
        self._steps = StepQueue(self._clock)
        self._recorder = FaultRecorder(scenario.faults, fleet.log, self._clock)
        self._replacement = ServerReplacement(
            fleet, self._clock, self._steps, self._apply, self._recorder.end
        )
        self._step_lock = asyncio.Lock()  # serializes all changes
        self._restarts: list[asyncio.Task[None]] = []
        self._run_task: asyncio.Task[None] | None = None
        self._stopped = False

    async def run(self) -> None:
        """Play all faults until the last has ended; must run in a task of its own, which `stop` cancels.

        Raises:
            OSError: A server cannot listen again.
        """
        self._run_task = asyncio.current_task()
        self._load.announce_bursts()
        for number, fault in enumerate(self._faults):
            start = self._start if fault.once is None else self._await_trigger
            self._steps.add(fault.at_s * 1000, StepPhase.START, partial(start, number, fault))
        while (step := await self._steps.next_step()) is not None:
            async with self._step_lock:
                await step()
        await asyncio.gather(*self._restarts)

    async def stop(self) -> None:
        """Stop playing and undo all active faults; processes that are stopped are not started again."""
        if self._stopped:
            return
        self._stopped = True
        tasks = list(self._restarts)
        if self._run_task is not None:
            tasks.append(self._run_task)
        tasks = [task for task in tasks if task is not asyncio.current_task() and not task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._steps.clear()
        self._active.by_number.clear()
        self._recorder.end_all()
        await self._apply(start=False)
        self._load.cancel_bursts()

    # Starts

    async def _await_trigger(self, number: int, fault: m.AnyFault) -> None:
        """Start the fault once its trigger is observed; its duration counts from then on."""
        trigger = fault.once
        assert trigger is not None
        node = None if trigger.node is None else self._fleet.nodes[trigger.node]

        def start_at(now_ms: float) -> Step:
            triggered = msgspec.structs.replace(fault, at_s=now_ms / 1000)
            return partial(self._start, number, triggered)

        TriggerWait(trigger, node, self._steps, self._clock, start_at).start(self._fleet.log)

    async def _start(self, number: int, fault: m.AnyFault) -> None:
        active = resolve_targets(fault, self._fleet, self._generators[number])
        self._recorder.start(number, active)
        match fault:
            case m.Flush():
                self._fleet.objects.invalidate(fault.part, str(number))
                self._recorder.end(number)
            case m.ClockStep():
                self._active.by_number[number] = active  # the step is permanent
                await self._apply()
                self._recorder.end(number)
            case m.Reload():
                for node in active.nodes:
                    await self._nodes.reload(node)
                self._recorder.end(number)
            case m.Replace():
                await self._replacement.start_replacement(number, active.servers, fault)
            case m.Churn():
                self._replacement.start_churn(fault, self._generators[number])
                self._schedule_end(number, fault)
            case _:
                assert isinstance(fault, m.TimedFault)
                await self._start_timed(number, active, fault)

    async def _start_timed(self, number: int, active: ActiveFault, fault: m.TimedFault) -> None:
        self._active.by_number[number] = active
        self._start_on_nodes(number, active)
        await self._apply()
        if isinstance(fault, m.Drain):
            end_ms = fault.at_s * 1000 + fault.for_s * 1000
            self._steps.add(end_ms, StepPhase.END, partial(self._end_drain, number, active, fault))
        elif isinstance(fault, m.NodeRestart):
            pass  # `_restart_nodes` ends the fault
        elif isinstance(fault, (m.Crash, m.NodeKill)) and not fault.for_s:
            pass  # the fault never ends
        else:
            self._schedule_end(number, fault)

    def _start_on_nodes(self, number: int, active: ActiveFault) -> None:
        """Kill, terminate or drain the nodes that the fault affects."""
        fault = active.fault
        if isinstance(fault, m.NodeKill) or (
            isinstance(fault, m.ZoneLoss) and fault.how == "die" and fault.nodes
        ):
            for node in active.nodes:
                self._nodes.kill(node)
        elif isinstance(fault, m.NodeRestart):
            for node in active.nodes:
                self._nodes.term(node)
            self._restarts.append(asyncio.ensure_future(self._restart_nodes(number, active.nodes, fault)))
        elif isinstance(fault, m.NodeDrain):
            for node in active.nodes:
                self._nodes.quiesce(node)

    # Ends

    def _schedule_end(self, number: int, fault: m.TimedFault) -> None:
        end_ms = fault.at_s * 1000 + fault.for_s * 1000
        self._steps.add(end_ms, StepPhase.END, partial(self._end, number))

    async def _end(self, number: int) -> None:
        active = self._active.by_number.pop(number, None)
        self._recorder.end(number)
        if active is None:
            await self._apply()
            return
        fault = active.fault
        if isinstance(fault, m.NodeDrain):
            for node in active.nodes:
                self._nodes.unquiesce(node)
        starts_warming_up = isinstance(fault, m.ZoneLoss) and fault.how != "die" and fault.cold
        await self._apply(cold=active.servers if starts_warming_up else ())

    async def _end_drain(self, number: int, active: ActiveFault, fault: m.Drain) -> None:
        """Stop the drained servers: permanently, or until they are restarted after `RESTART_MS`."""
        active.servers_stopped = True
        await self._apply()
        if fault.back:
            end_ms = fault.at_s * 1000 + (fault.for_s * 1000 + RESTART_MS)
            self._steps.add(end_ms, StepPhase.END, partial(self._end, number))
        else:
            self._recorder.end(number)

    async def _restart_nodes(self, number: int, nodes: tuple[str, ...], fault: m.NodeRestart) -> None:
        """Wait until the nodes have ended and the fault is over, then start them again."""
        for node in nodes:
            await self._nodes.end(node, fault.at_s * 1000)
        await self._clock.sleep_until((fault.at_s + fault.for_s) * 1000)
        async with self._step_lock:
            await self._end(number)

    async def _apply(self, start: bool = True, cold: tuple[str, ...] = ()) -> None:
        """Apply the effects of the active faults to the fleet, the nodes and the clients."""
        await self._fleet_reconciler.apply(start, cold)
        await self._nodes.apply(start)
        self._load.apply()
