"""What one relay sees of the machines: which are warm, and why none should leave just now. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.maintenance.state import EMPTYING, WARMING, BackendObservation, MaintenanceState

TROUBLE_MS = 10_000.0  # a machine that died is trouble for so long, then it is how things are
WINDOW_MS, MIN_ASKED = 5000.0, 20
MAX_NAMED = 3


@dataclass(slots=True, frozen=True)
class BackendSample:
    """A machine as the list has it now. failing: this relay passes it over. held: connections that it knows of."""

    name: str
    zone: int
    capacity: float
    state: EndpointState
    started: float
    failing: bool = False
    held: int = 0


@dataclass(slots=True)
class Known:
    state: EndpointState
    started: float
    warm_at: float


class FleetHealth:
    """cold_ms: how long a machine is cold. pressure: the share of refused jobs from which on none should leave.

    What was there at the first look is taken for warm: whoever starts cannot know better, and the floor counts it."""

    def __init__(self, cold_ms: float, pressure: float) -> None:
        self.cold_ms, self.pressure = cold_ms, pressure
        self.machines: dict[str, Known] = {}
        self.died: dict[str, float] = {}
        self.counts: list[tuple[float, int, int]] = []  # when, jobs asked and refused since the start
        self.looked = False

    def look(
        self, now: float, machines: Iterable[BackendSample], state: MaintenanceState, asked: int = 0, refused: int = 0
    ) -> tuple[Mapping[str, BackendObservation], str]:
        """The machines for the agreement, and the trouble; empty where there is none."""
        seen: dict[str, BackendObservation] = {}
        failing = []
        for at in machines:
            known = self.machines.get(at.name)
            if known is None or known.started != at.started or known.state is EndpointState.GONE:
                warm_at = now + self.cold_ms if self.looked and at.state is EndpointState.READY else now
                self.machines[at.name] = known = Known(at.state, at.started, warm_at)
            out = state.evacuations.get(at.name)
            if out is not None and out.stage != WARMING:
                known.warm_at = now + self.cold_ms  # whatever the list says: it comes back cold
                if out.stage == EMPTYING and known.state is EndpointState.READY and at.state is EndpointState.GONE:
                    self.died[at.name] = now
            elif known.state is EndpointState.READY and at.state is EndpointState.GONE:
                self.died[at.name] = now
            elif at.failing and at.state is EndpointState.READY and out is None:
                failing.append(at.name)
            known.state = at.state
            ready = at.state is EndpointState.READY and now >= known.warm_at and not at.failing
            if at.state is not EndpointState.GONE:
                seen[at.name] = BackendObservation(at.zone, at.capacity, ready, at.held)
        for name in self.machines.keys() - seen.keys():
            known = self.machines[name]
            if known.state is EndpointState.READY and (
                name not in state.evacuations or state.evacuations[name].stage == EMPTYING
            ):
                self.died[name] = now
            known.state = EndpointState.GONE
        self.looked = bool(self.machines)
        return seen, self._trouble(now, failing, asked, refused)

    def _trouble(self, now: float, failing: Collection[str], asked: int, refused: int) -> str:
        for name in [n for n, at in self.died.items() if now >= at + TROUBLE_MS]:
            del self.died[name]
            if self.machines[name].state is EndpointState.GONE:
                del self.machines[name]
        self.counts.append((now, asked, refused))
        while self.counts[0][0] < now - WINDOW_MS:
            self.counts.pop(0)
        came, turned = asked - self.counts[0][1], refused - self.counts[0][2]
        if self.died:
            return f"{named(self.died)} died"
        if failing:
            return f"{named(failing)} {'fails' if len(failing) == 1 else 'fail'}"
        if came >= MIN_ASKED and turned > self.pressure * came:
            return f"the fleet is under pressure: {turned / came:.0%} of the jobs were refused"
        return ""


def named(names: Collection[str]) -> str:
    some = ", ".join(sorted(names)[:MAX_NAMED])
    return f"{some} and {len(names) - MAX_NAMED} more" if len(names) > MAX_NAMED else some
