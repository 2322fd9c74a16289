"""Fault injection from a seed, shared by the tests with real processes and the simulations on virtual time.

A fault names its participants: relays are "r0", "r1", ..., backends have their own names, and the endpoint list is
"list". Each ordered pair of participants has its own random generator, so the traffic of one pair does not change the
faults of another.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

FAULT_KINDS = {
    "loss": "a fraction of the datagrams between relays is lost",
    "late": "datagrams between relays are delayed",
    "old": "each datagram between relays is delayed by 5 s",
    "double": "a fraction of the datagrams is duplicated, the duplicate is delayed",
    "reorder": "a fraction of the datagrams arrives after datagrams that were sent later",
    "held": "a fraction of the datagrams is delayed by seconds",
    "corrupt": "a fraction of the datagrams has one byte changed",
    "mute": "no relay receives datagrams from another relay",
    "cut": "two relays receive nothing from each other",
    "oneway": "one relay receives nothing from another, the other direction works",
    "split": "the relays are partitioned into two groups",
    "lost": "one relay is isolated from all others",
    "kill": "one relay is killed (SIGKILL) and started again later",
    "stall": "one relay is suspended (SIGSTOP) and resumed later",
    "restart": "all relays are restarted one after the other (SIGTERM, then a new process)",
    "nodecut": "one relay cannot reach one backend; established connections carry no data",
    "listcut": "one relay cannot reach the endpoint list",
}
DATAGRAM_FAULTS = frozenset(("loss", "late", "old", "double", "reorder", "held", "corrupt", "mute"))
PARTITIONS = frozenset(("cut", "split", "lost", "nodecut", "listcut"))  # block all traffic between their two sides
PROCESS_FAULTS = frozenset(("kill", "stall"))
DELAYS_MS = {
    "late": (50.0, 800.0),
    "double": (50.0, 800.0),
    "reorder": (50.0, 800.0),
    "held": (2000.0, 8000.0),
}
PROBABILITIES = {
    "loss": (0.1, 0.35),
    "double": (0.1, 0.5),
    "reorder": (0.1, 0.5),
    "corrupt": (0.02, 0.2),
    "held": (0.05, 0.25),
}
OLD_DATAGRAM_DELAY_MS = 5000.0
DURATION_FRACTIONS = (0.4, 0.8)  # of the window in which all faults are placed
STALL_FRACTIONS = (0.5, 1.0)  # of the maximum stall
LATE_DELAY_FACTORS = (0.5, 1.5)  # multiply the delay of a "late" fault, drawn for each datagram


class FaultError(ValueError):
    """An unknown kind of fault was requested. The message lists the known kinds."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One injected fault.

    At its end a killed relay is started again and a stalled relay is resumed.

    Attributes:
        kind: a key of FAULT_KINDS, or a kind that only one simulation knows.
        start_s: seconds after the start of the run.
        duration_s: duration in seconds.
        probability: probability that a datagram is affected.
        delay_ms: delay of an affected datagram.
        participants: names of the affected participants, or of one side of a partition.
        other_side: names on the other side of a partition; empty for other faults.
    """

    kind: str
    start_s: float
    duration_s: float
    probability: float = 1.0
    delay_ms: float = 0.0
    participants: tuple[str, ...] = ()
    other_side: tuple[str, ...] = ()

    @property
    def end_s(self) -> float:
        """The end in seconds after the start of the run."""
        return self.start_s + self.duration_s

    def separates(self, source: str, target: str) -> bool:
        """Return whether the two participants are on different sides of the fault."""
        one_way = source in self.participants and target in self.other_side
        return one_way or (target in self.participants and source in self.other_side)

    def __str__(self) -> str:
        sides = " | ".join(" ".join(side) for side in (self.participants, self.other_side) if side)
        amount = ""
        if self.kind in PROBABILITIES:
            amount = f" {self.probability:.2f}"
        elif self.delay_ms:
            amount = f" {self.delay_ms:.0f} ms"
        return f"{self.start_s:6.2f} to {self.end_s:6.2f} s  {self.kind}{amount}{'  ' + sides if sides else ''}"


class Delivery(NamedTuple):
    """One copy of a datagram that arrives.

    Attributes:
        delay_ms: time between sending and arrival.
        data: the datagram as it arrives, possibly corrupted.
    """

    delay_ms: float
    data: bytes


def relay_names(relays: int) -> list[str]:
    """Return the names of this number of relays."""
    return [f"r{index}" for index in range(relays)]


def parse_kinds(text: str) -> list[str]:
    """Parse a comma-separated list of fault kinds.

    Raises:
        FaultError: a kind is unknown.
    """
    kinds = [kind.strip() for kind in text.split(",") if kind.strip()]
    for kind in kinds:
        if kind not in FAULT_KINDS:
            raise FaultError(f"unknown fault {kind!r}; known faults: {', '.join(FAULT_KINDS)}")
    return kinds


def schedule(
    kinds: Sequence[str],
    relays: Sequence[str],
    backends: Sequence[str],
    seed: int,
    window_start_s: float,
    window_s: float,
    max_stall_s: float = 3.0,
) -> list[Fault]:
    """Draw one fault for each requested kind from the seed.

    Args:
        kinds: the kinds of the faults; a kind may be repeated.
        relays: names of the relays.
        backends: names of the backends.
        seed: seed of the random generator.
        window_start_s: earliest start of a fault.
        window_s: length of the window; all faults end within it.
        max_stall_s: maximum duration of a stall.

    Returns:
        The faults in the order of their starts.
    """
    random = Random(f"faults {seed}")
    faults: list[Fault] = []
    for kind in kinds:
        duration_s = window_s * random.uniform(*DURATION_FRACTIONS)
        if kind == "stall":
            duration_s = min(duration_s, max_stall_s * random.uniform(*STALL_FRACTIONS))
        start_s = window_start_s + random.uniform(0.0, window_s - duration_s)
        shuffled = list(relays)
        random.shuffle(shuffled)
        if kind in PROCESS_FAULTS:
            shuffled.sort(key=lambda relay: _count_process_faults(relay, faults))
        probability = random.uniform(*PROBABILITIES[kind]) if kind in PROBABILITIES else 1.0
        delay_ms = _draw_delay_ms(kind, random)
        participants, other_side = _draw_sides(kind, shuffled, backends, random)
        faults.append(
            Fault(
                kind,
                round(start_s, 3),
                round(duration_s, 3),
                probability,
                delay_ms,
                tuple(participants),
                tuple(other_side),
            )
        )
    return sorted(faults, key=lambda fault: (fault.start_s, fault.kind))


def _count_process_faults(relay: str, faults: Sequence[Fault]) -> int:
    """Count the process faults of this relay.

    The schedule prefers relays with few of them, so that no relay has two while another has none.
    """
    return sum(relay in fault.participants for fault in faults if fault.kind in PROCESS_FAULTS)


def _draw_delay_ms(kind: str, random: Random) -> float:
    if kind in DELAYS_MS:
        return random.uniform(*DELAYS_MS[kind])
    return OLD_DATAGRAM_DELAY_MS if kind == "old" else 0.0


def _draw_sides(
    kind: str, shuffled: Sequence[str], backends: Sequence[str], random: Random
) -> tuple[Sequence[str], Sequence[str]]:
    """Choose the two sides of a fault; relays at the front of `shuffled` are affected first."""
    match kind:
        case "cut" | "oneway":
            return shuffled[:1], (shuffled[1 % len(shuffled)],)
        case "split":
            size = max(1, random.randint(len(shuffled) // 3, len(shuffled) // 2))
            return sorted(shuffled[:size]), sorted(shuffled[size:])
        case "lost":
            return shuffled[:1], sorted(shuffled[1:])
        case "kill" | "stall":
            return shuffled[:1], ()
        case "nodecut":
            return shuffled[:1], (random.choice(list(backends)),)
        case "listcut":
            return shuffled[:1], ("list",)
        case _:
            return (), ()


class FaultyNetwork:
    """A network that decides which datagrams arrive, when and how often, while faults are active.

    Args:
        seed: seed of the random generators; each ordered pair of participants has its own generator.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.active: list[Fault] = []
        self._randoms: dict[tuple[str, str], Random] = {}

    def start(self, fault: Fault) -> None:
        """Activate the fault."""
        self.active.append(fault)

    def end(self, fault: Fault) -> None:
        """Deactivate the fault if it is active."""
        if fault in self.active:
            self.active.remove(fault)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether all traffic from one participant to another is blocked."""
        return any(self._blocks(fault, source, target) for fault in self.active)

    def deliveries(self, source: str, target: str, data: bytes) -> list[Delivery]:
        """Return the copies of a datagram that arrive; an empty list if it is lost."""
        if self.is_cut(source, target):
            return []
        active = [fault for fault in self.active if fault.kind in DATAGRAM_FAULTS]
        if not active:
            return [Delivery(0.0, data)]
        random = self._pair_random(source, target)
        delay_ms, duplicate_delays_ms = 0.0, list[float]()
        for fault in active:
            if not _applies_to(fault, data, random):
                continue
            match fault.kind:
                case "loss":
                    return []
                case "late":
                    delay_ms += fault.delay_ms * random.uniform(*LATE_DELAY_FACTORS)
                case "old":
                    delay_ms += fault.delay_ms
                case "reorder" | "held":
                    delay_ms += random.uniform(0.0, fault.delay_ms)
                case "double":
                    duplicate_delays_ms = [random.uniform(0.0, fault.delay_ms)]
                case "corrupt":
                    data = _with_changed_byte(data, random)
        return [Delivery(delay_ms, data), *(Delivery(delay_ms + extra_ms, data) for extra_ms in duplicate_delays_ms)]

    def _pair_random(self, source: str, target: str) -> Random:
        pair = (source, target)
        if pair not in self._randoms:
            self._randoms[pair] = Random(f"{self.seed} {source} {target}")
        return self._randoms[pair]

    @staticmethod
    def _blocks(fault: Fault, source: str, target: str) -> bool:
        if fault.kind == "mute":
            return source[0] == target[0] == "r"
        if fault.kind == "oneway":
            return source in fault.other_side and target in fault.participants
        return fault.kind in PARTITIONS and fault.separates(source, target)


def _applies_to(fault: Fault, data: bytes, random: Random) -> bool:
    """Draw whether the fault applies to this datagram. An empty datagram cannot be corrupted."""
    if fault.kind not in PROBABILITIES:
        return True
    if fault.kind == "corrupt" and not data:
        return False
    return random.random() < fault.probability


def _with_changed_byte(data: bytes, random: Random) -> bytes:
    position = random.randrange(len(data))
    changed = data[position] ^ random.randrange(1, 256)
    return data[:position] + bytes((changed,)) + data[position + 1 :]
