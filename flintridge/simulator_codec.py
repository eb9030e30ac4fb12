"""The simulator's line protocol: decodes lines into policy events and encodes policy actions as lines."""

import itertools
from collections.abc import Callable, Iterator

from flintridge import api
from flintridge.errors import FlintridgeError

ABSENT = "-"  # placeholder for a field without a value

OUTCOMES = {
    "S": api.Outcome.OK,
    "E": api.Outcome.ERROR,
    "F": api.Outcome.FULL,
    "T": api.Outcome.TIMEOUT,
    "C": api.Outcome.CONNECT_FAILED,
    "R": api.Outcome.RESET,
    "X": api.Outcome.CANCELLED,
    "N": api.Outcome.WITHDRAWN,
    "M": api.Outcome.MISS,
}
ENDPOINT_STATES = {
    "IN": api.EndpointState.READY,
    "LAME": api.EndpointState.DRAINING,
    "OUT": api.EndpointState.GONE,
}
UPDATE_KINDS = {
    "patch": api.UpdateKind.DELTA,
    "whole": api.UpdateKind.FULL,
    "stale_copy": api.UpdateKind.CACHED,
    "broken": api.UpdateKind.FAILED,
}


class MalformedInputError(FlintridgeError, ValueError):
    """A line, or a sequence of lines, violates the protocol."""


def decode_event(line: str, following: Iterator[str]) -> api.Event:
    """Decode one event.

    Args:
        line: The first line of the event: its name, the instance number and the event's fields.
        following: The lines after it, from which a FLEET event reads its endpoints.

    Raises:
        ValueError, LookupError: The line is malformed.
    """
    name, _, rest = line.partition(" ")
    _, *fields = rest.split(" ")
    if name == "FLEET":
        return _decode_endpoint_update(fields, following)
    decode = _EVENT_DECODERS.get(name)
    if decode is None:
        raise MalformedInputError(f"unknown event {name!r}")
    return decode(fields)


def encode_action(instance: int, action: api.Action) -> str:
    """Encode an action of a router instance as a line.

    Raises:
        TypeError: The protocol has no such action.
    """
    match action:
        case api.Send(request_id, server, timeout_ns):
            return f"TRANSMIT {instance} {request_id} {server} {timeout_ns}"
        case api.SetTimer(at, token):
            return f"TIMER {instance} {at} {token}"
        case api.Cancel(request_id, attempt):
            return f"RETRACT {instance} {request_id} {attempt}"
        case api.Reject(request_id, retry_after_ns):
            return f"REFUSE {instance} {request_id} {retry_after_ns}"
        case api.Fail(request_id):
            return f"END_FAILED {instance} {request_id}"
        case api.Watch(on):
            return f"WATCH {instance} {int(on)}"
        case api.FetchEndpoints():
            return f"LOOKUP {instance}"
        case api.CheckHealth(server):
            return f"INSPECT {instance} {server}"
        case api.CloseIdleConnections(server):
            return f"LET_GO {instance} {server}"
        case api.SendToPeer(to, data):
            return f"WRITE_PEER {instance} {'*' if to is None else to} {data.hex() or ABSENT}"
        case api.Log(text):
            return f"SAY_LOG {instance} {single_line(text)}"
    raise TypeError(f"not an action: {action!r}")


def single_line(text: str) -> str:
    """Replace line breaks and runs of white space in a text by single spaces."""
    return " ".join(text.split())


def _optional_int(text: str) -> int:
    return 0 if text == ABSENT else int(text)


def _load_report(text: str) -> dict[str, float]:
    """Decode a server's load report: comma-separated `name:value` pairs."""
    if text == ABSENT:
        return {}
    pairs = [pair.split(":") for pair in text.split(",")]
    return {name: float(value) for name, value in pairs}


def _decode_endpoint(line: str) -> api.Endpoint:
    mark, state, server, weight, cell, kind, started_at, zone = line.split(" ")
    if mark != "M":
        raise MalformedInputError("expected an endpoint line")
    return api.Endpoint(
        server=server,
        state=ENDPOINT_STATES[state],
        weight=1.0 if weight == ABSENT else float(weight),
        cell=_optional_int(cell),
        kind=_optional_int(kind),
        started_at=_optional_int(started_at),
        zone=_optional_int(zone),
    )


def _decode_endpoint_update(fields: list[str], following: Iterator[str]) -> api.EndpointUpdate:
    kind, version, count_text = fields
    count = _optional_int(count_text)
    endpoints = tuple(map(_decode_endpoint, itertools.islice(following, count)))
    if len(endpoints) < count:
        raise MalformedInputError("fewer endpoint lines than announced")
    return api.EndpointUpdate(UPDATE_KINDS[kind], _optional_int(version), endpoints)


def _decode_request(fields: list[str]) -> api.RequestReceived:
    request_id, retry, deadline, write, key, tenant, class_index, work_ns, size = fields
    return api.RequestReceived(
        id=request_id,
        deadline=int(deadline),
        class_index=_optional_int(class_index),
        key=None if key == ABSENT else key,
        write=write == "1",
        tenant=_optional_int(tenant),
        retry=retry == "1",
        work_ns=None if work_ns == ABSENT else int(work_ns),
        size=None if size == ABSENT else float(size),
    )


def _decode_attempt_ended(fields: list[str]) -> api.AttemptEnded:
    request_id, cache_status, final, server, latency_ns, attempt, outcome, load = fields
    return api.AttemptEnded(
        id=request_id,
        attempt=int(attempt),
        server=server,
        outcome=OUTCOMES[outcome],
        latency_ns=_optional_int(latency_ns),
        final=final == "1",
        cache_status=None if cache_status == ABSENT else int(cache_status),
        load=_load_report(load),
    )


def _decode_timer_fired(fields: list[str]) -> api.TimerFired:
    return api.TimerFired(int(fields[0]))


def _decode_stream_started(fields: list[str]) -> api.StreamStarted:
    request_id, attempt, latency_ns, server = fields
    return api.StreamStarted(request_id, int(attempt), server, _optional_int(latency_ns))


def _decode_client_disconnected(fields: list[str]) -> api.ClientDisconnected:
    return api.ClientDisconnected(fields[0])


def _decode_health_check_ended(fields: list[str]) -> api.HealthCheckEnded:
    server, outcome, latency_ns, load = fields
    return api.HealthCheckEnded(server, OUTCOMES[outcome], _optional_int(latency_ns), _load_report(load))


def _decode_peer_message(fields: list[str]) -> api.PeerMessage:
    sender = int(fields[0])
    data = fields[1]
    return api.PeerMessage(sender, b"" if data == ABSENT else bytes.fromhex(data))


_EVENT_DECODERS: dict[str, Callable[[list[str]], api.Event]] = {
    "QUERY": _decode_request,
    "VERDICT": _decode_attempt_ended,
    "BELL": _decode_timer_fired,
    "FIRST": _decode_stream_started,
    "CANCELLED_BY_CLIENT": _decode_client_disconnected,
    "CHECK_RESULT": _decode_health_check_ended,
    "INBOX": _decode_peer_message,
}
