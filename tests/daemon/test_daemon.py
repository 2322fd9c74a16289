"""A relay process on real sockets, with stand-ins for clients, backends and the discovery service."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.stand_ins import SETTINGS, WAIT_S, Server, World, relay, run


def test_a_request_is_forwarded_and_its_lines_are_relayed_unchanged(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        ping = await w.client("PING")
        assert await ping.hear() == "PONG"
        client = await w.client("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=1500,g=5c,zz=1")
        _, backend, line = await w.placed()
        head, _, rest = line.partition(",d=")
        left, _, tail = rest.partition(",")
        assert head == "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme" and tail == "g=5c,zz=1"
        assert 1300 <= int(left) <= 1500
        backend.say("UP r1", "hello", "LOAD 1200.5")
        assert [await client.hear() for _ in range(3)] == ["UP r1", "hello", "LOAD 1200.5"]
        client.say("line 1", "line 2")
        assert [await backend.hear(), await backend.hear()] == ["line 1", "line 2"]
        backend.say("BYE")
        backend.writer.close()
        assert [await client.hear(), await client.hear()] == ["BYE", ""]

    run(tmp_path, body)


@pytest.mark.parametrize("first", ["BUSY", "ERR", "what", ""])
def test_failed_attempts_are_retried_and_the_client_gets_one_answer(tmp_path: Path, first: str) -> None:
    async def body(w: World) -> None:
        client = await w.request()
        for _ in range(2):
            _, backend, line = await w.placed()
            assert line.startswith("OPEN 9b1f03aa5c7e2d41")
            if first:
                backend.say(first)
            backend.writer.close()
        _, backend, _ = await w.placed()
        backend.say("BUSY")
        word, _, after = (await client.hear()).partition(" ")
        assert word == "BUSY" and 1000 <= int(after) <= 2000
        assert await client.hear() == ""

    run(tmp_path, body)


def test_at_the_deadline_the_client_is_answered_and_the_attempt_is_aborted(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        start = time.monotonic()
        client = await w.request(wait_ms=300)
        _, backend, _ = await w.placed()
        assert (await client.hear()).startswith("BUSY") and 0.25 < time.monotonic() - start < 0.35
        assert await backend.hear() == "", "the attempt is aborted"

    run(tmp_path, body)


def test_a_client_that_leaves_ends_its_attempt_and_its_connection(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        client = await w.request()
        _, backend, _ = await w.placed()
        client.writer.close()
        assert await backend.hear() == ""
        client, _, backend = await w.standing()
        client.writer.close()
        assert await backend.hear() == ""

    run(tmp_path, body)


def test_a_backend_reset_closes_the_client_connection_within_a_second(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        client, _, backend = await w.standing()
        start = time.monotonic()
        backend.writer.transport.abort()
        assert await client.hear() == "" and time.monotonic() - start < 1.0

    run(tmp_path, body)


def test_connections_of_a_silent_backend_are_migrated_in_time(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        client, _, _ = await w.standing()
        start = time.monotonic()
        client.say("anyone there?")
        assert await client.hear() == "MOVE" and 2.0 < time.monotonic() - start < 4.0

    run(tmp_path, body)


def test_an_existing_connection_returns_to_its_backend(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        for _ in range(4):
            client = await w.request(",at=s-2")
            backend, line = await w.backends["s-2"].asked()
            assert line.endswith(",at=s-2")
            backend.say("UP r9")
            assert await client.hear() == "UP r9"
        client = await w.request(",at=nobody")
        assert await client.hear() == "BUSY"

    run(tmp_path, body)


def test_the_endpoint_list_is_followed_and_a_silent_watch_is_reopened(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        assert await w.watched() == "GET /api/targets?stream=1&index=1 HTTP/1.1"
        w.answer_watch(w.member("s-1"), w.member("s-2"))
        w.tell("s-1", "draining")
        w.tell("s-2", "gone")
        while (answer := await (await w.request(wait_ms=300)).hear()) == "":  # the backends do not answer meanwhile
            pass
        assert answer.startswith("BUSY")
        assert await w.watched() == f"GET /api/targets?stream=1&index={w.version} HTTP/1.1"
        w.answer_watch(w.member("s-2"))
        assert await asyncio.wait_for(first_at(w, "s-2"), WAIT_S)

    async def first_at(w: World, name: str) -> bool:
        while True:
            client = await w.request()
            if (await w.placed())[0] == name:
                return True
            client.writer.close()

    run(tmp_path, body)


def test_pushed_lists_are_watched_and_a_silent_watch_is_detected_within_the_drain_grace(
    tmp_path: Path,
) -> None:
    """Guards against opening no watch if the settings say that lists are pushed: drains were missed."""

    async def body(w: World) -> None:
        assert await w.watched() == "GET /api/targets?stream=1&index=1 HTTP/1.1"
        w.answer_watch(w.member("s-1"), w.member("s-2"))  # nothing more is sent on this watch
        w.members(False)  # discovery has a newer list
        while (await w.watched()).split("index=")[1] != "2 HTTP/1.1":
            pass
        w.answer_watch(w.member("s-2"))  # s-1 is gone
        start = time.monotonic()
        await w.watched()
        assert time.monotonic() - start < 0.4, "half of the grace, plus scheduling delays"
        assert "s-1 gone" in await w.logged(f"machine list {w.version}:")
        assert [(await w.standing())[1] for _ in range(6)] == ["s-2"] * 6
        w.watch.writer.close()  # the watch is still renewed
        await w.watched()

    run(tmp_path, body, discovery="automatic")


def test_shutdown_migrates_all_connections_in_time_while_new_requests_are_served(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        first, _, backend = await w.standing()
        w.stop()
        start = time.monotonic()
        late, _, _ = await w.standing()
        assert await first.hear() == "MOVE" and await late.hear() == "MOVE"
        assert await backend.hear() == ""
        assert await asyncio.wait_for(w.process.wait(), WAIT_S) == 0 and time.monotonic() - start < 3.7

    run(tmp_path, body)


def test_invalid_lines_close_only_their_own_connection(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        client, _, backend = await w.standing()
        for bad in ("GET / HTTP/1.1", "OPEN 1 2 c=none,d=5", "OPEN 1 2 c=chat,d=x", "OPEN 1 zz c=chat,d=5", "x" * 5000):
            assert await (await w.client(bad)).hear() == "ERR"
        silent = await w.client()
        silent.writer.transport.abort()
        client.say("still here")
        assert await backend.hear() == "still here"
        await w.watched()
        w.watch.writer.write(b"HTTP/1.1 200 OK\r\n\r\nnot a list\n")
        await w.watched()  # requested again
        w.watch.writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        await w.watched()
        backend.say("and here")
        assert await client.hear() == "and here"

    run(tmp_path, body)


def test_invalid_settings_prevent_the_start(tmp_path: Path) -> None:
    async def inside() -> None:
        with pytest.raises(AssertionError):
            async with relay(tmp_path, **{"obligations": SETTINGS["obligations"] | {"cold_share": 0.0}}):
                pass

    asyncio.run(inside())


def test_sighup_follows_the_machine_list_and_keeps_every_request_and_connection(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        client, _, backend = await w.standing()
        waiting = await w.request()
        _, asked, _ = await w.placed()
        await w.watched()
        w.answer_watch(w.member("s-1"), w.member("s-2"))
        old, w.list = w.list, await Server().open()
        for text in ("{", "[]", '{"name": "n0"}'):  # an invalid file changes nothing
            whole = w.file.read_text()
            w.reload(text)
            assert "ERROR" in await w.logged("the old one stays in force")
            w.file.write_text(whole)
        for _ in range(3):
            w.reload(discovery=f"127.0.0.1:{w.list.port}", seed="1")
        assert await w.watched() == "GET /api/targets?stream=1&index=0 HTTP/1.1", "the full list of another service"
        w.answer_watch(w.member("s-1"), w.member("s-2"))
        w.tell("s-1", "draining")
        w.reload(listen="127.0.0.1:1")
        assert "listen" in await w.logged("need a restart")
        w.reload(discovery=f"127.0.0.1:{old.port}")
        w.list = old
        await w.watched()
        w.answer_watch(w.member("s-1"), w.member("s-2"))
        client.say("still here")
        assert await backend.hear() == "still here"
        asked.say("UP r2")
        assert await waiting.hear() == "UP r2"

    run(tmp_path, body)


def test_invalid_requests_are_rejected_without_reaching_a_backend(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        standing, _, backend = await w.standing()
        name = f"OPEN {next(w.ids) - 1:016x} 7f3a9c21e0b4d655 "
        ours = f"OPEN {next(w.ids):016x} 7f3a9c21e0b4d655 "
        for bad in (
            name + "c=chat,t=acme,d=1500",
            ours + "c=chat,t=acme,d=9999999",
            ours + "c=chat,t=acme,d=5,at=s-1",
            ours + "c=chat,t=nobody,d=5",
            ours + "c=chat,d=5",
            ours + "c=chat,t=acme,d=5,r=2",
            ours + "c=chat,t=acme,d=5\r\n" + ours + "c=chat,t=acme,d=5",
        ):
            refused = await w.client(bad)
            assert [await refused.hear(), await refused.hear()] == ["ERR", ""], bad
        half = await w.client()
        half.writer.write(ours.encode())
        half.writer.write_eof()
        assert await half.hear() == "ERR"
        impatient = await w.request()
        _, asked, _ = await w.placed()
        impatient.say("PING")
        assert await impatient.hear() == "ERR" and await asked.hear() == "", "the attempt is aborted"
        backend.say("still here")
        assert await standing.hear() == "still here"
        assert all(server.came.empty() for server in w.backends.values())

    run(tmp_path, body)


def test_a_client_that_sends_20_mib_reads_its_answer(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        peer = await w.client()
        for _ in range(20):
            peer.writer.write(b"x" * (1 << 20))
            await peer.writer.drain()
        assert await peer.hear() == "ERR"

    run(tmp_path, body)


def test_idle_clients_take_no_descriptor_from_a_request(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        start = time.monotonic()
        crowd = [await w.client(*(["PING"] if n % 2 else [])) for n in range(200)]
        await w.standing()
        assert time.monotonic() - start < 2.0
        for peer in crowd:
            while await peer.hear():
                pass
        assert time.monotonic() - start < 3.0

    run(tmp_path, body, sockets=90)
