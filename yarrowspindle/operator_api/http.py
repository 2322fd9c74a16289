"""The operators' API: HTTP/1.1 on httptools, one call per connection, with limits on connections, bytes and time.

Each call is passed to the function for its path and method, whose result is the response. A call that is malformed or
too large gets a 4xx response; a slow one is closed, so that no caller occupies one of MAX_CALLS connections for longer
than CALL_TIMEOUT_S. Connections are accepted at a limited rate, and what callers send after their response is discarded
in turns, so that callers at full speed leave the event loop to the relay's clients.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from functools import partial
from http import HTTPStatus
from typing import cast

import httptools

from yarrowspindle.transport.inactivity_timer import InactivityTimer
from yarrowspindle.transport.listener import Listener
from yarrowspindle.transport.read_turns import ReadTurns

MAX_CALLS = 32  # concurrent connections; a further one replaces the oldest
MIN_AGE_S = 0.05  # of a connection that is replaced; new ones wait in the accept queue until then
CALL_TIMEOUT_S = 2.0  # time within which the whole request must arrive
LINGER_S = CALL_TIMEOUT_S / 4.0  # time for the caller to close the connection after the response
MAX_HEADER_BYTES = 8192  # the request line and the headers
MAX_URL_BYTES = 1024
MAX_BODY_BYTES = 4096
HEADER_SEPARATOR_BYTES = 4  # colon, space, CR and LF
LISTEN_BACKLOG = 1024

# RFC 9110, section 15. Defined here because the phrases of `http.HTTPStatus` differ between versions of Python.
REASON_PHRASES = {
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

Response = tuple[int, str]  # status and text body
Routes = Mapping[str, Mapping[str, Callable[[], Response]]]  # path -> method -> function
BodyRoutes = Mapping[str, Mapping[str, Callable[[bytes], Response]]]  # the same for functions that take the body


def encode_response(status: int, text: str = "") -> bytes:
    """Return the bytes of a response that announces the close of the connection."""
    body = text.encode()
    head = (
        f"HTTP/1.1 {status:d} {REASON_PHRASES.get(status, 'Unknown')}\r\ncontent-type: text/plain; charset=utf-8\r\n"
        f"content-length: {len(body)}\r\nconnection: close\r\n\r\n"
    )
    return head.encode() + body


class CallRejectedError(Exception):
    """The call is rejected with this status and not carried out."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status)
        self.status = status


def _rejection_status(error: httptools.HttpParserError) -> HTTPStatus:
    """Return the status for an error of the parser, which wraps the exceptions of its callbacks.

    The wrapped exception must not become a variable of `Call.data_received`: its traceback refers to that frame, and so
    the data would be kept until the next garbage collection.
    """
    cause = error.__context__
    return cause.status if isinstance(cause, CallRejectedError) else HTTPStatus.BAD_REQUEST


