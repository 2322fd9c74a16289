"""Keeps the endpoint list in a file, for processes of the relay that start after this one has ended."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from loguru import logger

from yarrowspindle.daemon.config import Config
from yarrowspindle.daemon.list_file import EndpointListFile
from yarrowspindle.daemon.list_sharing import ListSharing
from yarrowspindle.protocol.endpoint_list import ListError
from yarrowspindle.protocol.shared_list import StoredList
from yarrowspindle.routing.events import Endpoint

FOLDER_VARIABLE = "TMPDIR"
MIN_STORE_INTERVAL_S = 0.05  # a rollout changes many entries one after the other
RETRY_S = 1.0  # after a failure of the disk
FINAL_STORE_TIMEOUT_S = 0.1
FOLLOW_INTERVAL_S = 0.1  # between two looks at the file, while there may be another process
PRESENCE_INTERVAL_S = 1.0  # between two looks for that process
PRESENCE_S = 4.0  # after it was seen to listen: it still receives lists while it shuts down


def list_file_of(config: Config) -> EndpointListFile | None:
    """Return the file of this relay; None if the environment names no folder for it."""
    folder = os.environ.get(FOLDER_VARIABLE)
    if not folder:
        logger.info("{} is not set: the endpoint list is not kept for a restart", FOLDER_VARIABLE)
        return None
    return EndpointListFile(Path(folder), config.name, config.listen, config.names)


def load_list(file: EndpointListFile | None) -> StoredList | None:
    """Return the stored list; None, with a line in the log unless there is no file, if it cannot be used."""
    if file is None:
        return None
    try:
        return file.load()
    except FileNotFoundError:
        return None
    except (OSError, ListError) as error:
        logger.warning("the stored endpoint list is not used: {}", error)
        return None


class ListStore:
    """Stores the list after each change, on a thread, so that the disk delays no request.

    Args:
        sharing: the list.
        file: the relay's file.
    """

    def __init__(self, sharing: ListSharing, file: EndpointListFile) -> None:
        self._sharing, self._file = sharing, file
        self._executor = ThreadPoolExecutor(1, "endpoint-list")
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._last_failure = ""

    def start(self) -> None:
        """Store the list from now on."""
        self._sharing.listeners.append(self._on_change)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def _on_change(self, changed: list[Endpoint] | None) -> None:
        self._changed.set()

    async def _run(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            stored = await self._store()
            if not stored:
                self._changed.set()
            await asyncio.sleep(MIN_STORE_INTERVAL_S if stored else RETRY_S)

    async def _store(self) -> bool:
        """Store the list; return False if that must be tried again."""
        snapshot = self._sharing.snapshot()
        loop = asyncio.get_running_loop()
        try:
            if not await loop.run_in_executor(self._executor, self._file.store, snapshot):
                logger.info("another process of this relay has stored a newer endpoint list")
        except OSError as error:
            if str(error) != self._last_failure:
                logger.warning("the endpoint list is not stored for a restart: {}", error)
            self._last_failure = str(error)
            return False
        self._last_failure = ""
        return True

    async def follow(self, other_process_serves: Callable[[], bool]) -> None:
        """Take up what another process stores, until there is none: no link may lead to it, or it may hang.

        Args:
            other_process_serves: returns whether another process listens at the clients' address.
        """
        loop = asyncio.get_running_loop()
        last_replacement, next_look_at = None, loop.time()
        ends_at = next_look_at + PRESENCE_S
        while loop.time() < ends_at:
            await asyncio.sleep(FOLLOW_INTERVAL_S)
            if loop.time() >= next_look_at:
                next_look_at = loop.time() + PRESENCE_INTERVAL_S
                if other_process_serves():
                    ends_at = loop.time() + PRESENCE_S
            replacement = self._file.replacement()
            if replacement == last_replacement:
                continue
            last_replacement = replacement
            newer = await loop.run_in_executor(self._executor, self._file.load_newer, self._sharing.version)
            if newer is not None:
                self._sharing.take_up(newer, True, "the file that another process of this relay has stored")

    async def close(self) -> None:
        """Store what has changed since the last time, unless the disk takes too long."""
        if self._task is not None:
            self._task.cancel()
        if self._changed.is_set():
            try:
                await asyncio.wait_for(self._store(), FINAL_STORE_TIMEOUT_S)
            except TimeoutError:
                logger.warning("the endpoint list is not stored for a restart: the disk takes too long")
        self._executor.shutdown(wait=False, cancel_futures=True)
