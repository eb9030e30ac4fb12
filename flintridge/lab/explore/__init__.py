"""All that can happen to a few processes, breadth first, so that what breaks has the shortest story."""

from flintridge.lab.explore.search import Explored, World, explore

__all__ = ["Explored", "World", "explore"]
