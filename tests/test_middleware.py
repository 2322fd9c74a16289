"""The middleware under Starlette and FastAPI, spoken to as a server speaks to an application."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest
from fastapi import FastAPI, Request
from fastapi.responses import StreamingResponse
from starlette.applications import Starlette
from starlette.routing import WebSocketRoute
from starlette.websockets import WebSocket

from tests.helpers import settings
from yarrowspindle.interface import RequestClass, State
from yarrowspindle.middleware import PlacementMiddleware
from yarrowspindle.middleware.asgi import Placement, Placer
from yarrowspindle.routing.messages import Machine

STREAM = [(b"accept", b"text/event-stream")]


def machines(*states: State) -> list[Machine]:
    return [Machine(f"s-{i}", ("127.0.0.1", 3000 + i), state) for i, state in enumerate(states, 1)]


class Client:
    """One scope, from the server's side."""

    def __init__(self, app: Any, **scope: Any) -> None:
        self.sent: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.inbox: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        base = {"type": "http", "method": "GET", "path": "/plan", "raw_path": b"/plan", "query_string": b"",
                "headers": STREAM, "root_path": "", "scheme": "http", "server": ("t", 80), "http_version": "1.1",
                "subprotocols": [], "client": ("127.0.0.1", 1)}  # fmt: skip
        self.task = asyncio.ensure_future(app(base | scope, self.inbox.get, self.sent.put))

    async def next(self) -> dict[str, Any]:
        return await asyncio.wait_for(self.sent.get(), 5.0)


def run(body: Callable[[Any, Placer, dict[str, Any]], Awaitable[None]], *states: State, **options: Any) -> None:
    async def inside() -> None:
        placer = Placer(settings(classes=(RequestClass(100.0, 400.0),), retry_after=True, max_retry_after_ms=2000.0), 3)
        placer.list_told(machines(*states))
        go: dict[str, Any] = {"end": asyncio.Event(), "unreachable": set(), "tried": []}
        api = FastAPI()

        @api.get("/plan")
        async def plan(request: Request) -> StreamingResponse:
            placement: Placement = request.scope["yarrowspindle"]
            go["tried"].append(placement.node)
            if placement.node in go["unreachable"]:
                raise placement.unreachable()
            go["placement"] = placement

            async def stream() -> AsyncIterator[str]:
                yield placement.node
                ends = [asyncio.ensure_future(e.wait()) for e in (go["end"], placement.moved)]
                await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)

            return StreamingResponse(stream())

        @api.get("/plain")
        async def plain(request: Request) -> bool:
            return "yarrowspindle" in request.scope

        await body(PlacementMiddleware(api, placer), placer, go)
        assert not placer.reducer.jobs and not placer.standing and not placer.waiting
        assert all(s.open == 0 for s in placer.reducer.balancer.servers.values())

    asyncio.run(inside())


def test_a_stream_is_placed_counted_and_let_go_of() -> None:
    async def body(app: Any, placer: Placer, go: dict[str, Any]) -> None:
        client = Client(app)
        assert (await client.next())["status"] == 200
        node = (await client.next())["body"].decode()
        assert [s.open for s in placer.reducer.balancer.servers.values()].count(1) == 1 and node in ("s-1", "s-2")
        go["end"].set()
        await client.task

    run(body, State.READY, State.READY)


def test_a_node_that_is_not_reached_costs_an_attempt_and_not_the_request() -> None:
    async def body(app: Any, placer: Placer, go: dict[str, Any]) -> None:
        go["unreachable"] = {"s-1"}
        go["end"].set()
        for _ in range(6):
            client = Client(app)
            assert (await client.next())["status"] == 200
            assert (await client.next())["body"] == b"s-2"
            await client.task
        assert "s-1" in go["tried"]

    run(body, State.READY, State.READY)


def test_a_refusal_is_503_with_retry_after_and_closes_a_websocket() -> None:
    async def body(app: Any, placer: Placer, go: dict[str, Any]) -> None:
        start = await Client(app).next()
        headers = dict(start["headers"])
        assert start["status"] == 503 and headers[b"retry-after"] in (b"1", b"2")
        socket = await Client(app, type="websocket", scheme="ws").next()
        assert (socket["type"], socket["code"]) == ("websocket.close", 1013)
        able = Client(app, type="websocket", scheme="ws", extensions={"websocket.http.response": {}})
        start = await able.next()
        assert (start["type"], start["status"]) == ("websocket.http.response.start", 503)

    run(body, State.DRAINING)


def test_a_client_that_leaves_while_it_waits_is_forgotten() -> None:
    async def body(app: Any, placer: Placer, go: dict[str, Any]) -> None:
        client = Client(app)
        while not placer.reducer.jobs:
            await asyncio.sleep(0)
        client.task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await client.task

    run(body, State.DRAINING)


def test_a_node_that_is_gone_ends_its_streams() -> None:
    async def body(app: Any, placer: Placer, go: dict[str, Any]) -> None:
        client = Client(app)
        await client.next()
        placer.list_told(machines(State.GONE))
        await client.task

    run(body, State.READY)


def test_short_requests_are_left_alone() -> None:
    async def body(app: Any, placer: Placer, go: dict[str, Any]) -> None:
        client = Client(app, path="/plain", raw_path=b"/plain", headers=[])
        assert (await client.next())["status"] == 200 and (await client.next())["body"] == b"false"
        await client.task

    run(body, State.READY)


def test_a_websocket_is_placed_before_it_is_accepted() -> None:
    async def body(app: Any, placer: Placer, go: dict[str, Any]) -> None:
        async def endpoint(websocket: WebSocket) -> None:
            await websocket.accept()
            await websocket.send_text(websocket.scope["yarrowspindle"].node)
            await websocket.close()

        wrapped = PlacementMiddleware(Starlette(routes=[WebSocketRoute("/plan", endpoint)]), placer)
        client = Client(wrapped, type="websocket", scheme="ws")
        client.inbox.put_nowait({"type": "websocket.connect"})
        types = [(await client.next())["type"] for _ in range(3)]
        assert types == ["websocket.accept", "websocket.send", "websocket.close"]
        await client.task

    run(body, State.READY)
