"""The violations that the rules find: counts of all, and the evidence for the first few of each rule."""

from collections.abc import Iterable

import msgspec

from flintridge.lab.records import Record
from flintridge.lab.result import Violation

_encoder = msgspec.json.Encoder()
MAX_PROOF_RECORDS = 40


class Findings:
    """Violations by rule: all are counted, and the first `keep` of each rule are kept with their records.

    Attributes:
        counts: Number of violations of each rule.
        violations: The violations that are kept.
    """

    def __init__(self, rules: Iterable[str], keep: int = 5) -> None:
        self.counts = dict.fromkeys(rules, 0)
        self.violations: list[Violation] = []
        self._keep = keep

    def add(
        self,
        rule: str,
        at_ms: float,
        text: str,
        proof: Iterable[Record | None],
        *,
        request_id: str = "",
        node: str = "",
        server: str = "",
    ) -> None:
        """Count a violation, and keep it if it is among the first `keep` of its rule.

        Args:
            rule: The rule's name.
            at_ms: When the rule was violated.
            text: Description of the violation.
            proof: The records that prove it; None entries are skipped.
            request_id: The request concerned; empty if there is none.
            node: The node concerned; empty if there is none.
            server: The server concerned; empty if there is none.

        Raises:
            KeyError: The rule is unknown.
        """
        self.counts[rule] += 1
        if self.counts[rule] > self._keep:
            return
        records = [record for record in proof if record is not None][:MAX_PROOF_RECORDS]
        records.sort(key=lambda record: record.at_ms)
        lines = [_encoder.encode(record).decode() for record in records]
        self.violations.append(
            Violation(
                rule=rule,
                at_ms=at_ms,
                request_id=request_id,
                node=node,
                server=server,
                text=text,
                records=lines,
            )
        )
