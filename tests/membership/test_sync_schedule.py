"""When a peer is asked for missing members."""

from support.membership import make_detector, make_message

from flintridge.membership.messages import MessageCodec, MessageKind
from flintridge.membership.sync_schedule import MAX_SYNCS


def test_next_sync_source_when_names_are_missing_then_returns_peers_up_to_the_limit():
    detector = make_detector(("n1", "n2", "n3"))
    codec, sources = MessageCodec("fleet", None), []
    for i in range(600):
        now = 100.0 * i
        detector.tick(now)
        pings = [
            ping
            for datagram in detector.take_datagrams()
            if (ping := codec.decode(datagram.data)).kind == MessageKind.PING and datagram.name == "n1"
        ]
        for ping in pings:
            ack = make_message(
                kind=MessageKind.ACK,
                probe_id=ping.probe_id,
                target_incarnation=7,
                echoed_sent_at=ping.sent_at,
                sequence=i + 1,
                sent_at=i,
            )
            detector.receive(now, codec.encode(ack))
        sources.append(detector.next_sync_source(now))
    assert {name for name in sources if name} == {"n1"}
    assert sum(map(bool, sources)) == MAX_SYNCS
    assert not any(sources[300:])
