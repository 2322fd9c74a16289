"""Hollow relays: the control code as it is (peers' core and pump), with connections that are only numbers.

On the virtual clock (`play`), and on real UDP sockets with many relays to a process (`on_sockets`). Cells are peers'
clusters: relays of one hear one another and nobody else.
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

from benchmarks.signals import datagram_s, deep_kb, played_again, recorded
from yarrowspindle.lab.model.membership_simulation import MembershipSimulation
from yarrowspindle.membership import Membership, PeerSettings
from yarrowspindle.membership.events import DatagramReceived, LocalLoad
from yarrowspindle.routing.address import Address
from yarrowspindle.runtime.membership_driver import MembershipDriver
from yarrowspindle.transport.datagrams import UdpListener

HEADER = 28  # bytes of IP and UDP round each datagram
BACKENDS, HELD = 2000, 80  # nodes of the fleet, and those at which one relay holds something
SWAP_S = 0.1  # at one node a relay's last connection ends and at another its first comes: 20 changes told a second
CELL = 12  # relays
START_MS = 2000.0  # over which the relays start
MAX_KNOWN_S = 20.0
LOOK_S = 0.025
MAX_LATE_MS = 50.0  # of the event loop, in 99 of 100 looks: beyond that the machine is measured, not the relays
Holds = dict[int, tuple[int, float]]


def swap(holds: Holds, backends: int, random: Random) -> None:
    """As many are held as before."""
    holds.pop(random.choice(list(holds)), None)
    while (backend := random.randint(1, backends)) in holds:
        pass
    holds[backend] = (random.randint(1, 9), float(random.randint(1, 500)))


@dataclass(frozen=True, slots=True)
class Day:
    """So many relays that all hear one another. changes: of the peers' settings. window_s: what is measured."""

    relays: int
    seed: int
    backends: int = BACKENDS
    held: int = HELD
    window_s: float = 8.0
    warm_s: float = 6.0  # and a second for each 20 relays, until all clocks are known
    changes: tuple[tuple[str, Any], ...] = ()


class HollowRelays(MembershipSimulation):
    """Relays on the virtual clock whose holdings change without growing."""

    def __init__(self, day: Day) -> None:
        super().__init__(day.relays, day.seed, day.backends, day.held, **dict(day.changes))
        self.looks: Counter[int] = Counter()
        self.start(0)
        for index in range(1, day.relays):  # not all in step: else all words of a second fall into one instant
            self.clock.after(self.random.uniform(0.0, START_MS), self.start, index)

    def start(self, index: int) -> None:
        self.known_loads[index] = {}
        self.network.add(index, lambda: self._own(index), lambda others: self._on_peer_loads(index, others))

    def _own(self, index: int) -> LocalLoad:
        self.looks[index] += 1
        return LocalLoad(dict(self.local_loads[index]))

    def change_load(self, index: int) -> None:
        swap(self.local_loads[index], self.backends, self.random)


def per_relay(counts: Counter[str], looks: int, relays: int, others: int, seconds: float) -> dict[str, float]:
    """Bytes and datagrams a second of one relay, both ways and with headers; `members`: without signals, sent and (as
    all that is sent comes in) taken."""
    sent, came, signals = counts["sent"], counts["came"], looks * others
    whole = counts["sent_bytes"] + counts["came_bytes"] + HEADER * (sent + came)
    members = 2 * (counts["sent_bytes"] - counts["signal_bytes"] + HEADER * (sent - signals))
    return {
        key: value / seconds / relays
        for key, value in (
            ("bytes_per_s", whole),
            ("sent_bytes_per_s", counts["sent_bytes"] + HEADER * sent),
            ("came_bytes_per_s", counts["came_bytes"] + HEADER * came),
            ("datagrams_per_s", sent + came),
            ("members_bytes_per_s", members),
            ("members_datagrams_per_s", 2 * (sent - signals)),
        )
    }


