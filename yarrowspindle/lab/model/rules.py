"""The rules, checked on what passes between the parties of the model, not on the reducer's own books."""

from __future__ import annotations

from collections import Counter


class RuleViolation(AssertionError):
    """A rule of the run does not hold; the text names the rule and its step."""


class Rules:
    """Counts what is forbidden; `first` keeps the first break of each rule with its time."""

    def __init__(self) -> None:
        self.violations: Counter[str] = Counter()
        self.first_violations: dict[str, str] = {}

    def record(self, rule: str, at_s: float, detail: str) -> None:
        self.violations[rule] += 1
        self.first_violations.setdefault(rule, f"{rule} at {at_s:.3f} s: {detail}")

    def check(self) -> None:
        if self.violations:
            raise RuleViolation("; ".join(self.first_violations.values()))
