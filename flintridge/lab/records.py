"""Records of what was observed on both sides of the nodes, as bytes and times.

The judge knows nothing else of a run. No record comes from inside a node. Times are float milliseconds since
the start of the run; times of the warm-up are negative. Records are ordered by their position in the log.
Encoded names (`tag`, `name`) are a file format and must not change; the Python names may.
"""

import msgspec
from msgspec import field


class Record(msgspec.Struct, tag_field="what", gc=False, kw_only=True):
    """An observation at `at_ms`."""

    at_ms: float = field(name="t")


# The clients' side


class RequestSent(Record, tag="asked"):
    """A client wrote a request's last byte to a connection that the node's machine had accepted.

    Attributes:
        connection: The number of the client's connection, unique in the run.
        request_id: The id of the attempt; each attempt of a client has a new one.
        first_request_id: The id of the client's first attempt, which all attempts of the request share.
        attempt_number: The number of the attempt; 0 for the first.
        scheduled_ms: When the first attempt was scheduled; latency is measured from this time.
        time_left_ms: The client's remaining time as sent (`d`).
        idempotency_key: The idempotency key as sent (`k`).
        work_ms: The request's work on a core of speed 1.
        value_digest: The `record_log.body_digest` of a write's value.
        counted: Whether the request counts in the figures, which cover regular clients within the run. Other
            requests are only judged by the rules.
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
    """The last byte of a response arrived, or the connection ended without a response.

    Attributes:
        kind: served, refused, failed (SERVER_ERROR), error (CLIENT_ERROR), closed, reset or garbled.
        body_digest: The `record_log.body_digest` of the value or receipt.
        text: The line as received, truncated to 120 characters.
    """

    node: str
    request_id: str = field(name="uid")
    kind: str
    body_digest: str = field(default="", name="token")
    retry_after_ms: float = 0.0
    text: str = ""


class RequestAbandoned(Record, tag="gave_up"):
    """An attempt timed out or its client disconnected early; the client no longer waits for a response.

    Attributes:
        left_early: Whether the client closed its connection immediately.
        lingers_ms: How long a client keeps its connection after a timeout. This covers the tolerance of the
            rule on responses, so that a response within it is still observed, though too late for the client.
    """

    node: str
    request_id: str = field(name="uid")
    left_early: bool = field(default=False, name="early")
    lingers_ms: float = field(default=0.0, name="stays_ms")


class RequestNotAccepted(Record, tag="never_taken"):
    """An attempt that no node accepted: refused, not connected in time, or closed between requests.

    The attributes are those of `RequestSent`, and the reason.
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
    """The outcome for a client that sent a malformed request.

    Attributes:
        kind: The kind of malformed request, as in the scenario's `bad_clients`.
        outcome: error, closed, nothing, served (the only one that breaks a rule) or anew (served, because the
            request's id was free again).
        elapsed_ms: The time until the outcome.
        limit_ms: The time within which an error or a close is required.
    """

    node: str
    kind: str
    outcome: str = field(name="got")
    elapsed_ms: float = field(name="took_ms")
    limit_ms: float = field(name="owed_ms")


# The servers' side


class AttemptReceived(Record, tag="attempt"):
    """The last byte of a complete command arrived at a cache server or the origin.

    Attributes:
        started_ms: When the node began to send the command, as far as the link knows.
        server: The id of the server.
        connection: The number of the server's connection, unique in the run.
        attempt_id: The number of the attempt, unique in the run; later records of the attempt refer to it.
        time_left_ms: The client's remaining time as the node sent it (`d`).
        value_digest: The `record_log.body_digest` of a write's value; it must equal the client's.
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
        executed: Whether the request was executed; a request with the outcome busy never was.
        body_digest: The `record_log.body_digest` of the value or receipt created for this request.
        lost: Whether the response never reaches the node.
    """

    server: str
    attempt_id: int = field(name="number")
    request_id: str = field(name="uid")
    outcome: str
    executed: bool = field(name="ran")
    body_digest: str = field(default="", name="token")
    lost: bool = False


