"""What operators may set of peers, with checks that name the wrong key."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from difflib import get_close_matches
from typing import Any

from yarrowspindle.protocol.endpoint_list import ListError, parse_address
from yarrowspindle.routing.address import Address

MAX_NAME = 64
MAX_SEEDS = 64


class PeerError(ValueError):
    """A key is unknown, or its value makes no sense; the text names the key and what is allowed."""


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """listen: where this relay hears the others, an IPv4 address and port over UDP.
    advertise: where the others reach it; `listen` where that is left out.
    seeds: addresses of some relays, by which a new one finds the others; its own may be among them.
    cluster: relays of other clusters are not heard.
    name: this relay's name among the others; the configuration's where it is left out.
    probe_s: one other relay is probed this often.
    suspicion_s: a relay that does not answer is held to have ended after so long at the soonest, unless it objects.
    signal_s: what this relay holds is told this often at the most.
    bytes_per_s: what is sent in all; with many relays signals are sent less often for it.
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
        for key, (least, most) in RANGES.items():
            value = getattr(self, key)
            if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
                raise PeerError(f"peers.{key} is {value!r}: a number from {least:g} to {most:g} is wanted")
        for key in ("cluster", "name"):
            value = getattr(self, key)
            if not isinstance(value, str) or len(value.encode()) > MAX_NAME or (key == "cluster" and not value):
                raise PeerError(f"peers.{key} is {value!r}: a text of at most {MAX_NAME} bytes is wanted")
        if len(self.seeds) > MAX_SEEDS:
            raise PeerError(f"peers.seeds names {len(self.seeds)} addresses: {MAX_SEEDS} at most")
        if self.forget_s < 4.0 * self.suspicion_s:
            raise PeerError("peers.forget_s must be at least four times peers.suspicion_s")

    @property
    def reached_at(self) -> Address:
        return self.advertise or self.listen


RANGES: dict[str, tuple[float, float]] = {
    "probe_s": (0.05, 60.0),
    "suspicion_s": (0.1, 600.0),
    "signal_s": (0.05, 60.0),
    "bytes_per_s": (1000.0, 100_000_000.0),
    "forget_s": (1.0, 86_400.0),
}


def read_address(key: str, value: object) -> Address:
    """An IPv4 address with a port that can be sent to."""
    try:
        if not isinstance(value, str):
            raise ListError("no text")
        host, port = parse_address(value)
        parts = [int(part) for part in host.split(".") if part.isdecimal()]
        if len(parts) != 4 or host.count(".") != 3 or max(parts) > 255 or not 0 < port < 65_536:
            raise ListError("no IPv4 address with a port")
    except ListError:
        raise PeerError(f'peers.{key} is {value!r}: an address like "10.0.0.1:7946" is wanted') from None
    return host, port


def read_peers(section: Mapping[str, Any]) -> PeerSettings:
    """The settings from the operator's `[peers]`; raises PeerError."""
    known = [f.name for f in fields(PeerSettings)]
    values = dict(section)
    for key in values.keys() - set(known):
        near = get_close_matches(key, known, 1)
        raise PeerError(f"peers.{key} is not known" + (f"; {near[0]} is" if near else ""))
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
