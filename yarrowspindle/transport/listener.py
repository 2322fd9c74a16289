"""A listening TCP socket that accepts in batches, and only while there is room for another connection.

Connections beyond that wait in the kernel's accept queue. A server that accepted all would run out of descriptors.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from enum import Enum
from math import ceil

from yarrowspindle.routing.address import Address

ACCEPT_BATCH = 16  # calls of accept per iteration of the event loop
MAX_SHORTAGES_PER_BATCH = 4  # calls per batch that fail for lack of descriptors or memory
# Pauses while nothing can be accepted, each twice the last: a short shortage causes little delay, a long one little
# work.
MIN_PAUSE_S, MAX_PAUSE_S = 0.001, 0.01
MAX_PAUSES_AFTER_DEADLINE = 5  # pauses for lack of room, after the deadline of `close`
# Errors of a single connection in the queue, see accept(2); the next call is for the next connection.
CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPERM,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.EINTR,
    )
)


class QueueState(Enum):
    """The state of the kernel's accept queue after a batch of accepts."""

    EMPTY = "no connection waits"
    MORE = "more connections may wait"
    NO_ROOM = "no connection can be accepted now"


class Listener:
    """A listening socket that accepts connections, from its construction on.

    Args:
        address: The host and port to listen on.
        backlog: The size of the kernel's accept queue.
        protocol_factory: Creates the protocol of each connection as it is accepted.
        make_room: Returns whether one more connection may be accepted; may close others for it.
        log_warning: Receives a text for each failed call of accept.
        reuse_port: Whether other processes may listen at the same address.

    Attributes:
        backlogged: Whether the last batch left connections in the queue, so that the next ones may have waited.
        may_have_waited: Whether the connection for which `protocol_factory` is being called may have waited.
        pause: The timer of the pause while nothing can be accepted.
        pause_s: The length of the next pause in seconds.

    Raises:
        OSError: The address is not available.
    """

    def __init__(
        self,
        address: Address,
        backlog: int,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        make_room: Callable[[], bool],
        log_warning: Callable[[str], None],
        reuse_port: bool = True,
    ) -> None:
        self.protocol_factory, self.make_room, self.log_warning = protocol_factory, make_room, log_warning
        self.backlog = backlog
        self.loop = asyncio.get_running_loop()
        self.sock = socket.create_server(
            address, backlog=backlog, reuse_port=reuse_port and hasattr(socket, "SO_REUSEPORT")
        )
        self.sock.setblocking(False)
        self.pause: asyncio.TimerHandle | None = None
        self.backlogged = False
        self.may_have_waited = False
        self.pause_s = MIN_PAUSE_S
        self.closed = False
        self.tasks: set[asyncio.Task[object]] = set()
        self._listen()

    def _listen(self) -> None:
        self.pause = None
        self.loop.add_reader(self.sock, self._ready)

    def _ready(self) -> None:
        queue = self._accept(ACCEPT_BATCH)
        self.backlogged = queue is not QueueState.EMPTY
        if queue is QueueState.NO_ROOM:
            self.loop.remove_reader(self.sock)
            self.pause = self.loop.call_later(self.pause_s, self._listen)

    def _accept(self, max_calls: int) -> QueueState:
        """Accept waiting connections; if every call fails, return NO_ROOM to avoid a busy loop."""
        tasks = len(self.tasks)
        queue = self._accept_batch(max_calls)
        accepted = len(self.tasks) > tasks
        self.pause_s = MIN_PAUSE_S if accepted else min(2.0 * self.pause_s, MAX_PAUSE_S)
        return QueueState.NO_ROOM if queue is QueueState.MORE and not accepted else queue

    def _accept_batch(self, max_calls: int) -> QueueState:
        shortages = 0
        for _ in range(max_calls):
            if not self.make_room():
                return QueueState.NO_ROOM
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return QueueState.EMPTY
            except OSError as error:
                self.log_warning(f"accept failed: {error}; retrying")
                shortages += error.errno not in CONNECTION_ERRORS
                if shortages >= MAX_SHORTAGES_PER_BATCH:  # pause and retry, without a busy loop
                    return QueueState.NO_ROOM
                continue
            sock.setblocking(False)
            # Created here, so that the next call of `make_room` already counts the connection.
            self.may_have_waited = self.backlogged
            task = self.loop.create_task(self._hand_over(sock, self.protocol_factory()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return QueueState.MORE

    async def _hand_over(self, sock: socket.socket, protocol: asyncio.BaseProtocol) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError as error:
            sock.close()
            protocol.connection_lost(error)
            self.log_warning(f"an accepted connection was lost before it could be served: {error}")

    def _stop_accepting(self) -> None:
        self.closed = True
        if self.pause is not None:
            self.pause.cancel()
        self.loop.remove_reader(self.sock)

    def stop(self) -> None:
        """Close the socket at once; the connections in the queue are reset. No effect if closed."""
        if not self.closed:
            self._stop_accepting()
            self.sock.close()

    async def close(self, deadline: float) -> None:
        """Accept the connections in the queue, which closing would reset, then close the socket. No effect if closed.

        Args:
            deadline: A time of the event loop's clock. After it up to `backlog` more connections are accepted, as many
                as may have queued up while the process was stalled, with at most MAX_PAUSES_AFTER_DEADLINE pauses for
                lack of room.
        """
        if self.closed:
            return
        self._stop_accepting()
        left = {QueueState.MORE: ceil(self.backlog / ACCEPT_BATCH), QueueState.NO_ROOM: MAX_PAUSES_AFTER_DEADLINE}
        while (queue := self._accept(ACCEPT_BATCH)) is not QueueState.EMPTY:
            if self.loop.time() >= deadline:
                left[queue] -= 1
                if left[queue] < 0:
                    break
            await asyncio.sleep(self.pause_s if queue is QueueState.NO_ROOM else 0.0)
        self.sock.close()
        if self.tasks:
            await asyncio.wait(self.tasks)
