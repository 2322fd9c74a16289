"""The newest committed state that a controller knows, and the recent steps that led to it."""

from __future__ import annotations

from yarrowspindle.configuration.messages import Delta, Snapshot
from yarrowspindle.configuration.state import MAX_RECENT_STEPS, ControlState, Step, character_count

MAX_LOGGED_STEPS = 512
SNAPSHOT_OVERHEAD_CHARACTERS = 400  # a delta may be larger than a snapshot by this much
NO_VERSION = -1  # the base of a relay that asks for a snapshot


class CommittedLog:
    """The committed state and its newest steps by version, without a gap up to the newest.

    `committed_at` is the time at which this controller received the state, in milliseconds of its clock.
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
        """Takes over a newer committed state."""
        steps = {recent.version: recent.step for recent in state.recent_steps}
        if min(steps, default=0) > self.version + 1:
            self.steps.clear()  # there is a gap: relays that are further behind get a snapshot
        self.steps.update(steps)
        excess = max(0, len(self.steps) - MAX_LOGGED_STEPS)
        for version in sorted(self.steps)[:excess]:
            del self.steps[version]
        self.state = state
        self.digest = state.digest
        self.committed_at = now

    def update_since(self, base: int) -> Delta | Snapshot:
        """The steps after version `base`, or all entries where these are not known or the steps are larger."""
        steps = self._steps_since(base)
        if steps is None or len(steps) > MAX_RECENT_STEPS or self._is_larger_than_snapshot(steps):
            return Snapshot(self.version, self.digest, dict(self.state.entries))
        return Delta(base, self.version, self.digest, [dict(step) for step in steps])

    def _steps_since(self, base: int) -> list[Step] | None:
        """The steps after `base`; None where one of them is not known."""
        if base == NO_VERSION:
            return None
        versions = range(base + 1, self.version + 1)
        if any(version not in self.steps for version in versions):
            return None
        return [self.steps[version] for version in versions]

    def _is_larger_than_snapshot(self, steps: list[Step]) -> bool:
        size = sum(character_count(step) for step in steps)
        return size > character_count(self.state.entries) + SNAPSHOT_OVERHEAD_CHARACTERS
