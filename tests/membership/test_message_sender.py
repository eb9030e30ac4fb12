"""The bounds of the bytes that are sent."""

from support.membership import (
    all_reachable,
    converged_fleet,
    make_detector,
    make_message,
)

from flintridge.membership.messages import MessageCodec, MessageKind


def test_send_when_pings_flood_the_node_leaves_bytes_for_its_own_probes():
    machine, codec = make_detector(), MessageCodec("fleet", None)
    own = 0
    for i in range(4000):
        now = i * 2.5
        machine.receive(now, codec.encode(make_message(sequence=i + 1, probe_id=i, sent_at=int(now))))
        machine.tick(now)
        own += sum(
            codec.decode(datagram.data).kind == MessageKind.PING for datagram in machine.take_datagrams()
        )
    assert own >= 10
    assert machine.counters["unsent"] > 100


def test_send_when_half_of_the_fleet_restarts_keeps_each_second_within_the_budget():
    machines = converged_fleet(30, bytes_per_s=3_000.0)
    for name in machines.names[:15]:
        machines.kill(name)
    machines.run(3_000)
    for name in machines.names[:15]:
        machines.start(name)
    machines.run(10_000)
    assert all(
        max(seconds.values(), default=0) <= 3_000
        for members in machines.processes.values()
        for process in members
        for seconds in (process.datagram_bytes, process.transfer_bytes)
    )
    assert all_reachable(machines)
