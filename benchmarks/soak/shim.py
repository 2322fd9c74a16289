"""Shim that injects faults into system calls: built from shim.c, preloaded into processes, controlled by a mapped page.

If the machine has no C compiler, `build` returns None, and the faults that need the shim are left out; the soak prints
that. A start-up hook in Python could not replace it, since uvloop makes its system calls in C.
"""

from __future__ import annotations

import errno
import mmap
import shutil
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
FIELD_BYTES = 8


class Field(IntEnum):
    """The fields of the page, in the order of shim.c. `*_PERMILLE`: share of calls that fail; `*_ERRNO`: the error."""

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
    """Build the shared library, and return its path; None if there is no C compiler."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        return None
    library = folder / "shim.so"
    command = [compiler, "-O1", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True)
    return library


class Page:
    """The mapped page of one process, which reads it at each system call."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(FIELD_BYTES * len(Field)))
        with path.open("r+b") as file:
            self.map = mmap.mmap(file.fileno(), 0)

    def set(self, field: Field, value: int) -> None:
        self.map[field * FIELD_BYTES : (field + 1) * FIELD_BYTES] = value.to_bytes(FIELD_BYTES, "little", signed=True)

    def fail(self, errno_field: Field, permille_field: Field, error: int, permille: int) -> None:
        """Let this share of calls, per thousand, fail with this error."""
        self.set(errno_field, error)
        self.set(permille_field, permille)

    def clear_faults(self) -> None:
        """End all faults, except for the offset of the wall clock."""
        for field in Field:
            if field is not Field.WALL_NS:
                self.set(field, 0)
