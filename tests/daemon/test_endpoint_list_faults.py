"""Invalid responses of the discovery service: calls back off, and the last valid list stays in use."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.stand_ins import RelayEnvironment, relay
from yarrowspindle.protocol.endpoint_list import ZoneAndKindNames
from yarrowspindle.runtime.endpoint_watch import EndpointWatch


def chunk(line: str) -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + f"{len(line):x}\r\n{line}\r\n".encode()


BAD_RESPONSES = {
    "refuses": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "resets": b"",
    "no HTTP": b"\x00\xffwhat\r\n\r\n",
    "no JSON": chunk("{\n"),
    "no members": chunk('{"revision":7,"complete":true}\n'),
    "bad member": chunk('{"revision":7,"complete":true,"members":[{"id":"s-1"}]}\n'),
    "cut off": chunk('{"revision":7,"complete":true,"members":[')[:-9],
}


async def check_request_served(env: RelayEnvironment) -> None:
    """Check that a request is placed on a backend of the last valid list."""
    client, _, backend = await env.established_connection()
    backend.send_lines("BYE")
    backend.writer.close()
    assert await client.read_line() == "BYE"


@pytest.mark.parametrize("fault", BAD_RESPONSES)
def test_failed_list_calls_back_off_and_the_last_valid_list_stays_in_use(fault: str, tmp_path: Path) -> None:
    async def body() -> None:
        async with relay(tmp_path) as env:
            call_times = []
            for _ in range(5):
                assert (await env.next_watch()).endswith("index=1 HTTP/1.1"), "from the last valid revision on"
                call_times.append(time.monotonic())
                env.watch.writer.write(BAD_RESPONSES[fault])
                await env.watch.writer.drain()
                env.watch.writer.close()
                await check_request_served(env)
            # From the second one on, a delay is 0.3 to 0.6 of the time available (200 ms here), so that a hanging call
            # fits in as well.
            assert call_times[-1] - call_times[0] >= 0.3 * 0.2 * 3
            await env.next_watch()
            env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
            env.update_endpoint("s-1", "draining")
            await check_request_served(env)

    asyncio.run(body())


def test_a_hanging_list_call_is_not_repeated_and_delays_no_request(tmp_path: Path) -> None:
    async def body() -> None:
        async with relay(tmp_path) as env:
            await env.next_watch()
            for _ in range(5):
                await check_request_served(env)
            assert env.discovery.accepted.empty()

    asyncio.run(body())


def test_an_older_revision_does_not_undo_a_drain(tmp_path: Path) -> None:
    """Guard against a stale replica of the discovery service, whose list from before a drain made a backend ready."""

    async def body() -> None:
        async with relay(tmp_path) as env:
            await env.next_watch()
            env.revision = 40
            env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
            env.update_endpoint("s-1", "draining")
            env.revision = 20
            env.update_endpoint("s-1", "ready")  # a late message, which is ignored
            env.revision = 42
            env.update_endpoint("s-2", "ready")
            env.watch.writer.write(b"0\r\n\r\n")
            assert (await env.next_watch()).endswith("index=43 HTTP/1.1")
            env.revision = 30
            env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))  # an older full list: requested once more
            assert (await env.next_watch()).endswith("index=43 HTTP/1.1")
            for _ in range(8):
                client, name, backend = await env.established_connection()
                assert name == "s-2"
                backend.send_lines("BYE")
                backend.writer.close()
                await client.read_line()
            env.revision = 30
            env.answer_watch(
                env.endpoint("s-1"), env.endpoint("s-2")
            )  # the same again: the service has restarted its revisions
            env.update_endpoint("s-2", "gone")
            while True:
                client = await env.open_request()
                name, backend, _ = await env.next_attempt()
                backend.send_lines("UP r1", "BYE")
                backend.writer.close()
                await client.read_line()
                if name == "s-1":
                    break

    asyncio.run(body())


def test_the_log_and_the_metrics_show_the_calls_the_state_of_the_watch_and_the_age_of_the_list(tmp_path: Path) -> None:
    """Guard against a failed drain whose log does not show what the process knew, and which process it was."""

    async def body() -> None:
        async with relay(tmp_path, '[log]\nlevel = "DEBUG"\n') as env:
            assert f"[{env.process.pid}]" in await env.next_log_line("discovery call=1 opened")
            await env.next_watch()
            env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
            await env.next_log_line("discovery call=1 delivered version=2 kind=full entries=2")
            await check_request_served(env)
            await env.next_log_line("list_version=2 list_age_ms=")
            env.watch.writer.transport.abort()
            assert "list_version=2" in await env.next_log_line("discovery call=1 ended had_list=True")

    asyncio.run(body())


def test_the_gauges_of_the_list_are_published() -> None:
    async def body() -> None:
        watch = EndpointWatch(ZoneAndKindNames(), lambda update: None, lambda reason: None)
        assert watch.gauges() == {
            "list.version": 0.0,
            "list.age_ms": -1.0,
            "list.watch_open": 0.0,
            "list.pending_calls": 0.0,
        }

    asyncio.run(body())
