"""The operator's settings of membership, with errors that name the wrong key."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from difflib import get_close_matches
from typing import Any

from yarrowspindle.protocol.endpoint_list import ListError, parse_address
from yarrowspindle.routing.address import Address

MAX_NAME_BYTES = 64
MAX_SEEDS = 64
IPV4_PARTS = 4
MAX_IPV4_PART = 255
MAX_PORT = 65_535


class PeerError(ValueError):
    """A key is unknown or its value is not allowed; the text names the key and what is allowed."""


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """The table `[peers]` of the configuration file. Durations are in seconds.

    listen: the IPv4 address and UDP port on which this relay receives its peers' datagrams.
    advertise: the address by which peers reach it; by default `listen`.
    seeds: addresses of some relays by which a new one joins; its own may be among them.
    cluster: datagrams of relays in other clusters are dropped.
    name: this relay's name in the cluster; by default the configuration's.
    probe_s: the interval between probes of one peer each.
    suspicion_s: the shortest time between a suspicion and the death of a peer that does not refute it.
    signal_s: the shortest interval between load signals.
    bytes_per_s: the limit on load signals in all; with many relays they are sent less often.
    forget_s: how long a relay that has ended is remembered.
    """

    listen: Address
    seeds: tuple[Address, ...] = ()
    cluster: str = "default"
    advertise: Address | None = None
    name: str = ""
    probe_s: float = 0.5
    suspicion_s: float = 1.5
    signal_s: float = 0.1
    bytes_per_s: float = 48_000.0
    forget_s: float = 60.0

    def __post_init__(self) -> None:
        for key, (minimum, maximum) in ALLOWED_RANGES.items():
            value = getattr(self, key)
            if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
                raise PeerError(f"peers.{key} is {value!r}: a number from {minimum:g} to {maximum:g} is wanted")
        for key in ("cluster", "name"):
            value = getattr(self, key)
            if not isinstance(value, str) or len(value.encode()) > MAX_NAME_BYTES or (key == "cluster" and not value):
                raise PeerError(f"peers.{key} is {value!r}: a text of at most {MAX_NAME_BYTES} bytes is wanted")
        if len(self.seeds) > MAX_SEEDS:
            raise PeerError(f"peers.seeds names {len(self.seeds)} addresses: {MAX_SEEDS} at most")
        if self.forget_s < 4.0 * self.suspicion_s:
            raise PeerError("peers.forget_s must be at least four times peers.suspicion_s")

    @property
    def advertised_address(self) -> Address:
        """The address by which peers reach this relay."""
        return self.advertise or self.listen


ALLOWED_RANGES: dict[str, tuple[float, float]] = {
    "probe_s": (0.05, 60.0),
    "suspicion_s": (0.1, 600.0),
    "signal_s": (0.05, 60.0),
    "bytes_per_s": (1000.0, 100_000_000.0),
    "forget_s": (1.0, 86_400.0),
}


def read_address(key: str, value: object) -> Address:
    """Returns the IPv4 address and port; raises PeerError where the value is not one."""
    try:
        if not isinstance(value, str):
            raise ListError("no text")
        host, port = parse_address(value)
        parts = [int(part) for part in host.split(".") if part.isdecimal()]
        is_ipv4 = len(parts) == IPV4_PARTS and host.count(".") == IPV4_PARTS - 1 and max(parts) <= MAX_IPV4_PART
        if not is_ipv4 or not 0 < port <= MAX_PORT:
            raise ListError("no IPv4 address with a port")
    except ListError:
        raise PeerError(f'peers.{key} is {value!r}: an address like "10.0.0.1:7946" is wanted') from None
    return host, port


def read_peers(section: Mapping[str, Any]) -> PeerSettings:
    """Returns the settings in the table `[peers]`; raises PeerError where a key or value is wrong."""
    known = [field.name for field in fields(PeerSettings)]
    values = dict(section)
    for key in values.keys() - set(known):
        similar = get_close_matches(key, known, 1)
        hint = f"; {similar[0]} is" if similar else ""
        raise PeerError(f"peers.{key} is not known{hint}")
    if "listen" not in values:
        raise PeerError("peers.listen is missing: where this relay hears the others")
    for key in ("listen", "advertise"):
        if key in values:
            values[key] = read_address(key, values[key])
    seeds = values.get("seeds", [])
    if not isinstance(seeds, list):
        raise PeerError(f"peers.seeds is {seeds!r}: a list of addresses is wanted")
    values["seeds"] = tuple(read_address("seeds", seed) for seed in seeds)
    return PeerSettings(**values)
