"""Records: what was seen on both sides of the nodes, as bytes and times. The judge knows nothing else.

Nothing here comes from inside a node. Times are float milliseconds since the start of the run; negative ones
are of the warm-up. A record's place in the log is its order. Encoded names (`tag`, `name`) are read by others
and stay; the Python names may change.
"""

import msgspec
from msgspec import field


class Record(msgspec.Struct, tag_field="what", gc=False, kw_only=True):
    """Something that was seen at `at_ms`."""

    at_ms: float = field(name="t")


# The clients' side


class RequestSent(Record, tag="asked"):
    """A client wrote a request's last byte to a connection that the node's machine had accepted.

    Attributes:
        connection: The client's connection, counted over the run.
        request_id: New for each attempt of the client.
        first_request_id: That of the client's first attempt: ties its attempts together.
        attempt_number: 0 for the first attempt.
        scheduled_ms: When the first attempt was scheduled; latency counts from here.
        time_left_ms: The client's time as sent (`d`).
        idempotency_key: As sent (`k`).
        work_ms: What it costs on a core of speed 1.
        value_digest: Of a write's value, by `record_log.body_digest`.
        counted: Whether it counts in the figures: of the regular clients, within the run. The rest is judged
            by the rules alone.
    """

    node: str
    connection: int = field(name="conn")
    request_id: str = field(name="uid")
    first_request_id: str = field(name="first")
    attempt_number: int = field(name="nth")
    scheduled_ms: float = field(name="due")
    class_name: str = field(name="cls")
    tenant: str
    key: str
    write: bool
    time_left_ms: float = field(name="wait_ms")
    idempotency_key: str = field(default="", name="idem")
    work_ms: float = 0.0
    value_digest: str = field(default="", name="digest")
    counted: bool = True


class ResponseReceived(Record, tag="answered"):
    """The last byte of a response came, or the connection ended without one.

    Attributes:
        kind: served, refused, failed (SERVER_ERROR), error (CLIENT_ERROR), closed, reset or garbled.
        body_digest: Of the value or receipt, by `record_log.body_digest`.
        text: The line as it came, cut to 120 characters.
    """

    node: str
    request_id: str = field(name="uid")
    kind: str
    body_digest: str = field(default="", name="token")
    retry_after_ms: float = 0.0
    text: str = ""


class RequestAbandoned(Record, tag="gave_up"):
    """The client's time ran out, or it left early: it counts on no response any more.

    Attributes:
        left_early: It closed its connection at once.
        lingers_ms: So much longer one whose time ran out keeps its connection, the slack of the rule on
            responses: a response within it is seen, though too late for the client.
    """

    node: str
    request_id: str = field(name="uid")
    left_early: bool = field(default=False, name="early")
    lingers_ms: float = field(default=0.0, name="stays_ms")


class RequestNotAccepted(Record, tag="never_taken"):
    """An attempt that no node accepted: refused, not connected in time, or closed between requests.

    Attributes are those of `RequestSent`, and the reason.
    """

    node: str
    request_id: str = field(name="uid")
    first_request_id: str = field(name="first")
    attempt_number: int = field(name="nth")
    scheduled_ms: float = field(name="due")
    class_name: str = field(name="cls")
    tenant: str
    key: str
    write: bool
    work_ms: float = 0.0
    counted: bool = True
    reason: str = field(default="", name="why")


class MalformedClientEnded(Record, tag="bad_client"):
    """What a client got that sends what cannot be parsed.

    Attributes:
        kind: As the scenario's `bad_clients` names it.
        outcome: error, closed, nothing, served (the one that breaks a rule) or anew (served, as its id was
            free again).
        elapsed_ms: Until the outcome.
        limit_ms: Within which an error or a close is required.
    """

    node: str
    kind: str
    outcome: str = field(name="got")
    elapsed_ms: float = field(name="took_ms")
    limit_ms: float = field(name="owed_ms")


# The servers' side


class AttemptReceived(Record, tag="attempt"):
    """The last byte of a command arrived whole at a cache server or the origin.

    Attributes:
        started_ms: When the node began to send it, as far as the link knows.
        server: Its id.
        connection: The server's connection, counted over the run.
        attempt_id: Counted over the run; ties what becomes of the attempt to it.
        time_left_ms: The client's time as the node sent it (`d`).
        value_digest: Of a write's value, by `record_log.body_digest`; it must be the client's.
    """

    started_ms: float = field(name="began")
    node: str
    server: str
    is_origin: bool = field(name="origin")
    connection: int = field(name="conn")
    attempt_id: int = field(name="number")
    request_id: str = field(name="uid")
    key: str
    write: bool
    time_left_ms: float = field(name="wait_ms")
    idempotency_key: str = field(default="", name="idem")
    work_ms: float = 0.0
    value_digest: str = field(default="", name="digest")


class AttemptServed(Record, tag="made"):
    """A server responded to an attempt; the bytes leave at `at_ms`.

    Attributes:
        outcome: value, receipt, miss, busy, error or spoilt (malformed).
        executed: The request was executed; one responded to as busy never was.
        body_digest: Of the value or receipt that was made for this request.
        lost: The response never gets to the node.
    """

    server: str
    attempt_id: int = field(name="number")
    request_id: str = field(name="uid")
    outcome: str
    executed: bool = field(name="ran")
    body_digest: str = field(default="", name="token")
    lost: bool = False


