"""One watch on the endpoint list, over one connection of its own."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from yarrowspindle.protocol.endpoint_list import ListError, Names, WatchAnswer, watch_request
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import EndpointsUpdated
from yarrowspindle.transport.silence import SilenceTimer

# What a silent watch misses counts as notified 6 s after its last update, so these and the waits between calls fit into
# that.
FIRST_LIST_S = 2.2  # from the opening of the connection to the first list; the service lets a call wait about so long
MAX_SILENCE_S = 2.6  # a watch says something every 2 s, an empty line at least; one that does not is broken


class WatchSink(Protocol):
    """What a watch reports to. Any call may end the watch."""

    def endpoints_received(self, watch: WatchSide, update: EndpointsUpdated) -> None:
        """A list, or changes of it, came."""

    def watch_active(self, watch: WatchSide) -> None:
        """Something came on a watch that has brought a list: what it reported so far stands."""

    def watch_ended(self, watch: WatchSide, reason: str) -> None:
        """The watch is over; reported once."""


class WatchSide(asyncio.Protocol):
    """One call for the list, which goes on as a watch.

    Args:
        sink: receives the reports.
        names: of zones and kinds, as the settings have them.
        address: of the discovery service.
        version: the list's changes after this one are asked for; 0: the full list.

    Attributes:
        has_list: whether a list has come.
        over: whether the watch has ended.
        silence_timer: until it counts as broken.
    """

    def __init__(self, sink: WatchSink, names: Names, address: Address, version: int) -> None:
        self.sink, self.address, self.version = sink, address, version
        self.answer = WatchAnswer(names)
        self.transport: asyncio.Transport | None = None
        self.silence_timer: SilenceTimer | None = None
        self.over = False
        self.has_list = False

    def begin(self) -> None:
        """The call begins: its connection is about to be opened."""
        self._set_silence_timer(FIRST_LIST_S, "no list came in time")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the call, unless it was given up while the connection came up."""
        if self.over:
            cast(asyncio.Transport, transport).abort()
            return
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(watch_request("{}:{}".format(*self.address), self.version))

    def _set_silence_timer(self, within_s: float, reason: str) -> None:
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self.silence_timer = SilenceTimer(within_s, self.end, reason)

    def data_received(self, data: bytes) -> None:
        """Reports the lists that are complete, until a report ends the watch."""
        if self.over:
            return
        try:
            updates = self.answer.feed(data)
        except ListError as error:
            self.end(str(error))
            return
        for update in updates:
            if not self.over:
                self.has_list = True
                self.sink.endpoints_received(self, update)
        if self.has_list and not self.over:
            self.sink.watch_active(self)
        if self.answer.ended:
            self.end("the watch ended")
        elif self.has_list and not self.over:  # an empty line is no answer to the call
            self._set_silence_timer(MAX_SILENCE_S, "nothing came for too long")

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the watch."""
        self.end("the connection ended")

    def end(self, reason: str) -> None:
        """Ends the watch and reports why; without effect on one that has ended."""
        if self.over:
            return
        self.over = True
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.sink.watch_ended(self, reason)
