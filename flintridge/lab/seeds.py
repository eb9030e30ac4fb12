"""Named random generators, all derived from one seed.

Each part of a run has a generator of its own, so that its draws never change those of another part.
"""

import random


class Seeds:
    """Random generators by name, all derived from one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def of(self, name: str) -> random.Random:
        """Return a new generator for `name`, with the same draws in every process.

        `random` hashes a text seed with SHA-512, which gives the same result in every process.
        """
        return random.Random(f"{self.seed}/{name}")
