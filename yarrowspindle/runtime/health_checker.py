"""Carries out the balancer's health checks over sockets.

Each checked backend has one connection with at most one check in flight. When the limit is reached, the least recently
used connection is closed for a new one. Each check has a timeout. A connection that is idle for `idle_s` is closed
before the backend closes it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from functools import partial

from yarrowspindle.protocol.lines import LineError, parse_load_report
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.effects import CheckHealth
from yarrowspindle.routing.events import HealthCheckCompleted
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.telemetry.published_names import TERMINATION_REASONS
from yarrowspindle.transport.connector import ConnectFailure, Connector
from yarrowspindle.transport.health_check_connection import HealthCheckConnection
from yarrowspindle.transport.inactivity_timer import InactivityTimer

MAX_CONNECTIONS = 32  # descriptors are reserved for them
MAX_UNRESPONSIVE_BACKENDS = 1024


class PendingCheck:
    """The health check connection to one backend and the check in flight on it.

    Attributes:
        side: the connection.
        address: the address on which the backend listens.
        sent_at: event loop time in seconds at which the check was sent.
        timeout: the timer of the check in flight; of the idle connection if there is none.
        connecting: the attempt to connect.
    """

    __slots__ = ("side", "address", "sent_at", "timeout", "connecting")

    def __init__(self, side: HealthCheckConnection, address: Address) -> None:
        self.side, self.address = side, address
        self.sent_at = 0.0
        self.timeout: InactivityTimer | None = None
        self.connecting: Connector | None = None


class HealthChecker:
    """The connections of all health checks.

    Args:
        fields: names of the load report's fields, from the settings.
        idle_s: seconds after which an unused connection is closed.
        on_completed: called with the result of each check.
        log_warning: called with a message about a backend that does not answer or sends an invalid answer.
        max_connections: maximum number of open connections.
    """

    def __init__(
        self,
        fields: tuple[str, ...],
        idle_s: float,
        on_completed: Callable[[HealthCheckCompleted], None],
        log_warning: Callable[[str], None],
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.fields = fields
        self.idle_s = idle_s
        self.on_completed = on_completed
        self.log_warning = log_warning
        self.max_connections = max_connections
        self.backends: dict[str, PendingCheck] = {}  # least recently used first
        self.counts: Counter[str] = Counter()
        self.unresponsive: set[str] = set()  # their last check failed; each failure series is logged once
        self.closed = False

    def probe(self, effect: CheckHealth) -> None:
        """Request the backend's load report on its existing connection or on a new one."""
        check = self.backends.pop(effect.backend, None)
        if check is not None and check.address != effect.address:
            self._close(check)
            check = None
        if check is not None and check.side.awaiting_reply:  # the previous check is in flight and has its own timeout
            self.backends[effect.backend] = check
            return
        if self.closed or (check is None and not self._make_room()):
            self._complete(effect.backend, TerminationReason.NOT_SENT, 0.0)
            return
        if check is None:
            check = PendingCheck(HealthCheckConnection(self, effect.backend), effect.address)
            check.connecting = Connector(check.side, effect.address, partial(self._on_connect_failed, check.side))
            check.connecting.start()
        self.backends[effect.backend] = check
        self.counts["sent"] += 1
        check.sent_at = asyncio.get_running_loop().time()
        if check.timeout is not None:
            check.timeout.cancel()
        check.timeout = InactivityTimer(effect.timeout_ms / 1000.0, self._on_timeout, check)
        check.side.send_probe()

    def close(self) -> None:
        """Close all connections and report further checks as not sent."""
        self.closed = True
        for check in list(self.backends.values()):
            self._close(check)
        self.backends.clear()

    def disconnect(self, backends: Collection[str]) -> None:
        """Close the health check connections to these backends, so that none of this relay's remains open there."""
        for backend in self.backends.keys() & backends:
            check = self.backends.pop(backend, None)
            if check is None:  # reporting the end of another check removed it
                continue
            self._close(check)
            if check.side.awaiting_reply:
                self._complete(backend, TerminationReason.NOT_SENT, check.sent_at)

    @staticmethod
    def _on_timeout(check: PendingCheck) -> None:
        check.side.end(TerminationReason.UNRESPONSIVE, "no answer in time")

    def _make_room(self) -> bool:
        """Return whether one more connection may be opened; if needed, close the least recently used idle one first."""
        if len(self.backends) < self.max_connections:
            return True
        for backend, check in self.backends.items():
            if not check.side.awaiting_reply:
                del self.backends[backend]
                self._close(check)
                return True
        return False

    @staticmethod
    def _on_connect_failed(side: HealthCheckConnection, failure: ConnectFailure) -> None:
        side.end(TerminationReason.NOT_SENT if failure.is_local else TerminationReason.CONNECT_FAILED, str(failure))

    def _close(self, check: PendingCheck) -> None:
        check.side.ended = True  # suppresses further reports of this connection
        if check.side.transport is not None:
            check.side.transport.abort()
        for cancellable in (check.timeout, check.connecting):
            if cancellable is not None:
                cancellable.cancel()

    def _complete(
        self, backend: str, reason: TerminationReason, sent_at: float, report: tuple[float, ...] = ()
    ) -> None:
        duration_ms = (asyncio.get_running_loop().time() - sent_at) * 1000.0 if sent_at else 0.0
        self.counts[TERMINATION_REASONS[reason]] += 1
        self.on_completed(HealthCheckCompleted(backend, reason, duration_ms, report))

    # --- reports of the connections ---------------------------------------------------------------

    def health_check_answered(self, side: HealthCheckConnection, line: bytes) -> None:
        """Report the answer to a check; an invalid load report ends the connection."""
        check = self.backends.get(side.backend)
        if check is None or check.side is not side:
            return
        try:
            report = parse_load_report(line, self.fields)
        except LineError as error:
            side.end(TerminationReason.PROTOCOL_ERROR, str(error))
            return
        if check.timeout is not None:
            check.timeout.cancel()
        check.timeout = InactivityTimer(self.idle_s, self._on_idle, side)
        if side.backend in self.unresponsive:
            self.unresponsive.discard(side.backend)
            self.log_warning(f"execute node {side.backend} answers its probes again")
        self._complete(side.backend, TerminationReason.COMPLETED, check.sent_at, report)

    def _on_idle(self, side: HealthCheckConnection) -> None:
        check = self.backends.get(side.backend)
        if check is not None and check.side is side and not side.awaiting_reply:
            del self.backends[side.backend]
            self._close(check)

    def health_check_ended(self, side: HealthCheckConnection, reason: TerminationReason, text: str) -> None:
        """Report the failure if a check was in flight, and log the first failure of a series."""
        check = self.backends.get(side.backend)
        if check is None or check.side is not side:
            return
        del self.backends[side.backend]
        self._close(check)
        if reason is TerminationReason.PROTOCOL_ERROR:
            self.log_warning(f"execute node {side.backend}: {text}")
        if side.awaiting_reply and side.backend not in self.unresponsive:
            if len(self.unresponsive) >= MAX_UNRESPONSIVE_BACKENDS:
                self.unresponsive.clear()
            self.unresponsive.add(side.backend)
            self.log_warning(f"execute node {side.backend} does not answer its probe: {text}")
        if side.awaiting_reply or reason is TerminationReason.PROTOCOL_ERROR:
            self._complete(side.backend, reason, check.sent_at)
