"""Place each long-lived scope of an ASGI application (Starlette, FastAPI or any other) on a backend.

The application gets its Placement from `scope["yarrowspindle"]` and connects to the backend itself. A scope that cannot
be placed is answered with 503 and Retry-After, and one that may have run at a backend with 502. A websocket is closed
with 1013 or 1011 before it is accepted if the server does not support the ASGI extension `websocket.http.response`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, MutableMapping
from math import ceil
from typing import Any

from yarrowspindle.library.errors import (
    BackendDropped,
    BackendUnreachable,
    Failed,
    PlacementError,
    PlacerClosed,
    Rejected,
)
from yarrowspindle.library.placement import Placement
from yarrowspindle.library.placer import Placer
from yarrowspindle.library.settings import SettingError
from yarrowspindle.routing.termination import TerminationReason

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

log = logging.getLogger("yarrowspindle")
SCOPE_KEY = "yarrowspindle"
# Close codes of websockets from the registry of IANA.
WS_POLICY_VIOLATION = 1008
WS_SERVICE_RESTART = 1012
WS_TRY_AGAIN_LATER = 1013
MAX_WS_REASON_CHARACTERS = 100
FIRST_ERROR_STATUS = 400
DEFAULT_RETRY_AFTER_S = 1.0
WS_INTERNAL_ERROR = 1011
REJECTION_BODY = b"no execute node has room\n"  # published, so that it does not change
FAILURE_BODY = b"the request failed and may have run\n"
PLACE_ARGUMENTS = frozenset(("key", "group", "load", "deadline", "cls", "tenant", "returned"))


class PlacementMiddleware:
    """Wrap an application and place its long-lived scopes.

    Args:
        app: The application.
        placer: The placer of its scopes.
        long_lived: Returns whether a scope is placed; by default, all websockets and event streams are.
        lifespan: Whether the placer is started and closed with the application's lifespan.
        extractors: Functions that return an argument of `Placer.place` from the scope, by the name of the argument
            (key, group, load, deadline, cls, tenant, returned). If one raises ValueError, or its class or tenant is
            unknown, the scope is answered with 400, a websocket closed with 1008.
    """

    def __init__(
        self,
        app: App,
        placer: Placer,
        *,
        long_lived: Callable[[Scope], bool] | None = None,
        lifespan: bool = True,
        **extractors: Callable[[Scope], Any],
    ) -> None:
        unknown = extractors.keys() - PLACE_ARGUMENTS
        if unknown:
            raise TypeError(
                f"unknown arguments: {', '.join(sorted(unknown))}; known are {', '.join(sorted(PLACE_ARGUMENTS))}"
            )
        self.app = app
        self.placer = placer
        self.extractors = extractors
        self.long_lived = long_lived or is_websocket_or_event_stream
        self.lifespan = lifespan

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one scope."""
        if scope["type"] == "lifespan" and self.lifespan:
            await Lifespan(self.placer, receive, send).run(self.app, scope)
        elif scope["type"] in ("http", "websocket") and self.long_lived(scope):
            await self._place(scope, receive, send)
        else:
            await self.app(scope, receive, send)

    async def _place(self, scope: Scope, receive: Receive, send: Send) -> None:
        try:
            event = self.placer.arrival(**{name: extract(scope) for name, extract in self.extractors.items()})
        except (SettingError, ValueError) as error:
            await send_response(scope, send, 400, WS_POLICY_VIOLATION, f"{error}\n".encode(), [])
            return
        try:
            placement = await self.placer.begin(event)
        except PlacementError as error:
            await send_rejection(scope, send, error)
            return
        interceptor = ResponseInterceptor(scope, send, placement)
        has_succeeded = False
        try:
            await self._run(scope, receive, interceptor)
            has_succeeded = True
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if not placement.cut or task is None or task.uncancel() > 0:
                raise
            await interceptor.close()  # the application ignored `moved` until the end of the placer's close
        finally:
            placement.finish(has_succeeded)

    async def _run(  # noqa: C901  # a branch for each way in which an application may fail
        self, scope: Scope, receive: Receive, interceptor: ResponseInterceptor
    ) -> None:
        """Run the application for one backend after the other until it responds or no backend is left."""
        placement = interceptor.placement
        while True:
            placement.ending = None
            try:
                await self.app({**scope, SCOPE_KEY: placement}, receive, interceptor.send)
                if interceptor.started or interceptor.error is None:
                    return
            except (BackendUnreachable, BackendDropped):
                if interceptor.started:
                    placement.ending = TerminationReason.CONNECTION_RESET
                    raise
            except (Rejected, Failed, PlacerClosed) as error:
                if interceptor.started:
                    raise
                interceptor.error = error
            except Exception:
                if interceptor.started:
                    placement.ending = TerminationReason.BACKEND_ERROR
                    raise
                if interceptor.error is None:  # else the framework has replaced our error with one of its own
                    raise
            if not isinstance(interceptor.error, Rejected | Failed | PlacerClosed):
                try:
                    ending, placement.ending = placement.ending or placement.failure, None
                    await placement.failed(ending)
                    interceptor.error = None
                    continue
                except PlacementError as error:
                    interceptor.error = error
            await send_rejection(scope, interceptor.server_send, interceptor.error)
            return


