"""Operation of a relay: upgrades, the operators' API, telemetry, drain and changes of settings."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.ports import free_port
from tests.stand_ins import SETTINGS, TIMEOUT_S, RelayEnvironment, relay
from yarrowspindle.daemon.config import read_config
from yarrowspindle.daemon.settings_update import merge_settings
from yarrowspindle.decisions.settings import RequestClass, Settings
from yarrowspindle.routing.events import ClientDisconnected, RequestReceived
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.telemetry import Telemetry
from yarrowspindle.telemetry.counts import MAX_CLASSES
from yarrowspindle.transport.listener import Listener


def run(tmp: Path, body: Callable[[RelayEnvironment], Awaitable[None]]) -> None:
    async def inside() -> None:
        async with relay(tmp) as env:
            if os.environ.get("ROUTER_OPERATOR"):
                await env.next_log_line("operators' API")
            await asyncio.wait_for(body(env), 6 * TIMEOUT_S)

    asyncio.run(inside())


def test_a_second_process_of_the_relay_can_listen_at_the_same_address() -> None:
    async def inside() -> None:
        port = free_port()
        first = Listener(("127.0.0.1", port), 16, asyncio.Protocol, lambda: True, print)
        second = Listener(("127.0.0.1", port), 16, asyncio.Protocol, lambda: True, print)
        assert first.sock.getsockname() == second.sock.getsockname()
        await first.close(1.0)
        await second.close(1.0)

    asyncio.run(inside())


async def call(port: int, request: bytes) -> tuple[int, str]:
    """Return status and body of a call of the operators' API; (0, "") if the connection ends without a response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    answer = await asyncio.wait_for(reader.read(), TIMEOUT_S)
    writer.close()
    if not answer:
        return 0, ""
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body.decode()


@pytest.fixture
def port(monkeypatch: pytest.MonkeyPatch) -> int:
    """Return the port at which the relay's operators' API is to listen."""
    unused_port = free_port()
    monkeypatch.setenv("ROUTER_OPERATOR", f"127.0.0.1:{unused_port}")
    return unused_port


def http_request(method: str, path: str) -> bytes:
    return f"{method} {path} HTTP/1.1\r\nhost: relay\r\n\r\n".encode()


def test_evacuate_answers_no_to_ping_and_migrates_connections_until_rejoin(tmp_path: Path, port: int) -> None:

    async def body(env: RelayEnvironment) -> None:
        assert await call(port, http_request("GET", "/api/ready")) == (200, "ready\n")
        client, _, _ = await env.established_connection()
        for _ in range(2):  # the second call changes nothing
            assert (await call(port, http_request("PUT", "/api/evacuate")))[0] == 200
        assert (await call(port, http_request("GET", "/api/ready")))[0] == 503
        ping = await env.connect_client("PING")
        assert await ping.read_line() == "NO"
        assert await client.read_line() == "MOVE", "established connections are migrated"
        assert env.process.returncode is None, "the process keeps running"
        assert (await call(port, http_request("PUT", "/api/rejoin")))[0] == 200
        assert await call(port, http_request("GET", "/api/ready")) == (200, "ready\n")
        again = await env.connect_client("PING")
        assert await again.read_line() == "PONG"
        figures = dict(line.split("=") for line in (await call(port, http_request("GET", "/api/telemetry")))[1].split())
        assert figures["success.chat"] == "1" and figures["hosts_listed"] == "2" and figures["backend_calls"] == "1"

    run(tmp_path, body)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (http_request("GET", "/api/nothing"), 404),
        (http_request("DELETE", "/api/ready"), 405),
        (http_request("GET", "/api/evacuate"), 405),
        (b"GET /api/ready HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc", 400),
        (b"PUT /api/evacuate HTTP/1.1\r\ncontent-length: 99999\r\n\r\n", 413),
        (b"GET /api/ready HTTP/1.1\r\nx: " + b"y" * 9000 + b"\r\n\r\n", 431),
        (b"what is this\r\n\r\n", 400),
        (b"GET /api/ready HTTP/1.1\r\nhost", 400),  # incomplete, followed by EOF
    ],
)
def test_bad_calls_get_a_plain_4xx_and_the_connection_closed(
    tmp_path: Path, port: int, sent: bytes, status: int
) -> None:

    async def body(env: RelayEnvironment) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent)
        if sent.endswith(b"host"):
            writer.write_eof()
        answer = await asyncio.wait_for(reader.read(), TIMEOUT_S)
        assert int(answer.split()[1]) == status
        assert (await call(port, http_request("GET", "/api/ready")))[0] == 200, "the API still works"

    run(tmp_path, body)


