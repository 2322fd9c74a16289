"""Cost of an endpoint update and of a request in a small and in a large fleet: the reducer alone, without sockets.

python -m benchmarks.limits --scenario large [--seed N] [--json]
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from random import Random

from benchmarks.common import argument_parser, print_result
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

SMALL_BACKENDS, LARGE_BACKENDS = 100, 5000
ESTABLISHED_REQUESTS, REQUEST_COUNT, DELTA_COUNT, ROUNDS = 400, 1500, 400, 5
MAX_DELTA_RATIO, MAX_REQUEST_RATIO = 3.0, 1.3  # allowed cost in the large fleet, relative to the small one


class ReducerLoad:
    """A reducer with established requests on a number of backends."""

    def __init__(self, backends: int, seed: int, without_latency: bool) -> None:
        self.random, self.now, self.request_id = Random(seed), 1000.0, 0
        settings = Settings(
            classes=(RequestClass(800.0, 4800.0, message_latency_objective_ms=150.0),),
            max_attempts=3,
            clients_heed_retry_after=True,
            max_retry_after_ms=2000.0,
            initial_capacity_fraction=0.31,
            warmup_ms=9000.0,
            overload_multiple=3.0,
            overload_window_ms=1500.0,
            backend_reports_latency=not without_latency,
        )
        self.reducer = Reducer(settings, seed, self.now)
        capacities = [self.random.choice((2.4, 4.8, 6.0)) for _ in range(backends)]
        self.endpoints = [Endpoint(f"s-{n}", ("m", n), capacity=capacity) for n, capacity in enumerate(capacities)]
        self.reducer.step(self.now, EndpointsUpdated(ListKind.FULL, self.endpoints, 1))
        for _ in range(ESTABLISHED_REQUESTS):
            self.open()

    def open(self) -> int:
        self.request_id += 1
        self.now += 5.0
        self.reducer.step(self.now, RequestReceived(self.request_id, 4800.0, load=self.random.uniform(1.0, 5.0)))
        self.reducer.step(self.now, BackendConnected(self.request_id, 0))
        self.reducer.step(self.now, BackendAccepted(self.request_id, 0))
        return self.request_id

    def time_requests(self) -> float:
        """Return microseconds for a request from its arrival to its end, at 200 requests a second."""
        started_s = time.perf_counter()
        for _ in range(REQUEST_COUNT):
            self.reducer.step(self.now, AttemptEnded(self.open(), 0, TerminationReason.COMPLETED))
        return (time.perf_counter() - started_s) / REQUEST_COUNT * 1e6

    def time_deltas(self) -> float:
        """Return microseconds for an endpoint update: draining, then ready again, with a request after each."""
        drawn = [self.random.choice(self.endpoints) for _ in range(DELTA_COUNT // 2)]
        elapsed_s = 0.0
        for endpoint in drawn:
            for state in (EndpointState.DRAINING, EndpointState.READY):
                changed = Endpoint(endpoint.name, endpoint.address, state, capacity=endpoint.capacity)
                update = EndpointsUpdated(ListKind.DELTA, [changed], 2)
                started_s = time.perf_counter()
                self.reducer.step(self.now, update)
                elapsed_s += time.perf_counter() - started_s
                self.reducer.step(self.now, AttemptEnded(self.open(), 0, TerminationReason.COMPLETED))
        return elapsed_s / DELTA_COUNT * 1e6


def measure(seed: int) -> dict[str, float]:
    """Return the best of `ROUNDS` rounds, with the small and the large fleet in turn.

    Keys that end in `_blind` are for backends that do not report message latency.
    """
    result: dict[str, float] = {}
    for without_latency in (False, True):
        loads = {
            backends: ReducerLoad(backends, seed, without_latency) for backends in (SMALL_BACKENDS, LARGE_BACKENDS)
        }
        for _ in range(ROUNDS):
            for backends, load in loads.items():
                for operation, us in (("job", load.time_requests()), ("delta", load.time_deltas())):
                    name = f"us_per_{operation}_{backends}" + "_blind" * without_latency
                    result[name] = round(min(result.get(name, 1e9), us), 2)
    return result


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argument_parser("Cost of endpoint updates and requests by the size of the fleet.")
    parser.add_argument("--scenario", choices=("large",), default="large")
    args = parser.parse_args(arguments)
    started = time.perf_counter()
    result = measure(args.seed)
    for name, value in result.items():
        print(f"  {name:24} {value}")
    failures = []
    for operation, max_ratio in (("delta", MAX_DELTA_RATIO), ("job", MAX_REQUEST_RATIO)):
        for variant in ("", "_blind"):
            ratio = (
                result[f"us_per_{operation}_{LARGE_BACKENDS}{variant}"]
                / result[f"us_per_{operation}_{SMALL_BACKENDS}{variant}"]
            )
            print(f"  {operation}{variant}: {ratio:.2f} times, {max_ratio} at most")
            if ratio > max_ratio:
                failures.append(
                    f"a {operation}{variant} costs {ratio:.2f} times as much with {LARGE_BACKENDS} backends, "
                    f"{max_ratio} at most"
                )
    output = {"scenario": args.scenario, "nodes": LARGE_BACKENDS, "relays": 1, **result}
    return print_result(output, failures, started, args.json, args.seed, args.size)


if __name__ == "__main__":
    sys.exit(main())
