"""Membership on a UDP socket: the driver on the event loop, the peers' load for the reducer, metrics.

Loaded only if the operator's file has a section `[peers]`.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable
from math import inf

from loguru import logger

from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.membership import Membership, PeerSettings
from yarrowspindle.membership.events import DatagramReceived, Event, LeaveCluster, LocalLoad
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import PeerLoadsUpdated
from yarrowspindle.runtime.membership_driver import MembershipDriver, local_load
from yarrowspindle.telemetry.log import RateLimitedLog
from yarrowspindle.transport.datagrams import UdpListener
from yarrowspindle.transport.inactivity_timer import sleep_then_wait_for_reads

FLUSH_S = 0.02  # time for sending the last datagrams before the socket is closed


class MembershipEndpoint:
    """The membership of one relay. Requests never wait for it, and it never waits for requests."""

    def __init__(self, service: RelayService, settings: PeerSettings) -> None:
        self.core = Membership(
            settings,
            settings.name or service.config.name,
            # If the wall clock went back, the newer incarnation that peers remember replaces this one.
            int(time.time() * 1000.0),
            int.from_bytes(os.urandom(8), "big"),
            asyncio.get_running_loop().time() * 1000.0,
        )
        self.driver = MembershipDriver(
            self.core,
            self._now,
            self._call_later,
            self._send,
            self._sample_load,
            self._on_peer_loads,
            self._log,
            self._on_failure,
        )
        self._service = service
        self.settings = settings
        self._loop = asyncio.get_running_loop()
        self._socket = UdpListener(self._on_datagram)
        self._opening: asyncio.Task[None] | None = None
        self._warnings = RateLimitedLog(time.monotonic)
        self._timers: set[asyncio.TimerHandle] = set()
        service.metrics.counter_sources["peers"] = self.counts
        service.metrics.gauge_sources.append(self.gauges)

    def start(self) -> None:
        """Start a task that opens the socket and then starts the driver."""
        self._opening = self._loop.create_task(self._open())

    async def close(self) -> None:
        """Leave the cluster and close the socket."""
        if self._opening is not None:
            self._opening.cancel()
        self.driver.post(LeaveCluster())
        self.driver.close()
        for timer in self._timers:
            timer.cancel()
        await sleep_then_wait_for_reads(FLUSH_S)
        if self._socket.transport is not None:
            self._socket.transport.close()

    async def _open(self) -> None:
        await self._socket.open(self.settings.listen, self._on_address_unavailable)
        logger.info(
            "peers: {} of cluster {} listens at {}:{}, peers reach it at {}:{}",
            self.core.members.local.name,
            self.settings.cluster,
            *self.settings.listen,
            *self.settings.advertised_address,
        )
        self.driver.start()

    def _on_address_unavailable(self, error: Exception) -> None:
        logger.warning(
            "peers: cannot listen at {}:{} yet, retrying; requests are placed by this relay's own load until then: {}",
            *self.settings.listen,
            error,
        )

    # --- the driver's environment ---------------------------------------------------------------

    def _now(self) -> float:
        return self._loop.time() * 1000.0

    def _call_later(self, delay_ms: float, callback: Callable[[], None]) -> object:
        def fire() -> None:
            self._timers.discard(timer)
            callback()

        timer = self._loop.call_later(delay_ms / 1000.0, fire)
        self._timers.add(timer)
        return timer

    def _send(self, address: Address, data: bytes) -> None:
        try:
            self._socket.send(data, address)
        except (OSError, ValueError):  # an unusable or unreachable address: the datagram counts as lost
            self.core.counts["unsendable"] += 1

    def _on_datagram(self, data: bytes, source: Address) -> None:
        self.driver.post(DatagramReceived(data, source))

    def _sample_load(self) -> LocalLoad:
        return local_load(self._service.reducer.balancer.backends.values(), self._service.runtime.clock.now())

    def _on_peer_loads(self, peer_loads: PeerLoads) -> None:
        self._service.post(PeerLoadsUpdated(peer_loads))

    def _on_failure(self, event: Event) -> None:
        """Log an internal error; it must not end the process, since requests are served without peers as well."""
        self.core.counts["failures"] += 1
        logger.exception("peers: internal error while processing {}", type(event).__name__)

    def _log(self, text: str, rate_limited: bool) -> None:
        if rate_limited:
            self._warnings.warn(f"peers: {text}")
        else:
            logger.info("peers: {}", text)

    # --- metrics --------------------------------------------------------------------------------

    def counts(self) -> Counter[str]:
        """Return the counters by their published names."""
        return self.core.counts + self.core.signals.counts

    def gauges(self) -> dict[str, float]:
        """Return the gauges by their published names; an unknown age is left out."""
        gauges = {f"peers.{name}": value for name, value in self.core.gauges().items()}
        if gauges["peers.oldest_signal_ms"] == inf:
            del gauges["peers.oldest_signal_ms"]
        return gauges
