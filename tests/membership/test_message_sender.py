"""The bounds of the bytes that a node sends."""

from support.membership import (
    all_reachable,
    converged_fleet,
    make_detector,
    make_message,
)

from flintridge.membership.messages import MessageCodec, MessageKind


def test_send_when_pings_flood_the_node_leaves_bytes_for_its_own_probes():
    detector, codec = make_detector(), MessageCodec("fleet", None)
    own_pings = 0
    for i in range(4000):
        now = i * 2.5
        detector.receive(now, codec.encode(make_message(sequence=i + 1, probe_id=i, sent_at=int(now))))
        detector.tick(now)
        own_pings += sum(
            codec.decode(datagram.data).kind == MessageKind.PING for datagram in detector.take_datagrams()
        )
    assert own_pings >= 10
    assert detector.counters["unsent"] > 100


def test_send_when_half_of_the_fleet_restarts_keeps_each_second_within_the_budget():
    fleet = converged_fleet(30, bytes_per_s=3_000.0)
    for name in fleet.names[:15]:
        fleet.kill(name)
    fleet.run(3_000)
    for name in fleet.names[:15]:
        fleet.start(name)
    fleet.run(10_000)
    assert all(
        max(seconds.values(), default=0) <= 3_000
        for members in fleet.processes.values()
        for process in members
        for seconds in (process.datagram_bytes, process.transfer_bytes)
    )
    assert all_reachable(fleet)
