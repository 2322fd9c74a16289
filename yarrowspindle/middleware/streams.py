"""Passes messages between a client (websocket or server-sent events) and its node, and keeps the message times.

A node link speaks lines here; another protocol brings an `open_link` of its own that returns the same two calls.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Protocol

from yarrowspindle.library.placer import Placement
from yarrowspindle.middleware.asgi import COME_AGAIN
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.termination import TerminationReason

CONNECT_S = 0.25
MAX_LINE = 65_536
AGAIN_MS = 400  # what an event stream tells its client to wait before it comes again after a move


class Link(Protocol):
    async def read(self) -> str | None:
        """The next message; None where the node has ended the connection. OSError where it broke."""

    async def write(self, message: str) -> None: ...
    async def close(self) -> None: ...


class LineLink:
    """A message is a line of UTF-8, 64 KiB at most."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read(self) -> str | None:
        try:
            line = await self.reader.readline()
        except ValueError as error:
            raise ConnectionError("the node sent a line without end") from error
        return line.decode("utf-8", "replace").rstrip("\r\n") if line else None

    async def write(self, message: str) -> None:
        self.writer.write(message.replace("\r", " ").replace("\n", " ").encode() + b"\r\n")
        await self.writer.drain()

    async def close(self) -> None:
        self.writer.close()


OpenLink = Callable[[Address], Awaitable[Link]]


async def open_line_link(address: Address) -> Link:
    return LineLink(*await asyncio.wait_for(asyncio.open_connection(*address, limit=MAX_LINE), CONNECT_S))


async def reach(placement: Placement, open_link: OpenLink = open_line_link) -> Link:
    """A link to the placement's node, or to the next one that can be reached; raises Refused, Failed or Closing."""
    while True:
        try:
            link = await open_link(placement.address)
        except OSError:  # a time-out among them
            await placement.failed(TerminationReason.CONNECT_FAILED)
            continue
        if placement.moved.is_set():  # the node drained, or the time was up, while the connection came up
            await link.close()
            await placement.failed(TerminationReason.NOT_SENT)
            continue
        placement.reached()
        return link


async def relay_websocket(websocket: Any, placement: Placement, open_link: OpenLink = open_line_link) -> None:
    """Both ways until one side ends or the placement is moved. `websocket`: Starlette's, not accepted yet.

    A move closes it with 1012, the node's end with 1000, a broken node with 1011.
    """
    link = await reach(placement, open_link)
    try:
        await websocket.accept()

        async def from_client() -> tuple[int, TerminationReason]:
            while True:
                message = await websocket.receive()
                if message["type"] == "websocket.disconnect":
                    return 0, TerminationReason.CLIENT_DISCONNECTED
                placement.asked()
                await link.write(message.get("text") or (message.get("bytes") or b"").decode("utf-8", "replace"))

        async def from_backend() -> tuple[int, TerminationReason]:
            while True:
                try:
                    message = await link.read()
                except OSError:
                    return 1011, TerminationReason.CONNECTION_RESET
                if message is None:
                    return 1000, TerminationReason.COMPLETED
                placement.answered()
                await websocket.send_text(message)

        async def moved() -> tuple[int, TerminationReason]:
            await placement.moved.wait()
            return COME_AGAIN, TerminationReason.MIGRATED

        code, ending = await first_of(from_client(), from_backend(), moved())
        if not placement.over:
            placement.ending = ending
        if code:
            await websocket.close(code)
    finally:
        await link.close()


async def relay_events(placement: Placement, link: Link) -> AsyncIterator[bytes]:
    """Server-sent events from a link that `reach` has opened; a move ends them with `retry:`, so that the client
    comes again by itself."""
    moved = asyncio.ensure_future(placement.moved.wait())
    reading: asyncio.Future[str | None] | None = None
    try:
        while True:
            reading = asyncio.ensure_future(link.read())
            await asyncio.wait((moved, reading), return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                yield b"retry: %d\nevent: moved\ndata:\n\n" % AGAIN_MS
                return
            try:
                message = reading.result()
            except OSError:
                placement.ending = TerminationReason.CONNECTION_RESET
                return
            if message is None:
                return
            yield b"data: " + message.encode() + b"\n\n"
    finally:
        for task in (moved, reading):
            if task is not None and not task.done():
                task.cancel()
        await link.close()


async def first_of(*works: Any) -> tuple[int, TerminationReason]:
    """The first that ends decides; the others are cancelled, and what they raise meanwhile is passed over."""
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        found: tuple[int, TerminationReason] = next(t for t in tasks if t in done).result()
        return found
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
