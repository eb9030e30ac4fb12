"""Records the starts and ends of faults in the run's log."""

from collections.abc import Sequence

from flintridge.lab.fabric import RunClock
from flintridge.lab.faults.active_faults import ActiveFault
from flintridge.lab.faults.target_selection import fault_name
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import FaultChanged
from flintridge.lab.scenario import model as m

MAX_NAMES = 20  # names of targets in one record
TIMING_KEYS = ("at_s", "for_s", "once")


class FaultRecorder:
    """Records each fault's start and end, both with the same description."""

    def __init__(self, faults: Sequence[m.AnyFault], log: RecordLog, clock: RunClock) -> None:
        """Create a recorder for the faults of a scenario.

        Args:
            faults: The scenario's faults; a fault's number is its index in this sequence.
            log: The log of the run's records.
            clock: The run's clock.
        """
        self._faults = faults
        self._log = log
        self._clock = clock
        self._details: dict[int, str] = {}  # descriptions of the faults that have started and not ended

    def start(self, number: int, active: ActiveFault) -> None:
        """Record a fault's start.

        Args:
            number: The fault's number in the scenario.
            active: The fault with its targets.
        """
        detail = describe(active)
        self._details[number] = detail
        self._add(number, True, detail)

    def end(self, number: int) -> None:
        """Record a fault's end.

        Args:
            number: The number in the scenario of a fault that has started.
        """
        self._add(number, False, self._details.pop(number))

    def end_all(self) -> None:
        """Record the end of each fault that has not ended, in the order of their starts."""
        for number in list(self._details):
            self.end(number)

    def _add(self, number: int, begins: bool, detail: str) -> None:
        name = fault_name(self._faults[number])
        self._log.add(FaultChanged(at_ms=self._clock.now(), name=name, begins=begins, detail=detail))


def describe(active: ActiveFault) -> str:
    """Return the names of a fault's targets, or its parameters if it has no named targets.

    Args:
        active: The fault with its targets.
    """
    fault = active.fault
    if isinstance(fault, (m.ServerFault, m.NodeKill, m.NodeRestart, m.NodePause, m.Reload)):
        names = active.servers or active.nodes
        omitted = f" and {len(names) - MAX_NAMES} more" if len(names) > MAX_NAMES else ""
        return ", ".join(names[:MAX_NAMES]) + omitted
    parameters = [(key, value) for key, value in fault.by_key().items() if key not in TIMING_KEYS]
    return ", ".join(f"{key}={value}" for key, value in parameters)
