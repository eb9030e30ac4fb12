"""One process's leases of all fleet-wide limits: its demand, its requests and grants, and its usable amounts.

A state machine without I/O. It only chooses leases; the allocations enforce the limits whatever it chooses.
Its messages are one topic of the peers' datagrams, and nothing waits for a response. Times are float
milliseconds of the process's own clock; amounts in the public interface are multiples of an even fraction.
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
    LeaseGrant,
    LeaseMessage,
    LeaseOffer,
    LeasePayload,
    LeaseRelease,
    LeaseRequest,
    LimitMessage,
    decode,
    encode,
)
from flintridge.leases.outbox import Outbox
from flintridge.membership.member import Member

# Limits for which a node's demand, in even fractions, is its request rate over the mean rate of all reachable
# nodes.
LIMITS_BY_REQUEST_RATE = (FLOORS, SLOW_START, RETRIES)
REQUEST_RATE_MAX_AGE_MS = 20_000.0


@dataclass(slots=True, frozen=True)
class _ReportedRate:
    requests_per_s: float
    reported_at: float


def _ignore_event(event: str, **fields: object) -> None:
    """Ignore the event, where no log is given."""


def _count_is_current() -> bool:
    """Default: the process is the only one of its node, and no other can start."""
    return True


class LeaseManager:
    """The leases of one process.

    Attributes:
        name: Name of the topic in the peers' datagrams.
        bytes_per_s: Bytes a second that the topic may send.
        accounts: Account of each limit, by the limit's name.
        counts: Number of events of each kind since the start, by the names that GET /admin/budgets shows.
        requests_per_s: Request rate of this process in requests a second, as last reported.
        shutting_down: Whether this process is shutting down.
        is_process_count_current: Returns whether the number of this node's processes was counted recently.
            Without that nothing is granted, as another process may have started.
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
            limits: The leased limits.
            bytes_per_s: Bytes a second that the topic may send.
            now: The current time.
            rng: Randomizes the choice of grantors.
            log_event: Called with the name and the fields of each event that operators should see.
            make_allocation: Creates the allocation of a limit from its terms and the current time.
        """
        self.bytes_per_s = bytes_per_s
        self.accounts = {limit.name: Account(limit, make_allocation(limit.terms, now)) for limit in limits}
        self.counts: Counter[str] = Counter()
        self.requests_per_s = 0.0
        self.shutting_down = False
        self.is_process_count_current: Callable[[], bool] = _count_is_current
        self._process_count = 1
        self._accounts_by_digest = {account.limit.digest: account for account in self.accounts.values()}
        self._peers = frozenset(peers)
        self._log_event = log_event
        self._outbox = Outbox()
        self._peer_rates: dict[str, _ReportedRate] = {}
        self._peers_with_differing_terms: set[str] = set()
        self._lessee = Lessee(rng, self._send, self.counts, log_event)
        self._grantor = Grantor(self._send, self.counts)

    # Usable amounts

    def usable(self, name: str, now: float) -> float:
        """Amount of a limit that may be used at `now`, in even fractions."""
        return self.accounts[name].allocation.usable(now) / EVEN_FRACTION_UNITS

    def usable_without_leases(self, name: str, now: float) -> float:
        """Amount that may be used at any later time, even if no message arrives, in even fractions."""
        return self.accounts[name].allocation.usable_without_leases(now) / EVEN_FRACTION_UNITS

    def first_expiry(self, now: float) -> float:
        """Time at which the first acquired lease expires; infinite if there is none."""
        return min(
            (account.allocation.first_expiry(now) for account in self.accounts.values()), default=math.inf
        )

    # Demand

    def set_demand(self, name: str, even_fractions: float) -> None:
        """Set this process's demand for a limit, in even fractions."""
        account = self.accounts[name]
        account.demand = min(even_fractions, account.limit.nodes) * EVEN_FRACTION_UNITS

    def track_usage(self, name: str, in_use: Callable[[], float]) -> None:
        """Register `in_use`, which returns how much of a limit is in use, in even fractions.

        For limits on permits: a permit is freed only when the attempt that uses it has ended.
        """
        self.accounts[name].in_use = lambda: in_use() * EVEN_FRACTION_UNITS

    # The timer, the shutdown, and other processes of this node

    def tick(self, now: float) -> None:
        """Do all that is due. Call it about every 50 ms."""
        if not self.shutting_down:
            self._set_demand_by_request_rate(now)
        for account in self.accounts.values():
            self._lessee.tick(account, now)

    def begin_shutdown(self, now: float) -> None:
        """Begin the shutdown of this process.

        Acquired leases are released as soon as their units are not in use. The entitlement beyond the floor
        may be granted to others, for the duration of their leases.
        """
        self.shutting_down = True
        for account in self.accounts.values():
            account.shutting_down = True
            account.demand = 0.0
            for key in [*account.pending]:
                self._lessee.cancel(account, key)
            self._lessee.release_surplus(account, now)

    def process_count_changed(self, now: float, count: int, notice_ms: float = 0.0) -> None:
        """Record how many processes of this node run; see `Allocation.process_count_changed`."""
        if count == self._process_count:  # a reload reports the number again
            return
        has_joined = count > self._process_count
        self._process_count = count
        for account in self.accounts.values():
            account.allocation.process_count_changed(now, count, notice_ms)
        self._log_event("leases_process_joined" if has_joined else "leases_process_left", count=count)

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
        """Processes with queued messages, which may be sent before the next regular datagram."""
        return self._outbox.receivers()

    def drop_messages(self, peer: ProcessId) -> None:
        """Drop the messages queued for an unreachable process; a datagram to it would be lost as well."""
        self._outbox.drop(peer)

    def payload_for(self, now: float, to: Member, max_bytes: int) -> bytes | None:
        """The payload of a datagram to a process, of at most `max_bytes` bytes; None if there is none."""
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
        """Apply the payload of a peer's datagram, which was sent at `as_of` or later."""
        payload = decode(data)
        if payload is None or name not in self._peers:
            self.counts["malformed"] += 1
            return
        self._peer_rates[name] = _ReportedRate(payload.requests_per_s, as_of)
        self._receive_offers(name, incarnation, as_of, payload.offers)
        sender = ProcessId(name, incarnation)
        for limit_message in payload.messages:
            account = self._accounts_by_digest.get(limit_message.limit_digest)
            if account is None:
                self.counts["refused_terms"] += 1
                self._on_differing_terms(name)
            else:
                self.receive(account, sender, limit_message.message, now)

    def receive(self, account: Account, sender: ProcessId, message: LeaseMessage, now: float) -> None:
        """Apply a message about the limit of `account`."""
        match message:
            case LeaseRequest() if not self.is_process_count_current():
                self.counts["refused_count"] += 1  # not answered: the lessee asks again
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
        """Log, once for each peer, that its limits or their terms differ from those of this process.

        Nothing is leased then: a fraction of a limit of another size is another amount, and the sum could
        exceed the limit.
        """
        if peer not in self._peers_with_differing_terms:
            self._peers_with_differing_terms.add(peer)
            self._log_event("lease_terms_differ", peer=peer)

    def _offers(self, now: float) -> list[LeaseOffer]:
        """The amounts that can be granted.

        A process that has granted leases also offers what little is left, so that others still request leases
        from it.
        """
        offers = []
        for digest, account in self._accounts_by_digest.items():
            amount = account.grantable(now)
            if amount >= MIN_LEASE_UNITS or account.allocation.granted:
                offers.append(LeaseOffer(digest, amount))
        return offers[:MAX_OFFERS]

    def _encode(self, offers: list[LeaseOffer], messages: list[LimitMessage]) -> bytes:
        return encode(LeasePayload(round(self.requests_per_s, 1), tuple(offers), tuple(messages)))

    def _send(self, peer: ProcessId, account: Account, message: LeaseMessage) -> None:
        self._outbox.add(peer, LimitMessage(account.limit.digest, message))
