"""The process's log on standard error, and a limit on warnings that clients can cause."""

from __future__ import annotations

import sys
from collections.abc import Callable

from loguru import logger

LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"
MAX_WARNINGS = 20  # in each period
WARNING_PERIOD_S = 1.0


def configure_log(level: str) -> None:
    """Logs from this level on, in place of what was set before."""
    logger.remove()
    # Without `diagnose`: annotated tracebacks show the values of variables, clients' keys among them.
    logger.add(sys.stderr, format=LOG_FORMAT, level=level, backtrace=False, diagnose=False)


class RateLimitedLog:
    """Warnings that clients can cause: MAX_WARNINGS in a period, then a count of the others.

    Args:
        clock: seconds of a clock that never goes back.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.period_start = clock()
        self.logged = 0
        self.suppressed = 0

    def warn(self, text: str) -> None:
        """Logs the warning, or counts it where too many were logged in this period."""
        now = self.clock()
        if now >= self.period_start + WARNING_PERIOD_S:
            if self.suppressed:
                logger.warning("and {} more warnings like these", self.suppressed)
            self.period_start = now
            self.logged = 0
            self.suppressed = 0
        if self.logged < MAX_WARNINGS:
            self.logged += 1
            logger.warning("{}", text)
        else:
            self.suppressed += 1
