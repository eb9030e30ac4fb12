"""Exhaustive exploration of the replication and lease protocols: all interleavings of a few processes.

`search` is a breadth-first search over states, so that the path to a violation is as short as possible.
`replicas` and `leases` define the states, transitions and invariants of the two protocols.
"""

from flintridge.lab.explore.search import ExplorationResult, State, explore

__all__ = ["ExplorationResult", "State", "explore"]