def test_incomplete_calls_do_not_delay_other_callers(tmp_path: Path, port: int) -> None:

    async def body(env: RelayEnvironment) -> None:
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(100)]
        for _, writer in idle:
            writer.write(b"GET /api/re")
        started = asyncio.get_running_loop().time()
        assert (await call(port, http_request("GET", "/api/ready")))[0] == 200
        assert asyncio.get_running_loop().time() - started < 1.0
        ended = await asyncio.wait_for(idle[-1][0].read(), TIMEOUT_S)  # closed at its timeout without a response
        assert ended == b""
        for _, writer in idle:
            writer.close()

    run(tmp_path, body)


def figures_of(text: str) -> dict[str, int]:
    return {name: int(value) for name, value in (line.split("=") for line in text.split())}


def test_new_settings_do_not_renumber_tenants_or_zones() -> None:
    realms = [{"name": "acme", "share": 0.7}, {"name": "b", "share": 0.3}]
    raw = SETTINGS | {"azs": ["a", "b"], "zone": 1, "realms": realms}
    data = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": raw}
    old = read_config(data)
    raw = raw | {"azs": ["b", "a", "c"], "zone": 0, "realms": realms[::-1]}
    raw["family_info"] = raw["family_info"] | {"message_aim_ms": [90.0]}
    new = merge_settings(old, read_config(data | {"settings": raw}))
    assert new.tenants == ["acme", "b"] and [t.share for t in new.settings.tenants] == [0.7, 0.3]
    assert (new.names, new.settings.zone, new.settings.zones) == (old.names, 1, 2)
    assert (
        new.classes == ["chat", "chat"] and new.current_classes == {"chat": 1} and new.settings.slow_message_ms == 30.0
    )


def test_settings_at_sighup_are_applied_completely_or_not_at_all(tmp_path: Path, port: int) -> None:
    chat = dict(SETTINGS["categories"][0])

    async def body(env: RelayEnvironment) -> None:
        config = json.loads(env.config_file.read_text())
        client, _, backend = await env.established_connection()
        invalid_texts = ["", json.dumps(config)[:-40], json.dumps(config | {"settings": {}})]
        for changed in ({"deadline_ms": 0.0}, {"deadline_ms": -5.0}):
            invalid_texts.append(json.dumps(config | {"settings": SETTINGS | {"categories": [chat | changed]}}))
        fewer = SETTINGS["limits"] | {"max_attempts": 0}
        invalid_texts.append(json.dumps(config | {"settings": SETTINGS | {"limits": fewer}}))
        for text in invalid_texts:
            env.config_file.write_text(text)  # the exact text, even if empty
            env.process.send_signal(signal.SIGHUP)
            await env.next_log_line("is rejected")
        new_settings = SETTINGS | {"categories": [chat | {"name": "video", "deadline_ms": 900.0}]}
        env.reload(json.dumps(config | {"settings": new_settings}))
        await env.next_log_line("new settings are in force")
        figures = figures_of((await call(port, http_request("GET", "/api/telemetry")))[1])
        assert figures["reconfig_failed"] == len(invalid_texts) and figures["reconfig_ok"] == 1
        refused = await env.open_request()  # the class chat was removed: its new requests are rejected
        assert await refused.read_line() == "ERR"
        video = await env.connect_client("OPEN 00000000000000aa 7f3a9c21e0b4d655 c=video,t=acme,d=800,g=5c0f")
        _, other, _ = await env.next_attempt()
        other.send_lines("UP r2")
        assert await video.read_line() == "UP r2"
        backend.send_lines("still here")
        assert await client.read_line() == "still here", "an established connection keeps its class"
        figures = figures_of((await call(port, http_request("GET", "/api/telemetry")))[1])
        assert figures["success.chat"] == 1 and figures["success.video"] == 1 and figures["failure.chat"] == 0

    run(tmp_path, body)


def test_telemetry_tells_a_bounded_number_of_class_names_apart() -> None:
    """Guard against unbounded counters: settings change thousands of times a day, each with another class name."""
    reducer = Reducer(Settings(classes=(RequestClass(setup_latency_objective_ms=800.0, deadline_ms=4800.0),)), 1, 0.0)
    telemetry = Telemetry(reducer, lambda cls: f"class{cls}")
    for request in range(1000):
        telemetry.on_event(RequestReceived(request, 4800.0, request))
        telemetry.on_event(ClientDisconnected(request))
    assert telemetry.counts["taken.class255"] == 1 and telemetry.counts["taken.other"] == 1000 - MAX_CLASSES
    assert len(telemetry.counts) == 2 * (MAX_CLASSES + 1) and not telemetry.waiting
