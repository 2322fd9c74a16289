"""Relay messages between a client (websocket or server-sent events) and its backend, and report their latency.

The default link to a backend carries a line for each message; for another protocol, pass an `open_link` that returns a
`Link`.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from typing import Any, Protocol

from yarrowspindle.library.errors import PlacementError
from yarrowspindle.library.placement import Placement
from yarrowspindle.middleware.asgi import WS_INTERNAL_ERROR, WS_SERVICE_RESTART
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.termination import TerminationReason

CONNECT_TIMEOUT_S = 0.25
MAX_LINE_BYTES = 65_536
EVENT_STREAM_RECONNECT_MS = 400  # the delay that an event stream sets for its client to reconnect
WS_NORMAL_CLOSURE = 1000
ALREADY_CLOSED = 0  # used in place of a close code: the client has closed the websocket itself


class Link(Protocol):
    """A connection to a backend that carries messages in both directions."""

    async def read(self) -> str | None:
        """Return the next message; None if the backend has closed the connection.

        Raises:
            OSError: The connection was reset, or closed within a message.
        """

    async def write(self, message: str) -> None:
        """Send a message.

        Raises:
            OSError: The connection was reset.
        """

    async def close(self) -> None:
        """Close the connection."""


class LineLink:
    """A link on which each message is a line of UTF-8 of at most MAX_LINE_BYTES."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def read(self) -> str | None:
        """Return the next line without its terminator; see `Link.read`."""
        try:
            line = await self.reader.readline()
        except ValueError as error:
            raise ConnectionError(f"the backend sent a line of more than {MAX_LINE_BYTES} bytes") from error
        if line and not line.endswith(b"\n"):
            raise ConnectionError("the backend closed the connection within a line")
        return line.decode("utf-8", "replace").rstrip("\r\n") if line else None

    async def write(self, message: str) -> None:
        """Send a message as one line; line breaks within it become spaces."""
        self.writer.write(message.replace("\r", " ").replace("\n", " ").encode() + b"\r\n")
        await self.writer.drain()

    async def close(self) -> None:
        """Close the connection."""
        self.writer.close()


OpenLink = Callable[[Address], Awaitable[Link]]


async def open_line_link(address: Address) -> Link:
    """Connect to a backend that exchanges lines.

    Raises:
        OSError: The backend cannot be reached; TimeoutError if it did not accept within CONNECT_TIMEOUT_S.
    """
    return LineLink(*await asyncio.wait_for(asyncio.open_connection(*address, limit=MAX_LINE_BYTES), CONNECT_TIMEOUT_S))


async def reach(placement: Placement, open_link: OpenLink = open_line_link) -> Link:
    """Return a link to the placement's backend, or to the next backend that can be reached.

    Raises:
        Rejected: No other backend is available.
        Failed: The request has failed.
        PlacerClosed: The placer closes.
    """
    while True:
        try:
            link = await open_link(placement.address)
        except OSError:  # includes TimeoutError
            await placement.failed(TerminationReason.CONNECT_FAILED)
            continue
        with suppress(PlacementError):  # `failed` below raises a final answer again
            if not placement.moved.is_set():
                placement.reached()
                return link
        # The backend began to drain or the deadline passed while the link was being opened.
        await link.close()
        await placement.failed(TerminationReason.NOT_SENT)


async def relay_websocket(  # noqa: C901  # both directions share the link and the websocket
    websocket: Any, placement: Placement, open_link: OpenLink = open_line_link
) -> None:
    """Relay messages in both directions until one side closes or the connection is migrated.

    The websocket is closed with 1012 for a migration, with 1000 if the backend closes its connection, and with 1011 if
    the backend resets it.

    Args:
        websocket: The websocket of Starlette, which has not been accepted yet.
        placement: The placement of its scope.
        open_link: Connects to a backend.
    """
    link = await reach(placement, open_link)
    try:
        await websocket.accept()

        async def relay_from_client() -> tuple[int, TerminationReason]:
            while True:
                message = await websocket.receive()
                if message["type"] == "websocket.disconnect":
                    return ALREADY_CLOSED, TerminationReason.CLIENT_DISCONNECTED
                placement.asked()
                await link.write(message.get("text") or (message.get("bytes") or b"").decode("utf-8", "replace"))

        async def relay_from_backend() -> tuple[int, TerminationReason]:
            while True:
                try:
                    message = await link.read()
                except OSError:
                    return WS_INTERNAL_ERROR, TerminationReason.CONNECTION_RESET
                if message is None:
                    return WS_NORMAL_CLOSURE, TerminationReason.COMPLETED
                placement.answered()
                await websocket.send_text(message)

        async def wait_until_moved() -> tuple[int, TerminationReason]:
            await placement.moved.wait()
            return WS_SERVICE_RESTART, TerminationReason.MIGRATED

        close_code, ending = await first_result(relay_from_client(), relay_from_backend(), wait_until_moved())
        if not placement.over:
            placement.ending = ending
        if close_code != ALREADY_CLOSED:
            await websocket.close(close_code)
    finally:
        await link.close()


async def relay_events(placement: Placement, link: Link) -> AsyncIterator[bytes]:
    """Yield the messages of a link that `reach` has opened as server-sent events.

    A migration ends the stream with an event that has a `retry:` field, after which the client reconnects by itself.
    """
    moved_task = asyncio.ensure_future(placement.moved.wait())
    read_task: asyncio.Future[str | None] | None = None
    try:
        while True:
            read_task = asyncio.ensure_future(link.read())
            await asyncio.wait((moved_task, read_task), return_when=asyncio.FIRST_COMPLETED)
            if not read_task.done():
                yield b"retry: %d\nevent: moved\ndata:\n\n" % EVENT_STREAM_RECONNECT_MS
                return
            try:
                message = read_task.result()
            except OSError:
                placement.ending = TerminationReason.CONNECTION_RESET
                return
            if message is None:
                return
            yield b"data: " + message.encode() + b"\n\n"
    finally:
        for task in (moved_task, read_task):
            if task is not None and not task.done():
                task.cancel()
        await link.close()


async def first_result(*awaitables: Awaitable[tuple[int, TerminationReason]]) -> tuple[int, TerminationReason]:
    """Return the result of the awaitable that completes first; cancel the others and ignore their exceptions."""
    tasks = [asyncio.ensure_future(awaitable) for awaitable in awaitables]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return next(task for task in tasks if task in done).result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
