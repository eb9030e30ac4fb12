"""One process's leases of all fleet-wide limits: what it needs, from whom it requests it, what it may use.

A state machine without I/O over the allocations, which keep the limits whatever this one does: it only
chooses. Its messages are one topic of the peers' datagrams; nothing waits for a response. Times are float
milliseconds of the process's own clock; amounts at the public interface are multiples of an even fraction.
"""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from flintridge.leases.account import MIN_LEASE_UNITS, Account, Offer
from flintridge.leases.allocation import Allocation, ProcessId
from flintridge.leases.fleet_limit import (
    EVEN_FRACTION_UNITS,
    FLOORS,
    RETRIES,
    SLOW_START,
    FleetLimit,
    LeaseTerms,
)
from flintridge.leases.grantor import Grantor
from flintridge.leases.lessee import Lessee
from flintridge.leases.messages import (
    MAX_MESSAGES,
    MAX_OFFERS,
    LeaseFact,
    LeaseGrant,
    LeaseMessage,
    LeaseOffer,
    LeaseRelease,
    LeaseRequest,
    LimitMessage,
    decode,
    encode,
)
from flintridge.leases.outbox import Outbox
from flintridge.membership.member import Member

# Limits of which a node needs as much as its request rate is to the mean of all that are reachable.
LIMITS_BY_REQUEST_RATE = (FLOORS, SLOW_START, RETRIES)
REQUEST_RATE_MAX_AGE_MS = 20_000.0


@dataclass(slots=True, frozen=True)
class _ReportedRate:
    requests_per_s: float
    reported_at: float


def _ignore_event(event: str, **fields: object) -> None:
    """Log nothing."""


