"""The lab: a simulation of the whole fleet around the real node, in virtual time or on loopback.

The code of a node never imports this package.
"""
