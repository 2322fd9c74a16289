"""Durable file of a consensus acceptor."""

from __future__ import annotations

import os

from yarrowspindle.consensus.acceptor import AcceptorState
from yarrowspindle.consensus.messages import NO_BALLOT
from yarrowspindle.consensus.replicated_state import StateT
from yarrowspindle.storage.durable_file import VOTER_FILE_NAME, DurableFile, FileUnavailableError
from yarrowspindle.storage.file_codec import FileCodec

INITIAL_IDENTITY = "the first file"  # of the files that the operator creates for the first voters; stored
IDENTITY_BYTES = 16
INVALID_SUFFIX = ".bad"  # appended to an existing file when it is replaced


def new_identity() -> str:
    """Return a random identity for a recreated file.

    The identity must be unique: a voter whose lost file was recreated under the same identity would break its promises.
    """
    return os.urandom(IDENTITY_BYTES).hex()


class VoterFile(DurableFile[AcceptorState[StateT]]):
    """File of a voter.

    Without a usable file a voter does not vote until the other voters have accepted a new one.
    """

    def __init__(self, directory: str, owner: str, cluster: str, codec: FileCodec[AcceptorState[StateT]]) -> None:
        super().__init__(directory, owner, cluster, VOTER_FILE_NAME, codec)

    def create_initial(self, initial: StateT) -> None:
        """Create the file with the state that all voters start from.

        The operator does this once for each voter, and never after a file was lost: the voter would forget its
        promises.

        Raises:
            FileUnavailableError: The file exists, or the owner is not a voter of the state.
            OSError: The file cannot be written.
        """
        if self.owner not in initial.voters:
            raise FileUnavailableError(f"{self.owner} is not one of the voters {', '.join(initial.voters)}")
        self.directory.mkdir(parents=True, exist_ok=True)
        if self.path.exists():
            raise FileUnavailableError(f"{self.path} already exists")
        self.store(AcceptorState(INITIAL_IDENTITY, NO_BALLOT, NO_BALLOT, initial))

    def recreate(self, initial: StateT) -> AcceptorState[StateT]:
        """Create the file under a new identity and return its content. An existing file is renamed first.

        Raises:
            OSError: The file cannot be written.
        """
        created = AcceptorState(new_identity(), NO_BALLOT, NO_BALLOT, initial)
        if self.path.exists():
            self.path.replace(self.path.with_suffix(INVALID_SUFFIX))
        self.store(created)
        return created
