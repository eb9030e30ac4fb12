"""How a process borrows: whom it asks for how much, which leases it renews, and which it releases."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from flintridge.leases.account import MIN_LEASE_UNITS, REQUEST_TARGET, Account, Offer, PendingRequest
from flintridge.leases.allocation import BorrowedKey, ProcessId
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRequest

MAX_LEASE_UNITS = 250  # of one lease: a lender gets its entitlement back in pieces
MAX_PENDING_REQUESTS = 4  # of one limit
RETRY_INTERVAL_MS = 300.0  # between attempts of a request, and of a renewal
MAX_REQUEST_ATTEMPTS = 3
# Between requests to lenders that have lent all they can: so they learn who goes without.
LENT_OUT_INTERVAL_MS = 1_000.0
RENEW_AT_FRACTION = 0.5  # of the time for which a lease may be used
OFFER_MAX_AGE_MS = 10_000.0
REQUEST_THRESHOLD = 0.9  # more is requested where this fraction of what may be used is needed


@dataclass(slots=True, frozen=True)
class _LenderOffer:
    lender: str
    offer: Offer


class Borrower:
    """Requests, renews and releases leases. Keeps no state of its own: that is in the accounts."""

    def __init__(
        self,
        rng: Random,
        send: Callable[[ProcessId, Account, LeaseMessage], None],
        counts: Counter[str],
        log_event: Callable[..., None],
    ) -> None:
        """Create a borrower.

        Args:
            rng: Draws whom to ask.
            send: Sends a message about an account's limit to a process.
            counts: Where requests and their outcomes are counted.
            log_event: Called with an event's name and fields.
        """
        self._rng = rng
        self._send = send
        self._counts = counts
        self._log_event = log_event

    def tick(self, account: Account, now: float) -> None:
        """Do all that is due; a process that shuts down requests and renews nothing."""
        self._remove_expired(account, now)
        self._repeat_requests(account, now)
        self.release_surplus(account, now)
        if not account.shutting_down:
            self._renew(account, now)
            self._request_missing(account, now)

    def cancel(self, account: Account, key: BorrowedKey) -> None:
        """End a lease, or take back a request."""
        pending = account.pending.pop(key, None)
        incarnation = account.forget_lease(key)
        if pending is not None:
            incarnation = pending.incarnation
        release = account.allocation.cancel(key.lender, key.lease_id)
        if incarnation is not None:
            self._send(ProcessId(key.lender, incarnation), account, release)

    def release_surplus(self, account: Account, now: float) -> None:
        """Release the leases that are not needed."""
        allocation = account.allocation
        reserve = account.release_reserve
        for key, lease in [*allocation.borrowed.items()]:
            if allocation.usable(now) - lease.amount >= reserve:
                self._counts["given_back"] += 1
                self.cancel(account, key)

    def on_grant(self, account: Account, lender: ProcessId, grant: LeaseGrant, now: float) -> None:
        """Take in a grant, or a denial."""
        key = BorrowedKey(lender.name, grant.lease_id)
        if grant.amount == 0:
            self._on_denial(account, key)
            return
        borrowed = account.allocation.borrowed
        is_renewal = key in borrowed
        account.allocation.receive(now, lender, grant)
        if key in borrowed:
            account.pending.pop(key, None)
            account.lender_incarnations[key] = lender.incarnation
            self._counts["renewed" if is_renewal else "granted"] += 1

    def _on_denial(self, account: Account, key: BorrowedKey) -> None:
        if account.pending.pop(key, None) is not None:
            self._counts["denied"] += 1
            account.offers.pop(key.lender, None)
            account.allocation.cancel(key.lender, key.lease_id)
        elif key in account.allocation.borrowed:
            account.unrenewable.add(key)

    def _remove_expired(self, account: Account, now: float) -> None:
        allocation = account.allocation
        for key, lease in allocation.borrowed.items():
            if now >= lease.expires_at:
                self._counts["expired"] += 1
                if account.demand > allocation.usable(now):
                    self._log_event("lease_expired", limit=account.limit.name, lender=key.lender)
                account.forget_lease(key)
        allocation.remove_expired(now)

    def _repeat_requests(self, account: Account, now: float) -> None:
        for key, pending in [*account.pending.items()]:
            if now < pending.sent_at + RETRY_INTERVAL_MS:
                continue
            if pending.attempts >= MAX_REQUEST_ATTEMPTS:
                self._counts["unanswered"] += 1
                account.offers.pop(key.lender, None)
                self.cancel(account, key)
                continue
            pending.attempts += 1
            pending.sent_at = now
            request = LeaseRequest(key.lease_id, pending.amount, now, account.allocation.usable(now))
            self._send(ProcessId(key.lender, pending.incarnation), account, request)

    def _renew(self, account: Account, now: float) -> None:
        allocation = account.allocation
        renewal_lead_ms = (1 - RENEW_AT_FRACTION) * account.limit.terms.usable_ms
        for key, lease in [*allocation.borrowed.items()]:
            if not lease.expires_at - renewal_lead_ms <= now < lease.expires_at:
                continue
            sent_at = account.renewal_sent_at.get(key, -math.inf)
            if key in account.unrenewable or now < sent_at + RETRY_INTERVAL_MS:
                continue
            request = allocation.renewal(now, key.lender, key.lease_id)
            if request is not None:
                account.renewal_sent_at[key] = now
                lender = ProcessId(key.lender, account.lender_incarnations[key])
                self._send(lender, account, replace(request, usable=allocation.usable(now)))

    def _request_missing(self, account: Account, now: float) -> None:
        usable = account.allocation.usable(now)
        if account.demand < REQUEST_THRESHOLD * usable or not account.allocation.sole_process:
            return
        requested = sum(pending.amount for pending in account.pending.values())
        missing = REQUEST_TARGET * account.demand + MIN_LEASE_UNITS - usable - requested
        for candidate in self._draw_lenders(account, now):
            if missing < MIN_LEASE_UNITS or len(account.pending) >= MAX_PENDING_REQUESTS:
                return
            amount = min(MAX_LEASE_UNITS, math.ceil(missing), candidate.offer.amount)
            self._request(account, candidate.lender, amount, usable, now)
            candidate.offer.amount -= amount
            missing -= amount
        if missing >= MIN_LEASE_UNITS and now >= account.next_request_to_lent_out and account.offers:
            account.next_request_to_lent_out = now + LENT_OUT_INTERVAL_MS
            lender = self._rng.choice(list(account.offers))
            self._request(account, lender, min(MAX_LEASE_UNITS, math.ceil(missing)), usable, now)

    def _request(self, account: Account, lender: str, amount: int, usable: int, now: float) -> None:
        request = account.allocation.request(now, lender, amount)
        incarnation = account.offers[lender].incarnation
        key = BorrowedKey(lender, request.lease_id)
        account.pending[key] = PendingRequest(incarnation, amount, now)
        self._send(ProcessId(lender, incarnation), account, replace(request, usable=usable))
        self._counts["asked"] += 1

    def _draw_lenders(self, account: Account, now: float) -> list[_LenderOffer]:
        """Offers that still count in a random order, larger ones likelier first.

        Guards the lender with the largest offer against all who need.
        """
        already_asked = {key.lender for key in account.pending}
        account.offers = {
            lender: offer
            for lender, offer in account.offers.items()
            if now < offer.offered_at + OFFER_MAX_AGE_MS
        }
        candidates = [
            _LenderOffer(lender, offer)
            for lender, offer in account.offers.items()
            if offer.amount >= MIN_LEASE_UNITS and lender not in already_asked
        ]
        candidates.sort(
            key=lambda candidate: math.log(1 - self._rng.random()) / candidate.offer.amount, reverse=True
        )
        return candidates