class AttemptExecuted(Record, tag="ran"):
    """A request took effect at a server, whether or not a response left.

    Attributes:
        is_repeat: It did not take effect: the server had executed its idempotency key before and dropped it.
    """

    server: str
    attempt_id: int = field(name="number")
    request_id: str = field(name="uid")
    idempotency_key: str = field(default="", name="idem")
    is_repeat: bool = field(default=False, name="repeat")


class AttemptDropped(Record, tag="dropped"):
    """The node closed the connection, or its sending half, while an attempt was in flight on it."""

    server: str
    attempt_id: int = field(name="number")
    request_id: str = field(name="uid")


class MalformedMessage(Record, tag="malformed"):
    """A node sent a server or discovery what no client sent, or what cannot be parsed."""

    node: str
    server: str
    text: str


# Discovery, nodes, servers, faults


class EndpointNotified(Record, tag="told"):
    """Discovery's bytes left for a node, or the change counts as notified all the same.

    Attributes:
        complete: The list is whole, not a change of it.
        endpoints: Of each its id, its phase, and since when it is up (ms of the run; 0: long ago).
        assumed: By the rules it counts as notified, though nothing was sent.
    """

    node: str
    revision: int
    complete: bool
    endpoints: list[tuple[str, str, float]] = field(name="members")
    assumed: bool = field(default=False, name="deemed")


class NodeStateChanged(Record, tag="node"):
    """A node's process: started, ready, killed, term, hup, paused, resumed, exited or stuck."""

    node: str
    state: str
    code: int = 0
    text: str = ""


class ConnectionCount(Record, tag="connections"):
    """How many connections a node has open, sampled once a second.

    One counts from its opening until the node's end of it is closed, also where the other side has closed its
    own end before.

    Attributes:
        server_side: To cache servers and the origin.
    """

    node: str
    server_side: int
    client_side: int


class ServerStateChanged(Record, tag="server"):
    """A server: started, stopped, draining, gone, fallen (crashed by overload, rule 4), silent or back.

    Attributes:
        capacity: Work-milliseconds a millisecond when warm: cores times speed.
        initial_fraction: Of the capacity, that it has at its start.
        warm_up_ms: After which it has all of it.
    """

    server: str
    state: str
    zone: str = ""
    cell: int = 0
    capacity: float = 0.0
    initial_fraction: float = field(default=1.0, name="cold_from")
    warm_up_ms: float = field(default=0.0, name="cold_ms")


class FaultChanged(Record, tag="fault"):
    """A fault began or ended, as the scenario's timeline has it."""

    name: str
    begins: bool
    detail: str = ""


class LinkFaultChanged(Record, tag="way"):
    """What is wrong from now on in one direction between two nodes; all at their defaults: nothing.

    Attributes:
        cut: Datagrams are lost and streams pass nothing.
        loss: Fraction of datagrams that are lost.
        duplication: Fraction of datagrams that arrive twice.
        jitter_ms: Up to so much is added to each, at random.
        bytes_per_s: 0: no bound.
    """

    source: str
    target: str
    cut: bool = False
    loss: float = 0.0
    duplication: float = field(default=0.0, name="double")
    added_delay_ms: float = field(default=0.0, name="add_ms")
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0


class MembershipReported(Record, tag="view"):
    """What a node's admin API reports of its peers, as it was asked for.

    Attributes:
        incarnation: Of the node that reports.
        reachable: Count of names, its own included.
        member_count: Of all names.
        bytes_out: Sent to peers so far.
        members: Of each its name, incarnation, state, and how long ago it was alive as far as known (ms; -1:
            not known).
    """

    node: str
    incarnation: str = field(name="life")
    reachable: int = field(name="heard")
    member_count: int = field(name="of")
    limit_ms: float
    bytes_out: int
    members: list[tuple[str, str, str, float]] = field(name="lives")


class LeaseReported(Record, tag="held"):
    """What a node's admin API reports of a fleet-wide limit; amounts are in even parts of the limit.

    Attributes:
        usable: `allocated`, less `lent`, and `borrowed`.
    """

    node: str
    incarnation: str = field(name="life")
    limit_name: str = field(name="budget")
    usable: float
    allocated: float = field(name="own")
    lent: float
    borrowed: float


class NodeLogLine(Record, tag="line"):
    """A line of a node's log, where the nodes gossip or a fault waits for one.

    Attributes:
        fields: As JSON.
    """

    node: str
    event: str
    fields: str = ""


class DatagramRelayed(Record, tag="datagram"):
    """A datagram between two nodes came to the relay between them.

    Attributes:
        size: In bytes.
        outcome: passed, doubled, lost or cut.
        kind: A `flintridge.membership.messages.MessageKind`; -1: it cannot be parsed.
        lease_messages: The kinds of lease messages in it: ask, grant or give.
    """

    source: str
    target: str
    size: int
    outcome: str = field(name="fate")
    kind: int = -1
    lease_messages: tuple[str, ...] = field(default=(), name="words")


AnyRecord = (
    RequestSent
    | ResponseReceived
    | RequestAbandoned
    | RequestNotAccepted
    | MalformedClientEnded
    | AttemptReceived
    | AttemptServed
    | AttemptExecuted
    | AttemptDropped
    | MalformedMessage
    | EndpointNotified
    | NodeStateChanged
    | ConnectionCount
    | ServerStateChanged
    | FaultChanged
    | LinkFaultChanged
    | MembershipReported
    | LeaseReported
    | NodeLogLine
    | DatagramRelayed
)
