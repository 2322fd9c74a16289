"""The newest committed state that a controller knows, and the steps that led to it."""

from __future__ import annotations

from yarrowspindle.configuration.messages import Delta, Snapshot
from yarrowspindle.configuration.state import MAX_RECENT_STEPS, ControlState, Step, character_count

MAX_LOGGED_STEPS = 512
SNAPSHOT_OVERHEAD_CHARACTERS = 400  # a delta is preferred to a snapshot that is smaller by up to this
NO_VERSION = -1  # the base version of a relay that requests a snapshot


class CommittedLog:
    """The committed state, and the newest steps without a gap up to its version.

    Attributes:
        state: The newest committed state.
        digest: Its digest.
        committed_at: When this controller learned that the state is committed, in milliseconds of its clock.
        steps: The newest steps by version.
    """

    def __init__(self, initial_state: ControlState, now: float) -> None:
        self.state = initial_state
        self.digest = initial_state.digest
        self.committed_at = now
        self.steps: dict[int, Step] = {recent.version: recent.step for recent in initial_state.recent_steps}

    @property
    def version(self) -> int:
        """The newest committed version."""
        return self.state.version

    def advance(self, state: ControlState, now: float) -> None:
        """Adopt a newer committed state."""
        steps = {recent.version: recent.step for recent in state.recent_steps}
        if min(steps, default=0) > self.version + 1:
            self.steps.clear()  # steps are missing: relays that need them are sent a snapshot
        self.steps.update(steps)
        excess = max(0, len(self.steps) - MAX_LOGGED_STEPS)
        for version in sorted(self.steps)[:excess]:
            del self.steps[version]
        self.state = state
        self.digest = state.digest
        self.committed_at = now

    def update_since(self, base: int) -> Delta | Snapshot:
        """Return the steps after version `base`, or a snapshot if steps are missing, too many or larger than that."""
        steps = self._steps_since(base)
        if steps is None or len(steps) > MAX_RECENT_STEPS or self._is_larger_than_snapshot(steps):
            return Snapshot(self.version, self.digest, dict(self.state.entries))
        return Delta(base, self.version, self.digest, [dict(step) for step in steps])

    def _steps_since(self, base: int) -> list[Step] | None:
        """Return the steps after version `base`; None if one of them is not known."""
        if base == NO_VERSION:
            return None
        versions = range(base + 1, self.version + 1)
        if any(version not in self.steps for version in versions):
            return None
        return [self.steps[version] for version in versions]

    def _is_larger_than_snapshot(self, steps: list[Step]) -> bool:
        size = sum(character_count(step) for step in steps)
        return size > character_count(self.state.entries) + SNAPSHOT_OVERHEAD_CHARACTERS
