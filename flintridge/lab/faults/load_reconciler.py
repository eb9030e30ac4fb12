"""Applies the effects of the active faults to the clients."""

from collections.abc import Sequence
from functools import partial

from flintridge.lab.faults.active_faults import ActiveFaults, MalformedClientLoad
from flintridge.lab.faults.bursts import burst_factor
from flintridge.lab.faults.load_controls import LoadControls
from flintridge.lab.scenario import model as m


class LoadReconciler:
    """Applies the active faults to the clients; effects that are unchanged are not applied again."""

    def __init__(self, faults: Sequence[m.AnyFault], controls: LoadControls, active: ActiveFaults) -> None:
        """Create a reconciler for the clients of a run.

        Args:
            faults: All faults of the scenario.
            controls: The clients' controls.
            active: The active faults, which change during the run.
        """
        self._faults = faults
        self._controls = controls
        self._active = active
        self._has_burst = any(isinstance(fault, m.Burst) for fault in faults)
        self._hot_key_fraction = 0.0
        self._malformed_clients = MalformedClientLoad()

    def announce_bursts(self) -> None:
        """Pass all bursts to the clients in advance.

        Clients schedule requests ahead of time, so they would notice a burst too late at its start.
        """
        if self._has_burst:
            self._controls.burst(partial(burst_factor, self._faults))

    def cancel_bursts(self) -> None:
        """Restore the usual request rate from now on."""
        if self._has_burst:
            self._controls.burst(_baseline_rate)

    def apply(self) -> None:
        """Apply the hot key and the malformed clients."""
        self._apply_hot_key()
        self._apply_malformed_clients()

    def _apply_hot_key(self) -> None:
        fraction = self._active.hot_key_fraction()
        if fraction == self._hot_key_fraction:
            return
        self._hot_key_fraction = fraction
        if fraction:
            self._controls.hot_key(fraction)
        else:
            self._controls.cool()

    def _apply_malformed_clients(self) -> None:
        before = self._malformed_clients
        clients = self._active.malformed_clients()
        if clients == before:
            return
        if before.per_s:
            self._controls.bad_clients(before.per_s, before.kinds, False)
        if clients.per_s:
            self._controls.bad_clients(clients.per_s, clients.kinds, True)
        self._malformed_clients = clients


def _baseline_rate(_: float) -> float:
    return 1.0
