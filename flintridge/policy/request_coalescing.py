"""Request coalescing: concurrent reads of a key share one fetch from the origin."""

from flintridge import api
from flintridge.policy.open_request import OpenRequest, Upstream


class RequestCoalescing:
    """The keys that are being fetched from the origin, each with the requests that wait for the fetch."""

    def __init__(self) -> None:
        self._followers: dict[str, list[OpenRequest]] = {}  # by the key that is being fetched

    def __len__(self) -> int:
        return len(self._followers)

    def follow(self, request: OpenRequest) -> bool:
        """Let a request wait for the fetch of its key, if one is in flight.

        Returns:
            Whether the request waits; a write never does.
        """
        key = _fetched_key(request.event)
        if key is None or key not in self._followers:
            return False
        self._followers[key].append(request)
        return True

    def start(self, request: OpenRequest) -> None:
        """Let later reads of the same key wait for this request, unless it has already ended."""
        key = _fetched_key(request.event)
        if key is not None and not request.done:
            self._followers[key] = []

    def end(self, request: OpenRequest, stored_by: str | None) -> list[OpenRequest]:
        """End the fetch of a key.

        Args:
            request: The request that fetched the key.
            stored_by: The server that has stored the value, which the waiting requests then prefer; None if
                no server has.

        Returns:
            The requests that still wait for the fetch, in order of arrival.
        """
        followers = self._followers.pop(_fetched_key(request.event) or "", [])
        waiting = [each for each in followers if each.queued_for is Upstream.ORIGIN and not each.done]
        if stored_by is not None:
            for follower in waiting:
                follower.preferred_server = stored_by
        return waiting


def _fetched_key(event: api.RequestReceived) -> str | None:
    return None if event.write else event.key
