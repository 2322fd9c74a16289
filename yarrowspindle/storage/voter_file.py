"""The durable file of a consensus acceptor."""

from __future__ import annotations

import os

from yarrowspindle.consensus.acceptor import AcceptorState
from yarrowspindle.consensus.messages import NO_BALLOT
from yarrowspindle.consensus.replicated_state import StateT
from yarrowspindle.storage.durable_file import VOTER_FILE_NAME, DurableFile, FileUnavailableError
from yarrowspindle.storage.file_codec import FileCodec

INITIAL_IDENTITY = "the first file"  # of the files that the operator creates for the first voters; stored
IDENTITY_BYTES = 16
INVALID_SUFFIX = ".bad"


def new_identity() -> str:
    """Return a random identity for a recreated file.

    It must be unique: a voter whose file was lost, and was recreated under the same identity, would break its promises.
    """
    return os.urandom(IDENTITY_BYTES).hex()


class VoterFile(DurableFile[AcceptorState[StateT]]):
    """The file of a voter. Without a usable one it does not vote until the other voters have accepted a new one."""

    def __init__(self, directory: str, owner: str, cluster: str, codec: FileCodec[AcceptorState[StateT]]) -> None:
        super().__init__(directory, owner, cluster, VOTER_FILE_NAME, codec)

    def create_initial(self, initial: StateT) -> None:
        """Create the file with the state that all voters start from; by the operator, once for each voter.

        Never after a file was lost: the voter would forget its promises. Raises FileUnavailableError where the file
        exists or the owner is not a voter of the state, OSError where the file cannot be written.
        """
        if self.owner not in initial.voters:
            raise FileUnavailableError(f"{self.owner} is none of the voters {', '.join(initial.voters)}")
        self.directory.mkdir(parents=True, exist_ok=True)
        if self.path.exists():
            raise FileUnavailableError(f"{self.path} is there already")
        self.store(AcceptorState(INITIAL_IDENTITY, NO_BALLOT, NO_BALLOT, initial))

    def recreate(self, initial: StateT) -> AcceptorState[StateT]:
        """Create the file under a new identity and return its content; an existing file is set aside.

        Raises OSError where the file cannot be written.
        """
        created = AcceptorState(new_identity(), NO_BALLOT, NO_BALLOT, initial)
        if self.path.exists():
            self.path.replace(self.path.with_suffix(INVALID_SUFFIX))
        self.store(created)
        return created
