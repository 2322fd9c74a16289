"""The section `[control]` of the operators' settings, with checks that name the invalid key."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, fields
from difflib import get_close_matches
from hashlib import blake2b
from typing import Any

from yarrowspindle.configuration.events import Sender
from yarrowspindle.configuration.state import MAX_NAME_CHARACTERS, ControlError
from yarrowspindle.membership.settings import PeerError, read_address
from yarrowspindle.routing.address import Address

RELAY, CONTROLLER = "relay", "controller"
MAX_CONTROLLERS = 32
MAX_VOTERS = 15
LOOPBACK_PREFIX = "127."


@dataclass(slots=True, frozen=True)
class ControllerAddress:
    """A controller as the settings list it, identically in the files of all processes.

    Attributes:
        name: Its unique name.
        address: The IPv4 address and UDP port at which other processes reach it.
        zone: Its zone.
        region: Its region.
        voter: Whether it has an acceptor file and votes on changes.
    """

    name: str
    address: Address
    zone: str = ""
    region: str = ""
    voter: bool = False

    @property
    def sender(self) -> Sender:
        """The controller as the destination of a message."""
        return Sender(self.name, self.address)


@dataclass(slots=True, frozen=True)
class ControlSettings:
    """The settings of one process.

    Attributes:
        role: "relay", or "controller" for a process that serves no clients and is one of `controllers`.
        listen: An IPv4 address and UDP port.
        controllers: The controllers (`[[control.machine]]`), the same in all files.
        advertise: The address at which others reach this process, by default `listen`.
        cluster: The name of the cluster; datagrams of other clusters are dropped.
        name: The name of this process; by default a relay uses the name in its own configuration.
        zone: The zone of this relay, which prefers controllers of the same zone.
        region: The region of this relay, which prefers controllers of the same region to those of other regions.
        directory: A directory that only this process uses, for the settings that a relay applied last or for a
            controller's files. A relay without a directory starts from its own configuration each time.
        command: The loopback address at which `python -m yarrowspindle control` reaches a controller; by default the
            controller accepts no commands.
    """

    role: str
    listen: Address
    controllers: tuple[ControllerAddress, ...]
    advertise: Address | None = None
    cluster: str = "default"
    name: str = ""
    zone: str = ""
    region: str = ""
    directory: str = ""
    command: Address | None = None

    def __post_init__(self) -> None:
        self._check_texts()
        self._check_controllers()
        if self.role == CONTROLLER:
            self._check_own_controller()

    def _check_texts(self) -> None:
        if self.role not in (RELAY, CONTROLLER):
            raise ControlError(f'control.role is {self.role!r}; expected "{RELAY}" or "{CONTROLLER}"')
        for key in ("cluster", "name", "zone", "region", "directory"):
            value = getattr(self, key)
            is_too_long = key != "directory" and isinstance(value, str) and len(value.encode()) > MAX_NAME_CHARACTERS
            if not isinstance(value, str) or is_too_long:
                raise ControlError(
                    f"control.{key} is {value!r}; expected a string of at most {MAX_NAME_CHARACTERS} bytes"
                )

    def _check_controllers(self) -> None:
        count = len(self.controllers)
        if not 0 < count <= MAX_CONTROLLERS:
            raise ControlError(f"[[control.machine]] is given {count} times; expected 1 to {MAX_CONTROLLERS}")
        self._check_unique("name", [controller.name for controller in self.controllers])
        self._check_unique("address", [f"{host}:{port}" for host, port in self._addresses])
        if not 0 < sum(controller.voter for controller in self.controllers) <= MAX_VOTERS:
            raise ControlError(f"expected voter = true in 1 to {MAX_VOTERS} of [[control.machine]]")

    @staticmethod
    def _check_unique(attribute: str, values: Sequence[str]) -> None:
        repeated = [value for value in values if values.count(value) > 1]
        if repeated:
            raise ControlError(f"two of [[control.machine]] have the same {attribute}: {repeated[0]}")

    def _check_own_controller(self) -> None:
        if not self.directory:
            raise ControlError("control.directory is missing; a controller stores its files there")
        (host, port) = self.advertised_address
        if self.advertised_address not in self._addresses or (self.name and self.name != self.own_address.name):
            raise ControlError(
                f"no [[control.machine]] matches this controller (control.name {self.name!r}, address {host}:{port}): "
                "add one, or correct control.name, control.listen or control.advertise"
            )

    @property
    def _addresses(self) -> list[Address]:
        return [controller.address for controller in self.controllers]

    @property
    def advertised_address(self) -> Address:
        """The address at which others reach this process."""
        return self.advertise or self.listen

    @property
    def own_address(self) -> ControllerAddress:
        """The entry of this process in `controllers`, found by its address; only for a controller."""
        return next(controller for controller in self.controllers if controller.address == self.advertised_address)

    @property
    def voters(self) -> tuple[str, ...]:
        """The sorted names of the voters."""
        return tuple(sorted(controller.name for controller in self.controllers if controller.voter))


def controllers_by_preference(
    controllers: tuple[ControllerAddress, ...], name: str, zone: str, region: str
) -> list[ControllerAddress]:
    """Return the controllers in the order in which the relay with this name tries them.

    Controllers of its zone come first, then those of its region. Within a group the order is by a hash of the names of
    relay and controller, so that the relays of a zone are distributed over its controllers.
    """
    by_hash = sorted(controllers, key=lambda controller: _hash(f"{name} {controller.name}"))
    return sorted(by_hash, key=lambda controller: (controller.zone != zone, controller.region != region))


def _hash(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=8).digest()


def read_control_settings(section: Mapping[str, Any]) -> ControlSettings:
    """Return the settings of the section `[control]`.

    Raises:
        ControlError: The section is not valid; the text names the key.
    """
    values = dict(section)
    raw_controllers = values.pop("machine", [])
    known_keys = [field.name for field in fields(ControlSettings) if field.name != "controllers"]
    _check_known("control", values, known_keys, [*known_keys, "machine"])
    for key in ("role", "listen"):
        if key not in values:
            raise ControlError(f"control.{key} is missing")
    tables = _checked_tables(raw_controllers)
    try:
        for key in ("listen", "advertise", "command"):
            if key in values:
                values[key] = read_address(key, values[key])
        values["controllers"] = tuple(_read_controller(table) for table in tables)
    except PeerError as error:
        raise ControlError(str(error).replace("peers.", "control.", 1)) from None
    if values.get("command") and not values["command"][0].startswith(LOOPBACK_PREFIX):
        raise ControlError("control.command must be a loopback address (127.0.0.0/8)")
    return ControlSettings(**values)


def _checked_tables(tables: object) -> list[Mapping[str, Any]]:
    if not isinstance(tables, list) or not all(isinstance(table, dict) for table in tables):
        raise ControlError("control.machine must be an array of tables, written as [[control.machine]]")
    return tables


def _read_controller(table: Mapping[str, Any]) -> ControllerAddress:
    known_keys = [field.name for field in fields(ControllerAddress)]
    _check_known("control.machine", table, known_keys, known_keys)
    for key in known_keys:
        expected_type = bool if key == "voter" else str
        if key in table and not isinstance(table[key], expected_type):
            raise ControlError(f"control.machine.{key} is {table[key]!r}; expected a {expected_type.__name__}")
    name = table.get("name", "")
    if not 0 < len(name.encode()) <= MAX_NAME_CHARACTERS or "address" not in table:
        raise ControlError(f"each [[control.machine]] needs an address, and a name of 1 to {MAX_NAME_CHARACTERS} bytes")
    return ControllerAddress(**{**table, "address": read_address("machine.address", table["address"])})


def _check_known(section: str, values: Mapping[str, Any], known_keys: list[str], suggested: list[str]) -> None:
    for key in values.keys() - set(known_keys):
        similar = get_close_matches(key, suggested, 1)
        raise ControlError(f"unknown key {section}.{key}" + (f"; did you mean {similar[0]}?" if similar else ""))