class LeaseManager:
    """The leases of one process.

    Attributes:
        name: Of its topic in the peers' datagrams.
        bytes_per_s: What the topic may send.
        accounts: The limits, by name.
        counts: What happened since the start, by the names that GET /admin/budgets gives.
        requests_per_s: Requests a second here, as last reported.
        shutting_down: Whether this process shuts down.
    """

    name = "budgets"

    def __init__(
        self,
        peers: tuple[str, ...],
        limits: tuple[FleetLimit, ...],
        bytes_per_s: float,
        now: float,
        rng: Random,
        log_event: Callable[..., None] = _ignore_event,
        make_allocation: Callable[[LeaseTerms, float], Allocation] = Allocation,
    ) -> None:
        """Create the leases of a process that starts at `now`.

        Args:
            peers: Names of the other nodes.
            limits: The limits that are leased.
            bytes_per_s: What the topic may send.
            now: The instant.
            rng: Draws whom to ask.
            log_event: Called with an event's name and fields, for what operators should see.
            make_allocation: Makes the allocation of a limit from its terms and the instant.
        """
        self.bytes_per_s = bytes_per_s
        self.accounts = {limit.name: Account(limit, make_allocation(limit.terms, now)) for limit in limits}
        self.counts: Counter[str] = Counter()
        self.requests_per_s = 0.0
        self.shutting_down = False
        self._accounts_by_digest = {account.limit.digest: account for account in self.accounts.values()}
        self._peers = frozenset(peers)
        self._log_event = log_event
        self._outbox = Outbox()
        self._peer_rates: dict[str, _ReportedRate] = {}
        self._peers_with_differing_terms: set[str] = set()
        self._lessee = Lessee(rng, self._send, self.counts, log_event)
        self._grantor = Grantor(self._send, self.counts)

    # What may be used

    def usable(self, name: str, now: float) -> float:
        """What may be used of that limit at this instant, in even fractions."""
        return self.accounts[name].allocation.usable(now) / EVEN_FRACTION_UNITS

    def usable_after_leases(self, name: str, now: float) -> float:
        """What may be used of it at any later instant if no message comes, in even fractions."""
        return self.accounts[name].allocation.usable_after_leases(now) / EVEN_FRACTION_UNITS

    def first_expiry(self, now: float) -> float:
        """When the first acquired lease expires; infinite if there is none."""
        return min(
            (account.allocation.first_expiry(now) for account in self.accounts.values()), default=math.inf
        )

    # What is needed

    def set_demand(self, name: str, even_fractions: float) -> None:
        """Report how much of that limit is needed here."""
        account = self.accounts[name]
        account.demand = min(even_fractions, account.limit.nodes) * EVEN_FRACTION_UNITS

    def track_usage(self, name: str, in_use: Callable[[], float]) -> None:
        """Let `in_use` say how much of that limit, in even fractions, is taken up at an instant.

        For permits, which come free only when what was begun with them has ended.
        """
        self.accounts[name].in_use = lambda: in_use() * EVEN_FRACTION_UNITS

    # Time, and processes that come and go

    def tick(self, now: float) -> None:
        """Do all that is due; to be called every 50 ms or so."""
        if not self.shutting_down:
            self._set_demand_by_request_rate(now)
        for account in self.accounts.values():
            self._lessee.tick(account, now)

    def begin_shutdown(self, now: float) -> None:
        """This process shuts down.

        What is acquired is released as soon as nothing takes it up, and its own entitlement is granted beyond
        its floor, until the leases expire.
        """
        self.shutting_down = True
        for account in self.accounts.values():
            account.shutting_down = True
            account.demand = 0.0
            for key in [*account.pending]:
                self._lessee.cancel(account, key)
            self._lessee.release_surplus(account, now)

    def process_joined(self, now: float, notice_ms: float = 0.0) -> None:
        """Another process of this node runs; see `Allocation.process_joined`."""
        for account in self.accounts.values():
            account.allocation.process_joined(now, notice_ms)
        self._log_event("leases_process_joined")

    def process_left(self, now: float) -> None:
        """This process is the node's only one again."""
        for account in self.accounts.values():
            account.allocation.process_left(now)
        self._log_event("leases_process_left")

    def _set_demand_by_request_rate(self, now: float) -> None:
        rates = [
            rate.requests_per_s
            for rate in self._peer_rates.values()
            if now < rate.reported_at + REQUEST_RATE_MAX_AGE_MS
        ]
        mean = (sum(rates) + self.requests_per_s) / (len(rates) + 1)
        for name in LIMITS_BY_REQUEST_RATE:
            if name in self.accounts:
                self.set_demand(name, self.requests_per_s / mean if rates and mean > 0 else 1.0)

    # The topic of the peers' datagrams

    def receivers(self) -> list[ProcessId]:
        """Processes for which there are messages, which need not wait for the next datagram."""
        return self._outbox.receivers()

    def drop_messages(self, peer: ProcessId) -> None:
        """Drop the messages to a process that is not reachable (any more), as a datagram would be lost."""
        self._outbox.drop(peer)

    def payload_for(self, now: float, to: Member, max_bytes: int) -> bytes | None:
        """The fact for a datagram to that process, in at most `max_bytes` bytes; None if there is none."""
        peer = ProcessId(to.name, to.incarnation)
        messages = self._outbox.queued_for(peer)[:MAX_MESSAGES]
        offers = self._offers(now)
        reports_rate = any(name in self.accounts for name in LIMITS_BY_REQUEST_RATE)
        if not messages and not offers and not reports_rate:
            return None
        data = self._encode(offers, messages)
        while len(data) > max_bytes:
            if not offers and not messages:
                return None
            (offers or messages).pop()
            data = self._encode(offers, messages)
        self._outbox.mark_sent(peer, messages)
        return data

    def receive_payload(self, now: float, name: str, incarnation: int, as_of: float, data: bytes) -> None:
        """Take in the fact of a peer's datagram, which was said at `as_of` or later."""
        fact = decode(data)
        if fact is None or name not in self._peers:
            self.counts["malformed"] += 1
            return
        self._peer_rates[name] = _ReportedRate(fact.requests_per_s, as_of)
        self._receive_offers(name, incarnation, as_of, fact.offers)
        sender = ProcessId(name, incarnation)
        for limit_message in fact.messages:
            account = self._accounts_by_digest.get(limit_message.limit_digest)
            if account is None:
                self.counts["refused_terms"] += 1
                self._on_differing_terms(name)
            else:
                self.receive(account, sender, limit_message.message, now)

    def receive(self, account: Account, sender: ProcessId, message: LeaseMessage, now: float) -> None:
        """Take in a message about the limit of `account`."""
        match message:
            case LeaseRequest():
                self._grantor.on_request(account, sender, message, now)
            case LeaseGrant():
                self._lessee.on_grant(account, sender, message, now)
            case LeaseRelease():
                account.allocation.receive(now, sender, message)

    def _receive_offers(
        self, grantor: str, incarnation: int, as_of: float, offers: tuple[LeaseOffer, ...]
    ) -> None:
        for account in self.accounts.values():
            account.offers.pop(grantor, None)
        for offer in offers:
            limit_account = self._accounts_by_digest.get(offer.limit_digest)
            if limit_account is None:
                self._on_differing_terms(grantor)
            else:
                limit_account.offers[grantor] = Offer(incarnation, offer.amount, as_of)

    def _on_differing_terms(self, peer: str) -> None:
        """Guards the sum: a fraction of a limit of another size is not the same amount."""
        if peer not in self._peers_with_differing_terms:
            self._peers_with_differing_terms.add(peer)
            self._log_event("lease_terms_differ", peer=peer)

    def _offers(self, now: float) -> list[LeaseOffer]:
        """What can be granted. Who has granted all offers what little is left, to be asked all the same."""
        offers = []
        for digest, account in self._accounts_by_digest.items():
            amount = account.grantable(now)
            if amount >= MIN_LEASE_UNITS or account.allocation.granted:
                offers.append(LeaseOffer(digest, amount))
        return offers[:MAX_OFFERS]

    def _encode(self, offers: list[LeaseOffer], messages: list[LimitMessage]) -> bytes:
        return encode(LeaseFact(round(self.requests_per_s, 1), tuple(offers), tuple(messages)))

    def _send(self, peer: ProcessId, account: Account, message: LeaseMessage) -> None:
        self._outbox.add(peer, LimitMessage(account.limit.digest, message))
