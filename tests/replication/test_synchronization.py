"""The synchronization state: waits for a peer, and which chunk a comparison expects next."""

import pytest

from flintridge.replication.comparison import SnapshotChunk, SyncState
from flintridge.replication.synchronization import Synchronization

SOURCE = ("a", 1)
WAIT_MS = 500.0


def chunk_of(comparison, end=8):
    return SnapshotChunk(comparison.number, comparison.cursor, end, True, (), ())


@pytest.mark.parametrize(
    ("peer_at", "chunk_at", "now", "is_over"),
    [
        (None, None, 499.0, False),
        (None, None, 500.0, True),
        (300.0, None, 799.0, False),
        (300.0, None, 800.0, True),
        (2_900.0, None, 2_999.0, False),
        (2_900.0, None, 3_000.0, True),
        (3_900.0, 1_000.0, 3_999.0, False),
        (3_900.0, 1_000.0, 4_000.0, True),
    ],
)
def test_wait_when_there_is_no_peer_or_none_delivers_chunks_is_over(peer_at, chunk_at, now, is_over):
    synchronization = Synchronization(0.0, WAIT_MS)
    if chunk_at is not None:
        synchronization.receive_synchronized_chunk(chunk_at)
    if peer_at is not None:
        synchronization.receive_synchronized_peer(peer_at)
    assert synchronization.is_wait_over(now) is is_over


def test_comparison_when_it_advances_expects_only_the_chunk_after_the_last_one():
    synchronization = Synchronization(0.0, WAIT_MS)
    comparison = synchronization.begin_or_resume(SOURCE)
    first = chunk_of(comparison)
    assert synchronization.state is SyncState.SYNCHRONIZING
    assert synchronization.expects(SOURCE, first)
    assert not synchronization.expects(("b", 1), first)
    advanced = synchronization.advance(SOURCE, first, rejected_entries=False)
    assert advanced.cursor == 8
    assert synchronization.begin_or_resume(SOURCE) == advanced
    assert not synchronization.expects(SOURCE, first)
    assert synchronization.expects(SOURCE, chunk_of(advanced))


def test_comparison_when_abandoned_expects_nothing_and_the_next_one_has_another_number():
    synchronization = Synchronization(0.0, WAIT_MS)
    synchronization.mark_synchronized()
    abandoned = synchronization.begin_or_resume(SOURCE)
    synchronization.abandon(SOURCE)
    assert synchronization.is_synchronized
    assert not synchronization.expects(SOURCE, chunk_of(abandoned))
    assert synchronization.begin_or_resume(SOURCE).number == abandoned.number + 1
