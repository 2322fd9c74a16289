"""Settings of the library: dataclasses that raise an error naming the field whose value is invalid.

LibrarySettings(classes=(ConnectionClass("chat", deadline_s=4.8),), tenants=("acme",), relays=2, number=0)
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from yarrowspindle.decisions.settings import RequestClass, Settings, Tenant

MAX_DURATION_S = 3600.0  # for every setting that is a duration, except `connect_s`
MAX_CONNECT_TIMEOUT_S = 60.0
MAX_ATTEMPTS = 100


class SettingError(ValueError):
    """The value of a field is invalid; the message begins with the name of the field."""


def require(is_valid: bool, name: str, expected: str, value: object) -> None:
    """Check a field.

    Args:
        is_valid: Whether the value is valid.
        name: The name of the field.
        expected: A description of the valid values.
        value: The value of the field.

    Raises:
        SettingError: The value is not valid.
    """
    if not is_valid:
        raise SettingError(f"{name} is {value!r}; expected {expected}")


@dataclass(slots=True, frozen=True)
class ConnectionClass:
    """A class of connections with common latency objectives.

    Attributes:
        name: The name of the class.
        aim_s: The objective of the set-up latency, in seconds.
        deadline_s: The time in seconds within which a request has to be established.
        message_aim_s: The objective of the message latency, in seconds; 0 for none.
    """

    name: str
    aim_s: float = 0.8
    deadline_s: float = 4.8
    message_aim_s: float = 0.15

    def __post_init__(self) -> None:
        require(bool(self.name), "ConnectionClass.name", "a name that is not empty", self.name)
        require(
            0.0 < self.aim_s <= MAX_DURATION_S, "ConnectionClass.aim_s", "seconds above 0, at most 3600", self.aim_s
        )
        require(
            self.aim_s <= self.deadline_s <= MAX_DURATION_S,
            "ConnectionClass.deadline_s",
            "seconds, at least aim_s and at most 3600",
            self.deadline_s,
        )
        require(
            0.0 <= self.message_aim_s <= MAX_DURATION_S,
            "ConnectionClass.message_aim_s",
            "seconds from 0 to 3600; 0 for no objective",
            self.message_aim_s,
        )


@dataclass(slots=True, frozen=True)
class LibrarySettings:
    """The settings of a placer.

    Attributes:
        classes: The connection classes; the first one is the default.
        tenants: The names of the tenants.
        relays: The number of placers and daemons that share the backends; each worker process is a relay of its own.
        number: The number of this placer among them, from 0.
        zone: The name of the zone in which this placer runs; empty if there are no zones.
        zones: The names of all zones.
        kinds: The names of the kinds of machines.
        attempts: The maximum number of attempts for each request.
        retry_after_s: The maximum Retry-After for rejected clients, in seconds; 0 to send none.
        connect_s: The timeout for a connection to a backend, in seconds.
        cold_s: The warm-up time of a backend after its start, in seconds.
        cold_share: The fraction of its capacity that a backend has at the beginning of its warm-up.
        fall_multiple: The load at which a backend is overloaded, as a multiple of its current capacity.
        fall_s: The time in seconds after which a backend with that load is overloaded.
        jobs_most: The maximum number of concurrent requests and connections.
        names: The number of each class by its name.
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
        require(len(self.classes) > 0, "classes", "at least one class", self.classes)
        require(
            len({connection_class.name for connection_class in self.classes}) == len(self.classes),
            "classes",
            "names that differ",
            self.classes,
        )
        require(self.relays >= 1, "relays", "at least 1", self.relays)
        require(0 <= self.number < self.relays, "number", f"0 to relays - 1 = {self.relays - 1}", self.number)
        require(not self.zone or self.zone in self.zones, "zone", f"one of the names in zones, {self.zones}", self.zone)
        require(1 <= self.attempts <= MAX_ATTEMPTS, "attempts", "a number from 1 to 100", self.attempts)
        require(
            0.0 <= self.retry_after_s <= MAX_DURATION_S, "retry_after_s", "seconds from 0 to 3600", self.retry_after_s
        )
        require(
            0.0 < self.connect_s <= MAX_CONNECT_TIMEOUT_S, "connect_s", "seconds above 0, at most 60", self.connect_s
        )
        require(0.0 <= self.cold_s <= MAX_DURATION_S, "cold_s", "seconds from 0 to 3600", self.cold_s)
        require(0.0 < self.cold_share <= 1.0, "cold_share", "a fraction above 0, at most 1", self.cold_share)
        require(self.fall_multiple > 0.0, "fall_multiple", "a number above 0", self.fall_multiple)
        require(0.0 < self.fall_s <= MAX_DURATION_S, "fall_s", "seconds above 0, at most 3600", self.fall_s)
        require(self.jobs_most >= 1, "jobs_most", "at least 1", self.jobs_most)
        self.names.update({connection_class.name: number for number, connection_class in enumerate(self.classes)})

    def core(self) -> Settings:
        """Return the equivalent settings of the balancer."""
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
    """Return the number of a class or tenant that is given by name or number.

    Args:
        names: The names of all classes or tenants.
        value: The name or number.
        field_name: The name of the field or argument, for the error.

    Raises:
        SettingError: There is no such class or tenant.
    """
    if isinstance(value, str):
        if value not in names:
            raise SettingError(f"{field_name} is {value!r}: one of {', '.join(names) or 'none'} is known")
        return names.index(value)
    if not 0 <= value < max(len(names), 1):
        raise SettingError(f"{field_name} is {value!r}: from 0 to {max(len(names), 1) - 1}")
    return value
