"""A token bucket on explicit time."""

from __future__ import annotations

# Sums of fractions may fall short of a whole token by rounding.
WHOLE_TOKEN = 1.0 - 1e-9


class TokenBucket:
    """Allows at most `burst` tokens at once and `rate` a second: over any t seconds at most rate * t + burst.

    Args:
        rate: tokens a second.
        burst: the most that it holds; it starts full.
        now: milliseconds.
    """

    __slots__ = ("rate", "burst", "tokens", "filled_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled_at = now

    def fill(self, now: float, rate: float, burst: float) -> float:
        """Adds what has come since the last call, under a new rate and burst. Returns the tokens."""
        self.rate = rate
        self.burst = burst
        self.tokens = min(burst, self.tokens + rate * max(now - self.filled_at, 0.0) / 1000.0)
        self.filled_at = now
        return self.tokens

    @property
    def available(self) -> bool:
        """Whether a whole token is there."""
        return self.tokens >= WHOLE_TOKEN

    def take(self) -> bool:
        """Takes a token. Returns whether there was one."""
        if not self.available:
            return False
        self.tokens -= 1.0
        return True

    def is_full(self, now: float) -> bool:
        """Returns whether it would be full by now, at the rate of its last filling."""
        return self.tokens + self.rate * (now - self.filled_at) / 1000.0 >= self.burst
