"""The watch on the machine list over HTTP: one at a time, the next opened before the last is given up."""

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

MAX_SLOW = 12  # calls under way beside the newest; each ends by itself after its time


class EndpointWatch:
    """`told` is given each list; `failed` is told why a watch is over. Whoever asks for another is the module."""

    def __init__(self, names: Names, told: Callable[[EndpointsUpdated], None], failed: Callable[[str], None]) -> None:
        self.names, self.told, self.failed = names, told, failed
        self.watch: WatchSide | None = None
        self.watch_at: Address | None = None
        self.connecting: dict[WatchSide, Connecting] = {}
        self.slow: deque[WatchSide] = deque()  # earlier calls at the same address that have told nothing yet
        self.former: WatchSide | None = None  # kept until the watch that takes its place has told its list
        self.closed = False
        self.heard_at: float | None = None  # when discovery, at the address below, last said anything after a list
        self.heard_from: Address | None = None
        self.version = 0  # the newest that was told since `ask` last wanted the whole list
        self.older = False  # the last watch was ended because its whole list was older than that

    def ask(self, version: int, address: Address, renew: bool = False) -> None:
        """Watches the list at this address from this version on; a watch that is there already goes on, or is renewed.

        A watch that is renewed tells on until the new one has told something; so one that has gone silent is found. A
        call that has told nothing yet goes on beside those after it: a service that answers each later than the next is
        made is heard all the same."""
        if self.closed or (self.watch is not None and self.watch_at == address and not renew):
            return
        if self.watch is not None:
            self._replace(self.watch, address)
        self.version = max(version, self.version) if version else 0
        self.watch_at = address
        self.watch = watch = WatchSide(self, self.names, address, version)
        watch.begin()
        connecting = Connecting(watch, address, lambda failure: watch.end(str(failure)))
        self.connecting[watch] = connecting
        connecting.start()

    def _replace(self, replaced: WatchSide, address: Address) -> None:
        self.watch = None
        if replaced.told and self.former is None:
            self.former = replaced
        elif not replaced.told and replaced.address == address:
            self.slow.append(replaced)
            if len(self.slow) > MAX_SLOW:
                self._end(self.slow.popleft(), "too many calls are under way")
        else:  # nothing is lost with it
            self._end(replaced, "another is opened in its place")

    def _end(self, watch: WatchSide, why: str) -> None:
        connecting = self.connecting.pop(watch, None)
        if connecting is not None:
            connecting.cancel()
        watch.end(why)

    def _in_place(self, watch: WatchSide) -> None:
        """An earlier call is answered: its watch takes the place of those made after it."""
        self.slow.remove(watch)
        others = [*self.slow, self.watch]
        self.slow.clear()
        self.watch = watch
        for other in others:
            if other is not None:
                self._end(other, "an earlier call was answered")

    def close(self) -> None:
        self.closed = True
        for watch in (self.watch, self.former, *self.slow):
            if watch is not None:
                self._end(watch, "closed")

    # --- reports of the transport ---------------------------------------------------------------

    def watch_active(self, watch: WatchSide) -> None:
        """Whatever it was: what it told so far stands."""
        if watch is self.watch or (watch is self.former and watch.address == self.watch_at):
            self.heard_at, self.heard_from = asyncio.get_running_loop().time(), watch.address

    def _quiet_ms(self, watch: WatchSide) -> float | None:
        """How long ago this service was last heard; None: it was not."""
        if self.heard_at is None or self.heard_from != watch.address:
            return None
        return (asyncio.get_running_loop().time() - self.heard_at) * 1000.0

    def endpoints_received(self, watch: WatchSide, told: EndpointsUpdated) -> None:
        """Word that is older than what is known would undo drains. A whole list like that is asked for once more, and
        believed then: the service may count anew."""
        if watch in self.slow:
            self._in_place(watch)
        if watch is self.watch and 0 < told.version < self.version:
            if told.kind is ListKind.DELTA:
                return
            if not self.older:
                self.older = True
                watch.end(f"a whole list of revision {told.version}, older than {self.version}")
                return
        if watch is self.watch:
            self.version, self.older = told.version, False
        if watch is self.watch and self.former is not None:
            former, self.former = self.former, None
            former.end("another has taken its place")
        if watch is self.former and watch.address != self.watch_at:
            told = replace(told, version=self.version)  # another service counts in another way: no place to go on from
        if watch in (self.watch, self.former):
            told.since_last_update_ms = self._quiet_ms(watch)
            self.told(told)

    def watch_ended(self, watch: WatchSide, why: str) -> None:
        self.connecting.pop(watch, None)
        if watch in self.slow:
            self.slow.remove(watch)
        if self.former is watch:
            self.former = None
        elif self.watch is watch:
            self.watch = None
            if not self.closed:
                self.failed(why)
                self.told(EndpointsUpdated(ListKind.FAILED))
