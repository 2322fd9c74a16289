"""The file in which a relay keeps its endpoint list for processes that start later, in the platform's folder."""

from __future__ import annotations

import os
import re
from pathlib import Path
from typing import NamedTuple

from yarrowspindle.protocol.endpoint_list import MAX_LIST_BYTES, ListError, ZoneAndKindNames
from yarrowspindle.protocol.shared_list import (
    MAX_HEADER_BYTES,
    EntryEncoder,
    ListVersion,
    StoredList,
    decode_file,
    decode_header,
    encode_file,
)
from yarrowspindle.routing.address import Address

MAX_FILE_BYTES = MAX_LIST_BYTES + MAX_HEADER_BYTES
FILE_MODE = 0o600
TEMPORARY_SUFFIX = ".new"


class Replacement(NamedTuple):
    """What differs once a file has been replaced."""

    inode: int
    modified_ns: int


class EndpointListFile:
    """A relay's file. It is replaced as a whole, and not synced: it has to outlive the process, not the machine.

    Args:
        directory: the folder, which all processes of the relay have in common.
        relay: the name of the relay.
        listen: the clients' address.
        names: names of zones and kinds, from the settings.
    """

    def __init__(self, directory: Path, relay: str, listen: Address, names: ZoneAndKindNames) -> None:
        self.relay, self.names = relay, names
        self.listen = "{}:{}".format(*listen)
        self.path = directory / f"yarrowspindle-{re.sub('[^0-9A-Za-z.]', '-', self.listen)}.endpoints"
        self._encoder = EntryEncoder(names)

    def load(self) -> StoredList:
        """Return the stored list.

        Raises:
            FileNotFoundError: there is no file.
            ListError: the file is truncated, corrupt, or of another relay or format.
            OSError: the file cannot be read, or belongs to another user.
        """
        data = self._read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ListError(f"the file is longer than {MAX_FILE_BYTES} bytes")
        return decode_file(data, self.names, self.relay, self.listen)

    def load_newer(self, version: ListVersion) -> StoredList | None:
        """Return the stored list if it is newer than this version; None if it is not, or cannot be used."""
        stored_version = self._stored_version()
        if stored_version is None or stored_version <= version:
            return None
        try:
            return self.load()
        except (OSError, ListError):
            return None

    def store(self, stored: StoredList) -> bool:
        """Replace the content, unless the file holds a newer version; return whether that was done.

        Raises:
            OSError: a step failed; the former content is intact.
        """
        version = self._stored_version()
        if version is not None and version > stored.version:
            return False
        data = encode_file(stored, self._encoder.encode_list(stored.endpoints), self.relay, self.listen)
        temporary_path = self.path.with_name(f"{self.path.name}.{os.getpid()}{TEMPORARY_SUFFIX}")
        try:
            _write(temporary_path, data)
            temporary_path.replace(self.path)
        except OSError:
            temporary_path.unlink(missing_ok=True)
            raise
        return True

    def replacement(self) -> Replacement | None:
        """Return what tells whether the file has been replaced; None if there is none."""
        try:
            status = self.path.stat()
        except OSError:
            return None
        return Replacement(status.st_ino, status.st_mtime_ns)

    def _stored_version(self) -> ListVersion | None:
        """Return the version in the file; None if there is no usable file."""
        try:
            return decode_header(self._read(MAX_HEADER_BYTES), self.relay, self.listen).version
        except (OSError, ListError):
            return None

    def _read(self, size: int) -> bytes:
        descriptor = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK)
        with os.fdopen(descriptor, "rb") as file:
            if os.fstat(descriptor).st_uid != os.geteuid():
                raise PermissionError(f"{self.path} belongs to another user")
            return file.read(size)


def _write(path: Path, data: bytes) -> None:
    path.unlink(missing_ok=True)
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, FILE_MODE)
    with os.fdopen(descriptor, "wb") as file:
        file.write(data)
