"""Slow responses with the endpoint list, and lists with invalid members."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from tests.stand_ins import SETTINGS, WATCH_RESPONSE_HEAD, LinePeer, RelayEnvironment, run
from yarrowspindle.daemon.config import ConfigError, read_config
from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.protocol.endpoint_list import ListError, ZoneAndKindNames, parse_list
from yarrowspindle.routing.effects import CancelHealthCheck, CheckHealth
from yarrowspindle.routing.events import Endpoint, EndpointsUpdated
from yarrowspindle.routing.reducer import Reducer

RESPONSE_DELAY_S = 0.9
MEMBER = {"id": "s-1", "host_port": "127.0.0.1:3000", "phase": "ready", "size": 1.0, "up_since_ms": 0}
INVALID_CHANGES: list[dict[str, Any]] = [
    {"size": float("nan")},
    {"size": float("inf")},
    {"size": -1.0},
    {"size": 1e300},
    {"up_since_ms": float("nan")},
    {"up_since_ms": float("inf")},
    {"up_since_ms": -5.0},
    {"cell": float("inf")},
    {"host_port": "127.0.0.1:70000"},
    {"host_port": "127.0.0.1:0"},
    {"id": ""},
    {"phase": 7},
]


@pytest.mark.parametrize("discovery", ("automatic", "subscribe"))
def test_a_slow_endpoint_list_response_is_used(tmp_path: Path, discovery: str) -> None:
    """Guard against a renewed call that ends the one before: pushed lists are renewed before a slow response."""

    async def body(env: RelayEnvironment) -> None:
        async def answer(peer: LinePeer) -> None:
            while await peer.read_line():
                pass
            await asyncio.sleep(RESPONSE_DELAY_S)
            peer.writer.write(
                WATCH_RESPONSE_HEAD
                + env.endpoint_list_chunk(True, env.endpoint("s-1", "draining"), env.endpoint("s-2"))
            )

        answering: list[asyncio.Future[None]] = []

        async def serve() -> None:
            while True:
                answering.append(asyncio.ensure_future(answer(await env.discovery.accepted.get())))

        serving = asyncio.ensure_future(serve())
        await asyncio.wait_for(env.next_log_line("s-1 draining"), 6.0)
        serving.cancel()

    run(tmp_path, body, discovery=discovery)


@pytest.mark.parametrize("changes", INVALID_CHANGES, ids=str)
def test_an_invalid_member_rejects_its_whole_list(changes: dict[str, Any]) -> None:
    with pytest.raises(ListError):
        parse_list({"revision": 1, "members": [MEMBER | changes]}, ZoneAndKindNames())
    with pytest.raises(ListError):
        parse_list({"revision": float("inf"), "members": [MEMBER]}, ZoneAndKindNames())
    configuration = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
    known = {"revision": 1, "members": [MEMBER | changes]}
    with pytest.raises(ConfigError):
        read_config(json.loads(json.dumps(configuration | {"known": known})))


def test_a_health_check_is_cancelled_when_its_backend_drains_is_removed_or_restarts() -> None:
    from tests.helpers import settings
    from yarrowspindle.decisions.events import ListKind

    reducer = Reducer(settings(may_probe=True, load_report_fields=("x0", "rif")), 1, 0.0)
    endpoints = [Endpoint(f"s-{n}", ("127.0.0.1", n)) for n in range(1, 5)]
    reducer.step(0.0, EndpointsUpdated(ListKind.FULL, endpoints))
    changed = [
        Endpoint("s-1", ("127.0.0.1", 1), EndpointState.DRAINING),
        Endpoint("s-2", ("127.0.0.1", 2), EndpointState.GONE),
        Endpoint("s-3", ("127.0.0.1", 3), started_ms=5.0),
    ]
    effects = reducer.step(10.0, EndpointsUpdated(ListKind.DELTA, changed))
    cancelled = {effect.backend for effect in effects if isinstance(effect, CancelHealthCheck)}
    assert cancelled == {"s-1", "s-2", "s-3"}
    assert not {effect.backend for effect in effects if isinstance(effect, CheckHealth)} & {"s-1", "s-2"}
