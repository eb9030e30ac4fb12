"""Types for the admin API routes that the components of a node provide."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """The response to an admin API call.

    Attributes:
        status: The HTTP status code.
        fields: The fields of the JSON object in the body.
    """

    status: int
    fields: dict[str, Any]


@dataclass(slots=True, frozen=True)
class RouteWithInput:
    """A route whose handler receives the query string and the body, either of which may be empty."""

    call: Callable[[bytes, bytes], AdminResponse]


Routes = dict[bytes, dict[bytes, Callable[[], AdminResponse] | RouteWithInput]]
