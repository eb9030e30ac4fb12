"""Acks for another process of this node's name: when they show that two nodes have one name."""

from flintridge.membership.duplicate_name import (
    DUPLICATE_NAME_MS,
    MAX_OTHER_INCARNATIONS,
    DuplicateNameDetector,
)


def test_acks_for_another_incarnation_when_they_go_on_show_a_duplicate():
    detector = DuplicateNameDetector()
    assert not detector.receive_ack(5, 0.0)
    assert not detector.receive_ack(5, DUPLICATE_NAME_MS)
    assert not detector.receive_ack(6, DUPLICATE_NAME_MS + 1)
    assert detector.receive_ack(5, DUPLICATE_NAME_MS + 1)


def test_acks_when_cleared_between_count_from_the_next_one():
    detector = DuplicateNameDetector()
    detector.receive_ack(5, 0.0)
    detector.clear()
    assert not detector.receive_ack(5, DUPLICATE_NAME_MS + 1)
    assert detector.receive_ack(5, 2 * DUPLICATE_NAME_MS + 2)


def test_acks_when_there_are_too_many_incarnations_show_nothing():
    detector = DuplicateNameDetector()
    for incarnation in range(MAX_OTHER_INCARNATIONS):
        detector.receive_ack(incarnation, 0.0)
    assert not detector.receive_ack(0, 10 * DUPLICATE_NAME_MS)
