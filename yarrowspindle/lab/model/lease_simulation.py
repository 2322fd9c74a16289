"""A simulation of leases of a shared quota, with fault injection.

Relays request leases from pools, which some of the relays manage. Pools crash; messages are lost, delayed and
duplicated. The simulation checks many times a second that the budgets of all relays together do not exceed the quota,
including the budgets of stalled and unreachable relays.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from yarrowspindle.lab.faults import Fault, FaultyNetwork, relay_names, schedule
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.subsets.leases import MIN_NEED_FRACTION, HeldLease, LeaseGrant, LeaseRequest, QuotaHolder, QuotaPool

TERM_MS, CHECK_INTERVAL_MS = 2000.0, 50.0
TOTAL_QUOTA, RESERVE_FRACTION, POOL_COUNT = 1000.0, 0.2, 5


@dataclass(slots=True, frozen=True)
class LeaseComponents:
    """The implementations that the relays use; tests replace some of them to plant defects."""

    pool: type[QuotaPool] = QuotaPool
    holder: type[QuotaHolder] = QuotaHolder


@dataclass(slots=True)
class LeaseResult:
    """The result of a simulation.

    Attributes:
        max_leased_fraction: The highest sum of all budgets, as a fraction of the total quota.
        needs_met_s: The time in seconds after the faults until all needs were met within 3 %; negative if they were not
            within 10 s.
        faults: The injected faults.
    """

    max_leased_fraction: float = 0.0
    needs_met_s: float = -1.0
    faults: list[Fault] = field(default_factory=list)


class LeaseRelay:
    """A simulated relay process: a lease holder and, on the first `POOL_COUNT` relays, a pool.

    Attributes:
        stalled_until: The time of the virtual clock until which the process is stopped.
        clock_rate: The rate of the relay's clock relative to the virtual clock.
        clock_offset_ms: The time of the relay's clock at the start of the simulation.
    """

    def __init__(self, cluster: LeaseCluster, name: str, incarnation: int) -> None:
        self.cluster, self.name = cluster, name
        self.alive, self.stalled_until, self.clock_rate = True, 0.0, cluster.random.uniform(0.98, 1.02)
        self.clock_offset_ms = cluster.random.uniform(0.0, 600_000.0)
        reserve = RESERVE_FRACTION * TOTAL_QUOTA / len(cluster.names)
        pools = tuple(cluster.names[:POOL_COUNT])
        self.holder = cluster.components.holder(incarnation, reserve, TERM_MS, pools)
        quota = (1.0 - RESERVE_FRACTION) * TOTAL_QUOTA / len(pools)
        self.pool = cluster.components.pool(quota, TERM_MS, self.now()) if name in pools else None
        cluster.clock.after(cluster.random.uniform(0.0, 500.0), self.send_requests)

    def now(self) -> float:
        """Return the time of the relay's own clock, whose rate differs by up to 2 %."""
        return self.clock_offset_ms + self.clock_rate * (self.cluster.clock.now() - self.cluster.clock.start)

    @property
    def running(self) -> bool:
        """Whether the process is alive and not stalled."""
        return self.alive and self.cluster.clock.now() >= self.stalled_until

    def send_requests(self) -> None:
        """Send the holder's lease requests, about four times per term."""
        if not self.alive:
            return
        self.cluster.clock.after(TERM_MS / 4.0 * self.cluster.random.uniform(0.8, 1.2), self.send_requests)
        if self.running:
            for pool, request in self.holder.requests(self.now(), self.cluster.needs[self.name]):
                self.cluster.send(self.name, pool, request)

    def on_message(self, source: str, message: Any) -> None:
        if not self.alive:
            return
        if not self.running:  # the message waits in the socket
            self.cluster.clock.after(
                self.stalled_until - self.cluster.clock.now() + 1.0, self.on_message, source, message
            )
        elif isinstance(message, LeaseRequest):
            answer = self.pool.on_request(self.now(), source, message) if self.pool is not None else None
            if answer is not None:
                self.cluster.send(self.name, source, answer)
        else:
            self.holder.on_grant(self.now(), source, message)

    def budget(self) -> float:
        """Return what the relay may use now; a stalled relay counts too, since it could resume at any instant."""
        return self.holder.budget(self.now()) if self.alive else 0.0


