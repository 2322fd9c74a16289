"""A relay process on real sockets, with stand-ins for clients, backends and the discovery service."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.stand_ins import SETTINGS, TIMEOUT_S, LineServer, RelayEnvironment, relay, run


def test_a_request_is_forwarded_and_its_lines_are_relayed_unchanged(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        ping = await env.connect_client("PING")
        assert await ping.read_line() == "PONG"
        client = await env.connect_client("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=1500,g=5c,zz=1")
        _, backend, line = await env.next_attempt()
        head, _, rest = line.partition(",d=")
        left, _, tail = rest.partition(",")
        assert head == "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme" and tail == "g=5c,zz=1"
        assert 1300 <= int(left) <= 1500
        backend.send_lines("UP r1", "hello", "LOAD 1200.5")
        assert [await client.read_line() for _ in range(3)] == ["UP r1", "hello", "LOAD 1200.5"]
        client.send_lines("line 1", "line 2")
        assert [await backend.read_line(), await backend.read_line()] == ["line 1", "line 2"]
        backend.send_lines("BYE")
        backend.writer.close()
        assert [await client.read_line(), await client.read_line()] == ["BYE", ""]

    run(tmp_path, body)


@pytest.mark.parametrize("first", ["BUSY", "ERR", "what", ""])
def test_failed_attempts_are_retried_and_the_client_gets_one_answer(tmp_path: Path, first: str) -> None:
    async def body(env: RelayEnvironment) -> None:
        client = await env.open_request()
        for _ in range(2):
            _, backend, line = await env.next_attempt()
            assert line.startswith("OPEN 9b1f03aa5c7e2d41")
            if first:
                backend.send_lines(first)
            backend.writer.close()
        _, backend, _ = await env.next_attempt()
        backend.send_lines("BUSY")
        word, _, after = (await client.read_line()).partition(" ")
        assert word == "BUSY" and 1000 <= int(after) <= 2000
        assert await client.read_line() == ""

    run(tmp_path, body)


def test_at_the_deadline_the_client_is_answered_and_the_attempt_is_aborted(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        start = time.monotonic()
        client = await env.open_request(deadline_ms=300)
        _, backend, _ = await env.next_attempt()
        assert (await client.read_line()).startswith("BUSY") and 0.25 < time.monotonic() - start < 0.35
        assert await backend.read_line() == "", "the attempt is aborted"

    run(tmp_path, body)


def test_a_client_that_leaves_ends_its_attempt_and_its_connection(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        client = await env.open_request()
        _, backend, _ = await env.next_attempt()
        client.writer.close()
        assert await backend.read_line() == ""
        client, _, backend = await env.established_connection()
        client.writer.close()
        assert await backend.read_line() == ""

    run(tmp_path, body)


def test_a_backend_reset_closes_the_client_connection_within_a_second(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        client, _, backend = await env.established_connection()
        start = time.monotonic()
        backend.writer.transport.abort()
        assert await client.read_line() == "" and time.monotonic() - start < 1.0

    run(tmp_path, body)


def test_connections_of_a_silent_backend_are_migrated_in_time(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        client, _, _ = await env.established_connection()
        start = time.monotonic()
        client.send_lines("anyone there?")
        assert await client.read_line() == "MOVE" and 2.0 < time.monotonic() - start < 4.0

    run(tmp_path, body)


def test_an_existing_connection_returns_to_its_backend(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        for _ in range(4):
            client = await env.open_request(",at=s-2")
            backend, line = await env.backends["s-2"].next_request()
            assert line.endswith(",at=s-2")
            backend.send_lines("UP r9")
            assert await client.read_line() == "UP r9"
        client = await env.open_request(",at=nobody")
        assert await client.read_line() == "BUSY"

    run(tmp_path, body)


def test_the_endpoint_list_is_followed_and_a_silent_watch_is_reopened(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        assert await env.next_watch() == "GET /api/targets?stream=1&index=1 HTTP/1.1"
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        env.update_endpoint("s-1", "draining")
        env.update_endpoint("s-2", "gone")
        while (
            answer := await (await env.open_request(deadline_ms=300)).read_line()
        ) == "":  # the backends do not answer meanwhile
            pass
        assert answer.startswith("BUSY")
        assert await env.next_watch() == f"GET /api/targets?stream=1&index={env.revision} HTTP/1.1"
        env.answer_watch(env.endpoint("s-2"))
        assert await asyncio.wait_for(first_at(env, "s-2"), TIMEOUT_S)

    async def first_at(env: RelayEnvironment, name: str) -> bool:
        while True:
            client = await env.open_request()
            if (await env.next_attempt())[0] == name:
                return True
            client.writer.close()

    run(tmp_path, body)


def test_pushed_lists_are_watched_and_a_silent_watch_is_detected_within_the_drain_grace(
    tmp_path: Path,
) -> None:
    """Guard against opening no watch if the settings say that lists are pushed: drains were missed."""

    async def body(env: RelayEnvironment) -> None:
        assert await env.next_watch() == "GET /api/targets?stream=1&index=1 HTTP/1.1"
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))  # nothing more is sent on this watch
        env.endpoint_list_chunk(False)  # discovery has a newer list
        while (await env.next_watch()).split("index=")[1] != "2 HTTP/1.1":
            pass
        env.answer_watch(env.endpoint("s-2"))  # s-1 is gone
        start = time.monotonic()
        await env.next_watch()
        assert time.monotonic() - start < 0.4, "half of the grace, plus scheduling delays"
        assert "s-1 gone" in await env.next_log_line(f"machine list {env.revision}:")
        assert [(await env.established_connection())[1] for _ in range(6)] == ["s-2"] * 6
        env.watch.writer.close()  # the watch is still renewed
        await env.next_watch()

    run(tmp_path, body, discovery="automatic")


def test_shutdown_migrates_all_connections_in_time_while_new_requests_are_served(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        first, _, backend = await env.established_connection()
        env.stop()
        start = time.monotonic()
        late, _, _ = await env.established_connection()
        assert await first.read_line() == "MOVE" and await late.read_line() == "MOVE"
        assert await backend.read_line() == ""
        assert await asyncio.wait_for(env.process.wait(), TIMEOUT_S) == 0 and time.monotonic() - start < 3.7

    run(tmp_path, body)


def test_invalid_lines_close_only_their_own_connection(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        client, _, backend = await env.established_connection()
        for bad in ("GET / HTTP/1.1", "OPEN 1 2 c=none,d=5", "OPEN 1 2 c=chat,d=x", "OPEN 1 zz c=chat,d=5", "x" * 5000):
            assert await (await env.connect_client(bad)).read_line() == "ERR"
        silent = await env.connect_client()
        silent.writer.transport.abort()
        client.send_lines("still here")
        assert await backend.read_line() == "still here"
        await env.next_watch()
        env.watch.writer.write(b"HTTP/1.1 200 OK\r\n\r\nnot a list\n")
        await env.next_watch()  # requested again
        env.watch.writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        await env.next_watch()
        backend.send_lines("and here")
        assert await client.read_line() == "and here"

    run(tmp_path, body)


def test_invalid_settings_prevent_the_start(tmp_path: Path) -> None:
    async def inside() -> None:
        with pytest.raises(AssertionError):
            async with relay(tmp_path, **{"obligations": SETTINGS["obligations"] | {"cold_share": 0.0}}):
                pass

    asyncio.run(inside())


def test_sighup_follows_the_machine_list_and_keeps_every_request_and_connection(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        client, _, backend = await env.established_connection()
        waiting = await env.open_request()
        _, waiting_backend, _ = await env.next_attempt()
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        old, env.discovery = env.discovery, await LineServer().open()
        for text in ("{", "[]", '{"name": "n0"}'):  # an invalid file changes nothing
            whole = env.config_file.read_text()
            env.reload(text)
            assert "ERROR" in await env.next_log_line("the old one stays in force")
            env.config_file.write_text(whole)
        for _ in range(3):
            env.reload(discovery=f"127.0.0.1:{env.discovery.port}", seed="1")
        assert await env.next_watch() == "GET /api/targets?stream=1&index=0 HTTP/1.1", (
            "the full list of another service"
        )
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        env.update_endpoint("s-1", "draining")
        env.reload(listen="127.0.0.1:1")
        assert "listen" in await env.next_log_line("need a restart")
        env.reload(discovery=f"127.0.0.1:{old.port}")
        env.discovery = old
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        client.send_lines("still here")
        assert await backend.read_line() == "still here"
        waiting_backend.send_lines("UP r2")
        assert await waiting.read_line() == "UP r2"

    run(tmp_path, body)


def test_invalid_requests_are_rejected_without_reaching_a_backend(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        established, _, backend = await env.established_connection()
        name = f"OPEN {next(env.request_ids) - 1:016x} 7f3a9c21e0b4d655 "
        ours = f"OPEN {next(env.request_ids):016x} 7f3a9c21e0b4d655 "
        for bad in (
            name + "c=chat,t=acme,d=1500",
            ours + "c=chat,t=acme,d=9999999",
            ours + "c=chat,t=acme,d=5,at=s-1",
            ours + "c=chat,t=nobody,d=5",
            ours + "c=chat,d=5",
            ours + "c=chat,t=acme,d=5,r=2",
            ours + "c=chat,t=acme,d=5\r\n" + ours + "c=chat,t=acme,d=5",
        ):
            refused = await env.connect_client(bad)
            assert [await refused.read_line(), await refused.read_line()] == ["ERR", ""], bad
        half = await env.connect_client()
        half.writer.write(ours.encode())
        half.writer.write_eof()
        assert await half.read_line() == "ERR"
        impatient = await env.open_request()
        _, impatient_backend, _ = await env.next_attempt()
        impatient.send_lines("PING")
        assert await impatient.read_line() == "ERR" and await impatient_backend.read_line() == "", (
            "the attempt is aborted"
        )
        backend.send_lines("still here")
        assert await established.read_line() == "still here"
        assert all(server.accepted.empty() for server in env.backends.values())

    run(tmp_path, body)


def test_a_client_that_sends_20_mib_reads_its_answer(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        peer = await env.connect_client()
        for _ in range(20):
            peer.writer.write(b"x" * (1 << 20))
            await peer.writer.drain()
        assert await peer.read_line() == "ERR"

    run(tmp_path, body)


def test_idle_clients_take_no_descriptor_from_a_request(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        start = time.monotonic()
        crowd = [await env.connect_client(*(["PING"] if n % 2 else [])) for n in range(200)]
        await env.established_connection()
        assert time.monotonic() - start < 2.0
        for peer in crowd:
            while await peer.read_line():
                pass
        assert time.monotonic() - start < 3.0

    run(tmp_path, body, sockets=90)
