"""Fronts: what a caller's bytes mean, and the bytes of the answer. State machines, without sockets."""
