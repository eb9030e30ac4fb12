"""Rejected requests: how their retries are recognized, and when they are forgotten."""

import random

import pytest
from support.policy import MS, START, S, open_request

from flintridge import api
from flintridge.policy.mechanisms import Mechanisms
from flintridge.policy.rejected_requests import MAX_REMEMBERED_REJECTIONS, RejectedRequests, Rejection

CLASSES = (api.RequestClass(deadline_ns=2 * S), api.RequestClass(deadline_ns=4 * S))


def rejected(*requests, max_remembered=100) -> RejectedRequests:
    made = RejectedRequests(CLASSES, max_remembered)
    for request in requests:
        made.record(request, START)
    return made


@pytest.mark.parametrize(
    ("changes", "is_matched"),
    [
        ({}, True),
        ({"id": "another"}, True),
        ({"retry": True}, True),
        ({"class_index": 1}, False),
        ({"tenant": 1}, False),
        ({"key": "other"}, False),
        ({"work_ns": 2 * MS}, False),
    ],
)
def test_a_retry_is_recognized_by_the_properties_of_the_rejected_request(changes, is_matched):
    made = rejected(open_request(work_ns=MS, over_quota=True, first_arrived_at=START - 5))
    again = open_request(**({"work_ns": MS} | changes)).event
    found = made.pop_match(again, START + 1)
    assert found == (Rejection(START - 5, True) if is_matched else None)
    assert len(made) == (0 if is_matched else 1)  # it matches only once


@pytest.mark.parametrize(
    ("class_index", "after", "is_matched"), [(0, 2 * S, False), (0, 2 * S - 1, True), (1, 2 * S, True)]
)
def test_a_rejection_is_forgotten_once_its_client_has_given_up(class_index, after, is_matched):
    made = rejected(open_request(class_index=class_index))
    again = open_request(class_index=class_index, retry=True).event
    assert (made.pop_match(again, START + after) is not None) is is_matched


def test_the_number_of_rejections_is_limited_and_the_oldest_are_dropped_first():
    made = rejected(*(open_request(f"k{i}") for i in range(10)), max_remembered=4)
    assert len(made) == 4
    assert made.pop_match(open_request("k5", retry=True).event, START) is None
    assert made.pop_match(open_request("k6", retry=True).event, START) is not None
    made.record(open_request("new", now=START + 9 * S), START + 9 * S)
    assert len(made) == 2  # each new entry drops two whose clients have given up


def test_a_policy_remembers_a_bounded_number_of_rejections_whatever_may_be_open():
    limits = api.Limits(max_open=10 * MAX_REMEMBERED_REJECTIONS)
    made = Mechanisms(api.Settings(classes=CLASSES, limits=limits), random.Random(1)).rejected
    for number in range(MAX_REMEMBERED_REJECTIONS + 10):
        made.record(open_request(key=f"key{number}"), START)
    assert len(made) == MAX_REMEMBERED_REJECTIONS
