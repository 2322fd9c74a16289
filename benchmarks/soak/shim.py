"""The soak's shim of system calls: built from shim.c, loaded into a relay's process, steered by a mapped page.

Where the machine has no C compiler nothing is built and the faults that need it are left out (`Shim.build` returns
None): the report says so. What a start-up hook in Python could do instead cannot reach uvloop, which makes its system
calls in C.
"""

from __future__ import annotations

import errno
import mmap
import shutil
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
FIELD_BYTES = 8  # bytes of a field


class Field(IntEnum):
    """The page's numbers, in the order of shim.c. `*_PERMILLE`: of the calls that fail; `*_ERRNO`: how."""

    WALL_NS = 0
    ACCEPT_ERRNO = 1
    ACCEPT_PERMILLE = 2
    SOCKET_ERRNO = 3
    SOCKET_PERMILLE = 4
    CONNECT_ERRNO = 5
    CONNECT_PERMILLE = 6
    SHORT_READ_PERMILLE = 7
    SHORT_WRITE_PERMILLE = 8
    EINTR_PERMILLE = 9
    DISK_ERRNO = 10
    DISK_PERMILLE = 11
    DISK_KILL = 12


ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EINTR, errno.EPROTO, errno.EPERM)
SOCKET_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.EADDRNOTAVAIL,
    errno.ENOBUFS,
    errno.ECONNREFUSED,
)
SOCKET_CALLS = (ACCEPT_ERRORS, SOCKET_ERRORS, CONNECT_ERRORS)
DISK_ERRORS = (errno.ENOSPC, errno.EIO)


def build(folder: Path) -> Path | None:
    """The shared library; None where there is no compiler."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        return None
    library = folder / "shim.so"
    command = [compiler, "-O1", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True)
    return library


class Page:
    """One process's numbers; it reads them at each call."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(FIELD_BYTES * len(Field)))
        with path.open("r+b") as file:
            self.map = mmap.mmap(file.fileno(), 0)

    def set(self, field: Field, value: int) -> None:
        self.map[field * FIELD_BYTES : (field + 1) * FIELD_BYTES] = value.to_bytes(FIELD_BYTES, "little", signed=True)

    def fail(self, errno_field: Field, permille_field: Field, error: int, permille: int) -> None:
        self.set(errno_field, error)
        self.set(permille_field, permille)

    def clear_faults(self) -> None:
        """Nothing fails any more; a stepped clock stays stepped."""
        for field in Field:
            if field is not Field.WALL_NS:
                self.set(field, 0)
