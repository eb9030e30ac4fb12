"""Planted defects: errors that a node's code could have, each with the judge's rules that must report it.

They test that the judge detects such errors. The node's own code does not refer to them.
"""

from flintridge.lab.defects.catalog import DEFECTS, Defect

__all__ = ["DEFECTS", "Defect"]
