"""Days on which the search broke a rule, shrunk to the least that still did: the node they found is mended.

Each file of `tests/found` is an ordinary scenario; its name is RULE-SEED.toml, and its `about` says what was
wrong. `flintridge lab run tests/found/FILE --seed SEED` plays one by hand.
"""

from pathlib import Path

import pytest

from flintridge.lab.run import play
from flintridge.lab.scenario.load import load

FOUND = sorted((Path(__file__).parent / "found").glob("*.toml"))


@pytest.mark.parametrize("path", FOUND, ids=lambda path: path.stem)
def test_what_was_found_stays_mended(path):
    rule, _, seed = path.stem.rpartition("-")
    result = play(load(path), int(seed))
    assert rule.split("_")[0] in result.rules and result.requests
    assert result.broken == 0, result.breaches[:3]
