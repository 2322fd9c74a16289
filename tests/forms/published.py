"""Names that operators' tools read: metrics, the operators' API, what the commands show, and their options."""

from __future__ import annotations

import asyncio
from typing import Any

import click

from tests.forms.samples import CONTROL_STATE, SETTINGS, TURN_STATE, sequence_events
from yarrowspindle.commands.configuration import control
from yarrowspindle.commands.maintenance import turns
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.messages import LaggingRelay, RelaySummary
from yarrowspindle.configuration.settings import ControllerAddress
from yarrowspindle.daemon.metrics import Metrics
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.maintenance import status_report
from yarrowspindle.maintenance.coordinator import MaintenanceCoordinator
from yarrowspindle.maintenance.events import FleetObserved
from yarrowspindle.maintenance.state import BackendObservation
from yarrowspindle.routing import effects
from yarrowspindle.routing.events import RequestReceived
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.routing.state import Phase, Request
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.runtime.health_checker import HealthChecker
from yarrowspindle.telemetry import Telemetry
from yarrowspindle.telemetry.guard import Rule
from yarrowspindle.telemetry.published_names import reason_name


def sample_effects() -> list[effects.Effect]:
    """One of each, with each reason."""
    address = ("10.1.0.18", 3000)
    found: list[effects.Effect] = [
        effects.OpenBackendConnection(1, 0, "s-1", address, 500.0),
        effects.ForwardRequest(1, 0, 480.0),
        effects.StartRelaying(1),
        effects.CloseClientConnection(1, TerminationReason.COMPLETED),
        effects.SetTimer(5.0, "pulse"),
        effects.CancelTimer("pulse"),
        effects.WatchEndpoints(41, address),
        effects.CheckHealth("s-1", address, 500.0),
        effects.CancelHealthCheck("s-1"),
        effects.BackendRemoved("s-1"),
        effects.LogMessage("text"),
    ]
    for refusal in (*RejectionReason, None):
        found += [
            effects.RejectRequest(1, 0.0, refusal),
            effects.FailRequest(1, refusal),
            effects.AbortAttempt(1, 0, refusal),
        ]
    for ending in TerminationReason:
        found += [effects.AbortAttempt(1, 0, ending), effects.MigrateConnection(1, ending)]
    return found


def probe_counters() -> list[str]:
    async def ended() -> list[str]:
        prober = HealthChecker(SETTINGS.load_report_fields, 1.0, lambda event: None, lambda text: None)
        for ending in TerminationReason:
            prober._complete("s-1", ending, 0.0)
        return sorted(prober.counts)

    return asyncio.run(ended())


def metrics() -> dict[str, list[str]]:
    reducer = Reducer(SETTINGS, 7, 0.0)
    for number, phase in enumerate(Phase):
        reducer.context.requests[number] = Request(RequestReceived(number, 1000.0), 0.0)
        reducer.context.requests[number].phase = phase
    counted = Metrics(reducer)
    for event in sequence_events():
        counted.on_event(event)
    for effect in sample_effects():
        counted.on_effect(effect)
    return {
        "counters": sorted(counted.counters()),
        "gauges": sorted(counted.gauges()),
        "invariants": sorted(rule.value for rule in Rule),
        "reasons of refusals": sorted(refusal.value for refusal in RejectionReason),
        "reasons of endings": [reason_name(ending) for ending in TerminationReason],
        "probes": probe_counters(),
    }


def telemetry() -> list[str]:
    """The operators' figures, as `GET /api/telemetry` gives them."""
    reducer = Reducer(SETTINGS, 7, 0.0)
    counted = Telemetry(reducer, lambda number: f"class{number}")
    for event in sequence_events():
        counted.on_event(event)
    for effect in sample_effects():
        counted.on_effect(effect)
    counted.on_configuration_reloaded(True)
    counted.on_configuration_reloaded(False)
    return counted.text().splitlines()


def shown_turns() -> dict[str, Any]:
    """What `turns show --json` gives, and the gauges."""
    core = MaintenanceCoordinator("n1", "k1", TURN_STATE, "aa", TURN_STATE, 7, 0.0)
    fleet = {
        "s-1": BackendObservation(1, 1.0, True, 3),
        "s-2": BackendObservation(0, 1.5, True, 4),
        "s-3": BackendObservation(0, 1.0, False),
    }
    core.step(1.0, FleetObserved(frozenset({"s-3"}), fleet, ("n1", "n2")))
    return {"shown": status_report.report(core, 50.0, {7: 10.0}, {"n1"}), "gauges": status_report.gauges(core, 50.0)}


def shown_control() -> dict[str, Any]:
    """What `control show --json` gives of a controller's core."""
    machines = tuple(
        ControllerAddress(name, ("127.0.0.1", 7000 + number)) for number, name in enumerate(("c1", "c2", "c3"))
    )
    core = Controller(machines[0], machines, CONTROL_STATE, "aa", CONTROL_STATE, 17, lambda entries: "", 7, 0.0)
    return core.status(RelaySummary(2, 12, [(1, 2), (2, 10)], [LaggingRelay("n7", 1, 2500, "refused")], 3)).to_json()


def options(command: click.Command) -> dict[str, Any]:
    """The names and options of a command and of those below it, and what `--help` says of each."""
    found: dict[str, Any] = {
        "name": command.name,
        "parameters": [
            {"names": [*parameter.opts, *parameter.secondary_opts], "help": getattr(parameter, "help", None)}
            for parameter in command.params
        ],
    }
    if isinstance(command, click.Group):
        found["commands"] = {name: options(below) for name, below in sorted(command.commands.items())}
    return found


def commands() -> dict[str, Any]:
    return {"turns": options(turns), "control": options(control)}
