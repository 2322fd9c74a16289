"""Storing the newest value of a process in a durable file, on a thread, with retries while the disk fails."""

from __future__ import annotations

import asyncio
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Final, Generic, Protocol, TypeVar

from loguru import logger

from yarrowspindle.storage.durable_file import DurableFile

RETRY_S = 1.0  # after the lock was not available or the disk failed
FINAL_STORE_TIMEOUT_S = 0.1
FAILED_STORES: Final = "unkept"  # published name of a counter


class Versioned(Protocol):
    """A value with a version number for the log."""

    @property
    def version(self) -> int:
        """The version number."""
        ...


V = TypeVar("V", bound=Versioned)


class BackgroundStore(Generic[V]):
    """A store that writes values on a thread, so that the disk delays neither requests nor heartbeats.

    `pending` is the newest value that is not stored yet; a value that is replaced before it is stored is skipped.
    """

    def __init__(self, file: DurableFile[V], disk_executor: ThreadPoolExecutor, counts: Counter[str]) -> None:
        self.file, self.disk_executor, self.counts = file, disk_executor, counts
        self.pending: V | None = None
        self.has_pending = asyncio.Event()

    def put(self, value: V) -> None:
        """Set the value to store."""
        self.pending = value
        self.has_pending.set()

    async def run(self) -> None:
        """Store values until cancelled.

        While the disk fails, the file keeps the value that was stored last. While an earlier process of the same name
        holds the lock, that process stores the values that it applies itself.
        """
        last_failure = ""
        while True:
            await self.has_pending.wait()
            value = self.pending
            if value is None:
                self.has_pending.clear()
                continue
            failure = await self._store(value)
            if not failure:
                self.pending = None if self.pending is value else self.pending
                if last_failure:
                    logger.info("control: version {} is stored in {}", value.version, self.file.path)
            else:
                self.counts[FAILED_STORES] += 1
                if failure != last_failure:
                    logger.warning(
                        "control: version {} is applied, but cannot be stored yet for a restart: {}",
                        value.version,
                        failure,
                    )
                await asyncio.sleep(RETRY_S)
            last_failure = failure

    async def flush(self) -> None:
        """Try once more to store the pending value, for at most FINAL_STORE_TIMEOUT_S."""
        if self.pending is None or self.file.lock_failure():
            return
        version = self.pending.version
        try:
            await asyncio.wait_for(self._store_on_thread(self.pending), FINAL_STORE_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            logger.warning("control: version {} could not be stored for a restart: {}", version, repr(error))

    async def _store(self, value: V) -> str:
        """Store the value. Return the reason of a failure, or an empty string on success."""
        failure = self.file.lock_failure()
        if failure:
            return failure
        try:
            await self._store_on_thread(value)
        except OSError as error:
            return str(error)
        return ""

    async def _store_on_thread(self, value: V) -> None:
        await asyncio.get_running_loop().run_in_executor(self.disk_executor, self.file.store, value)
