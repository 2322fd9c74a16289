"""Faults between parties, as words with times drawn from a seed: one vocabulary for real processes and for virtual
time.

Parties are named: relays "r0", "r1", ..., execute nodes by their names, the machine list "list". What befalls a
datagram between two of them is decided here, by a random generator of that pair alone, so that one pair's traffic
does not change another's fate.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

WORDS = {
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
BETWEEN = frozenset(("loss", "late", "old", "double", "reorder", "held", "corrupt", "mute"))
SHARES = {
    "loss": (0.1, 0.35),
    "double": (0.1, 0.5),
    "reorder": (0.1, 0.5),
    "corrupt": (0.02, 0.2),
    "held": (0.05, 0.25),
}
OLD_MS = 5000.0


class FaultError(ValueError):
    """A word that is no fault; the text names those that are."""


@dataclass(slots=True, frozen=True)
class Fault:
    """at_s, for_s: from the start of the run. share: of what it befalls. late_ms: how late. parties: whom, one or two
    sides. A kill starts again, and a stall goes on, when its time is over."""

    word: str
    at_s: float
    for_s: float
    share: float = 1.0
    late_ms: float = 0.0
    one: tuple[str, ...] = ()
    other: tuple[str, ...] = ()

    @property
    def ends_s(self) -> float:
        return self.at_s + self.for_s

    def __str__(self) -> str:
        whom = " | ".join(" ".join(side) for side in (self.one, self.other) if side)
        much = f" {self.share:.2f}" if self.word in SHARES else f" {self.late_ms:.0f} ms" if self.late_ms else ""
        return f"{self.at_s:6.2f} to {self.ends_s:6.2f} s  {self.word}{much}{'  ' + whom if whom else ''}"


def relay_names(relays: int) -> list[str]:
    return [f"r{n}" for n in range(relays)]


def read_words(text: str) -> list[str]:
    words = [word.strip() for word in text.split(",") if word.strip()]
    for word in words:
        if word not in WORDS:
            raise FaultError(f"{word!r} is no fault; these are: {', '.join(WORDS)}")
    return words


def schedule(
    words: Sequence[str],
    relays: Sequence[str],
    backends: Sequence[str],
    seed: int,
    from_s: float,
    for_s: float,
    stall_s: float = 3.0,
) -> list[Fault]:
    """One fault for each word, drawn from the seed; all are over by `from_s + for_s`."""
    drawn, faults = Random(f"faults {seed}"), list[Fault]()
    for word in words:
        lasts = for_s * drawn.uniform(0.4, 0.8)
        if word == "stall":
            lasts = min(lasts, stall_s * drawn.uniform(0.5, 1.0))
        at = from_s + drawn.uniform(0.0, for_s - lasts)
        order = list(relays)
        drawn.shuffle(order)
        if word in ("kill", "stall"):  # not the same relay twice, where there are several
            order.sort(key=lambda relay: sum(relay in f.one for f in faults if f.word in ("kill", "stall")))
        one, other, share, late = tuple[str, ...](), tuple[str, ...](), 1.0, 0.0
        if word in SHARES:
            share = drawn.uniform(*SHARES[word])
        if word in ("late", "double", "reorder"):
            late = drawn.uniform(50.0, 800.0)
        elif word == "held":
            late = drawn.uniform(2000.0, 8000.0)
        elif word == "old":
            late = OLD_MS
        elif word in ("cut", "oneway"):
            one, other = (order[0],), (order[1 % len(order)],)
        elif word == "split":
            part = max(1, drawn.randint(len(order) // 3, len(order) // 2))
            one, other = tuple(sorted(order[:part])), tuple(sorted(order[part:]))
        elif word == "lost":
            one, other = (order[0],), tuple(sorted(order[1:]))
        elif word in ("kill", "stall"):
            one = (order[0],)
        elif word == "nodecut":
            one, other = (order[0],), (drawn.choice(list(backends)),)
        elif word == "listcut":
            one, other = (order[0],), ("list",)
        faults.append(Fault(word, round(at, 3), round(lasts, 3), share, late, one, other))
    return sorted(faults, key=lambda fault: (fault.at_s, fault.word))


class Ways:
    """What is wrong on the way from one party to another now, and what that does to a datagram."""

    def __init__(self, seed: int, faults: Iterable[Fault] = ()) -> None:
        self.seed, self.active = seed, list[Fault]()
        self.faults = list(faults)
        self.drawn: dict[tuple[str, str], Random] = {}

    def start(self, fault: Fault) -> None:
        self.active.append(fault)

    def end(self, fault: Fault) -> None:
        if fault in self.active:
            self.active.remove(fault)

    def cut(self, source: str, target: str) -> bool:
        """Nothing passes this way."""
        for fault in self.active:
            word = fault.word
            if word == "mute" and source[0] == target[0] == "r":
                return True
            if word in ("cut", "split", "lost", "nodecut", "listcut"):
                if (source in fault.one and target in fault.other) or (target in fault.one and source in fault.other):
                    return True
            elif word == "oneway" and source in fault.other and target in fault.one:
                return True
        return False

    def fate(self, source: str, target: str, data: bytes) -> list[tuple[float, bytes]]:
        """The copies that arrive of a datagram between relays: after how many milliseconds, and what."""
        if self.cut(source, target):
            return []
        between = [fault for fault in self.active if fault.word in BETWEEN]
        if not between:
            return [(0.0, data)]
        pair = (source, target)
        drawn = self.drawn.setdefault(pair, Random(f"{self.seed} {source} {target}"))
        late, copies = 0.0, 1
        again = 0.0
        for fault in between:
            if fault.word == "loss" and drawn.random() < fault.share:
                return []
            if fault.word in ("late", "old"):
                late += fault.late_ms * (1.0 if fault.word == "old" else drawn.uniform(0.5, 1.5))
            elif fault.word in ("reorder", "held") and drawn.random() < fault.share:
                late += drawn.uniform(0.0, fault.late_ms)
            elif fault.word == "double" and drawn.random() < fault.share:
                copies, again = 2, drawn.uniform(0.0, fault.late_ms)
            elif fault.word == "corrupt" and data and drawn.random() < fault.share:
                at = drawn.randrange(len(data))
                data = data[:at] + bytes((data[at] ^ drawn.randrange(1, 256),)) + data[at + 1 :]
        return [(late, data)] + [(late + again, data)] * (copies - 1)
