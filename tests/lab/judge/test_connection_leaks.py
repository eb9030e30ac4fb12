"""The rule `leak` on connections of nodes."""

from support.judge import attempt, request, violated_rules

from flintridge.lab import records as r


def connection_counts(counts) -> list[r.AnyRecord]:
    samples = enumerate(counts)
    return [r.ConnectionCount(at_ms=i * 1000.0, node="n0", server_side=n, client_side=9) for i, n in samples]


def test_connections_when_more_than_needed_then_violate_the_rule_on_leaks():
    nodes = {"sockets": 2000}
    assert violated_rules(connection_counts(range(40, 440, 20)), nodes=nodes) == {"leak": 1}
    assert violated_rules(connection_counts([*range(40, 240, 20), *[240] * 10]), nodes=nodes) == {}
    assert violated_rules(connection_counts([500] * 20), nodes={"sockets": 600}) == {}
    assert violated_rules(connection_counts([500] * 20), nodes={"sockets": 500}) == {"leak": 1}
    # Ten connections are enough for the attempts in flight. A leak that reaches the limit of descriptors no
    # longer grows, so it has to be found by its size.
    few = [x for i in range(10) for x in attempt(1000 + i / 10, f"f{i}", connection=i, time_left_ms=9000.0)]
    few += [request(990, f"f{i}", connection=i) for i in range(10)]
    assert violated_rules([*connection_counts([238] * 20), *few], nodes=nodes).get("leak") == 1
    assert "leak" not in violated_rules([*connection_counts([70] * 20), *few], nodes=nodes)
    # The attempts in flight grow as well, so the growth of connections comes from the load.
    load = [
        x for i in range(300) for x in attempt(16_000 + i / 10, f"u{i}", connection=i, time_left_ms=2000.0)
    ]
    assert violated_rules([*connection_counts(range(40, 440, 20)), *load], nodes=nodes) == {}
