"""The log, and a bound on how fast others can make it grow."""

from __future__ import annotations

import sys
from collections.abc import Callable

from loguru import logger

AT_ONCE, EACH_S = 20, 1.0


def log_to(level: str) -> None:
    logger.remove()
    # diagnose: annotated tracebacks show the values of variables, clients' keys among them.
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level=level, backtrace=False, diagnose=False)


class Bounded:
    """Warnings that strangers can cause: so many in a second, then a count of the others."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock, self.since, self.said, self.unsaid = clock, clock(), 0, 0

    def warn(self, text: str) -> None:
        now = self.clock()
        if now >= self.since + EACH_S:
            if self.unsaid:
                logger.warning("and {} more warnings like these", self.unsaid)
            self.since, self.said, self.unsaid = now, 0, 0
        if self.said < AT_ONCE:
            self.said += 1
            logger.warning("{}", text)
        else:
            self.unsaid += 1
