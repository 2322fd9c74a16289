"""What one balancer keeps in mind of servers and requests. It decides nothing."""

from __future__ import annotations

from math import exp, inf

from yarrowspindle.decisions.settings import Settings


class Backend:
    """One server as this balancer knows it."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "capacity",
        "started",
        "ready",
        "open",
        "load",
        "strikes",
        "bad_until",
        "slow_until",
        "message_ms",
        "broke_at",
        "broke",
        "groups",
        "classes",
        "used",
        "holds",
        "asked_at",
        "told_at",
        "since",
    )

    def __init__(self, backend: int) -> None:
        self.id = backend
        self.zone = self.cell = self.open = 0
        self.capacity, self.started, self.load = 1e-6, 0.0, 0.0
        self.ready = False
        self.strikes = 0  # failures not yet made up for
        self.bad_until = self.slow_until = -1.0
        self.message_ms = 0.0  # as last told
        self.broke_at, self.broke = -1.0, 0  # connections that broke off of late: since when, how many
        self.groups: dict[int, int] = {}  # own connections of each group, and of each class
        self.classes: dict[int, int] = {}
        self.used, self.holds = -1.0, 0.0  # as its last load report told (below 0: none did): load over capacity
        self.asked_at = self.told_at = -inf  # when it was last probed; when it last told us, not another relay
        self.since: list[tuple[float, float]] = []  # what was placed there (or ended) since that report: when, by what

    def ramp(self, now: float, settings: Settings) -> float:
        """The share of its capacity that it has at least by now."""
        if self.started <= 0.0 or now >= self.started + settings.warmup_ms:
            return 1.0
        share = settings.initial_capacity_fraction
        return share + (1.0 - share) * max(now - self.started, 0.0) / settings.warmup_ms

    def usable(self, now: float, settings: Settings) -> bool:
        """Ready, warm, and not passed over for a failure."""
        return self.ready and now >= self.bad_until and self.ramp(now, settings) >= 1.0

    def broke_off(self, now: float, within_ms: float) -> int:
        """How many connections broke off there within this time, the newest among them."""
        if now > self.broke_at + within_ms:
            self.broke_at, self.broke = now, 0
        self.broke += 1
        return self.broke


class Request:
    """A request from its arrival until it is answered and none of its attempts is out."""

    __slots__ = (
        "id",
        "cls",
        "load",
        "arrived",
        "deadline",
        "attempts",
        "sent",
        "backend",
        "out",
        "owed",
        "established",
        "ran_at",
        "ran_on",
        "returned",
        "group",
        "most",
    )

    def __init__(self, request_id: int, cls: int, load: float, now: float, left: float) -> None:
        self.id, self.cls, self.load = request_id, cls, load
        self.arrived, self.deadline = now, now + left
        self.attempts, self.sent = 0, now  # made so far, and when the newest went out
        self.backend: Backend | None = None  # of the newest attempt
        self.out = self.established = False
        self.owed, self.returned, self.group = True, False, 0
        self.most = 1  # attempts that were allowed when it came
        self.ran_at = -1.0  # when the first attempt that may have run went out
        self.ran_on: Backend | None = None


def known(requests: dict[int, Request], request_id: int) -> Request:
    request = requests.get(request_id)
    if request is None:
        raise ValueError(f"unknown request {request_id}")
    return request


class SetUps:
    """How much of their aim the last few set-ups took; one that failed took all of it."""

    def __init__(self) -> None:
        self.part = 0.0

    def took(self, part: float) -> None:
        self.part += (part - self.part) / 8.0


class Rate:
    """Events a millisecond, averaged over about `over_ms`."""

    def __init__(self, over_ms: float, now: float) -> None:
        self.over_ms, self.seen, self.sum = max(over_ms, 1e-3), now, 0.0

    def count(self, now: float) -> None:
        self.sum, self.seen = 1.0 + self.get(now) * self.over_ms, now

    def get(self, now: float) -> float:
        return self.sum * exp((self.seen - now) / self.over_ms) / self.over_ms


class Trouble:
    """The share of each zone's servers that are slow, of those that we can tell; looked up now and then."""

    def __init__(self, every_ms: float, now: float) -> None:
        self.every_ms, self.at = every_ms, now - 8.0 * every_ms
        self.shares: dict[int, float] = {}

    def share(self, zone: int, held_at: dict[int, Backend], now: float) -> float:
        """`held_at`: servers that hold something of ours or are told to be slow; what is neither is forgotten."""
        if now >= self.at + self.every_ms:
            self.at = now
            told: dict[int, list[bool]] = {}
            for backend in list(held_at.values()):
                slow = now < backend.slow_until
                if not slow and not backend.open:
                    del held_at[backend.id]
                elif backend.ready:
                    told.setdefault(backend.zone, []).append(slow)
            self.shares = {z: sum(slow) / len(slow) for z, slow in told.items()}
        return self.shares.get(zone, 0.0)


class Loads:
    """The load told; else the mean of those told of late, so that a site without hints compares alike."""

    def __init__(self) -> None:
        self.mean = 0.0

    def of(self, load: float) -> float:
        if load > 0.0:
            self.mean += (load - self.mean) * (0.05 if self.mean else 1.0)
        return load or self.mean or 1.0
