"""Real relay processes with injected faults, the checker that watches them from outside, and the daemon alone."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.ports import free_port
from tests.stand_ins import ROOT, relay
from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.daemon.operator_config import read_operator_config
from yarrowspindle.lab.processes import Run, run_scenario
from yarrowspindle.lab.processes.__main__ import main
from yarrowspindle.lab.processes.checker import Checker, Obligations


@pytest.mark.parametrize(
    ("seed", "fault_kinds"),
    [
        (7, ("loss", "cut", "kill", "stall")),
        (12, ("split", "double", "reorder", "corrupt")),
    ],
)
def test_five_relays_violate_no_rule_and_agree_after_the_faults(seed: int, fault_kinds: tuple[str, ...]) -> None:
    report = asyncio.run(run_scenario(Run(seed=seed, fault_kinds=fault_kinds)))
    print(report)
    assert not report.violations, str(report)
    assert report.counts["up"] > 300 and report.datagrams["lost"] > 0 and report.agreed_s >= 0.0
    assert report.served_fraction > 0.9, "faults between relays must hardly affect the clients"


def test_the_command_rejects_invalid_arguments(capsys: pytest.CaptureFixture[str]) -> None:
    for arguments in (["--faults", "los"], ["--relays", "0"], ["--seed", "x"]):
        with pytest.raises(SystemExit) as ended:
            main(arguments)
        assert ended.value.code == 2
    assert "unknown fault 'los'; known faults: loss," in capsys.readouterr().err


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def now(self) -> float:
        return self.now_s


def new_checker() -> tuple[Checker, Clock]:
    clock = Clock()
    return Checker(clock.now, Obligations()), clock


def test_the_checker_finds_duplicate_late_and_missing_answers() -> None:
    checker, clock = new_checker()
    request = checker.record_request("r0", 2.0)
    checker.record_answer(request, "UP")
    assert not checker.violations
    checker.record_answer(request, "BUSY")
    assert "one final answer" in checker.violations[-1]
    request = checker.record_request("r0", 2.0)
    clock.now_s = 2.7
    checker.record_answer(request, "BUSY")
    assert "in time" in checker.violations[-1]
    checker.record_end(checker.record_request("r0", 2.0))
    assert "closed a connection that it had not answered" in checker.violations[-1]
    request = checker.record_request("r0", 2.0)
    clock.now_s = 6.0
    assert checker.check_overdue(request) and len(checker.violations) == 4


def test_the_checker_reports_no_violation_of_a_relay_that_was_suspended_or_killed() -> None:
    checker, clock = new_checker()
    request, other_request = checker.record_request("r0", 2.0), checker.record_request("r0", 2.0)
    clock.now_s = 1.0
    checker.relay_suspended("r0")
    clock.now_s = 4.0
    checker.relay_resumed("r0")
    checker.record_answer(request, "UP")
    checker.record_end(other_request)
    assert not checker.violations and checker.counts["lost with a relay"] == 1


def test_the_checker_finds_two_attempts_a_violated_drain_and_an_overloaded_starting_backend() -> None:
    checker, clock = new_checker()
    checker.record_attempt("r0", "n0", "1", "first")
    checker.record_attempt_end("1", "first")
    checker.record_attempt("r0", "n1", "1", "second")
    assert not checker.violations
    checker.record_attempt("r0", "n2", "1", "third")
    assert "one attempt out" in checker.violations[-1]
    checker.record_backend_state("r0", "n3", False)
    clock.now_s = 0.9
    checker.record_attempt("r0", "n3", "2", "a")
    assert len(checker.violations) == 1, "the drain grace period has not ended"
    clock.now_s = 1.2
    checker.record_attempt("r1", "n3", "3", "b")
    assert len(checker.violations) == 1, "r1 does not know that the backend drains"
    checker.record_attempt("r0", "n3", "4", "c")
    assert "drain" in checker.violations[-1]
    checker.backend_started("n4")
    for index in range(60):
        clock.now_s += 0.02
        checker.record_attempt("r0", "n4", f"c{index}", index)
    assert "cold" in checker.violations[-1]


def test_members_agree_only_if_all_relays_recently_sent_the_same_digest() -> None:
    checker, clock = new_checker()
    checker.record_digest("r0", 5)
    clock.now_s = 1.0
    checker.record_digest("r1", 5)
    assert (
        checker.members_agree(["r0", "r1"], 0.0)
        and not checker.members_agree(["r0", "r1"], 0.5)
        and not checker.members_agree(["r0", "r2"], 0.0)
    )
    checker.record_digest("r0", 6)
    assert not checker.members_agree(["r0", "r1"], 0.0)


# --- the daemon alone -----------------------------------------------------------------------------


def test_no_module_of_peers_or_maintenance_is_loaded_without_their_sections() -> None:
    code = (
        "import sys, yarrowspindle.daemon.main, yarrowspindle.fronts.line_front; "
        "words = ('membership', 'maintenance', 'consensus', 'fragments', 'voter', 'yarrowspindle.storage'); "
        "print([m for m in sys.modules if any(w in m for w in words) or m in ('msgspec', 'click')])"
    )
    result = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"


@pytest.mark.parametrize(
    ("section", "message"),
    [
        ('listen = "nowhere"', "peers.listen is 'nowhere'"),
        ('listen = "127.0.0.1:1"\nprobes = 1', "unknown key peers.probes; did you mean probe_s"),
    ],
)
def test_an_invalid_section_fails_the_start_and_names_the_key(section: str, message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        read_operator_config(f"[peers]\n{section}\n")


def test_requests_are_served_while_the_daemon_waits_for_an_occupied_address(tmp_path: Path) -> None:
    async def body() -> None:
        with socket.socket(type=socket.SOCK_DGRAM) as occupied:
            port = free_port()
            occupied.bind(("127.0.0.1", port))
            async with relay(tmp_path, f'[peers]\nlisten = "127.0.0.1:{port}"\nseeds = []\n') as environment:
                await environment.next_log_line(f"cannot listen at 127.0.0.1:{port} yet")
                await environment.established_connection()
                occupied.close()
                await environment.next_log_line(f"listens at 127.0.0.1:{port}")
                await environment.established_connection()
                environment.stop()
                await environment.next_log_line("stopped")

    asyncio.run(body())