class ResponseInterceptor:
    """Forward the messages of the application to the server, unless another backend is to be tried.

    The start of a response with a status below 400, or an accepted websocket, is the final answer of the request.

    Attributes:
        started: Whether a response has started.
        ended: Whether a response has ended.
        error: The reason why the response of this attempt is discarded; None if it is not.
    """

    def __init__(self, scope: Scope, server_send: Send, placement: Placement) -> None:
        self.scope = scope
        self.server_send = server_send
        self.placement = placement
        self.started = False
        self.ended = False
        self.error: Exception | None = None

    async def send(self, message: Message) -> None:
        """Forward a message, or discard it if another backend is to be tried.

        Raises:
            PlacementError: The response would start, but the backend of this attempt may no longer be used.
        """
        message_type = message["type"]
        if not self.started:
            gave_up = self.placement.reported_unreachable or self.placement.ending is TerminationReason.CONNECT_FAILED
            if self.error is None and gave_up:
                self.error = BackendUnreachable(self.placement.backend)
            if self.error is not None:
                return  # the error page of the framework for an attempt that is followed by another
            if message_type == "websocket.accept" or (
                message_type == "http.response.start" and message["status"] < FIRST_ERROR_STATUS
            ):
                try:
                    self.placement.up()
                except PlacementError as error:
                    self.error = error
                    raise
                self.started = True
            elif message_type in ("http.response.start", "websocket.close", "websocket.http.response.start"):
                self.placement.leave()  # the application itself rejects the client
                self.started = True
        if message_type == "websocket.close" or (
            message_type == "http.response.body" and not message.get("more_body", False)
        ):
            self.ended = True
        await self.server_send(message)

    async def close(self) -> None:
        """End the response such that the client reconnects."""
        if self.ended:
            return
        self.ended = True
        if not self.started:
            await send_rejection(self.scope, self.server_send, PlacerClosed("the placer is closing"))
        elif self.scope["type"] == "websocket":
            await self.server_send({"type": "websocket.close", "code": WS_SERVICE_RESTART, "reason": "come again"})
        else:
            await self.server_send({"type": "http.response.body", "body": b"", "more_body": False})


class Lifespan:
    """Start the placer before the application starts up, and close it before the application shuts down.

    If the application does not support the lifespan protocol, this class answers the server in its place.

    Attributes:
        last_received: The type of the last message from the server.
        last_sent: The type of the last message to the server.
    """

    def __init__(self, placer: Placer, receive: Receive, send: Send) -> None:
        self.placer = placer
        self.server_receive = receive
        self.server_send = send
        self.last_received = ""
        self.last_sent = ""

    async def run(self, app: App, scope: Scope) -> None:
        """Run the application for its lifespan scope."""
        try:
            await app(scope, self.receive, self.send)
        except Exception:
            if self.last_sent:
                raise
            log.debug(
                "the application does not support the lifespan protocol; the middleware answers for it", exc_info=True
            )
        if not self.last_sent:
            if not self.last_received:
                await self.receive()
            await self.send({"type": "lifespan.startup.complete"})
        if self.last_received != "lifespan.shutdown":
            await self.receive()
            await self.send({"type": "lifespan.shutdown.complete"})

    async def receive(self) -> Message:
        """Receive a message, and start or close the placer before the application gets it."""
        message = await self.server_receive()
        self.last_received = message["type"]
        if self.last_received == "lifespan.startup":
            await self.placer.start()
        elif self.last_received == "lifespan.shutdown":
            await self.placer.close()
        return message

    async def send(self, message: Message) -> None:
        """Forward a message; close the placer first if the startup of the application has failed."""
        self.last_sent = message["type"]
        if self.last_sent == "lifespan.startup.failed":
            await self.placer.close(0.0)
        await self.server_send(message)


def is_websocket_or_event_stream(scope: Scope) -> bool:
    """Return whether the scope is a websocket or its client accepts an event stream."""
    if scope["type"] == "websocket":
        return True
    return any(name == b"accept" and b"text/event-stream" in value for name, value in scope["headers"])


async def send_rejection(scope: Scope, send: Send, error: Exception | None) -> None:
    """Answer a scope that was not placed: with advice when to retry, unless an attempt may have run.

    Args:
        scope: The scope of the client.
        send: The server's function that sends a message.
        error: The reason, whose `retry_after` is sent if it is Rejected.
    """
    if isinstance(error, Failed):
        await send_response(scope, send, 502, WS_INTERNAL_ERROR, FAILURE_BODY, [])
        return
    retry_after_s = error.retry_after if isinstance(error, Rejected) else DEFAULT_RETRY_AFTER_S
    headers = [(b"retry-after", b"%d" % max(1, ceil(retry_after_s)))]
    await send_response(scope, send, 503, WS_TRY_AGAIN_LATER, REJECTION_BODY, headers)


async def send_response(
    scope: Scope, send: Send, status: int, code: int, body: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    """Answer a scope in place of the application.

    Args:
        scope: The scope of the client.
        send: The server's function that sends a message.
        status: The status of the HTTP response, which a websocket also gets if the server supports the extension.
        code: The close code of the websocket if the server does not.
        body: The body of the response, in UTF-8.
        headers: The headers of the response, without its content type.
    """
    message_type = "http.response"
    if scope["type"] == "websocket":
        if "websocket.http.response" not in (scope.get("extensions") or {}):  # the server cannot send a response
            reason = body.decode(errors="replace").strip()[:MAX_WS_REASON_CHARACTERS]
            await send({"type": "websocket.close", "code": code, "reason": reason})
            return
        message_type = "websocket.http.response"
    headers = [(b"content-type", b"text/plain; charset=utf-8"), *headers]
    await send({"type": f"{message_type}.start", "status": status, "headers": headers})
    await send({"type": f"{message_type}.body", "body": body})
