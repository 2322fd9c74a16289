"""The watch on the endpoint list over HTTP: one at a time, the next opened before the last is given up."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.protocol.endpoint_list import Names
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import EndpointsUpdated
from yarrowspindle.transport.connecting import Connecting
from yarrowspindle.transport.endpoint_list import WatchSide

MAX_PENDING_CALLS = 12  # under way beside the newest; each ends by itself after its time


class EndpointWatch:
    """Keeps one watch open. Whoever is given a failed update asks for the next one.

    Args:
        names: of zones and kinds, as the settings have them.
        on_update: is given each list, and an update of the kind FAILED where the watch has ended.
        on_failure: is given a reason for the log then.

    Attributes:
        watch: the newest call.
        watch_address: the address of the discovery service that it was made to.
        connecting: attempts to connect, by watch.
        pending_calls: earlier calls to the same address that have brought no list yet.
        previous: the watch before, kept until its successor has brought its list.
        last_active_at: seconds of the event loop at which a service last said anything after a list; None: never.
        last_active_address: that service's.
        version: the newest that was reported since `open` last wanted the full list.
        older_list_rejected: whether the last watch was ended because its full list was older than that.
    """

    def __init__(
        self, names: Names, on_update: Callable[[EndpointsUpdated], None], on_failure: Callable[[str], None]
    ) -> None:
        self.names, self.on_update, self.on_failure = names, on_update, on_failure
        self.watch: WatchSide | None = None
        self.watch_address: Address | None = None
        self.connecting: dict[WatchSide, Connecting] = {}
        self.pending_calls: deque[WatchSide] = deque()
        self.previous: WatchSide | None = None
        self.closed = False
        self.last_active_at: float | None = None
        self.last_active_address: Address | None = None
        self.version = 0
        self.older_list_rejected = False

    def open(self, version: int, address: Address, renew: bool = False) -> None:
        """Watches the list at this address from this version on; a watch that is there already goes on, or is renewed.

        A watch that is renewed reports on until the new one has brought a list; so one that has gone silent is found.
        A call that has brought none yet goes on beside those after it: a service that answers each later than the next
        is made is heard all the same.
        """
        if self.closed or (self.watch is not None and self.watch_address == address and not renew):
            return
        if self.watch is not None:
            self._replace(self.watch, address)
        self.version = max(version, self.version) if version else 0
        self.watch_address = address
        self.watch = watch = WatchSide(self, self.names, address, version)
        watch.begin()
        connecting = Connecting(watch, address, lambda failure: watch.end(str(failure)))
        self.connecting[watch] = connecting
        connecting.start()

    def _replace(self, replaced: WatchSide, address: Address) -> None:
        self.watch = None
        if replaced.has_list and self.previous is None:
            self.previous = replaced
        elif not replaced.has_list and replaced.address == address:
            self.pending_calls.append(replaced)
            if len(self.pending_calls) > MAX_PENDING_CALLS:
                self._end(self.pending_calls.popleft(), "too many calls are under way")
        else:  # nothing is lost with it
            self._end(replaced, "another is opened in its place")

    def _end(self, watch: WatchSide, reason: str) -> None:
        connecting = self.connecting.pop(watch, None)
        if connecting is not None:
            connecting.cancel()
        watch.end(reason)

    def _promote(self, watch: WatchSide) -> None:
        """Puts a call that was answered late in place of those made after it."""
        self.pending_calls.remove(watch)
        superseded = [*self.pending_calls, self.watch]
        self.pending_calls.clear()
        self.watch = watch
        for later in superseded:
            if later is not None:
                self._end(later, "an earlier call was answered")

    def close(self) -> None:
        """Ends all calls, and reports nothing more."""
        self.closed = True
        for watch in (self.watch, self.previous, *self.pending_calls):
            if watch is not None:
                self._end(watch, "closed")

    # --- reports of the watches -------------------------------------------------------------------

    def watch_active(self, watch: WatchSide) -> None:
        """Notes when the service was heard: whatever it was, what it reported so far stands."""
        if watch is self.watch or (watch is self.previous and watch.address == self.watch_address):
            self.last_active_at, self.last_active_address = asyncio.get_running_loop().time(), watch.address

    def _silence_ms(self, watch: WatchSide) -> float | None:
        """How long ago this service was last heard; None: it was not."""
        if self.last_active_at is None or self.last_active_address != watch.address:
            return None
        return (asyncio.get_running_loop().time() - self.last_active_at) * 1000.0

    def endpoints_received(self, watch: WatchSide, update: EndpointsUpdated) -> None:
        """Reports an update, unless it is older than what is known: it would undo drains.

        A full list like that is asked for once more, and believed then: the service may count anew.
        """
        if watch in self.pending_calls:
            self._promote(watch)
        if watch is self.watch and 0 < update.version < self.version:
            if update.kind is ListKind.DELTA:
                return
            if not self.older_list_rejected:
                self.older_list_rejected = True
                watch.end(f"a whole list of revision {update.version}, older than {self.version}")
                return
        if watch is self.watch:
            self.version, self.older_list_rejected = update.version, False
        if watch is self.watch and self.previous is not None:
            previous, self.previous = self.previous, None
            previous.end("another has taken its place")
        if watch is self.previous and watch.address != self.watch_address:
            # Another service counts in another way: no version to go on from.
            update = replace(update, version=self.version)
        if watch in (self.watch, self.previous):
            update.since_last_update_ms = self._silence_ms(watch)
            self.on_update(update)

    def watch_ended(self, watch: WatchSide, reason: str) -> None:
        """Reports a failure where it was the newest call."""
        self.connecting.pop(watch, None)
        if watch in self.pending_calls:
            self.pending_calls.remove(watch)
        if self.previous is watch:
            self.previous = None
        elif self.watch is watch:
            self.watch = None
            if not self.closed:
                self.on_failure(reason)
                self.on_update(EndpointsUpdated(ListKind.FAILED))
