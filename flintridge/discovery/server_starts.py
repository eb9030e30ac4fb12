"""When servers started, on the node's own clock, while its idea of Unix time may be wrong.

Lists have starts in Unix time. The node's wall clock is read once, at its start, and may have been stepped by
then. What lists report, and when they arrive, bounds how wrong it was: no server starts after the arrival of
the list that reports its start, and one that a running watch reports for the first time started after the
last response that did not report it. `docs/design/time.md` has the rules and the bounds of what is believed.

Without I/O; times are float milliseconds of the node's clock where nothing else is said.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from flintridge.runtime.clock import to_ns

# A start may be reported so long after it, while responses arrive that do not report it yet: discovery
# notices it late, and responses are under way for a while. What is within this delay is believed as reported.
MAX_LISTING_DELAY_MS = 3_000.0
# A start may lie so far after its list's arrival without being evidence: machines' clocks differ a little.
CLOCK_SKEW_MS = 250.0
# A response's `Date` has whole seconds and was written a while before the response arrived.
DATE_TOLERANCE_MS = 2_000.0
MAX_DATE_AGE_MS = 7_000.0  # a call takes 6 s at most, and a second is cut off
# Guards all servers against the start of one that is no time at all, as one in nanoseconds or of years ago.
MAX_CORRECTION_MS = 86_400_000.0
MAX_DEPARTED = 1_024  # servers that left the list lately and are remembered


class OriginEvidence(Enum):
    """What an estimate of the Unix origin rests on."""

    LOCAL_CLOCK = "own_clock"
    SERVER_STARTS = "server_starts"
    DATE = "date"


@dataclass(slots=True, frozen=True)
class ReportedStart:
    """A server's start as a list reports it.

    Attributes:
        server: Its id.
        up_since_ms: Unix time in milliseconds; 0: long ago.
        gone: Whether the list says that the server has ended.
    """

    server: str
    up_since_ms: float
    gone: bool = False


@dataclass(slots=True, frozen=True)
class ListArrival:
    """How a list, or a change of one, came.

    Attributes:
        at: When it arrived.
        complete: Whether servers that it does not name have left.
        live: Whether it is discovery's response; else it comes from the configuration and may be old.
        date_ms: Unix time by the response's `Date` header, if it has one.
    """

    at: float
    complete: bool
    live: bool = True
    date_ms: float | None = None


@dataclass(slots=True, frozen=True)
class _KnownStart:
    """A start of a server as it was first reported.

    Attributes:
        up_since_ms: As it was reported.
        by_local_clock: The instant, if the local wall clock was right.
        not_before: The arrival of the last response that did not report it; -inf where there is none.
        reported_at: The arrival of the first list that reported it.
    """

    up_since_ms: float
    by_local_clock: float
    not_before: float
    reported_at: float


class ServerStarts:
    """The starts of the servers that are listed, and of some that left lately.

    Attributes:
        correction_ms: What to add to instants by the local wall clock: positive where that was ahead.
        evidence: What the correction rests on.
    """

    def __init__(self, from_unix: Callable[[float], float]) -> None:
        """`from_unix` converts Unix time in milliseconds by the local wall clock."""
        self.correction_ms = 0.0
        self.evidence = OriginEvidence.LOCAL_CLOCK
        self._from_unix = from_unix
        self._listed: dict[str, _KnownStart] = {}
        self._departed: OrderedDict[str, _KnownStart] = OrderedDict()
        self._last_response_at = -math.inf
        self._latest_correction = math.inf  # with a greater one, a server had started after it was reported
        self._date_correction: float | None = None

    def take(self, arrival: ListArrival, reported: Iterable[ReportedStart]) -> bool:
        """Take in what a list says.

        Returns:
            Whether the correction has changed, and with it the starts of other servers too.
        """
        before = self.correction_ms
        if arrival.date_ms is not None:
            self._take_date(arrival.at, arrival.date_ms)
        previous = self._listed
        if arrival.complete:
            self._listed = {}
        new_starts = [self._remember(start, arrival, previous) for start in reported]
        if arrival.complete:
            for server, known in previous.items():
                if server not in self._listed:
                    self._depart(server, known)
        if self._date_correction is None:
            self._weigh([known for known in new_starts if known is not None])
        if arrival.live:
            self._last_response_at = arrival.at
        return self.correction_ms != before

    def started_at(self, server: str) -> int:
        """When a server started, in the policy's nanoseconds; 0 where that is long ago or nothing is known.

        The same start gives the same figure, as long as the correction stays.
        """
        known = self._listed.get(server)
        if known is None:
            return 0
        return to_ns(self._instant(known)) or 1  # no start is at the instant that stands for long ago

    def _remember(
        self, reported: ReportedStart, arrival: ListArrival, previous: dict[str, _KnownStart]
    ) -> _KnownStart | None:
        """List a server's start; the start if it was not known."""
        server = reported.server
        known = self._listed.pop(server, None) or previous.get(server) or self._departed.get(server)
        if reported.gone or not reported.up_since_ms:
            if known is not None:
                self._depart(server, known)
            return None
        self._departed.pop(server, None)
        if known is not None and known.up_since_ms == reported.up_since_ms:
            self._listed[server] = known
            return None
        by_local_clock = self._from_unix(reported.up_since_ms)
        new = _KnownStart(reported.up_since_ms, by_local_clock, self._last_response_at, arrival.at)
        self._listed[server] = new
        return new

    def _depart(self, server: str, known: _KnownStart) -> None:
        self._departed[server] = known
        self._departed.move_to_end(server)
        if len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)

    def _instant(self, known: _KnownStart) -> float:
        start = known.by_local_clock + self.correction_ms
        if start < known.not_before - MAX_LISTING_DELAY_MS:
            return known.not_before
        if start > known.reported_at + CLOCK_SKEW_MS:
            return known.reported_at
        return start

    # The Unix origin

    def _take_date(self, arrived_at: float, date_ms: float) -> None:
        """Go by discovery's own time where it differs.

        `Date` is never later than the arrival, so the greatest correction by it makes no server older than it
        is. Of responses that were under way for different times the quickest counts. What differs from the
        first by more than a response takes is a step of discovery's clock, and says nothing of the local one.
        """
        correction = arrived_at - self._from_unix(date_ms)
        known = self._date_correction
        if known is None or known - MAX_DATE_AGE_MS <= correction < known:
            self._date_correction = correction
        else:
            correction = known
        if abs(self.correction_ms - correction) > DATE_TOLERANCE_MS:
            self._correct(correction, OriginEvidence.DATE)

    def _weigh(self, new_starts: list[_KnownStart]) -> None:
        """Correct the origin by starts that were reported for the first time.

        It is always corrected so that the newest of all servers started as it was reported, which makes no
        server older than it is.
        """
        for known in new_starts:
            latest = known.reported_at - known.by_local_clock
            if latest >= -MAX_CORRECTION_MS:
                self._latest_correction = min(self._latest_correction, latest)
        is_behind = self.correction_ms > self._latest_correction + CLOCK_SKEW_MS
        if is_behind or any(map(self._shows_clock_ahead, new_starts)):
            self._correct(self._latest_correction, OriginEvidence.SERVER_STARTS)

    def _shows_clock_ahead(self, known: _KnownStart) -> bool:
        """Whether a server started before it can have, and would not by the greatest correction.

        If it would, it is older than another one reported before: it was reported late, and the clock may be
        right.
        """
        earliest = known.not_before - MAX_LISTING_DELAY_MS
        latest_correction = self._latest_correction
        return (
            known.by_local_clock + self.correction_ms < earliest <= known.by_local_clock + latest_correction
            and latest_correction <= MAX_CORRECTION_MS
        )

    def _correct(self, correction_ms: float, evidence: OriginEvidence) -> None:
        self.correction_ms = correction_ms
        self.evidence = evidence
