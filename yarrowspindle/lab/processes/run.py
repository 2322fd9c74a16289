"""Parameters and results of one run with real relay processes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from yarrowspindle.lab.faults import Fault
from yarrowspindle.lab.processes.checker import Obligations
from yarrowspindle.lab.processes.stand_ins import CLIENT_LINE_INTERVAL_S

SETTINGS: dict[str, Any] = {
    "azs": ["a", "b"],
    "skus": ["m"],
    "discovery": "subscribe",
    "step_ms": 2.0,
    "categories": [
        {
            "name": "chat",
            "slo_ms": 800.0,
            "deadline_ms": 2000.0,
            "effect": "pure",
            "group": "all",
            "window_ms": 0.0,
            "points": 1.0,
            "stream": True,
        }
    ],
    "realms": [{"name": "acme", "quota_per_s": 5.0, "share": 1.0}],
    "family_info": {"message_aim_ms": [150.0], "tells_load": True, "tells_delay": True},
    "limits": {
        "max_attempts": 3,
        "cancel": True,
        "retry_after": True,
        "max_retry_after_ms": 2000.0,
        "connect_timeout_ms": 250.0,
        "probing": True,
    },
}


@dataclass(slots=True, frozen=True)
class Run:
    """Parameters of one run.

    Attributes:
        relays: number of relay processes.
        backends: number of backends.
        clients: number of clients.
        seed: seed of all random generators.
        fault_kinds: the kinds of the injected faults.
        settle_s: time before the first fault.
        faults_s: window in which the faults are placed.
        recovery_s: time after the last fault.
        lifetime_s: mean lifetime of a connection; its backend then ends it.
        deadline_s: time within which a relay must answer a request.
        line_interval_s: interval between two lines of a connected client.
        stall_s: maximum duration of a stall.
        peers: whether the relays exchange load and membership.
        restart_backend: whether one backend drains, ends and starts again during the faults.
        agreement_limit_s: time after the faults within which all relays must agree on their members.
        voters: number of relays that vote on maintenance; 0 disables maintenance.
        moves_per_s: maximum rate at which all relays together move connections off backends that are evacuated.
        lose_voter_file: whether the first voter that is killed loses its file.
        evacuate: whether backends are taken out of service; if not, the run waits for their minimum duration.
        slow_start_s: duration of a backend's slow start.
    """

    relays: int = 5
    backends: int = 6
    clients: int = 200
    seed: int = 1
    fault_kinds: tuple[str, ...] = ("loss", "cut", "kill", "stall")
    settle_s: float = 3.0
    faults_s: float = 6.0
    recovery_s: float = 5.0
    lifetime_s: float = 6.0
    deadline_s: float = 2.0
    line_interval_s: float = CLIENT_LINE_INTERVAL_S
    stall_s: float = 3.0
    peers: bool = True
    restart_backend: bool = True
    agreement_limit_s: float = 12.0
    voters: int = 0
    moves_per_s: float = 100.0
    lose_voter_file: bool = False
    evacuate: bool = True
    slow_start_s: float = 3.0

    @property
    def obligations(self) -> Obligations:
        """The limits that the checker enforces."""
        # A backend can hold twice its share of the connections.
        return Obligations(backend_capacity=2.0 * self.clients / max(self.backends, 1), slow_start_s=self.slow_start_s)


@dataclass(slots=True)
class Report:
    """Violations, counts and measurements of one run.

    Attributes:
        run: the parameters of the run.
        schedule: the injected faults.
        violations: the violated rules with their details.
        counts: the checker's counts by name.
        agreed_s: seconds from the end of the faults until all relays agreed on their members; negative if they did not.
        datagrams: datagrams between relays by outcome, and their bytes.
        worst_slow_start_ratio: highest ratio of received to expected connections of a starting backend.
        served_fraction: mean fraction of the clients that had a connection.
        answer_p99_ms: 99th percentile of the time to the final answer.
        max_client_lag_ms: maximum event-loop lag of the process with clients, endpoint list and checker.
        max_backend_lag_ms: maximum event-loop lag of the process with the backends.
        logs: log lines by relay.
    """

    run: Run
    schedule: list[Fault]
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    agreed_s: float = -1.0
    datagrams: Counter[str] = field(default_factory=Counter)
    worst_slow_start_ratio: float = 0.0
    served_fraction: float = 0.0
    answer_p99_ms: float = 0.0
    max_client_lag_ms: float = 0.0
    max_backend_lag_ms: float = 0.0
    logs: dict[str, list[str]] = field(default_factory=dict)

    def __str__(self) -> str:
        lines = [
            f"seed {self.run.seed}: {self.run.relays} relays, {self.run.backends} backends, "
            f"{self.run.clients} clients, faults {', '.join(self.run.fault_kinds) or 'none'}"
        ]
        lines += [f"  {fault}" for fault in self.schedule]
        lines += [f"BROKEN: {rule}" for rule in self.violations]
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
        lines.append(f"  {counts}")
        sent = ", ".join(f"{name} {count}" for name, count in sorted(self.datagrams.items()))
        agreed = f"agreed {self.agreed_s:.1f} s after the faults" if self.agreed_s >= 0.0 else "did not agree"
        lines.append(
            f"  clients connected for {self.served_fraction:.3f} of the time, "
            f"99 % of the answers within {self.answer_p99_ms:.0f} ms, "
            f"backends in slow start received at most {self.worst_slow_start_ratio:.2f} times the expected connections"
        )
        lines.append(f"  datagrams: {sent or 'none'}; members {agreed}")
        lines.append(
            f"  maximum event-loop lag: clients {self.max_client_lag_ms:.0f} ms, "
            f"backends {self.max_backend_lag_ms:.0f} ms"
        )
        return "\n".join(lines)
