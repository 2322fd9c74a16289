"""One watch on the endpoint list, over one connection of its own."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from yarrowspindle.protocol.endpoint_list import ListError, WatchResponse, ZoneAndKindNames, watch_request
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import EndpointsUpdated
from yarrowspindle.transport.inactivity_timer import InactivityTimer

# What a silent watch misses counts as notified 6 s after its last update, so these and the waits between calls fit into
# that.
# From the opening of the connection to the first list; the service lets a call wait about so long.
FIRST_LIST_TIMEOUT_S = 2.2
MAX_INACTIVITY_S = 2.6  # a watch says something every 2 s, an empty line at least; one that does not is broken


class WatchSink(Protocol):
    """What a watch reports to. Any call may end the watch."""

    def endpoints_received(self, watch: WatchConnection, update: EndpointsUpdated) -> None:
        """A list, or changes of it, came."""

    def watch_active(self, watch: WatchConnection) -> None:
        """Something came on a watch that has brought a list: what it reported so far stands."""

    def watch_ended(self, watch: WatchConnection, reason: str) -> None:
        """The watch is over; reported once."""


class WatchConnection(asyncio.Protocol):
    """One call for the list, which goes on as a watch.

    Args:
        sink: receives the reports.
        names: of zones and kinds, as the settings have them.
        address: of the discovery service.
        version: the list's changes after this one are asked for; 0: the full list.

    Attributes:
        has_list: whether a list has come.
        ended: whether the watch has ended.
        inactivity_timer: until it counts as broken.
    """

    def __init__(self, sink: WatchSink, names: ZoneAndKindNames, address: Address, version: int) -> None:
        self.sink, self.address, self.version = sink, address, version
        self.response = WatchResponse(names)
        self.transport: asyncio.Transport | None = None
        self.inactivity_timer: InactivityTimer | None = None
        self.ended = False
        self.has_list = False

    def start_first_list_timer(self) -> None:
        """The call begins: its connection is about to be opened."""
        self._set_inactivity_timer(FIRST_LIST_TIMEOUT_S, "no list came in time")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the call, unless it was given up while the connection came up."""
        if self.ended:
            cast(asyncio.Transport, transport).abort()
            return
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(watch_request("{}:{}".format(*self.address), self.version))

    def _set_inactivity_timer(self, timeout_s: float, reason: str) -> None:
        if self.inactivity_timer is not None:
            self.inactivity_timer.cancel()
        self.inactivity_timer = InactivityTimer(timeout_s, self.end, reason)

    def data_received(self, data: bytes) -> None:
        """Reports the lists that are complete, until a report ends the watch."""
        if self.ended:
            return
        try:
            updates = self.response.feed(data)
        except ListError as error:
            self.end(str(error))
            return
        for update in updates:
            if not self.ended:
                self.has_list = True
                self.sink.endpoints_received(self, update)
        if self.has_list and not self.ended:
            self.sink.watch_active(self)
        if self.response.ended:
            self.end("the watch ended")
        elif self.has_list and not self.ended:  # an empty line is no answer to the call
            self._set_inactivity_timer(MAX_INACTIVITY_S, "nothing came for too long")

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the watch."""
        self.end("the connection ended")

    def end(self, reason: str) -> None:
        """Ends the watch and reports why; without effect on one that has ended."""
        if self.ended:
            return
        self.ended = True
        if self.inactivity_timer is not None:
            self.inactivity_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.sink.watch_ended(self, reason)
