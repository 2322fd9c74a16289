"""Exchange of backend loads between the relays of the model fleet: by membership on a virtual network, or exact."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from yarrowspindle.decisions.backends import Backend
from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.lab.model.clock import VirtualClock
from yarrowspindle.runtime.membership_driver import local_load

if TYPE_CHECKING:  # membership needs msgspec, which the mode "known" does not
    from yarrowspindle.lab.model.membership_cluster import VirtualNetwork

EXACT_INTERVAL_MS = 25.0  # between distributions of the exact loads
BackendSource = Callable[[], Iterable[Backend]]
PeerLoadsCallback = Callable[[PeerLoads], None]


class PeerLoadExchange:
    """The exchange by which each relay learns the loads that the other relays have at each backend.

    Attributes:
        participants: The relays in mode "known", by index.
        network: The network in mode "net", for the injection of faults.
        previous_totals: The loads that each relay was given last.
        newest_report_ms: When the newest load report of each backend that was distributed was made.
    """

    def __init__(self, clock: VirtualClock, seed: int, mode: str, changes: dict[str, float]) -> None:
        """Create an exchange without relays.

        Args:
            clock: The virtual clock.
            seed: The seed of the network.
            mode: "net" for the membership protocol on a virtual network, "known" for exact loads without a network.
            changes: The membership settings that differ from the defaults, in mode "net".

        Raises:
            ValueError: The mode is unknown.
        """
        self.clock, self.participants = clock, dict[int, tuple[BackendSource, PeerLoadsCallback]]()
        self.network: VirtualNetwork | None = None
        self.previous_totals: dict[int, dict[int, tuple[int, float]]] = {}
        self.newest_report_ms: dict[int, float] = {}
        if mode == "net":
            from yarrowspindle.lab.model.membership_cluster import VirtualNetwork

            self.network = VirtualNetwork(clock, seed, **changes)  # type: ignore[arg-type]
        elif mode == "known":
            clock.after(EXACT_INTERVAL_MS, self._distribute_exact_loads)
        else:
            raise ValueError(f"unknown mode of the peer load exchange {mode!r}: expected 'net' or 'known'")

    def add_relay(self, index: int, backends: BackendSource, callback: PeerLoadsCallback) -> None:
        if self.network is not None:
            self.network.add(index, lambda: local_load(backends(), self.clock.now()), callback)
        else:
            self.participants[index] = (backends, callback)

    def remove_relay(self, index: int) -> None:
        if self.network is not None:
            self.network.peers[index].kill()
        else:
            self.participants.pop(index, None)

    def _distribute_exact_loads(self) -> None:
        """Give each relay the exact loads of all others: the bound for what an exchange by messages can achieve."""
        self.clock.after(EXACT_INTERVAL_MS, self._distribute_exact_loads)
        now = self.clock.now()
        local_loads = {index: local_load(backends(), now) for index, (backends, _) in self.participants.items()}
        reports: dict[int, tuple[float, float, float]] = {}
        for local in local_loads.values():
            for key, report in local.reports.items():
                if now - report[2] > self.newest_report_ms.get(key, 0.0) + 1.0:
                    self.newest_report_ms[key] = now - report[2]
                    reports[key] = report
        for index, (_, callback) in list(self.participants.items()):
            totals: dict[int, tuple[int, float]] = {}
            for other, local in local_loads.items():
                if other != index:
                    for key, (count, load) in local.loads.items():
                        total = totals.get(key, (0, 0.0))
                        totals[key] = (total[0] + count, total[1] + load)
            previous_totals = self.previous_totals.get(index, {})
            changes = {
                key: count_change
                for key in totals.keys() | previous_totals.keys()
                if (count_change := totals.get(key, (0, 0.0))[0] - previous_totals.get(key, (0, 0.0))[0])
            }
            removed = dict.fromkeys(previous_totals.keys() - totals.keys(), (0, 0.0))
            self.previous_totals[index] = totals
            callback(
                PeerLoads(
                    totals | removed,
                    changes,
                    len(local_loads) - 1,
                    len(local_loads),
                    0.0,
                    frozenset(),
                    reports,
                    sorted(local_loads).index(index),
                )
            )
