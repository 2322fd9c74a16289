"""The listening socket. It takes in a few connections at a time, and none while there is no room: those wait in the
kernel, where a server that accepts all would run out of descriptors."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from yarrowspindle.routing.messages import Address

BATCH = 16
AGAIN_S = 0.01


class Listener:
    def __init__(self, address: Address, backlog: int, made: Callable[[], asyncio.Protocol], room: Callable[[], bool],
                 failed: Callable[[str], None]) -> None:  # fmt: skip
        self.made, self.room, self.failed = made, room, failed
        self.loop = asyncio.get_running_loop()
        # A second process of the same relay, an upgrade, listens at the same address while this one still serves.
        self.sock = socket.create_server(address, backlog=backlog, reuse_port=hasattr(socket, "SO_REUSEPORT"))
        self.sock.setblocking(False)
        self.later: asyncio.TimerHandle | None = None
        self.closed = False
        self.tasks: set[asyncio.Task[object]] = set()
        self._listen()

    def _listen(self) -> None:
        self.later = None
        self.loop.add_reader(self.sock, self._ready)

    def _ready(self) -> None:
        for _ in range(BATCH):
            if not self.room():
                return self._pause()
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return None
            except OSError as error:  # no descriptors or no memory: no reason to spin, nor to end
                self.failed(f"no connection can be taken in: {error}")
                return self._pause()
            sock.setblocking(False)
            task = self.loop.create_task(self._take_in(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return None

    async def _take_in(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.made, sock)
        except OSError as error:
            sock.close()
            self.failed(f"a connection was lost while it was taken in: {error}")

    def _pause(self) -> None:
        self.loop.remove_reader(self.sock)
        self.later = self.loop.call_later(AGAIN_S, self._listen)

    def hand_over(self) -> None:
        """Another process listens at the same address: take in who waits at this one's door, and close it. Closed with
        somebody at it, the kernel would reset them."""
        while not self.closed and self.room():
            try:
                sock, _ = self.sock.accept()
            except OSError:  # nobody is left, or nobody can be taken in
                break
            sock.setblocking(False)
            task = self.loop.create_task(self._take_in(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.close()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.later is not None:
            self.later.cancel()
        self.loop.remove_reader(self.sock)
        self.sock.close()
