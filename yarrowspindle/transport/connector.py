"""Opens an outgoing connection with a time-out, and never reports a failure for a connection that was established.

A time-out that cancels `create_connection` can fall due in the iteration of the event loop in which the connection is
established: the protocol may then have written to a connection that is reported as never established. Here the first of
the two events decides. After the time-out or a cancellation, a connection that is still established is closed before
the protocol is notified. After the protocol was connected, the time-out has no effect.
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

# Errors of this host or its own network, which say nothing about the peer.
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
    """Why a connection was not established.

    Attributes:
        error: The exception; None after a time-out.
    """

    error: BaseException | None = None

    @property
    def is_local(self) -> bool:
        """Whether the cause is on this host, so that the failure says nothing about the peer.

        An unexpected exception counts as local.
        """
        return self.error is not None and (self.unexpected or self.errno in LOCAL_ERRORS)

    @property
    def no_route(self) -> bool:
        """Whether there was no route to the peer, a fault either of the peer or of this host's network."""
        return self.errno in NO_ROUTE_ERRORS

    @property
    def errno(self) -> int:
        """The error number; 0 if the failure has none."""
        return getattr(self.error, "errno", None) or 0

    @property
    def unexpected(self) -> bool:
        """Whether the exception is not an operating system error."""
        return self.error is not None and not isinstance(self.error, OSError)

    def __str__(self) -> str:
        return "connect timed out" if self.error is None else f"connect failed: {self.error!r}"


class LocalNetworkMonitor:
    """A monitor that distinguishes a single backend without a route from an outage of this host's own network.

    Of several backends that fail for lack of a route, with no connection established in between, only the first counts
    as failed.
    """

    def __init__(self) -> None:
        self.first_unrouted = ""  # the first backend without a route since a connection was last established

    def is_local_fault(self, backend: str, failure: ConnectFailure) -> bool:
        """Return whether the failure of a connection to the backend says nothing about the backend."""
        if not failure.no_route:
            return failure.is_local
        self.first_unrouted = self.first_unrouted or backend
        return self.first_unrouted != backend

    def on_connected(self) -> None:
        """Note that a connection was established, so this host's network works."""
        self.first_unrouted = ""


class ConnectState(Enum):
    """The state of a Connector."""

    PENDING = auto()
    CONNECTED = auto()
    ENDED = auto()


class PendingProtocol(asyncio.Protocol):
    """The protocol until the connection is established; closes a late connection without sending a byte."""

    def __init__(self, connector: Connector) -> None:
        self.connector = connector

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the connection over to the protocol, or close it if the connector has ended."""
        stream = cast(asyncio.Transport, transport)
        if self.connector.state is ConnectState.ENDED:
            stream.abort()
            return
        self.connector.mark_connected()
        protocol = self.connector.protocol
        stream.set_protocol(protocol)
        protocol.connection_made(transport)


class Connector:
    """One attempt to connect a protocol to an address.

    Args:
        protocol: The protocol to connect.
        address: The peer's host and port.
        failed: Called once, with the reason, if the connection is not established; never after `cancel`, nor after the
            protocol was connected.
    """

    def __init__(
        self, protocol: asyncio.BaseProtocol, address: Address, failed: Callable[[ConnectFailure], None]
    ) -> None:
        self.protocol, self.address, self.failed = protocol, address, failed
        self.state = ConnectState.PENDING
        self.task: asyncio.Task[None] | None = None
        self.timer: InactivityTimer | None = None

    def start(self, timeout_s: float | None = None) -> None:
        """Start connecting; without `timeout_s`, in seconds, only the system's own time-outs apply."""
        loop = asyncio.get_running_loop()
        if timeout_s is not None:
            self.timer = InactivityTimer(max(timeout_s, 0.0), self._on_timeout)
        self.task = loop.create_task(self._connect(loop))

    def mark_connected(self) -> None:
        """Stop the time-out, as the protocol is about to be connected."""
        self.state = ConnectState.CONNECTED
        self._stop_timer()

    def cancel(self) -> bool:
        """Give up connecting. Return whether the connection was still pending."""
        pending = self.state is ConnectState.PENDING
        self._end()
        return pending

    async def _connect(self, loop: asyncio.AbstractEventLoop) -> None:
        try:
            await loop.create_connection(lambda: PendingProtocol(self), *self.address)
        except Exception as error:  # the owner must be notified of any error, also an unexpected one
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
