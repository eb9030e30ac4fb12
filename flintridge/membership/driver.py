"""The peers' sockets: datagrams to and from `Presence`, and one exchange a connection. It judges nothing."""

import asyncio
import errno
import ipaddress
import os
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Any, Protocol

import msgspec

from flintridge.errors import FlintridgeError
from flintridge.membership.byte_budget import Bucket
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.member_table import Member, Reachability
from flintridge.membership.messages import MAGIC, VERSION, Entry, MessageDroppedError, Wire
from flintridge.membership.state_exchange import NONCE, Ask, Exchange, Hello, Piece, Refusal
from flintridge.runtime.clock import Clock, DeadlineExceededError, Timer, sleep, within
from flintridge.runtime.listener import ListenError
from flintridge.settings import Address, PeersConfig
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

TICK = 50.0
REGISTER = 250.0  # between two words of a second process to the one that holds the address
FORWARD = 1_000.0  # how long such a word counts
REGISTERS = b"FR"  # it is `FR`, a version and a seal of the port that the word came from
CALL_TIME = 10_000.0  # until which an exchange must be over
PLACES = 4  # exchanges that others may have open here; beyond, the newest is turned away
CHUNK = 1024  # bytes of an exchange that are paced in one go
MOST_TAKEN = 4 * 1024 * 1024  # bytes of one answer
TABLE = "lives"  # the topic of the table itself


class Asked(Protocol):
    """What answers a topic's exchange: pieces, each of a frame at most."""

    def __call__(self, about: bytes) -> Iterable[bytes]: ...


class ExchangeRefusedError(FlintridgeError):
    """The other side has no answer; the text says why."""


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, taken: Callable[[bytes, Any], None], counters: Counters) -> None:
        self._taken, self._counters = taken, counters

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._taken(data, addr)

    def error_received(self, exc: Exception) -> None:
        # Nobody listens there, which presence finds out by itself; or no room for a moment.
        self._counters.add("peers_send_errors")


