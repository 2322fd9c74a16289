"""The plan of a seed: the settings of its relays and its faults with their times. The same seed gives the same plan."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations
from random import Random
from typing import Any

FAULTS = {
    "term": "relays are shut down (SIGTERM) and restarted",
    "hup": "relays reload their configuration (SIGHUP), some with another discovery address or after a truncated file",
    "kill": "relays are killed (SIGKILL) and restarted",
    "stop": "relays are suspended repeatedly for 20 to 140 ms (SIGSTOP, SIGCONT)",
    "freeze": "relays are suspended once for 0.3 to 1.5 s",
    "clock": "the wall clock of relays is stepped by -3600 to 3600 s, for some from their start",
    "calls": "accept, socket and connect fail in relays with errors that Linux documents",
    "pieces": "reads and writes of relays are short or interrupted (EINTR)",
    "refuse": "backends reject requests, answer with an error, or close the connection",
    "break": "backends reset connections, or send a partial, a second, an endless or a malformed answer",
    "hang": "backends answer late or not at all",
    "crash": "backends crash and stop listening until they are restarted with a new start time",
    "full": "connections to backends are established late, since accept queues are full",
    "wire": "links to backends are cut, delay data, split it, or reset connections with requests",
    "drain": "backends drain; some are removed and return cold",
    "list": "discovery is down, silent or slow, rejects requests, or resets its watches",
    "leave": "clients disconnect early, by a close, a half-close or a reset",
    "rude": "clients send malformed, oversized or partial input, or nothing",
}
# Added to every seed by --upgrades, never drawn: a second process of a relay starts beside the first one.
UPGRADE = "upgrade"
NEEDS_SHIM = frozenset(("clock", "calls", "pieces"))
RELAY_RATES = (14.0, 14.0, 40.0)  # requests per second and relay; one is drawn
MAX_TOTAL_RATE = 420.0  # requests per second of all relays; above it the soak's single process falls behind
WARM_UP_S, COOL_DOWN_S = 1.2, 3.0  # before the first fault, and after the last
IDLE_CLIENTS_SHARE = 0.25  # fraction of the seeds that run with idle clients
IDLE_CLIENTS_DESCRIPTORS = 200  # the relays' descriptor limit in such a run


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a plan.

    Attributes:
        kind: a key of FAULTS.
        start_s: seconds from the start of the run.
        duration_s: the duration in seconds.
        seed: the seed of the random source for the fault's details.
    """

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
    """The run of one seed.

    Attributes:
        clock_step_ms: offset of the wall clock of every other relay from its start.
        requests_per_relay_s: the mean rate of requests per relay.
        upgrades: whether processes of relays are replaced by second ones that start beside them.
        descriptors: the configured descriptor limit of the relays in a run with idle clients; 0 configures no limit, in
            a run without idle clients.
    """

    seed: int
    relays: int
    backends: int
    seconds: float
    settings: dict[str, Any]
    faults: tuple[Fault, ...]
    clock_step_ms: int
    requests_per_relay_s: float
    descriptors: int = 0
    upgrades: bool = False

    def pairs(self) -> set[frozenset[str]]:
        """Return the pairs of kinds of faults that overlap in time."""
        return {
            frozenset((fault.kind, other_fault.kind))
            for fault, other_fault in combinations(self.faults, 2)
            if fault.kind != other_fault.kind
            and fault.start_s < other_fault.end_s
            and other_fault.start_s < fault.end_s
        }


def fault_pairs(kinds: list[str]) -> list[tuple[str, str]]:
    """Return all pairs of kinds in a fixed order."""
    return list(combinations(sorted(kinds), 2))


def draw_settings(random: Random, backends: int, relays: int) -> dict[str, Any]:
    """Return settings in the platform's format, for one of the two deployments.

    They have request classes that may and may not be retried, short idempotency windows and deadlines, groups and
    quotas; the endpoint list is either subscribed to, or delivered automatically, in which case backends are probed.
    """
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


def make_plan(seed: int, relays: int, seconds: float, kinds: list[str], upgrades: bool = False) -> Plan:
    """Return the plan of a seed: two sets of up to three faults, each set at one time.

    Each set contains one pair of kinds. Consecutive seeds step through all pairs of kinds, so that half as many seeds
    as there are pairs cover each pair. With `upgrades`, an upgrade begins in each half as well; all else is the same.
    """
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
    if upgrades:
        faults += _draw_upgrades(seed, half_s)
    faults.sort(key=lambda fault: fault.start_s)
    rate = min(random.choice(RELAY_RATES), MAX_TOTAL_RATE / relays)
    descriptors = IDLE_CLIENTS_DESCRIPTORS if Random(f"crowd of {seed}").random() < IDLE_CLIENTS_SHARE else 0
    return Plan(seed, relays, backends, seconds, settings, tuple(faults), clock_step_ms, rate, descriptors, upgrades)


def _draw_upgrades(seed: int, half_s: float) -> list[Fault]:
    """Return one upgrade for each half of the run."""
    random = Random(f"upgrade {seed}")
    starts_s = [WARM_UP_S + (half + random.uniform(0.0, 0.4)) * half_s for half in range(2)]
    return [Fault(UPGRADE, start_s, half_s / 2.0, random.getrandbits(30)) for start_s in starts_s]
