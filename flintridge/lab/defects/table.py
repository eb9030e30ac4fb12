"""The planted defects by name: what applies each, which rules must catch it, and a day on which it shows."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from flintridge.lab.defects import endings, membership, planted, sharing
from flintridge.lab.scenario.model import Scenario
from flintridge.node import Node

BASE: dict[str, Any] = {
    "length_s": 12.0,
    "warmup_s": 3.0,
    "load": {"rate_per_s": 60.0},
    "clients": {"leave_early": 0.0},
    "wall_limit_s": 120.0,
}


@dataclass(frozen=True)
class Defect:
    """A mistake. At least one of the rules in `caught_by` must be broken on the day of `hints`, and none on
    the same day by a sound node. `hints` are laid over `BASE`, table by table."""

    apply: Callable[[Node], None]
    caught_by: frozenset[str]
    hints: Mapping[str, Any] = field(default_factory=dict)

    @property
    def about(self) -> str:
        return (self.apply.__doc__ or "").strip()

    def scenario(self, name: str) -> Scenario:
        """The day on which it shows. Raises msgspec.ValidationError where the hints are wrong."""
        built: dict[str, Any] = {"name": name}
        for source in (BASE, self.hints):
            for key, value in source.items():
                old = built.get(key)
                both = isinstance(value, Mapping) and isinstance(old, Mapping)
                built[key] = {**old, **value} if both and old is not None else value
        return msgspec.convert(built, Scenario)


def _class(name: str, **values: Any) -> dict[str, Any]:
    return {"name": name, "work_ms": 20.0, **values}


READS = _class("read")
# Writes go to the origin, which here takes longer for one than a hasty node would wait.
SLOW_ORIGIN = {"read_ms": 250.0, "sigma": 0.1, "write_times": 1.5, "slots": 32}
KEYED_DAY = {
    "classes": [
        READS,
        _class("put", share=0.2, write=True, effect="keyed", window_ms=200.0, deadline_ms=4000.0),
    ],
    "origin": SLOW_ORIGIN,
    "keys": {"count": 500},
}
UNSAFE_DAY = {
    "classes": [READS, _class("pay", share=0.2, write=True, effect="unsafe", deadline_ms=4000.0)],
    "origin": SLOW_ORIGIN,
    "keys": {"count": 500},
}
UNSAFE_FAILS = {
    "classes": [READS, _class("pay", share=0.2, write=True, effect="unsafe", deadline_ms=2000.0)],
    "keys": {"count": 500},
    "faults": [{"what": "origin_down", "at_s": 3.0, "for_s": 6.0, "how": "errors"}],
}
OVERLOAD = {
    "classes": [_class("read", work_ms=100.0, aim_ms=500.0, deadline_ms=1500.0)],
    "load": {"rate_per_s": 350.0},
    "length_s": 5.0,
}
RESTART = {"faults": [{"what": "node_restart", "at_s": 5.0, "for_s": 5.0, "nodes": [0]}]}
NODE_DRAIN = {
    "faults": [{"what": "node_drain", "at_s": 2.0, "for_s": 5.0, "nodes": [0]}],
    "length_s": 12.0,
}
# The servers are busy, so that there is always something open when SIGTERM comes.
BUSY_RESTART = {**RESTART, "classes": [_class("read", work_ms=100.0)], "load": {"rate_per_s": 90.0}}
DRAIN = {"faults": [{"what": "drain", "at_s": 2.0, "for_s": 8.0, "count": 2}], "length_s": 14.0}
COLD = {
    "classes": [_class("read", work_ms=100.0)],
    "load": {"rate_per_s": 110.0},
    "faults": [{"what": "crash", "at_s": 2.0, "for_s": 2.0, "count": 1}],
    "length_s": 15.0,
}
ERRORS = {
    "limits": {"max_attempts": 2},
    "faults": [{"what": "quick_errors", "at_s": 2.0, "for_s": 8.0, "share": 1.0, "part": 0.6}],
}
LATE_STARTS = {
    "classes": [_class("read", work_ms=100.0)],
    "load": {"rate_per_s": 130.0},
    "faults": [{"what": "quick_errors", "at_s": 2.0, "for_s": 8.0, "share": 0.5, "part": 0.5}],
}
MANY_NODES = {**COLD, "nodes": {"count": 6}, "load": {"rate_per_s": 150.0}}
# Clients leave while their requests wait for a place.
LEAVERS = {**OVERLOAD, "clients": {"leave_early": 0.4}}
NEW_CONNECTIONS = {"clients": {"leave_early": 0.0, "once": 0.5}}
LATE_RETRIES = {
    "classes": [_class("read", deadline_ms=3000.0)],
    "faults": [{"what": "lost_answers", "at_s": 1.0, "for_s": 10.0, "share": 0.5, "part": 0.3}],
}
ALL_SILENT = {"faults": [{"what": "silence", "at_s": 3.0, "for_s": 5.0, "share": 1.0}]}
PIPELINED = {
    **ALL_SILENT,
    "clients": {"leave_early": 0.0, "pipeline": 8, "pools": 2},
    "load": {"rate_per_s": 100.0},
}
# Connections are busy all the time, so that they stay open after SIGTERM, and clients send on.
SENT_ON = {
    **BUSY_RESTART,
    "clients": {"leave_early": 0.0, "pipeline": 16, "pools": 1},
    "load": {"rate_per_s": 110.0},
}
FEW_SOCKETS = {"nodes": {"sockets": 256}, "load": {"rate_per_s": 100.0}}

# The nodes hear one another; few clients are needed for what they make of it.
PEERS = {"nodes": {"count": 4}, "peers": {}, "load": {"rate_per_s": 10.0}, "length_s": 30.0}
PEER_KILL = {**PEERS, "faults": [{"what": "node_kill", "at_s": 4.0, "for_s": 8.0, "nodes": [1]}]}
PEER_PAUSE = {
    **PEERS,
    # So many, and so few bytes, that after a pause it takes longer than a look to hear all anew.
    "nodes": {"count": 20},
    "peers": {"bytes_per_s": 4000.0},
    "length_s": 12.0,
    "faults": [{"what": "node_pause", "at_s": 4.0, "for_s": 2.6, "nodes": [0]}],
}
PEER_CUT = {
    **PEERS,
    "faults": [{"what": "peer_link", "at_s": 4.0, "for_s": 8.0, "nodes": [0], "both": True, "cut": True}],
}
PEER_DELAY = {
    **PEERS,
    "faults": [
        {"what": "peer_link", "at_s": 3.0, "for_s": 9.0, "nodes": [1], "add_ms": 3000.0, "both": True},
        {"what": "node_kill", "at_s": 6.0, "for_s": 5.0, "nodes": [1]},
    ],
}

# All traffic comes to the nodes of one zone, and far more of the tenant's than its quota.
LENT: dict[str, Any] = {
    "zones": ["east", "west"],
    "nodes": {"count": 4},
    "peers": {},
    "budgets": {"tenants": True, "strict": True},
    "classes": [READS | {"work_ms": 2.0}],
    "tenants": [{"name": "a", "quota_per_s": 20.0}],
    "load": {"rate_per_s": 120.0, "zone_skew": 0.5},
    "clients": {"leave_early": 0.0, "retries": 0},
}


def _defect(apply: Callable[[Node], None], *rules: str, hints: Mapping[str, Any] | None = None) -> Defect:
    return Defect(apply, frozenset(rules), hints or {})


DEFECTS: dict[str, Defect] = {
    "answer_after_deadline": _defect(planted.answer_after_deadline, "late", "lost"),
    "keyed_write_twice_past_window": _defect(planted.keyed_write_twice_past_window, "twice", hints=KEYED_DAY),
    "fresh_work_3s_after_drain": _defect(planted.fresh_work_3s_after_drain, "drain", hints=DRAIN),
    "refusal_held_back": _defect(planted.refusal_held_back, "held", hints=OVERLOAD),
    "value_mixed_up": _defect(planted.value_mixed_up, "mixed"),
    "dropped_at_sigterm": _defect(planted.dropped_at_sigterm, "lost", hints=BUSY_RESTART),
    "cold_budget_ignored": _defect(planted.cold_budget_ignored, "cold", hints=COLD),
    "cold_budget_not_divided": _defect(planted.cold_budget_not_divided, "cold", hints=MANY_NODES),
    "client_gone_ignored": _defect(endings.client_gone_ignored, "lost", hints=LEAVERS),
    "closes_first_requests": _defect(endings.closes_first_requests, "lost", hints=NEW_CONNECTIONS),
    "closes_what_it_read": _defect(endings.closes_what_it_read, "lost"),
    "retries_told_whole_time": _defect(planted.retries_told_whole_time, "altered", hints=LATE_RETRIES),
    "trouble_frees_requests": _defect(endings.trouble_frees_requests, "lost", hints=ALL_SILENT),
    "forgets_what_is_behind": _defect(endings.forgets_what_is_behind, "lost", hints=PIPELINED),
    "stops_too_soon_after_sigterm": _defect(endings.stops_too_soon_after_sigterm, "lost", hints=SENT_ON),
    "connection_leak": _defect(planted.connection_leak, "leak", hints=FEW_SOCKETS),
    "client_never_answered": _defect(planted.client_never_answered, "lost"),
    "retry_of_what_may_have_run": _defect(planted.retry_of_what_may_have_run, "twice", hints=UNSAFE_DAY),
    "refuses_what_may_have_run": _defect(planted.refuses_what_may_have_run, "twice", hints=UNSAFE_FAILS),
    "two_answers": _defect(planted.two_answers, "double", "garbled"),
    "invented_value": _defect(planted.invented_value, "invented"),
    "key_altered": _defect(planted.key_altered, "altered", "malformed"),
    "time_left_not_told": _defect(planted.time_left_not_told, "altered", hints=LATE_STARTS),
    "attempts_without_cap": _defect(planted.attempts_without_cap, "attempts", hints=ERRORS),
    "asks_after_the_answer": _defect(planted.asks_after_the_answer, "after_answer"),
    "slow_to_leave": _defect(planted.slow_to_leave, "stopped", hints=RESTART),
    "drain_ignored": _defect(planted.drain_ignored, "quiesced", hints=NODE_DRAIN),
    "stays_drained": _defect(planted.stays_drained, "quiesced", hints=NODE_DRAIN),
    "gap_ignored": _defect(membership.gap_ignored, "peers_gap", hints=PEER_PAUSE),
    "receipt_taken_for_proof": _defect(membership.receipt_taken_for_proof, "peers_stale", hints=PEER_DELAY),
    "hearsay_made_young": _defect(membership.hearsay_made_young, "peers_stale", hints=PEER_KILL),
    "lives_mixed_up": _defect(membership.lives_mixed_up, "peers_deaf", hints=PEER_KILL),
    "silent_never_probed": _defect(membership.silent_never_probed, "peers_deaf", hints=PEER_CUT),
    "bound_of_bytes_ignored": _defect(membership.bound_of_bytes_ignored, "peers_bytes", hints=PEERS),
    "cut_is_not_felt": _defect(membership.cut_is_not_felt, "peers_cut_off", hints=PEER_CUT),
    "loans_not_taken_off": _defect(sharing.loans_not_taken_off, "budget_sum", hints=LENT),
    "quota_not_taken": _defect(sharing.quota_not_taken, "quota_sum", hints=LENT),
    "breaks_on_leaving": _defect(planted.breaks_on_leaving, "stopped", hints=RESTART),
}
