"""Days that the search kept, shrunk to the least that still went wrong: what they found is mended.

Each file of `tests/kept_days` is an ordinary scenario. Its name is RULE_WORDS-SEED.toml (`goodput` for one
that fell behind, which then expects more), and its `about` says what was wrong. To play one by hand:
`flintridge lab run tests/kept_days/FILE --seed SEED`.
"""

from pathlib import Path

import pytest

from flintridge.lab.run import play
from flintridge.lab.scenario.load import load

FOUND = sorted((Path(__file__).parent / "kept_days").glob("*.toml"))


def test_days_are_kept():
    """Guards against a folder that is not in the checkout: no day would be played, and nothing would fail."""
    assert len(FOUND) >= 4


@pytest.mark.parametrize("path", FOUND, ids=lambda path: path.stem)
def test_what_was_found_stays_mended(path):
    rule, _, seed = path.stem.rpartition("-")
    result = play(load(path), int(seed))
    kind = rule.split("_")[0]
    assert result.requests and (kind in result.rules or kind == "goodput")
    assert result.violation_count == 0, result.violations[:3]
    assert result.expectation == ""
