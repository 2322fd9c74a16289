"""Rules of a model run, checked on messages between the modelled parties and not on the reducer's own state.

The rules by their names in reports:

    one final answer        a request gets a single final answer
    in time                 the answer comes within the deadline of the request, plus a tolerance
    one attempt out         a request has at most one open attempt
    drain                   a draining or removed backend gets no request after the drain grace
    no cold node falls      no backend crashes of overload while it warms up
    moves only what stands  only a request with a client and an attempt is migrated
"""

from __future__ import annotations

from collections import Counter


class RuleViolation(AssertionError):
    """Raised if a rule was violated; the text names each violated rule with the time of its first violation."""


class Rules:
    """Violations of a run, counted by rule, with a description of the first violation of each rule."""

    def __init__(self) -> None:
        self.violations: Counter[str] = Counter()
        self.first_violations: dict[str, str] = {}

    def record(self, rule: str, at_s: float, detail: str) -> None:
        """Record a violation of the rule at this time of the run."""
        self.violations[rule] += 1
        self.first_violations.setdefault(rule, f"{rule} at {at_s:.3f} s: {detail}")

    def check(self) -> None:
        """Raise RuleViolation if a rule was violated."""
        if self.violations:
            raise RuleViolation("; ".join(self.first_violations.values()))
