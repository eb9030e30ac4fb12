"""Encoding of requests as memcache commands."""

import random
from typing import NamedTuple

from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.record_log import body_digest
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.truth import RequestFacts
from flintridge.lab.world.draws import lognormal

MAX_VALUE_BYTES = 64 * 1024
ROUGH_HINT_SIGMA = 0.3  # standard deviation of the logarithm of a rough hint's error
REQUEST_ID_BITS = 64
_FILLER = bytes(97 + i * 7 % 26 for i in range(MAX_VALUE_BYTES))


class Command(NamedTuple):
    """The encoded command of one attempt.

    Attributes:
        data: The command's bytes.
        facts: The ground truth about the attempt.
        value_digest: Digest of a write's value by `record_log.body_digest`; empty for a read.
    """

    data: bytes
    facts: RequestFacts
    value_digest: str


class CommandEncoder:
    """Encodes requests as commands.

    Attributes:
        classes: The scenario's request classes by name.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.classes = {c.name: c for c in scenario.classes}
        self._hints = scenario.load.hints
        self._states_size = scenario.load.tells_size
        self._marks_retry = scenario.clients.marks_retry

    def work_hint_us(self, request: GeneratedRequest, rng: random.Random) -> int:
        """Return the client's estimate of the work, in microseconds; 0 if it sends none."""
        if self._hints == "none":
            return 0
        # Also drawn for exact hints, so that the two kinds of runs differ in nothing else.
        error = lognormal(rng, ROUGH_HINT_SIGMA)
        return max(1, round(request.work_ms * 1000 * (error if self._hints == "rough" else 1.0)))

    def is_keyed(self, request: GeneratedRequest) -> bool:
        """Whether the request has an idempotency key."""
        return request.write and self.classes[request.class_name].effect == "keyed"

    def encode(
        self,
        request: GeneratedRequest,
        request_id: str,
        timeout_ms: int,
        attempt_number: int = 0,
        hint_us: int = 0,
        idempotency_key: str = "",
    ) -> Command:
        """Encode an attempt.

        Args:
            request: The request.
            request_id: The attempt's id.
            timeout_ms: How long the client will wait for the response.
            attempt_number: 0 for the first attempt.
            hint_us: Estimate of the work in microseconds; 0: none is sent.
            idempotency_key: The idempotency key; empty: none is sent.
        """
        value = value_of(request.key, request_id, request.size) if request.write else b""
        size = len(value) if request.write else request.size
        options = f" O{request_id} Pc={request.class_name}"
        if request.tenant:
            options += f",t={request.tenant}"
        options += f",d={timeout_ms}"
        if idempotency_key:
            options += f",k={idempotency_key}"
        if hint_us:
            options += f",h={hint_us}"
        if attempt_number and self._marks_retry:
            options += ",r=1"
        if self._states_size:
            options += f",size={size}"
        facts = RequestFacts(
            request.class_name,
            request.tenant,
            request.key,
            request.write,
            request.work_ms,
            size,
            idempotency_key,
        )
        if not request.write:
            return Command(f"mg {request.key} v{options}\r\n".encode(), facts, "")
        line = f"ms {request.key} {size}{options}\r\n".encode()
        return Command(b"%b%b\r\n" % (line, value), facts, body_digest(value))


def value_of(key: str, request_id: str, size: int) -> bytes:
    """Return a write's value, which starts with its key and request id.

    It has `size` bytes, but at least those of that head and at most MAX_VALUE_BYTES.
    """
    head = f"{key}|{request_id}|".encode()
    if size <= len(head):
        return head
    return head + _FILLER[: min(size, MAX_VALUE_BYTES) - len(head)]


def new_id(rng: random.Random) -> str:
    """Return a random id of 16 hexadecimal digits."""
    return f"{rng.getrandbits(REQUEST_ID_BITS):016x}"
