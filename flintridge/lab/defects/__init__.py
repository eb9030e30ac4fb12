"""Planted defects: mistakes that a node could have, each with the rules of the judge that must report it.

They prove that the judge detects such mistakes. The node's own code knows nothing of them.
"""

from flintridge.lab.defects.catalog import DEFECTS, Defect

__all__ = ["DEFECTS", "Defect"]
