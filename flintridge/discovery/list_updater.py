"""Applies responses of discovery to the endpoint list, and records in log and counters how fresh it is."""

from flintridge.api import EndpointUpdate
from flintridge.config.address import Address
from flintridge.discovery.backup_calls import CALL_ERRORS
from flintridge.discovery.client import DiscoveryResponse
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.discovery.list_freshness import ListFreshness
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog


class ListUpdater:
    """Updates the endpoint list.

    Attributes:
        endpoints: The list that responses are applied to.
        freshness: How current the list is.
    """

    def __init__(
        self, endpoints: EndpointList, freshness: ListFreshness, log: EventLog, counters: Counters
    ) -> None:
        """Update `endpoints`, and record that in `freshness`, in the node's log and in its counters."""
        self.endpoints = endpoints
        self.freshness = freshness
        self._log = log
        self._counters = counters
        self._logged_correction_ms = 0.0  # correction of the wall clock that was last logged

    def apply(
        self,
        response: DiscoveryResponse,
        address: Address,
        requested_at: float | None = None,
        is_overtaken: bool = False,
    ) -> EndpointUpdate:
        """Apply a response.

        Args:
            response: The response, which arrived just now.
            address: The address of discovery.
            requested_at: See `EndpointList.apply_json`.
            is_overtaken: See `EndpointList.apply_json`.

        Raises:
            MalformedListError, OvertakenListError: See `EndpointList.apply_json`.
        """
        update = self.endpoints.apply_json(
            response.body, response.date_ms, is_overtaken=is_overtaken, requested_at=requested_at
        )
        self._log_correction()
        self._counters.add("endpoint_list_updates")
        self._record_response(address)
        if update.endpoints:
            states = {endpoint.server: endpoint.state.value for endpoint in update.endpoints}
            self._log.event(
                "endpoint_list", kind=update.kind.value, revision=update.version, endpoints=states
            )
        return update

    def record_failure(self, error: Exception, address: Address, is_full_list: bool) -> None:
        """Record that a call failed, or that its response is overdue.

        Args:
            error: Why it failed.
            address: The address of discovery.
            is_full_list: Whether the call was to fetch the full list.
        """
        self._counters.add("endpoint_list_failures")
        if not isinstance(error, CALL_ERRORS):
            self._log.error("endpoint_list_internal_error", error)
        self.freshness.record_failure()
        self._log.event(
            "endpoint_list_failed",
            error=repr(error),
            address=str(address),
            call="list" if is_full_list else "changes",
            took_ms=round(self.freshness.call_ms),
            list_age_ms=round(self.freshness.age_ms),
            failures=self.freshness.failures,
        )

    def _record_response(self, address: Address) -> None:
        if self.freshness.failures:
            self._counters.observe("list_age_ms", self.freshness.age_ms)
            self._log.event(
                "endpoint_list_recovered",
                address=str(address),
                list_age_ms=round(self.freshness.age_ms),
                failures=self.freshness.failures,
            )
        self.freshness.record_response()

    def _log_correction(self) -> None:
        starts = self.endpoints.starts
        if starts.correction_ms == self._logged_correction_ms:
            return
        self._log.event(
            "unix_origin_corrected",
            evidence=starts.evidence.value,
            before_ms=round(self._logged_correction_ms),
            after_ms=round(starts.correction_ms),
        )
        self._logged_correction_ms = starts.correction_ms
