"""The voter's file of the maintenance register."""

from __future__ import annotations

from yarrowspindle.maintenance.codec import FILE
from yarrowspindle.maintenance.state import MaintenanceState
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY, VoterFile


def initial_state(voters: tuple[str, ...]) -> MaintenanceState:
    """Return the state that all relays start from: voters with the files that the operator creates for them."""
    return MaintenanceState(dict.fromkeys(sorted(voters), INITIAL_IDENTITY))


class MaintenanceVoterFile(VoterFile[MaintenanceState]):
    """The file in which a relay that votes on maintenance stores its promises."""

    def __init__(self, directory: str, owner: str, cluster: str) -> None:
        super().__init__(directory, owner, cluster, FILE)

    def initialize(self, voters: tuple[str, ...]) -> None:
        """Create the first file, for a register with these voters. Raises as `VoterFile.create_initial` does."""
        self.create_initial(initial_state(voters))
