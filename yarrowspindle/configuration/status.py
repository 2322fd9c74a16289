"""Reports of a controller: the summary for its peers, the status for operators, and a log line for each version.

The names of the JSON members of the status are part of the operators' interface.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from yarrowspindle.configuration.change_proposals import ChangeProposals
from yarrowspindle.configuration.change_queue import ChangeQueue
from yarrowspindle.configuration.controller_context import ControllerContext
from yarrowspindle.configuration.messages import (
    MAX_DISTINCT_VERSIONS,
    MAX_LAGGING_RELAYS,
    MAX_REASON_CHARACTERS,
    LaggingRelay,
    RelaySummary,
)
from yarrowspindle.configuration.peer_controllers import PeerController, PeerControllers
from yarrowspindle.configuration.relay_sessions import AttachedRelay, RelaySessions
from yarrowspindle.configuration.state import CommittedStep, Entries

MAX_REJECTED_VERSIONS = 8
SILENT, BEHIND = "silent", "behind"  # published reasons why a relay lags


@dataclass(slots=True, frozen=True)
class ControllerHealth:
    """The health of a controller as another one sees it.

    Attributes:
        silent_s: The time since its last summary, in seconds.
        relays: The number of live relays that it reported as attached.
        version: The newest committed version that it reported.
    """

    silent_s: float
    relays: int
    version: int


@dataclass(slots=True, frozen=True)
class ReportedRelay:
    """A lagging relay and the name of the controller to which it is attached."""

    controller: str
    relay: LaggingRelay

    def to_json(self) -> dict[str, Any]:
        """Return the relay as JSON members with their published names."""
        return {
            "relay": self.relay.name,
            "version": self.relay.applied_version,
            "for_s": self.relay.lagging_for_ms / 1000.0,
            "why": self.relay.reason,
            "controller": self.controller,
        }


@dataclass(slots=True, frozen=True)
class ControllerStatus:
    """The status for operators.

    Attributes:
        version: The newest committed version that this controller knows.
        digest: The digest of that version.
        applied_everywhere: The newest version that every live relay applies.
        is_leader: Whether this controller proposes changes.
        voters: The sorted names of the voters.
        is_voter: Whether this controller has an acceptor.
        last_failure: Why this controller's last consensus round failed; empty if it succeeded.
        controllers: The health of all controllers by name.
        pending_changes: The number of operators' changes accepted here that are not answered yet.
        summaries: The summaries of this controller and of its live peers by name.
        rejected: The newest steps that were committed as rejected.
        entries: The entries of the newest committed version.
    """

    version: int
    digest: bytes
    applied_everywhere: int
    is_leader: bool
    voters: list[str]
    is_voter: bool
    last_failure: str
    controllers: Mapping[str, ControllerHealth]
    pending_changes: int
    summaries: Mapping[str, RelaySummary]
    rejected: list[CommittedStep]
    entries: Entries

    @property
    def relays(self) -> int:
        """The number of live relays of all live controllers."""
        return sum(summary.relays for summary in self.summaries.values())

    @property
    def omitted_relays(self) -> int:
        """The number of lagging relays that are not listed by name."""
        return sum(summary.omitted_relays for summary in self.summaries.values())

    @property
    def lagging_relays(self) -> list[ReportedRelay]:
        """The listed lagging relays of all live controllers, sorted by the name of the controller."""
        return [
            ReportedRelay(name, relay)
            for name, summary in sorted(self.summaries.items())
            for relay in summary.lagging_relays
        ]

    def to_json(self) -> dict[str, Any]:
        """Return the status as JSON members with their published names."""
        return {
            "version": self.version,
            "digest": self.digest.hex(),
            "in_force": self.applied_everywhere,
            "relays": self.relays,
            "leads": self.is_leader,
            "voters": self.voters,
            "votes": self.is_voter,
            "round": self.last_failure,
            "controllers": {
                name: {"silent_s": health.silent_s, "relays": health.relays, "version": health.version}
                for name, health in self.controllers.items()
            },
            "waiting": self.pending_changes,
            "named": [reported.to_json() for reported in self.lagging_relays],
            "more": self.omitted_relays,
            "refused": [{"version": step.version, "why": step.rejection_reason} for step in self.rejected],
            "entries": dict(self.entries),
        }


class StatusReporter:
    """A reporter that derives a controller's reports from the state of its components."""

    def __init__(
        self,
        context: ControllerContext,
        peers: PeerControllers,
        sessions: RelaySessions,
        proposals: ChangeProposals,
        changes: ChangeQueue,
    ) -> None:
        self.context, self.peers, self.sessions = context, peers, sessions
        self.proposals, self.changes = proposals, changes
        self.applied_everywhere = 0
        self.announced_version = 0

    # --- summary for the peers --------------------------------------------------------------------

    def summary(self) -> RelaySummary:
        """Return a summary of the relays that are attached to this controller."""
        now = self.context.now
        counted = [
            relay
            for relay in self.sessions.relays.values()
            if (now <= relay.grace_ends_at if relay.grace_ends_at else self.sessions.is_live(relay))
        ]
        lagging = self._lagging_relays()
        return RelaySummary(
            self.context.committed.version,
            sum(not relay.grace_ends_at for relay in counted),
            self._relays_by_version(counted),
            lagging[:MAX_LAGGING_RELAYS],
            max(0, len(lagging) - MAX_LAGGING_RELAYS),
        )

    @staticmethod
    def _relays_by_version(relays: list[AttachedRelay]) -> list[tuple[int, int]]:
        """Return pairs of an applied version and the number of its relays, sorted by version.

        If there are more than MAX_DISTINCT_VERSIONS versions, the last pair also counts the relays of all higher ones.
        """
        counts = sorted(Counter(relay.applied_version for relay in relays).items())
        if len(counts) <= MAX_DISTINCT_VERSIONS:
            return counts
        last_version, _ = counts[MAX_DISTINCT_VERSIONS - 1]
        rest = sum(number for _, number in counts[MAX_DISTINCT_VERSIONS:])
        return [*counts[: MAX_DISTINCT_VERSIONS - 1], (last_version, rest)]

    def _lagging_relays(self) -> list[LaggingRelay]:
        """Return the relays that are silent or do not apply the newest version, sorted by how long; longest first."""
        lagging = []
        for relay in self.sessions.relays.values():
            if relay.grace_ends_at:
                continue
            if not self.sessions.is_live(relay):
                lagging.append((relay, relay.last_heartbeat_at, SILENT))
            elif relay.applied_version < self.context.committed.version:
                reason = relay.rejection_reason[:MAX_REASON_CHARACTERS] or BEHIND
                lagging.append((relay, relay.lagging_since, reason))
        lagging.sort(key=lambda entry: entry[1])
        now = self.context.now
        return [
            LaggingRelay(relay.sender.name, relay.applied_version, max(0, int(now - since)), reason)
            for relay, since, reason in lagging
        ]

    # --- status for operators -----------------------------------------------------------------------

    def status(self, own_summary: RelaySummary | None = None) -> ControllerStatus:
        """Return the status. `own_summary` is this controller's current summary; by default it is computed."""
        context, state = self.context, self.context.committed.state
        own_summary = own_summary or self.summary()
        summaries = {context.name: own_summary}
        controllers = {context.name: ControllerHealth(0.0, own_summary.relays, state.version)}
        for name, peer in self.peers.by_name.items():
            controllers[name] = self._peer_health(peer)
            if peer.summary is not None and name in self.peers.live_incarnations:
                summaries[name] = peer.summary
        return ControllerStatus(
            version=state.version,
            digest=context.committed.digest,
            applied_everywhere=self._applied_everywhere(summaries),
            is_leader=self.peers.is_leader,
            voters=sorted(state.voters),
            is_voter=bool(context.identity),
            last_failure=self.proposals.last_failure,
            controllers=controllers,
            pending_changes=len(self.changes.pending),
            summaries=summaries,
            rejected=[step for step in state.recent_steps if step.rejection_reason][-MAX_REJECTED_VERSIONS:],
            entries=state.entries,
        )

    def _peer_health(self, peer: PeerController) -> ControllerHealth:
        now = self.context.now
        silent_ms = min(now - peer.last_received_at, now - self.context.started_at)
        relays = peer.summary.relays if peer.summary else 0
        version = peer.summary.version if peer.summary else 0
        return ControllerHealth(round(silent_ms / 1000.0, 1), relays, version)

    def _applied_everywhere(self, summaries: Mapping[str, RelaySummary]) -> int:
        """Return the newest version that all live relays of all live controllers apply.

        It does not increase while a relay may be attached to a controller whose summaries are not received.
        """
        applied = [version for summary in summaries.values() for version, _ in summary.relays_by_version]
        lowest = min(applied, default=self.context.committed.version)
        lowest = min(lowest, *(summary.version for summary in summaries.values()))
        if self.context.now < self.peers.attachments_complete_at:
            return min(lowest, self.applied_everywhere)
        return lowest

    def announce(self, own_summary: RelaySummary) -> None:
        """Log, once per version and only as the leader, that all live relays apply the version."""
        status = self.status(own_summary)
        self.applied_everywhere = max(self.applied_everywhere, status.applied_everywhere)
        if not status.is_leader or self.applied_everywhere <= self.announced_version:
            return
        self.announced_version = self.applied_everywhere
        duration_s = (self.context.now - self.context.committed.committed_at) / 1000.0
        self.context.log(
            f"version {self.applied_everywhere} is applied by all {status.relays} relays, {duration_s:.1f} s after it "
            f"was committed; {len(status.lagging_relays)} relays are lagging or silent"
        )
