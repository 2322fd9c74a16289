"""Sources of the endpoint list of a placer. The balancer requests the list from its source, which reports updates."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from typing import Protocol

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.protocol.endpoint_list import ZoneAndKindNames, parse_address
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import Endpoint, EndpointsUpdated

FETCH_TIMEOUT_S = 5.0  # for a call of `CallbackList.fetch`

OnUpdate = Callable[[EndpointsUpdated], None]
OnFailure = Callable[[str], None]


class Source(Protocol):
    """The source of the endpoint list of one placer."""

    def open(self, on_update: OnUpdate, on_failure: OnFailure) -> None:
        """Start the source. It is called once, inside the event loop.

        Args:
            on_update: Called with each list, and with an update of the kind FAILED if the list cannot be fetched.
            on_failure: Called with the reason of a failure, for the log.
        """

    def ask(self, version: int) -> None:
        """Request the list, or its changes since this version."""

    def close(self) -> None:
        """Stop the source, which then reports no more updates."""
        ...


class StaticList:
    """A list that the application sets. Endpoints that `change` leaves out count as removed."""

    def __init__(self, endpoints: Iterable[Endpoint]) -> None:
        self.endpoints = list(endpoints)
        self.version = 1
        self.on_update: OnUpdate | None = None

    def open(self, on_update: OnUpdate, on_failure: OnFailure) -> None:
        """Report the list at once."""
        self.on_update = on_update
        self._report()

    def change(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace the list and report it."""
        self.endpoints = list(endpoints)
        self.version += 1
        self._report()

    def _report(self) -> None:
        if self.on_update is not None:
            self.on_update(EndpointsUpdated(ListKind.FULL, list(self.endpoints), self.version))

    def ask(self, version: int) -> None:
        """Do nothing, because each change is reported when it is made."""

    def close(self) -> None:
        """Stop reporting the list."""
        self.on_update = None


class WatchedList:
    """The list of the daemon's discovery service: `WatchedList("10.2.0.1:8500", zones=[...], kinds=[...])`."""

    def __init__(self, address: str, zones: Iterable[str] = (), kinds: Iterable[str] = ()) -> None:
        self.address: Address = parse_address(address)
        self.names = ZoneAndKindNames(list(zones), list(kinds))

    def open(self, on_update: OnUpdate, on_failure: OnFailure) -> None:
        """Open the watch."""
        from yarrowspindle.runtime.endpoint_watch import EndpointWatch  # needs httptools

        self.watch = EndpointWatch(self.names, on_update, on_failure)
        self.watch.open(0, self.address)

    def ask(self, version: int) -> None:
        """Open a watch from this version on if none is open."""
        self.watch.open(version, self.address)

    def renew(self, version: int) -> None:
        """Open a watch from this version on beside one that has not delivered a list yet."""
        self.watch.open(version, self.address, renew=True)

    def close(self) -> None:
        """Close the watch."""
        self.watch.close()


class CallbackList:
    """The list that a function of the application returns.

    `fetch` is called every `every_s` seconds and when the balancer requests the list, with one call at a time. While it
    fails or takes longer than FETCH_TIMEOUT_S, it is only called when the balancer requests the list again, which it
    does with a backoff.
    """

    def __init__(self, fetch: Callable[[], Awaitable[Iterable[Endpoint]]], every_s: float = 2.0) -> None:
        self.fetch = fetch
        self.every_s = every_s
        self.version = 0
        self.task: asyncio.Task[None] | None = None
        self.fetch_requested = asyncio.Event()

    def open(self, on_update: OnUpdate, on_failure: OnFailure) -> None:
        """Start fetching the list."""
        self.on_update = on_update
        self.on_failure = on_failure
        self.task = asyncio.get_running_loop().create_task(self._run())

    def ask(self, version: int) -> None:
        """Fetch the list without waiting for the end of the interval."""
        self.fetch_requested.set()

    def close(self) -> None:
        """Stop fetching the list."""
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            self.fetch_requested.clear()
            try:
                endpoints = list(await asyncio.wait_for(self.fetch(), FETCH_TIMEOUT_S))
            except Exception as error:  # of any type, as `fetch` is the application's; an earlier list stays in use
                self.on_failure(f"the application's fetch function failed: {error!r}; an earlier list stays in use")
                self.on_update(EndpointsUpdated(ListKind.FAILED))
                await self.fetch_requested.wait()  # the balancer requests the list again, with a backoff
                continue
            self.version += 1
            self.on_update(EndpointsUpdated(ListKind.FULL, endpoints, self.version))
            with suppress(TimeoutError):
                await asyncio.wait_for(self.fetch_requested.wait(), self.every_s)
