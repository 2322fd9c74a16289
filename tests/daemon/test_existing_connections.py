"""Connections from before the restart of the relay (`at=`) that their backend does not re-establish; real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.daemon.test_operations import call, http_request
from tests.ports import free_port
from tests.stand_ins import SETTINGS, LinePeer, RelayEnvironment, run

# The answer to a request that may have run, by the class's effect in the settings.
ANSWERS = {"pure": "BUSY", "token": "ERR", "side_effect": "ERR"}
PLAIN_CLASS = dict(SETTINGS["categories"][0]) | {"deadline_ms": 900.0, "window_ms": 5000.0}
CLASSES = [PLAIN_CLASS | {"name": f"class-{effect}", "effect": effect} for effect in ANSWERS]


def send_part_of_a_line_and_close(backend: LinePeer) -> None:
    backend.writer.write(b"U")
    backend.writer.close()


ENDS: dict[str, Callable[[LinePeer], None]] = {
    "reset": lambda backend: backend.writer.transport.abort(),
    "closed": lambda backend: backend.writer.close(),
    "ERR": lambda backend: backend.send_lines("ERR"),
    "MOVE": lambda backend: backend.send_lines("MOVE"),
    "BYE": lambda backend: backend.send_lines("BYE"),
    "another line": lambda backend: backend.send_lines("what"),
    "part of a line": send_part_of_a_line_and_close,
    "endless line": lambda backend: backend.writer.write(b"x" * 8192),
}


async def returning_clients(env: RelayEnvironment) -> list[tuple[str, LinePeer, LinePeer]]:
    """Let a client of each class return to s-1; return its class's effect, the client and the backend's connection."""
    clients = []
    for effect in ANSWERS:
        ids = f"{next(env.request_ids):016x} 7f3a9c21e0b4d655"
        client = await env.connect_client(f"OPEN {ids} c=class-{effect},t=acme,d=900,at=s-1")
        backend, line = await env.backends["s-1"].next_request()
        assert line.endswith(",at=s-1")
        clients.append((effect, client, backend))
    return clients


async def answered(clients: list[tuple[str, LinePeer, LinePeer]]) -> dict[str, str]:
    """Return the first word of each client's answer by its class's effect; each connection is closed after it."""
    answers = {}
    for effect, client, _ in clients:
        answers[effect] = (await client.read_line()).split(" ")[0]
        assert await client.read_line() == ""
    return answers


@pytest.mark.parametrize("end", ENDS)
def test_a_returning_request_that_may_have_run_is_not_rejected(tmp_path: Path, end: str) -> None:
    """Guard against a `side_effect` request that runs twice: its backend died, and its client was told BUSY."""

    async def body(env: RelayEnvironment) -> None:
        clients = await returning_clients(env)
        for _, _, backend in clients:
            ENDS[end](backend)
        assert await answered(clients) == ANSWERS
        accepted = env.backends["s-2"].accepted
        first_lines = [accepted.get_nowait().first_line for _ in range(accepted.qsize())]
        assert first_lines == [], "no other backend may serve it"

    run(tmp_path, body, operator='[log]\nlevel = "DEBUG"\n', categories=CLASSES)


def test_a_returning_request_that_its_backend_turned_away_is_rejected(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        clients = await returning_clients(env)
        for _, _, backend in clients:
            backend.send_lines("BUSY")
        assert await answered(clients) == dict.fromkeys(ANSWERS, "BUSY")

    run(tmp_path, body, categories=CLASSES)


def test_a_returning_request_without_an_answer_at_shutdown_is_not_rejected(tmp_path: Path) -> None:
    """Guard against the same fault where SIGTERM, and no backend, ends the attempt."""

    async def body(env: RelayEnvironment) -> None:
        clients = await returning_clients(env)
        env.stop()
        assert await answered(clients) == ANSWERS

    run(tmp_path, body, categories=CLASSES)


def test_a_returning_request_waits_through_a_drain_of_the_relay_and_is_not_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against the same fault where the operators drain the relay and the backend dies after that."""
    port = free_port()
    monkeypatch.setenv("ROUTER_OPERATOR", f"127.0.0.1:{port}")

    async def body(env: RelayEnvironment) -> None:
        clients = await returning_clients(env)
        assert (await call(port, http_request("PUT", "/api/evacuate")))[0] == 200
        await asyncio.sleep(1.5)  # longer than the drain of 0.9 s and the first migration
        assert all(client.reader.at_eof() is False for _, client, _ in clients), "an attempt outlives the drain"
        for _, _, backend in clients:
            backend.writer.transport.abort()
        assert await answered(clients) == ANSWERS

    run(tmp_path, body, categories=CLASSES)


@pytest.mark.parametrize("phase", ["draining", "gone"])
def test_a_returning_request_at_a_backend_that_leaves_the_list_is_not_rejected(tmp_path: Path, phase: str) -> None:
    """Guard against the same fault where the backend drains or leaves the list before it dies."""

    async def body(env: RelayEnvironment) -> None:
        clients = await returning_clients(env)
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1", phase) if phase == "draining" else env.endpoint("s-2"))
        await env.next_log_line(f"s-1 {phase}")
        for _, _, backend in clients:
            backend.writer.transport.abort()
        assert await answered(clients) == ANSWERS

    run(tmp_path, body, categories=CLASSES)
