"""The rate limit for warnings that clients can cause."""

from __future__ import annotations

from yarrowspindle.telemetry.log import MAX_WARNINGS, WARNING_PERIOD_S, RateLimitedLog


def test_warnings_that_clients_can_cause_are_limited() -> None:
    now = [0.0]
    log = RateLimitedLog(lambda: now[0])
    for _ in range(10 * MAX_WARNINGS):
        log.warn("a bad line")
    assert (log.logged, log.suppressed) == (MAX_WARNINGS, 9 * MAX_WARNINGS)
    now[0] = WARNING_PERIOD_S
    log.warn("a bad line")
    assert (log.logged, log.suppressed) == (1, 0)
