"""What one process of a relay is notified of binds all of them: the endpoint list that they have in common.

During an upgrade two processes of a relay run side by side, each with a watch of its own, and a process that starts may
not reach discovery at all. Each process therefore takes up what another one was notified of, if that is newer than what
it knows itself. The version decides which list is newer. What discovery sends to this process itself always counts: a
list whose version is lower gets a higher numbering.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import replace

from loguru import logger

from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.protocol.shared_list import ListVersion, StoredList
from yarrowspindle.routing.events import Endpoint, EndpointsUpdated
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.runtime.endpoint_watch import EndpointWatch

MS_PER_S = 1000.0
# Called after each change of the list: with the changed entries, or with None if all entries may have changed.
ChangeListener = Callable[[list[Endpoint] | None], None]


def unix_time_ms() -> float:
    """Return the Unix time in milliseconds, which processes of one machine have in common."""
    return time.time() * MS_PER_S


class ListSharing:
    """The version of the endpoint list that this process holds, and the lists of other processes that it takes up.

    Args:
        reducer: holds the endpoint list.
        post: posts an event to the reducer.
        cached: the list of the configuration, which nobody has confirmed.

    Attributes:
        version: the version of the list that the reducer holds.
        notified_at_ms: Unix time at which discovery sent that version to a process of the relay; 0: to none, it is the
            list of the configuration.
        endpoint_watch: this process's own watch; it is told which version was taken up.
        listeners: called after each change of the list.
    """

    def __init__(self, reducer: Reducer, post: Callable[[EndpointsUpdated], None], cached: EndpointsUpdated) -> None:
        self._reducer, self._post, self._cached = reducer, post, cached
        self.version = ListVersion(0, cached.version)
        self.notified_at_ms = 0.0
        self.endpoint_watch: EndpointWatch | None = None
        self.listeners: list[ChangeListener] = []

    def start(self, stored: StoredList | None) -> None:
        """Post the list to start with: the stored one, unless the list of the configuration is newer.

        The configuration's list has no numbering. It counts as older where discovery has begun its versions anew since.
        """
        if stored is not None:
            self.version = max(self.version, stored.version)
        if self.endpoint_watch is not None:
            self.endpoint_watch.version = self.version.number
        if stored is None or stored.version != self.version:
            self._post(self._cached)
            return
        self.notified_at_ms = stored.notified_at_ms
        logger.info(
            "starting with the stored endpoint list: version {}, {} entries, notified {:.1f} s ago; "
            "the configuration has version {}",
            stored.version.number,
            len(stored.endpoints),
            (unix_time_ms() - stored.notified_at_ms) / MS_PER_S,
            self._cached.version,
        )
        self._post(EndpointsUpdated(ListKind.CACHED, stored.endpoints, stored.version.number))

    def endpoints(self) -> list[Endpoint]:
        """Return the entries of the list that the reducer holds, as discovery has sent them."""
        listed = (backend.endpoint for backend in self._reducer.backends.values())
        return [entry for entry in listed if entry is not None and entry.state is not EndpointState.GONE]

    def snapshot(self) -> StoredList:
        """Return the whole list."""
        return StoredList(self.version, self.notified_at_ms, self.endpoints())

    def on_own_update(self, update: EndpointsUpdated) -> None:
        """Post an update from this process's own watch, and pass it on if it is new."""
        is_new = update.kind in (ListKind.FULL, ListKind.DELTA) and self._is_new(update)
        self._post(update)
        if is_new:
            self.version = self._next_version(update.version)
            self.notified_at_ms = unix_time_ms()
            self._notify(update.endpoints if update.kind is ListKind.DELTA else None)

    def _is_new(self, update: EndpointsUpdated) -> bool:
        """Return whether an update of discovery may differ from the list that processes of the relay were sent."""
        if not self.notified_at_ms or update.version not in (self.version.number, 0):
            return True
        return any(True for _ in self._differences(update.endpoints, update.kind is ListKind.FULL))

    def _next_version(self, number: int) -> ListVersion:
        """Return the version of a new update.

        The number of a version does not go up where discovery has begun its versions anew, where it is another service
        since a reload, and where it states none.
        """
        confirms_configuration = number == self.version.number and not self.notified_at_ms
        begins_anew = number == 0 or (number <= self.version.number and not confirms_configuration)
        return ListVersion(self.version.numbering + begins_anew, number)

    def take_up(self, other: StoredList, complete: bool, source: str) -> bool:
        """Take up an update of another process if it is newer; return whether it was.

        Args:
            other: the update; one that is not complete builds on the version before it.
            complete: whether it contains all entries.
            source: where it comes from, for the log.
        """
        if not other.notified_at_ms or (self.notified_at_ms and other.version <= self.version):
            return False
        changed = list(self._differences(other.endpoints, complete))
        since_last_update_ms = max(unix_time_ms() - self.notified_at_ms, 0.0) if self.notified_at_ms else None
        self.version, self.notified_at_ms = other.version, other.notified_at_ms
        logger.info(
            "version {} of the endpoint list is taken up from {}: {} entries differ, notified {:.0f} ms ago",
            other.version.number,
            source,
            len(changed),
            unix_time_ms() - other.notified_at_ms,
        )
        if self.endpoint_watch is not None:
            self.endpoint_watch.adopt_version(other.version.number)
        self._post(EndpointsUpdated(ListKind.SHARED, changed, other.version.number, since_last_update_ms))
        self._notify(None if complete else changed)
        return True

    def _differences(self, endpoints: Iterable[Endpoint], complete: bool) -> Iterable[Endpoint]:
        """Yield the entries that differ from those of the reducer, and those that a complete list does not contain."""
        backends = self._reducer.backends
        listed = set()
        for endpoint in endpoints:
            listed.add(endpoint.name)
            backend = backends.get(endpoint.name)
            current = backend.endpoint if backend is not None else None
            if current != endpoint and (current is not None or endpoint.state is not EndpointState.GONE):
                yield endpoint
        if complete:
            yield from (replace(e, state=EndpointState.GONE) for e in self.endpoints() if e.name not in listed)

    def _notify(self, changed: list[Endpoint] | None) -> None:
        for listener in self.listeners:
            listener(changed)
