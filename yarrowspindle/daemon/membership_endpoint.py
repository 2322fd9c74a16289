"""Peers on a real socket: the core's pump on the event loop, its word to the reducer, its figures. Off without
`[peers]`."""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable
from math import inf

from loguru import logger

from yarrowspindle.daemon.log import RateLimitedLog
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.membership import Membership, PeerSettings
from yarrowspindle.membership.messages import DatagramReceived, Event, LeaveCluster, LocalLoad
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import PeerLoadsUpdated
from yarrowspindle.runtime.membership_driver import PeerPump, local_load
from yarrowspindle.transport.datagrams import Front

FLUSH_S = 0.02


class MembershipEndpoint:
    """What the others hold reaches the reducer as `OthersTold`; nothing here waits for them, and nothing waits for
    this."""

    def __init__(self, hub: RelayService, settings: PeerSettings) -> None:
        self.hub, self.settings = hub, settings
        self.loop = asyncio.get_running_loop()
        self.front = Front(self._came)
        self.opening: asyncio.Task[None] | None = None
        name = settings.name or hub.config.name
        # Only a hint: where this clock went back, what the others remember of the name corrects it.
        incarnation = int(time.time() * 1000.0)
        self.core = Membership(settings, name, incarnation, int.from_bytes(os.urandom(8), "big"), self._now())
        self.pump = PeerPump(
            self.core, self._now, self._after, self._send, self._own, self._told, self._note, self._failed
        )
        self.bounded = RateLimitedLog(time.monotonic)
        self.handles: set[asyncio.TimerHandle] = set()
        hub.metrics.sources["peers"] = self.counts
        hub.metrics.more_gauges.append(self.gauges)

    def start(self) -> None:
        self.opening = self.loop.create_task(self._open())

    async def close(self) -> None:
        """Leaves in good order."""
        if self.opening is not None:
            self.opening.cancel()
        self.pump.post(LeaveCluster())
        self.pump.close()
        for handle in self.handles:
            handle.cancel()
        await asyncio.sleep(FLUSH_S)
        if self.front.transport is not None:
            self.front.transport.close()

    async def _open(self) -> None:
        await self.front.open(
            self.settings.listen,
            lambda error: logger.warning(
                "peers: {}:{} cannot be had yet, jobs are placed by own load meanwhile: {}",
                *self.settings.listen,
                error,
            ),
        )
        logger.info(
            "peers: {} of cluster {} listens at {}:{}, the others reach it at {}:{}",
            self.core.members.me.name,
            self.settings.cluster,
            *self.settings.listen,
            *self.settings.reached_at,
        )
        self.pump.start()

    # --- the pump's sides -----------------------------------------------------------------------

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    def _after(self, delay_ms: float, then: Callable[[], None]) -> object:
        def due() -> None:
            self.handles.discard(handle)
            then()

        handle = self.loop.call_later(delay_ms / 1000.0, due)
        self.handles.add(handle)
        return handle

    def _send(self, to: Address, data: bytes) -> None:
        try:
            self.front.send(data, to)
        except (OSError, ValueError):  # no address to send to, or no way: as good as lost
            self.core.counts["unsendable"] += 1

    def _came(self, data: bytes, source: Address) -> None:
        self.pump.post(DatagramReceived(data, source))

    def _own(self) -> LocalLoad:
        return local_load(self.hub.reducer.balancer.backends.values(), self.hub.runtime.clock.now())

    def _told(self, others: PeerLoads) -> None:
        self.hub.post(PeerLoadsUpdated(others))

    def _failed(self, event: Event) -> None:
        """Jobs are served without peers: a fault here must not end the process, nor go unseen."""
        self.core.counts["failures"] += 1
        logger.exception("peers: the core failed at {}", type(event).__name__)

    def _note(self, text: str, bounded: bool) -> None:
        if bounded:
            self.bounded.warn(f"peers: {text}")
        else:
            logger.info("peers: {}", text)

    # --- figures --------------------------------------------------------------------------------

    def counts(self) -> Counter[str]:
        return self.core.counts + self.core.signals.counts

    def gauges(self) -> dict[str, float]:
        found = {f"peers.{name}": value for name, value in self.core.gauges().items()}
        if found["peers.oldest_signal_ms"] == inf:
            del found["peers.oldest_signal_ms"]
        return found
