"""How a process acquires leases: from whom it requests how much, and which leases it renews and releases."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from flintridge.leases.account import MIN_LEASE_UNITS, REQUEST_TARGET, Account, Offer, PendingRequest
from flintridge.leases.allocation import AcquiredLeaseKey, ProcessId
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRequest

# Largest size of one lease; with small leases a grantor regains its entitlement gradually.
MAX_LEASE_UNITS = 250
MAX_PENDING_REQUESTS = 4  # for each limit
RETRY_INTERVAL_MS = 300.0  # between attempts of a request or of a renewal
MAX_REQUEST_ATTEMPTS = 3
# Between requests to grantors that have nothing left to grant. The requests show which processes lack units.
EXHAUSTED_INTERVAL_MS = 1_000.0
RENEW_AT_FRACTION = 0.5  # a lease is renewed after this fraction of its `usable_ms`
OFFER_MAX_AGE_MS = 10_000.0
REQUEST_THRESHOLD = 0.9  # leases are requested if the demand reaches this fraction of the usable units


@dataclass(slots=True, frozen=True)
class _GrantorOffer:
    grantor: str
    offer: Offer


class Lessee:
    """Requests, renews and releases leases. The accounts hold all state; this class has none of its own."""

    def __init__(
        self,
        rng: Random,
        send: Callable[[ProcessId, Account, LeaseMessage], None],
        counts: Counter[str],
        log_event: Callable[..., None],
    ) -> None:
        """Create a lessee.

        Args:
            rng: Randomizes the choice of grantors.
            send: Sends a message about an account's limit to a process.
            counts: Counts requests and their outcomes.
            log_event: Called with the name and the fields of each event that operators should see.
        """
        self._rng = rng
        self._send = send
        self._counts = counts
        self._log_event = log_event

    def tick(self, account: Account, now: float) -> None:
        """Do all that is due. A process that is shutting down requests and renews nothing."""
        self._remove_expired(account, now)
        self._repeat_requests(account, now)
        self.release_surplus(account, now)
        if not account.shutting_down:
            self._renew(account, now)
            self._request_missing(account, now)

    def cancel(self, account: Account, key: AcquiredLeaseKey) -> None:
        """End a lease, or cancel a request."""
        pending = account.pending.pop(key, None)
        incarnation = account.forget_lease(key)
        if pending is not None:
            incarnation = pending.incarnation
        release = account.allocation.cancel(key.grantor, key.lease_id)
        if incarnation is not None:
            self._send(ProcessId(key.grantor, incarnation), account, release)

    def release_surplus(self, account: Account, now: float) -> None:
        """Release the leases that are not needed."""
        allocation = account.allocation
        reserve = account.release_reserve
        for key, lease in [*allocation.acquired.items()]:
            if allocation.usable(now) - lease.amount >= reserve:
                self._counts["given_back"] += 1
                self.cancel(account, key)

    def on_grant(self, account: Account, grantor: ProcessId, grant: LeaseGrant, now: float) -> None:
        """Apply a grant, or a denial: a grant of 0 units."""
        key = AcquiredLeaseKey(grantor.name, grant.lease_id)
        if grant.amount == 0:
            self._on_denial(account, key)
            return
        acquired = account.allocation.acquired
        is_renewal = key in acquired
        account.allocation.receive(now, grantor, grant)
        if key in acquired:
            account.pending.pop(key, None)
            account.grantor_incarnations[key] = grantor.incarnation
            self._counts["renewed" if is_renewal else "granted"] += 1

    def _on_denial(self, account: Account, key: AcquiredLeaseKey) -> None:
        if account.pending.pop(key, None) is not None:
            self._counts["denied"] += 1
            account.offers.pop(key.grantor, None)
            account.allocation.cancel(key.grantor, key.lease_id)
        elif key in account.allocation.acquired:
            account.unrenewable.add(key)

    def _remove_expired(self, account: Account, now: float) -> None:
        allocation = account.allocation
        for key, lease in allocation.acquired.items():
            if now >= lease.expires_at:
                self._counts["expired"] += 1
                if account.demand > allocation.usable(now):
                    self._log_event("lease_expired", limit=account.limit.name, grantor=key.grantor)
                account.forget_lease(key)
        allocation.remove_expired(now)

    def _repeat_requests(self, account: Account, now: float) -> None:
        for key, pending in [*account.pending.items()]:
            if now < pending.sent_at + RETRY_INTERVAL_MS:
                continue
            if pending.attempts >= MAX_REQUEST_ATTEMPTS:
                self._counts["unanswered"] += 1
                account.offers.pop(key.grantor, None)
                self.cancel(account, key)
                continue
            pending.attempts += 1
            pending.sent_at = now
            request = LeaseRequest(key.lease_id, pending.amount, now, account.allocation.usable(now))
            self._send(ProcessId(key.grantor, pending.incarnation), account, request)

    def _renew(self, account: Account, now: float) -> None:
        allocation = account.allocation
        renewal_lead_ms = (1 - RENEW_AT_FRACTION) * account.limit.terms.usable_ms
        for key, lease in [*allocation.acquired.items()]:
            if not lease.expires_at - renewal_lead_ms <= now < lease.expires_at:
                continue
            sent_at = account.renewal_sent_at.get(key, -math.inf)
            if key in account.unrenewable or now < sent_at + RETRY_INTERVAL_MS:
                continue
            request = allocation.renewal(now, key.grantor, key.lease_id)
            if request is not None:
                account.renewal_sent_at[key] = now
                grantor = ProcessId(key.grantor, account.grantor_incarnations[key])
                self._send(grantor, account, replace(request, usable=allocation.usable(now)))

    def _request_missing(self, account: Account, now: float) -> None:
        usable = account.allocation.usable(now)
        if account.demand < REQUEST_THRESHOLD * usable or not account.allocation.sole_process:
            return
        requested = sum(pending.amount for pending in account.pending.values())
        missing = REQUEST_TARGET * account.demand + MIN_LEASE_UNITS - usable - requested
        for candidate in self._draw_grantors(account, now):
            if missing < MIN_LEASE_UNITS or len(account.pending) >= MAX_PENDING_REQUESTS:
                return
            amount = min(MAX_LEASE_UNITS, math.ceil(missing), candidate.offer.amount)
            self._request(account, candidate.grantor, amount, usable, now)
            candidate.offer.amount -= amount
            missing -= amount
        if missing >= MIN_LEASE_UNITS and now >= account.next_request_to_exhausted and account.offers:
            account.next_request_to_exhausted = now + EXHAUSTED_INTERVAL_MS
            grantor = self._rng.choice(list(account.offers))
            self._request(account, grantor, min(MAX_LEASE_UNITS, math.ceil(missing)), usable, now)

    def _request(self, account: Account, grantor: str, amount: int, usable: int, now: float) -> None:
        request = account.allocation.request(now, grantor, amount)
        incarnation = account.offers[grantor].incarnation
        key = AcquiredLeaseKey(grantor, request.lease_id)
        account.pending[key] = PendingRequest(incarnation, amount, now)
        self._send(ProcessId(grantor, incarnation), account, replace(request, usable=usable))
        self._counts["asked"] += 1

    def _draw_grantors(self, account: Account, now: float) -> list[_GrantorOffer]:
        """The offers that have not expired, in random order; larger ones are more likely to come first.

        The random order keeps lessees from all requesting from the grantor with the largest offer.
        """
        pending_grantors = {key.grantor for key in account.pending}
        account.offers = {
            grantor: offer
            for grantor, offer in account.offers.items()
            if now < offer.offered_at + OFFER_MAX_AGE_MS
        }
        candidates = [
            _GrantorOffer(grantor, offer)
            for grantor, offer in account.offers.items()
            if offer.amount >= MIN_LEASE_UNITS and grantor not in pending_grantors
        ]
        candidates.sort(
            key=lambda candidate: math.log(1 - self._rng.random()) / candidate.offer.amount, reverse=True
        )
        return candidates
