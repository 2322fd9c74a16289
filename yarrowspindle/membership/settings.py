"""Parses and validates the section `[peers]` of the operator's configuration file."""

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
    """A key of `[peers]` is unknown or its value is invalid; the message names the key and the allowed values."""


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """The section `[peers]` of the operator's file; the field names are the keys. Durations are in seconds.

    Attributes:
        listen: IPv4 address and UDP port on which this relay receives its peers' datagrams.
        seeds: Addresses of some relays through which this relay joins the cluster; its own may be among them.
        cluster: Name of the cluster; datagrams of other clusters are dropped.
        advertise: Address at which peers reach this relay; `listen` by default.
        name: This relay's name in the cluster; by default the name in the relay's own configuration.
        probe_s: Interval between probes; each probes one peer.
        suspicion_s: Minimum time until a suspected peer that does not refute the suspicion is declared dead.
        signal_s: Minimum interval between load signals.
        bytes_per_s: Maximum rate of all load signals sent; with many peers the signals are sent less often.
        forget_s: How long relays that are dead or left are kept in the membership table.
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
                raise PeerError(f"peers.{key} is {value!r}; expected a number from {minimum:g} to {maximum:g}")
        for key in ("cluster", "name"):
            value = getattr(self, key)
            if not isinstance(value, str) or len(value.encode()) > MAX_NAME_BYTES or (key == "cluster" and not value):
                raise PeerError(
                    f"peers.{key} is {value!r}; expected a string of at most {MAX_NAME_BYTES} bytes "
                    "(peers.cluster must not be empty)"
                )
        if len(self.seeds) > MAX_SEEDS:
            raise PeerError(f"peers.seeds has {len(self.seeds)} addresses; at most {MAX_SEEDS} are allowed")
        if self.forget_s < 4.0 * self.suspicion_s:
            raise PeerError("peers.forget_s must be at least four times peers.suspicion_s")

    @property
    def advertised_address(self) -> Address:
        """The address at which peers reach this relay."""
        return self.advertise or self.listen


ALLOWED_RANGES: dict[str, tuple[float, float]] = {
    "probe_s": (0.05, 60.0),
    "suspicion_s": (0.1, 600.0),
    "signal_s": (0.05, 60.0),
    "bytes_per_s": (1000.0, 100_000_000.0),
    "forget_s": (1.0, 86_400.0),
}


def read_address(key: str, value: object) -> Address:
    """Parse an IPv4 address with a port.

    Args:
        key: Key of the value, for the error message.
        value: Value from the file.

    Raises:
        PeerError: The value is not an IPv4 address with a port.
    """
    try:
        if not isinstance(value, str):
            raise ListError("not a string")
        host, port = parse_address(value)
        parts = [int(part) for part in host.split(".") if part.isdecimal()]
        is_ipv4 = len(parts) == IPV4_PARTS and host.count(".") == IPV4_PARTS - 1 and max(parts) <= MAX_IPV4_PART
        if not is_ipv4 or not 0 < port <= MAX_PORT:
            raise ListError("not an IPv4 address with a port")
    except ListError:
        raise PeerError(f'peers.{key} is {value!r}; expected an address such as "10.0.0.1:7946"') from None
    return host, port


def read_peers(section: Mapping[str, Any]) -> PeerSettings:
    """Parse the section `[peers]` of the operator's file.

    Raises:
        PeerError: A key is unknown or missing, or a value is invalid.
    """
    known = [field.name for field in fields(PeerSettings)]
    values = dict(section)
    for key in values.keys() - set(known):
        similar = get_close_matches(key, known, 1)
        hint = f"; did you mean {similar[0]}?" if similar else ""
        raise PeerError(f"unknown key peers.{key}{hint}")
    if "listen" not in values:
        raise PeerError(
            "peers.listen is missing; expected the address on which this relay receives its peers' datagrams"
        )
    for key in ("listen", "advertise"):
        if key in values:
            values[key] = read_address(key, values[key])
    seeds = values.get("seeds", [])
    if not isinstance(seeds, list):
        raise PeerError(f"peers.seeds is {seeds!r}; expected a list of addresses")
    values["seeds"] = tuple(read_address("seeds", seed) for seed in seeds)
    return PeerSettings(**values)
