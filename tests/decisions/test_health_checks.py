"""Health checks: schedule, and load reports received over sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.decisions.reporting_relay import Relay
from tests.stand_ins import SETTINGS, RelayEnvironment, relay
from yarrowspindle.decisions.health_checks import HEALTH_CHECK_INTERVAL_MS


def test_new_connections_pay_for_health_checks_and_the_longest_unchecked_backend_is_checked_first() -> None:
    r = Relay()
    r.run(5000.0)
    assert r.checks == [], "without new connections there is no credit for health checks"
    for _ in range(4):
        r.place()
    r.run(HEALTH_CHECK_INTERVAL_MS)
    assert len(r.checks) == 6 and set(r.checks) == set(r.utilization)
    r.run(20_000.0)
    assert len(r.checks) == 6
    without_reports = Relay(load_report_fields=())
    without_reports.place()
    without_reports.run(5000.0)
    assert without_reports.checks == [], "no health check is sent if its answer has no load report"


# --- on sockets -----------------------------------------------------------------------------------

WITH_HEALTH_CHECKS: dict[str, Any] = {
    "stats": {"columns": ["rif", "x0"], "source": "probe"},
    "limits": SETTINGS["limits"] | {"conn_idle_ms": 5000.0},
}


def run(tmp: Path, answers: dict[str, str], body: Any, **changes: Any) -> None:
    """Run `body` against a relay whose stand-in backends answer `STATS` with their line of `answers`, if any."""

    async def inside() -> None:
        async with relay(tmp, **(WITH_HEALTH_CHECKS | changes)) as env:
            for name, backend in env.backends.items():
                backend.stats_reply = answers.get(name)
            await body(env)

    asyncio.run(inside())


async def wait_for_health_checks(env: RelayEnvironment, name: str, times: int) -> None:
    """Open and close connections, which earn credit, until the backend was checked `times` times."""
    while env.backends[name].probes_received < times:
        client, _, backend = await env.established_connection()
        backend.send_lines("BYE")
        backend.writer.close()
        await client.read_line()
        await asyncio.sleep(0.02)


def test_health_checks_use_connections_of_their_own_and_a_full_backend_gets_nothing(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        for name in env.backends:
            await wait_for_health_checks(env, name, 2)
        assert {(await env.established_connection())[1] for _ in range(8)} == {"s-2"}
        assert max(backend.probe_connections for backend in env.backends.values()) == 1, (
            "one connection serves all health checks"
        )

    run(tmp_path, {"s-1": "PONG rif=40,x0=2.5", "s-2": "PONG rif=2,x0=0.1"}, body)


def test_a_backend_that_never_answers_its_health_check_is_ejected(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        await wait_for_health_checks(env, "s-2", 3)
        await env.next_log_line("execute node s-1 does not answer its probe: no answer in time")
        assert {(await env.established_connection())[1] for _ in range(8)} == {"s-2"}
        env.backends["s-1"].stats_reply = "PONG rif=0,x0=0.0"
        while "s-1" not in {(await env.established_connection())[1] for _ in range(4)}:
            await asyncio.sleep(0.1)
        await env.next_log_line("execute node s-1 answers its probes again")

    run(tmp_path, {"s-2": "PONG rif=2,x0=0.1"}, body)


@pytest.mark.parametrize("nonsense", ["NO", "PONG x0=a lot", "x" * 5000])
def test_an_invalid_report_is_logged_and_placement_continues_without_it(tmp_path: Path, nonsense: str) -> None:
    async def body(env: RelayEnvironment) -> None:
        client, _, backend = await env.established_connection()
        assert "WARNING" in await env.next_log_line("execute node s-")
        established = [await env.established_connection() for _ in range(6)]
        assert {name for _, name, _ in established} == {"s-1", "s-2"}, (
            "an invalid report does not count against its backend"
        )
        backend.send_lines("still here")
        assert await client.read_line() == "still here"

    run(tmp_path, dict.fromkeys(("s-1", "s-2"), nonsense), body)


def test_no_health_check_is_sent_if_settings_do_not_allow_it(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        for _ in range(4):
            await env.established_connection()
        await asyncio.sleep(1.2)  # two health-check intervals
        assert not any(backend.probes_received for backend in env.backends.values())

    run(tmp_path, {}, body, limits=WITH_HEALTH_CHECKS["limits"] | {"probing": False})
