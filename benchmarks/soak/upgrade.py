"""Upgrades: a second process of a relay starts while the first one serves, and the first one gets SIGTERM soon after.

The two processes are one relay to the operators' rules: what discovery has told one of them binds the other.
"""

from __future__ import annotations

import asyncio
import re
from random import Random
from typing import TYPE_CHECKING

from benchmarks.soak import relay_shutdown
from benchmarks.soak.oracle import Oracle
from benchmarks.soak.relays import Relay

if TYPE_CHECKING:
    from benchmarks.soak.seed_run import SeedRun

MAX_UPGRADED = 3  # relays at one time
SIGTERM_DELAY_S = (0.1, 0.3)  # after the start of the second process
DRAIN_DELAY_S = (0.2, 1.6)  # from SIGTERM to a drain
DRAIN_S = 4.0
DRAINED_SHARE = 0.3  # of the backends
KNOWN_AFTER_S = 2.0  # from a process's readiness until it must know what the other one was told before
WATCH_FAULTS = ("sound", "silent", "hang", "refuse", "reset")  # of the process that ends, from SIGTERM on
PUSHED_WATCH_FAULTS = ("sound", "reset")  # an agent answers each call
RECEIVED = re.compile(r"request=([0-9a-f]{16}) number=\d+ received ")  # a line of a relay's log


async def upgrade_relays(run: SeedRun, random: Random) -> None:
    """Replace the processes of up to MAX_UPGRADED relays, and let backends drain meanwhile."""
    serving = [relay for relay in run.relays if relay.serving and not relay.shutting_down and not relay.upgrading]
    relays = random.sample(serving, min(len(serving), random.randint(1, MAX_UPGRADED)))
    seeds = [random.getrandbits(30) for _ in relays]
    await asyncio.gather(
        _drain_backends(run, random),
        *(_replace_process(run, relay, Random(seed)) for relay, seed in zip(relays, seeds, strict=True)),
    )


async def _replace_process(run: SeedRun, relay: Relay, random: Random) -> None:
    oracle = run.context.oracle
    relay.upgrading = True
    successor = relay.create_successor()
    starting = asyncio.ensure_future(successor.start(beside=True))
    await asyncio.sleep(random.uniform(*SIGTERM_DELAY_S))
    if relay.shutting_down or not relay.alive:  # another fault has ended it
        await successor.kill()
        await starting
        return
    run.retired.append(relay)
    run.relays[run.relays.index(relay)] = successor
    successor.serving = True
    run.context.start_task(run.watch_cpu_wait(relay))
    oracle.overlaps.append((relay.instance, successor.instance))
    oracle.siblings.setdefault(relay.instance, []).append((successor.instance, 0.0))
    _disturb_watch(run, relay.instance, random)
    await relay_shutdown.shut_down(relay)
    await starting
    oracle.siblings.setdefault(successor.instance, []).append(
        (relay.instance, (successor.ready_at or run.context.now()) + KNOWN_AFTER_S)
    )
    successor.upgrading = False


def _disturb_watch(run: SeedRun, instance: str, random: Random) -> None:
    """Draw what happens to the watch and the calls of the process that ends."""
    discovery = run.discovery
    fault = random.choice(PUSHED_WATCH_FAULTS if discovery.pushed else WATCH_FAULTS)
    if fault == "silent":
        discovery.silence_watches(instance)
        discovery.process_faults[instance] = "hang"
    elif fault != "sound":
        discovery.break_watches(instance)
        discovery.process_faults[instance] = "" if fault == "reset" else fault


async def _drain_backends(run: SeedRun, random: Random) -> None:
    await asyncio.sleep(random.uniform(*SIGTERM_DELAY_S) + random.uniform(*DRAIN_DELAY_S))
    ready = [backend for backend in run.backends if backend.phase == "ready"]
    backends = random.sample(ready, max(1, int(DRAINED_SHARE * len(ready)))) if len(ready) > 1 else []
    for backend in backends:
        run.discovery.publish(backend, "draining")
    await asyncio.sleep(DRAIN_S)
    for backend in backends:
        if backend.phase == "draining":
            run.discovery.publish(backend, "ready")


def attribute_requests(run: SeedRun) -> None:
    """Find in the logs which process received each request of relays of which two processes overlapped."""
    oracle: Oracle = run.context.oracle
    for instance in {instance for pair in oracle.overlaps for instance in pair}:
        log = run.context.folder / f"{instance}.log"
        for name in RECEIVED.findall(log.read_text("utf-8", "replace")):
            if name in oracle.requests:
                oracle.requests[name].relay = instance
