"""Two processes of one relay overlap during an upgrade: what one of them was told binds both."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.upgrade import (
    GRACE_S,
    NO_LINK,
    TIMEOUT_SLACK_S,
    Traffic,
    accept_requests,
    second_process,
    send_requests,
)
from tests.stand_ins import SETTINGS, LinePeer, RelayEnvironment, run

CHAT = dict(SETTINGS["categories"][0])
DEADLINE_S = 3.0
LONG_DEADLINE: dict[str, Any] = {"categories": [CHAT | {"deadline_ms": 1000.0 * DEADLINE_S}]}
KILL_S = DEADLINE_S + 0.7  # the operators' SIGKILL, after SIGTERM
DRAIN_AFTER_S = 1.03  # from SIGTERM to the drain
HAND_OVER_S = 0.15  # a process may be held up for this long before it leaves new connections to the other one


async def hang_next_call(env: RelayEnvironment) -> None:
    """Reset the first process's watch; its next call gets no answer."""
    await asyncio.sleep(DRAIN_AFTER_S - 0.2)
    env.watch.writer.transport.abort()


async def keep_silent(env: RelayEnvironment) -> None:
    """Send nothing more on the first process's watch."""


async def update_first_process(env: RelayEnvironment) -> None:
    """Inform the first process of the drain as well."""
    await asyncio.sleep(DRAIN_AFTER_S)
    env.update_endpoint("s-1", "draining")


@pytest.mark.parametrize("watch", [keep_silent, hang_next_call, update_first_process])
@pytest.mark.parametrize("idle_s", [0.0, 0.9])
def test_nothing_is_sent_to_a_backend_whose_drain_only_the_new_process_was_told_of(
    tmp_path: Path, watch: Callable[[RelayEnvironment], Awaitable[None]], idle_s: float
) -> None:
    """Guard against report 340f24: a process that ends places by a list that nobody confirms any more."""

    async def body(env: RelayEnvironment) -> None:
        traffic = Traffic()
        tasks = [asyncio.ensure_future(accept_requests(env, traffic))]
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        await asyncio.sleep(0.1)
        async with second_process(env) as second:
            tasks.append(asyncio.ensure_future(send_requests(env, traffic, 0.02, idle_s)))
            await asyncio.sleep(0.2)
            env.stop()
            stopped_at = time.monotonic()
            tasks.append(asyncio.ensure_future(watch(env)))
            second_watch = await second.answer_watch(s_1="ready", s_2="ready")
            await asyncio.sleep(stopped_at + DRAIN_AFTER_S - time.monotonic())
            second_watch.writer.write(env.endpoint_list_chunk(False, env.endpoint("s-1", "draining")))
            drained_at = time.monotonic()
            await second.wait_for_log("serves at")
            handed_over_by = time.monotonic() + HAND_OVER_S
            assert await asyncio.wait_for(env.process.wait(), stopped_at + KILL_S - time.monotonic()) == 0
            await asyncio.sleep(0.1)
            for task in tasks:
                task.cancel()
            answers = list(traffic.answers)  # before the second process is killed
        late = [after_s for after_s in traffic.sent_to("s-1", drained_at) if after_s > GRACE_S + TIMEOUT_SLACK_S]
        assert late == [], f"sent to the draining backend {late} s after its drain"
        other = [answer for answer in answers if answer.word not in ("UP", "BUSY")]
        assert other == [] and len(answers) > 50, f"drained at {drained_at}"
        later = [answer.word for answer in answers if answer.connected_at > handed_over_by]
        assert set(later) == {"UP"}, "each connection that is opened once the new process serves"

    run(tmp_path, body, **LONG_DEADLINE)


async def pings(env: RelayEnvironment, until: float) -> list[tuple[float, str]]:
    """Send PING on new connections until this time, and return when each was sent and what was answered."""
    answers = []
    while time.monotonic() < until:
        sent_at = time.monotonic()
        try:
            answers.append((sent_at, await (await env.connect_client("PING")).read_line()))
        except ConnectionRefusedError:
            answers.append((sent_at, "refused"))
        await asyncio.sleep(0.01)
    return answers


def test_new_connections_go_to_the_new_process_once_the_old_one_has_to_end(tmp_path: Path) -> None:
    """Guard against connections that reach a process which ends in half a second, while another one serves."""

    async def body(env: RelayEnvironment) -> None:
        async with second_process(env) as second:
            await second.wait_for_log("serves at")
            env.stop()
            stopped_at = time.monotonic()
            answers = await pings(env, stopped_at + 2.0)
            handed_over_by = stopped_at + HAND_OVER_S
            late = [round(at - stopped_at, 3) for at, answer in answers if at > handed_over_by and answer != "PONG"]
            assert late == [], f"not answered by the new process {late} s after SIGTERM"
            assert "refused" not in {answer for _, answer in answers}
            assert "" not in {answer for _, answer in answers}, "closed without an answer"
            assert second.process.returncode is None

    run(tmp_path, body, **LONG_DEADLINE)


