"""Membership: which nodes of the fleet are alive, by gossip in bounded datagrams and exchanges over TCP.

State machines without I/O, under the driver in `flintridge/membership/driver.py`. The bound of each, which
holds with nobody reachable, messages lost, late, doubled and replayed, and processes paused, killed and
started anew: **no process is ever taken to have been alive later than it was** (but for the drift of two
clocks over one probe), and the bytes sent in any second stay under the configured ones. The reasons are in
docs/design/membership.md.
"""
