"""Leases on the virtual clock: relays that borrow, banks that die, messages that are lost, late and doubled; the
checker adds up what all relays may spend at every instant, stopped ones and those cut off included."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from yarrowspindle.lab.faults import Fault, FaultyNetwork, relay_names, schedule
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.subsets.leases import MIN_NEED_FRACTION, HeldLease, LeaseGrant, LeaseRequest, QuotaHolder, QuotaPool

TERM_MS, STEP_MS = 2000.0, 50.0
TOTAL, RESERVE, BANKS = 1000.0, 0.2, 5


@dataclass(slots=True, frozen=True)
class Parts:
    bank: type[QuotaPool] = QuotaPool
    borrower: type[QuotaHolder] = QuotaHolder


@dataclass(slots=True)
class LeaseDay:
    """most: leased over total, the most at any instant. least_s: how long after the faults all needs are met within 3 %
    (below 0: not within 10 s)."""

    most: float = 0.0
    met_s: float = -1.0
    faults: list[Fault] = field(default_factory=list)


class LeaseRelay:
    def __init__(self, world: LeaseWorld, name: str, incarnation: int) -> None:
        self.world, self.name = world, name
        self.alive, self.stalled_until, self.rate = True, 0.0, world.random.uniform(0.98, 1.02)
        self.ahead = world.random.uniform(0.0, 600_000.0)
        solo = RESERVE * TOTAL / len(world.names)
        banks = tuple(world.names[:BANKS])
        self.borrower = world.parts.borrower(incarnation, solo, TERM_MS, banks)
        part = (1.0 - RESERVE) * TOTAL / len(banks)
        self.bank = world.parts.bank(part, TERM_MS, self.now()) if name in banks else None
        world.clock.after(world.random.uniform(0.0, 500.0), self.beat)

    def now(self) -> float:
        """Its own clock, that runs up to 2 % apart."""
        return self.ahead + self.rate * (self.world.clock.now() - self.world.clock.start)

    @property
    def awake(self) -> bool:
        return self.alive and self.world.clock.now() >= self.stalled_until

    def beat(self) -> None:
        if not self.alive:
            return
        self.world.clock.after(TERM_MS / 4.0 * self.world.random.uniform(0.8, 1.2), self.beat)
        if self.awake:
            for bank, ask in self.borrower.requests(self.now(), self.world.needs[self.name]):
                self.world.send(self.name, bank, ask)

    def came(self, source: str, message: Any) -> None:
        if not self.alive:
            return
        if not self.awake:  # it waits in the socket
            self.world.clock.after(self.stalled_until - self.world.clock.now() + 1.0, self.came, source, message)
        elif isinstance(message, LeaseRequest):
            answer = self.bank.on_request(self.now(), source, message) if self.bank is not None else None
            if answer is not None:
                self.world.send(self.name, source, answer)
        else:
            self.borrower.on_grant(self.now(), source, message)

    def budget(self) -> float:
        """What it may spend; also a stopped one, which could go on at this instant."""
        return self.borrower.budget(self.now()) if self.alive else 0.0


class LeaseWorld:
    def __init__(self, relays: int, seed: int, parts: Parts | None = None) -> None:
        self.clock, self.random, self.faulty_network = VirtualClock(), Random(f"leases {seed}"), FaultyNetwork(seed)
        self.parts, self.names = parts or Parts(), relay_names(relays)
        self.needs = {name: self.random.choice((0.0, 20.0, 100.0, 400.0)) for name in self.names}
        self.relays: dict[str, LeaseRelay] = {}
        self.incarnations, self.most = 0, 0.0
        for name in self.names:
            self.start(name)
        self.clock.after(STEP_MS, self._check)

    def start(self, name: str) -> None:
        if name in self.relays:
            self.kill(name)
        self.incarnations += 1
        self.relays[name] = LeaseRelay(self, name, self.incarnations)

    def kill(self, name: str) -> None:
        self.relays[name].alive = False

    def stall(self, name: str, for_ms: float) -> None:
        self.relays[name].stalled_until = self.clock.now() + for_ms

    def send(self, source: str, target: str, message: Any) -> None:
        for late, copy in self.faulty_network.deliveries(source, target, b"x"):
            if copy == b"x":
                self.clock.after(late + self.random.uniform(0.1, 5.0), self._arrive, source, target, message)

    def _arrive(self, source: str, target: str, message: Any) -> None:
        self.relays[target].came(source, message)

    def _check(self) -> None:
        self.clock.after(STEP_MS * self.random.uniform(0.2, 1.0), self._check)
        self.most = max(self.most, sum(relay.budget() for relay in self.relays.values()) / TOTAL)

    def met(self) -> bool:
        """Each living relay has what an even division by need gives it, within 3 % of it."""
        banks = sum(relay.alive and relay.bank is not None for relay in self.relays.values())
        solo, part = RESERVE * TOTAL / len(self.names), (1.0 - RESERVE) * TOTAL / min(BANKS, len(self.names))
        living = [relay for relay in self.relays.values() if relay.alive]
        least = MIN_NEED_FRACTION * part * banks / len(living)  # who needs nothing has that for a first need
        wanted = {relay.name: max(self.needs[relay.name] - solo, least) for relay in living}
        left, waiting = part * banks, len(living)
        for name, need in sorted(wanted.items(), key=lambda item: item[1]):
            due = min(need, left / waiting)
            if self.relays[name].budget() < 0.97 * (solo + due):
                return False
            left, waiting = left - due, waiting - 1
        return True

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.time + 1000.0 * seconds)


# --- defects, planted -----------------------------------------------------------------------------


class NoMargin(QuotaPool):
    """Counts a loan as over as soon as its term is, by a clock that may run faster than the borrower's."""

    @property
    def retention_ms(self) -> float:
        return 0.98 * self.term_ms


