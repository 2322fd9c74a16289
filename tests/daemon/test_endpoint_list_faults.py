"""Invalid responses of the discovery service: calls back off, and the last valid list stays in use."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.stand_ins import World, relay


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


async def check_request_served(w: World) -> None:
    """Check that a request is placed on a backend of the last valid list."""
    client, _, backend = await w.standing()
    backend.say("BYE")
    backend.writer.close()
    assert await client.hear() == "BYE"


@pytest.mark.parametrize("fault", BAD_RESPONSES)
def test_failed_list_calls_back_off_and_the_last_valid_list_stays_in_use(fault: str, tmp_path: Path) -> None:
    async def body() -> None:
        async with relay(tmp_path) as w:
            call_times = []
            for _ in range(5):
                assert (await w.watched()).endswith("index=1 HTTP/1.1"), "from the last valid revision on"
                call_times.append(time.monotonic())
                w.watch.writer.write(BAD_RESPONSES[fault])
                await w.watch.writer.drain()
                w.watch.writer.close()
                await check_request_served(w)
            # From the second one on, a delay is 0.3 to 0.6 of the time available (200 ms here), so that a hanging call
            # fits in as well.
            assert call_times[-1] - call_times[0] >= 0.3 * 0.2 * 3
            await w.watched()
            w.answer_watch(w.member("s-1"), w.member("s-2"))
            w.tell("s-1", "draining")
            await check_request_served(w)

    asyncio.run(body())


def test_a_hanging_list_call_is_not_repeated_and_delays_no_request(tmp_path: Path) -> None:
    async def body() -> None:
        async with relay(tmp_path) as w:
            await w.watched()
            for _ in range(5):
                await check_request_served(w)
            assert w.list.came.empty()

    asyncio.run(body())


def test_an_older_revision_does_not_undo_a_drain(tmp_path: Path) -> None:
    """Guards against a stale replica of the discovery service, whose list from before a drain made a backend ready."""

    async def body() -> None:
        async with relay(tmp_path) as w:
            await w.watched()
            w.version = 40
            w.answer_watch(w.member("s-1"), w.member("s-2"))
            w.tell("s-1", "draining")
            w.version = 20
            w.tell("s-1", "ready")  # a late message, which is ignored
            w.version = 42
            w.tell("s-2", "ready")
            w.watch.writer.write(b"0\r\n\r\n")
            assert (await w.watched()).endswith("index=43 HTTP/1.1")
            w.version = 30
            w.answer_watch(w.member("s-1"), w.member("s-2"))  # an older full list: requested once more
            assert (await w.watched()).endswith("index=43 HTTP/1.1")
            for _ in range(8):
                client, name, backend = await w.standing()
                assert name == "s-2"
                backend.say("BYE")
                backend.writer.close()
                await client.hear()
            w.version = 30
            w.answer_watch(w.member("s-1"), w.member("s-2"))  # the same again: the service has restarted its revisions
            w.tell("s-2", "gone")
            while True:
                client = await w.request()
                name, backend, _ = await w.placed()
                backend.say("UP r1", "BYE")
                backend.writer.close()
                await client.hear()
                if name == "s-1":
                    break

    asyncio.run(body())
