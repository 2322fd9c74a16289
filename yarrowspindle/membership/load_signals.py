"""The load that the peers report, and its totals by backend, which are updated incrementally.

All values are absolute, so that signals may arrive twice or out of order. If signals of a peer were lost, all of its
load is requested. Times are milliseconds of a monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from math import inf

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.membership.local_load_log import MAX_KEYS, MAX_REPORT_AGE_MS, MAX_UINT32, NO_LOAD, LocalLoadLog
from yarrowspindle.membership.messages import LoadSignal

MAX_SIGNAL_AGE_MS = 4500.0  # the load of a peer whose newest signal is older is excluded from the totals
CLOCK_WINDOW_MS = 60_000.0  # the clock offset of a peer is the minimum over the last two windows
FULL_REQUEST_INTERVAL_MS = 1000.0


class PeerView:
    """The load reported by one peer.

    Attributes:
        incarnation: Incarnation of the peer's process.
        sent_at: When the newest signal was sent, by the peer's clock; -1 before the first signal.
        version: Version of the newest signal.
        loads: Connections and load by backend key.
        ejected_until: End of the peer's outlier ejections, by backend key and this relay's clock.
        clock_windows: Start of each window, and the smallest difference of the peer's clock to this relay's in it.
        min_clock_offset: The smallest difference of all windows.
        counted: Whether the load is included in the totals.
        full_requested_at: When all of the load was last requested.
        missing_signals: Whether signals were lost, so that all of the load must be requested.
    """

    __slots__ = (
        "incarnation",
        "sent_at",
        "version",
        "loads",
        "ejected_until",
        "clock_windows",
        "min_clock_offset",
        "counted",
        "full_requested_at",
        "missing_signals",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sent_at = -1
        self.version = -1
        self.loads: dict[int, tuple[int, int]] = {}
        self.ejected_until: dict[int, float] = {}
        self.clock_windows: list[tuple[float, float]] = []
        self.min_clock_offset = inf
        self.counted = False
        self.full_requested_at = -inf
        self.missing_signals = False

    def observe_clock(self, peer_time: float, pinged_at: float) -> None:
        """Update the clock offset from an answered ping.

        Args:
            peer_time: The peer's clock when it sent the answer.
            pinged_at: This relay's clock when it sent the ping, which was no later than the answer.
        """
        offset = peer_time - pinged_at
        if not self.clock_windows or pinged_at >= self.clock_windows[-1][0] + CLOCK_WINDOW_MS:
            self.clock_windows = [*self.clock_windows[-1:], (pinged_at, offset)]
        else:
            started_at, min_offset = self.clock_windows[-1]
            self.clock_windows[-1] = (started_at, min(min_offset, offset))
        self.min_clock_offset = min(min_offset for _, min_offset in self.clock_windows)

    def age_ms(self, now: float) -> float:
        """Return an upper bound of the newest signal's age; infinite if the peer's clock offset is not known yet."""
        return max(0.0, now - self.sent_at + self.min_clock_offset) if self.sent_at >= 0 else inf

    def record_version(self, sent_at: int, signal: LoadSignal) -> bool:
        """Record the time and version of a signal, and return whether signals before it were lost."""
        is_gap = False
        if signal.range_first == 0 and signal.range_last == MAX_UINT32:
            self.missing_signals = False
        elif signal.base_version > self.version:
            self.missing_signals = True
            is_gap = True
        self.sent_at = sent_at
        self.version = max(self.version, signal.version)
        return is_gap

    def should_request_full_load(self, now: float) -> bool:
        """Return whether all of the peer's load must be requested now, and if so record the request."""
        if not self.missing_signals or now < self.full_requested_at + FULL_REQUEST_INTERVAL_MS:
            return False
        self.full_requested_at = now
        self.missing_signals = False
        return True


