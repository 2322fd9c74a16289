"""What a run is asked to be, and what came of it."""

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
    """settle_s: before the faults; faults_s: in which they lie; after_s: after the last of them."""

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
    restart_backend: bool = True  # one node drains, ends, and comes back cold
    agreement_limit_s: float = 12.0  # after the faults by when members agree
    voters: int = 0  # so many of the relays vote on turns for machines out for work; 0: there are no turns
    moves_per_s: float = 100.0  # of all relays together, off machines that empty
    lose_voter_file: bool = False  # the first voter that is killed loses its file
    evacuate: bool = True  # machines are taken out; else the same time passes without
    slow_start_s: float = 3.0

    @property
    def obligations(self) -> Obligations:
        """The promises of the relays' settings, for the checker."""
        # A node carries twice its share of what stands.
        return Obligations(backend_capacity=2.0 * self.clients / max(self.backends, 1), slow_start_s=self.slow_start_s)


@dataclass(slots=True)
class Report:
    """Broken rules, counts and figures of one run."""

    run: Run
    schedule: list[Fault]
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    agreed_s: float = -1.0  # after the faults; below 0: they never did
    datagrams: Counter[str] = field(default_factory=Counter)
    worst_slow_start_ratio: float = 0.0
    served_fraction: float = 0.0
    answer_p99_ms: float = 0.0
    max_client_lag_ms: float = 0.0  # this process, at most
    max_backend_lag_ms: float = 0.0  # the process of the backends, at most
    logs: dict[str, list[str]] = field(default_factory=dict)

    def __str__(self) -> str:
        lines = [
            f"seed {self.run.seed}: {self.run.relays} relays, {self.run.backends} nodes, "
            f"{self.run.clients} submitters, faults {', '.join(self.run.fault_kinds) or 'none'}"
        ]
        lines += [f"  {fault}" for fault in self.schedule]
        lines += [f"BROKEN: {rule}" for rule in self.violations]
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
        lines.append(f"  {counts}")
        sent = ", ".join(f"{name} {count}" for name, count in sorted(self.datagrams.items()))
        agreed = f"{self.agreed_s:.1f} s after the faults" if self.agreed_s >= 0.0 else "not"
        lines.append(
            f"  served {self.served_fraction:.3f} of what was wanted, "
            f"answers within {self.answer_p99_ms:.0f} ms (99 %), "
            f"cold nodes at most {self.worst_slow_start_ratio:.2f} times what fills them"
        )
        lines.append(f"  datagrams: {sent or 'none'}; members agreed {agreed}")
        lines.append(
            f"  stand-ins late by at most: clients {self.max_client_lag_ms:.0f} ms, "
            f"backends {self.max_backend_lag_ms:.0f} ms"
        )
        return "\n".join(lines)
