"""Connections that end while a line is incomplete, in either direction, on real sockets."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.test_operations import call, http_request
from tests.ports import free_port
from tests.stand_ins import SETTINGS, TIMEOUT_S, LinePeer, RelayEnvironment, run

SHORT_DEADLINE: dict[str, Any] = {"categories": [dict(SETTINGS["categories"][0]) | {"deadline_ms": 900.0}]}


async def end_by_sigterm(env: RelayEnvironment, client: LinePeer, backend: LinePeer) -> None:
    env.stop()


async def end_by_drain(env: RelayEnvironment, client: LinePeer, backend: LinePeer) -> None:
    port = int(os.environ["ROUTER_OPERATOR"].rpartition(":")[2])
    assert (await call(port, http_request("PUT", "/api/evacuate")))[0] == 200


async def end_by_hang(env: RelayEnvironment, client: LinePeer, backend: LinePeer) -> None:
    """The backend does nothing: the client's line stays unanswered."""


async def end_by_long_line_of_the_backend(env: RelayEnvironment, client: LinePeer, backend: LinePeer) -> None:
    backend.writer.write(b"x" * 5000)


async def end_by_long_line_of_the_client(env: RelayEnvironment, client: LinePeer, backend: LinePeer) -> None:
    client.writer.write(b"x" * 5000)


async def end_by_reset(env: RelayEnvironment, client: LinePeer, backend: LinePeer) -> None:
    backend.writer.transport.abort()


async def end_by_close(env: RelayEnvironment, client: LinePeer, backend: LinePeer) -> None:
    backend.writer.close()


async def end_by_sigterm_and_reset(env: RelayEnvironment, client: LinePeer, backend: LinePeer) -> None:
    """The backend breaks while the migration waits for the rest of its line."""
    env.stop()
    await env.next_log_line("shutting down")
    await asyncio.sleep(0.7)  # migrations start after half of the shutdown time of 1.2 s and wait for 0.5 s
    backend.writer.transport.abort()


End = Callable[[RelayEnvironment, LinePeer, LinePeer], Awaitable[None]]
# What the client reads last; a backend that ends the connection itself need not be followed by MOVE.
ENDS: list[tuple[End, bytes]] = [
    (end_by_sigterm, b"MOVE\r\n"),
    (end_by_drain, b"MOVE\r\n"),
    (end_by_hang, b"MOVE\r\n"),
    (end_by_long_line_of_the_backend, b"MOVE\r\n"),
    (end_by_long_line_of_the_client, b"MOVE\r\n"),
    (end_by_sigterm_and_reset, b"MOVE\r\n"),
    (end_by_reset, b""),
    (end_by_close, b""),
]


@pytest.mark.parametrize(("end", "last"), ENDS)
def test_neither_side_reads_part_of_a_line_when_a_connection_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, end: End, last: bytes
) -> None:
    """Guard against half a line of a hung backend that a client read as a whole one, since the relay ended it."""
    monkeypatch.setenv("ROUTER_OPERATOR", f"127.0.0.1:{free_port()}")

    async def body(env: RelayEnvironment) -> None:
        client, _, backend = await env.established_connection()
        client.writer.write(b"ask\r\nhalf of the client's li")
        backend.writer.write(b"half of the backend's li")
        assert await backend.read_line() == "ask"
        await end(env, client, backend)
        assert await asyncio.wait_for(client.reader.read(), TIMEOUT_S) == last
        try:
            assert await asyncio.wait_for(backend.reader.read(), TIMEOUT_S) == b""
        except ConnectionError:
            assert end in (end_by_reset, end_by_sigterm_and_reset)

    run(tmp_path, body, **SHORT_DEADLINE)


LEAVING: list[Callable[[LinePeer], None]] = [
    lambda client: client.writer.close(),
    lambda client: client.writer.write_eof(),
    lambda client: client.writer.transport.abort(),
]


def test_a_client_that_leaves_within_a_line_leaves_no_part_of_it_at_its_backend(tmp_path: Path) -> None:
    """Guard against a backend that takes part of a client's last line for a whole one."""

    async def body(env: RelayEnvironment) -> None:
        for leave in LEAVING:
            client, _, backend = await env.established_connection()
            client.writer.write(b"ask\r\nhalf of the client's li")
            assert await backend.read_line() == "ask"
            leave(client)
            assert await asyncio.wait_for(backend.reader.read(), TIMEOUT_S) == b""

    run(tmp_path, body)


def test_a_line_whose_first_piece_came_before_a_migration_is_completed_before_move(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        client, _, backend = await env.established_connection()
        backend.writer.write(b"a li")
        env.stop()
        await env.next_log_line("shutting down")
        await asyncio.sleep(0.7)  # the migration has started and waits
        backend.send_lines("ne", "the next one")
        assert await asyncio.wait_for(client.reader.read(), TIMEOUT_S) == b"a line\r\nMOVE\r\n"

    run(tmp_path, body, **SHORT_DEADLINE)


def test_a_held_relay_forwards_whole_lines_only(tmp_path: Path) -> None:
    """A relay that is held while both sides send pieces forwards the lines that are whole once it continues."""

    async def body(env: RelayEnvironment) -> None:
        client, _, backend = await env.established_connection()
        env.process.send_signal(signal.SIGSTOP)
        backend.writer.write(b"one\r\ntwo\r\nthr")
        client.writer.write(b"1\r\n2\r\n3")
        await asyncio.sleep(0.1)
        env.process.send_signal(signal.SIGCONT)
        assert [await client.read_line(), await client.read_line()] == ["one", "two"]
        assert [await backend.read_line(), await backend.read_line()] == ["1", "2"]
        backend.writer.write(b"ee\r\n")
        client.writer.write(b"\r\n")
        assert (await client.read_line(), await backend.read_line()) == ("three", "3")

    run(tmp_path, body)


def test_the_log_tells_which_side_left_a_line_incomplete(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        client, name, backend = await env.established_connection()
        client.writer.write(b"ask\r\n12")
        backend.writer.write(b"123")
        assert await backend.read_line() == "ask"
        env.stop()
        assert await asyncio.wait_for(client.reader.read(), TIMEOUT_S) == b"MOVE\r\n"
        client.writer.close()
        backend.writer.close()
        dropped = {
            (await env.next_log_line("dropped an incomplete line")).split(f" DEBUG [{env.process.pid}] ")[1].strip()
            for _ in range(2)
        }
        assert dropped == {
            "number=1 dropped an incomplete line of 2 bytes from client",
            f"number=1 dropped an incomplete line of 3 bytes from backend={name}",
        }

    run(tmp_path, body, operator='[log]\nlevel = "DEBUG"\n', **SHORT_DEADLINE)