class LeaseCluster:
    """Relays on a virtual network and clock that share a quota.

    Attributes:
        needs: The quota that each relay needs.
        max_leased_fraction: The highest observed sum of all budgets, as a fraction of the total quota.
    """

    def __init__(self, relays: int, seed: int, components: LeaseComponents | None = None) -> None:
        self.clock, self.random, self.faulty_network = VirtualClock(), Random(f"leases {seed}"), FaultyNetwork(seed)
        self.components, self.names = components or LeaseComponents(), relay_names(relays)
        self.needs = {name: self.random.choice((0.0, 20.0, 100.0, 400.0)) for name in self.names}
        self.relays: dict[str, LeaseRelay] = {}
        self.incarnations, self.max_leased_fraction = 0, 0.0
        for name in self.names:
            self.start(name)
        self.clock.after(CHECK_INTERVAL_MS, self._check)

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
        for delay_ms, copy in self.faulty_network.deliveries(source, target, b"x"):
            if copy == b"x":
                self.clock.after(delay_ms + self.random.uniform(0.1, 5.0), self._arrive, source, target, message)

    def _arrive(self, source: str, target: str, message: Any) -> None:
        self.relays[target].on_message(source, message)

    def _check(self) -> None:
        self.clock.after(CHECK_INTERVAL_MS * self.random.uniform(0.2, 1.0), self._check)
        self.max_leased_fraction = max(
            self.max_leased_fraction, sum(relay.budget() for relay in self.relays.values()) / TOTAL_QUOTA
        )

    def needs_met(self) -> bool:
        """Return whether each live relay has its max-min fair share by need, within 3 %."""
        live_pools = sum(relay.alive and relay.pool is not None for relay in self.relays.values())
        reserve, quota = (
            RESERVE_FRACTION * TOTAL_QUOTA / len(self.names),
            (1.0 - RESERVE_FRACTION) * TOTAL_QUOTA / min(POOL_COUNT, len(self.names)),
        )
        live_relays = [relay for relay in self.relays.values() if relay.alive]
        # A relay without a need is granted this much, for the first need that arises.
        min_need = MIN_NEED_FRACTION * quota * live_pools / len(live_relays)
        wanted = {relay.name: max(self.needs[relay.name] - reserve, min_need) for relay in live_relays}
        remaining, waiting = quota * live_pools, len(live_relays)
        for name, need in sorted(wanted.items(), key=lambda item: item[1]):
            share = min(need, remaining / waiting)
            if self.relays[name].budget() < 0.97 * (reserve + share):
                return False
            remaining, waiting = remaining - share, waiting - 1
        return True

    def run(self, seconds: float) -> None:
        self.clock.run_until(self.clock.time + 1000.0 * seconds)


# --- planted defects ------------------------------------------------------------------------------


class NoClockMargin(QuotaPool):
    """A pool that releases a lease when its term ends by the pool's clock, which may be faster than the holder's."""

    @property
    def retention_ms(self) -> float:
        return 0.98 * self.term_ms


class GrantsDirectlyAfterStart(QuotaPool):
    """A pool that grants leases directly after a start, while leases of the previous process may still be in use."""

    def __init__(self, quota: float, term_ms: float, now: float) -> None:
        super().__init__(quota, term_ms, now)
        self.grants_from = now


class KeepsOnlyNewestLease(QuotaPool):
    """A pool that discards the older leases of a holder when it grants a new one, although they may still be in use."""

    def on_request(self, now: float, name: str, request: LeaseRequest) -> LeaseGrant | None:
        answer = super().on_request(now, name, request)
        account = self.accounts.get((name, request.incarnation))
        if answer is not None and account is not None:
            account.leases = {request.number: account.leases[request.number]}
        return answer


class IgnoresOutstandingLeases(QuotaPool):
    """A pool that grants each holder its share even if other holders still use more than theirs."""

    def _free(self, now: float, holder: tuple[str, int]) -> float:
        return self.quota


