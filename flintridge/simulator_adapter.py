"""The adapter: speaks the bench's line protocol and hosts one `Balancer` for each router instance."""

import itertools
import json
import sys
from collections.abc import Iterator
from typing import TextIO

from flintridge import api
from flintridge.config.platform_settings import settings_from
from flintridge.policy.balancer import Balancer

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
STATES = {"IN": api.EndpointState.READY, "LAME": api.EndpointState.DRAINING, "OUT": api.EndpointState.GONE}
LISTS = {
    "patch": api.UpdateKind.DELTA,
    "whole": api.UpdateKind.FULL,
    "stale_copy": api.UpdateKind.CACHED,
    "broken": api.UpdateKind.FAILED,
}


def _int(text: str) -> int:
    return 0 if text == "-" else int(text)


def _gauge(text: str) -> dict[str, float]:
    if text == "-":
        return {}
    return {name: float(value) for name, value in (pair.split(":") for pair in text.split(","))}


def decode_member(line: str) -> api.Endpoint:
    mark, state, server, weight, cell, kind, started, zone = line.split(" ")
    if mark != "M":
        raise ValueError("a list entry was expected")
    weight_value = 1.0 if weight == "-" else float(weight)
    return api.Endpoint(
        server, STATES[state], weight_value, _int(cell), _int(kind), _int(started), _int(zone)
    )


def decode_event(line: str, more: Iterator[str]) -> api.Event:
    """One event line; a FLEET line takes its entries from `more`."""
    name, _, rest = line.partition(" ")
    part = rest.split(" ")[1:]
    if name == "QUERY":
        uid, retry, deadline, write, key, tenant, cls, hint, size = part
        return api.RequestReceived(
            id=uid,
            deadline=int(deadline),
            class_index=_int(cls),
            key=None if key == "-" else key,
            write=write == "1",
            tenant=_int(tenant),
            retry=retry == "1",
            work_ns=None if hint == "-" else int(hint),
            size=None if size == "-" else float(size),
        )
    if name == "VERDICT":
        uid, note, last, server, wait, trial, ending, gauge = part
        return api.AttemptEnded(
            id=uid,
            attempt=int(trial),
            server=server,
            outcome=OUTCOMES[ending],
            latency_ns=_int(wait),
            final=last == "1",
            cache_status=None if note == "-" else int(note),
            load=_gauge(gauge),
        )
    if name == "BELL":
        return api.TimerFired(int(part[0]))
    if name == "FLEET":
        kind, version, count = part
        members = tuple(map(decode_member, itertools.islice(more, _int(count))))
        if len(members) < _int(count):
            raise ValueError("the list ends early")
        return api.EndpointUpdate(LISTS[kind], _int(version), members)
    if name == "FIRST":
        uid, trial, wait, server = part
        return api.StreamStarted(uid, int(trial), server, _int(wait))
    if name == "CANCELLED_BY_CLIENT":
        return api.ClientDisconnected(part[0])
    if name == "CHECK_RESULT":
        server, ending, wait, gauge = part
        return api.HealthCheckEnded(server, OUTCOMES[ending], _int(wait), _gauge(gauge))
    if name == "INBOX":
        return api.PeerMessage(int(part[0]), bytes.fromhex("" if part[1] == "-" else part[1]))
    raise ValueError(f"unknown event {name!r}")


def encode_action(inst: int, action: api.Action) -> str:
    match action:
        case api.Send(uid, server, timeout):
            return f"TRANSMIT {inst} {uid} {server} {timeout}"
        case api.SetTimer(at, token):
            return f"TIMER {inst} {at} {token}"
        case api.Cancel(uid, attempt):
            return f"RETRACT {inst} {uid} {attempt}"
        case api.Reject(uid, retry_after):
            return f"REFUSE {inst} {uid} {retry_after}"
        case api.Fail(uid):
            return f"END_FAILED {inst} {uid}"
        case api.Watch(on):
            return f"WATCH {inst} {int(on)}"
        case api.FetchEndpoints():
            return f"LOOKUP {inst}"
        case api.CheckHealth(server):
            return f"INSPECT {inst} {server}"
        case api.CloseIdleConnections(server):
            return f"LET_GO {inst} {server}"
        case api.SendToPeer(to, data):
            return f"WRITE_PEER {inst} {'*' if to is None else to} {data.hex() or '-'}"
        case api.Log(text):
            return f"SAY_LOG {inst} {' '.join(text.split())}"
    raise TypeError(f"not an action: {action!r}")


class Host:
    """The instances of this process; they share nothing."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}

    def batch(self, now: int, lines: Iterator[str]) -> list[str]:
        out: list[str] = []
        for line in lines:
            try:
                head = line.split(" ", 2)
                inst = int(head[1])
                if head[0] == "PROVISION":
                    seed, _, config = head[2].partition(" ")
                    self.instances[inst] = Balancer(settings_from(json.loads(config)), int(seed))
                    continue
                if head[0] == "TEARDOWN":
                    self.instances.pop(inst, None)
                    continue
                event = decode_event(line, lines)
            except (ValueError, KeyError, IndexError, TypeError, AttributeError, StopIteration) as error:
                raise ValueError(f"malformed line {line[:200]!r}: {error!r}") from error
            if inst not in self.instances:
                continue
            try:
                actions = self.instances[inst].handle(now, event)
            except Exception as error:  # the decision code broke: say so on the wire and stop the day
                out.append(f"PANIC {inst} {type(error).__name__}: {' '.join(str(error).split())}")
                continue
            out.extend(encode_action(inst, action) for action in actions)
        return out


def serve(source: TextIO, sink: TextIO) -> None:
    host = Host()
    now: int | None = None
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\n")
        if line == "YOUR_TURN":
            if now is None:
                raise ValueError("malformed line 'YOUR_TURN': no CLOCK before it")
            sink.write("\n".join([*host.batch(now, iter(lines)), "YIELD"]) + "\n")
            sink.flush()
            now, lines = None, []
        elif now is None:
            if not line:
                continue
            mark, _, clock = line.partition(" ")
            if mark != "CLOCK" or not clock.isdigit():
                raise ValueError(f"malformed line {line[:200]!r}: a CLOCK line was expected")
            now = int(clock)
        else:
            lines.append(line)
    if now is not None:
        raise ValueError(f"input ended within the batch of clock {now}")


def main() -> int:
    try:
        serve(sys.stdin, sys.stdout)
    except ValueError as error:
        print(f"flintridge: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
