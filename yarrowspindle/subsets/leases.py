"""Budgets that relays share by leases: pools grant them, holders spend them. Without I/O.

A total (of slow-start admissions, retries, health checks, migrations or a tenant's quota) is divided into a reserve, of
which each relay permanently has its part, and the rest. The rest is divided among a few pools, at relays that the
operator names. Each pool grants its part independently, so the relays need no consensus. The leases in use never exceed
the total:

1. A pool grants no more than its quota minus the leases that may still be in use.
2. A lease lasts one term at the holder, from the time when the holder *requested* it, and one term plus a margin at the
   pool, from the time when the pool *granted* it. Both use their own monotonic clock; the clocks drift apart by less
   than the margin.
3. A holder uses only its newest lease of each pool. A duplicate or delayed grant has an older number.
4. A pool grants nothing for one term plus the margin after it starts, because leases of the process before it may still
   be in use.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

CLOCK_MARGIN = 0.05  # fraction of a term; bounds the drift between two monotonic clocks
MAX_HOLDERS = 1024  # with an account at one pool
MIN_NEED_FRACTION = 0.1  # of an equal share, granted without need as well, so that a first need is met at once

HolderId = tuple[str, int]  # a relay's name and incarnation


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """Request of a holder for a lease, sent to a pool.

    Attributes:
        incarnation: incarnation of the holder's process.
        number: request number, which increases with each request.
        held_lease_number: number of the newest lease of this pool that the holder has; 0 for none.
        need: amount that the holder could spend.
    """

    incarnation: int
    number: int
    held_lease_number: int
    need: float


@dataclass(slots=True, frozen=True)
class LeaseGrant:
    """Response of a pool: a lease of an amount.

    Attributes:
        incarnation: incarnation in the request.
        number: number of the request, which is also that of the lease.
        amount: amount that the holder may spend.
    """

    incarnation: int
    number: int
    amount: float


@dataclass(slots=True, frozen=True)
class GrantedLease:
    """Lease as its pool records it; `until` is the time after which it is certainly not in use."""

    amount: float
    until: float


@dataclass(slots=True)
class Account:
    """Leases that one holder may have in use.

    Attributes:
        leases: leases by number.
        need: need in the newest request.
        last_requested_at: time of the newest request.
        newest_request_number: number of the newest request.
    """

    leases: dict[int, GrantedLease] = field(default_factory=dict)
    need: float = 0.0
    last_requested_at: float = 0.0
    newest_request_number: int = 0

    def outstanding(self, now: float) -> float:
        """Return the maximum amount in use: the holder uses one of its leases, but the pool cannot know which."""
        return max((lease.amount for lease in self.leases.values() if now < lease.until), default=0.0)


def max_min_fair_shares(total: float, needs: Mapping[HolderId, float]) -> dict[HolderId, float]:
    """Return the max-min fair shares of a total.

    No holder receives more than it needs, and all holders that need more than their share receive equal shares. If the
    needs add up to less than the total, the remainder is not assigned.
    """
    shares: dict[HolderId, float] = {}
    remaining = total
    unserved = len(needs)
    for holder, need in sorted(needs.items(), key=lambda item: (item[1], item[0])):
        shares[holder] = min(need, remaining / unserved)
        remaining -= shares[holder]
        unserved -= 1
    return shares


class QuotaPool:
    """Pool that grants leases of one part of a budget.

    Args:
        quota: amount that this pool may grant in total.
        term_ms: term of a lease at its holder.
        now: current time in milliseconds of this process's monotonic clock.
    """

    def __init__(self, quota: float, term_ms: float, now: float) -> None:
        self.quota = quota
        self.term_ms = term_ms
        self.grants_from = now + self.retention_ms
        self.accounts: dict[HolderId, Account] = {}

    @property
    def retention_ms(self) -> float:
        """Time for which a granted lease may be in use, in milliseconds of this process's clock."""
        return self.term_ms * (1.0 + CLOCK_MARGIN)

    def on_request(self, now: float, name: str, request: LeaseRequest) -> LeaseGrant | None:
        """Grant a lease to the relay of this name.

        Return None if the request is a duplicate, or comes before the pool may grant, or if there are too many holders.
        """
        holder = (name, request.incarnation)
        account = self._account(now, holder)
        if account is None or request.number <= account.newest_request_number:
            return None
        account.newest_request_number = request.number
        account.need = max(request.need, 0.0)
        account.last_requested_at = now
        # The holder no longer uses leases that are older than the one it reports.
        account.leases = {
            number: lease
            for number, lease in account.leases.items()
            if number >= request.held_lease_number and now < lease.until
        }
        if now < self.grants_from:
            return None
        amount = min(self._share(now, holder), self._free(now, holder))
        account.leases[request.number] = GrantedLease(amount, now + self.retention_ms)
        return LeaseGrant(request.incarnation, request.number, amount)

    def _account(self, now: float, holder: HolderId) -> Account | None:
        """Return the holder's account, which is created if necessary; None if there are too many accounts."""
        account = self.accounts.get(holder)
        if account is not None:
            return account
        if len(self.accounts) >= MAX_HOLDERS:
            self._remove_idle_accounts(now)
        if len(self.accounts) >= MAX_HOLDERS:
            return None
        account = self.accounts[holder] = Account()
        return account

    def _share(self, now: float, holder: HolderId) -> float:
        """Return the holder's max-min fair share of the quota among the holders that requested recently."""
        active = {
            other: account.need
            for other, account in self.accounts.items()
            if now < account.last_requested_at + self.retention_ms
        }
        min_need = MIN_NEED_FRACTION * self.quota / len(active)
        return max_min_fair_shares(self.quota, {other: max(need, min_need) for other, need in active.items()})[holder]

    def _free(self, now: float, holder: HolderId) -> float:
        """Return the part of the quota that the other holders certainly do not use."""
        used = sum(account.outstanding(now) for other, account in self.accounts.items() if other != holder)
        return max(0.0, self.quota - used)

    def _remove_idle_accounts(self, now: float) -> None:
        for holder, account in list(self.accounts.items()):
            if now >= account.last_requested_at + self.retention_ms and not account.outstanding(now):
                del self.accounts[holder]

    def outstanding(self, now: float) -> float:
        """Return the maximum amount of this pool's quota in use."""
        return sum(account.outstanding(now) for account in self.accounts.values())


