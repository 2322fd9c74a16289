"""Settings of maintenance in the operator's file, with checks that name the wrong key."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields
from difflib import get_close_matches
from ipaddress import IPv4Address
from typing import Any

from yarrowspindle.maintenance.requests import (
    MAX_NAME_LENGTH,
    ORDER_FEWEST,
    ORDER_GIVEN,
    MaintenanceError,
    MaintenanceRequest,
)
from yarrowspindle.maintenance.state import MAX_REQUESTS
from yarrowspindle.membership.settings import PeerError, read_address
from yarrowspindle.routing.address import Address

ORDER_ZONES = "zones"
ORDERS = (ORDER_GIVEN, ORDER_FEWEST, ORDER_ZONES)
MAX_VOTERS = 15
REQUEST_VALUE_TYPES: dict[str, type | tuple[type, ...]] = {
    "zone": str,
    "kind": str,
    "order": str,
    "name": str,
    "most": int,
    "most_zone": int,
    "floor": (int, float),
    "deadline_s": (int, float),
}
NUMBER_RANGES = {"moves_per_s": (0.1, 100_000.0), "pressure": (0.0, 1.0)}  # by key of [turns]


@dataclass(slots=True, frozen=True)
class RequestSettings:
    """Request as operators write it. The field names are keys of the file and of the operators' API.

    Exactly one of `machines`, `zone` and `kind` selects the backends.

    Attributes:
        machines: names of the backends.
        zone: name of a zone, for all its backends.
        kind: name of a kind, for all backends of it.
        most: maximum number of backends out of service at once.
        most_zone: maximum number of backends of one zone out of service at once.
        floor: ready capacity that must remain, in the units of the endpoint list.
        deadline_s: seconds after which connections that remain on an emptying backend are migrated at once.
        order: "given", "fewest" for the fewest connections first, or "zones" for zone by zone.
        name: the operator's file queues a request of each name once.

    Raises:
        MaintenanceError: A value is invalid.
    """

    machines: tuple[str, ...] = ()
    zone: str = ""
    kind: str = ""
    most: int = 1
    most_zone: int = 1
    floor: float = 0.0
    deadline_s: float = 120.0
    order: str = ORDER_GIVEN
    name: str = ""

    def __post_init__(self) -> None:
        if sum(map(bool, (self.machines, self.zone, self.kind))) != 1:
            raise MaintenanceError("a request must name either machines, or a zone, or a kind")
        if self.order not in ORDERS:
            raise MaintenanceError(f"order is {self.order!r}; expected one of {', '.join(ORDERS)}")
        if len(self.name) > MAX_NAME_LENGTH:
            raise MaintenanceError(f"the name of a request must have at most {MAX_NAME_LENGTH} characters")
        self.request(self.machines or ("any",), {})  # checks the limits

    def request(self, backends: tuple[str, ...], zones: Mapping[str, int]) -> MaintenanceRequest:
        """Return the request for these backends.

        The order zone by zone becomes a given order: the backends are sorted here, once.

        Args:
            backends: names of the selected backends.
            zones: number of each backend's zone.
        """
        if self.order == ORDER_ZONES:
            backends = tuple(sorted(backends, key=lambda backend: zones.get(backend, 0)))
        return MaintenanceRequest(
            backends,
            self.most,
            self.most_zone,
            float(self.floor),
            float(self.deadline_s),
            ORDER_FEWEST if self.order == ORDER_FEWEST else ORDER_GIVEN,
            self.name,
        )


def read_request_settings(section: Mapping[str, Any]) -> RequestSettings:
    """Return the settings of a request.

    Raises:
        MaintenanceError: A value is invalid; the message names its key.
    """
    values = dict(section)
    _reject_unknown_keys(values, RequestSettings, "turns.request")
    for key, expected in REQUEST_VALUE_TYPES.items():
        if key in values and (isinstance(values[key], bool) or not isinstance(values[key], expected)):
            raise MaintenanceError(f"turns.request.{key} is {values[key]!r}, which has the wrong type")
    machines = values.get("machines", [])
    if not isinstance(machines, list | tuple) or not all(isinstance(name, str) for name in machines):
        raise MaintenanceError(f"turns.request.machines is {machines!r}; expected a list of machine names")
    values["machines"] = tuple(machines)
    return RequestSettings(**values)


@dataclass(slots=True, frozen=True)
class MaintenanceSettings:
    """Section `[turns]` of the operator's file; the field names are its keys.

    Attributes:
        directory: directory of this relay alone, for its lock and, if it is a voter, its voter file.
        voters: names of the voters, the same at all relays. Used only when the fleet starts for the first time.
        command: loopback address of the operators' API; None for no API.
        moves_per_s: rate at which all relays together migrate connections off emptying backends.
        pressure: fraction of rejected requests above which no backend is evacuated.
        requests: requests to queue when the file is reloaded.

    Raises:
        MaintenanceError: A value is invalid; the message names its key.
    """

    directory: str
    voters: tuple[str, ...]
    command: Address | None = None
    moves_per_s: float = 20.0
    pressure: float = 0.05
    requests: tuple[RequestSettings, ...] = ()

    def __post_init__(self) -> None:
        for key, (low, high) in NUMBER_RANGES.items():
            value = getattr(self, key)
            if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
                raise MaintenanceError(f"turns.{key} is {value!r}; expected a number from {low:g} to {high:g}")
        if not isinstance(self.directory, str) or not self.directory:
            raise MaintenanceError("turns.directory is missing; expected a directory that only this relay uses")
        if not 1 <= len(self.voters) <= MAX_VOTERS or len(set(self.voters)) != len(self.voters):
            raise MaintenanceError(f"turns.voters must name 1 to {MAX_VOTERS} relays, each once")
        if len(self.requests) > MAX_REQUESTS:
            raise MaintenanceError(f"turns.request: at most {MAX_REQUESTS} requests are allowed")


def read_maintenance_settings(section: Mapping[str, Any]) -> MaintenanceSettings:
    """Return the settings of the section `[turns]`.

    Raises:
        MaintenanceError: A value is invalid; the message names its key.
    """
    values = dict(section)
    requests = values.pop("request", [])
    _reject_unknown_keys(values, MaintenanceSettings, "turns")
    if not isinstance(requests, list) or not all(isinstance(request, dict) for request in requests):
        raise MaintenanceError("[[turns.request]] must be a list of tables")
    voters = values.get("voters", [])
    if not isinstance(voters, list) or not all(_is_name(voter) for voter in voters):
        raise MaintenanceError(f"turns.voters is {voters!r}; expected a list of relay names")
    values["voters"] = tuple(voters)
    values["requests"] = tuple(read_request_settings(request) for request in requests)
    if "command" in values:
        values["command"] = _read_loopback_address(values["command"])
    values.setdefault("directory", "")
    return MaintenanceSettings(**values)


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH


def _read_loopback_address(value: Any) -> Address:
    try:
        address = read_address("command", value)
    except PeerError as error:
        raise MaintenanceError(f"turns.{str(error).removeprefix('peers.')}") from None
    if not IPv4Address(address[0]).is_loopback:
        raise MaintenanceError(f"turns.command is {value!r}; expected a loopback address")
    return address


def _reject_unknown_keys(keys: Iterable[str], settings: type, section: str) -> None:
    known = [field.name for field in fields(settings)]
    for key in set(keys) - set(known):
        similar = get_close_matches(key, known, 1)
        raise MaintenanceError(f"unknown key {section}.{key}" + (f"; did you mean {similar[0]}?" if similar else ""))
