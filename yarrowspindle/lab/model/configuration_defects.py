"""Planted defects of the configuration, each of a kind that a review may miss; the simulation must detect them."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from yarrowspindle.configuration.agent import Agent
from yarrowspindle.configuration.change_proposals import ChangeProposals
from yarrowspindle.configuration.change_queue import ChangeQueue
from yarrowspindle.configuration.committed_log import NO_VERSION, CommittedLog
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.events import Sender
from yarrowspindle.configuration.messages import Delta, Detach, LatestVersion, RelaySummary, Snapshot
from yarrowspindle.configuration.relay_sessions import RelaySessions
from yarrowspindle.configuration.state import (
    MAX_RECENT_STEPS,
    ChangeOrder,
    ControlState,
    Entries,
    EntriesCheck,
    apply_step,
)
from yarrowspindle.configuration.status import ControllerStatus, StatusReporter
from yarrowspindle.consensus.proposer import Proposer
from yarrowspindle.lab.model import maintenance_defects
from yarrowspindle.lab.model.configuration_cluster import ConfigurationComponents

# --- the relay ----------------------------------------------------------------------------------


class AdoptsOlderVersion(Agent):
    """An agent that adopts the version of its controller even if it is older than its own."""

    def _on_latest_version(self, message: LatestVersion) -> None:
        if message.version < self.known_version:
            self.known_version, self.needs_snapshot = 0, True


class IgnoresMissingSteps(Agent):
    """An agent that applies received steps even if a step before them is missing."""

    def _on_delta(self, message: Delta) -> None:
        if message.version > self.known_version:
            entries: Entries = self.entries
            for step in message.steps[max(0, self.known_version - message.base) :]:
                entries = apply_step(entries, step)
            self._adopt(message.version, entries, message.digest)


class IgnoresDigest(Agent):
    """An agent that adopts a version without comparing its digest."""

    def _adopt(self, version: int, entries: Entries, digest: bytes) -> None:
        self.needs_snapshot = False
        self.known_version, self.entries, self.digest = version, dict(entries), digest
        self._apply()
        self._send_heartbeat_to_current()


class SkipsCheck(Agent):
    """An agent that applies each committed version without checking its entries."""

    def __init__(self, controllers: Any, check: EntriesCheck, *arguments: Any) -> None:
        super().__init__(controllers, lambda entries: "", *arguments)


class ReportsRejectedAsApplied(Agent):
    """An agent that reports a version that it rejected as applied."""

    def _reject(self, reason: str) -> None:
        super()._reject(reason)
        self.applied_version = self.known_version


# --- the controller -----------------------------------------------------------------------------


class ProposalsSettlingTwice(ChangeProposals):
    """A `ChangeProposals` that settles an order again if it is delivered again."""

    def _settle_queued_orders(self, state: ControlState) -> ControlState | None:
        new_state = state
        for order in self.orders_in_turn():
            new_state = new_state.settle(order, self.context.check) or self._settle_again(new_state, order) or new_state
        return new_state if new_state.version > state.version else None

    def _settle_again(self, state: ControlState, order: ChangeOrder) -> ControlState | None:
        if not state.is_settled(order):
            return None
        before = (order.incarnation, order.number - 1)
        last_settled = dict(state.last_settled) | {order.accepted_by: before}
        new_state = replace(state, last_settled=last_settled).settle(order, self.context.check)
        return new_state and replace(new_state, last_settled=dict(state.last_settled))


class SettlesTwice(Controller):
    """A controller that settles an order again if it is delivered again."""

    proposals_type = ProposalsSettlingTwice


class ProposalsSettlingOutOfOrder(ChangeProposals):
    """A `ChangeProposals` that settles an order before the preceding one."""

    def _settle_queued_orders(self, state: ControlState) -> ControlState | None:
        new_state = state
        for order in reversed(self.orders_in_turn()):
            if not new_state.is_settled(order):
                last_settled = dict(new_state.last_settled) | {order.accepted_by: (order.incarnation, order.number - 1)}
                new_state = replace(new_state, last_settled=last_settled).settle(order, self.context.check) or new_state
        return new_state if new_state.version > state.version else None


class SettlesOutOfOrder(Controller):
    """A controller that settles an order before the preceding one."""

    proposals_type = ProposalsSettlingOutOfOrder


class ProposalsWithoutCheck(ChangeProposals):
    """A `ChangeProposals` that proposes a state with a new order without checking the state."""

    def _settle_queued_orders(self, state: ControlState) -> ControlState | None:
        check, self.context.check = self.context.check, lambda entries: ""
        new_state = super()._settle_queued_orders(state)
        self.context.check = check
        return new_state


class SkipsCheckBeforeProposal(Controller):
    """A controller that checks an order when it is accepted, but not against the state in which it is proposed."""

    proposals_type = ProposalsWithoutCheck


class LogWithGaps(CommittedLog):
    """A log that returns the known steps even if a step between them is missing."""

    def update_since(self, base: int) -> Delta | Snapshot:
        update = super().update_since(base)
        if isinstance(update, Snapshot) and base != NO_VERSION:
            steps = [self.steps[n] for n in range(base + 1, self.version + 1) if n in self.steps]
            update = Delta(base, self.version, self.digest, [dict(step) for step in steps][-MAX_RECENT_STEPS:])
        return update


class SendsIncompleteSteps(Controller):
    """A controller that sends the known steps to relays even if a step between them is missing."""

    committed_log_type = LogWithGaps


class ProposalsBeforeCommit(ChangeProposals):
    """A `ChangeProposals` that treats a state that one acceptor has accepted as committed."""

    def _carry_out(self, effects: Any) -> None:
        super()._carry_out(effects)
        if self.proposer.round is not None and self.proposer.round.accepted_by:
            self.proposer.on_committed(self.proposer.round.proposed or self.context.committed.state)
            self.on_committed()


class PublishesUncommittedState(Controller):
    """A controller that sends relays states that are not committed yet."""

    proposals_type = ProposalsBeforeCommit


class ReporterWithoutGrace(StatusReporter):
    """A status reporter that does not wait for relays that are reattaching to another controller."""

    def status(self, own: RelaySummary | None = None) -> ControllerStatus:
        self.peers.attachments_complete_at = self.context.now
        return super().status(own)


class ReportsAppliedTooEarly(Controller):
    """A controller that reports a version as applied although relays that are reattaching may not apply it."""

    reporter_type = ReporterWithoutGrace


class SessionsDroppingDetachedRelays(RelaySessions):
    """A `RelaySessions` that removes a relay at once when it detaches."""

    def on_detach(self, sender: Sender, message: Detach) -> None:
        super().on_detach(sender, message)
        if sender.address in self.relays and self.relays[sender.address].grace_ends_at:
            del self.relays[sender.address]


class DropsDetachedRelays(Controller):
    """A controller that omits a detached relay from all summaries until its next controller includes it."""

    sessions_type = SessionsDroppingDetachedRelays


class ChangesRenumberedTooEarly(ChangeQueue):
    """A change queue that renumbers orders before checking whether they are settled under their old numbers."""

    def _answer_settled(self) -> None:
        incarnation = self._settled_incarnation()
        if incarnation > self.incarnation:
            self._renumber(incarnation + 1)
        super()._answer_settled()


class RenumbersTooEarly(Controller):
    """A controller that renumbers orders before checking whether they are settled under their old numbers."""

    changes_type = ChangesRenumberedTooEarly


class TrustsSingleAcceptor(Proposer[ControlState]):
    """A proposer that treats a state that a single acceptor reports in a promise as committed."""

    def _on_promise(self, now: Any, source: str, promise: Any) -> Any:
        self.on_committed(promise.state)
        return super()._on_promise(now, source, promise)


def _for_configuration(kind: Any) -> Any:
    """Return a defective part of the consensus, typed for any state: the defect does not depend on the state."""
    return kind


DEFECTS: dict[str, ConfigurationComponents] = {
    "forgets": ConfigurationComponents(discard_acceptor_writes=True),
    "lies": ConfigurationComponents(reuse_lost_identity=True),
    "unkept": ConfigurationComponents(discard_relay_settings=True),
    "older": ConfigurationComponents(agent=AdoptsOlderVersion),
    "gap": ConfigurationComponents(agent=IgnoresMissingSteps),
    "digest": ConfigurationComponents(agent=IgnoresDigest),
    "unchecked": ConfigurationComponents(agent=SkipsCheck),
    "serves on": ConfigurationComponents(agent=ReportsRejectedAsApplied),
    "twice": ConfigurationComponents(controller=SettlesTwice),
    "out of turn": ConfigurationComponents(controller=SettlesOutOfOrder),
    "not checked again": ConfigurationComponents(controller=SkipsCheckBeforeProposal),
    "log over a gap": ConfigurationComponents(controller=SendsIncompleteSteps),
    "uncommitted": ConfigurationComponents(controller=PublishesUncommittedState),
    "in force too early": ConfigurationComponents(controller=ReportsAppliedTooEarly),
    "forgets who leaves": ConfigurationComponents(controller=DropsDetachedRelays),
    "numbers anew": ConfigurationComponents(controller=RenumbersTooEarly),
    "believes one voter": ConfigurationComponents(proposer=TrustsSingleAcceptor),
    "believes proposals": ConfigurationComponents(proposer=_for_configuration(maintenance_defects.CommitsOnProposal)),
    "not adopted": ConfigurationComponents(proposer=_for_configuration(maintenance_defects.ProposesOwnState)),
    "oldest promise": ConfigurationComponents(proposer=_for_configuration(maintenance_defects.AdoptsOldestPromise)),
    "half": ConfigurationComponents(proposer=_for_configuration(maintenance_defects.MajorityOffByOne)),
    "counts twice": ConfigurationComponents(proposer=_for_configuration(maintenance_defects.CountsDuplicateVotes)),
    "any ballot": ConfigurationComponents(proposer=_for_configuration(maintenance_defects.AcceptsEarlierBallots)),
    "breaks promises": ConfigurationComponents(acceptor=_for_configuration(maintenance_defects.BreaksPromises)),
    "promises nothing": ConfigurationComponents(acceptor=_for_configuration(maintenance_defects.ForgetsPromises)),
    "hides": ConfigurationComponents(acceptor=_for_configuration(maintenance_defects.HidesAcceptedState)),
}