class OpensAtOnce(QuotaPool):
    """Lends though loans of the process before it may be in use."""

    def __init__(self, part: float, term_ms: float, now: float) -> None:
        super().__init__(part, term_ms, now)
        self.grants_from = now


class ForgetsWhatItLent(QuotaPool):
    """Takes the newest loan for the only one."""

    def on_request(self, now: float, name: str, ask: LeaseRequest) -> LeaseGrant | None:
        answer = super().on_request(now, name, ask)
        account = self.accounts.get((name, ask.incarnation))
        if answer is not None and account is not None:
            account.leases = {ask.number: account.leases[ask.number]}
        return answer


class LendsByShareAlone(QuotaPool):
    """Lends what is due to each, whatever others still have."""

    def _free(self, now: float, who: tuple[str, int]) -> float:
        return self.quota


class CountsFromTheAnswer(QuotaHolder):
    """Counts its term from when the answer came."""

    def on_grant(self, now: float, bank: str, lend: LeaseGrant) -> None:
        before = self.leases[bank].number
        super().on_grant(now, bank, lend)
        if self.leases[bank].number != before:
            self.leases[bank].until = now + self.term_ms


class NeverEnds(QuotaHolder):
    """Spends its last loan until it hears of another."""

    def budget(self, now: float) -> float:
        return self.reserve + sum(held.amount for held in self.leases.values())


class TakesAnyAnswer(QuotaHolder):
    """Takes doubled and old answers, each as if it came in time."""

    def on_grant(self, now: float, bank: str, lend: LeaseGrant) -> None:
        self.leases[bank] = HeldLease(max(lend.number, self.leases[bank].number), lend.amount, now + self.term_ms)


class KeepsTheLarger(QuotaHolder):
    """Gives nothing back before its end."""

    def on_grant(self, now: float, bank: str, lend: LeaseGrant) -> None:
        had = self.leases[bank]
        super().on_grant(now, bank, lend)
        if now < had.until and had.amount > self.leases[bank].amount:
            self.leases[bank].amount = had.amount


DEFECTS = {
    "no margin": Parts(bank=NoMargin),
    "lends at once after a start": Parts(bank=OpensAtOnce),
    "forgets what it lent": Parts(bank=ForgetsWhatItLent),
    "lends by share alone": Parts(bank=LendsByShareAlone),
    "counts from the answer": Parts(borrower=CountsFromTheAnswer),
    "never ends": Parts(borrower=NeverEnds),
    "takes any answer": Parts(borrower=TakesAnyAnswer),
    "keeps the larger": Parts(borrower=KeepsTheLarger),
}


def play_leases(
    relays: int, seed: int, words: Sequence[str], faults_s: float = 12.0, parts: Parts | None = None
) -> LeaseDay:
    world = LeaseWorld(relays, seed, parts)
    day = LeaseDay(faults=schedule(words, world.names, ["n0"], seed, 3.0, faults_s, 8.0))
    for fault in day.faults:
        at, ends = 1000.0 * fault.start_s, 1000.0 * fault.end_s
        if fault.kind == "kill":
            world.clock.after(at, world.kill, fault.participants[0])
            world.clock.after(ends, world.start, fault.participants[0])
        elif fault.kind == "stall":
            world.clock.after(at, world.stall, fault.participants[0], ends - at)
        else:
            world.clock.after(at, world.faulty_network.start, fault)
            world.clock.after(ends, world.faulty_network.end, fault)
    if seed % 4 == 0:  # a bank that is back at once
        bank, at = world.names[seed % min(BANKS, relays)], 1000.0 * world.random.uniform(4.0, 14.0)
        world.clock.after(at, world.kill, bank)
        world.clock.after(at + 200.0, world.start, bank)
    for _ in range(int(faults_s)):
        world.run(1.0)
        name = world.random.choice(world.names)
        world.needs[name] = world.random.choice((0.0, 20.0, 100.0, 400.0))
    world.run(3.0)
    began = world.clock.seconds
    while world.clock.seconds < began + 10.0 and day.met_s < 0.0:
        if world.met():
            day.met_s = world.clock.seconds - began
        world.run(0.25)
    day.most = world.most
    return day
