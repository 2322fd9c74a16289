"""A voter's file, and the lock that one process of a relay holds. What stands in the file is `turns/codec.py`'s.

The file is written beside, synced, renamed, and its folder synced, before anything that rests on it is said. One that
is missing, cut off or another relay's is not used: then this relay has no voice until the others took it in anew.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from yarrowspindle.turns.codec import BadMessage, decode_file, encode_file
from yarrowspindle.turns.register import NONE, Kept
from yarrowspindle.turns.state import TurnState

NAME, LOCK = "voter", "lock"
FIRST = "the first file"
FILE_MOST = 4 << 20


class NoFile(Exception):
    """There is none that can be used; the text says why."""


def first_state(voters: tuple[str, ...]) -> TurnState:
    """What all relays start from: voters with the files that the operator made for them once."""
    return TurnState({name: FIRST for name in sorted(voters)})


def new_identity() -> str:
    """Of a file that is made anew. Two of the same would be one voter that forgot; 128 bits of the system's chance."""
    return os.urandom(16).hex()


class TurnFile:
    def __init__(self, directory: str, owner: str, cluster: str) -> None:
        self.folder, self.owner, self.cluster = Path(directory), owner, cluster
        self.path = self.folder / NAME
        self.lock = -1

    def take_lock(self) -> bool:
        """Until this process ends, however it does. While another has it, that one has not ended."""
        if self.lock < 0:
            self.folder.mkdir(parents=True, exist_ok=True)
            lock = os.open(self.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(lock)
                return False
            self.lock = lock
        return True

    def load(self) -> Kept[TurnState]:
        try:
            with open(self.path, "rb") as file:
                data = file.read(FILE_MOST + 1)
        except FileNotFoundError:
            raise NoFile("there is none") from None
        except OSError as error:
            raise NoFile(f"it cannot be read: {error}") from error
        try:
            if len(data) > FILE_MOST:
                raise BadMessage("it is too long")
            return decode_file(data, self.owner, self.cluster)
        except BadMessage as why:
            raise NoFile(str(why)) from None

    def store(self, kept: Kept[TurnState]) -> None:
        """Raises OSError where any step fails: then what was there before stands."""
        data = encode_file(kept, self.owner, self.cluster)
        beside = self.folder / f"{NAME}.new"
        file = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            written = 0
            while written < len(data):
                written += os.write(file, data[written:])
            os.fsync(file)
        finally:
            os.close(file)
        os.replace(beside, self.path)
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def begin(self, voters: tuple[str, ...]) -> None:
        """The first file, made by the operator once in this relay's life. Never after one was lost: a voter that forgot
        what it promised would lie. Raises NoFile where that cannot be."""
        if self.owner not in voters:
            raise NoFile(f"{self.owner} is none of the voters {', '.join(voters)}")
        self.folder.mkdir(parents=True, exist_ok=True)
        if self.path.exists():
            raise NoFile(f"{self.path} is there already")
        self.store(Kept(FIRST, NONE, NONE, first_state(voters)))
