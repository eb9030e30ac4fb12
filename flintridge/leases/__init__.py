"""What all processes may use together, in holdings that are lent between them and never sum up to more.

State machines without I/O. Not yet in a node: so far the rule itself, tried in all interleavings of a few
processes by `flintridge.lab.explore`. The reasons are in docs/design/budgets.md.
"""
