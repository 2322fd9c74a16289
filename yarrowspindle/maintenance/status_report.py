"""What operators are shown of turns: the queue, who is out, what each waits for. Pure; it decides nothing."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from yarrowspindle.maintenance.coordinator import MaintenanceCoordinator
from yarrowspindle.maintenance.requests import QUEUED
from yarrowspindle.maintenance.state import EMPTYING, FREE, WARMING

MAJORITY_MS = 25_000.0  # a majority that was not heard for so long is said to be missing


def waits_for(core: MaintenanceCoordinator, machine: str, there: Collection[str]) -> list[str]:
    """What a machine that is out waits for, one text for each cause."""
    out, seen = core.taken.evacuations[machine], core.fleet.seen.get(machine)
    if out.stage == FREE:
        return ["the operator's done"]
    if out.stage == WARMING:
        cause = "to be in the machine list" if seen is None else "to be ready and warm" if not seen.ready else ""
        return [cause or "the next beat"]
    found = []
    for name in core.taken.unconfirmed_relays(machine):
        if name == core.name:
            found.append(f"{name}: holds connections there" if machine in core.fleet.holds else f"{name}: next beat")
        elif name in there:
            found.append(f"{name}: has not confirmed yet")
        else:
            found.append(f"{name}: cannot be reached; if it has ended for good, say: turns ended {name}")
    return found


def show(
    core: MaintenanceCoordinator, now: float, since: Mapping[int, float], there: Collection[str]
) -> dict[str, Any]:
    """since: when this relay took up each turn, by number, in the same milliseconds."""
    state = core.taken
    silent = now - core.heard_at
    heard = core.heard_at > 0.0 and silent < MAJORITY_MS
    capacity = state.ready_capacity(core.fleet.seen)
    queue = []
    for number, request in state.requests.items():
        entry: dict[str, Any] = {
            "request": number,
            "name": request.request.name,
            "state": request.state,
            "why": request.reason,
            "machines": list(request.request.backends),
        }
        if request.state == QUEUED:
            whys = {m: state.blocking_reason(request, m, core.fleet.seen, capacity) for m in request.waiting}
            entry["waiting"] = [{"machine": m, "why": why or "its turn"} for m, why in whys.items()]
        queue.append(entry)
    missing = sorted(name for name in state.relays if name not in there)
    return {
        "relay": core.name,
        "registered": core.registered,
        "life": core.incarnation,
        "version": state.version,
        "epoch": state.epoch,
        "turn": state.last_evacuation_number,
        "paused": state.pause_reason,
        "by_hand": state.paused_by_operator,
        "majority": heard,
        "heard_s": round(silent / 1000.0, 1) if core.heard_at else None,
        "why": core.why,
        "voters": sorted(state.voters),
        "votes": core.identity != "" and state.voters.get(core.name) == core.identity,
        "relays": sorted(state.relays),
        "unreached": missing,
        "orders": [f"{order.kind} {getattr(order.what, 'id', order.what)}" for order in core.orders],
        "out": [
            {
                "machine": m,
                "turn": o.number,
                "request": o.request_id,
                "stage": o.stage,
                "since_s": round((now - since.get(o.number, now)) / 1000.0, 1),
                "confirmed": sorted(name for name, _ in o.confirmed_by),
                "waits_for": waits_for(core, m, there),
            }
            for m, o in state.evacuations.items()
        ],
        "requests": queue,
    }


def gauges(core: MaintenanceCoordinator, now: float) -> dict[str, float]:
    stages = [out.stage for out in core.taken.evacuations.values()]
    queued = [r for r in core.taken.requests.values() if r.state == QUEUED]
    return {
        "emptying": float(stages.count(EMPTYING)),
        "free": float(stages.count(FREE)),
        "warming": float(stages.count(WARMING)),
        "waiting": float(sum(len(r.waiting) for r in queued)),
        "turn": float(core.taken.last_evacuation_number),
        "registered": float(core.registered),
        "paused": float(bool(core.taken.pause_reason)),
        "majority_ms": now - core.heard_at if core.heard_at else -1.0,
    }


def table(shown: Mapping[str, Any]) -> str:
    """The same for people."""
    head = f"relay {shown['relay']}, state {shown['version']}, last turn {shown['turn']}"
    if not shown["registered"]:
        head += "; NOT REGISTERED: nothing is placed here"
    lines = [head]
    if not shown["majority"]:
        why = shown["why"] or "starting"
        lines.append(f"NO MAJORITY of {', '.join(shown['voters'])} heard: nothing new starts ({why})")
    if shown["paused"]:
        lines.append(f"PAUSED{' by hand' if shown['by_hand'] else ''}: {shown['paused']}")
    if shown["unreached"]:
        lines.append(f"not reached: {', '.join(shown['unreached'])}")
    lines.append("")
    lines.append(f"{'machine':20} {'turn':>5} {'stage':9} {'since':>8}  waits for")
    for out in shown["out"]:
        lines.append(
            f"{out['machine']:20} {out['turn']:>5} {out['stage']:9} {out['since_s']:>6.1f} s  "
            f"{'; '.join(out['waits_for'])}"
        )
    if not shown["out"]:
        lines.append("(nothing is out)")
    for request in shown["requests"]:
        why = f": {request['why']}" if request["why"] else ""
        lines += ["", f"request {request['request']} {request['name']} is {request['state']}{why}"]
        lines += [f"  {entry['machine']:18} {entry['why']}" for entry in request.get("waiting", ())]
    return "\n".join(lines)
