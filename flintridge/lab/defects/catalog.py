"""The planted defects by name, each with the function that plants it, its rules and its scenario."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from flintridge.lab.defects import (
    attempts,
    connections,
    endpoints,
    fleet_limits,
    membership,
    responses,
    scenarios,
    shutdown,
)
from flintridge.lab.defects.scenarios import ScenarioTables
from flintridge.lab.scenario.model import Scenario
from flintridge.node import Node


@dataclass(frozen=True)
class Defect:
    """A defect to plant in a node, and the rules that must report it.

    Attributes:
        apply: Plants the defect in a node that was just built.
        detecting_rules: The names of rules. A node with the defect must violate at least one of them in the
            defect's scenario. A node without a defect must violate none there.
        hints: The tables of the scenario that differ from `scenarios.BASE`; merged with it table by table.
    """

    apply: Callable[[Node], None]
    detecting_rules: frozenset[str]
    hints: ScenarioTables = field(default_factory=dict)

    @property
    def description(self) -> str:
        """What a node with the defect does wrong."""
        return (self.apply.__doc__ or "").strip()

    def scenario(self, name: str) -> Scenario:
        """Build the scenario in which the judge must report the defect.

        Args:
            name: The name of the scenario.

        Raises:
            msgspec.ValidationError: `BASE` with the hints is not a valid scenario.
        """
        tables: dict[str, Any] = {"name": name}
        for overlay in (scenarios.BASE, self.hints):
            for key, value in overlay.items():
                current = tables.get(key)
                if isinstance(value, Mapping) and isinstance(current, Mapping):
                    tables[key] = {**current, **value}
                else:
                    tables[key] = value
        return msgspec.convert(tables, Scenario)


def _defect(apply: Callable[[Node], None], *rules: str, hints: ScenarioTables | None = None) -> Defect:
    return Defect(apply, frozenset(rules), hints or {})


# The keys are the values of `lab run --defect`; each is also the name of the function that plants the defect.
DEFECTS: dict[str, Defect] = {
    "answer_after_deadline": _defect(responses.answer_after_deadline, "late", "lost"),
    "keyed_write_twice_past_window": _defect(
        attempts.keyed_write_twice_past_window, "twice", hints=scenarios.KEYED_WRITES
    ),
    "fresh_work_3s_after_drain": _defect(
        endpoints.fresh_work_3s_after_drain, "drain", hints=scenarios.SERVER_DRAIN
    ),
    "refusal_held_back": _defect(responses.refusal_held_back, "held", hints=scenarios.OVERLOAD),
    "value_mixed_up": _defect(responses.value_mixed_up, "mixed"),
    "dropped_at_sigterm": _defect(shutdown.dropped_at_sigterm, "lost", hints=scenarios.BUSY_NODE_RESTART),
    "cold_budget_ignored": _defect(endpoints.cold_budget_ignored, "cold", hints=scenarios.SERVER_RESTART),
    "cold_budget_not_divided": _defect(
        endpoints.cold_budget_not_divided, "cold", hints=scenarios.SERVER_RESTART_MANY_NODES
    ),
    "client_gone_ignored": _defect(
        connections.client_gone_ignored, "lost", hints=scenarios.CLIENTS_DISCONNECT
    ),
    "closes_first_requests": _defect(
        connections.closes_first_requests, "lost", hints=scenarios.NEW_CONNECTIONS
    ),
    "closes_what_it_read": _defect(connections.closes_what_it_read, "lost"),
    "retries_told_whole_time": _defect(
        attempts.retries_told_whole_time, "altered", hints=scenarios.LOST_RESPONSES
    ),
    "trouble_frees_requests": _defect(
        responses.trouble_frees_requests, "lost", hints=scenarios.SERVERS_UNRESPONSIVE
    ),
    "forgets_what_is_behind": _defect(responses.forgets_what_is_behind, "lost", hints=scenarios.PIPELINED),
    "stops_too_soon_after_sigterm": _defect(
        shutdown.stops_too_soon_after_sigterm, "lost", hints=scenarios.REQUESTS_AFTER_SIGTERM
    ),
    "connection_leak": _defect(endpoints.connection_leak, "leak", hints=scenarios.FEW_SOCKETS),
    "client_never_answered": _defect(responses.client_never_answered, "lost"),
    "retry_of_what_may_have_run": _defect(
        attempts.retry_of_what_may_have_run, "twice", hints=scenarios.UNSAFE_WRITES
    ),
    "refuses_what_may_have_run": _defect(
        attempts.refuses_what_may_have_run, "twice", hints=scenarios.UNSAFE_WRITES_FAIL
    ),
    "two_answers": _defect(responses.two_answers, "double", "garbled"),
    "invented_value": _defect(responses.invented_value, "invented"),
    "key_altered": _defect(attempts.key_altered, "altered", "malformed"),
    "time_left_not_told": _defect(
        attempts.time_left_not_told, "altered", hints=scenarios.RETRIES_OF_QUICK_ERRORS
    ),
    "attempts_without_cap": _defect(attempts.attempts_without_cap, "attempts", hints=scenarios.QUICK_ERRORS),
    "asks_after_the_answer": _defect(attempts.asks_after_the_answer, "after_answer"),
    "slow_to_leave": _defect(shutdown.slow_to_leave, "stopped", hints=scenarios.NODE_RESTART),
    "drain_ignored": _defect(shutdown.drain_ignored, "quiesced", hints=scenarios.NODE_DRAIN),
    "stays_drained": _defect(shutdown.stays_drained, "quiesced", hints=scenarios.NODE_DRAIN),
    "gap_ignored": _defect(membership.gap_ignored, "peers_gap", hints=scenarios.PEER_PAUSE),
    "receipt_taken_for_proof": _defect(
        membership.receipt_taken_for_proof, "peers_stale", hints=scenarios.PEER_DELAY
    ),
    "hearsay_made_young": _defect(membership.hearsay_made_young, "peers_stale", hints=scenarios.PEER_KILL),
    "lives_mixed_up": _defect(membership.lives_mixed_up, "peers_deaf", hints=scenarios.PEER_KILL),
    "silent_never_probed": _defect(
        membership.silent_never_probed, "peers_deaf", hints=scenarios.PEER_PARTITION
    ),
    "bound_of_bytes_ignored": _defect(
        membership.bound_of_bytes_ignored, "peers_bytes", hints=scenarios.PEERS
    ),
    "cut_is_not_felt": _defect(membership.cut_is_not_felt, "peers_cut_off", hints=scenarios.PEER_PARTITION),
    "loans_not_taken_off": _defect(
        fleet_limits.loans_not_taken_off, "budget_sum", hints=scenarios.LEASED_QUOTA
    ),
    "quota_not_taken": _defect(fleet_limits.quota_not_taken, "quota_sum", hints=scenarios.LEASED_QUOTA),
    "breaks_on_leaving": _defect(shutdown.breaks_on_leaving, "stopped", hints=scenarios.NODE_RESTART),
}
