"""The violations that the rules find: counts of all, and the proof of the first few."""

from collections.abc import Iterable

import msgspec

from flintridge.lab.records import Record
from flintridge.lab.result import Violation

_encoder = msgspec.json.Encoder()
MAX_PROOF_RECORDS = 40


class Findings:
    """Violations by rule; only the first `keep` of each keep their records."""

    def __init__(self, rules: Iterable[str], keep: int = 5) -> None:
        self.counts = {rule: 0 for rule in rules}
        self.violations: list[Violation] = []
        self._keep = keep

    def add(
        self,
        rule: str,
        t: float,
        text: str,
        proof: Iterable[Record | None],
        *,
        uid: str = "",
        node: str = "",
        server: str = "",
    ) -> None:
        """Count one violation of `rule`, found at `t` ms.

        Raises:
            KeyError: There is no such rule.
        """
        self.counts[rule] += 1
        if self.counts[rule] > self._keep:
            return
        records = [record for record in proof if record is not None][:MAX_PROOF_RECORDS]
        records.sort(key=lambda record: record.at_ms)
        lines = [_encoder.encode(record).decode() for record in records]
        self.violations.append(
            Violation(rule=rule, at_ms=t, request_id=uid, node=node, server=server, text=text, records=lines)
        )
