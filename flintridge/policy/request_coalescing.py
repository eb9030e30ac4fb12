"""Request coalescing: one fetch of a key at the origin, and the reads that wait for it."""

from flintridge import api
from flintridge.policy.open_request import OpenRequest, Upstream


class RequestCoalescing:
    """The keys that are being fetched from the origin, each with the requests that follow its fetch."""

    def __init__(self) -> None:
        self._followers: dict[str, list[OpenRequest]] = {}  # by key

    def __len__(self) -> int:
        return len(self._followers)

    def follow(self, request: OpenRequest) -> bool:
        """Let a request wait for the fetch of its key.

        Returns:
            Whether there is one; writes follow none.
        """
        key = _fetched_key(request.event)
        if key is None or key not in self._followers:
            return False
        self._followers[key].append(request)
        return True

    def start(self, request: OpenRequest) -> None:
        """Have the reads of this request's key follow it from now on, unless it ended when it was sent."""
        key = _fetched_key(request.event)
        if key is not None and not request.done:
            self._followers[key] = []

    def end(self, request: OpenRequest, stored_by: str | None) -> list[OpenRequest]:
        """End the fetch of a request's key.

        Args:
            request: Whose fetch it was.
            stored_by: The server that has stored the key; its followers ask that one. None: there is none.

        Returns:
            The requests that still wait for it, in order of their coming.
        """
        followers = self._followers.pop(_fetched_key(request.event) or "", [])
        waiting = [each for each in followers if each.queued_for is Upstream.ORIGIN and not each.done]
        if stored_by is not None:
            for follower in waiting:
                follower.preferred_server = stored_by
        return waiting


def _fetched_key(event: api.RequestReceived) -> str | None:
    return None if event.write else event.key