class LoadSignals:
    """The load of this relay and of its peers.

    Attributes:
        local: The load that this relay reports.
        peers: Views of the peers by name.
        totals: Total connections and load of the peers with recent signals, by backend key.
        changed: Backend keys whose totals changed since the last report to the balancer.
        connection_changes: Change of the total connections since that report, by backend key.
        reports: Utilization, connections and time of the newest load report from a backend, by backend key.
        counts: Counters by their metric names.
    """

    def __init__(self) -> None:
        self.local = LocalLoadLog()
        self.peers: dict[str, PeerView] = {}
        self.totals: dict[int, list[int]] = {}
        self.changed: set[int] = set()
        self.connection_changes: dict[int, int] = {}
        self.reports: dict[int, tuple[float, float, float]] = {}
        self.counts: Counter[str] = Counter()

    # --- signals received -----------------------------------------------------------------------

    def peer_view(self, name: str, incarnation: int) -> PeerView:
        """Return the view of a peer; a new one if this incarnation of the peer is not known."""
        view = self.peers.get(name)
        if view is None or view.incarnation != incarnation:
            self.remove(name)
            view = self.peers[name] = PeerView(incarnation)
        return view

    def remove(self, name: str) -> None:
        """Remove a peer that left, died or restarted, and subtract its load from the totals."""
        view = self.peers.pop(name, None)
        if view is not None:
            self._set_counted(view, False)

    def receive(self, name: str, incarnation: int, sent_at: int, signal: LoadSignal, now: float) -> bool:
        """Apply a peer's load signal, and return whether all of the peer's load must be requested."""
        view = self.peer_view(name, incarnation)
        if sent_at <= view.sent_at:
            self.counts["signals_old"] += 1
            return False
        if view.record_version(sent_at, signal):
            self.counts["signals_gaps"] += 1
        self.counts["signals_taken"] += 1
        if signal.range_last > signal.range_first:
            self._clear_unlisted(view, signal)
        self._apply(view, signal.range_loads)
        self._apply(view, signal.changed)
        ejected = zip(signal.ejected[::2], signal.ejected[1::2], strict=True)
        view.ejected_until = {key: now + remaining_ms for key, remaining_ms in ejected}
        self._merge_reports(view, signal, now)
        return view.should_request_full_load(now)

    def _clear_unlisted(self, view: PeerView, signal: LoadSignal) -> None:
        """Remove the peer's load on backends that are within the signal's key range but not listed in it."""
        first, last = signal.range_first, signal.range_last
        listed = set(signal.range_loads[::3])
        unlisted = [key for key in view.loads if first <= key <= last and key not in listed]
        self._apply(view, [value for key in unlisted for value in (key, *NO_LOAD)])

    def _merge_reports(self, view: PeerView, signal: LoadSignal, now: float) -> None:
        for key, utilization, connections, age_ms in zip(*(iter(signal.reports),) * 4, strict=True):
            reported_at = now - view.age_ms(now) - age_ms
            known_reported_at = self.reports.get(key, (0.0, 0.0, -inf))[2]
            if reported_at > now - MAX_REPORT_AGE_MS and reported_at > known_reported_at:
                self.reports[key] = (utilization / 1000.0, float(connections), reported_at)

    def _apply(self, view: PeerView, values: list[int]) -> None:
        """Apply load entries of three values each to the view and the totals.

        This is a single loop without function calls, as most of the package's CPU time is spent here.
        """
        loads, counted, totals = view.loads, view.counted, self.totals
        connection_changes = self.connection_changes
        for key, connections, load in zip(values[::3], values[1::3], values[2::3], strict=True):
            old_connections, old_load = old = loads.get(key, NO_LOAD)
            if old_connections == connections and old_load == load:
                continue
            if not connections and not load:
                del loads[key]
            elif old is NO_LOAD and len(loads) >= MAX_KEYS:
                continue
            else:
                loads[key] = (connections, load)
            if counted:
                total = totals.get(key)
                if total is None:
                    totals[key] = [connections - old_connections, load - old_load]
                else:
                    total[0] += connections - old_connections
                    total[1] += load - old_load
                    if not total[0] and not total[1]:
                        del totals[key]
                self.changed.add(key)
                connection_changes[key] = connection_changes.get(key, 0) + connections - old_connections

    def _add_to_total(self, key: int, connections: int, load: int) -> None:
        total = self.totals.get(key)
        if total is None:
            self.totals[key] = [connections, load]
        else:
            total[0] += connections
            total[1] += load
            if not total[0] and not total[1]:
                del self.totals[key]
        self.changed.add(key)

    def _set_counted(self, view: PeerView, counted: bool) -> None:
        """Add the peer's load to the totals, or subtract it."""
        if view.counted == counted:
            return
        view.counted = counted
        sign = 1 if counted else -1
        for key, (connections, load) in view.loads.items():
            self._add_to_total(key, sign * connections, sign * load)

    # --- reports to the balancer ----------------------------------------------------------------

    def take_peer_loads(self, now: float, relays: int, rank: int) -> PeerLoads:
        """Return the changes of the peers' load since the last call.

        Args:
            now: Current time in milliseconds.
            relays: Number of relays present in the cluster.
            rank: Index of this relay among their sorted names.
        """
        ages = []
        for view in self.peers.values():
            age_ms = view.age_ms(now)
            self._set_counted(view, age_ms < MAX_SIGNAL_AGE_MS)
            if view.counted:
                ages.append(age_ms)
        loads = {
            key: (int(total[0]), float(total[1])) if (total := self.totals.get(key)) else (0, 0.0)
            for key in self.changed
        }
        peer_loads = PeerLoads(
            loads,
            {key: change for key, change in self.connection_changes.items() if change},
            len(ages),
            relays,
            sum(ages) / len(ages) if ages else 0.0,
            self._ejected_by_majority(now, len(ages)),
            {
                key: (utilization, connections, now - reported_at)
                for key, (utilization, connections, reported_at) in self.reports.items()
            },
            rank,
        )
        self.changed.clear()
        self.connection_changes.clear()
        self.reports.clear()
        return peer_loads

    def _ejected_by_majority(self, now: float, counted_peers: int) -> frozenset[int]:
        ejections = Counter(
            key
            for view in self.peers.values()
            if view.counted
            for key, until in view.ejected_until.items()
            if until > now
        )
        return frozenset(key for key, peers in ejections.items() if 2 * peers > counted_peers)

    def oldest_age_ms(self, now: float) -> float:
        """Return the greatest signal age among the peers that are included in the totals, in milliseconds."""
        return max((view.age_ms(now) for view in self.peers.values() if view.counted), default=0.0)

    def peers_without_clock(self, names: list[str]) -> Iterator[str]:
        """Return an iterator over those of the named peers whose clock offset is not known yet."""
        return (name for name in names if (view := self.peers.get(name)) is None or not view.clock_windows)
