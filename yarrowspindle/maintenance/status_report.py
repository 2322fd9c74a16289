"""Status of maintenance for operators: requests, backends out of service, and what each backend waits for.

Read-only and without I/O. JSON keys and texts are published.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from yarrowspindle.maintenance.coordinator import MaintenanceCoordinator
from yarrowspindle.maintenance.requests import QUEUED, RequestStatus
from yarrowspindle.maintenance.state import EMPTYING, FREE, WARMING

MAJORITY_TIMEOUT_MS = 25_000.0  # without contact to a majority, before the status reports it as missing


def waiting_reasons(coordinator: MaintenanceCoordinator, backend: str, members: Collection[str]) -> list[str]:
    """Return what a backend that is out of service waits for, one text for each cause.

    Args:
        coordinator: coordinator of this relay.
        backend: name of the backend.
        members: names of the reachable relays.
    """
    stage = coordinator.adopted.evacuations[backend].stage
    if stage == FREE:
        return ["the operator's done"]
    if stage == WARMING:
        return [_warming_reason(coordinator, backend)]
    return [
        _unconfirmed_reason(coordinator, name, backend, members)
        for name in coordinator.adopted.unconfirmed_relays(backend)
    ]


def _warming_reason(coordinator: MaintenanceCoordinator, backend: str) -> str:
    observed = coordinator.fleet.backends.get(backend)
    if observed is None:
        return "to be in the machine list"
    return "the next beat" if observed.ready else "to be ready and warm"


def _unconfirmed_reason(coordinator: MaintenanceCoordinator, relay: str, backend: str, members: Collection[str]) -> str:
    if relay == coordinator.name:
        used = backend in coordinator.fleet.used_backends
        return f"{relay}: holds connections there" if used else f"{relay}: next beat"
    if relay in members:
        return f"{relay}: has not confirmed yet"
    return f"{relay}: cannot be reached; if it has ended for good, say: turns ended {relay}"


def report(
    coordinator: MaintenanceCoordinator, now: float, adopted_at: Mapping[int, float], members: Collection[str]
) -> dict[str, Any]:
    """Return the status as a JSON object.

    Args:
        coordinator: coordinator of this relay.
        now: current time in milliseconds.
        adopted_at: time in milliseconds when this relay adopted each evacuation, by number.
        members: names of the reachable relays.
    """
    state = coordinator.adopted
    since_majority_ms = now - coordinator.majority_known_at
    majority_known = coordinator.majority_known_at > 0.0
    return {
        "relay": coordinator.name,
        "registered": coordinator.registered,
        "life": coordinator.incarnation,
        "version": state.version,
        "epoch": state.epoch,
        "turn": state.last_evacuation_number,
        "paused": state.pause_reason,
        "by_hand": state.paused_by_operator,
        "majority": majority_known and since_majority_ms < MAJORITY_TIMEOUT_MS,
        "heard_s": round(since_majority_ms / 1000.0, 1) if majority_known else None,
        "why": coordinator.failure_reason,
        "voters": sorted(state.voters),
        "votes": coordinator.identity != "" and state.voters.get(coordinator.name) == coordinator.identity,
        "relays": sorted(state.relays),
        "unreached": sorted(name for name in state.relays if name not in members),
        "orders": [command.label for command in coordinator.commands],
        "out": [_evacuation_entry(coordinator, backend, now, adopted_at, members) for backend in state.evacuations],
        "requests": _request_entries(coordinator),
    }


def _evacuation_entry(
    coordinator: MaintenanceCoordinator,
    backend: str,
    now: float,
    adopted_at: Mapping[int, float],
    members: Collection[str],
) -> dict[str, Any]:
    evacuation = coordinator.adopted.evacuations[backend]
    return {
        "machine": backend,
        "turn": evacuation.number,
        "request": evacuation.request_id,
        "stage": evacuation.stage,
        "since_s": round((now - adopted_at.get(evacuation.number, now)) / 1000.0, 1),
        "confirmed": sorted(name for name, _ in evacuation.confirmed_by),
        "waits_for": waiting_reasons(coordinator, backend, members),
    }


def _request_entries(coordinator: MaintenanceCoordinator) -> list[dict[str, Any]]:
    entries = []
    for request_id, status in coordinator.adopted.requests.items():
        entry: dict[str, Any] = {
            "request": request_id,
            "name": status.request.name,
            "state": status.state,
            "why": status.reason,
            "machines": list(status.request.backends),
        }
        if status.state == QUEUED:
            entry["waiting"] = _waiting_entries(coordinator, status)
        entries.append(entry)
    return entries


def _waiting_entries(coordinator: MaintenanceCoordinator, status: RequestStatus) -> list[dict[str, str]]:
    state = coordinator.adopted
    backends = coordinator.fleet.backends
    ready_capacity = state.ready_capacity(backends)
    return [
        {
            "machine": backend,
            "why": state.blocking_reason(status, backend, backends, ready_capacity) or "its turn",
        }
        for backend in status.waiting
    ]


def gauges(coordinator: MaintenanceCoordinator, now: float) -> dict[str, float]:
    """Return the gauges by published name; `now` is the current time in milliseconds."""
    state = coordinator.adopted
    stages = [evacuation.stage for evacuation in state.evacuations.values()]
    waiting = sum(len(status.waiting) for status in state.requests.values() if status.state == QUEUED)
    heard_at = coordinator.majority_known_at
    return {
        "emptying": float(stages.count(EMPTYING)),
        "free": float(stages.count(FREE)),
        "warming": float(stages.count(WARMING)),
        "waiting": float(waiting),
        "turn": float(state.last_evacuation_number),
        "registered": float(coordinator.registered),
        "paused": float(bool(state.pause_reason)),
        "majority_ms": now - heard_at if heard_at else -1.0,
    }


def format_table(status: Mapping[str, Any]) -> str:
    """Return the result of `report` as a text table for a terminal."""
    lines = [*_header_lines(status), "", f"{'machine':20} {'turn':>5} {'stage':9} {'since':>8}  waits for"]
    for entry in status["out"]:
        lines.append(
            f"{entry['machine']:20} {entry['turn']:>5} {entry['stage']:9} {entry['since_s']:>6.1f} s  "
            f"{'; '.join(entry['waits_for'])}"
        )
    if not status["out"]:
        lines.append("(no machine is out of service)")
    for request in status["requests"]:
        reason = f": {request['why']}" if request["why"] else ""
        lines += ["", f"request {request['request']} {request['name']} is {request['state']}{reason}"]
        lines += [f"  {entry['machine']:18} {entry['why']}" for entry in request.get("waiting", ())]
    return "\n".join(lines)


def _header_lines(status: Mapping[str, Any]) -> list[str]:
    summary = f"relay {status['relay']}, state {status['version']}, last turn {status['turn']}"
    if not status["registered"]:
        summary += "; NOT REGISTERED: nothing is placed here"
    lines = [summary]
    if not status["majority"]:
        reason = status["why"] or "starting"
        lines.append(f"NO MAJORITY of {', '.join(status['voters'])} reached: no evacuation starts ({reason})")
    if status["paused"]:
        lines.append(f"PAUSED{' by an operator' if status['by_hand'] else ''}: {status['paused']}")
    if status["unreached"]:
        lines.append(f"relays not reached: {', '.join(status['unreached'])}")
    return lines
