"""What operators may set of turns, with checks that name the wrong key."""

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

ZONES = "zones"
ORDERS = (ORDER_GIVEN, ORDER_FEWEST, ZONES)
MAX_VOTERS = 15


@dataclass(slots=True, frozen=True)
class Asking:
    """A request as operators write it: machines by name, or all of a zone or kind.

    most, most_zone: out at once, in all and of one zone. floor: ready capacity that must stay, in units of the list.
    deadline_s: a machine that has not emptied by then loses what is left at once. order: "given", "fewest" connections
    first, or "zones", zone by zone. name: the operator's file asks for each name once.
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
            raise MaintenanceError("a request names machines, or a zone, or a kind")
        if self.order not in ORDERS:
            raise MaintenanceError(f"order is {self.order!r}: one of {', '.join(ORDERS)} is wanted")
        if len(self.name) > MAX_NAME_LENGTH:
            raise MaintenanceError(f"a name has at most {MAX_NAME_LENGTH} characters")
        self.wish(self.machines or ("any",), {})  # the figures

    def wish(self, machines: tuple[str, ...], zones: Mapping[str, int]) -> MaintenanceRequest:
        """machines: those of the zone or kind, where it names one. zones: of each machine."""
        if self.order == ZONES:
            machines = tuple(sorted(machines, key=lambda m: zones.get(m, 0)))
        order = ORDER_FEWEST if self.order == ORDER_FEWEST else ORDER_GIVEN
        return MaintenanceRequest(
            machines, self.most, self.most_zone, float(self.floor), float(self.deadline_s), order, self.name
        )


def read_asking(section: Mapping[str, Any]) -> Asking:
    """Raises TurnError, with the key."""
    values = dict(section)
    _known(values, Asking, "turns.request")
    kinds: dict[str, type | tuple[type, ...]] = {
        "zone": str,
        "kind": str,
        "order": str,
        "name": str,
        "most": int,
        "most_zone": int,
        "floor": (int, float),
        "deadline_s": (int, float),
    }
    for key, kind in kinds.items():
        if key in values and (isinstance(values[key], bool) or not isinstance(values[key], kind)):
            raise MaintenanceError(f"turns.request.{key} is {values[key]!r}, of another kind than is wanted")
    machines = values.get("machines", [])
    if not isinstance(machines, list | tuple) or not all(isinstance(m, str) for m in machines):
        raise MaintenanceError(f"turns.request.machines is {machines!r}: a list of names is wanted")
    values["machines"] = tuple(machines)
    return Asking(**values)


@dataclass(slots=True, frozen=True)
class TurnSettings:
    """directory: this relay's own, for its lock and, where it votes, for its file.
    voters: names of the relays that vote, the same at all relays; read once, at the first start of all.
    command: where `python -m yarrowspindle turns` calls, on loopback; nowhere where it is left out.
    moves_per_s: connections moved off machines that empty, by all relays together.
    pressure: the share of jobs refused from which on no machine is taken out.
    """

    directory: str
    voters: tuple[str, ...]
    command: Address | None = None
    moves_per_s: float = 20.0
    pressure: float = 0.05
    requests: tuple[Asking, ...] = ()

    def __post_init__(self) -> None:
        for key, least, most in (("moves_per_s", 0.1, 100_000.0), ("pressure", 0.0, 1.0)):
            value = getattr(self, key)
            if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
                raise MaintenanceError(f"turns.{key} is {value!r}: a number from {least:g} to {most:g} is wanted")
        if not isinstance(self.directory, str) or not self.directory:
            raise MaintenanceError("turns.directory is missing: a folder of this relay's own")
        if not 1 <= len(self.voters) <= MAX_VOTERS or len(set(self.voters)) != len(self.voters):
            raise MaintenanceError(f"turns.voters names 1 to {MAX_VOTERS} relays, each once")
        if len(self.requests) > MAX_REQUESTS:
            raise MaintenanceError(f"turns.request: {MAX_REQUESTS} at most")


def _known(values: Iterable[str], of: type, where: str) -> None:
    known = [f.name for f in fields(of)]
    for key in set(values) - set(known):
        near = get_close_matches(key, known, 1)
        raise MaintenanceError(f"{where}.{key} is not known" + (f"; {near[0]} is" if near else ""))


def read_turns(section: Mapping[str, Any]) -> TurnSettings:
    """The settings from the operator's `[turns]`; raises TurnError."""
    values = dict(section)
    requests = values.pop("request", [])
    _known(values, TurnSettings, "turns")
    if not isinstance(requests, list) or not all(isinstance(r, dict) for r in requests):
        raise MaintenanceError("[[turns.request]] is a list of tables")
    voters = values.get("voters", [])
    if not isinstance(voters, list) or not all(isinstance(v, str) and 0 < len(v) <= MAX_NAME_LENGTH for v in voters):
        raise MaintenanceError(f"turns.voters is {voters!r}: a list of relays' names is wanted")
    values["voters"], values["requests"] = tuple(voters), tuple(read_asking(r) for r in requests)
    if "command" in values:
        try:
            values["command"] = read_address("command", values["command"])
        except PeerError as error:
            raise MaintenanceError(f"turns.{str(error).removeprefix('peers.')}") from None
        if not IPv4Address(values["command"][0]).is_loopback:
            raise MaintenanceError(f"turns.command is {section['command']!r}: a loopback address is wanted")
    values.setdefault("directory", "")
    return TurnSettings(**values)
