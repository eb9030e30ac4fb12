"""When servers started, on the node's own clock, while its estimate of Unix time may be wrong.

Lists state starts in Unix time. The node's wall clock is read once, at its start, and may be wrong by then,
for instance after a step. What lists report, and when they arrive, bounds its error: no server starts after
the arrival of the list that reports its start, and a server that a running watch reports for the first time
started after the last response that did not report it. `docs/design/time.md` has the rules and the bounds of
the estimates.

Without I/O; times are float milliseconds of the node's clock unless stated otherwise.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from flintridge.runtime.clock import to_ns

# A start may be reported this long after it happened, while responses that do not report it yet still arrive:
# discovery notices it late, and responses take a while. A start within this delay is accepted as reported.
MAX_LISTING_DELAY_MS = 3_000.0
# A start may lie this far after its list's arrival without being evidence of a wrong clock, as the clocks of
# machines differ a little.
CLOCK_SKEW_MS = 250.0
# A response's `Date` has whole seconds and was written a while before the response arrived.
DATE_TOLERANCE_MS = 2_000.0
# A response that is not overdue takes 6 s at most, and `Date` omits fractions of a second.
MAX_DATE_AGE_MS = 7_000.0
# Larger corrections are ignored, so that one server's invalid start, such as one in nanoseconds or of years
# ago, does not shift the starts of all servers.
MAX_CORRECTION_MS = 86_400_000.0
MAX_DEPARTED = 1_024  # remembered servers that left the list recently


class OriginEvidence(Enum):
    """What an estimate of the Unix origin is based on."""

    LOCAL_CLOCK = "own_clock"
    SERVER_STARTS = "server_starts"
    DATE = "date"


@dataclass(slots=True, frozen=True)
class ReportedStart:
    """A server's start as a list reports it.

    Attributes:
        server: ID of the server.
        up_since_ms: Unix time of the start in milliseconds; 0: long ago.
        gone: Whether the list reports that the server has ended.
    """

    server: str
    up_since_ms: float
    gone: bool = False


@dataclass(slots=True, frozen=True)
class ListArrival:
    """The arrival of a list, or of a change to one.

    Attributes:
        at: When the list arrived.
        complete: Whether servers that the list does not name have left.
        live: Whether the list is discovery's response; else it is from the configuration, maybe outdated.
        date_ms: Unix time of the response's `Date` header in milliseconds, if it has one.
        requested_at: When an overdue response was requested; None for other responses. What it reports, and
            its `Date`, may be as old as that.
    """

    at: float
    complete: bool
    live: bool = True
    date_ms: float | None = None
    requested_at: float | None = None


@dataclass(slots=True, frozen=True)
class _KnownStart:
    """A start of a server as it was first reported.

    Attributes:
        up_since_ms: Unix time of the start in milliseconds, as reported.
        by_local_clock: Instant of the start if the local wall clock was right.
        not_before: Arrival of the last response that did not report the start; -inf if there is none.
        reported_at: Arrival of the first list that reported the start.
    """

    up_since_ms: float
    by_local_clock: float
    not_before: float
    reported_at: float


class ServerStarts:
    """The starts of the listed servers, and of some that left recently.

    Attributes:
        correction_ms: To be added to instants by the local wall clock; positive if that clock was ahead.
        evidence: What the correction is based on.
    """

    def __init__(self, from_unix: Callable[[float], float]) -> None:
        """`from_unix` converts Unix time in milliseconds by the local wall clock."""
        self.correction_ms = 0.0
        self.evidence = OriginEvidence.LOCAL_CLOCK
        self._from_unix = from_unix
        self._listed: dict[str, _KnownStart] = {}
        self._departed: OrderedDict[str, _KnownStart] = OrderedDict()
        self._last_response_at = -math.inf
        self._max_correction = math.inf  # a greater one would have a server start after its report
        self._date_correction: float | None = None

    def record_list(self, arrival: ListArrival, reported: Iterable[ReportedStart]) -> bool:
        """Record the starts that a list reports.

        Returns:
            Whether the correction has changed, and with it the starts of other servers too.
        """
        before = self.correction_ms
        if arrival.date_ms is not None and arrival.requested_at is None:
            self._apply_date(arrival.at, arrival.date_ms)
        previous = self._listed
        if arrival.complete:
            self._listed = {}
        new_starts = [self._record_start(start, arrival, previous) for start in reported]
        if arrival.complete:
            for server, known in previous.items():
                if server not in self._listed:
                    self._remember_departed(server, known)
        if self._date_correction is None:
            self._apply_new_starts([known for known in new_starts if known is not None])
        if arrival.live:
            reported_at = arrival.at if arrival.requested_at is None else arrival.requested_at
            self._last_response_at = max(self._last_response_at, reported_at)
        return self.correction_ms != before

    def started_at(self, server: str) -> int:
        """When a server started, in the policy's nanoseconds; 0 if that is long ago or unknown.

        The same start yields the same value as long as the correction stays the same.
        """
        known = self._listed.get(server)
        if known is None:
            return 0
        return to_ns(self._estimated_start(known)) or 1  # 0 is reserved for long ago

    def _record_start(
        self, reported: ReportedStart, arrival: ListArrival, previous: dict[str, _KnownStart]
    ) -> _KnownStart | None:
        """Record a server's reported start, and return it if it was not known."""
        server = reported.server
        known = self._listed.pop(server, None) or previous.get(server) or self._departed.get(server)
        if reported.gone or not reported.up_since_ms:
            if known is not None:
                self._remember_departed(server, known)
            return None
        self._departed.pop(server, None)
        if known is not None and known.up_since_ms == reported.up_since_ms:
            self._listed[server] = known
            return None
        by_local_clock = self._from_unix(reported.up_since_ms)
        new = _KnownStart(reported.up_since_ms, by_local_clock, self._last_response_at, arrival.at)
        self._listed[server] = new
        return new

    def _remember_departed(self, server: str, known: _KnownStart) -> None:
        self._departed[server] = known
        self._departed.move_to_end(server)
        if len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)

    def _estimated_start(self, known: _KnownStart) -> float:
        start = known.by_local_clock + self.correction_ms
        if start < known.not_before - MAX_LISTING_DELAY_MS:
            return known.not_before
        if start > known.reported_at + CLOCK_SKEW_MS:
            return known.reported_at
        return start

    # The Unix origin

    def _apply_date(self, arrived_at: float, date_ms: float) -> None:
        """Correct the origin by discovery's own time where that differs.

        `Date` is never later than the arrival, so a correction by it is never too small, and makes no server
        older than it is. Of responses that took different times in transit, the quickest one counts. A
        correction that differs from the first one by more than a response can take is a step of discovery's
        clock, and proves nothing about the local one.
        """
        correction = arrived_at - self._from_unix(date_ms)
        known = self._date_correction
        if known is None or known - MAX_DATE_AGE_MS <= correction < known:
            self._date_correction = correction
        else:
            correction = known
        if abs(self.correction_ms - correction) > DATE_TOLERANCE_MS:
            self._set_correction(correction, OriginEvidence.DATE)

    def _apply_new_starts(self, new_starts: list[_KnownStart]) -> None:
        """Correct the origin by starts that were reported for the first time.

        A correction always makes the newest of all servers start at the arrival of its report, which makes
        no server older than it is.
        """
        for known in new_starts:
            correction_limit = known.reported_at - known.by_local_clock
            if correction_limit >= -MAX_CORRECTION_MS:
                self._max_correction = min(self._max_correction, correction_limit)
        is_behind = self.correction_ms > self._max_correction + CLOCK_SKEW_MS
        if is_behind or any(map(self._shows_clock_ahead, new_starts)):
            self._set_correction(self._max_correction, OriginEvidence.SERVER_STARTS)

    def _shows_clock_ahead(self, known: _KnownStart) -> bool:
        """Whether a start is earlier than possible, but would be possible with the greatest correction.

        If it would still be too early, the server is older than another one that was reported before. Then it
        was reported late, and the clock may be right.
        """
        earliest = known.not_before - MAX_LISTING_DELAY_MS
        max_correction = self._max_correction
        return (
            known.by_local_clock + self.correction_ms < earliest <= known.by_local_clock + max_correction
            and max_correction <= MAX_CORRECTION_MS
        )

    def _set_correction(self, correction_ms: float, evidence: OriginEvidence) -> None:
        self.correction_ms = correction_ms
        self.evidence = evidence
