"""All randomness of a run from one seed, by name: what one part draws never changes another's draws."""

import random


class Seeds:
    """Random generators by name, all from one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def of(self, name: str) -> random.Random:
        """A generator of its own for `name`, the same in every process (text seeds go through SHA-512)."""
        return random.Random(f"{self.seed}/{name}")
