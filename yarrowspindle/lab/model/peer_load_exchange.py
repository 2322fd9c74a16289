"""How the relays of the model fleet learn what the others hold: over the virtual network, or at once and exactly."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.runtime.membership_driver import local_load

if TYPE_CHECKING:  # msgspec, which `known` does without
    from yarrowspindle.lab.model.membership_cluster import VirtualNet

KNOWN_MS = 25.0  # "at once": on every beat of this length
Backends = Callable[[], Iterable[Backend]]
Tell = Callable[[PeerLoads], None]


class Talk:
    """way: "net" or "known". `net` is there for faults where it is "net"."""

    def __init__(self, clock: VirtualClock, seed: int, way: str, changes: dict[str, float]) -> None:
        self.clock, self.known = clock, dict[int, tuple[Backends, Tell]]()
        self.net: VirtualNet | None = None
        self.before: dict[int, dict[int, tuple[int, float]]] = {}
        self.told: dict[int, float] = {}  # node -> when the newest report was made that all know
        if way == "net":
            from yarrowspindle.lab.model.membership_cluster import VirtualNet

            self.net = VirtualNet(clock, seed, **changes)  # type: ignore[arg-type]
        elif way == "known":
            clock.after(KNOWN_MS, self._beat)
        else:
            raise ValueError(f"{way!r} is no way in which relays hear one another")

    def join(self, index: int, backends: Backends, tell: Tell) -> None:
        if self.net is not None:
            self.net.add(index, lambda: local_load(backends(), self.clock.now()), tell)
        else:
            self.known[index] = (backends, tell)

    def end(self, index: int) -> None:
        if self.net is not None:
            self.net.peers[index].die()
        else:
            self.known.pop(index, None)

    def _beat(self) -> None:
        """All know what all hold now: the bound that no word over a network can pass."""
        self.clock.after(KNOWN_MS, self._beat)
        now = self.clock.now()
        words = {index: local_load(backends(), now) for index, (backends, _) in self.known.items()}
        reports: dict[int, tuple[float, float, float]] = {}
        for word in words.values():
            for key, report in word.reports.items():
                if now - report[2] > self.told.get(key, 0.0) + 1.0:
                    self.told[key] = now - report[2]
                    reports[key] = report
        for index, (_, tell) in list(self.known.items()):
            sums: dict[int, tuple[int, float]] = {}
            for other, word in words.items():
                if other != index:
                    for key, (count, load) in word.loads.items():
                        was = sums.get(key, (0, 0.0))
                        sums[key] = (was[0] + count, was[1] + load)
            before = self.before.get(index, {})
            came = {
                key: by
                for key in sums.keys() | before.keys()
                if (by := sums.get(key, (0, 0.0))[0] - before.get(key, (0, 0.0))[0])
            }
            gone = dict.fromkeys(before.keys() - sums.keys(), (0, 0.0))
            self.before[index] = sums
            tell(
                PeerLoads(
                    sums | gone, came, len(words) - 1, len(words), 0.0, frozenset(), reports, sorted(words).index(index)
                )
            )
