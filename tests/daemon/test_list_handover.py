"""What an earlier process of a relay was told binds one that starts later, also where that one reaches no discovery."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.upgrade import GRACE_S, TIMEOUT_SLACK_S, SecondProcess, Traffic, accept_requests, second_process
from tests.daemon.upgrade import send_requests as send_requests_until_cancelled
from tests.stand_ins import SETTINGS, WATCH_RESPONSE_HEAD, RelayEnvironment, run

OBSERVED_S = 0.8  # some 40 requests; half of those that are placed by the list of the configuration go to s-1
SENT_INTERVAL_S = 0.02
# Half of the deadline is how long a start waits for discovery, and the deadline and 0.3 s how long an end takes.
SHORT_DEADLINE: dict[str, Any] = {"categories": [SETTINGS["categories"][0] | {"deadline_ms": 700.0}]}
LIMIT_S = GRACE_S + TIMEOUT_SLACK_S
HELD_S = 1.5
HAND_OVER_S = 0.15  # for connections that the former process has accepted by then


async def tell_first_process(env: RelayEnvironment, phase: str) -> None:
    """Send the first process a list in which `s-1` drains or is missing, and wait until the grace is over."""
    await env.next_watch()
    draining = [env.endpoint("s-1", phase)] if phase != "gone" else []
    env.answer_watch(*draining, env.endpoint("s-2"))
    await env.next_log_line(f"s-1 {phase}")
    await asyncio.sleep(LIMIT_S)


async def end_first_process(env: RelayEnvironment) -> None:
    env.stop()
    assert await asyncio.wait_for(env.process.wait(), 5.0) == 0


@asynccontextmanager
async def background(*coroutines: object) -> AsyncIterator[None]:
    """Run coroutines beside the block, and cancel them at its end."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]  # type: ignore[call-overload]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def requests_placed(env: RelayEnvironment) -> Traffic:
    """Send requests for a while, and return what the backends received and the clients were answered."""
    traffic = Traffic()
    async with background(accept_requests(env, traffic), send_requests_until_cancelled(env, traffic, SENT_INTERVAL_S)):
        await asyncio.sleep(OBSERVED_S)
    return traffic


def backends_of(traffic: Traffic) -> set[str]:
    assert {answer.word for answer in traffic.answers} == {"UP"}, "no request may be rejected or lost"
    assert len(traffic.answers) > OBSERVED_S / SENT_INTERVAL_S / 2.0
    return {sent.backend for sent in traffic.sent}


async def hang(second: SecondProcess) -> None:
    """Accept calls to discovery, and answer none."""


async def refuse(second: SecondProcess) -> None:
    await second.refuse_calls()


@pytest.mark.parametrize(
    ("discovery", "phase", "overlap"),
    [
        pytest.param(refuse, "draining", True, id="overlap-draining"),
        pytest.param(refuse, "gone", True, id="overlap-gone"),
        pytest.param(hang, "draining", True, id="overlap-hang"),
        pytest.param(refuse, "draining", False, id="ended before-draining"),
        pytest.param(hang, "gone", False, id="ended before-gone-hang"),
    ],
)
def test_a_process_that_reaches_no_discovery_sends_nothing_where_the_former_one_was_told_not_to(
    tmp_path: Path, discovery: object, phase: str, overlap: bool
) -> None:
    """Guard against review/8: a start on the configuration's list, older than what the relay was told."""

    async def body(env: RelayEnvironment) -> None:
        await tell_first_process(env, phase)
        if not overlap:
            await end_first_process(env)
        async with second_process(env) as second, background(discovery(second)):  # type: ignore[operator]
            await second.wait_for_log("serves at")
            if overlap:
                env.stop()
                await env.next_log_line("new connections are left to it")
                await asyncio.sleep(HAND_OVER_S)
            assert backends_of(await requests_placed(env)) == {"s-2"}

    run(tmp_path, body, **SHORT_DEADLINE)


