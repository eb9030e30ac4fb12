"""Planted defects in the attempts that a node makes for a request."""

import math
from collections.abc import Callable
from dataclasses import replace

from flintridge import api
from flintridge.core.request import Request, UpstreamAttempt
from flintridge.core.response import Responder, Response
from flintridge.lab.defects.interception import (
    SAMPLE_INTERVAL,
    ForwardingResponder,
    balancer_of,
    every_multiple_of,
    intercept_responders,
    replace_attribute,
)
from flintridge.node import Node
from flintridge.policy.admission_queue import AdmissionQueue
from flintridge.policy.open_request import OpenRequest
from flintridge.runtime.clock import to_ns

# The attempt timeout of unsafe requests; for keyed requests it is added to the deduplication window.
RETRY_TIMEOUT_MS = 100.0
RETRY_AFTER_MS = 50.0  # in the rejections that `refuses_what_may_have_run` sends
UNLIMITED_ATTEMPTS = 1000
EXTRA_ATTEMPT_NUMBER = 1000  # higher than any attempt number that the node assigns
EXTRA_ATTEMPT_DELAY_MS = 400.0
EXTRA_ATTEMPT_TIMEOUT_MS = 500.0


def keyed_write_twice_past_window(node: Node) -> None:
    """A keyed write that gets no response is retried after its deduplication window has ended."""
    _retry_regardless_of_effect(
        node,
        api.Effect.KEYED,
        lambda request: request.request_class.deduplication_window_ns + to_ns(RETRY_TIMEOUT_MS),
    )


def retry_of_what_may_have_run(node: Node) -> None:
    """A request of an unsafe class is retried if it has no response after 100 ms."""
    _retry_regardless_of_effect(node, api.Effect.UNSAFE, lambda _: to_ns(RETRY_TIMEOUT_MS))


def _retry_regardless_of_effect(
    node: Node, effect: api.Effect, first_timeout_ns: Callable[[OpenRequest], int]
) -> None:
    """Retry requests whose effect forbids a retry, within their deadline and the limit of attempts.

    Args:
        node: The node to plant the defect in.
        effect: The effect whose retry rule is ignored.
        first_timeout_ns: Returns the timeout of the first attempt for such a request, in ns.
    """
    balancer = balancer_of(node)
    retries = balancer.retries
    timeout_ns = balancer.attempt_timeout.timeout_ns
    may_send = retries.may_send
    repeat_by = retries.repeat_by

    def shortened_timeout_ns(request: OpenRequest, queue: AdmissionQueue, now: int) -> int:
        if request.request_class.effect is effect and not request.attempts[1:]:
            return first_timeout_ns(request)
        return timeout_ns(request, queue, now)

    def may_send_regardless(request: OpenRequest, endpoint: api.Endpoint, now: int) -> bool:
        if request.request_class.effect is not effect:
            return may_send(request, endpoint, now)
        return now < request.event.deadline and len(request.attempts) < retries.max_attempts

    def repeat_at_any_time(request: OpenRequest) -> float:
        return math.inf if request.request_class.effect is effect else repeat_by(request)

    replace_attribute(retries, "repeat_by", repeat_at_any_time)  # otherwise the dispatcher would not send it
    replace_attribute(balancer.attempt_timeout, "timeout_ns", shortened_timeout_ns)
    replace_attribute(retries, "may_send", may_send_regardless)


def refuses_what_may_have_run(node: Node) -> None:
    """A request that must fail, because a retry could do harm, is rejected, so that the client retries it."""
    driver = node.core.policy_driver
    carry_out = driver.carry_out

    def reject_instead_of_fail(action: api.Action) -> None:
        if isinstance(action, api.Fail):
            carry_out(api.Reject(action.id, to_ns(RETRY_AFTER_MS)))
        else:
            carry_out(action)

    replace_attribute(driver, "carry_out", reject_instead_of_fail)


def attempts_without_cap(node: Node) -> None:
    """The node makes up to 1000 attempts for a request, whatever the configured limit is."""
    balancer = balancer_of(node)
    settings = balancer.settings
    limits = replace(settings.limits, max_attempts=UNLIMITED_ATTEMPTS)
    replace_attribute(balancer.retries, "max_attempts", UNLIMITED_ATTEMPTS)
    replace_attribute(node.core, "settings", replace(settings, limits=limits))


def asks_after_the_answer(node: Node) -> None:
    """Every tenth read is sent to its server again 400 ms after the response to its client."""
    is_selected = every_multiple_of(SAMPLE_INTERVAL)
    start = node.dispatcher.start
    last_attempts: dict[str, UpstreamAttempt] = {}

    def start_extra(attempt: UpstreamAttempt) -> None:
        now = node.clock.now()
        start(
            replace(
                attempt,
                number=EXTRA_ATTEMPT_NUMBER,
                sent_at=now,
                deadline=now + EXTRA_ATTEMPT_TIMEOUT_MS,
                ended=False,
                abort=None,
                request_ended=False,
            )
        )

    def start_recorded(attempt: UpstreamAttempt) -> None:
        last_attempts[attempt.id] = attempt
        start(attempt)

    class ExtraAttemptAfterResponse(ForwardingResponder):
        """Sends a request to its server again after the response to its client."""

        def __init__(self, responder: Responder, request_id: str) -> None:
            super().__init__(responder)
            self._request_id = request_id

        def respond(self, response: Response) -> None:
            """Forward the response and schedule the extra attempt."""
            self.responder.respond(response)
            attempt = last_attempts.pop(self._request_id, None)
            if attempt is not None:
                node.clock.call_at(node.clock.now() + EXTRA_ATTEMPT_DELAY_MS, start_extra, attempt)

    def intercept(request: Request, responder: Responder) -> Responder:
        if request.write or not is_selected():
            return responder
        return ExtraAttemptAfterResponse(responder, request.id.decode("ascii"))

    replace_attribute(node.dispatcher, "start", start_recorded)
    intercept_responders(node, intercept)


def key_altered(node: Node) -> None:
    """Every tenth attempt requests a different key than the client did."""
    _alter_requests(node, lambda request: replace(request, key=request.key + b"x"), interval=SAMPLE_INTERVAL)


def time_left_not_told(node: Node) -> None:
    """Attempts carry the client's initial timeout to the servers instead of the time that is left."""
    _alter_requests(node, lambda request: replace(request, timeout_span=None))


def retries_told_whole_time(node: Node) -> None:
    """Retries, to cache servers and to the origin, carry the client's initial timeout, not the time left."""
    _alter_requests(node, lambda request: replace(request, timeout_span=None), first_number=1)


def _alter_requests(
    node: Node, alter: Callable[[Request], Request], interval: int = 1, first_number: int = 0
) -> None:
    """Alter the requests that attempts send.

    Args:
        node: The node to plant the defect in.
        alter: Returns the altered request.
        interval: One of every `interval` attempts is altered.
        first_number: Attempts with a lower number are neither altered nor counted.
    """
    is_selected = every_multiple_of(interval)
    start = node.dispatcher.start

    def start_altered(attempt: UpstreamAttempt) -> None:
        if attempt.number >= first_number and is_selected():
            attempt.request = alter(attempt.request)
        start(attempt)

    replace_attribute(node.dispatcher, "start", start_altered)
