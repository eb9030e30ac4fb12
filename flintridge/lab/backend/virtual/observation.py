"""Periodic records about nodes in virtual time."""

import asyncio
from collections.abc import Callable, Iterable

from flintridge.lab.backend.virtual.fabric import VirtualFabric
from flintridge.lab.backend.virtual.process import VirtualProcess
from flintridge.lab.partial.admin_records import REPORT_INTERVAL_MS, lease_records, membership_record
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import ConnectionCount

CONNECTION_INTERVAL_MS = 1000.0


class ConnectionSampler:
    """Records the number of connections of each node, every CONNECTION_INTERVAL_MS."""

    def __init__(
        self, fabric: VirtualFabric, log: RecordLog, running: Callable[[], Iterable[VirtualProcess]]
    ) -> None:
        """Start to record, until `close` is called.

        Args:
            fabric: The fabric of the run.
            log: The log of the run's records.
            running: Returns the running processes.
        """
        self._fabric = fabric
        self._log = log
        self._running = running
        self._timer = fabric.clock.call_later(CONNECTION_INTERVAL_MS, self._sample)

    def close(self) -> None:
        """Stop recording."""
        self._timer.cancel()

    def _sample(self) -> None:
        self._timer = self._fabric.clock.call_later(CONNECTION_INTERVAL_MS, self._sample)
        for process in self._running():
            connections = self._fabric.open_connections(process.name)
            self._log.add(
                ConnectionCount(
                    at_ms=self._fabric.clock.now(),
                    node=process.name,
                    server_side=connections.with_servers,
                    client_side=connections.with_clients,
                )
            )


class FleetStateSampler:
    """Records each node's view of the membership and the leases that it holds."""

    def __init__(
        self, fabric: VirtualFabric, log: RecordLog, running: Callable[[], Iterable[VirtualProcess]]
    ) -> None:
        """Record now and then periodically, until `close` is called.

        Args:
            fabric: The fabric of the run.
            log: The log of the run's records.
            running: Returns the running processes.
        """
        self._fabric = fabric
        self._log = log
        self._running = running
        self._timer: asyncio.TimerHandle
        self._sample()

    def close(self) -> None:
        """Stop recording."""
        self._timer.cancel()

    def _sample(self) -> None:
        self._timer = self._fabric.clock.call_later(REPORT_INTERVAL_MS, self._sample)
        now = self._fabric.clock.now()
        for process in self._running():
            node = process.node
            if node is None:
                continue
            if node.membership is not None and not self._fabric.network.host(process.name).paused:
                self._log.add(membership_record(now, process.name, node.membership.admin_view().fields))
            if node.leases is not None:  # also for a paused node, which may use its leases after it resumes
                for lease in lease_records(now, process.name, node.leases.admin_status().fields):
                    self._log.add(lease)
