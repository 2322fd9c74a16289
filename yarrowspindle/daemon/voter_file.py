"""The file in which a voter on maintenance stores its acceptor's state."""

from __future__ import annotations

from yarrowspindle.maintenance.codec import FILE
from yarrowspindle.maintenance.state import MaintenanceState
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY, VoterFile


def initial_state(voters: tuple[str, ...]) -> MaintenanceState:
    """Return the state that all relays start from: the voters with the files that operators create once."""
    return MaintenanceState(dict.fromkeys(sorted(voters), INITIAL_IDENTITY))


class MaintenanceVoterFile(VoterFile[MaintenanceState]):
    """The file in which a relay that votes on maintenance stores its promises and accepted state."""

    def __init__(self, directory: str, owner: str, cluster: str) -> None:
        super().__init__(directory, owner, cluster, FILE)

    def initialize(self, voters: tuple[str, ...]) -> None:
        """Create the first file, for these voters. Raise the errors of `VoterFile.create_initial`."""
        self.create_initial(initial_state(voters))
