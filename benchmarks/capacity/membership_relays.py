"""Relays that run membership only: the production core and driver, with simulated load instead of connections.

`simulate` runs them on the virtual clock, `measure_on_sockets` on real UDP sockets with many relays in each process. A
cell is a membership cluster: its relays exchange datagrams with one another and with no other relay.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from math import ceil
from multiprocessing import get_context
from random import Random
from statistics import fmean
from typing import Any

import uvloop

from benchmarks.signals import datagram_cpu_s, deep_size_kb, record_events, replay_cpu_s
from yarrowspindle.lab.model.membership_simulation import MembershipSimulation
from yarrowspindle.membership import Membership, PeerSettings
from yarrowspindle.membership.events import DatagramReceived, LocalLoad
from yarrowspindle.routing.address import Address
from yarrowspindle.runtime.membership_driver import MembershipDriver
from yarrowspindle.transport.datagrams import UdpListener

HEADER_BYTES = 28  # IP and UDP headers of a datagram
BACKENDS, HELD_BACKENDS = 2000, 80  # backends of the fleet, and those to which one relay holds connections
# Each swap ends a relay's last connection to one backend and opens its first to another: 20 changes a second to send.
SWAP_INTERVAL_S = 0.1
MAX_CELL_RELAYS = 12
START_SPREAD_MS = 2000.0  # relays start at random times within this period
MAX_DETECTION_S = 20.0
LATENESS_INTERVAL_S = 0.025
MAX_LATENESS_MS = 50.0  # 99th percentile of the event loops; beyond it the machine is measured and not the relays
HeldLoad = dict[int, tuple[int, float]]


def swap_backend(held_load: HeldLoad, backends: int, random: Random) -> None:
    """Replace a random backend of the held load by one that is not in it; the number of backends stays the same."""
    held_load.pop(random.choice(list(held_load)), None)
    while (backend := random.randint(1, backends)) in held_load:
        pass
    held_load[backend] = (random.randint(1, 9), float(random.randint(1, 500)))


@dataclass(frozen=True, slots=True)
class SimulationPlan:
    """A simulation of relays that all exchange datagrams with one another.

    `held` is the number of backends to which each relay holds connections, `window_s` the measured period, and
    `peer_settings` the settings of `PeerSettings` that differ from their defaults.
    """

    relays: int
    seed: int
    backends: int = BACKENDS
    held: int = HELD_BACKENDS
    window_s: float = 8.0
    warmup_s: float = 6.0  # plus a second for each 20 relays, until each relay knows the clocks of all others
    peer_settings: tuple[tuple[str, Any], ...] = ()


class VirtualRelays(MembershipSimulation):
    """Relays on the virtual clock whose held load changes without growing."""

    def __init__(self, plan: SimulationPlan) -> None:
        super().__init__(plan.relays, plan.seed, plan.backends, plan.held, **dict(plan.peer_settings))
        self.load_reads: Counter[int] = Counter()
        self.start(0)
        for index in range(1, plan.relays):  # spread: in step, all signals of a second would be sent at once
            self.clock.after(self.random.uniform(0.0, START_SPREAD_MS), self.start, index)

    def start(self, index: int) -> None:
        self.known_loads[index] = {}
        self.network.add(index, lambda: self._local_load(index), lambda loads: self._on_peer_loads(index, loads))

    def _local_load(self, index: int) -> LocalLoad:
        self.load_reads[index] += 1
        return LocalLoad(dict(self.local_loads[index]))

    def change_load(self, index: int) -> None:
        swap_backend(self.local_loads[index], self.backends, self.random)


def per_relay_rates(counts: Counter[str], load_reads: int, relays: int, peers: int, seconds: float) -> dict[str, float]:
    """Return bytes and datagrams per second of one relay, sent and received, headers included.

    Keys that begin with `members` leave load signals out. They are derived from what was sent, taken twice, as each
    datagram that is sent is also received.

    Args:
        counts: Counters of all relays, summed.
        load_reads: Number of signals that the relays built; each goes to all peers.
        relays: Number of relays that the counters cover.
        peers: Number of peers that receive each signal.
        seconds: Length of the measured period.
    """
    sent, received, signals = counts["sent"], counts["came"], load_reads * peers
    total_bytes = counts["sent_bytes"] + counts["came_bytes"] + HEADER_BYTES * (sent + received)
    member_bytes = 2 * (counts["sent_bytes"] - counts["signal_bytes"] + HEADER_BYTES * (sent - signals))
    return {
        key: value / seconds / relays
        for key, value in (
            ("bytes_per_s", total_bytes),
            ("sent_bytes_per_s", counts["sent_bytes"] + HEADER_BYTES * sent),
            ("came_bytes_per_s", counts["came_bytes"] + HEADER_BYTES * received),
            ("datagrams_per_s", sent + received),
            ("members_bytes_per_s", member_bytes),
            ("members_datagrams_per_s", 2 * (sent - signals)),
        )
    }


def simulate(plan: SimulationPlan) -> dict[str, float]:
    """Simulate a fleet on the virtual clock; return the figures of one relay and the time to detect a killed one.

    Up to three relays are killed at once: `known_s` is the mean time until no living relay lists the killed one as a
    member, `known_most_s` the longest, -1 if it exceeds `MAX_DETECTION_S`. Processor time is the least of three replays
    of one core alone, because other processes use the machine too.
    """
    world = VirtualRelays(plan)
    events = record_events(world.network.peers[0].core)

    def run_with_swaps(seconds: float) -> None:
        for _ in range(round(seconds / SWAP_INTERVAL_S)):
            for index in range(plan.relays):
                world.change_load(index)
            world.run(SWAP_INTERVAL_S)

    run_with_swaps(plan.warmup_s + plan.relays / 20.0)
    peers = [peer for _, peer in sorted(world.network.peers.items())]
    for peer in peers:
        peer.core.counts.clear()
    world.load_reads.clear()
    start = peers[0].now()
    run_with_swaps(plan.window_s)
    counts = sum((peer.core.counts for peer in peers), Counter[str]())
    result = per_relay_rates(counts, world.load_reads.total(), plan.relays, plan.relays - 1, plan.window_s)
    peer_loads = list(world.peer_loads.values())
    core_share = min(replay_cpu_s(peers[0].core_arguments, events, start) for _ in range(3)) / plan.window_s
    core = peers[0].core
    unsent_changes = [
        sum(len(c.keys) for c in peer.core.signals.local.pending if not c.transmissions) for peer in peers
    ]
    result |= {
        "core_cpu": core_share,
        "cpu_share": core_share + counts["sent"] / plan.relays / plan.window_s * datagram_cpu_s(),
        "memory_mb": deep_size_kb([core.members.table, core.signals, core.probing.pings]) / 1024.0,
        "age_s": fmean(load.age_ms / 1000.0 for load in peer_loads),
        "heard": fmean(load.reporting_relays for load in peer_loads),
        "untold": fmean(unsent_changes),  # changes that no signal has carried yet
        "beat_s": plan.window_s * plan.relays / max(world.load_reads.total(), 1),
    }
    killed_indices = range(plan.relays - max(1, min(3, plan.relays // MAX_CELL_RELAYS)), plan.relays)
    undetected_names, detection_s, killed_at_s = (
        {peers[index].core.members.local.name for index in killed_indices},
        list[float](),
        world.clock.seconds,
    )
    for index in killed_indices:
        world.kill(index)
    while undetected_names and world.clock.seconds < killed_at_s + MAX_DETECTION_S:
        world.run(SWAP_INTERVAL_S)
        detected_names = {
            name for name in undetected_names if not any(name in p.core.members.names for p in peers if p.alive)
        }
        undetected_names -= detected_names
        detection_s += [world.clock.seconds - killed_at_s] * len(detected_names)
    return result | {
        "known_s": fmean(detection_s) if detection_s else -1.0,
        "known_most_s": -1.0 if undetected_names else max(detection_s),
    }


# --- real sockets ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SocketPlan:
    """A run of relays in cells on real sockets, spread over processes.

    `subnet` is the second byte of the relays' loopback addresses, `start_at_s` the time at which all processes start
    their relays, and `silenced_relay` the index of the relay that stops at the end of the measured period.
    """

    relays: int
    cells: int
    processes: int
    seed: int
    warmup_s: float
    window_s: float
    subnet: int
    port: int
    start_at_s: float  # on the monotonic clock, which all processes share
    peer_settings: tuple[tuple[str, Any], ...] = ()

    def address(self, index: int) -> Address:
        return f"127.{self.subnet}.{index >> 8}.{index & 255}", self.port

    def settings(self, index: int) -> PeerSettings:
        cell = index % self.cells
        seeds = tuple(self.address(seed_index) for seed_index in (cell, cell + self.cells) if seed_index < self.relays)
        return PeerSettings(self.address(index), seeds, f"cell{cell}", **dict(self.peer_settings))

    def peer_count(self, index: int) -> int:
        return len(range(index % self.cells, self.relays, self.cells)) - 1

    @property
    def silenced_relay(self) -> int:
        return self.relays - 1


class SocketRelay:
    """One relay without connections: its own socket, core and driver, wired as in `daemon/membership_endpoint.py`."""

    def __init__(self, plan: SocketPlan, index: int) -> None:
        self.index, self.loop = index, asyncio.get_running_loop()
        self.settings = plan.settings(index)
        self.random = Random(f"sockets {plan.seed} {index}")
        self.held_load: HeldLoad = dict.fromkeys(self.random.sample(range(1, BACKENDS + 1), HELD_BACKENDS), (1, 100.0))
        self.listener = UdpListener(lambda data, source: self.driver.post(DatagramReceived(data, source)))
        self.core = Membership(self.settings, f"r{index}", 1, self.random.randrange(1 << 32), self.now())
        self.driver = MembershipDriver(
            self.core,
            self.now,
            self._after,
            self._send,
            self._local_load,
            lambda loads: None,
            lambda text, bounded: None,
        )
        self.load_reads = 0
        self.detected_at_s = -1.0  # when it dropped the silenced relay from its members; below 0: not yet

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def _after(self, delay_ms: float, callback: Callable[[], None]) -> object:
        return self.loop.call_later(delay_ms / 1000.0, callback)

    def _send(self, to: Address, data: bytes) -> None:
        try:
            self.listener.send(data, to)
        except (OSError, ValueError):
            self.core.counts["unsendable"] += 1

    def _local_load(self) -> LocalLoad:
        self.load_reads += 1
        return LocalLoad(dict(self.held_load))

    async def open(self) -> None:
        await self.loop.create_datagram_endpoint(lambda: self.listener, local_addr=self.settings.listen)

    def close(self) -> None:
        self.driver.close()
        if self.listener.transport is not None:
            self.listener.transport.close()


_detected_count: Any = None  # shared counter: processes in which all relays have detected the silenced one


def _set_detected_count(count: Any) -> None:
    global _detected_count  # noqa: PLW0603  # a pool hands a shared value to its processes by an initializer
    _detected_count = count


async def _sleep_until(at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - time.monotonic()))


async def _swap_held_load(relays: list[SocketRelay]) -> None:
    """Swap backends of all relays, a quarter at a time, so that the process does not work in bursts."""
    while True:
        for part in range(4):
            for relay in relays[part::4]:
                swap_backend(relay.held_load, BACKENDS, relay.random)
            await asyncio.sleep(SWAP_INTERVAL_S / 4)


async def _record_lateness(lateness_ms: list[float]) -> None:
    while True:
        due_s = time.monotonic() + LATENESS_INTERVAL_S
        await asyncio.sleep(LATENESS_INTERVAL_S)
        lateness_ms.append(1000.0 * (time.monotonic() - due_s))


async def _run_part(plan: SocketPlan, part: int) -> dict[str, Any]:
    relays = [SocketRelay(plan, index) for index in range(part, plan.relays, plan.processes)]
    lateness_ms, tasks = list[float](), list[asyncio.Task[None]]()
    try:
        for relay in relays:
            await relay.open()
        await _sleep_until(plan.start_at_s)
        for relay in relays:
            relay.loop.call_later(relay.random.uniform(0.0, START_SPREAD_MS) / 1000.0, relay.driver.start)
        tasks = [asyncio.create_task(_swap_held_load(relays)), asyncio.create_task(_record_lateness(lateness_ms))]
        await _sleep_until(plan.start_at_s + plan.warmup_s)
        lateness_ms.clear()
        for relay in relays:
            relay.core.counts.clear()
            relay.load_reads = 0
        started_s, cpu_s = time.monotonic(), time.process_time()
        await _sleep_until(plan.start_at_s + plan.warmup_s + plan.window_s)
        elapsed_s, cpu_s = time.monotonic() - started_s, time.process_time() - cpu_s
        lateness_ms.sort()
        result: dict[str, Any] = {
            "counts": sum((relay.core.counts for relay in relays), Counter[str]()),
            "took": elapsed_s,
            "cpu": cpu_s,
            "signals": sum(relay.load_reads * plan.peer_count(relay.index) for relay in relays),
            "late_ms": lateness_ms[int(0.99 * len(lateness_ms))],
            "late_most_ms": lateness_ms[-1],
            "heard": [sum(signals.counted for signals in relay.core.signals.peers.values()) for relay in relays],
            "ages": [
                signals.age_ms(relay.now()) / 1000.0
                for relay in relays
                for signals in relay.core.signals.peers.values()
                if signals.counted
            ],
        }
        silenced_at_s = time.monotonic()
        for relay in relays:
            if relay.index == plan.silenced_relay:
                relay.driver.close()
                result["silence"] = silenced_at_s
        name, cell = f"r{plan.silenced_relay}", plan.silenced_relay % plan.cells
        observers = [
            relay for relay in relays if relay.index % plan.cells == cell and relay.index != plan.silenced_relay
        ]
        while (
            any(relay.detected_at_s < 0.0 for relay in observers) and time.monotonic() < silenced_at_s + MAX_DETECTION_S
        ):
            await asyncio.sleep(0.05)
            for relay in observers:
                if relay.detected_at_s < 0.0 and name not in relay.core.members.names:
                    relay.detected_at_s = time.monotonic()
        if _detected_count is not None:  # relays of other processes need answers until they have detected it too
            with _detected_count.get_lock():
                _detected_count.value += 1
            while _detected_count.value < plan.processes and time.monotonic() < silenced_at_s + MAX_DETECTION_S:
                await asyncio.sleep(0.05)
        return result | {"knew": [relay.detected_at_s for relay in observers]}
    finally:
        for task in tasks:
            task.cancel()
        for relay in relays:
            relay.close()


def run_part(task: tuple[SocketPlan, int]) -> dict[str, Any]:
    """Run one process of `measure_on_sockets`."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run_part(*task))


