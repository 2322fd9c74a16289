"""Scenarios of the simulated configuration cluster: conflicting changes, and faults drawn from a seed.

`ConfigurationChecker` verifies the safety rules during a run. A scenario adds the rules on a whole run: each change is
committed at most once, in the order of acceptance, and answered correctly; a version that a leader reports as applied
everywhere is applied by all relays; and the cluster recovers within `RECOVERY_LIMIT_S` after the faults.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random

from yarrowspindle.configuration.state import Step
from yarrowspindle.lab.faults import Fault, schedule
from yarrowspindle.lab.model.configuration_cluster import (
    ZONES,
    Change,
    ConfigurationCluster,
    ConfigurationComponents,
    ControllerHost,
    RelayHost,
)

# The start of the first fault, the period in which faults are active, and the time allowed for recovery after it.
FAULTS_START_S, FAULTS_DURATION_S, RECOVERY_LIMIT_S = 1.0, 9.0, 10.0
MIN_UPTIME_S = 3.0  # relays that run for less are not counted when a leader's report is checked
PARTITION_SETTLE_S = 6.0  # leaders' reports are not checked until this time after the last partition
CHECK_INTERVAL_MS = 50.0
NETWORK_FAULTS = (
    "loss",
    "late",
    "old",
    "double",
    "reorder",
    "held",
    "corrupt",
    "mute",
    "cut",
    "oneway",
    "split",
    "lost",
)
PARTITION_FAULTS = ("old", "held", "split", "cut", "oneway", "lost", "region")
# "kill", "stall" and "dies" are listed twice so that a scenario may draw two of them; the space is stripped.
HOST_FAULTS = (
    "kill",
    "kill ",
    "stall",
    "stall ",
    "region",
    "zone",
    "disk",
    "file",
    "clock",
    "unable",
    "old program",
    "bad memory",
    "dies",
    "dies ",
)
MESSAGE_KINDS = (
    "Prepare",
    "Promise",
    "Accept",
    "Accepted",
    "StateUpdate",
    "Delta",
    "RelaySummary",
    "ChangeOrder",
    "LatestVersion",
)
FLEET_SIZES = ((3, 3), (5, 3), (5, 5), (11, 5))  # numbers of controllers and voters


@dataclass(slots=True)
class ScenarioResult:
    """The result of a scenario.

    Attributes:
        violations: The violations of safety rules.
        stuck: What had not recovered in time after the faults.
        counts: Numbers of answers by kind, of versions, of checked reports of leaders ("claims") and of messages.
        faults: The injected faults.
        duration_s: The simulated time.
    """

    violations: list[str] = field(default_factory=list)
    stuck: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    faults: list[Fault] = field(default_factory=list)
    duration_s: float = 0.0


class Scenario:
    """A run of a simulated cluster with requested changes and injected faults.

    Attributes:
        names: The names of all processes, controllers first.
        end_s: When the last fault ends; changes are requested up to this time.
        stop_counts: The number of active faults that keep a process stopped, by process.
        partitioned_at_s: When a partition was observed last.
        requested_changes: The changes that live controllers received, with the controller's process.
        tickets: The ticket of each change, by the identity of the `Change` object.
        clocks_set_back: Controllers whose clock was set back at a restart.
        max_burst: The most changes that are requested at once.
    """

    def __init__(
        self,
        seed: int,
        components: ConfigurationComponents,
        faults: Sequence[Fault] | None = None,
        fleet: tuple[int, int, int] | None = None,
        simultaneous: bool | None = None,
    ) -> None:
        self.random = random = Random(f"control day {seed}")
        controllers, voters = random.choices(FLEET_SIZES, (4, 3, 3, 1))[0]
        relays = random.randint(6, 18)
        if fleet is not None:
            controllers, voters, relays = fleet
        self.cluster = cluster = ConfigurationCluster(relays, seed, controllers, voters, components)
        self.names = list(cluster.locations)
        self.controller_names = [m.name for m in cluster.controller_addresses]
        self.result = ScenarioResult(faults=list(faults) if faults is not None else self._draw_faults(seed))
        if random.random() < 0.25 if simultaneous is None else simultaneous:
            self.result.faults = [replace(f, start_s=self.result.faults[0].start_s) for f in self.result.faults]
        self.end_s = max([FAULTS_START_S + FAULTS_DURATION_S, *(f.end_s for f in self.result.faults)])
        self.stop_counts: Counter[str] = Counter()
        self.partitioned_at_s = -PARTITION_SETTLE_S
        self.requested_changes: list[tuple[ControllerHost, Change]] = []
        self.tickets: dict[int, int] = {}
        self.clocks_set_back: set[str] = set()
        self.change_count = 0
        self.max_burst = random.choice((1, 2, 6, 40))
        for fault in self.result.faults:
            if fault.kind == "old program":
                cluster.old_program_relays.update(fault.participants)

    # --- faults ---------------------------------------------------------------------------------

    def _draw_faults(self, seed: int) -> list[Fault]:
        random = self.random
        kinds = random.sample(NETWORK_FAULTS, random.choice((0, 1, 1, 2, 3))) + random.sample(
            HOST_FAULTS, random.randint(1, 5)
        )
        return sorted(
            (self._draw_fault(kind.strip(), seed, n) for n, kind in enumerate(kinds)), key=lambda f: (f.start_s, f.kind)
        )

    def _draw_fault(self, kind: str, seed: int, n: int) -> Fault:
        random, names, controller_names = self.random, self.names, self.controller_names
        fault = schedule(
            (kind if kind in NETWORK_FAULTS else "kill",),
            names,
            ["n0"],
            seed * 100 + n,
            FAULTS_START_S,
            FAULTS_DURATION_S,
        )[0]
        process = random.choice(controller_names if random.random() < 0.6 else names)
        parties, others = tuple[str, ...](), tuple[str, ...]()
        if kind in ("cut", "oneway"):
            parties = (random.choice(controller_names),)
            others = (random.choice([name for name in names if name not in parties]),)
        elif kind == "split":
            parties = tuple(random.sample(names, random.randint(1, len(names) - 1)))
            others = tuple(name for name in names if name not in parties)
        elif kind == "lost":
            parties, others = (process,), tuple(name for name in names if name != process)
        elif kind == "mute":  # FaultyNetwork's own "mute" covers only datagrams between relays
            kind, parties, others = "split", tuple(names), tuple(names)
        elif kind in ("kill", "stall", "clock"):
            parties = (process,)
        elif kind == "zone":
            lost_zone = random.choice(ZONES[:3])
            parties = tuple(name for name, (_, zone) in self.cluster.locations.items() if zone == lost_zone)
        elif kind in ("disk", "file"):
            parties = (random.choice(sorted(self.cluster.acceptor_files)),)
        elif kind == "bad memory":
            parties = (random.choice(controller_names),)
        elif kind in ("unable", "old program"):
            parties = tuple(random.sample(names[len(controller_names) :], random.randint(1, 3)))
        elif kind == "dies":
            parties = random.choice(MESSAGE_KINDS), f"{random.randint(1, 12)}"
        return replace(fault, kind=kind, participants=parties, other_side=others)

    def begin_fault(self, fault: Fault) -> None:
        cluster, kind = self.cluster, fault.kind
        if kind in ("kill", "clock", "file", "zone"):
            for name in fault.participants:
                self.stop_process(name)
                if kind == "file":
                    cluster.acceptor_files.pop(name, None)
                elif kind == "clock":
                    cluster.clocks_set_back.add(name)
                    self.clocks_set_back.add(name)
        elif kind == "stall":
            cluster.stall(fault.participants[0], 1000.0 * fault.duration_s)
        elif kind == "region":
            cluster.regions_partitioned = True
        elif kind == "disk":
            cluster.full_disks.update(fault.participants)
        elif kind == "bad memory":
            cluster.corrupting_controllers.update(fault.participants)
        elif kind == "unable":
            for name in fault.participants:
                host = cluster.hosts[name]
                assert isinstance(host, RelayHost)
                host.unsupported_version = cluster.newest_version() + self.random.randint(1, 3)
        elif kind == "dies":
            message_kind, number = fault.participants
            cluster.crash_at = (message_kind, int(number))
        elif kind != "old program":
            cluster.faulty_network.start(fault)

    def end_fault(self, fault: Fault) -> None:
        cluster, kind = self.cluster, fault.kind
        if kind in ("kill", "clock", "file", "zone"):
            for name in fault.participants:
                self.start_process(name)
        elif kind == "region":
            cluster.regions_partitioned = False
        elif kind == "disk":
            cluster.full_disks.difference_update(fault.participants)
        elif kind == "bad memory":
            cluster.corrupting_controllers.difference_update(fault.participants)
        elif kind == "dies":
            cluster.crash_at = ("", 0)
        else:
            cluster.faulty_network.end(fault)

    def stop_process(self, name: str) -> None:
        """Kill a process; it stays stopped until `start_process` was called once for each call of this method."""
        self.stop_counts[name] += 1
        if self.cluster.hosts[name].alive:
            self.cluster.kill(name)

    def start_process(self, name: str) -> None:
        self.stop_counts[name] -= 1
        if not self.stop_counts[name]:
            self.cluster.start(name)

    # --- operators ------------------------------------------------------------------------------

    def draw_step(self) -> Step:
        """Draw the step of the next change: over few keys, so that changes conflict, and different from all others."""
        self.change_count += 1
        random, value = self.random, f"{self.change_count}"
        key = f"k{random.randrange(4)}"
        draw = random.random()
        if draw < 0.5:
            return {key: value}
        if draw < 0.6:
            return {key: None, "k0" if key != "k0" else "k1": value}
        if draw < 0.8:  # valid alone; "left" and "right" exclude each other
            side = random.choice(("left", "right"))
            return {side: value} if random.random() < 0.6 else {side: None, "k1": value}
        if draw < 0.85:
            return {key: "nonsense", "k9": value}
        if draw < 0.9 and self.cluster.old_program_relays:
            return {"novel": f"novel {value}"} if random.random() < 0.5 else {"novel": None, key: value}
        if draw < 0.95:
            return {key: f"{value} " + "".join(random.choices("0123456789abcdef", k=random.randint(200, 3000)))}
        return {key: value, "k2" if key != "k2" else "k3": value}

    def request_change(self, name: str, step: Step) -> Change:
        host = self.cluster.hosts[name]
        assert isinstance(host, ControllerHost)
        change = self.cluster.request_change(name, step)
        if host.alive:
            self.requested_changes.append((host, change))
            self.tickets[id(change)] = self.cluster.last_ticket
        return change

    def _request_changes(self) -> None:
        if self.cluster.clock.seconds < self.end_s:
            count = self.random.randint(1, self.max_burst) if self.random.random() < 0.2 else 1
            for _ in range(count):
                self.request_change(self.random.choice(self.controller_names), self.draw_step())
            self.cluster.clock.after(1000.0 * self.random.uniform(0.02, 1.0), self._request_changes)

    # --- checks ---------------------------------------------------------------------------------

    def _check_in_force(self) -> None:
        """Check that relays apply the version that a leader reports as applied everywhere.

        Also restart a controller that crashed at a message, 1 s after the crash was observed. Reports are not checked
        during partitions and shortly after them.
        """
        cluster, now = self.cluster, self.cluster.clock.seconds
        cluster.clock.after(CHECK_INTERVAL_MS, self._check_in_force)
        if cluster.crashed_process and not cluster.hosts[cluster.crashed_process].alive:
            self.stop_counts[cluster.crashed_process] += 1
            cluster.clock.after(1000.0, self.start_process, cluster.crashed_process)
            cluster.crashed_process = ""
        if cluster.regions_partitioned or any(
            fault.kind in PARTITION_FAULTS for fault in cluster.faulty_network.active
        ):
            self.partitioned_at_s = now
        if now < self.partitioned_at_s + PARTITION_SETTLE_S:
            return
        settled_relays = [
            r
            for r in cluster.relays
            if now >= max(r.started_s, (r.stalled_until - cluster.clock.start) / 1000.0) + MIN_UPTIME_S
        ]
        lowest_version = min((relay.applied_version for relay in settled_relays), default=cluster.newest_version())
        for host in cluster.controllers:
            if host.core.is_leader and host.stalled_until <= cluster.clock.now():
                claimed_version = host.core.status().applied_everywhere
                self.result.counts["claims"] += 1
                if claimed_version > lowest_version:
                    behind = [relay.name for relay in settled_relays if relay.applied_version < claimed_version]
                    cluster.checker.report_violation(
                        f"{now:.2f} s: {host.name} reports version {claimed_version} as applied everywhere, but "
                        f"{behind[0]} is behind; the lowest applied version is {lowest_version}"
                    )

    def _check_answers(self) -> None:
        """Check that changes were committed at most once, in the order of acceptance, and answered correctly.

        The order of acceptance is not checked for a controller whose clock was set back.
        """
        checker = self.cluster.checker
        versions_by_step: dict[frozenset[tuple[str, str | None]], list[int]] = {}
        for version, committed in checker.committed_steps.items():
            if committed.step:
                versions_by_step.setdefault(frozenset(committed.step.items()), []).append(version)
        newest_version: dict[str, int] = {}
        for host, change in sorted(self.requested_changes, key=self._acceptance_order):
            versions = versions_by_step.get(frozenset(change.step.items()), [])
            if len(versions) > 1:
                checker.report_violation(
                    f"the change {dict(change.step)} at {host.name} was committed in versions {sorted(versions)}"
                )
            if versions and change.answer and "see `show`" not in change.answer:
                checker.report_violation(
                    f"{host.name} rejected a change ({change.answer}) that was committed in version {versions[0]}"
                )
            for version in versions:
                if version < newest_version.get(host.name, 0) and host.name not in self.clocks_set_back:
                    checker.report_violation(
                        f"{host.name} accepted the change of version {version} after the change of the newer version "
                        f"{newest_version[host.name]}"
                    )
                newest_version[host.name] = max(version, newest_version.get(host.name, 0))

    def _acceptance_order(self, requested_change: tuple[ControllerHost, Change]) -> tuple[float, int]:
        """Return a sort key for the order in which a controller received its changes.

        The order of requests does not suffice: a process that resumes after a stall receives the delayed ones in any
        order.
        """
        host, change = requested_change
        ticket = self.tickets[id(change)]
        return host.started_s, host.received_tickets.index(ticket) if ticket in host.received_tickets else -1

    def unrecovered(self) -> str:
        """Return what has not recovered yet, or an empty text if the cluster has recovered."""
        cluster = self.cluster
        newest_version = cluster.newest_version()
        state = max((host.core.state for host in cluster.controllers), key=lambda s: s.version)
        behind = [
            f"{r.name} {r.applied_version}" for r in cluster.relays if not r.has_applied_or_rejected(newest_version)
        ]
        if behind:
            return f"relays that do not apply the newest version {newest_version}: {behind}"
        if unexpected_files := [
            n for n, stored in cluster.acceptor_files.items() if state.voters.get(n) != stored.identity
        ]:
            return f"acceptor files whose identity is not a voter's: {unexpected_files}"
        unanswered = [
            (host.name, dict(change.step))
            for host, change in self.requested_changes
            if host.alive and change.answer is None
        ]
        return f"changes without an answer: {unanswered[:3]}" if unanswered else ""

    def _await_recovery(self, phase: str) -> None:
        if (
            self.cluster.run_until(
                lambda: not self.unrecovered() or bool(self.cluster.checker.violations), RECOVERY_LIMIT_S
            )
            < 0.0
        ):
            rounds = {h.name: (h.core.proposals.last_failure, h.core.is_leader) for h in self.cluster.controllers}
            self.result.stuck.append(f"{phase}: {self.unrecovered()}; {rounds}")

    def run(self) -> ScenarioResult:
        """Run the scenario, then request one more change at each controller, and check the rules on the whole run."""
        cluster, result = self.cluster, self.result
        cluster.start_all()
        cluster.clock.after(1000.0 * FAULTS_START_S * self.random.random(), self._request_changes)
        cluster.clock.after(CHECK_INTERVAL_MS, self._check_in_force)
        for fault in result.faults:
            cluster.clock.after(1000.0 * fault.start_s, self.begin_fault, fault)
            cluster.clock.after(1000.0 * fault.end_s, self.end_fault, fault)
        while cluster.clock.seconds < self.end_s and not cluster.checker.violations:
            cluster.run(0.5)
        cluster.run(1.1 * bool(sum(self.stop_counts.values())))  # a controller that crashed at a message restarts
        if not cluster.checker.violations:
            self._await_recovery("after the faults")
        if not cluster.checker.violations and not result.stuck:
            final_changes = [
                self.request_change(name, {f"last {name}": "1", "novel": None}) for name in self.controller_names
            ]
            self._await_recovery("changes after the faults")
            cluster.run(0.5)
            if rejections := [change.answer for change in final_changes if change.answer]:
                result.stuck.append(f"changes after the faults were rejected: {rejections}")
            behind = [r.name for r in cluster.relays if r.applied_version < cluster.newest_version()]
            if behind and not result.stuck:
                result.stuck.append(f"relays that do not apply the newest version: {behind}")
        self._check_answers()
        result.violations, result.duration_s = cluster.checker.violations, cluster.clock.seconds
        answers = Counter(
            "kept open"
            if c.answer is None
            else "settled"
            if not c.answer
            else "unknown"
            if "see `show`" in c.answer
            else "turned down"
            for _, c in self.requested_changes
        )
        result.counts.update(answers)
        result.counts["versions"] = cluster.newest_version()
        result.counts["refused by race"] = sum(
            bool(committed.rejection_reason) for committed in cluster.checker.committed_steps.values()
        )
        result.counts["wholes"] = sum(h.core.counts["wholes"] for h in cluster.controllers)
        result.counts["differences"] = sum(h.core.counts["differences"] for h in cluster.controllers)
        return result


def run_scenario(
    seed: int,
    components: ConfigurationComponents | None = None,
    faults: Sequence[Fault] | None = None,
    fleet: tuple[int, int, int] | None = None,
    simultaneous: bool | None = None,
) -> ScenarioResult:
    """Run a scenario.

    Args:
        seed: The seed of the fleet, the faults and the changes.
        components: The implementations under test; the product's own by default.
        faults: The faults to inject; drawn from the seed by default.
        fleet: The numbers of controllers, voters and relays; drawn from the seed by default.
        simultaneous: Whether all faults start at once; drawn from the seed by default.
    """
    return Scenario(seed, components or ConfigurationComponents(), faults, fleet, simultaneous).run()


@dataclass(slots=True)
class ScenarioTotals:
    """The results of several scenarios.

    Attributes:
        runs: The number of scenarios.
        violations: The first violation of each seed that has one.
        stuck: The first text on missing recovery of each seed that has one.
        counts: The totals of the counts.
    """

    runs: int = 0
    violations: dict[int, str] = field(default_factory=dict)
    stuck: dict[int, str] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)


def run_seeds(first_seed: int, count: int, components: ConfigurationComponents | None = None) -> ScenarioTotals:
    """Run `count` scenarios with consecutive seeds, as one task of a pool of processes."""
    totals = ScenarioTotals()
    for seed in range(first_seed, first_seed + count):
        result = run_scenario(seed, components)
        totals.runs += 1
        totals.counts.update(result.counts)
        if result.violations:
            totals.violations[seed] = result.violations[0]
        if result.stuck:
            totals.stuck[seed] = result.stuck[0]
    return totals
