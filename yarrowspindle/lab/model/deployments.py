"""Two deployments as model fleets of a size that runs within seconds, and the scenarios that they are run through.

`ASKED`: backends report the load of each connection and are not health-checked; their weights are their sizes; one
request class, three zones. It models a deployment whose relays poll discovery.

`PROBED`: backends report no load of connections, but return a load report to health checks; discovery publishes live
weights; four request classes of different priority weight and load, groups of high cost, and two zones, one of which
receives most of the traffic. It models a deployment whose discovery pushes its updates.
"""

from __future__ import annotations

from collections.abc import Callable

from yarrowspindle.lab.model.backend import ModelBackend
from yarrowspindle.lab.model.fleet import Fleet, FleetSpec, ModelClass

ASKED = FleetSpec(
    relays=3,
    backends=12,
    connections=480,
    lifetime_s=28.0,
    utilization=0.55,
    load_cv=0.9,
    load_change_interval_s=10.0,
    load_change_cv=0.5,
    grouped_fraction=0.9,
    group_size=12,
    zones=3,
    backend_reports_slow_messages=True,
    clients_report_load=False,
    classes=(ModelClass(),),
)
PROBED = FleetSpec(
    relays=3,
    backends=12,
    connections=130,
    lifetime_s=48.0,
    utilization=0.4,
    load_cv=1.1,
    load_change_interval_s=12.0,
    load_change_cv=0.5,
    relay_weights=(1.0, 2.0, 1.0),
    grouped_fraction=1.0,
    group_size=12,
    group_cost=1.5,
    zones=2,
    backend_reports_slow_messages=True,
    clients_report_load=False,
    backend_reports_load=False,
    load_report_interval_ms=800.0,
    list_weight_interval_ms=1000.0,
    drain_grace_ms=2000.0,
    cross_zone_price=0.16,
    overload_window_ms=3000.0,
    classes=(
        ModelClass(0.41, 1.0, 1.0, 3.0, 800.0, 4800.0, 60.0),
        ModelClass(0.29, 6.0, 2.0, 1.0, 300.0, 1200.0, 50.0),
        ModelClass(0.20, 6.0, 0.65, 2.0, 800.0, 4800.0, 150.0),
        ModelClass(0.10, 6.0, 2.0, 5.0, 300.0, 1200.0, 50.0),
    ),
)
DEPLOYMENTS = {"asked": ASKED, "probed": PROBED}
WARMUP_S, SCENARIO_S, RECOVERY_S = 8.0, 15.0, 12.0


def most_loaded(fleet: Fleet, fraction: float) -> list[ModelBackend]:
    """Return this fraction of the backends, at least one: those with most connections, so that a fault matters."""
    backends = sorted(fleet.backends.values(), key=lambda backend: (-len(backend.connections), backend.name))
    return backends[: max(1, round(fraction * len(backends)))]


def hang(fleet: Fleet) -> None:
    """Let some backends accept connections and answer nothing, until the end of the scenario."""
    backends = most_loaded(fleet, 0.15)
    for backend in backends:
        backend.hanging = True
    fleet.run(SCENARIO_S)
    for backend in backends:
        backend.hanging = False


def vanish(fleet: Fleet) -> None:
    """Disconnect some backends without a notice; the endpoint list follows 6 s later. They restart cold."""
    backends = most_loaded(fleet, 0.15)
    for backend in backends:
        backend.unreachable = True
    fleet.run(6.0)
    fleet.kill(*backends)
    fleet.run(SCENARIO_S - 6.0)
    fleet.restart_backends(*backends)


def slow(fleet: Fleet) -> None:
    """Make some backends six times slower."""
    backends = most_loaded(fleet, 0.2)
    for backend in backends:
        backend.slowdown = 6.0
    fleet.run(SCENARIO_S)
    for backend in backends:
        backend.slowdown = 1.0


def pauses(fleet: Fleet) -> None:
    """Pause half of the backends for 170 ms every 2 s, which is too short to treat them as failed."""
    backends = most_loaded(fleet, 0.5)
    for step in range(round(SCENARIO_S)):
        for index, backend in enumerate(backends):
            if (step + index) % 2 == 0:
                backend.paused_until = fleet.clock.time + 170.0
        fleet.run(1.0)


def burst(fleet: Fleet) -> None:
    """Add clients, 60 % of the usual number, within 5 s."""
    for _ in range(round(0.6 * fleet.spec.connections)):
        fleet.clock.after(fleet.random.uniform(0.0, 5000.0), fleet.add_client)
    fleet.run(SCENARIO_S)


def drain(fleet: Fleet) -> None:
    """Drain some backends for 6 s, stop them, and restart them cold."""
    backends = most_loaded(fleet, 0.2)
    fleet.drain(*backends)
    fleet.run(6.0)
    fleet.kill(*backends)
    fleet.run(SCENARIO_S - 6.0)
    fleet.restart_backends(*backends)


def calm(fleet: Fleet) -> None:
    """Run without a fault."""
    fleet.run(SCENARIO_S)


SCENARIOS: dict[str, Callable[[Fleet], None]] = {
    "calm": calm,
    "hang": hang,
    "vanish": vanish,
    "slow": slow,
    "pauses": pauses,
    "burst": burst,
    "drain": drain,
}


def run_scenario(spec: FleetSpec, scenario: str, seed: int) -> dict[str, float]:
    """Fill the fleet and run it without a fault, through the scenario, and without a fault again.

    Returns:
        `served`: fraction of the demand that was served after the fleet was filled. `crossed`: fraction of the
        connection time that was spent across zones. `moves`: number of migrations. `probes_a_try`: health checks per
        attempt. `refused`: rejections of the whole run per attempt after the fleet was filled.

    Raises:
        RuleViolation: if a rule was violated.
    """
    fleet = Fleet(spec, seed)
    fleet.fill(4.0)
    fleet.run(4.0)
    demand_before, served_before, attempts_before = fleet.demand, fleet.served, fleet.counts["tries"]
    fleet.run(WARMUP_S)
    SCENARIOS[scenario](fleet)
    fleet.run(RECOVERY_S)
    fleet.rules.check()
    attempts = fleet.counts["tries"] - attempts_before
    return {
        "served": (fleet.served - served_before) / (fleet.demand - demand_before),
        "crossed": fleet.cross_zone_s / max(fleet.established_s, 1.0),
        "moves": float(fleet.counts["moves"]),
        "probes_a_try": fleet.counts["probes"] / max(fleet.counts["tries"], 1),
        "refused": fleet.counts["refused"] / max(attempts, 1),
    }