def test_a_process_that_ends_without_another_one_serves_to_its_end(tmp_path: Path) -> None:
    """Guard against a hand-over to nobody."""

    async def body(env: RelayEnvironment) -> None:
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        env.stop()
        stopped_at = time.monotonic()
        while time.monotonic() < stopped_at + 2.0:
            await env.established_connection()
            await asyncio.sleep(0.1)

    run(tmp_path, body, **LONG_DEADLINE)


def test_a_new_process_does_not_use_a_cached_list_that_the_old_process_knows_to_be_outdated(tmp_path: Path) -> None:
    """Guard against a start on the cached list of the configuration, in which a drain of long ago is missing."""

    async def body(env: RelayEnvironment) -> None:
        traffic = Traffic()
        tasks = [asyncio.ensure_future(accept_requests(env, traffic))]
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1", "draining"), env.endpoint("s-2"))
        await env.next_log_line("s-1 draining")
        drained_at = time.monotonic()
        await asyncio.sleep(GRACE_S + TIMEOUT_SLACK_S)
        for stored_list in tmp_path.glob("*.endpoints"):  # this is the case in which the new process has no newer list
            stored_list.unlink()
        async with second_process(env, NO_LINK) as second:
            tasks.append(asyncio.ensure_future(send_requests(env, traffic, 0.01)))
            call = await second.discovery.next_connection()
            await asyncio.sleep(0.5)  # discovery takes its time
            second.discovery.accepted.put_nowait(call)
            await second.answer_watch(s_1="draining", s_2="ready")
            await second.wait_for_log("s-1 draining")
            await asyncio.sleep(0.3)
            for task in tasks:
                task.cancel()
            answers = list(traffic.answers)  # before the second process is killed
        late = [after_s for after_s in traffic.sent_to("s-1", drained_at) if after_s > GRACE_S + TIMEOUT_SLACK_S]
        assert late == [], f"sent to the draining backend {late} s after its drain"
        assert len(answers) > 50 and {answer.word for answer in answers} == {"UP"}

    run(tmp_path, body)


def test_a_new_process_serves_soon_although_discovery_does_not_answer_it(tmp_path: Path) -> None:
    """Guard against an upgrade that waits for discovery until the old process has ended."""

    async def body(env: RelayEnvironment) -> None:
        async with second_process(env) as second:
            started_at = time.monotonic()
            await second.wait_for_log("serves at")
            assert time.monotonic() - started_at < DEADLINE_S

    run(tmp_path, body)


def test_the_old_process_serves_again_if_the_new_one_dies(tmp_path: Path) -> None:
    """Guard against a relay without a listener, since the process that took over was killed."""

    async def body(env: RelayEnvironment) -> None:
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        async with second_process(env) as second:
            env.stop()
            await env.next_log_line("new connections are left to it")
            second.process.kill()
            await second.process.wait()
            await env.next_log_line("new connections are accepted again")
            await env.established_connection()

    run(tmp_path, body, **LONG_DEADLINE)


# --- the last moments of a process -----------------------------------------------------------------


@pytest.mark.parametrize("left_s, starts", [(0.15, False), (1.0, True)])
def test_no_attempt_begins_moments_before_the_process_ends(tmp_path: Path, left_s: float, starts: bool) -> None:
    """Guard against an attempt that can only fail, where the answer that a retry is harmless was still possible."""
    shutdown_s = DEADLINE_S + 0.3

    async def body(env: RelayEnvironment) -> None:
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        env.stop()
        stopped_at = time.monotonic()
        await asyncio.sleep(shutdown_s - 1.5)
        client = await env.open_request(deadline_ms=3000)
        _, first, _ = await env.next_attempt()
        await asyncio.sleep(stopped_at + shutdown_s - left_s - time.monotonic())
        first.send_lines("BUSY")
        first.writer.close()
        if starts:
            _, second, _ = await env.next_attempt()
            second.send_lines("UP r1")
            assert await client.read_line() == "UP r1"
            return
        assert (await client.read_line()).startswith("BUSY")
        assert await asyncio.wait_for(env.process.wait(), 1.0) == 0
        assert [peer for backend in env.backends.values() for peer in drain(backend.accepted) if peer.first_line] == []

    run(tmp_path, body, **LONG_DEADLINE)


def drain(queue: asyncio.Queue[LinePeer]) -> list[LinePeer]:
    return [queue.get_nowait() for _ in range(queue.qsize())]
