"""Estimated starts of servers while the wall clock may be wrong: single cases, and a model of a day."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED

from flintridge.discovery.server_starts import (
    CLOCK_SKEW_MS,
    DATE_TOLERANCE_MS,
    MAX_DEPARTED,
    MAX_LISTING_DELAY_MS,
    ListArrival,
    OriginEvidence,
    ReportedStart,
    ServerStarts,
)
from flintridge.runtime.clock import to_ns

UNIX_MS = 1_700_000_000_000.0  # at the instant 0 of the node's clock
HOUR_MS = 3_600_000.0


class Node:
    """The starts as estimated by a node whose wall clock was `ahead_ms` ahead when it started, at instant 0.

    Instants are milliseconds since then; a server's reported start is the real one.
    """

    def __init__(self, ahead_ms: float = 0.0) -> None:
        self.starts = ServerStarts(lambda unix_ms: unix_ms - (UNIX_MS + ahead_ms))

    def full(self, at: float, date: float | None = None, live: bool = True, **started: float) -> bool:
        return self.receive(ListArrival(at, True, live, None if date is None else UNIX_MS + date), started)

    def change(self, at: float, date: float | None = None, **started: float) -> bool:
        return self.receive(ListArrival(at, False, True, None if date is None else UNIX_MS + date), started)

    def gone(self, at: float, server: str) -> bool:
        return self.starts.record_list(ListArrival(at, False), [ReportedStart(server, 1.0, gone=True)])

    def receive(self, arrival: ListArrival, started: dict[str, float]) -> bool:
        return self.starts.record_list(
            arrival, [ReportedStart(server, UNIX_MS + instant) for server, instant in started.items()]
        )

    def start(self, server: str) -> float:
        return self.starts.started_at(server) / 1e6


# A right clock


def test_starts_when_the_clock_is_right_and_lists_arrive_in_time_then_are_exactly_the_converted_instants():
    def from_unix(unix_ms: float) -> float:
        return unix_ms - 1_699_999_999_876.543

    starts = ServerStarts(from_unix)
    reported = {"a": 1_699_999_000_000.0, "b": 1_700_000_002_001.0, "c": 1_700_000_003_500.0}
    for at, server in ((500.0, "a"), (4_000.0, "b"), (5_000.0, "c")):
        assert not starts.record_list(ListArrival(at, False), [ReportedStart(server, reported[server])])
    again = [ReportedStart(name, reported[name]) for name in reversed(reported)]
    assert not starts.record_list(ListArrival(9_000.0, True), again)
    assert [starts.started_at(name) for name in reported] == [
        to_ns(from_unix(reported[name])) for name in reported
    ]
    assert (starts.correction_ms, starts.evidence) == (0.0, OriginEvidence.LOCAL_CLOCK)


def test_start_when_long_ago_or_gone_or_never_reported_is_zero():
    node = Node()
    node.starts.record_list(ListArrival(0.0, True), [ReportedStart("old", 0.0)])
    node.starts.record_list(ListArrival(60_000.0, False), [ReportedStart("later", 0.0)])
    node.change(60_001.0, ended=60_000.0)
    node.gone(60_002.0, "ended")
    assert [node.start(name) for name in ("old", "later", "ended", "unknown")] == [0.0] * 4


def test_start_when_it_falls_on_the_clocks_origin_is_not_long_ago():
    node = Node()
    node.full(1_000.0, a=0.0)
    assert node.starts.started_at("a") == 1


# A clock that is behind: no server starts in the future


def test_starts_when_the_clock_is_an_hour_behind_keep_their_ages_and_only_the_newest_looks_new():
    node = Node(ahead_ms=-HOUR_MS)
    assert node.full(10_000.0, a=-2 * HOUR_MS, b=-60_000.0, c=9_000.0)
    assert node.starts.evidence is OriginEvidence.SERVER_STARTS
    # Off by the time from the newest start to the arrival of its report; no server seems older than it is.
    assert [node.start(name) for name in "abc"] == [-2 * HOUR_MS + 1_000, -59_000, 10_000]


def test_starts_when_a_server_is_reported_quicker_than_all_before_then_are_corrected_again():
    node = Node(ahead_ms=-HOUR_MS)
    node.full(100_000.0, a=0.0)
    assert node.start("a") == 100_000
    assert node.change(120_000.0, b=119_500.0)
    assert (node.start("a"), node.start("b")) == (500, 120_000)


def test_start_when_it_is_ahead_by_less_than_the_clock_skew_then_is_no_evidence():
    node = Node()
    assert not node.full(1_000.0, a=1_000.0 + CLOCK_SKEW_MS)
    assert node.start("a") == 1_000.0 + CLOCK_SKEW_MS


def test_start_when_it_is_not_a_valid_time_then_moves_no_other_and_is_new():
    node = Node()
    nanoseconds = UNIX_MS * 1e6
    assert not node.full(1_000.0, a=-5_000.0, b=nanoseconds)
    assert (node.start("a"), node.start("b")) == (-5_000, 1_000)


# A clock that is ahead: a server that appears on a running watch is new


def test_starts_when_a_new_server_shows_that_the_clock_is_an_hour_ahead_are_all_corrected():
    node = Node(ahead_ms=HOUR_MS)
    assert not node.full(10_000.0, a=-2 * HOUR_MS, b=9_000.0)
    assert node.start("b") == 9_000 - HOUR_MS  # nothing has shown the error yet
    assert node.change(20_000.0, c=19_000.0)
    assert [node.start(name) for name in "abc"] == [-2 * HOUR_MS + 1_000, 10_000, 20_000]


@pytest.mark.parametrize("complete", [False, True])
def test_start_when_the_server_restarts_then_is_new_like_that_of_an_unknown_server(complete):
    node = Node(ahead_ms=HOUR_MS)
    node.full(10_000.0, a=-2 * HOUR_MS)
    # A full list follows others after a watch broke, or after discovery's address changed.
    assert (node.full if complete else node.change)(300_000.0, a=299_000.0)
    assert node.start("a") == 300_000


def test_start_when_first_reported_by_the_first_response_of_the_process_may_be_any():
    node = Node()
    node.full(0.0, live=False, a=-HOUR_MS)  # the list in the configuration, which is outdated
    assert not node.change(50_000.0, b=-HOUR_MS, a=-30_000.0)
    assert (node.start("a"), node.start("b")) == (-30_000, -HOUR_MS)


def test_start_when_reported_late_within_the_listing_delay_then_is_accepted():
    node = Node()
    node.full(0.0, a=-500.0)
    node.change(10_000.0)
    assert not node.change(10_010.0, b=10_000.0 - MAX_LISTING_DELAY_MS)
    assert node.start("b") == 10_000.0 - MAX_LISTING_DELAY_MS


def test_start_when_reported_later_than_the_listing_delay_after_quick_ones_is_new_and_moves_no_other():
    node = Node()
    node.full(0.0, a=-500.0)  # so an error of the clock of more than 500 ms has been excluded
    node.change(10_000.0)
    assert not node.change(10_010.0, b=10_000.0 - MAX_LISTING_DELAY_MS - 501)
    assert (node.start("b"), node.start("a")) == (10_000, -500)


def test_starts_when_a_late_list_is_taken_for_a_wrong_clock_move_no_more_than_the_least_delay_seen():
    node = Node()
    node.full(100.0, a=-400.0)
    node.change(10_000.0)
    assert node.change(10_010.0, b=10_000.0 - MAX_LISTING_DELAY_MS - 1)
    assert (node.start("b"), node.start("a")) == (7_499, 100)  # later than the real starts, never earlier


def test_start_when_a_server_of_a_week_ago_appears_is_new_and_moves_no_other():
    node = Node()
    node.full(2_000.0, a=-8 * 24 * HOUR_MS)
    assert not node.change(10_000.0, b=-7 * 24 * HOUR_MS)
    assert (node.start("a"), node.start("b")) == (-8 * 24 * HOUR_MS, 2_000)


# Servers that were seen before


def test_start_when_a_list_omits_the_server_and_a_later_one_has_it_again_then_stays():
    node = Node()
    node.full(0.0, a=-500.0, b=-HOUR_MS)
    node.full(4_000.0, a=-500.0)
    node.gone(5_000.0, "a")
    assert not node.change(60_000.0, a=-500.0, b=-HOUR_MS)
    assert (node.start("a"), node.start("b")) == (-500, -HOUR_MS)


def test_memory_when_servers_come_and_go_for_long_is_bounded_and_the_latest_are_known():
    node = Node()
    node.full(0.0)
    last = MAX_DEPARTED + 9
    for i in range(last + 1):
        node.change(1_000.0 * i, **{f"s{i}": 1_000.0 * i - 900})
        node.gone(1_000.0 * i + 1, f"s{i}")
    assert len(node.starts._departed) == MAX_DEPARTED and not node.starts._listed
    end = 1_000.0 * last + 1
    node.change(end + 5_000, **{"s0": -900.0, f"s{last}": 1_000.0 * last - 900})
    assert (node.start("s0"), node.start(f"s{last}")) == (end, 1_000.0 * last - 900)


# Discovery's own time


@pytest.mark.parametrize("ahead_ms", [-HOUR_MS, -5_000.0, 5_000.0, HOUR_MS])
def test_starts_when_the_first_list_has_a_date_are_right_at_once_to_the_later_side(ahead_ms):
    node = Node(ahead_ms)
    # `Date` was written at 9,900 and has whole seconds; the response took 500 ms.
    assert node.full(10_400.0, date=9_000.0, a=-2 * HOUR_MS, b=8_000.0)
    assert node.starts.evidence is OriginEvidence.DATE
    assert (node.start("a"), node.start("b")) == (-2 * HOUR_MS + 1_400, 9_400)


def test_starts_when_the_date_differs_by_no_more_than_its_tolerance_are_those_of_the_own_clock():
    node = Node()
    assert not node.full(10_000.0, date=10_000.0 - DATE_TOLERANCE_MS, a=8_000.0)
    assert node.start("a") == 8_000


def test_starts_when_responses_take_different_times_go_by_the_quickest():
    node = Node(ahead_ms=HOUR_MS)
    node.full(15_000.0, date=9_000.0, a=8_000.0)  # the response took 5 s
    assert node.start("a") == 14_000
    assert node.change(16_000.0, date=16_000.0)
    assert not node.change(24_000.0, date=19_000.0)
    assert node.start("a") == 8_000


@pytest.mark.parametrize("step_ms", [-HOUR_MS, HOUR_MS])
def test_starts_when_discoverys_own_clock_is_stepped_later_stay(step_ms):
    node = Node()
    node.full(10_000.0, date=10_000.0, a=8_000.0)
    assert not node.change(14_000.0, date=14_000.0 + step_ms)
    assert node.start("a") == 8_000


def test_start_when_the_date_is_known_and_it_lies_in_the_future_is_new_and_moves_no_other():
    node = Node()
    assert not node.full(10_000.0, date=10_000.0, a=8_000.0, b=HOUR_MS)
    assert (node.start("a"), node.start("b")) == (8_000, 10_000)


# A model of a day

SERVERS = "abcde"
STEPS = st.lists(
    st.tuples(
        st.sampled_from(SERVERS),
        st.floats(1.0, 8_000.0),  # from the previous event to the start
        st.floats(0.0, MAX_LISTING_DELAY_MS),  # from the start to the arrival of the list that reports it
        st.booleans(),  # whether the list is a full one
        st.booleans(),  # whether the server leaves afterwards
    ),
    min_size=1,
    max_size=12,
)
AHEAD_MS = st.one_of(st.just(0.0), st.floats(-2 * HOUR_MS, 2 * HOUR_MS), st.floats(-9_000.0, 9_000.0))
FIRST_AGES_MS = st.lists(st.floats(0.0, 2 * HOUR_MS), min_size=5, max_size=5)


class Day:
    """Reports restarts to a node and remembers the real starts."""

    def __init__(self, ahead_ms: float, ages_ms: list[float], with_date: bool) -> None:
        self.node = Node(ahead_ms)
        self.with_date = with_date
        self.now = 0.0
        self.true_starts = {server: -age for server, age in zip(SERVERS, ages_ms, strict=True)}
        self.last_arrival = 0.0  # arrival of the last list
        self.longest_gap = 0.0
        self.corrections = 0
        self.listed = set(SERVERS)
        self.report(0.0, complete=True, servers=SERVERS)

    def report(self, at: float, complete: bool, servers: str) -> None:
        self.longest_gap = max(self.longest_gap, at - self.last_arrival)
        self.last_arrival = self.now = at
        date = at // 1_000 * 1_000 if self.with_date else None
        reported = {server: self.true_starts[server] for server in servers}
        report = self.node.full if complete else self.node.change
        self.corrections += report(at, date, **reported)

    def restart(self, server: str, pause: float, delay: float, complete: bool) -> None:
        self.true_starts[server] = self.now + pause
        self.listed.add(server)
        reported = "".join(sorted(self.listed)) if complete else server
        self.report(self.now + pause + delay, complete, reported)

    def age_errors(self) -> list[float]:
        """By how many milliseconds each listed server is estimated to be older than it is."""
        return [self.true_starts[server] - self.node.start(server) for server in sorted(self.listed)]


def play(ahead_ms, ages_ms, steps, with_date=False) -> Day:
    day = Day(ahead_ms, ages_ms, with_date)
    for server, pause, delay, complete, leaves in steps:
        day.restart(server, pause, delay, complete)
        if leaves:
            day.node.gone(day.now, server)
            day.listed.discard(server)
    return day


ROUNDING_MS = 0.01


@FIXED
@given(AHEAD_MS, FIRST_AGES_MS, STEPS)
def test_age_when_estimated_then_exceeds_the_real_age_by_no_more_than_the_bound(ahead_ms, ages_ms, steps):
    day = play(ahead_ms, ages_ms, steps)
    # A running watch reports each restarted server, so the error is at most the delay that may go unnoticed.
    bound = MAX_LISTING_DELAY_MS + day.longest_gap
    restarted = {server for server, *_ in steps} & day.listed
    errors = {server: day.true_starts[server] - day.node.start(server) for server in restarted}
    assert all(error <= bound + ROUNDING_MS for error in errors.values())
    if ahead_ms > bound + CLOCK_SKEW_MS and steps:  # the first restart has shown the error, for all servers
        assert all(error <= ROUNDING_MS for error in day.age_errors())


@FIXED
@given(AHEAD_MS, FIRST_AGES_MS, STEPS)
def test_start_when_estimated_then_is_no_later_than_its_report(ahead_ms, ages_ms, steps):
    day = play(ahead_ms, ages_ms, steps)
    # No start is estimated to be later than the list that reported it, apart from the skew of clocks.
    for server in day.listed:
        known = day.node.starts._listed[server]
        assert day.node.start(server) <= known.reported_at + CLOCK_SKEW_MS + ROUNDING_MS
    if ahead_ms < -CLOCK_SKEW_MS and day.listed:
        # With a clock that is behind, no age is off by more than the shortest delay of a report.
        least_delay = min([min(ages_ms), *(step[2] for step in steps)])
        errors = day.age_errors()
        assert all(-least_delay - CLOCK_SKEW_MS - ROUNDING_MS <= error <= ROUNDING_MS for error in errors)


@FIXED
@given(FIRST_AGES_MS, STEPS)
def test_starts_when_the_clock_is_right_are_never_corrected(ages_ms, steps):
    day = play(0.0, ages_ms, steps)
    assert day.corrections == 0
    assert all(abs(error) <= ROUNDING_MS for error in day.age_errors())


@FIXED
@given(AHEAD_MS, FIRST_AGES_MS, STEPS)
def test_starts_when_responses_have_dates_are_right_within_the_tolerance_from_the_first(
    ahead_ms, ages_ms, steps
):
    day = play(ahead_ms, ages_ms, steps, with_date=True)
    tolerance = DATE_TOLERANCE_MS + 1_000 + ROUNDING_MS
    assert all(abs(error) <= tolerance for error in day.age_errors())