class MembershipDriver:
    """One process's part among its peers. Times are float milliseconds of `clock`."""

    def __init__(
        self,
        name: str,
        config: PeersConfig,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        entropy: Callable[[int], bytes] = os.urandom,
    ) -> None:
        rng = Random(entropy(16))
        self._entropy = entropy
        self.incarnation = rng.getrandbits(62) + 1
        self.name, self.config = name, config
        self._clock, self._log, self._counters = clock, log, counters
        self._wire = Wire(config.fleet, config.key)
        self._addresses = {peer: address for peer, address in config.known if peer != name}
        self.failure_detector = FailureDetector(
            name,
            self.incarnation,
            tuple(self._addresses),
            self._wire,
            config.bytes_per_s / 2,
            clock.now(),
            rng,
            log.event,
        )
        self._asked: dict[str, Asked] = {TABLE: self._table_pieces}
        self._pace = Bucket(config.bytes_per_s / 2)  # of exchanges; presence keeps to the other half
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._holds = False  # the configured address, which another process of this node may have
        self._next_claim = 0.0
        self._others: dict[
            Any, float
        ] = {}  # processes of this node to which all is forwarded, and until when
        self._timer: Timer | None = None
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._open = 0
        self._claiming = False
        self._closed = False

    @property
    def reachability(self) -> Reachability:
        """What part of the fleet is heard at this moment."""
        self.failure_detector.glance(self._clock.now())
        return self.failure_detector.reachability

    def register_exchange(self, topic: str, asked: Asked) -> None:
        """Register what answers exchanges of a topic. Raises ValueError where one is registered."""
        if topic in self._asked:
            raise ValueError(f"topic {topic} is registered")
        self._asked[topic] = asked

    async def start(self) -> None:
        """Raises ListenError where the address can't be had, unless another process of this node has it."""
        listen = self.config.listen
        if not await self._claim():
            # Another process of this node has it, in an upgrade: it passes on what comes.
            try:
                await self._bind(Address(listen.host, 0))
            except OSError as error:
                raise ListenError(f"peers: cannot listen on {listen.host}: {error.strerror}") from error
        self._log.event(
            "peers",
            address=str(listen),
            holds=self._holds,
            life=f"{self.incarnation:x}",
            known=len(self._addresses),
        )
        self._tick()

    async def _claim(self) -> bool:
        """Take the configured address. False while another process has it. Raises ListenError."""
        listen = self.config.listen
        old = self._transport
        try:
            await self._bind(listen)
        except OSError as error:
            if error.errno == errno.EADDRINUSE:
                return False
            raise ListenError(f"peers: cannot listen on {listen}: {error.strerror}") from error
        if old is not None:
            old.close()
        try:
            self._server = await asyncio.start_server(self._called, listen.host, listen.port)
        except OSError as error:  # only exchanges go without: presence is what others need
            self._log.event("peers_no_exchanges", address=str(listen), error=str(error))
        self._holds = True
        return True

    async def _bind(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: Datagrams(self._taken, self._counters), local_addr=(address.host, address.port)
        )
        self._transport = transport

    def leave(self) -> None:
        """Tell a few that this process ends in order. Then nothing more is said."""
        if not self._closed:
            self.failure_detector.leave(self._clock.now())
            self._flush()

    async def close(self) -> None:
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()

    # Datagrams

    def _tick(self) -> None:
        if self._closed:
            return
        now = self._clock.now()
        self._timer = self._clock.call_at(now + TICK, self._tick)
        try:
            self.failure_detector.tick(now)
            self._flush()
            if not self._holds and now >= self._next_claim:
                self._next_claim = now + REGISTER
                self._register()
                self._run(self._claim_again())
            self._catch_up()
        except Exception as error:  # the node must serve on whatever breaks here
            self._counters.add("peers_errors")
            self._log.error("peers_broke", error)

    def _taken(self, data: bytes, source: Any) -> None:
        if self._closed:
            return
        try:
            if data.startswith(REGISTERS):
                self._registered(data, source)
                return
            self._forward(data)
            self.failure_detector.beside = bool(self._others)
            self.failure_detector.received(self._clock.now(), data)
            self._flush()
        except Exception as error:
            self._counters.add("peers_errors")
            self._log.error("peers_broke", error)

    def _flush(self) -> None:
        for out in self.failure_detector.take():
            address = self._addresses[out.name]
            self._send(out.data, (address.host, address.port))

    def _send(self, data: bytes, to: tuple[str, int]) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, to)

    def send_payloads(self, life: Member) -> None:
        """Send that life what topics have for it, now."""
        if not self._closed:
            self.failure_detector.send_payloads(self._clock.now(), life)
            self._flush()

    # Two processes of one node

    async def _claim_again(self) -> None:
        if self._claiming or self._closed:
            return
        self._claiming = True
        try:
            if await self._claim():
                self._log.event("peers_address_taken_over", address=str(self.config.listen))
        except ListenError as error:
            self._log.event("peers_address_lost", error=str(error))
        finally:
            self._claiming = False

    def _register(self) -> None:
        assert self._transport is not None
        port = self._transport.get_extra_info("sockname")[1]
        word = REGISTERS + bytes([VERSION]) + self._wire.seal(b"%d" % port, REGISTERS)
        self._send(word, (self.config.listen.host, self.config.listen.port))

    def _registered(self, data: bytes, source: Any) -> None:
        """Only from this very address, and few: guards against others who want a copy of all."""
        word = REGISTERS + bytes([VERSION]) + self._wire.seal(b"%d" % source[1], REGISTERS)
        same = ipaddress.ip_address(source[0]) == ipaddress.ip_address(self.config.listen.host)
        if data != word or not same or (source not in self._others and len(self._others) >= 2):
            self._counters.add("peers_registers_refused")
            return
        self._others[source] = self._clock.now() + FORWARD

    def _forward(self, data: bytes) -> None:
        if self._others and data.startswith(MAGIC):
            now = self._clock.now()
            for other, until in [*self._others.items()]:
                if until < now:
                    del self._others[other]
                else:
                    self._send(data, other)

    # Exchanges

    async def exchange(self, peer: str, topic: str, about: bytes) -> list[bytes]:
        """Ask a peer and take its whole answer. Raises OSError (nobody there, or it broke off),
        DeadlineExceededError, MessageDroppedError (what came is no answer) or ExchangeRefusedError.
        KeyError for a name that is not configured."""
        address = self._addresses[peer]
        return await within(self._clock, CALL_TIME, self._ask(address, topic, about))

    async def _ask(self, address: Address, topic: str, about: bytes) -> list[bytes]:
        reader, writer = await asyncio.open_connection(address.host, address.port)
        exchange = Exchange(self._wire, self.name, self.incarnation, self._entropy(NONCE), calls=True)
        pieces: list[bytes] = []
        taken = 0
        try:
            while True:
                for part in exchange.take():
                    await self._paced(writer, part)
                data = await reader.read(CHUNK * 16)
                if not data:
                    raise ConnectionResetError("the peer ended the exchange")
                taken += len(data)
                if taken > MOST_TAKEN:
                    raise MessageDroppedError("long")
                for frame in exchange.feed(data):
                    match frame:
                        case Hello():
                            exchange.ask(topic, about)
                        case Piece(piece, last):
                            pieces.append(piece)
                            if last:
                                return pieces
                        case Refusal(reason):
                            raise ExchangeRefusedError(reason)
        finally:
            writer.close()

    async def _called(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._open >= PLACES or self._closed:
            self._counters.add("peers_exchanges_turned_away")
            writer.close()
            return
        self._open += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = None
        try:
            await within(self._clock, CALL_TIME, self._serve(reader, writer))
            self._counters.add("peers_exchanges_served")
        except MessageDroppedError as dropped:
            self._counters.add(f"peers_exchanges_{dropped.reason}")
        except (OSError, DeadlineExceededError):
            self._counters.add("peers_exchanges_broken")
        except asyncio.CancelledError:
            if not self._closed:
                raise
        except Exception as error:
            self._counters.add("peers_errors")
            self._log.error("peers_broke", error)
        finally:
            self._open -= 1
            del self._tasks[task]
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        exchange = Exchange(self._wire, self.name, self.incarnation, self._entropy(NONCE), calls=False)
        asked: Ask | None = None
        while asked is None:
            if not (data := await reader.read(CHUNK * 16)):
                raise ConnectionResetError("the peer ended the exchange")
            for frame in exchange.feed(data):
                if isinstance(frame, Ask):
                    asked = frame
            for part in exchange.take():
                await self._paced(writer, part)
        if (answers := self._asked.get(asked.topic)) is None:
            exchange.refuse(f"unknown topic {asked.topic}")
        else:
            for piece in answers(asked.about):
                exchange.tell(piece, last=False)
                for part in exchange.take():
                    await self._paced(writer, part)
            exchange.tell(b"", last=True)
        for part in exchange.take():
            await self._paced(writer, part)

    async def _paced(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Written within this part's bytes a second, and as fast as the other side reads."""
        for at in range(0, len(data), CHUNK):
            chunk = data[at : at + CHUNK]
            # Guards the start of a small bound: a chunk over it would wait for ever.
            while not self._pace.take(self._clock.now(), min(len(chunk), self._pace.rate)):
                await sleep(self._clock, TICK)
            self._counters.add("peers_exchange_bytes", len(chunk))
            writer.write(chunk)
            await writer.drain()

    # The table itself, for one that has just begun or was stopped

    def _table_pieces(self, about: bytes) -> Iterator[bytes]:
        table, encoder = self.failure_detector.table, msgspec.msgpack.Encoder()
        lives = table.missing(about)
        for at in range(0, len(lives), 32):
            now = self._clock.now()  # ages as of each piece: a slow reader must not make them younger
            yield encoder.encode([table.entry(one, now) for one in lives[at : at + 32]])

    def _catch_up(self) -> None:
        """After the start and after each gap: the lives that peers hear and this node does not."""
        if (peer := self.failure_detector.table_from(self._clock.now())) is not None:
            self._run(self._take_table(peer))

    async def _take_table(self, peer: str) -> None:
        asked_at = self._clock.now()
        try:
            pieces = await self.exchange(peer, TABLE, self.failure_detector.table.heard_bits())
            entries = [
                entry
                for piece in pieces
                if piece
                for entry in msgspec.msgpack.decode(piece, type=list[Entry])
            ]
        except (
            OSError,
            DeadlineExceededError,
            MessageDroppedError,
            ExchangeRefusedError,
            msgspec.MsgspecError,
        ) as error:
            self._counters.add("peers_tables_failed")
            self._log.event("peers_table_failed", peer=peer, error=repr(error))
            return
        now = self._clock.now()
        for entry in entries:
            # Its words were said after the call, whenever that was answered.
            self.failure_detector.table.told(
                entry, asked_at, self.failure_detector.doubt, now, self.failure_detector.limit
            )
        self._counters.add("peers_tables_taken")

    def _run(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    # For staff

    def admin_view(self) -> tuple[int, dict[str, Any]]:
        """The answer to GET /admin/peers; times are milliseconds ago, null where there is none."""
        now, presence = self._clock.now(), self.failure_detector
        presence.glance(now)
        view = presence.reachability
        lives = [self._said(one, now) for one in presence.table]
        named = {one["name"] for one in lives}
        lives += [
            {"name": name, "life": None, "state": "silent"}
            for name in presence.table.names
            if name not in named
        ]
        counts = {name: presence.counts.of[name] for name in sorted(presence.counts.of)}
        return 200, {
            "name": self.name,
            "life": f"{self.incarnation:x}",
            "fleet": self.config.fleet,
            "sealed": self.config.key is not None,
            "holds_address": self._holds,
            "heard": view.heard,
            "of": view.names,
            "epoch": view.epoch,
            "heard_for_ms": round(now - view.since[view.heard]),
            "limit_ms": round(presence.limit),
            "slowness": presence.slowness,
            "bytes_per_s": self.config.bytes_per_s,
            "lives": sorted(lives, key=lambda one: (one["name"], str(one["life"]))),
            "counts": counts,
        }

    def _said(self, one: Member, now: float) -> dict[str, Any]:
        def ago(at: float) -> int | None:
            return None if at == float("-inf") else round(now - at)

        return {
            "name": one.name,
            "life": f"{one.incarnation:x}",
            "state": self.failure_detector.table.standing(one, now, self.failure_detector.limit),
            "heard_ms_ago": ago(one.heard_at),
            "told_ms_ago": ago(one.told_at),
            "round_trip_ms": None if one.round_trip is None else round(one.round_trip, 2),
            "incarnation": one.refutations,
            "bytes_in": one.bytes_in,
            "refused": one.refused,
        }

    def publish_counters(self) -> None:
        """Presence's counts into the node's counters, which are printed with the others."""
        for name, count in self.failure_detector.counts.of.items():
            full = f"peers_{name}"
            self._counters.add(full, count - self._counters[full])