def measure_on_sockets(
    relays: int,
    cells: int,
    processes: int,
    seed: int,
    warmup_s: float,
    window_s: float,
    peer_settings: tuple[tuple[str, Any], ...] = (),
) -> dict[str, Any]:
    """Run relays on real sockets; return the figures of one relay and those of the machine.

    `machine_bound` says that the event loops were too late for the figures to describe the relays.

    Raises:
        OSError: An address is in use.
    """
    process_id, context = os.getpid(), get_context("spawn")
    plan = SocketPlan(
        relays,
        cells,
        processes,
        seed,
        warmup_s,
        window_s,
        16 + process_id % 200,
        20_000 + process_id % 10_000,
        time.monotonic() + 1.2 + relays / 200.0,
        peer_settings,
    )
    with ProcessPoolExecutor(processes, context, _set_detected_count, (context.Value("i", 0),)) as pool:
        parts = list(pool.map(run_part, [(plan, part) for part in range(processes)]))
    counts = sum((part["counts"] for part in parts), Counter[str]())
    elapsed_s, cpu_s = fmean(part["took"] for part in parts), sum(part["cpu"] for part in parts)
    detected_s = [detected_at_s for part in parts for detected_at_s in part["knew"]]
    silenced_at_s = next(part["silence"] for part in parts if "silence" in part)
    ages = [age for part in parts for age in part["ages"]]
    lateness_ms = max(part["late_ms"] for part in parts)
    result: dict[str, Any] = {"relays": relays, "cells": cells, "processes": processes}
    result |= per_relay_rates(counts, sum(part["signals"] for part in parts), relays, 1, elapsed_s)
    return result | {
        "cpu_share": cpu_s / elapsed_s / relays,
        "age_s": fmean(ages) if ages else -1.0,
        "heard": fmean(heard for part in parts for heard in part["heard"]),
        "known_s": max(detected_s) - silenced_at_s if detected_s and min(detected_s) > 0.0 else -1.0,
        "busiest": max(part["cpu"] / part["took"] for part in parts),
        "late_ms": lateness_ms,
        "late_most_ms": max(part["late_most_ms"] for part in parts),
        "load": os.getloadavg()[0],
        "suspicions": counts["suspicions"],
        "lost": counts["sent"] - counts["came"],
        "strangers": counts["dropped_another_cluster"],
        "machine_bound": lateness_ms > MAX_LATENESS_MS,
    }


def cell_sizes(relays: int) -> list[int]:
    """Return the sizes of the cells: as few cells as possible, whose sizes differ by one relay at most."""
    cells = ceil(relays / MAX_CELL_RELAYS)
    return [len(range(cell, relays, cells)) for cell in range(cells)]
