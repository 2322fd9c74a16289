"""Log lines that describe the difference between two states."""

from __future__ import annotations

from yarrowspindle.maintenance.state import EMPTYING, MaintenanceState


def describe_changes(old: MaintenanceState, new: MaintenanceState) -> list[str]:
    """Return a line for each evacuation, pause and request that differs between the states."""
    return [
        *_ended_evacuation_lines(old, new),
        *_evacuation_stage_lines(old, new),
        *_pause_lines(old, new),
        *_request_state_lines(old, new),
    ]


def _ended_evacuation_lines(old: MaintenanceState, new: MaintenanceState) -> list[str]:
    lines = []
    for backend, evacuation in old.evacuations.items():
        current = new.evacuations.get(backend)
        if current is not None and current.number == evacuation.number:
            continue
        if evacuation.stage == EMPTYING:
            outcome = f"was given back unemptied: {new.pause_reason or 'cancelled'}"
        else:
            outcome = "is back"
        lines.append(f"turn {evacuation.number}: {backend} {outcome}")
    return lines


def _evacuation_stage_lines(old: MaintenanceState, new: MaintenanceState) -> list[str]:
    lines = []
    for backend, evacuation in new.evacuations.items():
        previous = old.evacuations.get(backend)
        if previous is None or previous.number != evacuation.number or previous.stage != evacuation.stage:
            lines.append(
                f"turn {evacuation.number}: {backend} is {evacuation.stage}, by request {evacuation.request_id}"
            )
    return lines


def _pause_lines(old: MaintenanceState, new: MaintenanceState) -> list[str]:
    if new.pause_reason == old.pause_reason:
        return []
    return [f"maintenance is paused: {new.pause_reason}" if new.pause_reason else "maintenance resumes"]


def _request_state_lines(old: MaintenanceState, new: MaintenanceState) -> list[str]:
    lines = []
    for request_id, status in new.requests.items():
        previous = old.requests.get(request_id)
        if previous is not None and previous.state == status.state:
            continue
        reason = f": {status.reason}" if status.reason else ""
        lines.append(f"request {request_id} for {len(status.request.backends)} machines is {status.state}{reason}")
    return lines
