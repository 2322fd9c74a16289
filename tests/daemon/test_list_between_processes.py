"""Two processes of a relay run side by side: what discovery sends to one of them binds the other within the grace."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.daemon.upgrade import (
    GRACE_S,
    NO_LINK,
    NO_UNIX_SOCKETS,
    TIMEOUT_SLACK_S,
    SecondProcess,
    Traffic,
    accept_requests,
    second_process,
    send_requests,
)
from tests.stand_ins import LineServer, RelayEnvironment, run

LIMIT_S = GRACE_S + TIMEOUT_SLACK_S
OBSERVED_S = 1.0  # after the limit
INTERVAL_S = 0.02
Body = Callable[[RelayEnvironment, SecondProcess, Traffic], Awaitable[None]]


def run_both(tmp_path: Path, body: Body, script: str = "", first_script: str = "") -> None:
    """Run the body beside two processes, of which the first one has been sent a list.

    Args:
        tmp_path: the folder of both.
        body: gets the environment, the second process and what backends receive.
        script: Python code that is run first in the second process.
        first_script: the same for the first one.
    """

    async def scenario(env: RelayEnvironment) -> None:
        traffic = Traffic()
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        async with second_process(env, script) as second:
            tasks = [asyncio.ensure_future(accept_requests(env, traffic))]
            try:
                await body(env, second, traffic)
            finally:
                for task in tasks:
                    task.cancel()

    run(tmp_path, scenario, script=first_script)


async def requests(env: RelayEnvironment, traffic: Traffic, duration_s: float) -> None:
    sending = asyncio.ensure_future(send_requests(env, traffic, INTERVAL_S))
    await asyncio.sleep(duration_s)
    sending.cancel()


def late(traffic: Traffic, backend: str, since: float) -> list[float]:
    return [round(after_s, 3) for after_s in traffic.sent_to(backend, since) if after_s > LIMIT_S]


@pytest.mark.parametrize("phase", ["draining", "gone"])
@pytest.mark.parametrize("script", ["", NO_LINK], ids=["link", "no link"])
def test_a_change_that_only_the_former_process_is_told_binds_the_new_one(
    tmp_path: Path, phase: str, script: str
) -> None:
    """Guard against a new process that places by its list, while only the former one's watch still brings changes."""

    async def body(env: RelayEnvironment, second: SecondProcess, traffic: Traffic) -> None:
        refusing = asyncio.ensure_future(second.refuse_calls())
        await second.wait_for_log("serves at")
        env.stop()
        await env.next_log_line("new connections are left to it")
        env.update_endpoint("s-1", phase)
        told_at = time.monotonic()
        await requests(env, traffic, LIMIT_S + OBSERVED_S)
        assert late(traffic, "s-1", told_at) == []
        assert traffic.sent_to("s-2", told_at + LIMIT_S), "requests are placed"
        refusing.cancel()

    run_both(tmp_path, body, script)


@pytest.mark.parametrize("link", [True, False], ids=["link", "no sockets"])
def test_a_change_that_only_the_new_process_is_told_binds_the_former_one(tmp_path: Path, link: bool) -> None:
    """Guard against a former process that does not know yet that it is to end, on a silent watch."""

    async def body(env: RelayEnvironment, second: SecondProcess, traffic: Traffic) -> None:
        watch = await second.answer_watch(s_1="ready", s_2="ready")
        await second.wait_for_log("serves at")
        watch.writer.write(env.endpoint_list_chunk(False, env.endpoint("s-1", "draining")))
        told_at = time.monotonic()
        await requests(env, traffic, LIMIT_S + OBSERVED_S)
        assert late(traffic, "s-1", told_at) == []
        assert {answer.word for answer in traffic.answers} == {"UP"}
        await env.next_log_line("s-1 draining")

    script = "" if link else NO_UNIX_SOCKETS
    run_both(tmp_path, body, script, script)


def test_a_backend_that_comes_back_at_one_process_gets_work_from_the_other(tmp_path: Path) -> None:
    """Guard against drains that are passed on while returns are not."""

    async def body(env: RelayEnvironment, second: SecondProcess, traffic: Traffic) -> None:
        refusing = asyncio.ensure_future(second.refuse_calls())
        env.update_endpoint("s-1", "draining")
        await second.wait_for_log("serves at")
        env.stop()
        await env.next_log_line("new connections are left to it")
        env.update_endpoint("s-1", "ready")
        await second.wait_for_log("s-1 ready")
        returned_at = time.monotonic()
        await requests(env, traffic, OBSERVED_S)
        assert len(traffic.sent_to("s-1", returned_at)) > 5
        refusing.cancel()

    run_both(tmp_path, body)


@pytest.mark.parametrize("told_first", ["first", "second"])
def test_what_discovery_itself_sends_counts_although_the_other_process_knows_a_higher_revision(
    tmp_path: Path, told_first: str
) -> None:
    """Guard against a relay that is frozen since discovery has begun its revisions anew."""

    async def body(env: RelayEnvironment, second: SecondProcess, traffic: Traffic) -> None:
        await second.wait_for_log("serves at")
        env.revision = 500
        env.update_endpoint("s-1", "draining")
        await env.next_log_line("s-1 draining")
        await second.wait_for_log("s-1 draining")
        env.revision = 1
        source = second.discovery if told_first == "second" else env.discovery
        if told_first == "first":
            env.watch.writer.transport.abort()
        answering = asyncio.ensure_future(answer_both_ready(env, source))
        await second.wait_for_log("s-1 ready")
        await env.next_log_line("s-1 ready")
        await requests(env, traffic, OBSERVED_S)
        answering.cancel()
        assert {sent.backend for sent in traffic.sent} == {"s-1", "s-2"}

    run_both(tmp_path, body)


async def answer_both_ready(env: RelayEnvironment, source: LineServer) -> None:
    """Answer each call to a discovery that has begun its revisions anew, until cancelled."""
    while True:
        env.watch = await source.accepted.get()
        env.revision = 1
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
