"""The transfer of a member table between two simulated processes, modeled on the node's membership driver."""

from collections.abc import Callable
from typing import Any

from flintridge.lab.partial.virtual_network import VirtualNetwork
from flintridge.lab.partial.virtual_process import VirtualProcess
from flintridge.membership.messages import GossipEntry, encoded_size

FRAME_BYTES = 26  # overhead of a frame: its length and its seal
HANDSHAKE_BYTES = 240  # charged to each side, before the first frame
ENTRIES_PER_FRAME = 32
MAX_TRANSFERS_SERVED = 4
TRANSFER_TIMEOUT_MS = 10_000.0
BUDGET_RETRY_MS = 50.0
RETRANSMISSION_MS = 200.0  # TCP's first retransmission timeout; it doubles with each retransmission


class TableTransfer:
    """One transfer; the table is merged as a whole, or not at all after `TRANSFER_TIMEOUT_MS`."""

    def __init__(
        self,
        network: VirtualNetwork,
        target: VirtualProcess[Any],
        source_name: str,
        find_source: Callable[[], VirtualProcess[Any] | None],
    ) -> None:
        """Prepare a transfer.

        Args:
            network: The network of both processes.
            target: The process that requests the table.
            source_name: The node whose table is requested.
            find_source: Returns that node's newest process; called when the request is sent.
        """
        self._network = network
        self._target = target
        self._source_name = source_name
        self._find_source = find_source
        self._entries: list[GossipEntry] = []

    def request(self) -> None:
        """Request the table as soon as the target's byte budget allows.

        The request is ignored by a source that is paused or already serves `MAX_TRANSFERS_SERVED` transfers.
        """
        network = self._network
        target = self._target
        if not target.is_running:
            return
        if not self._try_spend(target, HANDSHAKE_BYTES + len(target.detector.table.peer_names)):
            network.at(network.now + BUDGET_RETRY_MS, self.request)
            return
        source = self._find_source()
        if source is None or source.is_paused or source.transfers_served >= MAX_TRANSFERS_SERVED:
            return
        source.transfers_served += 1
        self._source = source
        self._requested_at = target.clock(network.now)
        self._deadline = network.now + TRANSFER_TIMEOUT_MS
        self._members = source.detector.table.reachable_not_in(target.detector.table.reachable_filter())
        network.at(network.now + 3 * network.default_link.delay_ms, lambda: self._send_frame(0))

    def _try_spend(self, process: VirtualProcess[Any], size: int) -> bool:
        """Spend `size` bytes of the process's budget and count them; return whether the budget allowed it."""
        now = self._network.now
        if not process.transfer_budget.try_spend(now, size):
            return False
        second = int(now // 1000)
        process.transfer_bytes[second] = process.transfer_bytes.get(second, 0) + size
        return True

    def _is_connected(self) -> bool:
        if not self._source.is_running or not self._target.is_alive:
            return False
        source = self._source_name
        target = self._target.name
        for direction in ((source, target), (target, source)):
            link = self._network.links.get(direction)
            if link is not None and link.is_cut:
                return False
        return True

    def _send_frame(self, first: int) -> None:
        """Send the frame of members from index `first` on, as soon as the source's byte budget allows."""
        network = self._network
        if not self._is_connected() or network.now > self._deadline:
            self._source.transfers_served -= 1
            return
        end = first + ENTRIES_PER_FRAME
        now = self._source.clock(network.now)
        entries = [member.gossip_entry(now) for member in self._members[first:end]]
        size = sum(map(encoded_size, entries)) + FRAME_BYTES
        if first == 0:
            size += HANDSHAKE_BYTES
        if not self._try_spend(self._source, size):
            network.at(network.now + BUDGET_RETRY_MS, lambda: self._send_frame(first))
            return
        arrives_at = network.now + self._draw_delay_ms()
        self._entries.extend(entries)
        if end < len(self._members):
            network.at(arrives_at, lambda: self._send_frame(end))
        else:
            network.at(arrives_at, self._finish)

    def _draw_delay_ms(self) -> float:
        """Draw the delay of a frame in ms, retransmissions of lost segments included."""
        rng = self._network.rng
        link = self._network.current_link(self._source_name, self._target.name)
        delay_ms = link.delay_ms + rng.random() * link.jitter_ms
        retransmission_ms = RETRANSMISSION_MS
        while rng.random() < link.loss and delay_ms < TRANSFER_TIMEOUT_MS:
            delay_ms += retransmission_ms
            retransmission_ms *= 2
        return delay_ms

    def _finish(self) -> None:
        self._source.transfers_served -= 1
        if not self._target.is_running or self._network.now > self._deadline:
            return
        now = self._target.clock(self._network.now)
        detector = self._target.detector
        for entry in self._entries:
            detector.table.merge_entry(
                entry, self._requested_at, detector.suspicion_ms, now, detector.max_age_ms
            )
