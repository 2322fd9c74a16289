"""Tests listed in KNOWN-RED.txt may fail, and no others. Each test runs pytest in a directory of its own."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.stand_ins import ROOT
from tools.known_red import FORM

TEST_FILE = """
import pytest

def test_good():
    pass

def test_bad():
    assert False

def test_other():
    assert False

def test_third():
    assert False

@pytest.mark.parametrize("n", [1, 2])
def test_cases(n):
    assert n == 1

@pytest.fixture
def breaks():
    yield
    raise OSError

def test_breaks_after(breaks):
    pass
"""


def entry(test: str, issue: str) -> str:
    return f"tests/test_it.py::{test} | pytest --seed 7 | it failed | {issue}"


BAD, CASES = entry("test_bad", "#1"), entry("test_cases", "#2")


def run(directory: Path, lines: list[str] | None, *selected: str, side_by_side: bool = False) -> tuple[int, list[str]]:
    (directory / "tests").mkdir()
    (directory / "tests/test_it.py").write_text(TEST_FILE)
    (directory / "pytest.ini").write_text("[pytest]\n")
    if lines is not None:
        (directory / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    command = [sys.executable, "-B", "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "tools.known_red"]
    command += ["-p", "xdist", "-n", "2"] if side_by_side else []
    env = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST_")}
    env |= {"PYTHONPATH": str(ROOT), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    process = subprocess.run(
        [*command, *(f"tests/test_it.py::test_{name}" for name in selected)],
        cwd=directory,
        env=env,
        capture_output=True,
        text=True,
        check=False,
    )
    print(process.stdout, process.stderr)
    return process.returncode, process.stdout.splitlines()


@pytest.mark.parametrize("side_by_side", [False, True])
def test_listed_failures_are_printed_and_do_not_fail_the_run(tmp_path: Path, side_by_side: bool) -> None:
    exit_status, output = run(
        tmp_path,
        [BAD, CASES, entry("test_third", "#3")],
        "good",
        "bad",
        "cases",
        "third",
        side_by_side=side_by_side,
    )
    assert exit_status == 0 and output[-1].startswith("3 failed, 2 passed in ")
    assert f"failed: {BAD}" in output and f"failed and passed: {CASES}" in output


def test_the_number_of_entries_has_no_limit(tmp_path: Path) -> None:
    cases = [entry(f"test_cases[{number}]", "#2") for number in (1, 2)]
    lines = [BAD, *cases, entry("test_third", "#3"), entry("test_other", "#4")]
    exit_status, output = run(tmp_path, lines, "good", "bad", "cases", "third", "other")
    assert exit_status == 0 and output[-1].startswith("4 failed, 2 passed in ")
    assert sum(line.startswith(("failed: ", "passed: ")) for line in output) == len(lines)


def test_a_listed_test_that_passes_is_printed(tmp_path: Path) -> None:
    line = entry("test_good", "#1")
    exit_status, output = run(tmp_path, [line], "good")
    assert exit_status == 0 and f"passed: {line}" in output and output[-1].startswith("1 passed in ")


@pytest.mark.parametrize(
    ("lines", "selected", "side_by_side"),
    [
        (None, ["good", "bad"], False),
        ([], ["good", "bad"], False),
        ([BAD], ["good", "bad", "other"], False),
        ([BAD], ["good", "bad", "other"], True),
        ([BAD], ["bad", "breaks_after"], False),
        ([entry("test_cases[1]", "#1")], ["cases"], False),
        ([entry("test_b", "#1")], ["bad"], False),
    ],
)
def test_any_other_failure_fails_the_run(
    tmp_path: Path, lines: list[str] | None, selected: list[str], side_by_side: bool
) -> None:
    assert run(tmp_path, lines, *selected, side_by_side=side_by_side)[0] == 1


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ([BAD, entry("test_gone", "#2")], "WRONG: no such test was run: tests/test_it.py::test_gone"),
        ([BAD, "tests/test_it.py::test_cases | #2"], f"WRONG: not `{FORM}`: tests/test_it.py::test_cases | #2"),
        ([BAD, f"{CASES} | more"], f"WRONG: not `{FORM}`: {CASES} | more"),
        ([BAD, CASES.replace("it failed", "")], f"WRONG: not `{FORM}`: {CASES.replace('it failed', '')}"),
        ([BAD, BAD], "WRONG: named twice: tests/test_it.py::test_bad"),
    ],
)
def test_a_mistake_in_the_list_fails_the_run(tmp_path: Path, lines: list[str], message: str) -> None:
    exit_status, output = run(tmp_path, lines, "good", "bad", "cases", "third")
    assert exit_status == 1 and message in output
    assert " passed in " in output[-1]


def test_a_mistake_in_the_list_fails_a_run_in_which_all_tests_passed(tmp_path: Path) -> None:
    exit_status, output = run(tmp_path, [BAD], "good")
    assert exit_status == 1 and output[-1].startswith("1 passed in ")


def test_without_the_file_the_plugin_changes_nothing(tmp_path: Path) -> None:
    exit_status, output = run(tmp_path, None, "good")
    assert exit_status == 0 and not any("KNOWN-RED" in line for line in output)
