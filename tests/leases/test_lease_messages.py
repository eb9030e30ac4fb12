"""The bytes of lease messages and digests, which processes of two versions exchange during an upgrade."""

import msgspec
import pytest

from flintridge.leases.fleet_limit import (
    EVEN_FRACTION_UNITS,
    FLOORS,
    ORIGIN_PERMITS,
    RETRIES,
    SLOW_START,
    FleetLimit,
    LeaseTerms,
)
from flintridge.leases.messages import (
    LeaseGrant,
    LeaseOffer,
    LeasePayload,
    LeaseRelease,
    LeaseRequest,
    LimitMessage,
    decode,
    encode,
)

TERMS = LeaseTerms(EVEN_FRACTION_UNITS, 250, 4_000.0)
DIGEST = bytes.fromhex("c7797a30")
PAYLOAD = LeasePayload(
    12.5,
    (LeaseOffer(DIGEST, 400),),
    (
        LimitMessage(DIGEST, LeaseRequest(7, 250, 1234.5, 980)),
        LimitMessage(DIGEST, LeaseGrant(3, 50, 99.0)),
        LimitMessage(DIGEST, LeaseRelease(9)),
    ),
)
ENCODED = bytes.fromhex(
    "93cb40290000000000009192c404c7797a30cd01909396c404c7797a300007ccfacb40934a0000000000cd03d4"
    "96c404c7797a30010332cb4058c000000000000096c404c7797a30020900cb000000000000000000"
)


def test_digest_of_a_limit_is_that_of_earlier_versions():
    permits = LeaseTerms(EVEN_FRACTION_UNITS, 250, 5_000.0, completion_ms=2_500.0)
    assert FleetLimit("quota a", 60.0, "requests a second", 3, TERMS).digest == DIGEST
    assert FleetLimit(ORIGIN_PERMITS, 6.0, "places", 3, permits).digest.hex() == "a32d9f3a"


def test_names_of_limits_are_those_that_earlier_versions_hash():
    assert (FLOORS, SLOW_START, RETRIES) == ("floors", "cold servers", "repeats")


def test_payload_when_encoded_has_the_bytes_of_earlier_versions():
    assert encode(PAYLOAD) == ENCODED
    assert decode(ENCODED) == PAYLOAD


@pytest.mark.parametrize(
    "wire",
    [
        [1.0, [[DIGEST, 1, 2]]],
        [1.0, [], [[DIGEST, 3, 1, 1, 0.0, 0]]],
        [1.0, [], [[DIGEST, 0, 1, 1, 0.0, 0, 0]]],
        [1.0, [], [[DIGEST, 0, 1, -1, 0.0, 0]]],
        [-1.0],
    ],
)
def test_payload_when_an_element_is_out_of_bounds_is_malformed(wire):
    assert decode(msgspec.msgpack.encode(wire)) is None


def test_payload_when_a_later_version_appends_an_element_is_read_without_it():
    assert decode(msgspec.msgpack.encode([1.0, [], [], "later"])) == LeasePayload(1.0)
