"""Faults between parties, drawn from a seed: one vocabulary for real processes and for virtual time.

Parties are named: relays "r0", "r1", ..., backends by their names, the endpoint list "list". What befalls a datagram
between two of them is decided here, by a random generator of that pair alone, so that one pair's traffic does not
change what happens to another's.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

FAULT_KINDS = {
    "loss": "a share of the datagrams between all relays is lost",
    "late": "datagrams between all relays take longer",
    "old": "all datagrams between relays take 5 s",
    "double": "a share of the datagrams comes twice, the second time late",
    "reorder": "a share of the datagrams is overtaken by others",
    "held": "a share of the datagrams is held back for seconds",
    "corrupt": "a share of the datagrams has a byte changed",
    "mute": "nothing passes between any relays",
    "cut": "nothing passes between one relay and another",
    "oneway": "one relay does not hear another, which hears it",
    "split": "the relays fall into two parts that do not hear one another",
    "lost": "one relay hears no other, and is not heard",
    "kill": "one relay is killed, and starts again after a while",
    "stall": "one relay is stopped (SIGSTOP), and goes on after a while",
    "restart": "all relays are asked to end (SIGTERM) and start again, one after the other",
    "nodecut": "one relay cannot reach one execute node; connections that stand are silent",
    "listcut": "one relay cannot reach the machine list",
}
DATAGRAM_FAULTS = frozenset(("loss", "late", "old", "double", "reorder", "held", "corrupt", "mute"))
PARTITIONS = frozenset(("cut", "split", "lost", "nodecut", "listcut"))  # nothing passes between their two sides
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
DURATION_FRACTIONS = (0.4, 0.8)  # of the time that there is for all faults
STALL_FRACTIONS = (0.5, 1.0)  # of the longest stall
LATE_DELAY_FACTORS = (0.5, 1.5)  # on the delay of a "late" fault, for each datagram


class FaultError(ValueError):
    """A text that names no kind of fault; its message names those that there are."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault. A relay that was killed starts again, and one that is stalled goes on, when it is over.

    Attributes:
        kind: one of FAULT_KINDS, or of a model's own.
        start_s: seconds from the start of the run.
        duration_s: seconds.
        probability: for each datagram.
        delay_ms: of a datagram.
        parties: whom it befalls.
        others: the other side, where it lies between two.
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
        """Seconds from the start of the run."""
        return self.start_s + self.duration_s

    def separates(self, source: str, target: str) -> bool:
        """Whether the two parties are on different sides of it."""
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
    """A copy of a datagram that arrives.

    Attributes:
        delay_ms: after it was sent.
        data: what arrives.
    """

    delay_ms: float
    data: bytes


def relay_names(relays: int) -> list[str]:
    """Returns the names of this many relays."""
    return [f"r{index}" for index in range(relays)]


def parse_kinds(text: str) -> list[str]:
    """Returns the kinds of faults that commas separate. Raises FaultError."""
    kinds = [kind.strip() for kind in text.split(",") if kind.strip()]
    for kind in kinds:
        if kind not in FAULT_KINDS:
            raise FaultError(f"{kind!r} is no fault; these are: {', '.join(FAULT_KINDS)}")
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
    """Returns one fault of each kind, drawn from the seed; all are over by `from_s + for_s`."""
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
    """Returns how many of these befall the relay's process: none is to have two while another has none."""
    return sum(relay in fault.participants for fault in faults if fault.kind in PROCESS_FAULTS)


def _draw_delay_ms(kind: str, random: Random) -> float:
    if kind in DELAYS_MS:
        return random.uniform(*DELAYS_MS[kind])
    return OLD_DATAGRAM_DELAY_MS if kind == "old" else 0.0


def _draw_sides(
    kind: str, shuffled: Sequence[str], backends: Sequence[str], random: Random
) -> tuple[Sequence[str], Sequence[str]]:
    """Returns the two sides of a fault; order: the relays, the first of them befallen first."""
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
    """Decides what happens between two parties while faults are active.

    Args:
        seed: of the random generators, one for each pair of parties.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.active: list[Fault] = []
        self._randoms: dict[tuple[str, str], Random] = {}

    def start(self, fault: Fault) -> None:
        """Lets the fault begin."""
        self.active.append(fault)

    def end(self, fault: Fault) -> None:
        """Lets the fault end, where it is active."""
        if fault in self.active:
            self.active.remove(fault)

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing passes from one party to another."""
        return any(self._blocks(fault, source, target) for fault in self.active)

    def deliveries(self, source: str, target: str, data: bytes) -> list[Delivery]:
        """Returns the copies of a datagram between relays that arrive."""
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
    """Draws whether the fault befalls this datagram; one without a byte cannot be corrupted."""
    if fault.kind not in PROBABILITIES:
        return True
    if fault.kind == "corrupt" and not data:
        return False
    return random.random() < fault.probability


def _with_changed_byte(data: bytes, random: Random) -> bytes:
    position = random.randrange(len(data))
    changed = data[position] ^ random.randrange(1, 256)
    return data[:position] + bytes((changed,)) + data[position + 1 :]