@pytest.mark.parametrize("processes", [1, 2], ids=["killed", "three in turn"])
def test_what_a_killed_process_was_told_binds_the_next_ones(tmp_path: Path, processes: int) -> None:
    """Guard against a restart that forgets drains since nobody could hand them over."""

    async def body(env: RelayEnvironment) -> None:
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        async with second_process(env) as second:
            await second.answer_watch(s_1="draining", s_2="ready")
            await second.wait_for_log("s-1 draining")
            await end_first_process(env)
            second.process.kill()
            await second.process.wait()
        for _ in range(processes):
            async with second_process(env) as later, background(later.refuse_calls()):
                await later.wait_for_log("serves at")
                assert backends_of(await requests_placed(env)) == {"s-2"}

    run(tmp_path, body, **SHORT_DEADLINE)


def test_a_process_that_is_held_during_the_upgrade_has_told_the_new_one(tmp_path: Path) -> None:
    """Guard against a hand-over that needs the former process to run while the new one starts."""

    async def body(env: RelayEnvironment) -> None:
        await tell_first_process(env, "draining")
        env.process.send_signal(signal.SIGSTOP)
        asyncio.get_running_loop().call_later(HELD_S, env.process.send_signal, signal.SIGCONT)
        traffic = Traffic()
        async with second_process(env) as second, background(second.refuse_calls(), accept_requests(env, traffic)):
            await second.wait_for_log("serves at")
            async with background(send_requests_until_cancelled(env, traffic, SENT_INTERVAL_S)):
                await asyncio.sleep(HELD_S + 0.5)
            assert {sent.backend for sent in traffic.sent} == {"s-2"} and len(traffic.sent) > 30

    run(tmp_path, body, **SHORT_DEADLINE)


def test_a_backend_that_came_back_before_the_start_gets_work(tmp_path: Path) -> None:
    """Guard against drains that outlive what the relay was told last."""

    async def body(env: RelayEnvironment) -> None:
        await tell_first_process(env, "draining")
        env.update_endpoint("s-1", "ready")
        await env.next_log_line("s-1 ready")
        await end_first_process(env)
        async with second_process(env) as second, background(second.refuse_calls()):
            await second.wait_for_log("serves at")
            assert backends_of(await requests_placed(env)) == {"s-1", "s-2"}

    run(tmp_path, body, **SHORT_DEADLINE)


@pytest.mark.parametrize("revision", [99, 1], ids=["newer", "lower"])
def test_a_backend_that_comes_back_after_the_start_gets_work(tmp_path: Path, revision: int) -> None:
    """Guard against a stored list that outweighs discovery, also one that has begun its revisions anew."""

    async def body(env: RelayEnvironment) -> None:
        await tell_first_process(env, "draining")
        await end_first_process(env)
        async with second_process(env) as second:
            async with background(second.refuse_calls()):
                await second.wait_for_log("serves at")
                assert backends_of(await requests_placed(env)) == {"s-2"}
            returned_at = time.monotonic()
            members = [env.endpoint("s-1"), env.endpoint("s-2")]
            line = json.dumps({"revision": revision, "complete": True, "members": members}) + "\n"
            while not any("s-1 ready" in log_line for log_line in second.log_lines):
                watch = await second.discovery.next_connection()
                watch.writer.write(WATCH_RESPONSE_HEAD + f"{len(line):x}\r\n{line}\r\n".encode())
                await asyncio.sleep(0.05)
            assert time.monotonic() - returned_at < 6.0
            assert backends_of(await requests_placed(env)) == {"s-1", "s-2"}

    run(tmp_path, body, **SHORT_DEADLINE)


def test_an_unusable_stored_list_does_not_keep_a_process_from_serving(tmp_path: Path) -> None:
    """Guard against a start that fails at a file which is cut off."""

    async def body(env: RelayEnvironment) -> None:
        await tell_first_process(env, "draining")
        await end_first_process(env)
        (stored,) = tmp_path.glob("*.endpoints")
        stored.write_bytes(stored.read_bytes()[:-20])
        async with second_process(env) as second, background(second.refuse_calls()):
            await second.wait_for_log("the stored endpoint list is not used: the file is truncated or corrupt")
            await second.wait_for_log("serves at")
            assert backends_of(await requests_placed(env)) == {"s-1", "s-2"}, "by the list of the configuration"

    run(tmp_path, body, **SHORT_DEADLINE)
