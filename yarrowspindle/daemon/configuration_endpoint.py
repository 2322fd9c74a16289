"""An agent or a controller on a UDP socket of the event loop. Loaded only with `[control]` in the file."""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Coroutine, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from loguru import logger

from yarrowspindle.configuration.agent import Agent
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.effects import Effect, LogMessage, SendMessage, SetTimer
from yarrowspindle.configuration.events import Event, MessageReceived, TimerFired
from yarrowspindle.configuration.link import Link
from yarrowspindle.configuration.settings import ControlSettings
from yarrowspindle.daemon.background_store import BackgroundStore
from yarrowspindle.membership.codec import DroppedDatagramError
from yarrowspindle.routing.address import Address
from yarrowspindle.telemetry.log import RateLimitedLog
from yarrowspindle.transport.datagrams import UdpListener
from yarrowspindle.transport.inactivity_timer import sleep_then_wait_for_reads

FAILED_TIMER_RETRY_MS = 1000.0  # delay of the next timer event after one whose processing failed
FRAGMENT_REQUEST_INTERVAL_S = 0.05
FLUSH_S = 0.02  # time for sending the last datagrams before the socket is closed
WARNING_REPEAT_MS = 60_000.0  # interval in which identical warnings are logged once
MAX_RECENT_WARNINGS = 1024
RANDOM_NUMBER_BYTES = 6
# Published names of counters.
UNSENDABLE, FAILURES = "unsendable", "failures"


def random_number() -> int:
    """Return a random number that an earlier process is unlikely to have used."""
    return int.from_bytes(os.urandom(RANDOM_NUMBER_BYTES), "big")


class ConfigurationEndpoint:
    """An agent or controller (the core) and its socket. No request waits for it."""

    core: Agent | Controller

    def __init__(self, settings: ControlSettings, name: str) -> None:
        self.settings, self.name = settings, name
        self.loop = asyncio.get_running_loop()
        self.front = UdpListener(self._on_datagram)
        # Only a hint: if the wall clock went back, receivers report the newer incarnation that they know.
        self.incarnation = int(time.time() * 1000.0)
        self.link = Link(
            name, settings.advertised_address, settings.cluster, self.incarnation, random_number(), self._now()
        )
        self.counts: Counter[str] = Counter()
        self.rate_limited_log = RateLimitedLog(time.monotonic)
        self.recent_warnings: set[str] = set()
        self.recent_warnings_since = 0.0
        self.tasks: list[asyncio.Task[None]] = []
        self.disk_executor = ThreadPoolExecutor(1, "control")  # a slow disk must not delay requests or heartbeats
        self.closed = False
        self.store: BackgroundStore[Any] | None = None

    def open(self) -> None:
        """Start to listen."""
        self._start_task(self._listen())
        self._start_task(self._request_missing_fragments())
        if self.store is not None:
            self._start_task(self.store.run())

    async def close(self) -> None:
        """Store the pending version, and close the socket after the last datagrams."""
        self.closed = True
        for task in self.tasks:
            task.cancel()
        if self.store is not None:
            await self.store.flush()
        self.disk_executor.shutdown(wait=False, cancel_futures=True)
        await sleep_then_wait_for_reads(FLUSH_S)
        if self.front.transport is not None:
            self.front.transport.close()

    def counters(self) -> Counter[str]:
        """Return the counters of the endpoint, the core and the link by their published names."""
        return self.counts + self.core.counts + self.link.counts

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(self.loop.create_task(work))

    async def _listen(self) -> None:
        settings = self.settings
        await self.front.open(
            settings.listen,
            lambda error: logger.warning("control: cannot bind {}:{} yet, retrying: {}", *settings.listen, error),
        )
        logger.info(
            "control: {} {} of cluster {} listens at {}:{}, advertised as {}:{}",
            settings.role,
            self.name,
            settings.cluster,
            *settings.listen,
            *settings.advertised_address,
        )

    async def _request_missing_fragments(self) -> None:
        while True:
            await asyncio.sleep(FRAGMENT_REQUEST_INTERVAL_S)
            for request in self.link.missing_fragment_requests(self._now()):
                self._send_datagram(request.to, request.data)

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    # --- events -----------------------------------------------------------------------------------

    def _on_datagram(self, data: bytes, source: Address) -> None:
        try:
            received = self.link.receive(self._now(), data, source)
        except DroppedDatagramError as cause:
            self._warn(f"dropped a datagram of {source[0]}:{source[1]}: {cause}")
            return
        for reply in received.replies:
            self._send_datagram(received.sender.address, reply)
        if received.message is not None:
            self.post(MessageReceived(received.sender, received.message))

    def post(self, event: Event) -> None:
        """Pass an event to the core and carry out the effects."""
        if self.closed:
            return
        try:
            effects = self.core.step(self._now(), event)
        except Exception:  # requests are still served, and the committed state is still distributed
            self.counts[FAILURES] += 1
            logger.exception("control: internal error while processing {}", type(event).__name__)
            effects = self.core.take_effects()
            if isinstance(event, TimerFired):
                effects.append(SetTimer(FAILED_TIMER_RETRY_MS))
        self.carry_out(effects)

    # --- effects ----------------------------------------------------------------------------------

    def carry_out(self, effects: Sequence[Effect]) -> None:
        """Carry out effects in their order."""
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._send(effect)
            elif isinstance(effect, SetTimer):
                self.loop.call_later(effect.delay_ms / 1000.0, self.post, TimerFired())
            elif isinstance(effect, LogMessage):
                self._log(effect)
            else:
                self._carry_out_for_role(effect)

    def _carry_out_for_role(self, effect: Effect) -> None:
        """Carry out an effect that only this role (relay or controller) has."""

    def _send(self, send: SendMessage) -> None:
        for data in self.link.encode(self._now(), send.to.address, send.message):
            self._send_datagram(send.to.address, data)

    def _send_datagram(self, to: Address, data: bytes) -> None:
        try:
            self.front.send(data, to)
        except (OSError, ValueError):  # invalid address or no route: counts as a lost datagram
            self.counts[UNSENDABLE] += 1

    def _log(self, message: LogMessage) -> None:
        if message.rate_limited:
            self._warn(message.text)
        else:
            logger.log("WARNING" if message.is_warning else "INFO", "control: {}", message.text)

    def _warn(self, text: str) -> None:
        """Log, at a limited rate, a warning that repeats or that other processes can cause."""
        expired = self._now() >= self.recent_warnings_since + WARNING_REPEAT_MS
        if expired or len(self.recent_warnings) >= MAX_RECENT_WARNINGS:
            self.recent_warnings_since = self._now()
            self.recent_warnings.clear()
        if text not in self.recent_warnings:
            self.recent_warnings.add(text)
            self.rate_limited_log.warn(f"control: {text}")
