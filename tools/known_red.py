"""A plugin of pytest for `.ci/run`: tests that fail for a known fault are run and told, and alone do not fail the run.

KNOWN-RED.txt at the root names them, one a line and three at most, as `tests/file.py::test_name | cause | issue`. The
name stands for all cases of its parameters, or for one where the brackets are given too. A line that is no such line
or names no test that was run, a fourth line, and any other failure or error fail the run.
"""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


def names_of(nodeid: str) -> set[str]:
    """All names by which a line may call a test."""
    return {nodeid, nodeid.partition("[")[0]}


class KnownRed:
    def __init__(self, text: str) -> None:
        self.causes: dict[str, str] = {}
        self.wrong: list[str] = []
        self.failed = 0
        self.outcomes: defaultdict[str, set[str]] = defaultdict(set)
        lines = [line for line in text.splitlines() if line.strip()]
        for line in lines:
            parts = [part.strip() for part in line.split(" | ")]
            if len(parts) != 3 or not all(parts) or parts[0] in self.causes:
                self.wrong.append(f"not `test | cause | issue`, or twice: {line}")
            else:
                self.causes[parts[0]] = f"{parts[1]} | {parts[2]}"
        if len(lines) > MOST:
            self.wrong.append(f"{len(lines)} lines, {MOST} at most")

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        for name in names_of(report.nodeid) & self.causes.keys():
            if report.when == "call" or report.outcome != "passed":
                self.outcomes[name].add(report.outcome)
        if report.failed and names_of(report.nodeid) & self.causes.keys():
            self.failed += 1

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        self.wrong += [f"no such test was run: {name}" for name in self.causes if not self.outcomes[name]]
        if self.wrong:
            session.exitstatus = session.exitstatus or pytest.ExitCode.TESTS_FAILED
        elif session.exitstatus == pytest.ExitCode.TESTS_FAILED and session.testsfailed == self.failed:
            session.exitstatus = pytest.ExitCode.OK

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        terminalreporter.section(FILE)
        for name, cause in self.causes.items():
            outcome = " and ".join(sorted(self.outcomes[name])) or "not run"
            terminalreporter.line(f"{outcome}: {name} | {cause}")
        for what in self.wrong:
            terminalreporter.line(f"WRONG: {what}")


def pytest_configure(config: pytest.Config) -> None:
    path = Path(config.rootpath) / FILE
    if path.exists() and not hasattr(config, "workerinput"):
        config.pluginmanager.register(KnownRed(path.read_text(encoding="utf-8")))
