"""What a node hears of the other nodes: presence and small facts by datagrams, exchanges for what is larger.

State machines without I/O, under the driver in `flintridge/membership/driver.py`. The bound of each, which
holds with nobody heard, messages lost, late, doubled and replayed, and processes paused, killed and started
anew: **no life is ever taken for fresher than it is** (but for the drift of two clocks over one probe), and
the bytes sent in any second stay under the configured ones. The reasons are in docs/design/peers.md.
"""
