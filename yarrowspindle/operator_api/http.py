"""The operators' API: HTTP/1.1 on httptools, one call per connection, bounded in number, bytes and time.

It decides nothing: each call is handed to the function that the program gave for its path and method, and what that
returns is written back. Whoever is slow, malformed or too large is answered with a plain 4xx, or ended, and can never
hold more than one of `MOST` places for longer than `DEADLINE_S`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from typing import cast

import httptools

MOST = 32  # connections at once; the oldest is ended for a new one
DEADLINE_S = 2.0  # for a whole call; answers are due within 1 s, callers that dawdle hold their place no longer
MAX_HEAD = 8192  # bytes of the request line and headers
MAX_URL = 1024
MAX_BODY = 4096  # a PUT may carry a small body, which is not read
REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    414: "URI Too Long",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}

Answer = tuple[int, str]  # status and a text body
Routes = Mapping[str, Mapping[str, Callable[[], Answer]]]  # path -> method -> call
BodyRoutes = Mapping[str, Mapping[str, Callable[[bytes], Answer]]]  # the same for calls whose body is read


def response(status: int, text: str = "") -> bytes:
    body = text.encode()
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\ncontent-type: text/plain; charset=utf-8\r\n"
        f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
    )
    return head.encode() + body


class Refused(Exception):
    """The call is answered with this status, without being carried out."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Call(asyncio.Protocol):
    """One connection, one call. Its body is kept only for routes that read it."""

    def __init__(self, api: OperatorApi) -> None:
        self.api = api
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.head = self.body = self.fields = 0
        self.kept = b""
        self.headed = self.done = False
        self.late: asyncio.TimerHandle | None = None

    # --- the transport's side -------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.late = asyncio.get_running_loop().call_later(DEADLINE_S, self.end)
        self.api.came(self)

    def data_received(self, data: bytes) -> None:
        if self.done:
            return
        try:
            if not self.headed:
                self.head += len(data)
            self.parser.feed_data(data)
            if not self.headed and self.head > MAX_HEAD:
                raise Refused(431)
        except Refused as refused:
            self.answer(refused.status)
        except httptools.HttpParserUpgrade:
            self.answer(400)
        except httptools.HttpParserError as error:  # what a callback raised comes wrapped
            cause = error.__context__
            self.answer(cause.status if isinstance(cause, Refused) else 400)

    def eof_received(self) -> bool:
        if not self.done:
            self.answer(400)  # half a call
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.done = True
        if self.late is not None:
            self.late.cancel()
        self.transport = None
        self.api.left(self)

    # --- the parser's side ----------------------------------------------------------------------

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > MAX_URL:
            raise Refused(414)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields += len(name) + len(value) + 4
        if self.fields > MAX_HEAD:
            raise Refused(431)
        if name.lower() == b"content-length" and value.strip().isdigit() and int(value) > self.api.body_most:
            raise Refused(413)

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, body: bytes) -> None:
        self.body += len(body)
        if self.body > self.api.body_most:
            raise Refused(413)
        if self.api.reading:
            self.kept += body

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode("ascii", "replace")
        try:
            path = httptools.parse_url(self.url).path.decode("ascii")
        except (httptools.HttpParserInvalidURLError, UnicodeDecodeError):
            return self.answer(400)
        calls, reading = self.api.routes.get(path), self.api.reading.get(path)
        if calls is None and reading is None:
            return self.answer(404)
        call = (calls or {}).get(method)
        if call is None and reading is not None and method in reading:
            call = partial(reading[method], self.kept)
        if call is None:
            return self.answer(405, "allowed: " + ", ".join(sorted({*(calls or {}), *(reading or {})})))
        if self.body and method in ("GET", "HEAD"):
            return self.answer(400, "a body where none is meant")
        try:
            status, text = call()
        except Exception as error:  # the API must not end the relay, whatever a call does
            self.api.failed(f"{method} {path}: {error!r}")
            status, text = 503, "the call failed"
        return self.answer(status, text)

    # --- answers --------------------------------------------------------------------------------

    def answer(self, status: int, text: str = "") -> None:
        if self.done:
            return
        self.done = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(response(status, text))
            if self.transport.can_write_eof():
                self.transport.write_eof()
        if self.late is not None:
            self.late.cancel()
        # Whoever does not close after the answer is ended soon after.
        self.late = asyncio.get_running_loop().call_later(DEADLINE_S / 4.0, self.end)

    def end(self) -> None:
        self.done = True
        if self.transport is not None:
            self.transport.abort()


class OperatorApi:
    def __init__(
        self,
        routes: Routes,
        failed: Callable[[str], None],
        reading: BodyRoutes | None = None,
        body_most: int = MAX_BODY,
    ) -> None:
        self.routes, self.failed, self.reading, self.body_most = routes, failed, reading or {}, body_most
        self.calls: dict[Call, None] = {}  # oldest first
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Call(self), host, port, backlog=64)

    @property
    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def came(self, call: Call) -> None:
        self.calls[call] = None
        while len(self.calls) > MOST:
            oldest = next(iter(self.calls))
            del self.calls[oldest]
            oldest.end()

    def left(self, call: Call) -> None:
        self.calls.pop(call, None)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for call in list(self.calls):
            call.end()
