"""Budgets that relays spend together, as leases. Pure: banks that lend, borrowers that spend.

A total (a rate of cold feed, of tries again, of probes, of moves, of a tenant's share) is cut into a reserve, of which
each relay has its solo part for good, and a pool. The pool is cut among a few banks, relays that the operator names;
each bank alone lends its part, so nothing has to be agreed on, and what is lent is never more than there is:

1. A bank lends no more than its part, less all that it lent and that may still be in use.
2. A loan runs at the borrower for a term from when it *asked*, at the bank for a term and a margin from when it
   *answered*; both by their own clocks that only go on, and run apart by less than the margin.
3. A borrower uses its newest loan of each bank only; a doubled or late answer has an older number.
4. A bank that starts lends nothing for a term and the margin: loans of the process before it may be in use.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MARGIN = 0.05  # of a term: clocks do not run apart by more
MAX_BORROWERS = 1024
NEED_FRACTION = 0.1  # of an equal part, lent also to who needs nothing, so that a first need is met at once
Borrower_ = tuple[str, int]  # a relay's name and life


@dataclass(slots=True, frozen=True)
class LeaseRequest:
    """number: grows with each; holding: the newest loan that the sender has; need: as much as it could spend."""

    incarnation: int
    number: int
    holding: int
    need: float


@dataclass(slots=True, frozen=True)
class LeaseGrant:
    incarnation: int
    number: int
    amount: float


@dataclass(slots=True)
class Account:
    """What one borrower may have in use, by number of its ask, with the time at which each ends; and what it needs."""

    loans: dict[int, tuple[float, float]] = field(default_factory=dict)
    need: float = 0.0
    heard: float = 0.0
    newest: int = 0

    def outstanding(self, now: float) -> float:
        """It uses one of its loans, nobody knows which."""
        return max((amount for amount, until in self.loans.values() if now < until), default=0.0)


def divided(total: float, needs: Mapping[Borrower_, float]) -> dict[Borrower_, float]:
    """No more than is needed to each, the same to all who need more; what is over is left."""
    found: dict[Borrower_, float] = {}
    left, waiting = total, len(needs)
    for who, need in sorted(needs.items(), key=lambda item: (item[1], item[0])):
        found[who] = min(need, left / waiting)
        left -= found[who]
        waiting -= 1
    return found


class QuotaPool:
    """part: of the pool, what this bank lends; term_ms: of a loan."""

    def __init__(self, part: float, term_ms: float, now: float) -> None:
        self.part, self.term_ms = part, term_ms
        self.opens_at = now + self.keeps_ms
        self.accounts: dict[Borrower_, Account] = {}

    @property
    def keeps_ms(self) -> float:
        return self.term_ms * (1.0 + MARGIN)

    def asked(self, now: float, name: str, ask: LeaseRequest) -> LeaseGrant | None:
        who = (name, ask.incarnation)
        account = self.accounts.get(who)
        if account is None:
            if len(self.accounts) >= MAX_BORROWERS:
                self._forget(now)
            if len(self.accounts) >= MAX_BORROWERS:
                return None
            account = self.accounts[who] = Account()
        if ask.number <= account.newest:
            return None  # doubled, or overtaken by a later one
        account.newest, account.need, account.heard = ask.number, max(ask.need, 0.0), now
        # What is older than the loan that it holds is no longer used.
        account.loans = {n: loan for n, loan in account.loans.items() if n >= ask.holding and now < loan[1]}
        if now < self.opens_at:
            return None
        amount = min(self._share(now, who), self._free(now, who))
        account.loans[ask.number] = (amount, now + self.keeps_ms)
        return LeaseGrant(ask.incarnation, ask.number, amount)

    def _share(self, now: float, who: Borrower_) -> float:
        living = {w: a.need for w, a in self.accounts.items() if now < a.heard + self.keeps_ms}
        least = NEED_FRACTION * self.part / len(living)
        return divided(self.part, {w: max(need, least) for w, need in living.items()})[who]

    def _free(self, now: float, who: Borrower_) -> float:
        others = sum(account.outstanding(now) for w, account in self.accounts.items() if w != who)
        return max(0.0, self.part - others)

    def _forget(self, now: float) -> None:
        for who, account in list(self.accounts.items()):
            if now >= account.heard + self.keeps_ms and not account.outstanding(now):
                del self.accounts[who]

    def lent(self, now: float) -> float:
        return sum(account.outstanding(now) for account in self.accounts.values())


@dataclass(slots=True)
class Held:
    number: int = 0
    amount: float = 0.0
    until: float = 0.0


class QuotaHolder:
    """One relay's side of one budget. solo: its reserved part, which it may always spend."""

    def __init__(self, incarnation: int, solo: float, term_ms: float, banks: tuple[str, ...]) -> None:
        self.incarnation, self.solo, self.term_ms, self.banks = incarnation, solo, term_ms, banks
        self.numbers = 0
        self.asked: dict[int, tuple[str, float]] = {}  # number -> bank, and when it was asked
        self.held = {bank: Held() for bank in banks}

    def ask(self, now: float, need: float) -> list[tuple[str, LeaseRequest]]:
        """To be called some times a term. need: as much as this relay could spend now, in all."""
        self.asked = {n: (bank, at) for n, (bank, at) in self.asked.items() if now < at + self.term_ms}
        wanted = max(need - self.solo, 0.0) / max(len(self.banks), 1)
        found = []
        for bank in self.banks:
            self.numbers += 1
            self.asked[self.numbers] = (bank, now)
            found.append((bank, LeaseRequest(self.incarnation, self.numbers, self.held[bank].number, wanted)))
        return found

    def lent(self, now: float, bank: str, lend: LeaseGrant) -> None:
        whom, at = self.asked.pop(lend.number, ("", 0.0))
        if lend.incarnation != self.incarnation or whom != bank or lend.number <= self.held[bank].number:
            return
        self.held[bank] = Held(lend.number, lend.amount, at + self.term_ms)

    def budget(self, now: float) -> float:
        """What this relay may spend now."""
        return self.solo + sum(held.amount for held in self.held.values() if now < held.until)
