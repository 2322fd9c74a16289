"""Messages between the processes of one relay on one machine, of which there are two during an upgrade.

Each process listens on a Unix socket in the abstract namespace, whose name begins with the clients' address; a process
that starts finds the others in /proc/net/unix (proc(5)) and connects to them. Only processes of the same user are
accepted. Where the system offers none of this, a process works as if it were alone.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Protocol, cast

from loguru import logger

from yarrowspindle.routing.address import Address
from yarrowspindle.transport.inactivity_timer import InactivityTimer

SOCKET_TABLE = Path("/proc/net/unix")
NAME_PREFIX = "yarrowspindle/"
LIST_SUFFIX = "/endpoint-list"  # ends the name of a process that exchanges lists; earlier builds do not
HEADER = struct.Struct("!IBQ")  # length of the body, kind, number of the question
CREDENTIALS = struct.Struct("@iII")  # struct ucred of unix(7): process, user, group
MAX_BODY_BYTES = 1 << 17  # a datagram and its sender's address
MAX_UNSENT_BYTES = 1 << 20
MAX_PENDING = 4096  # questions without an answer
ANSWER_TIMEOUT_S = 0.2  # longer than the stalls that a process has to cope with
LISTEN_BACKLOG = 8


class Kind(IntEnum):
    """The kinds of messages between two processes."""

    ANSWER = 0  # the body is one byte: 1 for yes, 0 for no
    DATAGRAM = 1  # does the other process handle this datagram of a QUIC client?
    REQUEST_ID = 2  # does the other process have a request with this id?
    ENDED_REQUEST_IDS = 3  # these requests of a process that ends may still run; the answer is yes
    ENDPOINT_LIST = 4  # a part of the endpoint list; no answer


Handler = Callable[[bytes], bool]  # answers a question


class ListReceiver(Protocol):
    """Exchanges the endpoint list with other processes."""

    def on_connected(self, side: LinkConnection) -> None:
        """Handle a connection to a process that exchanges lists."""

    def on_message(self, side: LinkConnection, body: bytes) -> None:
        """Handle a message of the kind ENDPOINT_LIST."""

    def on_lost(self, side: LinkConnection) -> None:
        """Handle the end of any connection."""


@dataclass(slots=True)
class Pending:
    """A question without an answer, and the connections from which one may still arrive."""

    on_answer: Callable[[bool], None]
    remaining: set[LinkConnection]
    timer: InactivityTimer | None = field(default=None)


class LinkConnection(asyncio.Protocol):
    """The connection to one other process.

    Args:
        link: the link of this process.
        exchanges_lists: whether the other process is known to exchange lists.

    Attributes:
        silent: whether the last question was not answered in time; no further one is sent until a message arrives.
    """

    def __init__(self, link: ProcessLink, exchanges_lists: bool = False) -> None:
        self.link, self.exchanges_lists = link, exchanges_lists
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.silent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection if it is to a process of the same user."""
        self.transport = cast(asyncio.Transport, transport)
        if _peer_user(transport) != os.getuid():
            self.transport.abort()
            return
        self.link.connections.add(self)
        if self.exchanges_lists and self.link.list_receiver is not None:
            self.link.list_receiver.on_connected(self)

    @property
    def closed(self) -> bool:
        """Whether nothing can be sent any more."""
        return self.transport is None or self.transport.is_closing()

    def data_received(self, data: bytes) -> None:
        """Handle each complete message; end the connection at a malformed one."""
        self.silent = False
        self.received += data
        offset = 0
        while len(self.received) - offset >= HEADER.size:
            length, kind, number = HEADER.unpack_from(self.received, offset)
            if length > MAX_BODY_BYTES or kind not in Kind.__members__.values():
                logger.warning("another process of this relay sent a malformed message; closing the connection")
                self.abort()
                return
            end = offset + HEADER.size + length
            if len(self.received) < end:
                break
            self.link.on_message(self, Kind(kind), number, self.received[offset + HEADER.size : end])
            offset = end
        self.received = self.received[offset:]

    def send(self, kind: Kind, number: int, body: bytes) -> bool:
        """Send a message; return False if it cannot be sent now."""
        transport = self.transport
        if transport is None or self.closed or transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        transport.write(HEADER.pack(len(body), kind, number) + body)
        return True

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the process: its pending answers will not arrive."""
        self.link.on_connection_lost(self)


class ProcessLink:
    """The connections to the other processes of this relay.

    Args:
        address: the clients' address, which all processes of the relay share.

    Attributes:
        handlers: answers to the questions of other processes, by their kind; without one the answer is no.
        connections: one for each other process.
        list_receiver: exchanges the endpoint list; set before the link is opened.
    """

    def __init__(self, address: Address) -> None:
        self.name_prefix = "{}{}:{}/".format(NAME_PREFIX, *address)
        self.name = self.name_prefix + secrets.token_hex(8) + LIST_SUFFIX
        self.handlers: dict[Kind, Handler] = {}
        self.connections: set[LinkConnection] = set()
        self.list_receiver: ListReceiver | None = None
        self.pending: dict[int, Pending] = {}
        self.questions = 0
        self.server: asyncio.Server | None = None

    async def open(self, connect: bool = True) -> None:
        """Listen, and connect to the processes that listen already; if that fails, log it.

        Args:
            connect: whether there is another process. One whose address is the same in another network is none.
        """
        try:
            sock = socket.socket(socket.AF_UNIX)
            sock.setblocking(False)
            sock.bind("\0" + self.name)
            self.server = await asyncio.get_running_loop().create_unix_server(
                lambda: LinkConnection(self), sock=sock, backlog=LISTEN_BACKLOG
            )
            for name in self._other_names() if connect else ():
                await self._connect(name)
        except (OSError, AttributeError) as error:
            logger.warning("no link to other processes of this relay: {!r}", error)

    @property
    def available(self) -> bool:
        """Whether other processes can reach this one."""
        return self.server is not None

    def _other_names(self) -> set[str]:
        try:
            table = SOCKET_TABLE.read_text(encoding="utf-8", errors="replace")
        except OSError:
            return set()
        names = {line.rpartition("@")[2] for line in table.splitlines() if "@" + self.name_prefix in line}
        return names - {self.name}

    async def _connect(self, name: str) -> None:
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        try:
            sock.connect("\0" + name)
            exchanges_lists = name.endswith(LIST_SUFFIX)
            await asyncio.get_running_loop().create_unix_connection(
                lambda: LinkConnection(self, exchanges_lists), sock=sock
            )
        except OSError as error:  # the process has just ended
            sock.close()
            logger.info("another process of this relay cannot be reached: {!r}", error)

    def close(self) -> None:
        """Close all connections; pending questions are answered with no."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()
            self.on_connection_lost(connection)

    def ask(self, kind: Kind, body: bytes, on_answer: Callable[[bool], None]) -> None:
        """Ask all other processes, and call `on_answer` once: with True at the first yes, else with False.

        A process that does not answer within ANSWER_TIMEOUT_S counts as one that says no. `on_answer` may be called
        before this method returns.
        """
        if not self.connections or len(self.pending) >= MAX_PENDING:
            on_answer(False)
            return
        self.questions += 1
        number = self.questions
        asked = {side for side in self.connections if not side.silent and side.send(kind, number, body)}
        if not asked:
            on_answer(False)
            return
        timer = InactivityTimer(ANSWER_TIMEOUT_S, self._on_timeout, number)
        self.pending[number] = Pending(on_answer, asked, timer)

    def on_message(self, side: LinkConnection, kind: Kind, number: int, body: bytes) -> None:
        """Answer a question, or pass on an answer."""
        if kind is Kind.ANSWER:
            self._on_answer(side, number, body == b"\1")
            return
        if kind is Kind.ENDPOINT_LIST:
            if self.list_receiver is not None:
                self.list_receiver.on_message(side, body)
            return
        handler = self.handlers.get(kind)
        answer = handler is not None and handler(body)
        side.send(Kind.ANSWER, number, b"\1" if answer else b"\0")

    def _on_answer(self, side: LinkConnection, number: int, answer: bool) -> None:
        pending = self.pending.get(number)
        if pending is None:
            return
        pending.remaining.discard(side)
        if answer or not pending.remaining:
            self._end(number, answer)

    def _on_timeout(self, number: int) -> None:
        for side in self.pending[number].remaining:
            side.silent = True
        logger.warning("another process of this relay does not answer: it is not asked until it sends a message")
        self._end(number, False)

    def _end(self, number: int, answer: bool) -> None:
        pending = self.pending.pop(number)
        if pending.timer is not None:
            pending.timer.cancel()
        pending.on_answer(answer)

    def on_connection_lost(self, side: LinkConnection) -> None:
        """Forget the connection to a process that has ended."""
        self.connections.discard(side)
        if self.list_receiver is not None:
            self.list_receiver.on_lost(side)
        for number, pending in list(self.pending.items()):
            if side in pending.remaining:
                self._on_answer(side, number, False)


def _peer_user(transport: asyncio.BaseTransport) -> int:
    """Return the user of the process at the other end; -1 if the system does not tell."""
    sock = transport.get_extra_info("socket")
    try:
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
        return int(CREDENTIALS.unpack(credentials)[1])
    except (OSError, AttributeError, struct.error):
        return -1
