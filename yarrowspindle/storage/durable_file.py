"""A durable file in a directory of the process, and the lock that keeps other processes from using it.

The content is written to a temporary file, which is synced and renamed, and the directory is synced, before the caller
may act on it. A file that is missing, truncated or of another owner is not used.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Generic

from yarrowspindle.protocol.message_codec import InvalidMessageError
from yarrowspindle.storage.file_codec import FileCodec, StoredValue

VOTER_FILE_NAME = "voter"
LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".new"
MAX_FILE_BYTES = 4 << 20
FILE_MODE = 0o600
NOT_LOCKED = -1  # in place of a file descriptor


class FileUnavailableError(Exception):
    """There is no usable file; the message gives the reason."""


class DurableFile(Generic[StoredValue]):
    """File that holds one value of the codec's type, for one owner in one cluster.

    Args:
        directory: directory of the file and its lock.
        owner: name of the process that owns the file.
        cluster: name of its cluster.
        name: name of the file.
        codec: codec of the value.
    """

    def __init__(self, directory: str, owner: str, cluster: str, name: str, codec: FileCodec[StoredValue]) -> None:
        self.directory = Path(directory)
        self.owner = owner
        self.cluster = cluster
        self.codec = codec
        self.path = self.directory / name
        # The lock of a voter file has no prefix, because it is the lock of the whole directory.
        self.lock_path = self.directory / (LOCK_NAME if name == VOTER_FILE_NAME else f"{name}.{LOCK_NAME}")
        self.lock_descriptor = NOT_LOCKED

    def acquire_lock(self) -> bool:
        """Acquire the lock, which is held until this process ends. Return False if another process holds it.

        Raises:
            OSError: The directory or the lock file cannot be created or opened.
        """
        if self.lock_descriptor != NOT_LOCKED:
            return True
        self.directory.mkdir(parents=True, exist_ok=True)
        descriptor = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        self.lock_descriptor = descriptor
        return True

    def lock_failure(self) -> str:
        """Try to acquire the lock. Return why that failed, or an empty string if this process holds it."""
        try:
            acquired = self.acquire_lock()
        except OSError as error:
            return f"the lock in {self.directory} cannot be acquired: {error}"
        return "" if acquired else f"another process has the lock in {self.directory} and keeps it until it ends"

    def load(self) -> StoredValue:
        """Return the stored value.

        Raises:
            FileUnavailableError: There is no file, or it is invalid.
            OSError: The file cannot be read at the moment. It may still be valid, so the caller has to retry.
        """
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            raise FileUnavailableError("the file does not exist") from None
        if len(data) > MAX_FILE_BYTES:
            raise FileUnavailableError("the file is longer than 4 MiB")
        try:
            return self.codec.decode(data, self.owner, self.cluster)
        except InvalidMessageError as error:
            raise FileUnavailableError(str(error)) from None

    def store(self, value: StoredValue) -> None:
        """Replace the content.

        The caller must not act on the new value before this method returns. After a failure the former content is
        intact or, if only the sync of the directory failed, the new content may be present after a crash; never a
        mixture. An acceptor whose promise is stored in spite of such a failure behaves as if its response had been
        lost.

        Raises:
            OSError: A step failed.
        """
        data = self.codec.encode(value, self.owner, self.cluster)
        temporary_path = self.path.with_name(f"{self.path.name}{TEMPORARY_SUFFIX}")
        _write_synced(temporary_path, data)
        temporary_path.replace(self.path)
        _sync_directory(self.directory)


def _write_synced(path: Path, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
    try:
        written = 0
        while written < len(data):
            written += os.write(descriptor, data[written:])
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _sync_directory(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
