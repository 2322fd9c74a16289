"""A controller's files: the state of its acceptor, and the newest committed state that it knows."""

from __future__ import annotations

from typing import Any

from yarrowspindle.configuration import codec
from yarrowspindle.configuration.settings import ControlSettings
from yarrowspindle.configuration.state import ControlState
from yarrowspindle.consensus.acceptor import AcceptorState
from yarrowspindle.storage.durable_file import DurableFile, FileUnavailableError
from yarrowspindle.storage.file_codec import StoredValue
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY, VoterFile

COMMITTED_STATE = "agreed"  # published name of the file


def initial_state(settings: ControlSettings) -> ControlState:
    """Return the state that all controllers start from: the voters with the files that operators create once."""
    return ControlState(dict.fromkeys(settings.voters, INITIAL_IDENTITY))


def acceptor_file(settings: ControlSettings) -> VoterFile[ControlState]:
    """Return the acceptor's file of a controller with these settings."""
    return VoterFile(settings.directory, settings.own_address.name, settings.cluster, codec.ACCEPTOR_FILE)


class ControllerFiles:
    """The files under the lock of the controller's directory, and their contents at the start.

    `acceptor_state` and `committed_state` are None if the file is missing or unusable; `errors` has the reason.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self.acceptor = acceptor_file(settings)
        self.committed: DurableFile[ControlState] = DurableFile(
            settings.directory,
            settings.own_address.name,
            settings.cluster,
            COMMITTED_STATE,
            codec.COMMITTED_STATE_FILE,
        )
        self.acceptor_state: AcceptorState[ControlState] | None = None
        self.committed_state: ControlState | None = None
        self.errors: dict[DurableFile[Any], FileUnavailableError] = {}

    def load(self) -> str:
        """Take the lock and read the files. Return the reason why that must be retried, or an empty string if done.

        A retry is needed while another process has the lock or the disk cannot be read, but not for a file that is
        missing or damaged.
        """
        failure = self.acceptor.lock_failure()
        if failure:
            return failure
        # One lock covers the directory, and this process holds it.
        self.committed.lock_descriptor = self.acceptor.lock_descriptor
        try:
            self.acceptor_state = self._read(self.acceptor)
            self.committed_state = self._read(self.committed)
        except OSError as error:
            return f"the files in {self.acceptor.directory} cannot be read now: {error}"
        return ""

    def _read(self, file: DurableFile[StoredValue]) -> StoredValue | None:
        try:
            return file.load()
        except FileUnavailableError as error:
            self.errors[file] = error
            return None
