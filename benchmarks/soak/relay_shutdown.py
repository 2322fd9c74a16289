"""Shutdown of a relay under the worst conditions that the operators' page permits.

Signals arrive in quick succession, the process is suspended, and SIGKILL follows at the earliest permitted time.
"""

from __future__ import annotations

import asyncio
import signal
from math import inf
from random import Random

from benchmarks.soak.oracle import MAX_HOLD_S, Crash, Request, Rule
from benchmarks.soak.relays import Relay

MAX_DEADLINE_S, KILL_MARGIN_S = 3.0, 0.7  # SIGKILL follows SIGTERM after the longest deadline plus this margin
HOLD_WINDOW_S = 1.0  # before the kill: window in which the process is suspended
FINAL_ANSWERS_S = (0.25, 0.42)  # before the kill: when a relay gives final answers and closes idle connections
TOTAL_HOLD_S = 0.14  # total of all suspensions; a relay must tolerate this much
POLL_S = 0.005
NEGLIGIBLE_HOLD_S = 0.01  # a relay that was delayed by less must have ended before the kill
STOPPED_LOG_MARK = b" stopped: "  # logged by a relay that has finished serving


async def shut_down(relay: Relay) -> None:
    """Send SIGTERM, kill the relay at the earliest permitted time, and judge the requests that it had open then."""
    random = Random(f"end {relay.context.plan.seed} {relay.instance}")
    relay.shutting_down = True
    relay.send_signal(signal.SIGTERM)
    relay.sigterm_at = relay.context.now()
    kill_at = relay.sigterm_at + min(relay.max_deadline_s, MAX_DEADLINE_S) + KILL_MARGIN_S
    disturbances = [asyncio.ensure_future(_send_more_signals(relay, random))]
    if random.random() < 0.5:
        disturbances.append(asyncio.ensure_future(_hold_repeatedly(relay, kill_at, random)))
    while relay.alive and relay.context.now() < kill_at:
        await asyncio.sleep(POLL_S)
    if relay.alive:
        await _kill_and_judge(relay)
    await asyncio.gather(*disturbances)
    relay.record_exit()


async def _send_more_signals(relay: Relay, random: Random) -> None:
    """Send up to four further signals, SIGTERM or SIGHUP."""
    for _ in range(random.choice((0, 0, 1, 2, 4))):
        await asyncio.sleep(random.choice((0.0, random.uniform(0.0, 0.4))))
        relay.send_signal(random.choice((signal.SIGTERM, signal.SIGHUP)))


async def _hold_repeatedly(relay: Relay, kill_at: float, random: Random) -> None:
    """Suspend the relay one to three times before the kill."""
    holds = random.randint(1, 3)
    spans = [random.choice(((TOTAL_HOLD_S, HOLD_WINDOW_S), FINAL_ANSWERS_S)) for _ in range(holds)]
    for at in sorted(kill_at - random.uniform(*span) for span in spans):
        await asyncio.sleep(max(0.0, at - relay.context.now()))
        if relay.alive:
            await relay.suspend(TOTAL_HOLD_S / holds)


async def _kill_and_judge(relay: Relay) -> None:
    """Kill the relay; requests without answer or MOVE are lost, unless it was delayed for longer than MAX_HOLD_S."""
    oracle, sigterm_at, now = relay.context.oracle, relay.sigterm_at, relay.context.now()
    connections = relay.open_requests.copy()
    # Either process of an upgrade may hold a connection to their address; those that the kill ends were this one's.
    shared = relay.replaced_by.open_requests.copy() if relay.replaced_by is not None else {}
    for connection in shared.values():
        connection.read()
    open_before = [request for request in shared if is_unfinished(request) and request.ended_at == inf]
    for connection in connections.values():
        connection.read()
    unfinished = [
        request
        for request in connections
        if is_unfinished(request) and request.ended_at == inf and not request.raced_close
    ]
    held_s = oracle.held_s(relay.instance, sigterm_at, now) + relay.suspended_s()
    serving = STOPPED_LOG_MARK not in relay.log_path().read_bytes()
    await relay.kill_at_once()
    for connection in connections.values():
        connection.read()  # data that the relay wrote before the kill
    for connection in shared.values():
        connection.read()
    unfinished += [request for request in open_before if request.ended_at < inf and not request.raced_close]
    if held_s > MAX_HOLD_S:
        return
    elapsed = f"{now - sigterm_at:.3f} s after SIGTERM"
    for request in unfinished:
        attempts = oracle.attempts.get(request.name, [])
        if is_unfinished(request) and all(attempt.backend_closed_at > now for attempt in attempts):
            oracle.add_violation(Rule.LOST, request.name, f"still open at SIGKILL, {elapsed}")
    if serving and held_s < NEGLIGIBLE_HOLD_S:
        oracle.crashes.append(Crash(f"{relay.instance} was still serving at SIGKILL, {elapsed}"))


def is_unfinished(request: Request) -> bool:
    """Return whether the client waits for its answer, or its connection is established and not ended."""
    if request.sent_at == inf or request.left_at < inf:
        return False
    return not request.answers or (request.answers[0][1] == "UP" and not request.moved)
