"""How fast: token buckets for the relay, for each source and for each target, and a factor that falls on trouble."""

from __future__ import annotations

MIN_FACTOR = 1.0 / 16.0


class Bucket:
    """At most `burst` at once and `rate` a second: over any time t at most rate * t + burst."""

    __slots__ = ("rate", "burst", "tokens", "at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst, self.tokens, self.at = rate, burst, burst, now

    def fill(self, now: float, rate: float, burst: float) -> float:
        self.rate, self.burst = rate, burst
        self.tokens = min(burst, self.tokens + rate * max(now - self.at, 0.0) / 1000.0)
        self.at = now
        return self.tokens

    def take(self) -> bool:
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True


class MigrationRate:
    """The buckets of one relay. `factor` slows all of them down; it halves on trouble and comes back by and by."""

    def __init__(self, now: float) -> None:
        self.all = Bucket(0.0, 1.0, now)
        self.by_backend: dict[tuple[str, str], Bucket] = {}  # ("source" or "target", node)
        self.factor = 1.0

    def begin(self, now: float, rate: float, beat_s: float) -> None:
        """At each beat: what the relay may move now. Buckets of nodes that are full again are forgotten."""
        rate *= self.factor
        self.all.fill(now, rate, max(1.0, rate * beat_s))
        for key in [k for k, b in self.by_backend.items() if b.tokens + b.rate * (now - b.at) / 1000.0 >= b.burst]:
            del self.by_backend[key]

    def backend(self, now: float, role: str, name: str, rate: float, beat_s: float) -> Bucket:
        rate *= self.factor
        burst = max(1.0, rate * beat_s)
        bucket = self.by_backend.get((role, name))
        if bucket is None:
            bucket = self.by_backend[role, name] = Bucket(rate, burst, now)
        bucket.fill(now, rate, burst)
        return bucket

    def slower(self) -> None:
        self.factor = max(MIN_FACTOR, self.factor / 2.0)

    def faster(self, beat_s: float) -> None:
        """Back to the full pace within about 16 s of beats without trouble."""
        self.factor = min(1.0, self.factor + beat_s / 16.0)


class Moved:
    """How often each submitter key was moved by this relay of late; bounded, the oldest are forgotten first.

    A forgotten key errs to the safe side nowhere else: a submitter that comes back says so (`again=1`), and one that
    did and is not in here is taken to have been moved as often as is allowed.
    """

    MOST = 65_536

    def __init__(self) -> None:
        self.times: dict[int, list[float]] = {}

    def count(self, now: float, key: int, window_ms: float) -> int:
        times = self.times.get(key)
        return sum(1 for at in times if at > now - window_ms) if times else 0

    def add(self, now: float, key: int, window_ms: float) -> None:
        kept = [at for at in self.times.pop(key, ()) if at > now - window_ms]
        self.times[key] = [*kept, now]
        while len(self.times) > self.MOST:
            del self.times[next(iter(self.times))]

    def forget(self, now: float, window_ms: float) -> None:
        """The oldest that are out of the window; keys stand in the order of their last moves."""
        while self.times:
            key = next(iter(self.times))
            if self.times[key][-1] > now - window_ms:
                return
            del self.times[key]