class CountsTermFromGrant(QuotaHolder):
    """A holder that counts the term of a lease from the receipt of the grant instead of from the request."""

    def on_grant(self, now: float, pool: str, grant: LeaseGrant) -> None:
        before = self.leases[pool].number
        super().on_grant(now, pool, grant)
        if self.leases[pool].number != before:
            self.leases[pool].until = now + self.term_ms


class IgnoresLeaseEnd(QuotaHolder):
    """A holder that uses the last lease until the next one is granted, even after its end."""

    def budget(self, now: float) -> float:
        return self.reserve + sum(held.amount for held in self.leases.values())


class AcceptsAnyGrant(QuotaHolder):
    """A holder that accepts duplicate and late grants, each as a new lease."""

    def on_grant(self, now: float, pool: str, grant: LeaseGrant) -> None:
        self.leases[pool] = HeldLease(max(grant.number, self.leases[pool].number), grant.amount, now + self.term_ms)


class KeepsLargerLease(QuotaHolder):
    """A holder that keeps using a larger lease until its end after a smaller one was granted."""

    def on_grant(self, now: float, pool: str, grant: LeaseGrant) -> None:
        previous = self.leases[pool]
        super().on_grant(now, pool, grant)
        if now < previous.until and previous.amount > self.leases[pool].amount:
            self.leases[pool].amount = previous.amount


DEFECTS = {
    "no margin": LeaseComponents(pool=NoClockMargin),
    "lends at once after a start": LeaseComponents(pool=GrantsDirectlyAfterStart),
    "forgets what it lent": LeaseComponents(pool=KeepsOnlyNewestLease),
    "lends by share alone": LeaseComponents(pool=IgnoresOutstandingLeases),
    "counts from the answer": LeaseComponents(holder=CountsTermFromGrant),
    "never ends": LeaseComponents(holder=IgnoresLeaseEnd),
    "takes any answer": LeaseComponents(holder=AcceptsAnyGrant),
    "keeps the larger": LeaseComponents(holder=KeepsLargerLease),
}


def run_lease_scenario(
    relays: int, seed: int, kinds: Sequence[str], faults_s: float = 12.0, components: LeaseComponents | None = None
) -> LeaseResult:
    """Run a simulation with faults and changing needs, and wait up to 10 s until all needs are met.

    Args:
        relays: The number of relays.
        seed: The seed of the simulation.
        kinds: The kinds of the faults.
        faults_s: The period in which faults are active.
        components: The implementations under test; the product's own by default.
    """
    cluster = LeaseCluster(relays, seed, components)
    result = LeaseResult(faults=schedule(kinds, cluster.names, ["n0"], seed, 3.0, faults_s, 8.0))
    for fault in result.faults:
        start_ms, end_ms = 1000.0 * fault.start_s, 1000.0 * fault.end_s
        if fault.kind == "kill":
            cluster.clock.after(start_ms, cluster.kill, fault.participants[0])
            cluster.clock.after(end_ms, cluster.start, fault.participants[0])
        elif fault.kind == "stall":
            cluster.clock.after(start_ms, cluster.stall, fault.participants[0], end_ms - start_ms)
        else:
            cluster.clock.after(start_ms, cluster.faulty_network.start, fault)
            cluster.clock.after(end_ms, cluster.faulty_network.end, fault)
    if seed % 4 == 0:  # a relay with a pool crashes and restarts within 200 ms
        pool, start_ms = cluster.names[seed % min(POOL_COUNT, relays)], 1000.0 * cluster.random.uniform(4.0, 14.0)
        cluster.clock.after(start_ms, cluster.kill, pool)
        cluster.clock.after(start_ms + 200.0, cluster.start, pool)
    for _ in range(int(faults_s)):
        cluster.run(1.0)
        name = cluster.random.choice(cluster.names)
        cluster.needs[name] = cluster.random.choice((0.0, 20.0, 100.0, 400.0))
    cluster.run(3.0)
    started_s = cluster.clock.seconds
    while cluster.clock.seconds < started_s + 10.0 and result.needs_met_s < 0.0:
        if cluster.needs_met():
            result.needs_met_s = cluster.clock.seconds - started_s
        cluster.run(0.25)
    result.max_leased_fraction = cluster.max_leased_fraction
    return result
