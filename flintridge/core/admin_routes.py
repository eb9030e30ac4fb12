"""Routes of the admin API: what the parts of a node answer operators with."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """The answer to a call.

    Attributes:
        status: Of HTTP.
        fields: Of the JSON object that is the body.
    """

    status: int
    fields: dict[str, Any]


@dataclass(slots=True, frozen=True)
class RouteWithInput:
    """A route that is given the call's query and body, which may be empty."""

    call: Callable[[bytes, bytes], AdminResponse]


Routes = dict[bytes, dict[bytes, Callable[[], AdminResponse] | RouteWithInput]]
