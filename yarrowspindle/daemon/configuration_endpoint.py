"""Control on a real socket: a core (agent or controller) on the event loop; the relay's side of it. Off without
`[control]`."""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from loguru import logger

from yarrowspindle.configuration.agent import Agent
from yarrowspindle.configuration.codec import TAKEN
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.link import Link
from yarrowspindle.configuration.messages import (
    ApplySettings,
    Effect,
    Event,
    LogMessage,
    MessageReceived,
    Persist,
    SendMessage,
    SetTimer,
    SettingsRejected,
    TimerFired,
)
from yarrowspindle.configuration.settings import ControlSettings, preferred
from yarrowspindle.configuration.state import ControlState
from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.daemon.log import RateLimitedLog
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.daemon.shared_settings import MAX_WHY, check
from yarrowspindle.membership.codec import DroppedDatagramError
from yarrowspindle.routing.address import Address
from yarrowspindle.storage.durable_file import DurableFile, FileUnavailableError
from yarrowspindle.transport.datagrams import Front

AGAIN_S = 1.0  # a lock, a disk or a core that failed is tried again after so long
DUE_S = 0.05  # how often parts that are missing are asked for
FLUSH_S = 0.02
LAST_KEEP_S = 0.1  # for a last try to keep what was taken, before the process ends
SAID_S, MAX_SAID = 60.0, 1024  # one and the same warning is said once in this time
KEPT = "taken"
READS, READ_AGAIN_S = 20, 0.05  # of a kept file at the start, before anybody is served


def some_number() -> int:
    return int.from_bytes(os.urandom(6), "big")


