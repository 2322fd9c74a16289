"""What a process must find again after a restart, in one file of its own folder, and the lock that one process holds.

The file is written beside, synced, renamed, and its folder synced, before anything that rests on it is said. One that
is missing, cut off or another machine's is not used. What stands in it is a `FileCodec`'s.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Generic, TypeVar

from yarrowspindle.consensus.register import NONE, AcceptorState, ReplicatedState
from yarrowspindle.protocol.message_codec import InvalidMessageError
from yarrowspindle.storage.file_codec import FileCodec

VOTER, LOCK = "voter", "lock"
FIRST = "the first file"
MAX_FILE = 4 << 20
K = TypeVar("K")
S = TypeVar("S", bound=ReplicatedState)


class FileUnavailableError(Exception):
    """There is none that can be used; the text says why."""


def new_identity() -> str:
    """Of a file that is made anew. Two of the same would be one voter that forgot; 128 bits of the system's chance."""
    return os.urandom(16).hex()


class DurableFile(Generic[K]):
    def __init__(self, directory: str, owner: str, cluster: str, name: str, codec: FileCodec[K]) -> None:
        self.folder, self.owner, self.cluster, self.codec = Path(directory), owner, cluster, codec
        self.path = self.folder / name
        self.lock_path = self.folder / (LOCK if name == VOTER else f"{name}.{LOCK}")
        self.lock = -1

    def take_lock(self) -> bool:
        """Until this process ends, however it does. While another has it, that one has not ended."""
        if self.lock < 0:
            self.folder.mkdir(parents=True, exist_ok=True)
            lock = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(lock)
                return False
            self.lock = lock
        return True

    def unlocked(self) -> str:
        """Why the lock cannot be had yet; empty once this process has it."""
        try:
            taken = self.take_lock()
        except OSError as error:
            return f"the lock in {self.folder} cannot be taken: {error}"
        return "" if taken else f"another process has the lock in {self.folder}, until it has ended"

    def load(self) -> K:
        """Raises NoFile where there is none or what is there is of no use, OSError where it cannot be read just now:
        that says nothing of what is there, and it is to be read again."""
        try:
            with self.path.open("rb") as file:
                data = file.read(MAX_FILE + 1)
        except FileNotFoundError:
            raise FileUnavailableError("there is none") from None
        try:
            if len(data) > MAX_FILE:
                raise InvalidMessageError("it is too long")
            return self.codec.decode(data, self.owner, self.cluster)
        except InvalidMessageError as why:
            raise FileUnavailableError(str(why)) from None

    def store(self, kept: K) -> None:
        """Raises OSError where any step fails. Then what was there before stands or, where only the folder's sync
        failed, the new content may: after a crash either is found, whole. Nothing may be said that rests on the new
        one; a voter's unsaid promise, found after a restart, is one whose answer was lost."""
        data = self.codec.encode(kept, self.owner, self.cluster)
        beside = self.path.with_name(f"{self.path.name}.new")
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


class VoterFile(DurableFile[AcceptorState[S]]):
    """Where it cannot be used this voter has no voice until the others took it in anew."""

    def __init__(self, directory: str, owner: str, cluster: str, codec: FileCodec[AcceptorState[S]]) -> None:
        super().__init__(directory, owner, cluster, VOTER, codec)

    def make_first(self, first: S) -> None:
        """By the operator, once in this voter's life. Never after one was lost: a voter that forgot what it promised
        would lie. Raises NoFile where that cannot be."""
        if self.owner not in first.voters:
            raise FileUnavailableError(f"{self.owner} is none of the voters {', '.join(first.voters)}")
        self.folder.mkdir(parents=True, exist_ok=True)
        if self.path.exists():
            raise FileUnavailableError(f"{self.path} is there already")
        self.store(AcceptorState(FIRST, NONE, NONE, first))

    def make_anew(self, first: S) -> AcceptorState[S]:
        """Under an identity that nobody knows yet; what was there before is kept aside. Raises OSError."""
        kept = AcceptorState(new_identity(), NONE, NONE, first)
        if self.path.exists():
            os.replace(self.path, self.path.with_suffix(".bad"))
        self.store(kept)
        return kept
