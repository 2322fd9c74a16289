"""Defects planted into control, each the kind of thing that a review lets pass; the checker must find them."""

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
from yarrowspindle.lab.model import planted
from yarrowspindle.lab.model.configuration_cluster import ControlParts

# --- the relay ----------------------------------------------------------------------------------


class TakesOlder(Agent):
    """Adopts what its controller has, also where that is older."""

    def _on_latest_version(self, message: LatestVersion) -> None:
        if message.version < self.known_version:
            self.known_version, self.needs_snapshot = 0, True


class OverAGap(Agent):
    """Applies the steps that it received, also where one before them is missing."""

    def _on_delta(self, message: Delta) -> None:
        if message.version > self.known_version:
            entries: Entries = self.entries
            for step in message.steps[max(0, self.known_version - message.base) :]:
                entries = apply_step(entries, step)
            self._adopt(message.version, entries, message.digest)


class NoDigest(Agent):
    """Adopts a version whatever its digest."""

    def _adopt(self, version: int, entries: Entries, digest: bytes) -> None:
        self.needs_snapshot = False
        self.known_version, self.entries, self.digest = version, dict(entries), digest
        self._apply()
        self._send_heartbeat_to_current()


class NoCheck(Agent):
    """Serves by whatever was committed."""

    def __init__(self, controllers: Any, check: EntriesCheck, *more: Any) -> None:
        super().__init__(controllers, lambda entries: "", *more)


class ServesOn(Agent):
    """Reports a version that it rejected as applied."""

    def _reject(self, reason: str) -> None:
        super()._reject(reason)
        self.applied_version = self.known_version


# --- the controller -----------------------------------------------------------------------------


class ProposalsThatSettleTwice(ChangeProposals):
    """An order that is delivered again is settled again."""

    def _settle_queued_orders(self, state: ControlState) -> ControlState | None:
        found = state
        for order in self.orders_in_turn():
            found = found.settle(order, self.context.check) or self._settle_again(found, order) or found
        return found if found.version > state.version else None

    def _settle_again(self, state: ControlState, order: ChangeOrder) -> ControlState | None:
        if not state.is_settled(order):
            return None
        before = (order.incarnation, order.number - 1)
        last_settled = dict(state.last_settled) | {order.accepted_by: before}
        found = replace(state, last_settled=last_settled).settle(order, self.context.check)
        return found and replace(found, last_settled=dict(state.last_settled))


class SettlesTwice(Controller):
    """An order that is delivered again is settled again."""

    proposals_type = ProposalsThatSettleTwice


class ProposalsOutOfTurn(ChangeProposals):
    """An order is settled though one before it is not."""

    def _settle_queued_orders(self, state: ControlState) -> ControlState | None:
        found = state
        for order in reversed(self.orders_in_turn()):
            if not found.is_settled(order):
                last_settled = dict(found.last_settled) | {order.accepted_by: (order.incarnation, order.number - 1)}
                found = replace(found, last_settled=last_settled).settle(order, self.context.check) or found
        return found if found.version > state.version else None


class OutOfTurn(Controller):
    """An order is settled though one before it is not."""

    proposals_type = ProposalsOutOfTurn


class ProposalsWithoutCheck(ChangeProposals):
    """The state that an order is written into is not checked."""

    def _settle_queued_orders(self, state: ControlState) -> ControlState | None:
        check, self.context.check = self.context.check, lambda entries: ""
        found = super()._settle_queued_orders(state)
        self.context.check = check
        return found


class NoCheckAgain(Controller):
    """What was checked when it was accepted is not checked on the state that it is written into."""

    proposals_type = ProposalsWithoutCheck


class LogWithGaps(CommittedLog):
    """The steps that are known are sent, also where one between them is missing."""

    def update_since(self, base: int) -> Delta | Snapshot:
        found = super().update_since(base)
        if isinstance(found, Snapshot) and base != NO_VERSION:
            steps = [self.steps[n] for n in range(base + 1, self.version + 1) if n in self.steps]
            found = Delta(base, self.version, self.digest, [dict(step) for step in steps][-MAX_RECENT_STEPS:])
        return found


