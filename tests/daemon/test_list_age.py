"""How old a relay's endpoint list gets when the watch on it fails, on real sockets."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.upgrade import GRACE_S, REFUSED, TIMEOUT_SLACK_S, Traffic, accept_requests, send_requests
from tests.stand_ins import SETTINGS, WATCH_RESPONSE_HEAD, LineServer, RelayEnvironment, run
from yarrowspindle.decisions.events import ListKind
from yarrowspindle.protocol.endpoint_list import ZoneAndKindNames
from yarrowspindle.runtime.endpoint_watch import EndpointWatch

MAX_LIST_AGE_S = 6.0
SLOW_POLLS = SETTINGS["obligations"] | {"ask_within_ms": 10_000.0}
STATE_CHANGE_S = 3.3  # after the last data on the watch; a process that is stopped then lives to the end of the test
LONG_DEADLINE = [dict(SETTINGS["categories"][0]) | {"deadline_ms": 3000.0}]


def stay(env: RelayEnvironment) -> None:
    """Leave the relay as it is."""


@pytest.mark.parametrize(
    "balancers, first_call, answer_delay_s, change_state",
    (
        (30, "refused", 0.0, stay),
        (3, "hangs", 0.8, stay),
        (30, "hangs", 0.8, stay),
        (30, "refused", 0.0, RelayEnvironment.reload),
        (30, "hangs", 0.8, RelayEnvironment.reload),
        (30, "refused", 0.0, RelayEnvironment.stop),
        (30, "hangs", 0.8, RelayEnvironment.stop),
    ),
)
@pytest.mark.parametrize("seed", ("2", "16"))
def test_a_drain_is_known_in_time_although_the_watch_is_silent_and_the_next_call_fails(
    tmp_path: Path,
    balancers: int,
    first_call: str,
    answer_delay_s: float,
    change_state: Callable[[RelayEnvironment], None],
    seed: str,
) -> None:
    """Guard against a list that is confirmed 7 s after the watch has fallen silent, with discovery well."""

    async def body(env: RelayEnvironment) -> None:
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        silent_since = time.monotonic()
        asyncio.get_running_loop().call_later(STATE_CHANGE_S, change_state, env)
        await env.next_watch()
        if first_call == "refused":
            env.watch.writer.write(REFUSED)
            env.watch.writer.close()
        await env.next_watch()
        await asyncio.sleep(answer_delay_s)
        env.answer_watch(env.endpoint("s-1", "draining"), env.endpoint("s-2"))
        await env.next_log_line("s-1 draining")
        assert time.monotonic() - silent_since < MAX_LIST_AGE_S + GRACE_S + TIMEOUT_SLACK_S

    run(tmp_path, body, seed=seed, balancers=balancers, obligations=SLOW_POLLS, categories=LONG_DEADLINE)


def test_a_list_that_arrives_after_the_time_limit_of_its_call_is_used(tmp_path: Path) -> None:
    """Guard against a call that is given up although its answer, which counts as told, is under way."""

    async def body(env: RelayEnvironment) -> None:
        await env.next_watch()
        first = env.watch
        await env.next_watch()
        env.watch = first
        env.answer_watch(env.endpoint("s-1", "draining"), env.endpoint("s-2"))
        await env.next_log_line("s-1 draining")

    run(tmp_path, body)


@pytest.mark.parametrize("change_state", (stay, RelayEnvironment.reload, RelayEnvironment.stop))
def test_a_pushed_list_is_known_within_the_grace_although_the_watch_and_the_next_call_are_reset(
    tmp_path: Path, change_state: Callable[[RelayEnvironment], None]
) -> None:
    """Guard against a fixed pause of 250 ms after each failed call, of which two exceed the grace."""

    async def body(env: RelayEnvironment) -> None:
        traffic = Traffic()
        tasks = [asyncio.ensure_future(accept_requests(env, traffic))]
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2"))
        tasks.append(asyncio.ensure_future(send_requests(env, traffic, 0.02)))
        change_state(env)
        await asyncio.sleep(0.05)
        env.watch.writer.transport.abort()
        drained_at = time.monotonic()
        for _ in range(2):
            await env.next_watch()
            env.watch.writer.transport.abort()
        for _ in range(3):
            await env.next_watch()
            env.answer_watch(env.endpoint("s-1", "draining"), env.endpoint("s-2"))
        await asyncio.sleep(0.3)
        for task in tasks:
            task.cancel()
        late = [after_s for after_s in traffic.sent_to("s-1", drained_at) if after_s > GRACE_S + TIMEOUT_SLACK_S]
        assert late == [] and len(traffic.answers) > 10

    run(tmp_path, body, discovery="automatic", limits=SETTINGS["limits"] | {"probing": False})


@pytest.mark.parametrize("error_number", (errno.ENOMEM, errno.ENOBUFS, errno.EMFILE))
def test_failing_system_calls_of_the_relay_do_not_count_as_failures_of_discovery(
    error_number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a pause of 250 ms or more after each of them, of which two exceed the grace."""

    async def body() -> None:
        loop, failures_left = asyncio.get_running_loop(), 8
        connect = loop.create_connection

        async def fail_first(*args: Any, **kwargs: Any) -> Any:
            nonlocal failures_left
            if failures_left:
                failures_left -= 1
                raise OSError(error_number, "the system is short of it")
            return await connect(*args, **kwargs)

        monkeypatch.setattr(loop, "create_connection", fail_first)
        discovery = await LineServer().open()
        updates: list[ListKind] = []
        watch = EndpointWatch(ZoneAndKindNames(), lambda update: updates.append(update.kind), lambda reason: None)
        watch.open(1, ("127.0.0.1", discovery.port))
        await asyncio.wait_for(discovery.next_connection(), GRACE_S)
        assert updates == [] and not failures_left
        watch.close()

    asyncio.run(body())


def test_a_late_answer_of_the_former_discovery_does_not_replace_the_watch_on_the_new_one(tmp_path: Path) -> None:
    """Guard against a relay that, after SIGHUP, stays on a service at the former address until that ends the watch."""

    async def body(env: RelayEnvironment) -> None:
        await env.next_watch()
        hanging = env.watch
        await env.next_watch()  # beside the hanging call
        new_discovery = await LineServer().open()
        env.reload(discovery=f"127.0.0.1:{new_discovery.port}")
        watch = await new_discovery.next_connection()
        while await watch.read_line():
            pass
        env.watch = hanging
        env.answer_watch(env.endpoint("s-1", "draining"), env.endpoint("s-2"))
        await env.next_log_line("s-1 draining")  # what a service has sent counts as told
        watch.writer.write(
            WATCH_RESPONSE_HEAD + env.endpoint_list_chunk(True, env.endpoint("s-1"), env.endpoint("s-2", "draining"))
        )
        await env.next_log_line("s-2 draining")

    run(tmp_path, body)
