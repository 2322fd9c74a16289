"""What a word of the machine list and a job cost in a small and in a large fleet: the core alone, no sockets.

python -m benchmarks.limits --scenario large [--seed N] [--json]
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from random import Random

from benchmarks.common import finish, options
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.decisions.settings import RequestClass, Settings
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    Endpoint,
    EndpointsUpdated,
    RequestReceived,
)
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.termination import TerminationReason

SMALL, LARGE = 100, 5000
STANDING, REQUESTS, DELTAS, ROUNDS = 400, 1500, 400, 5
MAX_DELTA, MAX_REQUEST = 3.0, 1.3  # how much dearer it may be in the large fleet


class Core:
    """A reducer that holds standing jobs on so many nodes."""

    def __init__(self, backends: int, seed: int, blind: bool) -> None:
        self.random, self.now, self.number = Random(seed), 1000.0, 0
        settings = Settings(
            classes=(RequestClass(800.0, 4800.0, message_latency_objective_ms=150.0),),
            max_attempts=3,
            clients_heed_retry_after=True,
            max_retry_after_ms=2000.0,
            initial_capacity_fraction=0.31,
            warmup_ms=9000.0,
            overload_multiple=3.0,
            overload_window_ms=1500.0,
            backend_reports_latency=not blind,
        )
        self.reducer = Reducer(settings, seed, self.now)
        sizes = [self.random.choice((2.4, 4.8, 6.0)) for _ in range(backends)]
        self.machines = [Endpoint(f"s-{n}", ("m", n), capacity=size) for n, size in enumerate(sizes)]
        self.reducer.step(self.now, EndpointsUpdated(ListKind.FULL, self.machines, 1))
        for _ in range(STANDING):
            self.open()

    def open(self) -> int:
        self.number += 1
        self.now += 5.0
        self.reducer.step(self.now, RequestReceived(self.number, 4800.0, load=self.random.uniform(1.0, 5.0)))
        self.reducer.step(self.now, BackendConnected(self.number, 0))
        self.reducer.step(self.now, BackendAccepted(self.number, 0))
        return self.number

    def requests(self) -> float:
        """Microseconds for a job from its arrival to its end, at 200 jobs a second."""
        begun = time.perf_counter()
        for _ in range(REQUESTS):
            self.reducer.step(self.now, AttemptEnded(self.open(), 0, TerminationReason.COMPLETED))
        return (time.perf_counter() - begun) / REQUESTS * 1e6

    def deltas(self) -> float:
        """Microseconds for a word of the list on one node: it drains, and is ready again. A job comes between."""
        chosen = [self.random.choice(self.machines) for _ in range(DELTAS // 2)]
        took = 0.0
        for machine in chosen:
            for state in (EndpointState.DRAINING, EndpointState.READY):
                changed = Endpoint(machine.name, machine.address, state, capacity=machine.capacity)
                told = EndpointsUpdated(ListKind.DELTA, [changed], 2)
                begun = time.perf_counter()
                self.reducer.step(self.now, told)
                took += time.perf_counter() - begun
                self.reducer.step(self.now, AttemptEnded(self.open(), 0, TerminationReason.COMPLETED))
        return took / DELTAS * 1e6


def measure(seed: int) -> dict[str, float]:
    """The best of some rounds, small and large in turn; `blind`: as where no message times are told."""
    found: dict[str, float] = {}
    for blind in (False, True):
        cores = {size: Core(size, seed, blind) for size in (SMALL, LARGE)}
        for _ in range(ROUNDS):
            for size, core in cores.items():
                for what, us in (("job", core.requests()), ("delta", core.deltas())):
                    name = f"us_per_{what}_{size}" + "_blind" * blind
                    found[name] = round(min(found.get(name, 1e9), us), 2)
    return found


def main(arguments: Sequence[str] | None = None) -> int:
    parser = options("The cost of list words and jobs by the fleet's size.")
    parser.add_argument("--scenario", choices=("large",), default="large")
    chosen = parser.parse_args(arguments)
    started = time.perf_counter()
    found = measure(chosen.seed)
    for name, us in found.items():
        print(f"  {name:24} {us}")
    broken = []
    for what, most in (("delta", MAX_DELTA), ("job", MAX_REQUEST)):
        for kind in ("", "_blind"):
            ratio = found[f"us_per_{what}_{LARGE}{kind}"] / found[f"us_per_{what}_{SMALL}{kind}"]
            print(f"  {what}{kind}: {ratio:.2f} times, {most} at most")
            if ratio > most:
                broken.append(f"a {what}{kind} costs {ratio:.2f} times as much at {LARGE} nodes")
    result = {"scenario": chosen.scenario, "nodes": LARGE, "relays": 1, **found}
    return finish(result, broken, started, chosen.json, chosen.seed, chosen.size)


if __name__ == "__main__":
    sys.exit(main())