class LogOverAGap(Controller):
    """The steps that are known are sent, also where one between them is missing."""

    committed_log_type = LogWithGaps


class ProposalsBeforeCommit(ChangeProposals):
    """A state that one acceptor has accepted counts as committed."""

    def _carry_out(self, effects: Any) -> None:
        super()._carry_out(effects)
        if self.proposer.round is not None and self.proposer.round.accepted_by:
            self.proposer.on_committed(self.proposer.round.proposed or self.context.committed.state)
            self.on_committed()


class PushesProposals(Controller):
    """Relays are sent what is not committed yet."""

    proposals_type = ProposalsBeforeCommit


class ReporterWithoutGrace(StatusReporter):
    """Relays that are on their way to another controller are not waited for."""

    def status(self, own: RelaySummary | None = None) -> ControllerStatus:
        self.peers.attachments_complete_at = self.context.now
        return super().status(own)


class SaysTooEarly(Controller):
    """A version counts as applied when all relays of the live controllers apply it, whoever joined or failed."""

    reporter_type = ReporterWithoutGrace


class SessionsThatForget(RelaySessions):
    """A relay that detaches is removed at once."""

    def on_detach(self, sender: Sender, message: Detach) -> None:
        super().on_detach(sender, message)
        if sender.address in self.relays and self.relays[sender.address].grace_ends_at:
            del self.relays[sender.address]


class ForgetsWhoLeaves(Controller):
    """A relay that detaches is in no summary until its next controller counts it."""

    sessions_type = SessionsThatForget


class ChangesNumberedTooSoon(ChangeQueue):
    """Orders get new numbers before it is looked up whether they are settled under the old ones."""

    def _answer_settled(self) -> None:
        incarnation = self._settled_incarnation()
        if incarnation > self.incarnation:
            self._renumber(incarnation + 1)
        super()._answer_settled()


class NumbersAnewTooSoon(Controller):
    """Orders get new numbers before it is looked up whether they are settled under the old ones."""

    changes_type = ChangesNumberedTooSoon


class BelievesOne(Proposer[ControlState]):
    """Takes a state for committed that a single voter has accepted."""

    def _on_promise(self, now: Any, source: str, promise: Any) -> Any:
        self.on_committed(promise.state)
        return super()._on_promise(now, source, promise)


def _part(kind: Any) -> Any:
    """Of the register: the same for any state."""
    return kind


DEFECTS: dict[str, ControlParts] = {
    "forgets": ControlParts(forgets=True),
    "lies": ControlParts(lies=True),
    "unkept": ControlParts(unkept=True),
    "older": ControlParts(agent=TakesOlder),
    "gap": ControlParts(agent=OverAGap),
    "digest": ControlParts(agent=NoDigest),
    "unchecked": ControlParts(agent=NoCheck),
    "serves on": ControlParts(agent=ServesOn),
    "twice": ControlParts(controller=SettlesTwice),
    "out of turn": ControlParts(controller=OutOfTurn),
    "not checked again": ControlParts(controller=NoCheckAgain),
    "log over a gap": ControlParts(controller=LogOverAGap),
    "uncommitted": ControlParts(controller=PushesProposals),
    "in force too early": ControlParts(controller=SaysTooEarly),
    "forgets who leaves": ControlParts(controller=ForgetsWhoLeaves),
    "numbers anew": ControlParts(controller=NumbersAnewTooSoon),
    "believes one voter": ControlParts(proposer=BelievesOne),
    "believes proposals": ControlParts(proposer=_part(planted.BelievesTooEarly)),
    "not adopted": ControlParts(proposer=_part(planted.TrustsItself)),
    "oldest promise": ControlParts(proposer=_part(planted.TakesTheOldest)),
    "half": ControlParts(proposer=_part(planted.LessThanHalf)),
    "counts twice": ControlParts(proposer=_part(planted.CountsTwice)),
    "any ballot": ControlParts(proposer=_part(planted.AnyBallot)),
    "breaks promises": ControlParts(voter=_part(planted.BreaksPromises)),
    "promises nothing": ControlParts(voter=_part(planted.PromisesNothing)),
    "hides": ControlParts(voter=_part(planted.HidesWhatItAccepted)),
}
