"""What was seen on both sides of the nodes, as bytes and times: the lab's log, and all that the judge knows.

Nothing here comes from inside a node. Times are float milliseconds since the start of the day; negative ones
are of the warm-up. A record's place in the log is its order.
"""

import hashlib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import msgspec


class Record(msgspec.Struct, tag_field="what", gc=False, kw_only=True):
    """Something that was seen at `t` (ms)."""

    t: float


# The clients' side


class Asked(Record, tag="asked"):
    """A client wrote a request's last byte to a connection that the node's machine had accepted."""

    node: str
    conn: int  # the client's connection, counted over the day
    uid: str  # new for each try
    first: str  # the uid of the first try: what belongs together for the client
    nth: int  # 0 for the first try
    due: float  # when the first try was meant to be sent: latency counts from here
    cls: str
    tenant: str
    key: str
    write: bool
    wait_ms: float  # `d` as sent
    idem: str = ""  # `k` as sent
    work_ms: float = 0.0  # what it really costs on a core of speed 1
    digest: str = ""  # of a write's value, by `token`
    counted: bool = True  # of the usual clients, within the day; the rest is judged by the rules alone


class Answered(Record, tag="answered"):
    """The last byte of an answer came, or the connection ended without one."""

    node: str
    uid: str
    kind: str  # served, refused, failed (SERVER_ERROR), error (CLIENT_ERROR), closed, reset, garbled
    token: str = ""  # of the value or receipt, by `token`
    retry_after_ms: float = 0.0
    text: str = ""  # the line as it came, cut to 120 characters


class GaveUp(Record, tag="gave_up"):
    """The client's time ran out, or it left early: it counts on no answer any more.

    One that left early closed its connection. One whose time ran out stays for `stays_ms`, the slack of the
    rule on answers, so that an answer in that slack is seen; it comes too late for the client all the same.
    """

    node: str
    uid: str
    early: bool = False
    stays_ms: float = 0.0


class NeverTaken(Record, tag="never_taken"):
    """A try that no node took: refused, no connection in time, or closed between requests."""

    node: str
    uid: str
    first: str
    nth: int
    due: float
    cls: str
    tenant: str
    key: str
    write: bool
    work_ms: float = 0.0
    counted: bool = True
    why: str = ""


class BadClient(Record, tag="bad_client"):
    """What a client got that sends what cannot be read; to be `served` is worst."""

    node: str
    kind: str
    got: str  # error, closed, nothing, served; anew: served, as its id was free again
    took_ms: float
    owed_ms: float  # within which an error or a close was due


# The servers' side


class Attempt(Record, tag="attempt"):
    """The last byte of a command arrived whole at a cache server or the origin."""

    began: float  # when the node began to send it, as far as the link tells
    node: str
    server: str  # id
    origin: bool
    conn: int  # the server's connection, counted over the day
    number: int  # of this attempt, counted over the day: what ties Made and Dropped to it
    uid: str
    key: str
    write: bool
    wait_ms: float  # `d` as the node sent it
    idem: str = ""
    work_ms: float = 0.0
    digest: str = ""  # of a write's value, by `token`: it must be the client's


class Made(Record, tag="made"):
    """A server answered an attempt; the bytes leave at `t`. What is `lost` never gets to the node."""

    server: str
    number: int
    uid: str
    outcome: str  # value, receipt, miss, busy, error, spoilt
    ran: bool  # the request has run (a busy one never did)
    token: str = ""  # of the value or receipt that was made for this request
    lost: bool = False


class Ran(Record, tag="ran"):
    """A request took effect at a server, whether or not an answer went out. Only the first of a key counts
    where servers drop repeats: `repeat` tells of one that was dropped."""

    server: str
    number: int
    uid: str
    idem: str = ""
    repeat: bool = False


class Dropped(Record, tag="dropped"):
    """The node closed the connection, or its sending, while an attempt was out on it."""

    server: str
    number: int
    uid: str


class Malformed(Record, tag="malformed"):
    """A node sent a server or discovery what no client sent, or what cannot be read."""

    node: str
    server: str
    text: str


# Discovery, nodes, servers, faults


class Told(Record, tag="told"):
    """Discovery's bytes left for a node, or the change counts as told all the same (`deemed`)."""

    node: str
    revision: int
    complete: bool
    members: list[tuple[str, str, float]]  # id, phase, up_since on the day's clock (ms; 0: long ago)
    deemed: bool = False