def play(day: Day) -> dict[str, float]:
    """Figures of one relay on the virtual clock, and after how long all know of a killed one: the mean of up to three
    killed at once. Of three plays of the core alone the least time counts, as others use the machine too."""
    world = HollowRelays(day)
    events = recorded(world.network.peers[0].core)

    def changing(seconds: float) -> None:
        for _ in range(round(seconds / SWAP_S)):
            for index in range(day.relays):
                world.change_load(index)
            world.run(SWAP_S)

    changing(day.warm_s + day.relays / 20.0)
    peers = [peer for _, peer in sorted(world.network.peers.items())]
    for peer in peers:
        peer.core.counts.clear()
    world.looks.clear()
    start = peers[0].now()
    changing(day.window_s)
    counts = sum((peer.core.counts for peer in peers), Counter[str]())
    found = per_relay(counts, world.looks.total(), day.relays, day.relays - 1, day.window_s)
    others = list(world.peer_loads.values())
    spent = min(played_again(peers[0].core_arguments, events, start) for _ in range(3)) / day.window_s
    core = peers[0].core
    untold = [sum(len(c.keys) for c in peer.core.signals.local.pending if not c.transmissions) for peer in peers]
    found |= {
        "core_cpu": spent,
        "cpu_share": spent + counts["sent"] / day.relays / day.window_s * datagram_s(),
        "memory_mb": deep_kb([core.members.table, core.signals, core.probing.pings]) / 1024.0,
        "age_s": fmean(o.age_ms / 1000.0 for o in others),
        "heard": fmean(o.reporting_relays for o in others),
        "untold": fmean(untold),  # changes that no word has told yet
        "beat_s": day.window_s * day.relays / max(world.looks.total(), 1),
    }
    killed = range(day.relays - max(1, min(3, day.relays // CELL)), day.relays)
    names, knew, began = {peers[index].core.members.local.name for index in killed}, list[float](), world.clock.seconds
    for index in killed:
        world.kill(index)
    while names and world.clock.seconds < began + MAX_KNOWN_S:
        world.run(SWAP_S)
        known = {name for name in names if not any(name in p.core.members.names for p in peers if p.alive)}
        names -= known
        knew += [world.clock.seconds - began] * len(known)
    return found | {"known_s": fmean(knew) if knew else -1.0, "known_most_s": -1.0 if names else max(knew)}


# --- real sockets ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Sockets:
    """So many relays in cells on real sockets, over so many processes. net: second figure of their addresses."""

    relays: int
    cells: int
    processes: int
    seed: int
    warm_s: float
    window_s: float
    net: int
    port: int
    begin: float  # on the monotonic clock, which all processes share
    changes: tuple[tuple[str, Any], ...] = ()

    def address(self, index: int) -> Address:
        return f"127.{self.net}.{index >> 8}.{index & 255}", self.port

    def settings(self, index: int) -> PeerSettings:
        cell = index % self.cells
        seeds = tuple(self.address(n) for n in (cell, cell + self.cells) if n < self.relays)
        return PeerSettings(self.address(index), seeds, f"cell{cell}", **dict(self.changes))

    def others(self, index: int) -> int:
        return len(range(index % self.cells, self.relays, self.cells)) - 1

    @property
    def silenced(self) -> int:
        return self.relays - 1


class SocketRelay:
    """One hollow relay: its own socket, core and driver, as `daemon/membership_endpoint.py` has them."""

    def __init__(self, sockets: Sockets, index: int) -> None:
        self.index, self.loop = index, asyncio.get_running_loop()
        self.settings = sockets.settings(index)
        self.random = Random(f"sockets {sockets.seed} {index}")
        self.holds: Holds = dict.fromkeys(self.random.sample(range(1, BACKENDS + 1), HELD), (1, 100.0))
        self.front = UdpListener(lambda data, source: self.driver.post(DatagramReceived(data, source)))
        self.core = Membership(self.settings, f"r{index}", 1, self.random.randrange(1 << 32), self.now())
        self.driver = MembershipDriver(
            self.core, self.now, self._after, self._send, self._own, lambda others: None, lambda text, bounded: None
        )
        self.looks = 0
        self.knew = -1.0  # when it knew that the silenced one has ended

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def _after(self, delay_ms: float, then: Callable[[], None]) -> object:
        return self.loop.call_later(delay_ms / 1000.0, then)

    def _send(self, to: Address, data: bytes) -> None:
        try:
            self.front.send(data, to)
        except (OSError, ValueError):
            self.core.counts["unsendable"] += 1

    def _own(self) -> LocalLoad:
        self.looks += 1
        return LocalLoad(dict(self.holds))

    async def open(self) -> None:
        await self.loop.create_datagram_endpoint(lambda: self.front, local_addr=self.settings.listen)

    def close(self) -> None:
        self.driver.close()
        if self.front.transport is not None:
            self.front.transport.close()


_knowing: Any = None  # shared by the processes: how many of them know that the silenced relay has ended


def _share(knowing: Any) -> None:
    global _knowing  # noqa: PLW0603  # how a pool hands a shared value to its processes
    _knowing = knowing


async def _until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.monotonic()))


async def _swapping(relays: list[SocketRelay]) -> None:
    """Spread over the beat, so that the process does not work in bursts."""
    while True:
        for part in range(4):
            for relay in relays[part::4]:
                swap(relay.holds, BACKENDS, relay.random)
            await asyncio.sleep(SWAP_S / 4)


async def _late(found: list[float]) -> None:
    while True:
        due = time.monotonic() + LOOK_S
        await asyncio.sleep(LOOK_S)
        found.append(1000.0 * (time.monotonic() - due))


async def _held(sockets: Sockets, part: int) -> dict[str, Any]:
    relays = [SocketRelay(sockets, index) for index in range(part, sockets.relays, sockets.processes)]
    late, tasks = list[float](), list[asyncio.Task[None]]()
    try:
        for relay in relays:
            await relay.open()
        await _until(sockets.begin)
        for relay in relays:
            relay.loop.call_later(relay.random.uniform(0.0, START_MS) / 1000.0, relay.driver.start)
        tasks = [asyncio.create_task(_swapping(relays)), asyncio.create_task(_late(late))]
        await _until(sockets.begin + sockets.warm_s)
        late.clear()
        for relay in relays:
            relay.core.counts.clear()
            relay.looks = 0
        began, spent = time.monotonic(), time.process_time()
        await _until(sockets.begin + sockets.warm_s + sockets.window_s)
        took, spent = time.monotonic() - began, time.process_time() - spent
        late.sort()
        found: dict[str, Any] = {
            "counts": sum((relay.core.counts for relay in relays), Counter[str]()),
            "took": took,
            "cpu": spent,
            "signals": sum(relay.looks * sockets.others(relay.index) for relay in relays),
            "late_ms": late[int(0.99 * len(late))],
            "late_most_ms": late[-1],
            "heard": [sum(heard.counted for heard in relay.core.signals.peers.values()) for relay in relays],
            "ages": [
                h.age_ms(relay.now()) / 1000.0
                for relay in relays
                for h in relay.core.signals.peers.values()
                if h.counted
            ],
        }
        silence = time.monotonic()
        for relay in relays:
            if relay.index == sockets.silenced:
                relay.driver.close()
                found["silence"] = silence
        name, cell = f"r{sockets.silenced}", sockets.silenced % sockets.cells
        ask = [relay for relay in relays if relay.index % sockets.cells == cell and relay.index != sockets.silenced]
        while any(relay.knew < 0.0 for relay in ask) and time.monotonic() < silence + MAX_KNOWN_S:
            await asyncio.sleep(0.05)
            for relay in ask:
                if relay.knew < 0.0 and name not in relay.core.members.names:
                    relay.knew = time.monotonic()
        if _knowing is not None:  # others of the cell must still be served until all of them know
            with _knowing.get_lock():
                _knowing.value += 1
            while _knowing.value < sockets.processes and time.monotonic() < silence + MAX_KNOWN_S:
                await asyncio.sleep(0.05)
        return found | {"knew": [relay.knew for relay in ask]}
    finally:
        for task in tasks:
            task.cancel()
        for relay in relays:
            relay.close()


def held(task: tuple[Sockets, int]) -> dict[str, Any]:
    """One process of `on_sockets`."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_held(*task))


def on_sockets(
    relays: int,
    cells: int,
    processes: int,
    seed: int,
    warm_s: float,
    window_s: float,
    changes: tuple[tuple[str, Any], ...] = (),
) -> dict[str, Any]:
    """Figures of one relay on real sockets, and how far the machine was from being the bottleneck. Raises OSError where
    an address is taken."""
    me, context = os.getpid(), get_context("spawn")
    sockets = Sockets(
        relays,
        cells,
        processes,
        seed,
        warm_s,
        window_s,
        16 + me % 200,
        20_000 + me % 10_000,
        time.monotonic() + 1.2 + relays / 200.0,
        changes,
    )
    with ProcessPoolExecutor(processes, context, _share, (context.Value("i", 0),)) as pool:
        parts = list(pool.map(held, [(sockets, part) for part in range(processes)]))
    counts = sum((part["counts"] for part in parts), Counter[str]())
    took, cpu = fmean(part["took"] for part in parts), sum(part["cpu"] for part in parts)
    knew = [at for part in parts for at in part["knew"]]
    silence = next(part["silence"] for part in parts if "silence" in part)
    ages = [age for part in parts for age in part["ages"]]
    late = max(part["late_ms"] for part in parts)
    found: dict[str, Any] = {"relays": relays, "cells": cells, "processes": processes}
    found |= per_relay(counts, sum(part["signals"] for part in parts), relays, 1, took)
    return found | {
        "cpu_share": cpu / took / relays,
        "age_s": fmean(ages) if ages else -1.0,
        "heard": fmean(heard for part in parts for heard in part["heard"]),
        "known_s": max(knew) - silence if knew and min(knew) > 0.0 else -1.0,
        "busiest": max(part["cpu"] / part["took"] for part in parts),
        "late_ms": late,
        "late_most_ms": max(part["late_most_ms"] for part in parts),
        "load": os.getloadavg()[0],
        "suspicions": counts["suspicions"],
        "lost": counts["sent"] - counts["came"],
        "strangers": counts["dropped_another_cluster"],
        "machine_bound": late > MAX_LATE_MS,
    }


def cells_of(relays: int) -> list[int]:
    """The sizes of the cells: as few as hold them all, alike but for one relay."""
    cells = ceil(relays / CELL)
    return [len(range(cell, relays, cells)) for cell in range(cells)]
