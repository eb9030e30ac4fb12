"""Fleet-wide limits that processes lease one another: the sum of what all may use never exceeds the limit.

`allocation` holds the rule, `lease_manager` chooses whom to ask and what to release, `messages` encodes what
is exchanged; none of them has I/O. `driver` gives them a clock, the peers and the policy. The reasons are in
docs/design/leases.md.
"""
