"""Where a placer has its machine list from. A source is asked by the module, and tells when it has something."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.protocol.endpoint_list import Names, parse_address
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import Endpoint, EndpointsUpdated

ANSWER_S = 5.0  # a callback that has not answered by then has failed


class Source(Protocol):
    def open(self, told: Callable[[EndpointsUpdated], None], failed: Callable[[str], None]) -> None:
        """Called once, inside the loop. `told` takes each list, also `ListTold(FAILED)`; `failed` a reason to log."""

    def ask(self, version: int) -> None:
        """The module wants the list, or to be told of changes after this version."""

    def close(self) -> None: ...


class StaticList:
    """A fixed list; `change` replaces it (a node that is left out counts as gone)."""

    def __init__(self, machines: Iterable[Endpoint]) -> None:
        self.machines = list(machines)
        self.version = 1
        self.told: Callable[[EndpointsUpdated], None] | None = None

    def open(self, told: Callable[[EndpointsUpdated], None], failed: Callable[[str], None]) -> None:
        self.told = told
        self._tell()

    def change(self, machines: Iterable[Endpoint]) -> None:
        self.machines = list(machines)
        self.version += 1
        self._tell()

    def _tell(self) -> None:
        if self.told is not None:
            self.told(EndpointsUpdated(ListKind.FULL, list(self.machines), self.version))

    def ask(self, version: int) -> None:
        """There is nothing to ask: what there is was told."""

    def close(self) -> None:
        self.told = None


class WatchedList:
    """The machine list service that the daemon watches: `WatchedList("10.2.0.1:8500", zones=[...], kinds=[...])`."""

    def __init__(self, address: str, zones: Iterable[str] = (), kinds: Iterable[str] = ()) -> None:
        self.address: Address = parse_address(address)
        self.names = Names(list(zones), list(kinds))

    def open(self, told: Callable[[EndpointsUpdated], None], failed: Callable[[str], None]) -> None:
        from yarrowspindle.runtime.endpoint_watch import ListWatch  # needs httptools

        self.watch = ListWatch(self.names, told, failed)
        self.watch.ask(0, self.address)

    def ask(self, version: int) -> None:
        self.watch.ask(version, self.address)

    def close(self) -> None:
        self.watch.close()


class CallbackList:
    """Calls `fetch` for the whole list when the module asks and every `every_s` seconds; one call at a time."""

    def __init__(self, fetch: Callable[[], Awaitable[Iterable[Endpoint]]], every_s: float = 2.0) -> None:
        self.fetch, self.every_s = fetch, every_s
        self.version = 0
        self.task: asyncio.Task[None] | None = None
        self.asked = asyncio.Event()

    def open(self, told: Callable[[EndpointsUpdated], None], failed: Callable[[str], None]) -> None:
        self.told, self.failed = told, failed
        self.task = asyncio.get_running_loop().create_task(self._run())

    def ask(self, version: int) -> None:
        self.asked.set()

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            self.asked.clear()
            try:
                machines = list(await asyncio.wait_for(self.fetch(), ANSWER_S))
            except Exception as error:  # whatever the host's function raises: the old list stands
                self.failed(f"the machine list could not be fetched: {error!r}")
                self.told(EndpointsUpdated(ListKind.FAILED))
                await self.asked.wait()  # the module asks again, later each time
                continue
            self.version += 1
            self.told(EndpointsUpdated(ListKind.FULL, machines, self.version))
            try:
                await asyncio.wait_for(self.asked.wait(), self.every_s)
            except TimeoutError:
                pass
