"""One watch on the machine list, over one connection of its own."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from yarrowspindle.protocol.endpoint_list import ListError, Names, WatchAnswer, watch_request
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import EndpointsUpdated
from yarrowspindle.transport.silence import SilenceTimer

# What a silent watch misses counts as told 6 s after its last word, so these and the waits between calls fit into that.
ANSWER_S = 2.2  # from the opening of the connection to the first list; the service lets a call wait about so long
QUIET_S = 2.6  # a watch says something every 2 s, an empty line at least; one that does not is dead


class WatchSink(Protocol):
    """What a watch reports to. Any call may end the watch."""

    def endpoints_received(self, watch: WatchSide, told: EndpointsUpdated) -> None: ...
    def watch_active(self, watch: WatchSide) -> None: ...
    def watch_ended(self, watch: WatchSide, why: str) -> None: ...


class WatchSide(asyncio.Protocol):
    def __init__(self, sink: WatchSink, names: Names, address: Address, version: int) -> None:
        self.sink, self.address, self.version = sink, address, version
        self.answer = WatchAnswer(names)
        self.transport: asyncio.Transport | None = None
        self.quiet: SilenceTimer | None = None
        self.over = False
        self.told = False  # a list has come

    def begin(self) -> None:
        """The call begins: its connection is about to be opened."""
        self._wait(ANSWER_S, "no list came in time")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self.over:  # given up while it came up
            cast(asyncio.Transport, transport).abort()
            return
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(watch_request("{}:{}".format(*self.address), self.version))

    def _wait(self, within_s: float, why: str) -> None:
        if self.quiet is not None:
            self.quiet.cancel()
        self.quiet = SilenceTimer(within_s, self.end, why)

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        try:
            updates = self.answer.feed(data)
        except ListError as error:
            self.end(str(error))
            return
        for update in updates:
            if not self.over:
                self.told = True
                self.sink.endpoints_received(self, update)
        if self.told and not self.over:
            self.sink.watch_active(self)
        if self.answer.ended:
            self.end("the watch ended")
        elif self.told and not self.over:  # an empty line is no answer to the call
            self._wait(QUIET_S, "nothing came for too long")

    def connection_lost(self, exc: Exception | None) -> None:
        self.end("the connection ended")

    def end(self, why: str) -> None:
        if self.over:
            return
        self.over = True
        if self.quiet is not None:
            self.quiet.cancel()
        if self.transport is not None:
            self.transport.abort()
        self.sink.watch_ended(self, why)
