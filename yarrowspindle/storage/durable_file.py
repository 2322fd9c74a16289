"""One durable file in a directory of the process, and the lock by which one process at a time uses it.

The content is written to a temporary file, synced and renamed, and the directory synced, before the caller may act on
it. A file that is missing, cut off or of another owner is not used.
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
FILE_MODE = 0o600  # permissions of files
NOT_LOCKED = -1  # in place of a file descriptor


class FileUnavailableError(Exception):
    """There is no usable file; the text gives the reason."""


class DurableFile(Generic[StoredValue]):
    """A file that holds one value of the codec's type, for one owner in one cluster."""

    def __init__(self, directory: str, owner: str, cluster: str, name: str, codec: FileCodec[StoredValue]) -> None:
        self.directory = Path(directory)
        self.owner = owner
        self.cluster = cluster
        self.codec = codec
        self.path = self.directory / name
        # The lock of a voter's file has no prefix: it is the lock of the whole directory.
        self.lock_path = self.directory / (LOCK_NAME if name == VOTER_FILE_NAME else f"{name}.{LOCK_NAME}")
        self.lock_descriptor = NOT_LOCKED

    def acquire_lock(self) -> bool:
        """Take the lock until this process ends. Return False where another process has it. Raises OSError."""
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
        """Take the lock. Return why it is not available yet, or an empty string once this process has it."""
        try:
            acquired = self.acquire_lock()
        except OSError as error:
            return f"the lock in {self.directory} cannot be taken: {error}"
        return "" if acquired else f"another process has the lock in {self.directory}, until it has ended"

    def load(self) -> StoredValue:
        """Return the stored value.

        Raises FileUnavailableError where there is no file or it is invalid, and OSError where it cannot be read at the
        moment: the file may still be valid then, and the caller has to retry.
        """
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            raise FileUnavailableError("there is none") from None
        if len(data) > MAX_FILE_BYTES:
            raise FileUnavailableError("it is too long")
        try:
            return self.codec.decode(data, self.owner, self.cluster)
        except InvalidMessageError as error:
            raise FileUnavailableError(str(error)) from None

    def store(self, value: StoredValue) -> None:
        """Replace the content.

        Raises OSError where any step fails. The former content is then intact or, where only the sync of the directory
        failed, the new content may be found after a crash; never a mixture. The caller must not act on the new value
        before this returns. An acceptor's promise that is found after such a failure counts as one whose answer was
        lost.
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
