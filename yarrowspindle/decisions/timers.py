"""Timers of one balancer: callbacks that run when a `TimerFired` event carries their token."""

from __future__ import annotations

from collections.abc import Callable

from yarrowspindle.decisions.actions import SetTimer

TOKEN_MASK = 0xFFFFFFFF  # tokens are unsigned 32-bit numbers and wrap around


class Timers:
    """Pending callbacks by token. Each is called at most once."""

    def __init__(self) -> None:
        self.last_token = 0
        self.callbacks: dict[int, Callable[[], None]] = {}

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> SetTimer:
        """Register the callback and return the action that sets its timer; a negative delay counts as 0."""
        self.last_token = self.last_token + 1 & TOKEN_MASK
        self.callbacks[self.last_token] = callback
        return SetTimer(max(delay_ms, 0.0), self.last_token)

    def fire(self, token: int) -> None:
        """Call and remove the callback of this token; ignore an unknown token."""
        callback = self.callbacks.pop(token, None)
        if callback is not None:
            callback()
