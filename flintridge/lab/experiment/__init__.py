"""Experiments of many runs: comparisons, parameter sweeps, searches for failures, and scenario shrinking.

This package imports nothing, because a worker that loads the node from another source tree must redirect its
imports before any other module is loaded.
"""