class AttemptExecuted(Record, tag="ran"):
    """A server executed a request, whether or not a response was sent.

    Attributes:
        is_repeat: Whether the server dropped the request as a repeat, because it had executed the idempotency
            key before; such a request takes no effect.
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
    """A node sent a server or discovery something malformed, or something that no client had sent."""

    node: str
    server: str
    text: str


# Discovery, nodes, servers, faults


class EndpointNotified(Record, tag="told"):
    """Discovery sent an update to a node, or the node counts as notified of the change without it.

    Attributes:
        complete: Whether the update is a complete list rather than a change of it.
        endpoints: The id, phase and start time of each endpoint (ms of the run; 0: long before the run).
        assumed: Whether the node counts as notified by the rules although nothing was sent.
    """

    node: str
    revision: int
    complete: bool
    endpoints: list[tuple[str, str, float]] = field(name="members")
    assumed: bool = field(default=False, name="deemed")


class NodeStateChanged(Record, tag="node"):
    """The state of a node's process changed.

    It is started, ready, killed, term, hup, paused, resumed, exited or stuck.
    """

    node: str
    state: str
    code: int = 0
    text: str = ""


class ConnectionCount(Record, tag="connections"):
    """The number of connections that a node has open, sampled once a second.

    A connection counts from its opening until the node's end is closed, even if the other side has closed its
    own end before.

    Attributes:
        server_side: Connections to cache servers and the origin.
    """

    node: str
    server_side: int
    client_side: int


class ServerStateChanged(Record, tag="server"):
    """The state of a server changed.

    It is started, stopped, draining, gone, fallen (crashed by overload, rule 4), silent or back.

    Attributes:
        capacity: Milliseconds of work done per millisecond when warm: cores times speed.
        initial_fraction: The fraction of the capacity that is available at the start.
        warm_up_ms: The time after the start until the whole capacity is available.
    """

    server: str
    state: str
    zone: str = ""
    cell: int = 0
    capacity: float = 0.0
    initial_fraction: float = field(default=1.0, name="cold_from")
    warm_up_ms: float = field(default=0.0, name="cold_ms")


class FaultChanged(Record, tag="fault"):
    """A fault of the scenario began or ended."""

    name: str
    begins: bool
    detail: str = ""


class LinkFaultChanged(Record, tag="way"):
    """The impairment of one direction between two nodes changed; with all defaults there is none.

    Attributes:
        cut: Whether datagrams are lost and streams carry nothing.
        loss: The fraction of datagrams that are lost.
        duplication: The fraction of datagrams that arrive twice.
        jitter_ms: The maximum random delay that is added to each datagram.
        bytes_per_s: The bandwidth; 0: no limit.
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
    """A node's admin API reported the node's peers on request.

    Attributes:
        incarnation: The incarnation of the reporting node.
        reachable: The number of reachable nodes, the reporting node included.
        member_count: The number of all known nodes.
        limit_ms: The age beyond which evidence that a node is alive does not count.
        bytes_out: Bytes sent to peers so far.
        members: The name, incarnation and state of each node, and the time (ms) since it was last known to be
            alive (-1: unknown).
    """

    node: str
    incarnation: str = field(name="life")
    reachable: int = field(name="heard")
    member_count: int = field(name="of")
    limit_ms: float
    bytes_out: int
    members: list[tuple[str, str, str, float]] = field(name="lives")


class LeaseReported(Record, tag="held"):
    """A node's admin API reported a fleet-wide limit; amounts are in even parts of the limit.

    Attributes:
        usable: The part that the node may use: `allocated` minus `lent` plus `borrowed`.
    """

    node: str
    incarnation: str = field(name="life")
    limit_name: str = field(name="budget")
    usable: float
    allocated: float = field(name="own")
    lent: float
    borrowed: float


class NodeLogLine(Record, tag="line"):
    """A line of a node's log; recorded if the nodes gossip or a fault has a trigger.

    Attributes:
        fields: The fields of the line, encoded as JSON.
    """

    node: str
    event: str
    fields: str = ""


class DatagramRelayed(Record, tag="datagram"):
    """A datagram between two nodes reached the relay between them.

    Attributes:
        size: The size in bytes.
        outcome: passed, doubled, lost or cut.
        kind: A `flintridge.membership.messages.MessageKind`; -1: the datagram cannot be parsed.
        lease_messages: The kinds of the lease messages in the datagram: ask, grant or give.
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
