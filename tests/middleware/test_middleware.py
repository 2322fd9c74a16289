"""The middleware with Starlette and FastAPI applications; the tests act as the ASGI server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import httpx
import pytest
from fastapi import FastAPI, Request
from fastapi.responses import StreamingResponse
from starlette.applications import Starlette
from starlette.routing import WebSocketRoute
from starlette.testclient import TestClient
from starlette.websockets import WebSocket

from tests.helpers import settings
from tests.ports import free_port
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.decisions.settings import Idempotency, RequestClass
from yarrowspindle.library import (
    ConnectionClass,
    Endpoint,
    LibrarySettings,
    Placement,
    Placer,
    Rejected,
    StaticList,
)
from yarrowspindle.middleware import PlacementMiddleware, reach, relay_events, relay_websocket
from yarrowspindle.runtime import SystemClock

STREAM = [(b"accept", b"text/event-stream")]


def endpoints(*states: EndpointState) -> list[Endpoint]:
    return [Endpoint(f"s-{i}", ("127.0.0.1", 3000 + i), state) for i, state in enumerate(states, 1)]


class Client:
    """One scope of a client, as the server handles it."""

    def __init__(self, app: Any, **scope: Any) -> None:
        self.sent: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.inbox: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        base = {
            "type": "http",
            "method": "GET",
            "path": "/plan",
            "raw_path": b"/plan",
            "query_string": b"",
            "headers": STREAM,
            "root_path": "",
            "scheme": "http",
            "server": ("t", 80),
            "http_version": "1.1",
            "subprotocols": [],
            "client": ("127.0.0.1", 1),
        }
        self.task = asyncio.ensure_future(app(base | scope, self.inbox.get, self.sent.put))

    async def next(self) -> dict[str, Any]:
        return await asyncio.wait_for(self.sent.get(), 5.0)


def run(body: Callable[[Any, Placer, dict[str, Any]], Awaitable[None]], *states: EndpointState, **options: Any) -> None:
    async def main() -> None:
        placer = Placer(
            settings(classes=(RequestClass(100.0, 400.0),), clients_heed_retry_after=True, max_retry_after_ms=2000.0),
            StaticList(endpoints(*states)),
            seed=3,
        )
        await placer.start()
        controls: dict[str, Any] = {"end": asyncio.Event(), "unreachable": set(), "tried": []}
        api = FastAPI()

        @api.get("/plan")
        async def plan(request: Request) -> StreamingResponse:
            placement: Placement = request.scope["yarrowspindle"]
            controls["tried"].append(placement.backend)
            if placement.backend in controls["unreachable"]:
                raise placement.unreachable()
            controls["placement"] = placement

            async def stream() -> AsyncIterator[str]:
                yield placement.backend
                waits = [asyncio.ensure_future(event.wait()) for event in (controls["end"], placement.moved)]
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)

            return StreamingResponse(stream())

        @api.get("/plain")
        async def plain(request: Request) -> bool:
            return "yarrowspindle" in request.scope

        await body(PlacementMiddleware(api, placer), placer, controls)
        assert not placer.reducer.requests and not placer.placements and not placer.entered
        assert all(backend.connections == 0 for backend in placer.reducer.balancer.backends.values())

    asyncio.run(main())


def test_a_stream_is_placed_counted_and_released() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        client = Client(app)
        assert (await client.next())["status"] == 200
        backend = (await client.next())["body"].decode()
        assert [server.connections for server in placer.reducer.balancer.backends.values()].count(
            1
        ) == 1 and backend in (
            "s-1",
            "s-2",
        )
        controls["end"].set()
        await client.task

    run(body, EndpointState.READY, EndpointState.READY)


def test_an_unreachable_backend_fails_the_attempt_but_not_the_request() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        controls["unreachable"] = {"s-1"}
        controls["end"].set()
        for _ in range(6):
            client = Client(app)
            assert (await client.next())["status"] == 200
            assert (await client.next())["body"] == b"s-2"
            await client.task
        assert "s-1" in controls["tried"]

    run(body, EndpointState.READY, EndpointState.READY)


def test_a_rejection_is_503_with_retry_after_and_closes_a_websocket() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        start = await Client(app).next()
        headers = dict(start["headers"])
        assert start["status"] == 503 and headers[b"retry-after"] in (b"1", b"2")
        socket = await Client(app, type="websocket", scheme="ws").next()
        assert (socket["type"], socket["code"]) == ("websocket.close", 1013)
        with_response_extension = Client(app, type="websocket", scheme="ws", extensions={"websocket.http.response": {}})
        start = await with_response_extension.next()
        assert (start["type"], start["status"]) == ("websocket.http.response.start", 503)

    run(body, EndpointState.DRAINING)


def test_a_client_that_leaves_while_it_waits_is_forgotten() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        client = Client(app)
        while not placer.reducer.requests:
            await asyncio.sleep(0)
        client.task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await client.task

    run(body, EndpointState.DRAINING)


def test_a_backend_that_is_gone_ends_its_streams() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        client = Client(app)
        await client.next()
        assert isinstance(placer.source, StaticList)
        placer.source.change(endpoints(EndpointState.GONE))
        await client.task

    run(body, EndpointState.READY)


def test_short_requests_are_not_placed() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        client = Client(app, path="/plain", raw_path=b"/plain", headers=[])
        assert (await client.next())["status"] == 200 and (await client.next())["body"] == b"false"
        await client.task

    run(body, EndpointState.READY)


def test_a_websocket_is_placed_before_it_is_accepted() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        async def endpoint(websocket: WebSocket) -> None:
            await websocket.accept()
            await websocket.send_text(websocket.scope["yarrowspindle"].backend)
            await websocket.close()

        wrapped = PlacementMiddleware(Starlette(routes=[WebSocketRoute("/plan", endpoint)]), placer)
        client = Client(wrapped, type="websocket", scheme="ws")
        client.inbox.put_nowait({"type": "websocket.connect"})
        types = [(await client.next())["type"] for _ in range(3)]
        assert types == ["websocket.accept", "websocket.send", "websocket.close"]
        await client.task

    run(body, EndpointState.READY)


def test_an_application_that_fails_before_its_response_leaves_no_request_and_after_it_ends_one() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        for started in (False, True):

            async def broken(scope: Any, receive: Any, send: Any, started: bool = started) -> None:
                if started:
                    await send({"type": "http.response.start", "status": 200, "headers": []})
                raise LookupError("an error of the application")

            client = Client(PlacementMiddleware(broken, placer))
            with pytest.raises(LookupError):
                await client.task
            assert not placer.placements and not placer.reducer.requests

    run(body, EndpointState.READY)


def test_an_error_page_of_the_application_counts_for_no_backend() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        client = Client(app, path="/none", raw_path=b"/none")
        assert (await client.next())["status"] == 404
        await client.task
        assert "up" not in placer.counters()

    run(body, EndpointState.READY)


def test_extracted_arguments_reach_the_reducer_and_an_unknown_class_is_a_400() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        seen: list[Any] = []
        placer.runtime.event_observers.append(lambda now, event: seen.append(event))
        wrapped = PlacementMiddleware(
            app,
            placer,
            key=lambda scope: 7,
            group=lambda scope: 9,
            deadline=lambda scope: 0.3,
            returned=lambda scope: True,
        )
        client = Client(wrapped)
        controls["end"].set()
        await client.task
        arrived = seen[0]
        assert (arrived.key, arrived.group, arrived.remaining_ms, arrived.returned) == (7, 9, 300.0, True)
        unknown_class = Client(PlacementMiddleware(app, placer, cls=lambda scope: "nobody"))
        assert (await unknown_class.next())["status"] == 400
        socket = Client(PlacementMiddleware(app, placer, cls=lambda scope: 3), type="websocket", scheme="ws")
        assert (await socket.next())["code"] == 1008
        with pytest.raises(TypeError, match="clas"):
            PlacementMiddleware(app, placer, clas=lambda scope: 0)

    run(body, EndpointState.READY)


@pytest.mark.parametrize("idempotency", list(Idempotency))
@pytest.mark.parametrize("scope_type", ["http", "websocket"])
def test_an_application_that_gives_up_after_it_sent_the_request_is_run_again_only_if_that_is_safe(
    scope_type: str, idempotency: Idempotency
) -> None:
    """Guard against a request that runs at two backends, or whose client is told when to retry although it may have."""

    async def body() -> None:
        tried: list[str] = []

        async def app(scope: Any, receive: Any, send: Any) -> None:
            placement: Placement = scope["yarrowspindle"]
            tried.append(placement.backend)
            placement.reached()
            raise placement.unreachable()

        classes = (RequestClass(100.0, 400.0, idempotency),)
        source = StaticList(endpoints(EndpointState.READY, EndpointState.READY))
        async with Placer(settings(classes=classes, max_attempts=2), source, seed=3) as placer:
            extensions: dict[str, Any] = {"websocket.http.response": {}}
            answer = await Client(PlacementMiddleware(app, placer), type=scope_type, extensions=extensions).next()
        is_safe = idempotency is Idempotency.IDEMPOTENT
        assert len(tried) == (2 if is_safe else 1)
        assert answer["status"] == (503 if is_safe else 502)
        assert (b"retry-after" in dict(answer["headers"])) is is_safe

    asyncio.run(body())


class FakeLink:
    """The link of `relay_websocket` to a backend that echoes each message."""

    def __init__(self) -> None:
        self.out: asyncio.Queue[str | None] = asyncio.Queue()
        self.closed = False

    async def read(self) -> str | None:
        return await self.out.get()

    async def write(self, message: str) -> None:
        self.out.put_nowait(f"echo {message}")

    async def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize("end, code", [("moved", 1012), ("backend", 1000), ("client", 0)])
def test_a_websocket_is_relayed_until_one_side_ends_or_it_is_moved(end: str, code: int) -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        link, refused = FakeLink(), ["s-1"]

        async def open_link(address: Any) -> FakeLink:
            if refused:
                refused.pop()
                raise ConnectionRefusedError
            return link

        async def endpoint(websocket: WebSocket) -> None:
            await relay_websocket(websocket, websocket.scope["yarrowspindle"], open_link)

        wrapped = PlacementMiddleware(Starlette(routes=[WebSocketRoute("/plan", endpoint)]), placer)
        client = Client(wrapped, type="websocket", scheme="ws")
        client.inbox.put_nowait({"type": "websocket.connect"})
        assert (await client.next())["type"] == "websocket.accept"
        client.inbox.put_nowait({"type": "websocket.receive", "text": "hello"})
        assert (await client.next())["text"] == "echo hello"
        (request,) = placer.reducer.requests.values()
        assert not request.unanswered, "the message and its answer are reported"
        if end == "moved":
            assert isinstance(placer.source, StaticList)
            placer.source.change([])
        elif end == "backend":
            link.out.put_nowait(None)
        else:
            client.inbox.put_nowait({"type": "websocket.disconnect", "code": 1001})
        if code:
            assert (await client.next())["code"] == code
        await client.task
        assert link.closed

    run(body, EndpointState.READY, EndpointState.READY)


@pytest.mark.parametrize("stream", ["websocket", "event stream"])
@pytest.mark.parametrize(("rest", "code"), [(b"ne\r\n", 1000), (b"", 1011)], ids=("whole line", "half a line"))
def test_a_backend_that_ends_within_a_line_sends_no_message(stream: str, rest: bytes, code: int) -> None:
    """Guard against half a line of a broken backend that a client receives as a whole message."""

    async def body() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"first\r\na li" + rest)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", free_port())
        source = StaticList([Endpoint("s-1", server.sockets[0].getsockname()[:2])])
        async with Placer(LibrarySettings(), source, seed=3) as placer:
            if stream == "websocket":
                received, last = await websocket_messages(placer)
                assert last == code
            else:
                async with placer.place() as placement:
                    link = await reach(placement)
                    placement.up()
                    received = [event.decode() async for event in relay_events(placement, link)]
            whole = ["first", "a line"][: 1 + bool(rest)]
            assert received == (whole if stream == "websocket" else [f"data: {message}\n\n" for message in whole])
        server.close()

    asyncio.run(body())


async def websocket_messages(placer: Placer) -> tuple[list[str], int]:
    """Return the messages that a websocket receives over `relay_websocket`, and the code that closes it."""

    async def endpoint(websocket: WebSocket) -> None:
        await relay_websocket(websocket, websocket.scope["yarrowspindle"])

    wrapped = PlacementMiddleware(Starlette(routes=[WebSocketRoute("/plan", endpoint)]), placer)
    client = Client(wrapped, type="websocket", scheme="ws")
    client.inbox.put_nowait({"type": "websocket.connect"})
    assert (await client.next())["type"] == "websocket.accept"
    received = []
    while (message := await client.next())["type"] == "websocket.send":
        received.append(message["text"])
    await client.task
    return received, message["code"]


class JumpingClock:
    """The system clock with jumps, each of which simulates an event loop that was blocked for that time."""

    def __init__(self) -> None:
        self.system, self.jumped_ms = SystemClock(), 0.0

    def now(self) -> float:
        return self.system.now() + self.jumped_ms


@pytest.mark.parametrize("late_ms", [298.0, 2000.0], ids=("no time to send it", "answered at the deadline"))
def test_a_link_is_closed_if_the_request_ends_while_it_is_opened(late_ms: float) -> None:
    """Guard against a link that stays open and carries a request that was rejected while the link was being opened."""

    async def body() -> None:
        clock, links = JumpingClock(), list[FakeLink]()
        classes = LibrarySettings(classes=(ConnectionClass("chat", aim_s=0.1, deadline_s=0.3),))
        async with Placer(classes, StaticList(endpoints(EndpointState.READY)), seed=3, clock=clock) as placer:

            async def open_link(address: Any) -> FakeLink:
                links.append(FakeLink())
                clock.jumped_ms += late_ms
                return links[-1]

            with pytest.raises(Rejected):
                async with placer.place() as placement:
                    await reach(placement, open_link)
        assert links and all(link.closed for link in links)

    asyncio.run(body())


def test_the_lifespan_starts_and_closes_the_placer_with_and_without_the_applications_help() -> None:
    async def unaware(scope: Any, receive: Any, send: Any) -> None:
        raise RuntimeError("the lifespan protocol is not supported")

    order: list[str] = []

    @asynccontextmanager
    async def app_lifespan(app: FastAPI) -> AsyncIterator[None]:
        order.append("app starts")
        yield
        order.append("app ends")

    async def body() -> None:
        for app in (unaware, FastAPI(lifespan=app_lifespan)):
            placer = Placer(settings(), StaticList(endpoints(EndpointState.READY)), seed=1)
            client = Client(PlacementMiddleware(app, placer), type="lifespan")
            client.inbox.put_nowait({"type": "lifespan.startup"})
            assert (await client.next())["type"] == "lifespan.startup.complete" and placer.state == "open"
            client.inbox.put_nowait({"type": "lifespan.shutdown"})
            assert (await client.next())["type"] == "lifespan.shutdown.complete" and placer.state == "closed"
            await client.task
        assert order == ["app starts", "app ends"]

    asyncio.run(body())


def test_a_stream_that_ignores_its_migration_is_ended_at_the_close() -> None:
    async def body() -> None:
        placer = Placer(settings(), StaticList(endpoints(EndpointState.READY)), seed=1)
        await placer.start()

        async def ignore_migration(scope: Any, receive: Any, send: Any) -> None:
            message_type = "websocket.accept" if scope["type"] == "websocket" else "http.response.start"
            await send({"type": message_type, "status": 200, "headers": []})
            await asyncio.Event().wait()

        clients = [
            Client(PlacementMiddleware(ignore_migration, placer)),
            Client(PlacementMiddleware(ignore_migration, placer), type="websocket", scheme="ws"),
        ]
        for client in clients:
            await client.next()
        await placer.close(0.05)
        assert await clients[0].next() == {"type": "http.response.body", "body": b"", "more_body": False}
        assert (await clients[1].next())["code"] == 1012
        for client in clients:
            await client.task
        rejected = Client(PlacementMiddleware(ignore_migration, placer))
        assert (await rejected.next())["status"] == 503
        assert placer.counters()["cut"] == 2 and not placer.reducer.requests

    asyncio.run(body())


def test_a_client_that_leaves_at_any_await_point_leaves_no_request() -> None:
    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        for steps in range(12):
            client = Client(app)
            for _ in range(steps):
                await asyncio.sleep(0)
            client.task.cancel()
            await asyncio.gather(client.task, return_exceptions=True)
            assert not placer.reducer.requests and not placer.entered, f"after {steps} steps"

    run(body, EndpointState.READY, EndpointState.READY)


def test_starlettes_and_httpxs_own_clients_are_placed_too() -> None:
    async def socket(websocket: WebSocket) -> None:
        await websocket.accept()
        await websocket.send_text(websocket.scope["yarrowspindle"].backend)
        await websocket.close()

    placer = Placer(settings(), StaticList(endpoints(EndpointState.READY)), seed=1)
    app = PlacementMiddleware(Starlette(routes=[WebSocketRoute("/plan", socket)]), placer)
    with TestClient(app) as client, client.websocket_connect("/plan") as connection:
        assert connection.receive_text() == "s-1"
    assert placer.state == "closed" and placer.counters()["up"] == 1

    async def body(app: Any, placer: Placer, controls: dict[str, Any]) -> None:
        controls["end"].set()
        transport = httpx.ASGITransport(app=app)
        async with httpx.AsyncClient(transport=transport, base_url="http://t") as client:
            answer = await client.get("/plan", headers={"accept": "text/event-stream"})
            assert (answer.status_code, answer.text) == (200, "s-1")
            placer.source.change([])  # type: ignore[union-attr]
            answer = await client.get("/plan", headers={"accept": "text/event-stream"})
            assert answer.status_code == 503 and int(answer.headers["retry-after"]) >= 1

    run(body, EndpointState.READY)
