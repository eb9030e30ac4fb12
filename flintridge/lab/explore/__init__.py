"""Exhaustive exploration of the replication and lease rules: all interleavings of a few processes.

`search` is the breadth-first search over states, so that a violation has the shortest path; `replicas` and
`leases` are the states and transitions of the two rules.
"""

from flintridge.lab.explore.search import ExplorationResult, State, explore

__all__ = ["ExplorationResult", "State", "explore"]
