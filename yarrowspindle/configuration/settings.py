"""What operators may set of control, with checks that name the wrong key."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from difflib import get_close_matches
from hashlib import blake2b
from typing import Any

from yarrowspindle.configuration.messages import Sender
from yarrowspindle.configuration.state import MAX_NAME, ControlError
from yarrowspindle.membership.settings import PeerError, read_address
from yarrowspindle.routing.address import Address

RELAY, CONTROLLER = "relay", "controller"
MAX_MACHINES, MAX_VOTERS = 32, 15


@dataclass(slots=True, frozen=True)
class ControllerAddress:
    """A controller. voter: it keeps a file and votes; the same in all files."""

    name: str
    address: Address
    zone: str = ""
    region: str = ""
    voter: bool = False

    @property
    def sender(self) -> Sender:
        return Sender(self.name, self.address)


@dataclass(slots=True, frozen=True)
class ControlSettings:
    """role: "relay", or "controller" for a machine that serves nobody and is named under `machines`.
    listen: an IPv4 address and port over UDP. advertise: where others reach it; `listen` where that is left out.
    machines: the controllers, the same in all files.
    cluster: what comes from other clusters is not heard.
    name: the configuration's where it is left out. zone, region: where this relay is; its controllers first.
    directory: this process's own folder: what a relay took last, a controller's voter's file. A relay without one
    starts from its own configuration each time.
    command: where `python -m yarrowspindle control` calls a controller, on loopback; nowhere where it is left out.
    """

    role: str
    listen: Address
    machines: tuple[ControllerAddress, ...]
    advertise: Address | None = None
    cluster: str = "default"
    name: str = ""
    zone: str = ""
    region: str = ""
    directory: str = ""
    command: Address | None = None

    def __post_init__(self) -> None:
        if self.role not in (RELAY, CONTROLLER):
            raise ControlError(f'control.role is {self.role!r}: "{RELAY}" or "{CONTROLLER}" is wanted')
        for key in ("cluster", "name", "zone", "region", "directory"):
            value = getattr(self, key)
            if not isinstance(value, str) or key != "directory" and len(value.encode()) > MAX_NAME:
                raise ControlError(f"control.{key} is {value!r}: a text of at most {MAX_NAME} bytes is wanted")
        places = [m.address for m in self.machines]
        if not 0 < len(self.machines) <= MAX_MACHINES:
            raise ControlError(f"control.machine is there {len(self.machines)} times: 1 to {MAX_MACHINES} are wanted")
        for what, given in (("name", [m.name for m in self.machines]), ("address", [f"{a}:{b}" for a, b in places])):
            if twice := [one for one in given if given.count(one) > 1]:
                raise ControlError(f"two of control.machine have the {what} {twice[0]}")
        if not 0 < sum(m.voter for m in self.machines) <= MAX_VOTERS:
            raise ControlError(f"1 to {MAX_VOTERS} of control.machine are voters")
        if self.role == CONTROLLER:
            if not self.directory:
                raise ControlError("control.directory is missing: a controller keeps its voter's file there")
            if self.reached_at not in places or self.name and self.name != self.me.name:
                raise ControlError(
                    f"no control.machine is called {self.name!r} at {self.reached_at[0]}:"
                    f"{self.reached_at[1]}, where this controller is reached"
                )

    @property
    def reached_at(self) -> Address:
        return self.advertise or self.listen

    @property
    def me(self) -> ControllerAddress:
        """Of a controller: itself, by its address."""
        return next(m for m in self.machines if m.address == self.reached_at)

    @property
    def voters(self) -> tuple[str, ...]:
        return tuple(sorted(m.name for m in self.machines if m.voter))


def preferred(machines: tuple[ControllerAddress, ...], name: str, zone: str, region: str) -> list[ControllerAddress]:
    """The controllers as a relay of this name tries them: its zone's, its region's, the rest; among alike ones by
    hash, so that the relays of a zone spread over them."""

    def rank(machine: ControllerAddress) -> tuple[bool, bool, bytes]:
        mixed = blake2b(f"{name} {machine.name}".encode(), digest_size=8).digest()
        return machine.zone != zone, machine.region != region, mixed

    return sorted(machines, key=rank)


def read_control(section: Mapping[str, Any]) -> ControlSettings:
    """The settings from the operator's `[control]`; raises ControlError."""
    values = dict(section)
    raw = values.pop("machine", [])
    known = [f.name for f in fields(ControlSettings) if f.name != "machines"]
    for key in values.keys() - set(known):
        near = get_close_matches(key, [*known, "machine"], 1)
        raise ControlError(f"control.{key} is not known" + (f"; {near[0]} is" if near else ""))
    for key in ("role", "listen"):
        if key not in values:
            raise ControlError(f"control.{key} is missing")
    if not isinstance(raw, list) or not all(isinstance(one, dict) for one in raw):
        raise ControlError("control.machine is no list of tables")
    try:
        for key in ("listen", "advertise", "command"):
            if key in values:
                values[key] = read_address(key, values[key])
        values["machines"] = tuple(_machine(one) for one in raw)
    except PeerError as error:
        raise ControlError(str(error).replace("peers.", "control.", 1)) from None
    if values.get("command") and not values["command"][0].startswith("127."):
        raise ControlError("control.command is no address of the loopback network")
    return ControlSettings(**values)


def _machine(one: Mapping[str, Any]) -> ControllerAddress:
    known = [f.name for f in fields(ControllerAddress)]
    for key in one.keys() - set(known):
        near = get_close_matches(key, known, 1)
        raise ControlError(f"control.machine.{key} is not known" + (f"; {near[0]} is" if near else ""))
    for key in known:
        wanted = bool if key == "voter" else str
        if key in one and not isinstance(one[key], wanted):
            raise ControlError(f"control.machine.{key} is {one[key]!r}, of another kind than is wanted")
    name = one.get("name", "")
    if not 0 < len(name.encode()) <= MAX_NAME or "address" not in one:
        raise ControlError("each control.machine has a name and an address")
    return ControllerAddress(**{**one, "address": read_address("machine.address", one["address"])})
