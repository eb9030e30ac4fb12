"""Where the rules put what they find: counts of all, and the proof of the first few."""

from collections.abc import Iterable

import msgspec

from flintridge.lab.records import Record
from flintridge.lab.result import Breach

_encoder = msgspec.json.Encoder()
MOST_LINES = 40  # of a proof


class Findings:
    """Breaches by rule; only `keep` of each are kept with their records."""

    def __init__(self, rules: Iterable[str], keep: int = 5) -> None:
        self.counts = {rule: 0 for rule in rules}
        self.breaches: list[Breach] = []
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
        """Count one breach of `rule`, found at `t` ms. Raises KeyError for a rule that there is none of."""
        self.counts[rule] += 1
        if self.counts[rule] > self._keep:
            return
        records = [record for record in proof if record is not None][:MOST_LINES]
        records.sort(key=lambda record: record.t)
        lines = [_encoder.encode(record).decode() for record in records]
        self.breaches.append(
            Breach(rule=rule, t=t, uid=uid, node=node, server=server, text=text, lines=lines)
        )
