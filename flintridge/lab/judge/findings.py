"""The violations that the rules find: counts of all, and the proof of the first few."""

from collections.abc import Iterable

import msgspec

from flintridge.lab.records import Record
from flintridge.lab.result import Violation

_encoder = msgspec.json.Encoder()
MAX_PROOF_RECORDS = 40


class Findings:
    """Violations by rule; only the first `keep` of each keep their records.

    Attributes:
        counts: How many of each rule.
        violations: Those that are kept.
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
        """Count one violation.

        Args:
            rule: The rule's name.
            at_ms: When it was found.
            text: What was found.
            proof: The records that show it; None among them is passed over.
            request_id: The request that it is about.
            node: The node that it is about.
            server: The server that it is about.

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
