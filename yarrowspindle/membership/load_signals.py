"""The peers' load as they report it, and its totals by backend, which are updated with each change.

All figures are absolute, so that a signal that arrives twice or out of order does no harm. A peer whose signals were
lost is asked for all of its load. Times are milliseconds of a monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from math import inf

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.membership.local_load_log import MAX_KEYS, MAX_REPORT_AGE_MS, MAX_UINT32, NO_LOAD, LocalLoadLog
from yarrowspindle.membership.messages import LoadSignal

MAX_SIGNAL_AGE_MS = 4500.0  # the load of a peer whose newest signal is older does not count
CLOCK_WINDOW_MS = 60_000.0  # the offset of a peer's clock is taken from the last two windows
FULL_REQUEST_INTERVAL_MS = 1000.0


class PeerView:
    """What one peer reported.

    sent_at, version: of its newest signal. loads: connections and load by backend key. ejected_until: by backend key.
    clock_windows: their start, and the smallest difference seen between the peer's clock and ours.
    min_clock_offset: the smallest difference of these windows. counted: whether its load is in the totals.
    full_requested_at: when all of its load was last requested. missing_signals: whether it should be requested.
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
        """Takes over that the peer's clock showed a time no earlier than ours showed `pinged_at`."""
        offset = peer_time - pinged_at
        if not self.clock_windows or pinged_at >= self.clock_windows[-1][0] + CLOCK_WINDOW_MS:
            self.clock_windows = [*self.clock_windows[-1:], (pinged_at, offset)]
        else:
            started_at, min_offset = self.clock_windows[-1]
            self.clock_windows[-1] = (started_at, min(min_offset, offset))
        self.min_clock_offset = min(min_offset for _, min_offset in self.clock_windows)

    def age_ms(self, now: float) -> float:
        """Returns the most that the newest signal can be old; infinite before the peer's clock is known."""
        return max(0.0, now - self.sent_at + self.min_clock_offset) if self.sent_at >= 0 else inf

    def record_version(self, sent_at: int, signal: LoadSignal) -> bool:
        """Takes over the signal's version; returns whether signals before it were lost."""
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
        """Whether all of the peer's load should be requested now; notes the request."""
        if not self.missing_signals or now < self.full_requested_at + FULL_REQUEST_INTERVAL_MS:
            return False
        self.full_requested_at = now
        self.missing_signals = False
        return True


class LoadSignals:
    """The load of this relay and of its peers.

    totals: connections and load by backend key, of all peers that count. changed, connection_changes: since the
    balancer's last update. reports: utilization, connections and when the report was made, by backend key.
    counts: for the metrics.
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
        """Returns the view of a peer; a new one where its process is another."""
        view = self.peers.get(name)
        if view is None or view.incarnation != incarnation:
            self.remove(name)
            view = self.peers[name] = PeerView(incarnation)
        return view

    def remove(self, name: str) -> None:
        """Removes a peer that left, died or restarted, and its load from the totals."""
        view = self.peers.pop(name, None)
        if view is not None:
            self._set_counted(view, False)

    def receive(self, name: str, incarnation: int, sent_at: int, signal: LoadSignal, now: float) -> bool:
        """Takes over a peer's signal; returns whether all of its load should be requested."""
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
        """Removes the peer's load on backends within the signal's range that the range does not list."""
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
        """Takes over entries of three figures. One loop without calls: most of the package's time is spent here."""
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
        """Adds the peer's load to the totals, or takes it out of them."""
        if view.counted == counted:
            return
        view.counted = counted
        sign = 1 if counted else -1
        for key, (connections, load) in view.loads.items():
            self._add_to_total(key, sign * connections, sign * load)

    # --- for the balancer -----------------------------------------------------------------------

    def take_peer_loads(self, now: float, relays: int, rank: int) -> PeerLoads:
        """Returns what changed since the last call. `relays` are present; `rank` is this one's place among them."""
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
        """Returns the age of the oldest signal that counts."""
        return max((view.age_ms(now) for view in self.peers.values() if view.counted), default=0.0)

    def peers_without_clock(self, names: list[str]) -> Iterator[str]:
        """Yields the peers among these whose clock is not known yet."""
        return (name for name in names if (view := self.peers.get(name)) is None or not view.clock_windows)
