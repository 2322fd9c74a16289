"""The file of a voter on turns."""

from __future__ import annotations

from yarrowspindle.maintenance.codec import FILE
from yarrowspindle.maintenance.state import MaintenanceState
from yarrowspindle.storage.durable_file import FIRST, VoterFile


def first_state(voters: tuple[str, ...]) -> MaintenanceState:
    """What all relays start from: voters with the files that the operator made for them once."""
    return MaintenanceState({name: FIRST for name in sorted(voters)})


class MaintenanceVoterFile(VoterFile[MaintenanceState]):
    def __init__(self, directory: str, owner: str, cluster: str) -> None:
        super().__init__(directory, owner, cluster, FILE)

    def begin(self, voters: tuple[str, ...]) -> None:
        self.make_first(first_state(voters))
