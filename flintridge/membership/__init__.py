"""Membership: which nodes of the fleet are alive, by gossip in bounded datagrams and exchanges over TCP.

The protocol is a set of state machines without I/O, run by `flintridge/membership/driver.py`. Two bounds
always hold: **no process is ever taken to have been alive later than it was**, apart from the drift of two
clocks over one probe, and the bytes sent in any second stay within the configured limit. They hold while
nobody is reachable, while messages are lost, delayed, duplicated or replayed, and while processes are
paused, killed or restarted. The reasons are in docs/design/membership.md.
"""
