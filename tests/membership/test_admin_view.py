"""The JSON of GET /admin/peers, whose names clients of the admin API read."""

from support.membership import make_detector, make_message

from flintridge.config.address import Address
from flintridge.config.node_config import PeersConfig
from flintridge.membership.admin_view import membership_view
from flintridge.membership.messages import MessageCodec

CONFIG = PeersConfig(Address("127.0.0.1", 0), (("n1", Address("127.0.0.1", 1)),), "fleet", None, 8_000.0)


def test_view_when_encoded_then_has_its_public_names_in_order():
    detector = make_detector()
    data = MessageCodec("fleet", None).encode(
        make_message(target_incarnation=7, echoed_sent_at=1, refutations=2)
    )
    assert detector.receive(50.0, data)
    assert detector.receive(60.0, data) is None  # a replay
    detector.refresh(300.0)
    view = membership_view(CONFIG, detector, owns_address=True, now=300.0)
    members = view.pop("lives")
    counts = view.pop("counts")
    assert list(view.items()) == [
        ("name", "n0"),
        ("life", "7"),
        ("fleet", "fleet"),
        ("sealed", False),
        ("holds_address", True),
        ("heard", 2),
        ("of", 3),
        ("epoch", 1),
        ("heard_for_ms", 0),
        ("limit_ms", 4300),
        ("slowness", 0),
        ("bytes_per_s", 8_000.0),
    ]
    assert [list(member.items()) for member in members] == [
        [
            ("name", "n1"),
            ("life", "9"),
            ("state", "heard"),
            ("heard_ms_ago", 300),
            ("told_ms_ago", None),
            ("round_trip_ms", 50.0),
            ("incarnation", 2),
            ("bytes_in", len(data)),
            ("refused", 1),
        ],
        [("name", "n2"), ("life", None), ("state", "silent")],
    ]
    assert list(counts) == sorted(counts)
    assert counts["dropped_replayed"] == 1


def test_view_when_nothing_was_received_then_has_only_the_configured_names():
    view = membership_view(CONFIG, make_detector(), owns_address=False, now=1.0)
    assert view["lives"] == [{"name": name, "life": None, "state": "silent"} for name in ("n1", "n2")]
    assert (view["heard"], view["of"], view["holds_address"]) == (1, 3, False)
