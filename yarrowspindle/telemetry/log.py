"""The process's log on standard error, and a rate limit for warnings that clients can cause."""

from __future__ import annotations

import sys
from collections.abc import Callable

from loguru import logger

# With the process id: during an upgrade two processes of a relay may write to the same log.
LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} [{process}] {message}"
MAX_WARNINGS = 20  # per WARNING_PERIOD_S
WARNING_PERIOD_S = 1.0


def configure_log(level: str) -> None:
    """Log messages of this level and above to standard error, replacing the previous configuration."""
    logger.remove()
    # `diagnose` would annotate tracebacks with the values of variables, which include clients' keys.
    logger.add(sys.stderr, format=LOG_FORMAT, level=level, backtrace=False, diagnose=False)


class RateLimitedLog:
    """Log for warnings that clients can cause: MAX_WARNINGS per period, then only a count of the others.

    Args:
        clock: returns the seconds of a monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.period_start = clock()
        self.logged = 0
        self.suppressed = 0

    def warn(self, text: str) -> None:
        """Log the warning, or only count it if too many were logged in this period."""
        now = self.clock()
        if now >= self.period_start + WARNING_PERIOD_S:
            if self.suppressed:
                logger.warning("{} more warnings suppressed by the rate limit", self.suppressed)
            self.period_start = now
            self.logged = 0
            self.suppressed = 0
        if self.logged < MAX_WARNINGS:
            self.logged += 1
            logger.warning("{}", text)
        else:
            self.suppressed += 1
