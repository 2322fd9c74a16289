"""Where a placer has its endpoint list from. A source is asked for it by the balancer, and reports what it has."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from typing import Protocol

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.protocol.endpoint_list import ZoneAndKindNames, parse_address
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import Endpoint, EndpointsUpdated

FETCH_TIMEOUT_S = 5.0  # a callback that has not answered by then has failed

OnUpdate = Callable[[EndpointsUpdated], None]
OnFailure = Callable[[str], None]


class Source(Protocol):
    """Reports the endpoint list to one placer."""

    def open(self, on_update: OnUpdate, on_failure: OnFailure) -> None:
        """Starts it; called once, inside the event loop.

        Args:
            on_update: takes each list, and an update of the kind FAILED where none could be had.
            on_failure: takes a reason for the log.
        """

    def ask(self, version: int) -> None:
        """Asks for the list, or for the changes after this version."""

    def close(self) -> None:
        """Reports nothing more."""
        ...


class StaticList:
    """A fixed list; `change` replaces it, and an endpoint that is left out counts as gone."""

    def __init__(self, endpoints: Iterable[Endpoint]) -> None:
        self.endpoints = list(endpoints)
        self.version = 1
        self.on_update: OnUpdate | None = None

    def open(self, on_update: OnUpdate, on_failure: OnFailure) -> None:
        """Reports the list at once."""
        self.on_update = on_update
        self._report()

    def change(self, endpoints: Iterable[Endpoint]) -> None:
        """Replaces the list."""
        self.endpoints = list(endpoints)
        self.version += 1
        self._report()

    def _report(self) -> None:
        if self.on_update is not None:
            self.on_update(EndpointsUpdated(ListKind.FULL, list(self.endpoints), self.version))

    def ask(self, version: int) -> None:
        """Does nothing: the list was reported when it changed."""

    def close(self) -> None:
        """Reports nothing more."""
        self.on_update = None


class WatchedList:
    """The discovery service that the daemon watches: `WatchedList("10.2.0.1:8500", zones=[...], kinds=[...])`."""

    def __init__(self, address: str, zones: Iterable[str] = (), kinds: Iterable[str] = ()) -> None:
        self.address: Address = parse_address(address)
        self.names = ZoneAndKindNames(list(zones), list(kinds))

    def open(self, on_update: OnUpdate, on_failure: OnFailure) -> None:
        """Opens the watch."""
        from yarrowspindle.runtime.endpoint_watch import EndpointWatch  # needs httptools

        self.watch = EndpointWatch(self.names, on_update, on_failure)
        self.watch.open(0, self.address)

    def ask(self, version: int) -> None:
        """Opens a watch from this version on, where none is open."""
        self.watch.open(version, self.address)

    def close(self) -> None:
        """Closes the watch."""
        self.watch.close()


class CallbackList:
    """Calls `fetch` for the whole list when the balancer asks and every `every_s` seconds; one call at a time."""

    def __init__(self, fetch: Callable[[], Awaitable[Iterable[Endpoint]]], every_s: float = 2.0) -> None:
        self.fetch = fetch
        self.every_s = every_s
        self.version = 0
        self.task: asyncio.Task[None] | None = None
        self.fetch_requested = asyncio.Event()

    def open(self, on_update: OnUpdate, on_failure: OnFailure) -> None:
        """Fetches the list from now on."""
        self.on_update = on_update
        self.on_failure = on_failure
        self.task = asyncio.get_running_loop().create_task(self._run())

    def ask(self, version: int) -> None:
        """Fetches the list next, without waiting for the interval."""
        self.fetch_requested.set()

    def close(self) -> None:
        """Fetches nothing more."""
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            self.fetch_requested.clear()
            try:
                endpoints = list(await asyncio.wait_for(self.fetch(), FETCH_TIMEOUT_S))
            except Exception as error:  # whatever the host's function raises: the old list stays in force
                self.on_failure(f"the endpoint list could not be fetched: {error!r}")
                self.on_update(EndpointsUpdated(ListKind.FAILED))
                await self.fetch_requested.wait()  # the balancer asks again, with a backoff
                continue
            self.version += 1
            self.on_update(EndpointsUpdated(ListKind.FULL, endpoints, self.version))
            with suppress(TimeoutError):
                await asyncio.wait_for(self.fetch_requested.wait(), self.every_s)