class Endpoint:
    """A core on its socket. Nothing here is waited for by jobs."""

    core: Agent | Controller

    def __init__(self, settings: ControlSettings, name: str) -> None:
        self.settings, self.name = settings, name
        self.loop = asyncio.get_running_loop()
        self.front = Front(self._datagram)
        # Only a hint: where this clock went back, the others say so.
        self.incarnation = int(time.time() * 1000.0)
        self.link = Link(name, settings.reached_at, settings.cluster, self.incarnation, some_number(), self._now())
        self.counts: Counter[str] = Counter()
        self.bounded = RateLimitedLog(time.monotonic)
        self.said: set[str] = set()
        self.said_at = 0.0
        self.tasks: list[asyncio.Task[None]] = []
        self.disk = ThreadPoolExecutor(1, "control")  # the disk must not make jobs or beats late
        self.closed = False
        self.unkept: Persist | ControlState | None = None  # what is to be kept and is not yet
        self.keeping = asyncio.Event()

    def open(self) -> None:
        self.tasks += [self.loop.create_task(self._open()), self.loop.create_task(self._due())]

    async def close(self) -> None:
        self.closed = True
        for task in self.tasks:
            task.cancel()
        await self._keep_at_the_end()
        self.disk.shutdown(wait=False, cancel_futures=True)
        await asyncio.sleep(FLUSH_S)
        if self.front.transport is not None:
            self.front.transport.close()

    async def _open(self) -> None:
        await self.front.open(
            self.settings.listen,
            lambda error: logger.warning("control: {}:{} cannot be had yet: {}", *self.settings.listen, error),
        )
        logger.info(
            "control: {} {} of cluster {} listens at {}:{}, the others reach it at {}:{}",
            self.settings.role,
            self.name,
            self.settings.cluster,
            *self.settings.listen,
            *self.settings.reached_at,
        )

    async def _due(self) -> None:
        while True:
            await asyncio.sleep(DUE_S)
            for to, data in self.link.due(self._now()):
                self._datagram_to(to, data)

    # --- the core's sides -----------------------------------------------------------------------

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    def _datagram(self, data: bytes, source: Address) -> None:
        try:
            sender, message, replies = self.link.came(self._now(), data, source)
        except DroppedDatagramError as why:
            self._warn(f"dropped what {source[0]}:{source[1]} sent: {why}")
            return
        for reply in replies:
            self._datagram_to(sender.address, reply)
        if message is not None:
            self.post(MessageReceived(sender, message))

    def _datagram_to(self, to: Address, data: bytes) -> None:
        try:
            self.front.send(data, to)
        except (OSError, ValueError):  # no address to send to, or no way: as good as lost
            self.counts["unsendable"] += 1

    def post(self, event: Event) -> None:
        if self.closed:
            return
        try:
            effects = self.core.step(self._now(), event)
        except Exception:  # jobs are served on, and what stands is told on
            self.counts["failures"] += 1
            logger.exception("control: the core failed at {}", type(event).__name__)
            effects = self.core.take_effects()
            if isinstance(event, TimerFired):
                effects.append(SetTimer(1000.0 * AGAIN_S))
        self.carry_out(effects)

    def carry_out(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._send(effect)
            elif isinstance(effect, SetTimer):
                self.loop.call_later(effect.delay_ms / 1000.0, self.post, TimerFired())
            elif isinstance(effect, LogMessage):
                self._note(effect)
            else:
                self._effect(effect)

    def _send(self, send: SendMessage) -> None:
        for data in self.link.packed(self._now(), send.to.address, send.message):
            self._datagram_to(send.to.address, data)

    def _effect(self, effect: Effect) -> None:
        """What only one of the two roles has."""

    def _note(self, note: LogMessage) -> None:
        if note.bounded:
            self._warn(note.text)
        else:
            logger.log("WARNING" if note.bad else "INFO", "control: {}", note.text)

    def _warn(self, text: str) -> None:
        """What others can cause, or what comes again and again."""
        if self._now() >= self.said_at + 1000.0 * SAID_S or len(self.said) >= MAX_SAID:
            self.said_at = self._now()
            self.said.clear()
        if text not in self.said:
            self.said.add(text)
            self.bounded.warn(f"control: {text}")

    # --- what is found again after a restart ------------------------------------------------------

    def keep(self, what: Persist | ControlState) -> None:
        self.unkept = what
        self.keeping.set()

    async def _keep(self, file: DurableFile[Any]) -> None:
        """Until a disk that fails is well again what was kept before stands, and the newest is kept after that. A
        process that is about to end has the lock, and keeps what it takes itself."""
        said = ""
        while True:
            await self.keeping.wait()
            keep = self.unkept
            if keep is None:
                self.keeping.clear()
                continue
            why = file.lock_failure()
            if not why:
                try:
                    await self.loop.run_in_executor(self.disk, file.store, keep)
                except OSError as error:
                    why = str(error)
            if not why:
                self.unkept = None if self.unkept is keep else self.unkept
                if said:
                    logger.info("control: version {} is kept in {}", keep.version, file.path)
            else:
                self.counts["unkept"] += 1
                if why != said:
                    logger.warning(
                        "control: version {} is served, but cannot be kept yet for a restart: {}", keep.version, why
                    )
                await asyncio.sleep(AGAIN_S)
            said = why

    def kept_in(self) -> DurableFile[Any] | None:
        """The file of what is found again after a restart; None: there is none."""
        return None

    async def _keep_at_the_end(self) -> None:
        """What could not be kept so far is tried once more; a disk that takes its time is not waited for."""
        file = self.kept_in()
        if self.unkept is None or file is None or file.lock_failure():
            return
        try:
            await asyncio.wait_for(self.loop.run_in_executor(self.disk, file.store, self.unkept), LAST_KEEP_S)
        except (OSError, TimeoutError) as error:
            logger.warning("control: version {} is not kept for a restart: {}", self.unkept.version, repr(error))

    # --- figures --------------------------------------------------------------------------------

    def counters(self) -> Counter[str]:
        return self.counts + self.core.counts + self.link.counts


class RelayEndpoint(Endpoint):
    """Takes what was agreed on to the hub, and keeps it for the next start."""

    core: Agent

    def __init__(self, hub: RelayService, settings: ControlSettings) -> None:
        super().__init__(settings, settings.name or hub.config.name)
        self.hub = hub
        self.file: DurableFile[Persist] | None = None
        version, entries = 0, {}
        if settings.directory:
            self.file = DurableFile(settings.directory, self.name, settings.cluster, KEPT, TAKEN)
            try:
                kept = self._loaded(self.file)
                version, entries = kept.version, dict(kept.entries)
            except FileUnavailableError as why:
                logger.log(
                    "WARNING" if self.file.path.exists() else "INFO",
                    "control: nothing was kept that can be used in {}: {}; this relay serves by its own file "
                    "until a controller tells it",
                    self.file.path,
                    why,
                )
        machines = preferred(settings.machines, self.name, settings.zone, settings.region)
        self.core = Agent(machines, check, some_number(), self._now(), version, entries)
        hub.metrics.sources["control"] = self.counters
        hub.metrics.more_gauges.append(self.gauges)

    @staticmethod
    def _loaded(file: DurableFile[Persist]) -> Persist:
        """Tried again for a moment where the disk cannot be read: what was taken is to be served from the first
        request on. After that a controller tells it. Raises NoFile."""
        for _ in range(READS - 1):
            try:
                return file.load()
            except OSError:
                time.sleep(READ_AGAIN_S)
        try:
            return file.load()
        except OSError as error:
            raise FileUnavailableError(f"it cannot be read: {error}") from error

    def start(self) -> None:
        """What was kept is served from the first job on."""
        self.carry_out(self.core.take_effects())
        self.open()
        if self.file is not None:
            self.tasks.append(self.loop.create_task(self._keep(self.file)))

    async def close(self) -> None:
        self.carry_out(self.core.leave())
        await super().close()

    def carry_out(self, effects: Sequence[Effect]) -> None:
        for take in [effect for effect in effects if isinstance(effect, ApplySettings)]:
            if why := self._take(take):  # whatever else was asked for rests on it
                effects = [effect for effect in effects if isinstance(effect, SetTimer | LogMessage)]
                effects += self.core.step(self._now(), SettingsRejected(take.version, why))
        super().carry_out(effects)

    def kept_in(self) -> DurableFile[Any] | None:
        return self.file

    def _effect(self, effect: Effect) -> None:
        if isinstance(effect, Persist):
            self.keep(effect)

    def _take(self, take: ApplySettings) -> str:
        """Why the relay serves on by what it had; empty: it serves by this version."""
        try:
            self.hub.take(take.entries)
        except Exception as error:
            if not isinstance(error, ConfigError):
                logger.exception("control: version {} cannot be taken", take.version)
            return str(error)[:MAX_WHY] or repr(error)
        logger.info(
            "control: served by version {}{}",
            take.version,
            f", of which is new: {', '.join(sorted(take.changed)) or 'nothing'}"
            if take.entries
            else ": there are no shared settings, the file's are served by",
        )
        return ""

    def gauges(self) -> dict[str, float]:
        core = self.core
        return {
            "control.version": float(core.taken),
            "control.known": float(core.known),
            "control.alone": float(core.alone),
            "control.refuses": float(bool(core.why)),
        }
