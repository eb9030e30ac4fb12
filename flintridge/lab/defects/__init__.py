"""Planted defects: mistakes that a node could have, each with the rules that must catch it.

A judge that cannot see a mistake is worth nothing; these show that it does. The node knows none of this.
"""

from flintridge.lab.defects.table import DEFECTS, Defect

__all__ = ["DEFECTS", "Defect"]
