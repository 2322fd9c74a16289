"""The library's settings: dataclasses with checks that name the wrong field.

LibrarySettings(classes=(ConnectionClass("chat", deadline_s=4.8),), tenants=("acme",), relays=2, number=0)
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from yarrowspindle.decisions.settings import RequestClass, Settings, Tenant

MAX_DURATION_S = 3600.0  # of any time that is set
MAX_CONNECT_TIMEOUT_S = 60.0
MAX_ATTEMPTS = 100


class SettingError(ValueError):
    """The value of a field is invalid; the text begins with its name."""


def require(is_valid: bool, name: str, expected: str, value: object) -> None:
    """Raises SettingError for this field unless `ok`. `wanted`: what is allowed, in words."""
    if not is_valid:
        raise SettingError(f"{name} is {value!r}: {expected}")


@dataclass(slots=True, frozen=True)
class ConnectionClass:
    """One class of connections.

    Attributes:
        name: of the class.
        aim_s: the set-up latency objective, in seconds.
        deadline_s: a request that is not established by then has failed.
        message_aim_s: the latency objective of messages, in seconds; 0: none.
    """

    name: str
    aim_s: float = 0.8
    deadline_s: float = 4.8
    message_aim_s: float = 0.15

    def __post_init__(self) -> None:
        require(bool(self.name), "ConnectionClass.name", "a name is wanted", self.name)
        require(
            0.0 < self.aim_s <= MAX_DURATION_S, "ConnectionClass.aim_s", "seconds above 0, 3600 at most", self.aim_s
        )
        require(
            self.aim_s <= self.deadline_s <= MAX_DURATION_S,
            "ConnectionClass.deadline_s",
            "seconds, aim_s at least",
            self.deadline_s,
        )
        require(
            0.0 <= self.message_aim_s <= MAX_DURATION_S,
            "ConnectionClass.message_aim_s",
            "seconds, 0 for none",
            self.message_aim_s,
        )


@dataclass(slots=True, frozen=True)
class LibrarySettings:
    """What a placer is configured with.

    Attributes:
        classes: of connections; the first one is the default.
        tenants: their names.
        relays: how many placers and daemons place on the same backends. Each worker process is a relay of its own.
        number: which of them this one is, from 0.
        zone: the zone that this placer is in.
        zones: the names of all zones.
        kinds: the names of machine kinds.
        attempts: for one request.
        retry_after_s: the longest Retry-After of rejected clients, in seconds; 0: none is given.
        connect_s: for a connection to a backend, in seconds.
        cold_s: how long a started backend warms up, in seconds.
        cold_share: the fraction of its capacity that it has at its start.
        fall_multiple: a backend that gets so many times its present capacity is overloaded ...
        fall_s: ... after so many seconds.
        jobs_most: requests and connections at once.
    """

    classes: tuple[ConnectionClass, ...] = (ConnectionClass("default"),)
    tenants: tuple[str, ...] = ()
    relays: int = 1
    number: int = 0
    zone: str = ""
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    attempts: int = 3
    retry_after_s: float = 2.0
    connect_s: float = 0.25
    cold_s: float = 9.0
    cold_share: float = 0.31
    fall_multiple: float = 3.0
    fall_s: float = 1.5
    jobs_most: int = 100_000
    names: dict[str, int] = field(default_factory=dict, init=False, compare=False)

    def __post_init__(self) -> None:
        require(len(self.classes) > 0, "classes", "one class at least", self.classes)
        require(
            len({connection_class.name for connection_class in self.classes}) == len(self.classes),
            "classes",
            "each name once",
            self.classes,
        )
        require(self.relays >= 1, "relays", "1 at least", self.relays)
        require(0 <= self.number < self.relays, "number", f"from 0 to relays - 1 = {self.relays - 1}", self.number)
        require(not self.zone or self.zone in self.zones, "zone", f"one of zones {self.zones}", self.zone)
        require(1 <= self.attempts <= MAX_ATTEMPTS, "attempts", "from 1 to 100", self.attempts)
        require(
            0.0 <= self.retry_after_s <= MAX_DURATION_S, "retry_after_s", "seconds from 0 to 3600", self.retry_after_s
        )
        require(
            0.0 < self.connect_s <= MAX_CONNECT_TIMEOUT_S, "connect_s", "seconds above 0, 60 at most", self.connect_s
        )
        require(0.0 <= self.cold_s <= MAX_DURATION_S, "cold_s", "seconds from 0 to 3600", self.cold_s)
        require(0.0 < self.cold_share <= 1.0, "cold_share", "above 0, 1 at most", self.cold_share)
        require(self.fall_multiple > 0.0, "fall_multiple", "above 0", self.fall_multiple)
        require(0.0 < self.fall_s <= MAX_DURATION_S, "fall_s", "seconds above 0, 3600 at most", self.fall_s)
        require(self.jobs_most >= 1, "jobs_most", "1 at least", self.jobs_most)
        self.names.update({connection_class.name: number for number, connection_class in enumerate(self.classes)})

    def core(self) -> Settings:
        """Returns the balancer's settings."""
        return Settings(
            classes=tuple(
                RequestClass(
                    connection_class.aim_s * 1000.0,
                    connection_class.deadline_s * 1000.0,
                    message_latency_objective_ms=connection_class.message_aim_s * 1000.0,
                )
                for connection_class in self.classes
            ),
            zone=self.zones.index(self.zone) if self.zone else 0,
            zones=max(1, len(self.zones)),
            number=self.number,
            balancers=self.relays,
            tenants=tuple(Tenant() for _ in self.tenants),
            polls_discovery=True,
            initial_capacity_fraction=self.cold_share,
            warmup_ms=self.cold_s * 1000.0,
            overload_multiple=self.fall_multiple,
            overload_window_ms=self.fall_s * 1000.0,
            connect_timeout_ms=self.connect_s * 1000.0,
            max_attempts=self.attempts,
            max_retry_after_ms=self.retry_after_s * 1000.0,
            clients_heed_retry_after=self.retry_after_s > 0.0,
            may_cancel=True,
        )


def index_of(names: Sequence[str], value: int | str, field_name: str) -> int:
    """Returns the number of a class or tenant that is given by name or number. Raises SettingError."""
    if isinstance(value, str):
        if value not in names:
            raise SettingError(f"{field_name} is {value!r}: one of {', '.join(names) or 'none'} is known")
        return names.index(value)
    if not 0 <= value < max(len(names), 1):
        raise SettingError(f"{field_name} is {value!r}: from 0 to {max(len(names), 1) - 1}")
    return value