class NodeSaid(Record, tag="node"):
    """A node's process: started, ready, killed, term, hup, paused, resumed, exited, stuck."""

    node: str
    state: str
    code: int = 0
    text: str = ""


class Connections(Record, tag="connections"):
    """How many connections a node holds, sampled once a second. One counts as held from its opening until the
    node's end of it is closed, also where the other side has closed its own end before."""

    node: str
    server_side: int  # to cache servers and the origin
    client_side: int


class ServerSaid(Record, tag="server"):
    """A server's life: started, stopped, draining, gone, fallen (rule 4), silent, back."""

    server: str
    state: str
    zone: str = ""
    cell: int = 0
    capacity: float = 0.0  # work-milliseconds a millisecond when warm: cores times speed
    cold_from: float = 1.0  # the part of it that it has at its start
    cold_ms: float = 0.0  # after which it has all


class Happened(Record, tag="fault"):
    """A fault began or ended, as the scenario's timeline has it."""

    name: str
    begins: bool
    detail: str = ""


class Way(Record, tag="way"):
    """What is wrong from now on in one direction between two nodes; all at rest: nothing."""

    source: str
    target: str
    cut: bool = False
    loss: float = 0.0
    double: float = 0.0
    add_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0


class View(Record, tag="view"):
    """What a node's console tells of its peers, as it was asked for."""

    node: str
    life: str
    heard: int  # names, itself included
    of: int
    limit_ms: float
    bytes_out: int
    lives: list[tuple[str, str, str, float]]  # name, life, state, how long ago it lived as far as known (-1)


class Held(Record, tag="held"):
    """What a node's console tells of a budget that nodes lend one another, in even parts of it."""

    node: str
    life: str
    budget: str
    usable: float  # own, less what is lent, and what is borrowed
    own: float
    lent: float
    borrowed: float


class Line(Record, tag="line"):
    """A line of a node's log, on a day whose nodes hear one another or on which a fault waits for one."""

    node: str
    event: str
    fields: str = ""  # as JSON


class Datagram(Record, tag="datagram"):
    """One between two nodes came to the relay between them. `fate`: passed, doubled, lost or cut."""

    source: str
    target: str
    size: int
    fate: str
    kind: int = -1  # as in `flintridge.membership.messages.MessageKind`; -1: it cannot be read
    words: tuple[str, ...] = ()  # of budgets, in it: ask, grant, give


AnyRecord = (
    Asked
    | Answered
    | GaveUp
    | NeverTaken
    | BadClient
    | Attempt
    | Made
    | Ran
    | Dropped
    | Malformed
    | Told
    | NodeSaid
    | Connections
    | ServerSaid
    | Happened
    | Way
    | View
    | Held
    | Line
    | Datagram
)

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AnyRecord)


def token(body: bytes) -> str:
    """What stands for a value or receipt in the log: 16 hex digits of BLAKE2b."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


class Log:
    """The ordered log of one run."""

    def __init__(self) -> None:
        self.records: list[AnyRecord] = []
        self.add: Callable[[AnyRecord], None] = self.records.append
        self._watchers: list[Callable[[AnyRecord], None]] = []

    def watch(self, seen: Callable[[AnyRecord], None]) -> None:
        """Have `seen` called with each record from now on, once it is in the log."""
        self._watchers.append(seen)
        self.add = self._add_and_tell

    def _add_and_tell(self, record: AnyRecord) -> None:
        self.records.append(record)
        for seen in self._watchers:
            seen(record)

    def __iter__(self) -> Iterator[AnyRecord]:
        return iter(self.records)

    def __len__(self) -> int:
        return len(self.records)

    def digest(self) -> str:
        """A hash over the whole log in its order: equal runs have equal digests."""
        whole = hashlib.blake2b(digest_size=16)
        for record in self.records:
            whole.update(_encoder.encode(record))
            whole.update(b"\n")
        return whole.hexdigest()

    def write(self, path: Path) -> None:
        """One JSON line a record."""
        with path.open("wb") as file:
            for record in self.records:
                file.write(_encoder.encode(record) + b"\n")


def read(lines: Iterable[bytes]) -> Iterator[AnyRecord]:
    """Records from their JSON lines; raises msgspec.DecodeError."""
    for line in lines:
        yield _decoder.decode(line)
