"""A token bucket whose clock is passed in by the caller."""

from __future__ import annotations

# Sums of fractions may fall short of a whole token by rounding.
WHOLE_TOKEN = 1.0 - 1e-9


class TokenBucket:
    """Limiter of a rate: at most `rate * t + burst` tokens can be taken in any `t` seconds.

    Args:
        rate: Tokens added per second.
        burst: Capacity of the bucket in tokens; the bucket starts full.
        now: Current time in milliseconds.
    """

    __slots__ = ("rate", "burst", "tokens", "filled_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled_at = now

    def fill(self, now: float, rate: float, burst: float) -> float:
        """Add the tokens accrued since the last call, at a new rate and burst, and return the number of tokens."""
        self.rate = rate
        self.burst = burst
        self.tokens = min(burst, self.tokens + rate * max(now - self.filled_at, 0.0) / 1000.0)
        self.filled_at = now
        return self.tokens

    @property
    def available(self) -> bool:
        """Whether a whole token is available."""
        return self.tokens >= WHOLE_TOKEN

    def take(self) -> bool:
        """Take a token, and return whether one was available."""
        if not self.available:
            return False
        self.tokens -= 1.0
        return True

    def is_full(self, now: float) -> bool:
        """Return whether the bucket would be full by now at its last rate."""
        return self.tokens + self.rate * (now - self.filled_at) / 1000.0 >= self.burst