@dataclass(slots=True)
class HeldLease:
    """Lease as its holder records it; `until` is its end in milliseconds of the holder's own clock."""

    number: int = 0
    amount: float = 0.0
    until: float = 0.0


@dataclass(slots=True, frozen=True)
class PendingRequest:
    """Request that awaits its response."""

    pool: str
    sent_at: float


class QuotaHolder:
    """Holder of one relay's leases of one budget.

    Args:
        incarnation: incarnation of this process.
        reserve: amount that this relay may always spend.
        term_ms: term of a lease.
        pools: names of the relays with a pool of the budget.
    """

    def __init__(self, incarnation: int, reserve: float, term_ms: float, pools: tuple[str, ...]) -> None:
        self.incarnation = incarnation
        self.reserve = reserve
        self.term_ms = term_ms
        self.pools = pools
        self.last_number = 0
        self.pending: dict[int, PendingRequest] = {}
        self.leases = {pool: HeldLease() for pool in pools}

    def requests(self, now: float, need: float) -> list[tuple[str, LeaseRequest]]:
        """Return a request for each pool. The caller sends requests several times in each term.

        Args:
            now: current time in milliseconds of this process's monotonic clock.
            need: amount that this relay could spend now, in total.
        """
        self.pending = {
            number: request for number, request in self.pending.items() if now < request.sent_at + self.term_ms
        }
        need_per_pool = max(need - self.reserve, 0.0) / max(len(self.pools), 1)
        requests = []
        for pool in self.pools:
            self.last_number += 1
            self.pending[self.last_number] = PendingRequest(pool, now)
            request = LeaseRequest(self.incarnation, self.last_number, self.leases[pool].number, need_per_pool)
            requests.append((pool, request))
        return requests

    def on_grant(self, now: float, pool: str, grant: LeaseGrant) -> None:
        """Accept a lease, unless it is for another process, a duplicate, or older than the lease that is held."""
        request = self.pending.pop(grant.number, None)
        if request is None or request.pool != pool or grant.incarnation != self.incarnation:
            return
        if grant.number > self.leases[pool].number:
            self.leases[pool] = HeldLease(grant.number, grant.amount, request.sent_at + self.term_ms)

    def budget(self, now: float) -> float:
        """Return the amount that this relay may spend now."""
        return self.reserve + sum(lease.amount for lease in self.leases.values() if now < lease.until)
