"""What a node keeps of a request while it is open."""

from dataclasses import dataclass, field

from flintridge.core.request import Request, UpstreamAttempt
from flintridge.core.response import Responder
from flintridge.runtime.clock import Timer


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that was taken in, until it is answered and its attempts have ended.

    Attributes:
        request: As it was read.
        responder: The client's end of it.
        deadline: Its response is due then, in float milliseconds.
        deadline_timer: Fails it if nobody else answers it in time.
        reserved_bytes: Of the memory budget, for its value.
        answered: Whether it has its final response.
        attempts: All of them, in order.
        in_flight: How many of them have not ended.
        withdrawn: How many of them ended without being sent.
    """

    request: Request
    responder: Responder
    deadline: float
    deadline_timer: Timer
    reserved_bytes: int
    answered: bool = False
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    in_flight: int = 0
    withdrawn: int = 0
