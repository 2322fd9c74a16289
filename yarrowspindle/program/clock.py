"""Time for the core: Unix milliseconds that never go back, and the timers that the reducer asks for."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class Clock:
    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        return (time.monotonic() + self.offset) * 1000.0


class Timers:
    def __init__(self, due: Callable[[object], None]) -> None:
        self.due = due
        self.handles: dict[object, asyncio.TimerHandle] = {}

    def set(self, delay_ms: float, what: object) -> None:
        self.cancel(what)
        loop = asyncio.get_running_loop()
        self.handles[what] = loop.call_later(max(delay_ms, 0.0) / 1000.0, self._fire, what)

    def cancel(self, what: object) -> None:
        handle = self.handles.pop(what, None)
        if handle is not None:
            handle.cancel()

    def _fire(self, what: object) -> None:
        self.handles.pop(what, None)
        self.due(what)
