"""A minimal ASGI server on httptools for the example: HTTP/1.1, streams and lifespan. Not for production."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any
from urllib.parse import unquote

import httptools

Message = MutableMapping[str, Any]
App = Callable[
    [MutableMapping[str, Any], Callable[[], Awaitable[Message]], Callable[[Message], Awaitable[None]]], Awaitable[None]
]
MAX_HEAD_BYTES, MAX_BODY_BYTES = 32_768, 1 << 20


class HostConnection(asyncio.Protocol):
    """A connection that carries one request and is closed after its response."""

    def __init__(self, host: AsgiHost) -> None:
        self.host = host
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport
        self.url, self.headers, self.size = b"", list[tuple[bytes, bytes]](), 0
        self.inbox: asyncio.Queue[Message] = asyncio.Queue()
        self.task: asyncio.Task[None] | None = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.chunked = self.started = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.size += len(data)
        try:
            if self.size > MAX_HEAD_BYTES + MAX_BODY_BYTES:
                raise httptools.HttpParserError(
                    f"request of {self.size} bytes; at most {MAX_HEAD_BYTES + MAX_BODY_BYTES} are accepted"
                )
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        path, _, query = self.url.partition(b"?")
        scope = {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": "1.1",
            "method": self.parser.get_method().decode(),
            "scheme": "http",
            "path": unquote(path.decode()),
            "raw_path": path,
            "query_string": query,
            "root_path": "",
            "headers": self.headers,
            "client": self.transport.get_extra_info("peername"),
            "server": self.transport.get_extra_info("sockname"),
        }
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._run(scope))
            self.host.tasks.add(self.task)
            self.task.add_done_callback(self.host.tasks.discard)

    def on_body(self, body: bytes) -> None:
        self.inbox.put_nowait({"type": "http.request", "body": body, "more_body": True})

    def on_message_complete(self) -> None:
        self.inbox.put_nowait({"type": "http.request", "body": b"", "more_body": False})

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.writable.set()
        self.inbox.put_nowait({"type": "http.disconnect"})

    async def _run(self, scope: MutableMapping[str, Any]) -> None:
        try:
            await self.host.app(scope, self.inbox.get, self._send)
        except Exception:
            if not self.started:
                self.transport.write(b"HTTP/1.1 500 Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        finally:
            self.transport.close()

    async def _send(self, message: Message) -> None:
        await self.writable.wait()
        if self.transport.is_closing():
            return
        if message["type"] == "http.response.start":
            self.started = True
            headers = [(bytes(name), bytes(value)) for name, value in message.get("headers", ())]
            self.chunked = all(name.lower() != b"content-length" for name, _ in headers)
            headers += [(b"connection", b"close")] + [(b"transfer-encoding", b"chunked")] * self.chunked
            lines = b"".join(name + b": " + value + b"\r\n" for name, value in headers)
            self.transport.write(b"HTTP/1.1 %d OK\r\n%s\r\n" % (message["status"], lines))
        elif message["type"] == "http.response.body":
            body, more_body = message.get("body", b""), message.get("more_body", False)
            if self.chunked:
                body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + (b"" if more_body else b"0\r\n\r\n")
            self.transport.write(body)
            if not more_body:
                self.transport.close()


class AsgiHost:
    """A server on `host.port` of the loopback interface that runs the application's lifespan.

    Use it as `async with AsgiHost(app) as host`.
    """

    def __init__(self, app: App) -> None:
        self.app, self.port = app, 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.inbox: asyncio.Queue[Message] = asyncio.Queue()
        self.outbox: asyncio.Queue[Message] = asyncio.Queue()

    async def __aenter__(self) -> AsgiHost:
        loop = asyncio.get_running_loop()
        scope = {"type": "lifespan", "asgi": {"version": "3.0"}, "state": {}}
        self.lifespan: asyncio.Task[None] = loop.create_task(self._run(scope))
        await self._lifespan("lifespan.startup")
        self.server = await loop.create_server(lambda: HostConnection(self), "127.0.0.1", 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _run(self, scope: MutableMapping[str, Any]) -> None:
        await self.app(scope, self.inbox.get, self.outbox.put)

    async def _lifespan(self, event_type: str) -> None:
        await self.inbox.put({"type": event_type})
        message = await self.outbox.get()
        if message["type"].endswith(".failed"):
            raise RuntimeError(message.get("message", f"the application failed at {event_type}"))

    async def __aexit__(self, *_: object) -> None:
        """Close the listener, shut down the application, which ends its streams, and cancel the remaining requests."""
        self.server.close()
        await self._lifespan("lifespan.shutdown")
        await self.lifespan
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
