"""The lab: a model of the whole fleet round the real node, in virtual time or on loopback.

A node never imports it.
"""