class Call(asyncio.BufferedProtocol):
    """One connection with one call. The body is stored only if some route of the API reads bodies."""

    def __init__(self, api: OperatorApi) -> None:
        self.api = api
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.url = b""
        self.body = b""
        self.bytes_before_body = 0  # as received, before parsing
        self.header_bytes = 0  # as parsed
        self.body_bytes = 0
        self.headers_complete = False
        self.done = False
        self.timeout: InactivityTimer | None = None

    # --- callbacks of the transport ---------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the call."""
        self.transport = cast(asyncio.Transport, transport)
        self.timeout = InactivityTimer(CALL_TIMEOUT_S, self.abort)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        del sizehint
        return self.api.read_turns.discard_buffer if self.done else self.api.read_turns.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was read into the buffer; after the response it is discarded."""
        if self.done:
            self.api.read_turns.wait(self.transport)
        else:
            self.data_received(bytes(self.api.read_turns.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and reject a call that is malformed or too large."""
        assert self.parser is not None
        try:
            if not self.headers_complete:
                self.bytes_before_body += len(data)
            self.parser.feed_data(data)
            if not self.headers_complete and self.bytes_before_body > MAX_HEADER_BYTES:
                raise CallRejectedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        except CallRejectedError as rejected:
            self.respond(rejected.status)
        except httptools.HttpParserUpgrade:
            self.respond(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as error:
            self.respond(_rejection_status(error))

    def eof_received(self) -> bool:
        """Reject a call that ends before it is complete."""
        if not self.done:
            self.respond(HTTPStatus.BAD_REQUEST)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the API."""
        self.done = True
        if self.timeout is not None:
            self.timeout.cancel()
        self.transport = None
        self.parser = None  # which refers to this object: without the cycle both are freed at once
        self.api.remove(self)

    # --- callbacks of the parser ------------------------------------------------------------------

    def on_url(self, url: bytes) -> None:
        """Collect the request target, which may arrive in several parts."""
        self.url += url
        if len(self.url) > MAX_URL_BYTES:
            raise CallRejectedError(HTTPStatus.REQUEST_URI_TOO_LONG)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reject headers that are too large, and a content length above the limit."""
        self.header_bytes += len(name) + len(value) + HEADER_SEPARATOR_BYTES
        if self.header_bytes > MAX_HEADER_BYTES:
            raise CallRejectedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if name.lower() == b"content-length" and value.strip().isdigit() and int(value) > self.api.max_body_bytes:
            raise CallRejectedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Record that the body follows."""
        self.headers_complete = True

    def on_body(self, body: bytes) -> None:
        """Count the bytes of the body, and store them if some route reads bodies."""
        self.body_bytes += len(body)
        if self.body_bytes > self.api.max_body_bytes:
            raise CallRejectedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if self.api.body_routes:
            self.body += body

    def on_message_complete(self) -> None:
        """Carry out the call and send the response."""
        assert self.parser is not None
        method = self.parser.get_method().decode("ascii", "replace")
        try:
            path = httptools.parse_url(self.url).path.decode("ascii")
        except (httptools.HttpParserInvalidURLError, UnicodeDecodeError):
            self.respond(HTTPStatus.BAD_REQUEST)
            return
        call = self._route(method, path)
        if call is None:
            return
        if self.body_bytes and method in ("GET", "HEAD"):
            self.respond(HTTPStatus.BAD_REQUEST, "a body where none is meant")
            return
        try:
            status, text = call()
        except Exception as error:  # a failing call must not end the process
            self.api.log_failure(f"{method} {path}: {error!r}")
            status, text = HTTPStatus.SERVICE_UNAVAILABLE, "the call failed"
        self.respond(status, text)

    def _route(self, method: str, path: str) -> Callable[[], Response] | None:
        """Return the function for this call, or None after sending an error response if there is none."""
        calls = self.api.routes.get(path, {})
        body_calls = self.api.body_routes.get(path, {})
        if not calls and not body_calls:
            self.respond(HTTPStatus.NOT_FOUND)
            return None
        if method in calls:
            return calls[method]
        if method in body_calls:
            return partial(body_calls[method], self.body)
        allowed = ", ".join(sorted({*calls, *body_calls}))
        self.respond(HTTPStatus.METHOD_NOT_ALLOWED, f"allowed: {allowed}")
        return None

    # --- responses --------------------------------------------------------------------------------

    def respond(self, status: int, text: str = "") -> None:
        """Send the response, at most once, and give the caller LINGER_S to close the connection."""
        if self.done:
            return
        self.done = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_response(status, text))
            if self.transport.can_write_eof():
                self.transport.write_eof()
        if self.timeout is not None:
            self.timeout.cancel()
        self.timeout = InactivityTimer(LINGER_S, self.abort)

    def abort(self) -> None:
        """Close the connection without a response."""
        self.done = True
        if self.transport is not None:
            self.transport.abort()


class OperatorApi:
    """The server of the operators' API.

    Args:
        routes: functions of calls without a body.
        log_failure: called with a message for each call whose function raised an exception.
        body_routes: functions of calls with a body.
        max_body_bytes: the limit on the body of a call; a larger one is rejected.
    """

    def __init__(
        self,
        routes: Routes,
        log_failure: Callable[[str], None],
        body_routes: BodyRoutes | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.routes = routes
        self.log_failure = log_failure
        self.body_routes = body_routes or {}
        self.max_body_bytes = max_body_bytes
        self.calls: dict[Call, float] = {}  # event loop time of each call's accept, oldest first
        self.listener: Listener | None = None
        self.loop = asyncio.get_running_loop()
        self.read_turns = ReadTurns()

    async def start(self, host: str, port: int) -> None:
        """Start to listen. Raise OSError if the address is not available."""
        self.listener = Listener(
            (host, port), LISTEN_BACKLOG, self._accept, self._make_room, self.log_failure, reuse_port=False
        )

    @property
    def port(self) -> int:
        """The port on which the started API listens."""
        assert self.listener is not None
        return int(self.listener.sock.getsockname()[1])

    def _accept(self) -> Call:
        call = Call(self)
        self.calls[call] = self.loop.time()
        return call

    def _make_room(self) -> bool:
        """Return whether one more connection may be accepted; abort the oldest one if that is needed and allowed."""
        if len(self.calls) < MAX_CALLS:
            return True
        oldest, accepted_at = next(iter(self.calls.items()))
        if oldest.transport is None or self.loop.time() < accepted_at + MIN_AGE_S:
            return False
        del self.calls[oldest]
        oldest.abort()
        return True

    def remove(self, call: Call) -> None:
        """Remove a closed connection."""
        self.calls.pop(call, None)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.listener is not None:
            self.listener.stop()
        for call in list(self.calls):
            call.abort()
