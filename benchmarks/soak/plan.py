"""What a seed means: the settings of its relays, its troubles and their times. Pure: the same seed, the same plan."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations
from random import Random
from typing import Any

FAULTS = {
    "term": "a relay is told to end (SIGTERM), and starts again",
    "hup": "relays read their configuration again (SIGHUP), with another address of discovery or other deadlines",
    "kill": "a relay is killed (SIGKILL), and starts again",
    "stop": "a relay stands still for 20 to 140 ms, again and again (SIGSTOP, SIGCONT)",
    "freeze": "a relay stands still once, for 0.3 to 1.5 s",
    "clock": "a relay's wall clock is stepped by -3600 to 3600 s; it may start so",
    "calls": "accept, socket and connect fail in a relay as Linux documents it",
    "pieces": "reads and writes of a relay are short, or interrupted",
    "refuse": "backends turn requests away, err, or close",
    "break": "backends reset connections, answer half, answer twice, or without end",
    "hang": "backends answer late, or not at all",
    "crash": "backends end; nobody listens, until they start again under a new start",
    "full": "connections to backends come up late: their accept queues are full",
    "wire": "the wire to backends is cut, late, or resets under requests",
    "drain": "backends drain, and are gone; others come back cold",
    "list": "discovery is down, silent, refuses, or resets its watches",
    "leave": "clients leave early, by an end, a half-close or a reset",
    "rude": "clients send nonsense, floods, halves, or rest",
}
NEEDS_SHIM = frozenset(("clock", "calls", "pieces"))
RELAY_RATES = (14.0, 14.0, 40.0)  # requests a second to each relay
MAX_TOTAL_RATE = 420.0  # of all together: what one process of stand-ins serves without being late itself
WARM_UP_S, COOL_DOWN_S = 1.2, 3.0  # before the first trouble, and after the last
IDLE_CLIENTS_SHARE = 0.25  # of the seeds
IDLE_CLIENTS_DESCRIPTORS = 200


@dataclass(slots=True, frozen=True)
class Fault:
    """at_s, for_s: from the start of the run. number: draws what it does in detail."""

    kind: str
    start_s: float
    duration_s: float
    seed: int

    @property
    def end_s(self) -> float:
        return self.start_s + self.duration_s

    def __str__(self) -> str:
        return f"{self.start_s:6.2f} to {self.end_s:6.2f} s  {self.kind} ({self.seed})"


@dataclass(slots=True, frozen=True)
class Plan:
    """One seed's run."""

    seed: int
    relays: int
    backends: int
    seconds: float
    settings: dict[str, Any]
    faults: tuple[Fault, ...]
    clock_step_ms: int  # of the wall clock of every other relay, from its start
    requests_per_relay_s: float
    descriptors: int = 0  # descriptors that each relay is told it has, for a run with a crowd; 0: as many as there are

    def pairs(self) -> set[frozenset[str]]:
        """Words of troubles that overlap in time."""
        return {
            frozenset((fault.kind, other_fault.kind))
            for fault, other_fault in combinations(self.faults, 2)
            if fault.kind != other_fault.kind
            and fault.start_s < other_fault.end_s
            and other_fault.start_s < fault.end_s
        }


def fault_pairs(kinds: list[str]) -> list[tuple[str, str]]:
    return list(combinations(sorted(kinds), 2))


def draw_settings(random: Random, backends: int, relays: int) -> dict[str, Any]:
    """In the shape of the platform's, of either deployment: classes that may and may not be repeated, short windows and
    deadlines, groups, quotas, lists that are pushed or asked for, probes."""
    subscribes = random.random() < 0.6
    classes = [
        {
            "name": "charge",
            "slo_ms": 400.0,
            "deadline_ms": random.choice((600.0, 1200.0, 2000.0)),
            "effect": "side_effect",
            "group": "cell",
            "points": 3.0,
        },
        {
            "name": "order",
            "slo_ms": 500.0,
            "deadline_ms": random.choice((900.0, 1500.0)),
            "effect": "token",
            "group": random.choice(("all", "zone", "cell")),
            "window_ms": random.choice((120.0, 400.0, 1500.0)),
            "points": 2.0,
        },
        {
            "name": "chat",
            "slo_ms": 300.0,
            "deadline_ms": random.choice((100.0, 300.0, 1500.0)),
            "effect": "pure",
            "group": "all",
            "points": 1.0,
        },
    ]
    for request_class in classes:
        request_class.setdefault("window_ms", 0.0)
        request_class["stream"] = True
    return {
        "azs": ["a", "b"],
        "skus": ["m"],
        "discovery": "subscribe" if subscribes else "automatic",
        "step_ms": 2.0,
        "balancers": relays,
        "categories": classes,
        "realms": [{"name": "acme", "quota_per_s": 200.0, "share": 0.5}, {"name": "zeta", "share": 0.5}],
        "family_info": {
            "message_aim_ms": [150.0, 150.0, 150.0],
            "tells_load": True,
            "tells_delay": True,
            "groups": random.random() < 0.5,
        },
        "limits": {
            "max_attempts": random.choice((2, 3, 4)),
            "cancel": True,
            "retry_after": random.random() < 0.7,
            "max_retry_after_ms": 400.0,
            "connect_timeout_ms": random.choice((40.0, 60.0, 60.0, 120.0, 250.0, 1200.0)),
            "probing": not subscribes,
        },
        "stats": {"source": "probe", "columns": ["x0", "rif"]} if not subscribes else {"source": "none"},
        "obligations": {
            "drain_grace_ms": random.choice((400.0, 800.0)),
            "answer_slack_ms": 8.0,
            "ask_within_ms": 1000.0,
            "cold_share": random.choice((0.1, 0.25)),
            "cold_ms": 3000.0,
            "fall_multiple": random.choice((1.0, 1.0, 2.0)),
            "fall_ms": 1000.0,
        },
    }


def make_plan(seed: int, relays: int, seconds: float, kinds: list[str]) -> Plan:
    """Two sets of three troubles, each set at one time. The pairs that a seed's sets start from go round all pairs of
    words as seeds go up, so that so many seeds in a row cover each pair."""
    random = Random(f"soak {seed}")
    backends = max(8, relays)
    settings = draw_settings(random, backends, relays)
    pairs = fault_pairs(kinds)
    half_s = (seconds - WARM_UP_S - COOL_DOWN_S) / 2.0
    faults: list[Fault] = []
    for half in range(2):
        first, second = pairs[(2 * seed + half) % len(pairs)] if pairs else (kinds[0], kinds[0])
        third = random.choice(kinds)
        for kind in dict.fromkeys((first, second, third)):
            start_s = WARM_UP_S + half * half_s + random.uniform(0.0, 0.25) * half_s
            faults.append(Fault(kind, start_s, half_s * random.uniform(0.55, 0.75), random.getrandbits(30)))
    clock_step_ms = random.choice((0, 0, -3_600_000, 3_600_000, -4000, 4000)) if "clock" in kinds else 0
    faults.sort(key=lambda fault: fault.start_s)
    rate = min(random.choice(RELAY_RATES), MAX_TOTAL_RATE / relays)
    descriptors = IDLE_CLIENTS_DESCRIPTORS if Random(f"crowd of {seed}").random() < IDLE_CLIENTS_SHARE else 0
    return Plan(seed, relays, backends, seconds, settings, tuple(faults), clock_step_ms, rate, descriptors)
