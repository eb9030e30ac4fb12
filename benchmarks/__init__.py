"""Benchmarks of the cost of the node, the policy and the lab, and of the gain by the node's mechanisms."""
