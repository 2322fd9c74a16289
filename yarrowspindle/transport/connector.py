"""Opens one outgoing connection within a time, such that "it did not come up" is told only where it is true.

A time limit laid round `create_connection` by cancelling it can fall due in the turn of the event loop in which the
connection comes up: the protocol has then written on a connection that its owner hears was never made. Here whichever
of the two comes first decides: once the time is up, or the attempt is cancelled, a connection that still comes up is
closed before the protocol hears of it; once the protocol was connected, the time limit means nothing any more.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import cast

from yarrowspindle.routing.address import Address
from yarrowspindle.transport.inactivity_timer import InactivityTimer

# Failures of this machine or of its own network, which say nothing of the other end.
LOCAL_ERRORS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.EPERM,
        errno.EACCES,
        errno.EINTR,
        errno.EAGAIN,
    )
)


NO_ROUTE_ERRORS = frozenset((errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EHOSTDOWN))


@dataclass(slots=True, frozen=True)
class ConnectFailure:
    """Why a connection did not come up. error: None where its time was over."""

    error: BaseException | None = None

    @property
    def is_local(self) -> bool:
        """Whether it says nothing of the other end."""
        return self.error is not None and (self.unexpected or self.errno in LOCAL_ERRORS)

    @property
    def no_route(self) -> bool:
        """Whether the system found no route there: the other end's fault, or that of the own network."""
        return self.errno in NO_ROUTE_ERRORS

    @property
    def errno(self) -> int:
        """The system's number for it; 0 where it has none."""
        return getattr(self.error, "errno", None) or 0

    @property
    def unexpected(self) -> bool:
        """An error that is no error of the network."""
        return self.error is not None and not isinstance(self.error, OSError)

    def __str__(self) -> str:
        return "no connection in time" if self.error is None else f"no connection: {self.error!r}"


class LocalNetworkMonitor:
    """Tells a backend to which there is no route from an own network that has none to anybody.

    Of backends that fail so with no connection in between only the first counts as failed.
    """

    def __init__(self) -> None:
        self.first_unrouted = ""  # the first backend to which there was no route since a connection came up

    def is_local_fault(self, backend: str, failure: ConnectFailure) -> bool:
        """Returns whether this failure says nothing of the backend."""
        if not failure.no_route:
            return failure.is_local
        self.first_unrouted = self.first_unrouted or backend
        return self.first_unrouted != backend

    def on_connected(self) -> None:
        """A connection came up."""
        self.first_unrouted = ""


class ConnectState(Enum):
    """Of one attempt to connect."""

    PENDING = auto()
    CONNECTED = auto()
    ENDED = auto()


class PendingProtocol(asyncio.Protocol):
    """Stands before the protocol until the connection is up; one that comes too late it closes without a byte."""

    def __init__(self, connector: Connector) -> None:
        self.connector = connector

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Puts the protocol in its place, or closes a connection that nobody waits for any more."""
        stream = cast(asyncio.Transport, transport)
        if self.connector.state is ConnectState.ENDED:
            stream.abort()
            return
        self.connector.mark_connected()
        protocol = self.connector.protocol
        stream.set_protocol(protocol)
        protocol.connection_made(transport)


class Connector:
    """One attempt to connect `protocol` to an address (host, port).

    failed: called once, with the reason, where the connection did not come up; never after `cancel`, nor once the
    protocol was connected.
    """

    def __init__(self, protocol: asyncio.Protocol, address: Address, failed: Callable[[ConnectFailure], None]) -> None:
        self.protocol, self.address, self.failed = protocol, address, failed
        self.state = ConnectState.PENDING
        self.task: asyncio.Task[None] | None = None
        self.timer: InactivityTimer | None = None

    def start(self, timeout_s: float | None = None) -> None:
        """timeout_s: seconds from now; without it only the system's own limits count."""
        loop = asyncio.get_running_loop()
        if timeout_s is not None:
            self.timer = InactivityTimer(max(timeout_s, 0.0), self._on_timeout)
        self.task = loop.create_task(self._connect(loop))

    def mark_connected(self) -> None:
        """The protocol is about to be connected: no time limit counts any more."""
        self.state = ConnectState.CONNECTED
        self._stop_timer()

    def cancel(self) -> bool:
        """Gives the attempt up; whether it was still pending."""
        pending = self.state is ConnectState.PENDING
        self._end()
        return pending

    async def _connect(self, loop: asyncio.AbstractEventLoop) -> None:
        try:
            await loop.create_connection(lambda: PendingProtocol(self), *self.address)
        except Exception as error:  # whatever it is, whoever waits for the connection must hear of it
            if self.state is ConnectState.PENDING:
                self._fail(ConnectFailure(error))

    def _on_timeout(self) -> None:
        if self.state is ConnectState.PENDING:
            self._fail(ConnectFailure())

    def _fail(self, failure: ConnectFailure) -> None:
        self._end()
        self.failed(failure)

    def _end(self) -> None:
        self._stop_timer()
        if self.state is not ConnectState.PENDING:
            return
        self.state = ConnectState.ENDED
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
