"""Configuration as a format: typed structs, decoded with every fault told at once.

`faults.decode` serves any format made of msgspec structs, the node's own (`model`) and the lab's scenarios
alike. A node imports this package only for a file in its own format: the platform's JSON needs none of it.
"""
