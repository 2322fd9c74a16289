"""The load that this relay reports to its peers: incremental changes, and all loads on request.

A change is repeated in several consecutive signals, as some may be lost. Every few signals also carry the loads of a
range of backend keys, so that the peers' views converge even if a loss goes unnoticed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice
from math import inf

from yarrowspindle.membership.events import LocalLoad
from yarrowspindle.membership.messages import LoadSignal

MAX_UINT32 = (1 << 32) - 1
MAX_ENTRIES = 50  # entries of three values per signal, so that the datagram stays within MAX_DATAGRAM_BYTES
MAX_CHANGES_PER_VERSION = MAX_ENTRIES // 2
MAX_REPORTS = 12  # per signal; together with the ejections they leave room for at least half of the entries
MAX_EJECTED = 12  # per signal
TRANSMISSIONS = 3  # consecutive signals that carry a change
MAX_PENDING_VERSIONS = 400
RANGE_INTERVAL = 4  # each fourth signal carries a range of all loads
MIN_RANGE_ENTRIES = 8
MAX_KEYS = 8192  # backends on which one relay may report load
MIN_LOAD_CHANGE_FRACTION = 0.05  # smaller changes are not sent unless the number of connections changed
MAX_REPORT_AGE_MS = 5000.0
REPORT_TOLERANCE_MS = 1.0  # a report counts as new if it was made later by more than this
NO_LOAD = (0, 0)


@dataclass(slots=True)
class VersionChanges:
    """The keys of the backends whose load changed with a version, and the number of transmissions of the changes."""

    version: int
    keys: list[int]
    transmissions: int = 0


class LocalLoadLog:
    """This relay's load as last reported, and the changes that are still to be sent.

    Attributes:
        loads: Connections and load by backend key.
        version: Version of the newest change.
        pending: Changes that are still to be sent, oldest first.
    """

    def __init__(self) -> None:
        self.loads: dict[int, tuple[int, int]] = {}
        self.version = 0
        self.pending: deque[VersionChanges] = deque()
        self._signal_count = 0
        self._range_start = 0
        self._reports_sent: dict[int, float] = {}  # when the last sent report was made, by backend key

    def next_signal(self, local_load: LocalLoad, now: float, transmissions: int = TRANSMISSIONS) -> LoadSignal:
        """Return the next signal, which fits into one datagram; changes without room are left for the next signal.

        Args:
            local_load: Current load of this relay.
            now: Current time in milliseconds.
            transmissions: Number of signals that carry each change, unless newer changes need the room.
        """
        self._signal_count += 1
        self._queue_changes(self._update_loads(local_load))
        ejected = [
            value
            for key, remaining_ms in islice(local_load.ejected.items(), MAX_EJECTED)
            for value in (key, to_uint32(remaining_ms))
        ]
        reports = self._new_reports(local_load, now)
        max_entries = MAX_ENTRIES - len(ejected) // 3 - len(reports) // 3
        self._discard_pending(transmissions, max_entries)
        base_version = self.pending[0].version - 1 if self.pending else self.version
        version, keys = self._select_changes(base_version, max_entries)
        range_first, range_last, range_loads = 0, 0, list[int]()
        if self._signal_count % RANGE_INTERVAL == 0:
            range_first, range_last, range_loads = self._next_range(max(max_entries - len(keys), MIN_RANGE_ENTRIES))
        changed = self._entries(keys)
        return LoadSignal(base_version, version, changed, range_first, range_last, range_loads, ejected, reports)

    def full_signals(self) -> list[LoadSignal]:
        """Return all loads, in signals that each cover a range of backend keys."""
        keys = sorted(self.loads)
        signals = list[LoadSignal]()
        first = 0
        for start in range(0, max(len(keys), 1), MAX_ENTRIES):
            range_keys = keys[start : start + MAX_ENTRIES]
            last = range_keys[-1] if start + MAX_ENTRIES < len(keys) else MAX_UINT32
            signals.append(LoadSignal(0, self.version, [], first, last, self._entries(range_keys)))
            first = last + 1
        return signals

    def _update_loads(self, local_load: LocalLoad) -> list[int]:
        """Store the current load, and return the keys of the backends whose load changed significantly."""
        loads = self.loads
        changed = []
        for key, (connections, load) in islice(local_load.loads.items(), MAX_KEYS):
            current = (to_uint32(connections), to_uint32(load))
            previous = loads.get(key)
            if previous is None or _is_significant_change(previous, current):
                loads[key] = current
                changed.append(key)
        for key in [key for key in loads if key not in local_load.loads]:
            del loads[key]
            changed.append(key)
        return changed

    def _queue_changes(self, changed: list[int]) -> None:
        for start in range(0, len(changed), MAX_CHANGES_PER_VERSION):
            self.version += 1
            self.pending.append(VersionChanges(self.version, changed[start : start + MAX_CHANGES_PER_VERSION]))

    def _new_reports(self, local_load: LocalLoad, now: float) -> list[int]:
        """Return the recent load reports of backends that were not sent yet, as entries of four values."""
        entries = list[int]()
        for key, (utilization, connections, age_ms) in local_load.reports.items():
            last_sent = self._reports_sent.get(key, -inf)
            is_new = age_ms < MAX_REPORT_AGE_MS and now - age_ms > last_sent + REPORT_TOLERANCE_MS
            if is_new and len(entries) < 4 * MAX_REPORTS:
                self._reports_sent[key] = now - age_ms
                entries += [key, to_uint32(1000.0 * utilization), to_uint32(connections), to_uint32(age_ms)]
        if len(self._reports_sent) > MAX_KEYS:
            self._reports_sent.clear()
        return entries

    def _discard_pending(self, transmissions: int, max_entries: int) -> None:
        """Discard changes that were sent often enough, and the oldest ones if there is no room for all.

        A peer that misses a version notices the gap and requests all loads.
        """
        pending = self.pending
        while len(pending) > MAX_PENDING_VERSIONS:
            pending.popleft()
        while pending and pending[0].transmissions >= transmissions:
            pending.popleft()
        while pending and pending[0].transmissions and sum(len(changes.keys) for changes in pending) > max_entries:
            pending.popleft()

    def _select_changes(self, base_version: int, max_entries: int) -> tuple[int, dict[int, None]]:
        """Return the version up to which the changes fit into the signal, and their backend keys in order."""
        version = base_version
        keys = dict[int, None]()
        for changes in self.pending:
            new_keys = [key for key in changes.keys if key not in keys]
            if keys and len(keys) + len(new_keys) > max_entries:
                break
            keys |= dict.fromkeys(new_keys)
            changes.transmissions += 1
            version = changes.version
        return version, keys

    def _next_range(self, max_entries: int) -> tuple[int, int, list[int]]:
        """Return the first and last key of the next range, and the entries of all loads within it."""
        if self._range_start > MAX_UINT32:
            self._range_start = 0
        first = self._range_start
        keys = sorted(key for key in self.loads if key >= first)
        last = keys[max_entries - 1] if len(keys) > max_entries else MAX_UINT32
        self._range_start = last + 1
        return first, last, self._entries(keys[:max_entries])

    def _entries(self, keys: Iterable[int]) -> list[int]:
        return [value for key in keys for value in (key, *self.loads.get(key, NO_LOAD))]


def to_uint32(value: float) -> int:
    """Return the value rounded and clamped to an unsigned 32-bit integer, as the wire format requires."""
    return min(max(int(value + 0.5), 0), MAX_UINT32)


def _is_significant_change(previous: tuple[int, int], current: tuple[int, int]) -> bool:
    if previous[0] != current[0]:
        return True
    return abs(previous[1] - current[1]) > MIN_LOAD_CHANGE_FRACTION * max(previous[1], current[1])
