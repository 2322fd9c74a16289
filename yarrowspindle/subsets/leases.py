"""Budgets that relays share by leases. Pure: pools that grant, holders that spend.

A total (of slow-start admissions, retries, health checks, migrations or a tenant's quota) is cut into a reserve, of
which each relay has its part for good, and the rest. The rest is cut among a few pools, at relays that the operator
names; each pool alone grants its part, so nothing has to be agreed on, and what is leased is never more than there is:

1. A pool grants no more than its quota, less all that it granted and that may still be in use.
2. A lease runs at the holder for a term from when it *requested* it, at the pool for a term and a margin from when it
   *granted* it; both by their own monotonic clocks, which run apart by less than the margin.
3. A holder uses its newest lease of each pool only; a duplicate or late grant has an older number.
4. A pool that starts grants nothing for a term and the margin: leases of the process before it may be in use.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

CLOCK_MARGIN = 0.05  # of a term: clocks do not run apart by more
MAX_HOLDERS = 1024
MIN_NEED_FRACTION = 0.1  # of an equal part, granted also to a holder without need, so that a first need is met at once

HolderId = tuple[str, int]  # a relay's name and incarnation


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """What a holder sends to a pool.

    Attributes:
        incarnation: of the holder's process.
        number: grows with each request.
        held_lease_number: the number of the newest lease that the holder has of this pool; 0: none.
        need: as much as it could spend.
    """

    incarnation: int
    number: int
    held_lease_number: int
    need: float


@dataclass(slots=True, frozen=True)
class LeaseGrant:
    """What a pool answers: an amount under the number of the request."""

    incarnation: int
    number: int
    amount: float


@dataclass(slots=True, frozen=True)
class GrantedLease:
    """A lease as its pool sees it. `until`: when it is certainly no longer in use."""

    amount: float
    until: float


@dataclass(slots=True)
class Account:
    """What one holder may have in use.

    Attributes:
        leases: by the number of their requests.
        need: as last requested.
        last_requested_at: when the holder last requested a lease.
        newest_request_number: the highest number of its requests.
    """

    leases: dict[int, GrantedLease] = field(default_factory=dict)
    need: float = 0.0
    last_requested_at: float = 0.0
    newest_request_number: int = 0

    def outstanding(self, now: float) -> float:
        """Returns the most that may be in use: the holder uses one of its leases, the pool cannot know which."""
        return max((lease.amount for lease in self.leases.values() if now < lease.until), default=0.0)


def max_min_fair_shares(total: float, needs: Mapping[HolderId, float]) -> dict[HolderId, float]:
    """Divides a total by need: to nobody more than needed, the same to all that need more. What is over is left."""
    shares: dict[HolderId, float] = {}
    remaining = total
    unserved = len(needs)
    for holder, need in sorted(needs.items(), key=lambda item: (item[1], item[0])):
        shares[holder] = min(need, remaining / unserved)
        remaining -= shares[holder]
        unserved -= 1
    return shares


class QuotaPool:
    """The granting side of one part of a budget.

    Args:
        quota: what this pool may grant in all.
        term_ms: of a lease, at its holder.
        now: milliseconds of this process's monotonic clock.
    """

    def __init__(self, quota: float, term_ms: float, now: float) -> None:
        self.quota = quota
        self.term_ms = term_ms
        self.grants_from = now + self.retention_ms
        self.accounts: dict[HolderId, Account] = {}

    @property
    def retention_ms(self) -> float:
        """How long a granted lease may be in use, by this process's clock."""
        return self.term_ms * (1.0 + CLOCK_MARGIN)

    def on_request(self, now: float, name: str, request: LeaseRequest) -> LeaseGrant | None:
        """Grants a lease to the relay of this name; None: the request is a duplicate, too early, or one too many."""
        holder = (name, request.incarnation)
        account = self._account(now, holder)
        if account is None or request.number <= account.newest_request_number:
            return None
        account.newest_request_number = request.number
        account.need = max(request.need, 0.0)
        account.last_requested_at = now
        # Leases older than the one that it holds are no longer used.
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
        """Returns the holder's account, a new one where there is room."""
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
        """Returns the holder's part of the quota by need."""
        active = {
            other: account.need
            for other, account in self.accounts.items()
            if now < account.last_requested_at + self.retention_ms
        }
        min_need = MIN_NEED_FRACTION * self.quota / len(active)
        return max_min_fair_shares(self.quota, {other: max(need, min_need) for other, need in active.items()})[holder]

    def _free(self, now: float, holder: HolderId) -> float:
        """Returns what the other holders certainly do not use."""
        used = sum(account.outstanding(now) for other, account in self.accounts.items() if other != holder)
        return max(0.0, self.quota - used)

    def _remove_idle_accounts(self, now: float) -> None:
        for holder, account in list(self.accounts.items()):
            if now >= account.last_requested_at + self.retention_ms and not account.outstanding(now):
                del self.accounts[holder]

    def outstanding(self, now: float) -> float:
        """Returns the most that may be in use of this pool's quota."""
        return sum(account.outstanding(now) for account in self.accounts.values())


@dataclass(slots=True)
class HeldLease:
    """A lease as its holder sees it: spent until `until`, milliseconds of its own clock."""

    number: int = 0
    amount: float = 0.0
    until: float = 0.0


@dataclass(slots=True, frozen=True)
class PendingRequest:
    """A request without its answer."""

    pool: str
    sent_at: float


class QuotaHolder:
    """One relay's side of one budget.

    Args:
        incarnation: of this process.
        reserve: what this relay may always spend.
        term_ms: of a lease.
        pools: the names of the relays that grant.
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
        """Returns a request for each pool; to be called a few times in a term.

        Args:
            now: milliseconds of this process's monotonic clock.
            need: as much as this relay could spend now, in all.
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
        """Takes a lease, unless it is another process's, a duplicate, or older than the one that is held."""
        request = self.pending.pop(grant.number, None)
        if request is None or request.pool != pool or grant.incarnation != self.incarnation:
            return
        if grant.number > self.leases[pool].number:
            self.leases[pool] = HeldLease(grant.number, grant.amount, request.sent_at + self.term_ms)

    def budget(self, now: float) -> float:
        """Returns what this relay may spend now."""
        return self.reserve + sum(lease.amount for lease in self.leases.values() if now < lease.until)
