"""A watch on the endpoint list, over an HTTP connection of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from yarrowspindle.protocol.endpoint_list import ListError, WatchResponse, ZoneAndKindNames, watch_request
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import EndpointsUpdated
from yarrowspindle.transport.inactivity_timer import InactivityTimer

# Changes that an inactive watch misses count as notified 6 s after its last update. Both time-outs and the pauses
# between requests have to fit into that time.
FIRST_LIST_TIMEOUT_S = 2.2  # from opening the connection; after it another call is made beside this one
MAX_CALL_S = 6.0  # from opening the connection; what the service sends until then counts as known to the relay
MAX_INACTIVITY_S = 2.6  # the service sends at least an empty line every 2 s


class WatchSink(Protocol):
    """Receiver of the reports of a watch. Any call may end the watch."""

    def endpoints_received(self, watch: WatchConnection, update: EndpointsUpdated) -> None:
        """Handle a full list or a delta."""

    def watch_active(self, watch: WatchConnection) -> None:
        """Handle data on a watch that has delivered a list: the reported list is still up to date."""

    def first_list_overdue(self, watch: WatchConnection, reason: str) -> None:
        """Handle a call without a list for FIRST_LIST_TIMEOUT_S; it stays open, since its list may be under way."""

    def watch_ended(self, watch: WatchConnection, reason: str) -> None:
        """Handle the end of the watch, with a reason for the log. Called once."""


class WatchConnection(asyncio.Protocol):
    """One request for the endpoint list, whose response continues as a stream of changes.

    Args:
        sink: Receives the reports.
        names: Names of zones and kinds, from the settings.
        address: The host and port of the discovery service.
        version: The version after which changes are requested; 0 for the full list.
        number: The number of the call in this process, for the log.

    Attributes:
        opened_at: Event loop time in seconds at which the call began.
        has_list: Whether a list has been received.
        list_version: The version of the last list or change that was received.
        ended: Whether the watch has ended.
        inactivity_timer: Ends the watch unless data arrives in time.
    """

    def __init__(
        self, sink: WatchSink, names: ZoneAndKindNames, address: Address, version: int, number: int = 0
    ) -> None:
        self.sink, self.address, self.version, self.number = sink, address, version, number
        self.opened_at = asyncio.get_running_loop().time()
        self.response = WatchResponse(names)
        self.transport: asyncio.Transport | None = None
        self.inactivity_timer: InactivityTimer | None = None
        self.ended = False
        self.has_list = False
        self.list_version = 0

    def start_first_list_timer(self) -> None:
        """Start the time-out of the first list. Call it before the connection is opened."""
        self._set_inactivity_timer(FIRST_LIST_TIMEOUT_S, self._on_first_list_timeout)

    def _on_first_list_timeout(self) -> None:
        reason = f"no endpoint list within {MAX_CALL_S} s"
        self._set_inactivity_timer(MAX_CALL_S - FIRST_LIST_TIMEOUT_S, self.end, reason)
        self.sink.first_list_overdue(self, f"no endpoint list within {FIRST_LIST_TIMEOUT_S} s")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, unless the watch ended while the connection was being established."""
        if self.ended:
            cast(asyncio.Transport, transport).abort()
            return
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(watch_request("{}:{}".format(*self.address), self.version))

    def _set_inactivity_timer(self, timeout_s: float, callback: Callable[..., None], *args: object) -> None:
        if self.inactivity_timer is not None:
            self.inactivity_timer.cancel()
        self.inactivity_timer = InactivityTimer(timeout_s, callback, *args)

    def data_received(self, data: bytes) -> None:
        """Report the completed lists, until a report ends the watch."""
        if self.ended:
            return
        try:
            updates = self.response.feed(data)
        except ListError as error:
            self.end(str(error))
            return
        for update in updates:
            if not self.ended:
                self.has_list, self.list_version = True, update.version
                self.sink.endpoints_received(self, update)
        if self.has_list and not self.ended:
            self.sink.watch_active(self)
        if self.response.ended:
            self.end("the discovery service ended the watch")
        elif self.has_list and not self.ended:  # empty lines before the first list do not extend its time-out
            self._set_inactivity_timer(MAX_INACTIVITY_S, self.end, f"no data for {MAX_INACTIVITY_S} s")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch."""
        self.end("the connection was closed")

    def end(self, reason: str) -> None:
        """End the watch and report the reason. No effect if it has ended."""
        if self.ended:
            return
        self.ended = True
        if self.inactivity_timer is not None:
            self.inactivity_timer.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.sink.watch_ended(self, reason)
