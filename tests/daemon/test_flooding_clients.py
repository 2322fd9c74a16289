"""Usual clients are answered in time while others send at full speed, on real sockets."""

from __future__ import annotations

from contextlib import AsyncExitStack
from pathlib import Path

from tests.daemon.load import LATE_S, WAIT_MS, echoing, usual_requests
from tests.flooding_clients import Load, flooding
from tests.stand_ins import RelayEnvironment, run

MAX_WAIT_S = WAIT_MS / 1000.0 + LATE_S
FLOOD_S = 6.0
FLOODING_PROCESSES = 3  # one alone does not send to all of its clients at full speed


def test_requests_are_answered_in_time_while_rejected_clients_go_on_sending(tmp_path: Path) -> None:
    """Guard against an accept queue that is left alone because no answered client that still sends was ended."""

    async def body(env: RelayEnvironment) -> None:
        async with echoing(env) as load, AsyncExitStack() as floods:
            for _ in range(FLOODING_PROCESSES):
                await floods.enter_async_context(flooding(env.port, 20, Load(piece="x"), 2.0 * FLOOD_S))
            await usual_requests(env, load, FLOOD_S)
        assert load.words().keys() <= {"UP", "BUSY"}, load.words()
        assert load.longest_wait_s() <= MAX_WAIT_S

    run(tmp_path, body, sockets=160)
