"""The listening socket.

It accepts a few connections at a time, and none while there is no capacity: those wait in the kernel, where a server
that accepts all would run out of descriptors.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from enum import Enum
from math import ceil

from yarrowspindle.routing.address import Address

ACCEPT_BATCH = 16  # calls of accept in one turn of the loop
MAX_SHORTAGES_PER_BATCH = 4  # calls of a turn that fail for want of descriptors or memory
# Pauses while nothing can be taken in, each twice the last: a shortage of a moment costs little time, a lasting one
# little work.
MIN_PAUSE_S, MAX_PAUSE_S = 0.001, 0.01
MAX_PAUSES_AFTER_DEADLINE = 5  # at the end, once its time is over
# Errors of one connection in the queue, by accept(2): the next call is for the next connection.
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
    """What is known of the connections that wait in the kernel."""

    EMPTY = "nobody waits in the kernel"
    MORE = "more may wait"
    NO_ROOM = "nobody can be taken in just now"


class Listener:
    """Accepts connections from the moment on that it is made.

    Args:
        address: where it listens. Raises OSError where that cannot be had.
        backlog: how many the kernel keeps waiting.
        protocol_factory: makes the protocol of each connection.
        make_room: returns whether one more may be accepted.
        log_warning: is given a text on each call of accept that failed.

    Attributes:
        backlogged: whether the queue was not emptied last time: who is accepted next may have waited.
        may_have_waited: whether the connection for which `protocol_factory` is called may have waited so.
        pause: until accept is called again, while nothing can be accepted.
        pause_s: the next such pause.
    """

    def __init__(
        self,
        address: Address,
        backlog: int,
        protocol_factory: Callable[[], asyncio.Protocol],
        make_room: Callable[[], bool],
        log_warning: Callable[[str], None],
    ) -> None:
        self.protocol_factory, self.make_room, self.log_warning = protocol_factory, make_room, log_warning
        self.backlog = backlog
        self.loop = asyncio.get_running_loop()
        # A second process of the same relay, an upgrade, listens at the same address while this one still serves.
        self.sock = socket.create_server(address, backlog=backlog, reuse_port=hasattr(socket, "SO_REUSEPORT"))
        self.sock.setblocking(False)
        self.pause: asyncio.TimerHandle | None = None
        self.backlogged = False
        self.may_have_waited = False
        self.pause_s = MIN_PAUSE_S
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

    def _accept(self, most: int) -> QueueState:
        """Takes in what waits, with `most` calls; where all of them fail there is no room either: it must not spin."""
        tasks = len(self.tasks)
        queue = self._accept_batch(most)
        accepted = len(self.tasks) > tasks
        self.pause_s = MIN_PAUSE_S if accepted else min(2.0 * self.pause_s, MAX_PAUSE_S)
        return QueueState.NO_ROOM if queue is QueueState.MORE and not accepted else queue

    def _accept_batch(self, most: int) -> QueueState:
        shortages = 0
        for _ in range(most):
            if not self.make_room():
                return QueueState.NO_ROOM
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return QueueState.EMPTY
            except OSError as error:
                self.log_warning(f"no connection can be taken in: {error}")
                shortages += error.errno not in CONNECTION_ERRORS
                if shortages >= MAX_SHORTAGES_PER_BATCH:  # no descriptors or no memory: no reason to spin, nor to end
                    return QueueState.NO_ROOM
                continue
            sock.setblocking(False)
            task = self.loop.create_task(self._hand_over(sock, self.backlogged))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return QueueState.MORE

    async def _hand_over(self, sock: socket.socket, may_have_waited: bool) -> None:
        try:
            self.may_have_waited = may_have_waited
            await self.loop.connect_accepted_socket(self.protocol_factory, sock)  # which it calls at once
        except OSError as error:
            sock.close()
            self.log_warning(f"a connection was lost while it was taken in: {error}")

    async def close(self, deadline: float) -> None:
        """Takes in what the kernel holds first: it has said yes to those, and a close would reset them.

        deadline: a time of the loop. After it `backlog` more are still taken in, as many as may have waited for a
        process that was held up, but room is hardly waited for any more.
        """
        if self.pause is not None:
            self.pause.cancel()
        self.loop.remove_reader(self.sock)
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
