"""When acks for another process of this node's name show that two nodes have the same name."""

from flintridge.membership.duplicate_name import (
    DUPLICATE_NAME_MS,
    MAX_OTHER_INCARNATIONS,
    DuplicateNameDetector,
)


def test_acks_when_they_keep_arriving_for_another_incarnation_then_show_a_duplicate():
    detector = DuplicateNameDetector()
    assert not detector.receive_ack(5, 0.0)
    assert not detector.receive_ack(5, DUPLICATE_NAME_MS)
    assert not detector.receive_ack(6, DUPLICATE_NAME_MS + 1)
    assert detector.receive_ack(5, DUPLICATE_NAME_MS + 1)


def test_acks_when_cleared_in_between_then_count_from_the_next_one():
    detector = DuplicateNameDetector()
    detector.receive_ack(5, 0.0)
    detector.clear()
    assert not detector.receive_ack(5, DUPLICATE_NAME_MS + 1)
    assert detector.receive_ack(5, 2 * DUPLICATE_NAME_MS + 2)


def test_acks_when_there_are_too_many_incarnations_then_show_no_duplicate():
    detector = DuplicateNameDetector()
    for incarnation in range(MAX_OTHER_INCARNATIONS):
        detector.receive_ack(incarnation, 0.0)
    assert not detector.receive_ack(0, 10 * DUPLICATE_NAME_MS)
